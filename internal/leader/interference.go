package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// interferes reports whether the tasks of a step disturb others on their host or are disturbed
// by them.
func interferes(s *work.Step) bool { return s.FillIn || s.TailLatencyTargetMS > 0 }

// isWaitTimed reports whether it matters since when tasks of a step have waited for a host.
func isWaitTimed(s *work.Step) bool { return s.LongLived || interferes(s) }

// noteWaitingSteps records since when long-lived steps, and steps that interfere with others,
// have had a task that waits for a host. The mutex is held.
func (l *Leader) noteWaitingSteps(v *work.View) {
	since := map[work.TaskRef]time.Time{}
	note := func(step work.TaskRef) {
		since[step] = l.now()
		if known, ok := l.waitingSteps[step]; ok {
			since[step] = known
		}
	}
	for _, j := range v.Live {
		if j.State.Final() || !j.HasPendingTasks() {
			continue
		}
		for k := range max(1, j.Spec.Occurrences) {
			for i := range j.Spec.Steps {
				if isWaitTimed(&j.Spec.Steps[i]) && len(j.Startable(k, i)) > 0 {
					note(work.TaskRef{Job: j.ID, Occurrence: k, Step: i})
				}
			}
		}
	}
	// A run on a target that this leader has never heard counts as waiting too, since a former
	// leader may have waited for the end of its lease.
	for key, t := range v.Targets {
		if st := l.statuses[key]; st != nil && !st.heard.IsZero() {
			continue
		}
		t.EachRun(func(r work.RunRef) {
			if j, task := v.Find(r.Task); j != nil && !j.State.Final() && isWaitTimed(&j.Spec.Steps[task.Step]) {
				note(stepRef(r.Task))
			}
		})
	}
	l.waitingSteps = since
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
