package control

import (
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
	"agatehaven.dev/agatehaven/internal/repair"
	"agatehaven.dev/agatehaven/internal/wave"
)

// Policy holds the settings of the policies.
type Policy struct {
	Placement placement.Policy
	Waves     wave.Settings
	Repair    repair.Settings
}

// DefaultPolicy returns the settings chosen by the experiments.
func DefaultPolicy() Policy {
	return Policy{Placement: placement.DefaultPolicy(), Waves: wave.MovesFirst(), Repair: repair.Defaults()}
}

// policies joins the pure policies with their soft state.
type policies struct {
	placement placement.Policy
	waves     wave.Settings
	repair    repair.Settings
	clock     clock.Clock
}

func newPolicies(p Policy, c clock.Clock) *policies {
	return &policies{placement: p.Placement, waves: p.Waves, repair: p.Repair, clock: c}
}

// size returns the CPU in thousandths of a core and the memory in MB to
// reserve for a request.
func (p *policies) size(r *model.Request) (cpuMillis, memoryMB int) {
	return r.CPUMillis, r.MemoryMB
}

// runTime returns the expected run time of a job kind.
func (p *policies) runTime(kind string, catalogue *model.Catalogue) time.Duration {
	if k := catalogue.JobKinds[kind]; k != nil {
		return time.Duration(k.RunTimeMS) * time.Millisecond
	}
	return 0
}

func (p *policies) observeUsage(_ []model.Usage, _ func(key string) string) {}

func (p *policies) observeReport(_ *datacentre.Machine, _ *model.AttemptReport) {}
