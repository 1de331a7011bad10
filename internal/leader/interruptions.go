package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// budget counts how many long-lived tasks of each step are not up, so that no more of
// them are interrupted at the same time than their step allows.
type budget struct {
	l *Leader
	v *work.View
	// steps holds the counts by job, occurrence and step.
	steps map[work.TaskRef]*interruptions
}

// interruptions counts the tasks of a step that are away.
type interruptions struct {
	// away is the number of tasks that are not known to be up.
	away int
	// stopping is set while a stop is in progress on a host that does not drain.
	stopping bool
}

func newBudget(l *Leader, v *work.View) *budget {
	return &budget{l: l, v: v, steps: map[work.TaskRef]*interruptions{}}
}

// of returns the counts of a task's step.
func (b *budget) of(j *work.Job, t *work.Task) *interruptions {
	key := stepRef(j.Ref(t))
	if known := b.steps[key]; known != nil {
		return known
	}
	n := &interruptions{}
	for i := range j.Tasks {
		other := &j.Tasks[i]
		if other.Step != t.Step || other.Occurrence != t.Occurrence {
			continue
		}
		if !b.l.isUp(j, other) {
			n.away++
		}
		if target := b.v.Targets[other.Target]; target != nil && !target.Draining && b.l.isStopping(j, other) {
			n.stopping = true
		}
	}
	b.steps[key] = n
	return n
}

// leaving returns the long-lived runs of a draining target that are to be stopped now.
// They are stopped whatever the limit of their step, since the target ends soon, but not
// while a stop of the same step is on its way to another host: that one was decided
// without them, and would exceed the limit if it took effect after theirs.
func (b *budget) leaving(target *work.Target) []work.RunRef {
	var out []work.RunRef
	for _, r := range longLivedRuns(b.v, target) {
		j, t := b.v.Find(r.Task)
		n := b.of(j, t)
		if n.stopping || b.l.isStopping(j, t) {
			continue
		}
		if b.l.isUp(j, t) {
			n.away++
		}
		out = append(out, r)
	}
	return out
}

// mayInterrupt returns how many tasks of a step may be interrupted at a time.
func mayInterrupt(s *work.Step) int { return max(1, s.MaxInterrupted) }

// interruptible returns the long-lived runs of a target that may be stopped now within
// the limits of their steps. The runs in inPlace have no room elsewhere. They are stopped
// last and all at the same time, so that they are away for the maintenance only.
func (b *budget) interruptible(target *work.Target, inPlace map[work.RunRef]bool) []work.RunRef {
	if target.Draining {
		return nil
	}
	var out, last []work.RunRef
	for _, r := range longLivedRuns(b.v, target) {
		j, t := b.v.Find(r.Task)
		if inPlace[r] {
			last = append(last, r)
			continue
		}
		if n := b.of(j, t); b.l.isUp(j, t) && n.away < mayInterrupt(&j.Spec.Steps[t.Step]) {
			n.away++
			out = append(out, r)
		}
	}
	if len(last) > 0 && len(last) == target.Runs() && b.interruptAll(last) {
		return last
	}
	return out
}

// interruptAll counts runs as away if all of them are up and may be stopped at the same
// time. It reports whether they may.
func (b *budget) interruptAll(runs []work.RunRef) bool {
	added := map[*interruptions]int{}
	for _, r := range runs {
		j, t := b.v.Find(r.Task)
		n := b.of(j, t)
		if added[n]++; !b.l.isUp(j, t) || n.away+added[n] > mayInterrupt(&j.Spec.Steps[t.Step]) {
			return false
		}
	}
	for n, count := range added {
		n.away += count
	}
	return true
}

// orderOf returns what is known of the order for a task's run, or nil. The leader's
// mutex is held.
func (l *Leader) orderOf(j *work.Job, t *work.Task) (*session, *order) {
	s := l.sessions[t.Target]
	if s == nil {
		return nil, nil
	}
	return s, s.orders[work.RunRef{Task: j.Ref(t), Run: t.Run}]
}

// isStopping reports whether a stop of a task's run was decided on and the run has not
// ended. The leader's mutex is held.
func (l *Leader) isStopping(j *work.Job, t *work.Task) bool {
	_, o := l.orderOf(j, t)
	return t.Active() && o != nil && (o.stopping || !o.stoppedAt.IsZero())
}

// isUp reports whether a long-lived task is known to be up. A run that the former leader
// has stopped is listed until the stop has taken effect; its later stops are refused,
// since the target has seen a higher token by the time it answers. The leader's mutex is
// held.
func (l *Leader) isUp(j *work.Job, t *work.Task) bool {
	s, o := l.orderOf(j, t)
	if o == nil || !o.isUp || o.stopping || !o.stoppedAt.IsZero() {
		return false
	}
	return o.listedAt.After(l.elected.Add(l.cfg.Timing.Stop+stopMargin)) && l.now().Sub(s.answered) < 2*holdWait
}

// stopMargin is added to the time that a stop takes, for the way of its order.
const stopMargin = 200 * time.Millisecond
