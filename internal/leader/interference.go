package leader

import (
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// interferes reports whether the tasks of a step disturb others on their host or are disturbed
// by them.
func interferes(s *work.Step) bool { return s.FillIn || s.TailLatencyTargetMS > 0 }

// isWaitTimed reports whether it matters since when tasks of a step have waited for a host.
func isWaitTimed(s *work.Step) bool { return s.LongLived || interferes(s) }

// noteWaitingSteps records since when long-lived steps, and steps that interfere with others,
// have had a task that waits for a host, or a run that is not known to have begun. Such a run ends
// the wait of its task only once it has begun: its target may be lost, and this leader may not be
// the first to wait for the end of the lease. The mutex is held.
func (l *Leader) noteWaitingSteps(v *work.View) {
	since := map[work.TaskRef]time.Time{}
	for _, j := range v.Live {
		if j.State.Final() || !slices.ContainsFunc(j.Spec.Steps, func(s work.Step) bool { return isWaitTimed(&s) }) {
			continue
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !isWaitTimed(&j.Spec.Steps[t.Step]) || !l.isWaiting(j, t) {
				continue
			}
			step := stepRef(j.Ref(t))
			since[step] = l.now()
			if known, ok := l.waitingSteps[step]; ok {
				since[step] = known
			}
		}
	}
	l.waitingSteps = since
}

// isWaiting reports whether a task could run and has no run that is known to have begun. The
// mutex is held.
func (l *Leader) isWaiting(j *work.Job, t *work.Task) bool {
	if !t.Active() {
		return !t.Done && j.Ready(t)
	}
	s := l.sessions[t.Target]
	if s == nil {
		return true
	}
	o := s.orders[work.RunRef{Task: j.Ref(t), Run: t.Run}]
	return o == nil || o.startedAt.IsZero()
}

// joinMargin is added to the time that a host takes to join a pool, for its order and its
// first announcement.
const joinMargin = time.Second

// mayUseLastResort reports whether a task has waited for long enough to take a host that it should not
// take, with work that it disturbs or that disturbs it, or on which runs have failed: until a host
// that can join its pool would have joined it. The mutex is held.
func (l *Leader) mayUseLastResort(j *work.Job, t *work.Task) bool {
	since, waiting := l.waitingSteps[stepRef(j.Ref(t))]
	wait := missingHostsDelay
	if len(l.fleet.spare) > 0 || l.fleet.isMoving() {
		wait += l.cfg.Timing.Move + joinMargin
	}
	return waiting && l.now().Sub(since) >= wait
}
