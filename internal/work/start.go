package work

import (
	"slices"
)

// start starts runs. A gang starts as a whole or not at all, since its members only wait for
// each other otherwise.
func (s *state) start(starts []Start) *Result {
	result := &Result{}
	for len(starts) > 0 {
		n, gang := s.leadingGang(starts)
		if !gang || s.isWholeGang(starts[:n]) {
			result.Started = append(result.Started, s.startRuns(starts[:n])...)
		}
		starts = starts[n:]
	}
	return result
}

// leadingGang returns how many of the first starts are those of one gang, or 1 and false.
func (s *state) leadingGang(starts []Start) (n int, gang bool) {
	j, t := s.find(starts[0].Task)
	if j == nil || !j.Spec.Steps[t.Step].Gang {
		return 1, false
	}
	n = 1
	for n < len(starts) && sameStep(starts[n].Task, starts[0].Task) {
		n++
	}
	return n, true
}

// sameStep reports whether two tasks belong to the same step and occurrence.
func sameStep(a, b TaskRef) bool {
	a.Index, b.Index = 0, 0
	return a == b
}

// isWholeGang reports whether starts are those of all members of a gang, and none of them
// would be refused beside the others.
func (s *state) isWholeGang(starts []Start) bool {
	j, first := s.find(starts[0].Task)
	if j.isForming(first) || len(starts) < j.Spec.Steps[first.Step].Tasks {
		return false
	}
	placed := map[TaskRef]*Target{}
	defer func() {
		for task, target := range placed {
			s.removeRun(target, task)
		}
	}()
	for _, st := range starts {
		_, t := s.find(st.Task)
		target := s.Targets[st.Target]
		if t == nil || target == nil || placed[st.Task] != nil || s.refusalReason(j, t, target) != "" {
			return false
		}
		s.addRun(target, j, st.Task, 0)
		placed[st.Task] = target
	}
	return true
}

// startRuns starts the runs that are not refused.
func (s *state) startRuns(starts []Start) []StartedRun {
	var started []StartedRun
	for _, st := range starts {
		j, t := s.find(st.Task)
		target := s.Targets[st.Target]
		if j == nil || target == nil || s.refusalReason(j, t, target) != "" {
			continue
		}
		if j.Spec.Steps[t.Step].Gang && !j.isForming(t) {
			shareCheckpoint(j.siblings(t))
		}
		t.Run = s.nextRun(j, t)
		t.Target, t.StartedMS = st.Target, s.NowMS
		s.addRun(target, j, st.Task, t.Run)
		j.active++
		if j.State == Queued {
			j.State = Running
		}
		started = append(started, StartedRun{Start: st, Run: t.Run, Checkpoint: t.Checkpoint, Payload: j.Spec.Payload})
	}
	return started
}

// refusalReason returns why a start is not allowed, or "".
func (s *state) refusalReason(j *Job, t *Task, target *Target) string {
	step := &j.Spec.Steps[t.Step]
	switch {
	case j.State.Final():
		return "job is " + string(j.State)
	case t.Done:
		return "task is done"
	case t.Active():
		return "an earlier run may be alive"
	case target.Ended || target.Draining:
		return "target is leaving"
	case s.predecessorMayRun(target):
		return "runs of an earlier incarnation may be alive on the target"
	case target.Pool != j.Pool:
		return "target is in another pool"
	case !j.Ready(t):
		return "an earlier step is not done"
	case !step.LongLived && t.Failures >= j.Attempts:
		return "attempts are used up"
	case step.Label != "" && !slices.Contains(target.Labels, step.Label):
		return "label is missing"
	case step.MaxPerHost > 0 && target.RunsOfStep(j.ID, t.Occurrence, t.Step) >= step.MaxPerHost:
		return "host has enough tasks of the step"
	case !step.Reserved().Within(s.free(target)):
		return "no free capacity"
	case s.exceedsLimit(j.Customer, step.Charge()):
		return "limit of the customer"
	}
	return ""
}

// predecessorMayRun reports whether an earlier incarnation with the target's id may
// still have runs, which delayed orders can begin in this one.
func (s *state) predecessorMayRun(target *Target) bool {
	for _, other := range s.ended {
		if other.isEarlierIncarnation(target) {
			return true
		}
	}
	return false
}

// nextRun returns the number of the next run. The members of a gang share it.
func (s *state) nextRun(j *Job, t *Task) int {
	if !j.Spec.Steps[t.Step].Gang {
		return t.Run + 1
	}
	latest := 0
	for _, m := range j.siblings(t) {
		latest = max(latest, m.Run)
	}
	if j.isForming(t) {
		return latest
	}
	return latest + 1
}

// isForming reports whether a member of a task's gang has a run.
func (j *Job) isForming(t *Task) bool {
	return slices.ContainsFunc(j.siblings(t), func(m *Task) bool { return m.Active() })
}

// shareCheckpoint gives all members of a gang the checkpoint that was reported first by any
// of them latest. A member whose target was lost may have reported an older one or none,
// and members that resume at different points never work together.
func shareCheckpoint(members []*Task) {
	since := map[string]int64{}
	for _, m := range members {
		if at, known := since[m.Checkpoint]; !known || m.CheckpointMS < at {
			since[m.Checkpoint] = m.CheckpointMS
		}
	}
	latest := ""
	for _, m := range members { // in a fixed order, since all replicas have to agree
		if m.Checkpoint != "" && (latest == "" || since[m.Checkpoint] > since[latest]) {
			latest = m.Checkpoint
		}
	}
	for _, m := range members {
		m.Checkpoint, m.CheckpointMS = latest, since[latest]
	}
}
