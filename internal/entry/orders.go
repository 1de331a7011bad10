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
	// orderTimeout bounds an order that the leader carries out. Operators and
	// targets ask the next host after a second without an answer.
	orderTimeout = 800 * time.Millisecond
	// maxOrderBytes bounds a configuration that is handed on: it passes a link of
	// 2 Mbit/s twice in a quarter of a second.
	maxOrderBytes = 32 << 10
	// group names the region's group in errors.
	group = "region"
)

// Operators and targets may turn to entry hosts as well as to the core: there
// are only a few hosts in the core, so that an operator whose confirmations are
// lost would have to ask one that is frozen again and again, a second each time.

// CheckConfigurationSize sends the operator with a long configuration to the leader:
// links of entry hosts are slow, and it would have to pass one twice.
func (e *Entry) CheckConfigurationSize(bytes int64) error {
	if bytes > maxOrderBytes {
		e.log.Info().Int64("bytes", bytes).Str("leader", e.KnownMembers().Leader).Msg("long configuration is to go to the leader")
		return e.elsewhere()
	}
	return nil
}

// SubmitConfiguration hands a configuration to the leader. Errors are those of
// core.Core.
func (e *Entry) SubmitConfiguration(ctx context.Context, cfg *work.Configuration) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	if err := e.CheckConfigurationSize(int64(len(cfg.Document))); err != nil {
		return err // its length was not told before
	}
	return e.order(ctx, "configuration", strconv.FormatUint(cfg.Version, 10),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Configure(ctx, cfg) })
}

// SubmitWave hands a maintenance wave to the leader. Errors are those of
// SubmitConfiguration.
func (e *Entry) SubmitWave(ctx context.Context, w *work.Wave) error {
	return e.order(ctx, "wave", strconv.FormatInt(w.ID, 10),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.StartWave(ctx, w) })
}

// HandleAnnouncement hands an announcement that a target drains to the leader, and
// sends targets with another one there, since they stay with the host that took
// it. Errors are those of SubmitConfiguration.
func (e *Entry) HandleAnnouncement(ctx context.Context, a *work.Announcement) error {
	if !a.Target.Draining {
		return e.elsewhere()
	}
	return e.order(ctx, "draining", a.Target.Key(),
		func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Announce(ctx, a) })
}

// HandleLeave hands the last message of a target to the leader. Errors are those of
// SubmitConfiguration.
func (e *Entry) HandleLeave(ctx context.Context, target string) error {
	return e.order(ctx, "leave", target,
		func(ctx context.Context, c *link.Client) (*link.Answer, error) {
			return c.Leave(ctx, &link.LeaveRequest{Target: target})
		})
}

// Configuration sends its caller to the leader, as do other reads.
func (e *Entry) Configuration(context.Context) (*work.Configuration, error) {
	return nil, e.elsewhere()
}

// WaveComplete sends its caller to the leader.
func (e *Entry) WaveComplete(int64) (bool, error) { return false, e.elsewhere() }

// IsLeader reports that an entry host never leads.
func (e *Entry) IsLeader() bool { return false }

// elsewhere returns a *fault.NotLeader that names the leader, if it is known.
func (e *Entry) elsewhere() error {
	return &fault.NotLeader{Group: group, Leader: e.KnownMembers().Leader}
}

// order hands an order to the leader and logs what became of it.
func (e *Entry) order(ctx context.Context, kind, subject string, f call) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	started := time.Now()
	a := e.forward(ctx, f)
	e.log.Info().Str("kind", kind).Str("subject", subject).Str("code", string(a.Code)).Str("reason", a.Reason).
		Dur("took", time.Since(started)).Str("leader", e.KnownMembers().Leader).Msg("order forwarded")
	return a.Err(group)
}

// KnownMembers returns what this host knows of the core.
func (e *Entry) KnownMembers() link.Members {
	e.mu.Lock()
	defer e.mu.Unlock()
	return link.Members{Leader: e.leader, Term: e.term, Hosts: e.hosts}
}
