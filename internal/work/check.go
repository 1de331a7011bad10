package work

import (
	"slices"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Check returns *fault.Invalid if the configuration must not take effect.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return &fault.Invalid{Field: "version", Reason: "missing"}
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return &fault.Invalid{Field: "pool " + p.Name, Reason: "name is missing or not unique"}
		}
		pools[p.Name] = true
	}
	routes := map[[2]string]string{}
	for _, q := range c.Queues {
		route := [2]string{q.Domain, q.Prefix}
		other, taken := routes[route]
		switch {
		case q.Name == "" || q.Domain == "" || q.Prefix == "":
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "name, domain and prefix are required"}
		case taken:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "has the same domain and prefix as " + other}
		case !pools[q.Pool]:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "names the unknown pool " + q.Pool}
		case q.TimeoutMS <= 0:
			return &fault.Invalid{Field: "queue " + q.Name, Reason: "has no timeout"}
		}
		routes[route] = q.Name
	}
	return c.checkCustomers()
}

// maxDemand bounds each resource of a task's demand: 100,000 cores, 100 TB. No host has
// as much. The work of a job is the product of demand, number of tasks and duration in
// ms, which would overflow with larger values.
const maxDemand = 100_000_000

// inRange reports whether no resource of a demand is negative or too large.
func (d Demand) inRange() bool {
	return min(d.MilliCPU, d.MemoryMB, d.GPUs) >= 0 && max(d.MilliCPU, d.MemoryMB, d.GPUs) <= maxDemand
}

// Check returns *fault.Invalid if the job cannot be run as written.
func (s *Spec) Check() error {
	total := 0
	for i, step := range s.Steps {
		field := "step " + strconv.Itoa(i)
		if step.Tasks < 1 || step.Tasks > MaxTasks || !step.Demand.inRange() {
			return &fault.Invalid{Field: field, Reason: "number of tasks or demand is out of range"}
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return &fault.Invalid{Field: field, Reason: "waits for a step that does not precede it"}
			}
		}
		total += step.Tasks
	}
	// The product of the two may overflow.
	if total == 0 || s.Occurrences < 0 || max(1, s.Occurrences) > MaxTasks/total {
		return &fault.Invalid{Field: "steps", Reason: "too few or too many tasks", Allowed: "1 to " + strconv.Itoa(MaxTasks)}
	}
	return nil
}

const (
	// maxTimeMS bounds times, in Unix ms. It is far beyond any real clock.
	maxTimeMS = 1 << 52
	// maxIntervalMS bounds the time between two occurrences: 14 years. Even with the
	// maximum number of occurrences, the last one is not beyond twice maxTimeMS.
	maxIntervalMS = maxTimeMS / MaxTasks
	// maxDurationMS bounds durations: one day.
	maxDurationMS = 86_400_000
)

// Clamp limits the job's values to ranges in which sums and loops over them are safe.
// It does not change what the job otherwise asks for.
func (s *Spec) Clamp() {
	s.FirstMS = min(max(s.FirstMS, -maxTimeMS), maxTimeMS)
	s.IntervalMS = min(max(s.IntervalMS, -maxIntervalMS), maxIntervalMS)
	for i := range s.Steps {
		s.Steps[i].EstimateMS = min(max(s.Steps[i].EstimateMS, 0), maxDurationMS)
		// Each duplicate would cost another check of the whole step.
		after := slices.Clone(s.Steps[i].After)
		slices.Sort(after)
		s.Steps[i].After = slices.Compact(after)
	}
}

// maxStretch bounds Queue.Stretch.
const maxStretch = 1_000_000

// Clamp limits the configuration's values to ranges in which sums do not overflow. The
// configuration is valid with any of them.
func (c *Configuration) Clamp() {
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Stretch = min(max(q.Stretch, 0), maxStretch)
		q.SlackMS = min(max(q.SlackMS, -maxTimeMS), maxTimeMS)
	}
	c.clampCustomers()
}

// Clamp limits the wave's values to ranges in which sums do not overflow, and removes
// duplicate hosts.
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
