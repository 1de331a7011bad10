package work

import (
	"slices"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Check returns *fault.Invalid for a configuration that must not take effect.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return &fault.Invalid{Field: "version", Reason: "missing"}
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return &fault.Invalid{Field: "pool " + p.Name, Reason: "without a name of its own"}
		}
		pools[p.Name] = true
	}
	places := map[[2]string]string{}
	for _, q := range c.Queues {
		place := [2]string{q.Domain, q.Prefix}
		other, taken := places[place]
		switch {
		case q.Name == "" || q.Domain == "" || q.Prefix == "":
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "name, domain and prefix are required"}
		case taken:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "has the place of " + other}
		case !pools[q.Pool]:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "names the unknown pool " + q.Pool}
		case q.TimeoutMS <= 0:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "has no timeout"}
		}
		places[place] = q.Name
	}
	return nil
}

// maxDemand bounds each part of a task's demand: 100,000 cores, 100 TB. No host
// has as much. The work of a job is the product of its demand, its tasks and
// their duration in ms, which overflows with larger ones.
const maxDemand = 100_000_000

// inRange reports whether no part of a demand is negative or too large.
func (d Demand) inRange() bool {
	return min(d.MilliCPU, d.MemoryMB, d.GPUs) >= 0 && max(d.MilliCPU, d.MemoryMB, d.GPUs) <= maxDemand
}

// Check returns *fault.Invalid for a job that cannot be run as written.
func (s *Spec) Check() error {
	total := 0
	for i, step := range s.Steps {
		field := "step " + strconv.Itoa(i)
		if step.Tasks < 1 || step.Tasks > MaxTasks || !step.Demand.inRange() {
			return &fault.Invalid{Field: field, Reason: "its tasks or their demand are out of range"}
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return &fault.Invalid{Field: field, Reason: "waits for a step that is not before it"}
			}
		}
		total += step.Tasks
	}
	// The product of both may overflow.
	if total == 0 || s.Occurrences < 0 || max(1, s.Occurrences) > MaxTasks/total {
		return &fault.Invalid{Field: "steps", Reason: "too few or too many tasks", Allowed: "1 to " + strconv.Itoa(MaxTasks)}
	}
	return nil
}

const (
	// maxTimeMS bounds times, in Unix ms, far beyond any clock.
	maxTimeMS = 1 << 52
	// maxIntervalMS bounds the time between two occurrences: 14 years. With the
	// most occurrences the last one is not beyond twice maxTimeMS.
	maxIntervalMS = maxTimeMS / MaxTasks
	// maxDurationMS bounds durations: a day.
	maxDurationMS = 86_400_000
)

// Clamp brings values of a job into the range that sums and loops over them
// allow. It changes nothing of what the job asks for otherwise.
func (s *Spec) Clamp() {
	s.FirstMS = min(max(s.FirstMS, -maxTimeMS), maxTimeMS)
	s.IntervalMS = min(max(s.IntervalMS, -maxIntervalMS), maxIntervalMS)
	for i := range s.Steps {
		s.Steps[i].EstimateMS = min(max(s.Steps[i].EstimateMS, 0), maxDurationMS)
		// A look at a step costs as much again for each repetition.
		after := slices.Clone(s.Steps[i].After)
		slices.Sort(after)
		s.Steps[i].After = slices.Compact(after)
	}
}

// maxStretch bounds how many times its longest chain of work a job may take.
const maxStretch = 1_000_000

// Clamp brings values of a configuration into the range that sums allow. It is
// valid with any of them.
func (c *Configuration) Clamp() {
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Stretch = min(max(q.Stretch, 0), maxStretch)
		q.SlackMS = min(max(q.SlackMS, -maxTimeMS), maxTimeMS)
	}
}

// Clamp brings values of a wave into the range that sums allow, and keeps each
// host once.
func (w *Wave) Clamp() {
	w.DurationMS = min(max(w.DurationMS, 0), maxTimeMS)
	w.MaxDown = min(w.MaxDown, MaxHosts)
	seen := map[string]bool{}
	w.Hosts = slices.DeleteFunc(w.Hosts, func(host string) bool {
		again := seen[host]
		seen[host] = true
		return again
	})
}
