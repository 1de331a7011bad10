package schedule

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

// Obstacle is why a host cannot take a task, empty if it can.
type Obstacle string

// Obstacles to placing a task on a host.
const (
	NoCPU    Obstacle = "no CPU"
	NoMemory Obstacle = "no memory"
	NoGPU    Obstacle = "no GPU"
	NoLabel  Obstacle = "no label"
	// ServingWork: fill-in work would disturb the serving tasks of the host, and has to be
	// paced beside them.
	ServingWork Obstacle = "serving work"
	// FillInCPU: fill-in work would disturb a serving task, or would exceed the free
	// CPU.
	FillInCPU Obstacle = "fill-in work"
	// StepLimit: the host has as many tasks of the step as the step allows.
	StepLimit Obstacle = "most of the step"
	// SetAside: several runs have failed on the host. Short tasks do not take it at all, since
	// their attempts are limited.
	SetAside Obstacle = "set aside"
)

// Obstacle returns why the host cannot take a task of a step. placed is how many tasks
// of the step the plan has already placed there.
func (h *Host) Obstacle(j *work.Job, t *work.Task, s *work.Step, placed int) Obstacle {
	need := s.Reserved()
	switch {
	case need.MilliCPU > h.Free.MilliCPU:
		return NoCPU
	case need.MemoryMB > h.Free.MemoryMB:
		return NoMemory
	case need.GPUs > h.Free.GPUs:
		return NoGPU
	case s.Label != "" && !slices.Contains(h.Target.Labels, s.Label):
		return NoLabel
	case s.MaxPerHost > 0 && placed+h.Target.RunsOfStep(j.ID, t.Occurrence, t.Step) >= s.MaxPerHost:
		return StepLimit
	case s.FillIn && h.HasServing:
		return ServingWork
	case s.FillIn && h.FillInCPU+s.Demand.MilliCPU > h.Free.MilliCPU, !s.FillIn && s.TailLatencyTargetMS > 0 && h.FillInCPU > 0:
		return FillInCPU
	case h.SetAside:
		return SetAside
	}
	return ""
}

// IsPreference reports whether the host can take the task, but should do so only if no other
// can: what runs there would disturb the task or be disturbed by it, or other runs have failed
// there.
func (o Obstacle) IsPreference() bool { return o == ServingWork || o == FillInCPU || o == SetAside }

// isBetterLastResort reports whether host a is better than b for a task that no host without an obstacle
// takes.
func isBetterLastResort(s *work.Step, a, b *Host) bool {
	if a.SetAside != b.SetAside {
		return b.SetAside
	}
	if s.FillIn && a.HasServing != b.HasServing {
		return b.HasServing
	}
	if a.FillInCPU != b.FillInCPU {
		return a.FillInCPU < b.FillInCPU
	}
	return fitsBetter(s, a, b)
}

// compareJobs orders equally urgent jobs before their latest starts do.
func (r *Request) compareJobs(a, b *urgency) int {
	if r.jobOrder == nil {
		return 0
	}
	return r.jobOrder(a, b)
}

// isBetter reports whether host a is chosen before b for a task of a step.
func (r *Request) isBetter(s *work.Step, a, b *Host) bool {
	if r.hostOrder != nil {
		return r.hostOrder(s, a, b)
	}
	return fitsBetter(s, a, b)
}

// fitsBetter reports whether host a suits a task of a step better than b.
func fitsBetter(s *work.Step, a, b *Host) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if s.LongLived && a.AwaitsMaintenance != b.AwaitsMaintenance {
		return b.AwaitsMaintenance
	}
	if s.DataRack != "" && (a.Target.Rack == s.DataRack) != (b.Target.Rack == s.DataRack) {
		return a.Target.Rack == s.DataRack
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.Target.ID < b.Target.ID
}
