package entry

import (
	"context"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// orderTimeout bounds a forwarded order with all its attempts. Operators and
	// targets ask the next host after a second without an answer.
	orderTimeout = 800 * time.Millisecond
	// maxForwardBytes bounds a configuration that an entry host forwards: it passes
	// a link of 2 Mbit/s twice in a quarter of a second.
	maxForwardBytes = 32 << 10
	// group names the region's group in errors.
	group = "region"
)

// Entry hosts accept orders of operators and targets as core hosts do. The core has
// only a few hosts: an operator whose confirmations are lost would otherwise ask a
// frozen one again and again, and lose a second each time.

// CheckConfigurationSize redirects operators with a long configuration to the leader:
// links of entry hosts are slow, and a forwarded configuration passes one twice.
func (e *Entry) CheckConfigurationSize(bytes int64) error {
	if bytes > maxForwardBytes {
		e.log.Info().Int64("bytes", bytes).Str("leader", e.KnownMembers().Leader).Msg("long configuration is to go to the leader")
		return e.redirectError()
	}
	return nil
}

// SubmitConfiguration forwards a configuration to the leader. Errors are those of
// core.Core.
func (e *Entry) SubmitConfiguration(ctx context.Context, cfg *work.Configuration) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	if err := e.CheckConfigurationSize(int64(len(cfg.Document))); err != nil {
		return err // its length was not declared in advance
	}
	return e.forwardOrder(ctx, "configuration", strconv.FormatUint(cfg.Version, 10),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Configure(ctx, cfg) })
}

// SubmitWave forwards a maintenance wave to the leader. Errors are those of
// SubmitConfiguration.
func (e *Entry) SubmitWave(ctx context.Context, w *work.Wave) error {
	return e.forwardOrder(ctx, "wave", strconv.FormatInt(w.ID, 10),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.StartWave(ctx, w) })
}

// HandleAnnouncement forwards the announcement of a draining target to the leader. It
// redirects other targets there, since they keep sending to the host that accepted an
// announcement. Errors are those of SubmitConfiguration.
func (e *Entry) HandleAnnouncement(ctx context.Context, a *work.Announcement) error {
	if !a.Target.Draining {
		return e.redirectError()
	}
	return e.forwardOrder(ctx, "draining", a.Target.Key(),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Announce(ctx, a) })
}

// HandleLeave forwards the leave of a target to the leader. Errors are those of
// SubmitConfiguration.
func (e *Entry) HandleLeave(ctx context.Context, target string) error {
	return e.forwardOrder(ctx, "leave", target,
		func(ctx context.Context, c *link.Client) (*link.Answer, error) {
			return c.Leave(ctx, &link.LeaveRequest{Target: target})
		})
}

// Configuration redirects to the leader, as do all reads.
func (e *Entry) Configuration(context.Context) (*work.Configuration, error) {
	return nil, e.redirectError()
}

// WaveComplete redirects to the leader.
func (e *Entry) WaveComplete(int64) (bool, error) { return false, e.redirectError() }

// AnnounceHost returns "": targets announce themselves at the core.
func (e *Entry) AnnounceHost(string) string { return "" }

// redirectError returns a *fault.NotLeader that names the leader if it is known.
func (e *Entry) redirectError() error {
	return &fault.NotLeader{Group: group, Leader: e.KnownMembers().Leader}
}

// forwardOrder forwards an order to the leader and logs its outcome.
func (e *Entry) forwardOrder(ctx context.Context, kind, subject string, f leaderCall) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	a := e.forward(ctx, false, f)
	e.log.Info().Str("kind", kind).Str("subject", subject).Str("code", string(a.Code)).Str("reason", a.Reason).
		Dur("took", time.Since(started)).Str("leader", e.KnownMembers().Leader).Msg("order forwarded")
	return a.Err(group)
}

// KnownMembers returns the core's members and leader as far as this host knows them.
func (e *Entry) KnownMembers() link.Members {
	e.mu.Lock()
	defer e.mu.Unlock()
	return link.Members{Leader: e.leader, Term: e.term, Hosts: e.hosts}
}
