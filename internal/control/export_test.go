package control

import (
	"context"

	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/model"
)

// Estimate returns the learned size of a job kind, as policies read it within
// a view of the state machine.
func (c *Controller) Estimate(kind string) estimate.Estimate {
	return c.runStats.estimate(kind, estimate.Declared{})
}

// RecordUsage takes a usage report with the given look-up of job kinds.
func (c *Controller) RecordUsage(list []model.Usage, kindOf func(key string) string) {
	c.runStats.usage(list, kindOf)
}

// StepMS returns the measured time of a step that the policy of a wave gets.
func (c *Controller) StepMS(wave string) int64 {
	f := c.snapshot()
	return c.waveInput(&f, f.catalogue.Waves[wave], model.WaveProgress{}, nil).StepMS
}

// Faulty reports whether a job kind counts as failing on every host.
func (c *Controller) Faulty(kind string) bool {
	c.runStats.mu.Lock()
	defer c.runStats.mu.Unlock()
	return c.runStats.faultyKinds[kind] != ""
}

// Step runs every responsibility once, in a fixed order, so that tests do not
// depend on the scheduling of the loops.
func (c *Controller) Step(ctx context.Context) {
	if !c.leading() {
		return
	}
	c.expireLeases(ctx)
	c.evaluateHosts(ctx)
	c.decideRetries(ctx)
	c.maintainLedger(ctx)
	c.runWaves(ctx)
	c.repair(ctx)
	c.place(ctx)
	c.resolveOrphans(ctx)
	c.adopt(ctx)
}

// Adopt runs the adoption of records once.
func (c *Controller) Adopt(ctx context.Context) { c.adopt(ctx) }
