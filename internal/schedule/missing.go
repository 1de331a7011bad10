package schedule

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

// emptyHost is a host that a pool misses.
type emptyHost struct {
	Host
	// longLived is set if a long-lived task needs it.
	longLived bool
}

// isInDemand reports whether the sum of a pool's CPU demand asks for the host that a task
// lacks. It does not if some host has the CPU for the task, nor if the pool already has the
// hosts that the sum asks for: their free CPU is then in pieces that are too small.
func (r *Request) isInDemand(pool string, need work.Demand) bool {
	if r.DemandMet != nil && r.DemandMet(pool) {
		return false
	}
	return !slices.ContainsFunc(r.poolOf(pool).hosts, func(h *Host) bool { return !h.SetAside && need.MilliCPU <= h.Free.MilliCPU })
}

// withoutAwaitingPermit drops as many tasks of a step as the hosts of the pool could
// take if the external policy permitted it.
func (r *Request) withoutAwaitingPermit(j *work.Job, s *work.Step, tasks []*work.Task, placed map[*Host]int) []*work.Task {
	if r.Permitted == nil || !j.PolicyChecked {
		return tasks
	}
	for _, h := range r.poolOf(j.Pool).hosts {
		if len(tasks) > 0 && r.Denied != nil && r.Denied(j, tasks[0], h.Target) {
			continue
		}
		trial := *h
		for n := placed[h]; len(tasks) > 0 && trial.Obstacle(j, tasks[0], s, n) == ""; n++ {
			if tasks[0].FailedOn != "" && h.Target.Host == tasks[0].FailedOn {
				break
			}
			trial.add(s, 1)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// addMissingHosts places the tasks of a step that no host of the pool can take on empty
// hosts. It skips a task that not even an empty host can take. used holds the hosts of the
// other tasks.
func (r *Request) addMissingHosts(j *work.Job, s *work.Step, tasks []*work.Task, used []*Host) {
	p := r.poolOf(j.Pool)
	before, waiting := len(p.missing), tasks
	for i := 0; len(tasks) > 0 && !r.reachedMaxMissing(j.Pool, p, s.LongLived); i++ {
		opened := i == len(p.missing)
		if opened {
			h := r.emptyHost(j, s, tasks[0])
			if h == nil {
				break
			}
			p.missing = append(p.missing, h)
		}
		h, n := p.missing[i], 0
		// A new host takes a task in any case, since it was chosen for it.
		for len(tasks) > 0 && (h.Obstacle(j, tasks[0], s, n) == "" || (opened && n == 0)) {
			h.add(s, 1)
			tasks = tasks[1:]
			n++
		}
		if n > 0 && s.LongLived && !h.longLived {
			h.longLived = true
			r.MissingLongLived[j.Pool]++
		}
		if n > 0 {
			r.noteNeed(j, s, waiting[0])
		}
	}
	if s.Gang && len(tasks) > 0 {
		p.missing = p.missing[:before] // not all members have a place, so none starts
		return
	}
	for _, h := range used {
		if s.Gang && h.Target.Runs() == 0 {
			p.gangHosts[h] = true
		}
	}
	if len(p.missing) > 0 {
		r.MissingHosts[j.Pool] = len(p.missing) + len(p.gangHosts)
	}
}

// noteNeed records what the tasks of a step need that no host of a pool can take.
func (r *Request) noteNeed(j *work.Job, s *work.Step, t *work.Task) {
	need := Need{Demand: s.Reserved(), Label: s.Label}
	if whole := (Need{Demand: s.Demand, Label: s.Label}); s.FillIn && slices.ContainsFunc(r.hostTypes, whole.MetBy) {
		need = whole // a host whose CPU suffices for it
	}
	if j.PolicyChecked {
		need.Policy = j.Ref(t)
		need.Policy.Index = 0
	}
	needs := r.MissingShortNeeds
	if s.LongLived {
		needs = r.MissingNeeds
	}
	if !slices.Contains(needs[j.Pool], need) {
		needs[j.Pool] = append(needs[j.Pool], need)
	}
}

// reachedMaxMissing reports whether a pool misses MaxMissing hosts for long-lived or
// for other tasks.
func (r *Request) reachedMaxMissing(name string, p *pool, longLived bool) bool {
	n := len(p.missing)
	if longLived {
		n = r.MissingLongLived[name]
	}
	return r.MaxMissing > 0 && n >= r.MaxMissing
}

// emptyHost returns an empty host for a task, or nil if no type of host can take it. A type that
// the task should not take is the last choice, and only where no host of the pool is such a one.
func (r *Request) emptyHost(j *work.Job, s *work.Step, t *work.Task) *emptyHost {
	if r.HostTypes == nil {
		return nil
	}
	if r.hostTypes == nil {
		r.hostTypes = r.HostTypes()
	}
	var lastResort *emptyHost
	for _, k := range r.hostTypes {
		h := &emptyHost{Host: Host{Target: &work.Target{Labels: k.Labels}, Free: k.Resources}}
		switch obstacle := h.Obstacle(j, t, s, 0); {
		case obstacle == "":
			return h
		case obstacle.IsPreference() && lastResort == nil:
			lastResort = h
		}
	}
	if slices.ContainsFunc(r.poolOf(j.Pool).hosts, func(h *Host) bool { return h.Obstacle(j, t, s, 0).IsPreference() }) {
		return nil
	}
	return lastResort
}
