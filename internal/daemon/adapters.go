package daemon

import (
	"context"
	"hash/fnv"

	"agatehaven.dev/agatehaven/internal/control"
	"agatehaven.dev/agatehaven/internal/dispatch"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/retry"
	"agatehaven.dev/agatehaven/internal/settings"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/wave"
)

// regionSource reads the region group's records for a controller.
type regionSource struct{ leader *peer.LeaderClient }

// PullRecords implements control.RecordSource.
func (s regionSource) PullRecords(ctx context.Context, r *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error) {
	return peer.CallIdempotent(ctx, s.leader, peer.Handler.PullRecords, r)
}

// AckAdoption implements control.RecordSource.
func (s regionSource) AckAdoption(ctx context.Context, r *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error) {
	return peer.CallIdempotent(ctx, s.leader, peer.Handler.AckAdoption, r)
}

// resolver adapts dispatch.Resolver to the controller.
type resolver struct{ inner *dispatch.Resolver }

func (d *Daemon) resolver() control.Resolver { return resolver{dispatch.NewResolver(d.targets)} }

// Resolve implements control.Resolver.
func (r resolver) Resolve(ctx context.Context, a ledger.OpenAttempt, canRevoke bool) (model.AttemptReport, bool) {
	report, err := r.inner.Resolve(ctx, dispatch.OpenAttempt{
		Key: a.Key, Attempt: a.Attempt, Host: a.Host, Address: a.Address,
		TargetIncarnation: a.TargetIncarnation, CanRevoke: canRevoke,
		CheckpointRequested: a.CheckpointOrdered,
	})
	if err != nil || report == nil {
		return model.AttemptReport{}, false
	}
	return *report, true
}

// noPlatform refuses reboots where the settings name no platform.
type noPlatform struct{}

// Reboot implements control.Platform.
func (noPlatform) Reboot(context.Context, string, string) error {
	return &fault.Unavailable{What: "platform", Reason: "the settings name no platform address"}
}

func (d *Daemon) platform() control.Platform {
	if d.settings.Platform.Address == "" {
		return noPlatform{}
	}
	return target.NewHTTPPlatform(target.PlatformConfig{Address: d.settings.Platform.Address, Clock: d.clock})
}

func ledgerLimits(l *settings.Limits) ledger.Limits {
	return ledger.Limits{
		MaxRequests: l.LedgerRequests, MaxQueuedPerPool: l.QueueRequests,
		MaxPayloadBytes: l.PayloadBytes, MaxAnswerBytes: l.AnswerBytes,
		AnswerRetention: l.AnswerRetention, KeyRetention: l.KeyRetention,
		MaxStoredBytes: int64(l.StoredBytes), MaxKeys: l.RetainedKeys,
	}
}

// controlPolicy returns the default policies with the weights and switches of
// the settings applied.
func controlPolicy(p *settings.Policy) control.Policy {
	out := control.DefaultPolicy()
	out.Placement.LendPools, out.Placement.LendSpare = p.LendIdleSlots, p.LendSpare
	tokens := retry.DefaultTokenBucket()
	tokens.Capacity, tokens.Refill = float64(p.RetryTokens), p.RetryRefill
	out.Retries = func() retry.Policy { return retry.NewShared(tokens) }
	out.Waves = wave.FavourFewMoves()
	if p.RolloutWeight > p.MovesWeight && p.RolloutWeight > p.BufferWeight {
		out.Waves = wave.FavourFastRollout()
	}
	return out
}

// electionSeed returns the seed of a replica's random election timeouts. It
// differs between the replicas of a group.
func electionSeed(host, group string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host + "/" + group)) // never fails
	return h.Sum64()
}
