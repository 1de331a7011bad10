package core

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// Every core host accepts orders of operators: a host that does not lead forwards
// them, and confirms orders that have already taken effect without the leader. An
// operator whose confirmation was lost can then ask any running host, whereas each
// redirect would need two hosts for one attempt.

// CheckConfigurationSize admits any length: even a host that does not lead can
// confirm a configuration that is in force.
func (c *Core) CheckConfigurationSize(int64) error { return nil }

// SubmitConfiguration commits a configuration, forwarding it to the leader if this
// host does not lead. Errors: *fault.Invalid; *fault.NotLeader if the configuration
// is too long to be forwarded; *fault.Unavailable, *fault.LimitExceeded and
// *fault.ProposalUnknown, after which it may be submitted again.
func (c *Core) SubmitConfiguration(ctx context.Context, cfg *work.Configuration) error {
	if err := cfg.Check(); err != nil {
		c.logConfigure(cfg, 0, err)
		return err
	}
	if held := c.stateMachine.Configuration(); held != nil && held.Version >= cfg.Version {
		c.cfg.Log.Info().Uint64("version", cfg.Version).Uint64("held", held.Version).Msg("configuration confirmed again")
		return nil
	}
	err := c.configureLocally(ctx, cfg)
	if !notServing(err) {
		return err
	}
	if len(cfg.Document) > link.MaxForwardBytes {
		c.logConfigure(cfg, 0, err)
		return err
	}
	return c.forward(ctx, "configuration", strconv.FormatUint(cfg.Version, 10),
		func(ctx context.Context) error { return c.configureLocally(ctx, cfg) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) {
			return leader.Configure(ctx, cfg)
		})
}

// SubmitWave starts a maintenance wave, forwarding it to the leader if this host does
// not lead. Errors are those of SubmitConfiguration.
func (c *Core) SubmitWave(ctx context.Context, w *work.Wave) error {
	if _, known := c.stateMachine.WaveComplete(w.ID); known {
		return nil
	}
	err := c.startWaveLocally(ctx, w)
	if !notServing(err) {
		return err
	}
	return c.forward(ctx, "wave", strconv.FormatInt(w.ID, 10),
		func(ctx context.Context) error { return c.startWaveLocally(ctx, w) },
		func(ctx context.Context, leader *link.Client) (*link.Answer, error) { return leader.StartWave(ctx, w) })
}

// configureSeconds records the duration of configuration changes by result.
var configureSeconds = map[string]*metrics.Histogram{
	"accepted":     metrics.GetOrCreateHistogram(`agatehaven_configure_seconds{result="accepted"}`),
	"not accepted": metrics.GetOrCreateHistogram(`agatehaven_configure_seconds{result="not_accepted"}`),
}

// configureLocally commits a configuration if this host leads.
func (c *Core) configureLocally(ctx context.Context, cfg *work.Configuration) error {
	l, err := c.localLeader()
	if err != nil {
		return err
	}
	started := time.Now()
	// The proposal continues if the operator stops waiting: a retry then finds the
	// configuration in force.
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

// startWaveLocally starts a wave if this host leads.
func (c *Core) startWaveLocally(ctx context.Context, w *work.Wave) error {
	l, err := c.localLeader()
	if err != nil {
		return err
	}
	return l.StartWave(ctx, w)
}

// Configure implements link.Handler.
func (c *Core) Configure(ctx context.Context, cfg *work.Configuration) (*link.Answer, error) {
	return c.resultAnswer(c.configureLocally(ctx, cfg)), nil
}

// StartWave implements link.Handler.
func (c *Core) StartWave(ctx context.Context, w *work.Wave) (*link.Answer, error) {
	return c.resultAnswer(c.startWaveLocally(ctx, w)), nil
}
