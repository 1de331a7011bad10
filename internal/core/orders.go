package core

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// forwardTimeout bounds an order that another host carries out. Operators
	// ask the next host after a second without an answer.
	forwardTimeout = 800 * time.Millisecond
	// forwardCallTimeout bounds one call to the leader, so that an order that a
	// frozen leader took is repeated with its successor.
	forwardCallTimeout = 400 * time.Millisecond
	// forwardPause separates the tries of an order. An election takes a second.
	forwardPause = 50 * time.Millisecond
	// outagePatience is how long after the loss of a leader orders still wait for
	// the next one. Later ones are refused at once, so that their operator asks
	// a host that is not cut off.
	outagePatience = 2 * time.Second
	// forwardBytes bounds a configuration that is forwarded. The commit of a
	// longer one can take more than forwardTimeout, so its operator is redirected.
	forwardBytes = 128 << 10
)

// Orders of operators are carried out through any host of the core: a host that
// does not lead forwards them, and confirms by itself those that have taken
// effect. An operator whose confirmation was lost can then ask each host that
// runs, where a redirect would spend two of them on one try.

// OrderConfiguration accepts a configuration. Errors: *fault.Invalid, *fault.NotLeader
// for one that has to be handed in to the leader, or *fault.Unavailable,
// *fault.LimitExceeded and *fault.ProposalUnknown, after which it may be
// handed in again.
func (c *Core) OrderConfiguration(ctx context.Context, cfg *work.Configuration) error {
	if err := cfg.Check(); err != nil {
		c.logConfigure(cfg, 0, err)
		return err
	}
	if held := c.machine.Configuration(); held != nil && held.Version >= cfg.Version {
		c.cfg.Log.Info().Uint64("version", cfg.Version).Uint64("held", held.Version).Msg("configuration confirmed again")
		return nil
	}
	err := c.configureHere(ctx, cfg)
	if !servedElsewhere(err) {
		return err
	}
	if len(cfg.Document) > forwardBytes {
		c.logConfigure(cfg, 0, err)
		return err
	}
	return c.forward(ctx, "configuration", cfg.Version,
		func(ctx context.Context) error { return c.configureHere(ctx, cfg) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) {
			return leader.Configure(ctx, cfg)
		})
}

// OrderWave records a maintenance wave. Errors are those of OrderConfiguration.
func (c *Core) OrderWave(ctx context.Context, w *work.Wave) error {
	if _, known := c.machine.WaveComplete(w.ID); known {
		return nil
	}
	err := c.startWaveHere(ctx, w)
	if !servedElsewhere(err) {
		return err
	}
	return c.forward(ctx, "wave", uint64(w.ID),
		func(ctx context.Context) error { return c.startWaveHere(ctx, w) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) { return leader.StartWave(ctx, w) })
}

// servedElsewhere reports whether an order ended with err since this host does
// not lead, or does not do so yet.
func servedElsewhere(err error) bool {
	var notLeader *fault.NotLeader
	var unavailable *fault.Unavailable
	return errors.As(err, &notLeader) || errors.As(err, &unavailable)
}

// forward carries out an order here or at the leader, whichever leads first. It
// repeats the order until its effect is known: orders are idempotent.
func (c *Core) forward(ctx context.Context, kind string, number uint64,
	here func(ctx context.Context) error, there func(ctx context.Context, leader *link.Client) (*link.Answer, error),
) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	started := time.Now()
	tries, host := 0, ""
	var err error
	for {
		tries++
		if host = c.knownLeader(); host != "" {
			err = c.orderAt(ctx, host, there)
		} else {
			err = here(ctx)
		}
		if !mayRepeat(err) || c.outageLasts() || !pause(ctx, forwardPause) {
			break
		}
	}
	c.cfg.Log.Info().Str("kind", kind).Uint64("number", number).Str("leader", host).Int("tries", tries).
		Dur("took", time.Since(started)).AnErr("error", err).Msg("order forwarded")
	var notLeader *fault.NotLeader
	if errors.As(err, &notLeader) {
		// A redirect would lead to a host that did not serve.
		return &fault.Unavailable{What: "leader", Reason: "no host leads"}
	}
	return err
}

