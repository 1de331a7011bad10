package schedule

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

// Room is the capacity that long-lived tasks of a pool can move to. Tasks that are placed
// take their share of it.
type Room struct {
	// Hosts are the hosts of the pool. Their free capacity includes that of runs which will
	// have ended soon.
	Hosts []*Host
	// Joining returns the empty hosts that can join the pool. It is called once, and only if
	// no host of the pool can take a task.
	Joining func() []*Host
	joining []*Host
	// Denied, if set, reports whether an external policy denies a task a target.
	Denied func(j *work.Job, t *work.Task, target *work.Target) bool
	placed map[placement]int
}

// placement is a step that has tasks placed on a host.
type placement struct {
	host *Host
	step work.TaskRef
}

// placementOf returns the placement of a task's step on a host.
func placementOf(h *Host, j *work.Job, t *work.Task) placement {
	step := j.Ref(t)
	step.Index = 0
	return placement{h, step}
}

// Place reserves room for a task and returns its host, or nil if there is no room.
func (r *Room) Place(j *work.Job, t *work.Task) *Host {
	s := &j.Spec.Steps[t.Step]
	h := r.find(j, t, s)
	if h == nil {
		return nil
	}
	h.add(s, 1)
	if r.placed == nil {
		r.placed = map[placement]int{}
	}
	r.placed[placementOf(h, j, t)]++
	return h
}

// Remove returns the room of a task that was placed on a host.
func (r *Room) Remove(h *Host, j *work.Job, t *work.Task) {
	h.add(&j.Spec.Steps[t.Step], -1)
	r.placed[placementOf(h, j, t)]--
}

// Fits reports whether a host has room for a task.
func (r *Room) Fits(j *work.Job, t *work.Task) bool {
	return r.find(j, t, &j.Spec.Steps[t.Step]) != nil
}

// find returns the host with the least free CPU that can take a task: one of the pool, one
// that can join it, or at last one of the pool that it should not take.
func (r *Room) find(j *work.Job, t *work.Task, s *work.Step) *Host {
	best, lastResort := r.findOn(r.Hosts, j, t, s)
	if best != nil {
		return best
	}
	if r.Joining != nil {
		r.joining, r.Joining = r.Joining(), nil
	}
	if best, _ = r.findOn(r.joining, j, t, s); best != nil {
		return best
	}
	return lastResort
}

// findOn returns the best of some hosts, and the best of those that the task should not take.
func (r *Room) findOn(hosts []*Host, j *work.Job, t *work.Task, s *work.Step) (best, lastResort *Host) {
	for _, h := range hosts {
		obstacle := h.Obstacle(j, t, s, r.placed[placementOf(h, j, t)])
		if (obstacle != "" && !obstacle.IsPreference()) || (r.Denied != nil && r.Denied(j, t, h.Target)) {
			continue
		}
		switch {
		case obstacle.IsPreference():
			if lastResort == nil || isBetterLastResort(s, h, lastResort) {
				lastResort = h
			}
		case best == nil || h.Free.MilliCPU < best.Free.MilliCPU:
			best = h
		}
	}
	return best, lastResort
}

// Withdraw removes the host of a target, which tasks can no longer move to.
func (r *Room) Withdraw(target *work.Target) {
	r.Hosts = slices.DeleteFunc(r.Hosts, func(h *Host) bool { return h.Target == target })
}
