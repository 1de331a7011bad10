package control

import (
	"time"

	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
	"agatehaven.dev/agatehaven/internal/repair"
	"agatehaven.dev/agatehaven/internal/retry"
	"agatehaven.dev/agatehaven/internal/suspect"
	"agatehaven.dev/agatehaven/internal/wave"
)

// Policy holds the controller's policies and their settings.
type Policy struct {
	Placement placement.Policy
	Waves     wave.Settings
	Repair    repair.Settings
	Suspects  suspect.Settings
	// Retries creates the policy that limits retries of idempotent work.
	Retries func() retry.Policy
}

// DefaultPolicy returns the settings chosen by the experiments.
func DefaultPolicy() Policy {
	return Policy{
		Placement: placement.DefaultPolicy(), Waves: wave.FavourFewMoves(), Repair: repair.DefaultSettings(),
		Suspects: suspect.DefaultSettings(),
		Retries:  func() retry.Policy { return retry.NewShared(retry.DefaultTokenBucket()) },
	}
}

// reservedSize returns the CPU in thousandths of a core and the memory in MB to
// reserve for a request: the learned size of its kind.
func (c *Controller) reservedSize(r *model.Request) (cpuMillis, memoryMB int) {
	e := c.runStats.estimate(r.Kind, estimate.Declared{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB})
	return e.CPUMillis, e.MemoryMB
}

// expectedRunTime returns the expected run time of a job kind: the learned median.
func (c *Controller) expectedRunTime(kind string, catalogue *model.Catalogue) time.Duration {
	k := catalogue.JobKinds[kind]
	if k == nil {
		return 0
	}
	declared := estimate.Declared{Run: time.Duration(k.RunTimeMS) * time.Millisecond}
	return c.runStats.estimate(kind, declared).RunP50
}