// noteLeader keeps since when no leader is known.
func (c *Core) noteLeader(s replica.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case s.Leader != "":
		c.leaderless = time.Time{}
	case c.leaderless.IsZero():
		c.leaderless = time.Now()
	}
}

// outageLasts reports whether no leader has been known for long.
func (c *Core) outageLasts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaderless.IsZero() && time.Since(c.leaderless) > outagePatience
}

// orderAt hands an order to the leader.
func (c *Core) orderAt(ctx context.Context, host string, order func(ctx context.Context, leader *link.Client) (*link.Answer, error)) error {
	ctx, cancel := context.WithTimeout(ctx, forwardCallTimeout)
	defer cancel()
	a, err := order(ctx, c.clients.To(host))
	if err != nil {
		return err
	}
	switch a.Code {
	case link.Done:
		return nil
	case link.Invalid:
		return &fault.Invalid{Field: "order", Reason: a.Reason}
	case link.Unknown:
		return &fault.ProposalUnknown{Group: group}
	}
	return &fault.Unavailable{What: "leader", Reason: a.Reason}
}

// mayRepeat reports whether an order that ended with err may yet succeed.
func mayRepeat(err error) bool {
	var invalid *fault.Invalid
	return err != nil && !errors.As(err, &invalid)
}

// pause waits, and reports whether ctx is still running.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// configureSeconds holds how long configurations take, by their result.
var configureSeconds = map[string]*metrics.Histogram{
	"accepted":     metrics.GetOrCreateHistogram(`agatehaven_configure_seconds{result="accepted"}`),
	"not accepted": metrics.GetOrCreateHistogram(`agatehaven_configure_seconds{result="not_accepted"}`),
}

// configureHere accepts a configuration if this host leads.
func (c *Core) configureHere(ctx context.Context, cfg *work.Configuration) error {
	l, err := c.leaderHere()
	if err != nil {
		return err
	}
	started := time.Now()
	// An operator who stops waiting asks again; the change is then in force.
	result, err := l.Propose(context.WithoutCancel(ctx), &work.Command{Configure: cfg})
	if err == nil {
		err = result.Err
	}
	c.logConfigure(cfg, time.Since(started), err)
	return err
}

func (c *Core) logConfigure(cfg *work.Configuration, took time.Duration, err error) {
	line, result := c.cfg.Log.Info(), "accepted"
	if err != nil {
		line, result = c.cfg.Log.Warn().Err(err), "not accepted"
	}
	configureSeconds[result].Update(took.Seconds())
	line.Uint64("version", cfg.Version).Int("queues", len(cfg.Queues)).Int("bytes", len(cfg.Document)).
		Dur("took", took).Msg("configuration " + result)
}

// startWaveHere records a wave if this host leads.
func (c *Core) startWaveHere(ctx context.Context, w *work.Wave) error {
	l, err := c.leaderHere()
	if err != nil {
		return err
	}
	return l.StartWave(ctx, w)
}

// Configure implements link.Handler.
func (c *Core) Configure(ctx context.Context, cfg *work.Configuration) (*link.Answer, error) {
	return c.answerTo(c.configureHere(ctx, cfg)), nil
}

// StartWave implements link.Handler.
func (c *Core) StartWave(ctx context.Context, w *work.Wave) (*link.Answer, error) {
	return c.answerTo(c.startWaveHere(ctx, w)), nil
}

// answerTo returns the answer to an order that ended with err.
func (c *Core) answerTo(err error) *link.Answer {
	if err == nil {
		return &link.Answer{Code: link.Done}
	}
	return c.answerOf(err)
}
