package core

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// Orders of operators are carried out through any host of the core: a host that
// does not lead forwards them, and confirms by itself those that have taken
// effect. An operator whose confirmation was lost can then ask each host that
// runs, where a redirect would spend two of them on one try.

// CheckConfigurationSize admits any length: also a host that does not lead confirms a
// configuration that is in force.
func (c *Core) CheckConfigurationSize(int64) error { return nil }

// SubmitConfiguration accepts a configuration. Errors: *fault.Invalid, *fault.NotLeader
// for one that has to be handed in to the leader, or *fault.Unavailable,
// *fault.LimitExceeded and *fault.ProposalUnknown, after which it may be
// handed in again.
func (c *Core) SubmitConfiguration(ctx context.Context, cfg *work.Configuration) error {
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
	if len(cfg.Document) > link.MaxForwardBytes {
		c.logConfigure(cfg, 0, err)
		return err
	}
	return c.forward(ctx, "configuration", strconv.FormatUint(cfg.Version, 10),
		func(ctx context.Context) error { return c.configureHere(ctx, cfg) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) {
			return leader.Configure(ctx, cfg)
		})
}

// SubmitWave records a maintenance wave. Errors are those of SubmitConfiguration.
func (c *Core) SubmitWave(ctx context.Context, w *work.Wave) error {
	if _, known := c.machine.WaveComplete(w.ID); known {
		return nil
	}
	err := c.startWaveHere(ctx, w)
	if !servedElsewhere(err) {
		return err
	}
	return c.forward(ctx, "wave", strconv.FormatInt(w.ID, 10),
		func(ctx context.Context) error { return c.startWaveHere(ctx, w) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) { return leader.StartWave(ctx, w) })
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
