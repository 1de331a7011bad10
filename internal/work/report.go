package work

import "fmt"

// report records the ended runs and checkpoints of a target.
func (s *state) report(r *Report) {
	for _, run := range r.Begun {
		s.noteBegun(run)
	}
	target := s.Targets[r.Target]
	if target == nil {
		return
	}
	for _, c := range r.Checkpoints {
		if _, t := s.find(c.Run.Task); t != nil && t.Run == c.Run.Run && t.Target == r.Target {
			s.setCheckpoint(t, c.Value)
		}
	}
	for _, e := range r.EndedRuns {
		if e.Number <= target.Acknowledged {
			continue
		}
		target.Acknowledged = e.Number
		s.noteBegun(e.Run)
		s.end(target, &e)
	}
	for _, run := range r.Closed {
		s.closeRun(target, run)
	}
	s.removeEnded()
}

// noteBegun records that a run has begun.
func (s *state) noteBegun(run RunRef) {
	if j := s.Jobs[run.Task.Job]; j != nil {
		j.Begun = true
	}
}

// end records the end of a run, unless the run was closed before. A delayed start of a
// run on an earlier incarnation may have begun it in the target.
func (s *state) end(target *Target, e *EndedRun) {
	j, t := s.find(e.Run.Task)
	if j == nil || t.Run != e.Run.Run {
		return
	}
	holder := s.Targets[t.Target]
	if holder == nil || (holder != target && !holder.isEarlierIncarnation(target)) {
		return
	}
	s.closeRun(holder, e.Run)
	if j.State.Final() {
		return
	}
	if e.Checkpoint != "" {
		s.setCheckpoint(t, e.Checkpoint)
	}
	switch e.Outcome {
	case OutcomeDone:
		s.complete(j, t)
	case OutcomeFailed:
		t.Failures++
		t.FailedOn = target.Host
		if !j.Spec.Steps[t.Step].LongLived && t.Failures >= j.Attempts {
			s.finish(j, Failed, fmt.Sprintf("task %d of step %d failed %d times", t.Index, t.Step, t.Failures))
		}
	}
}

// complete marks a task, or all members of its gang, as done. A long-lived task that
// ends is started again instead.
func (s *state) complete(j *Job, t *Task) {
	step := &j.Spec.Steps[t.Step]
	if step.LongLived {
		return
	}
	members := []*Task{t}
	if step.Gang {
		members = j.siblings(t)
	}
	for _, m := range members {
		if !m.Done {
			m.Done = true
			j.open--
		}
	}
	if j.open == 0 {
		s.finish(j, Completed, "all tasks are done")
	}
}

// closeRun records that a run is not alive.
func (s *state) closeRun(target *Target, run RunRef) {
	if target.runs[run.Task].number != run.Run {
		return
	}
	s.removeRun(target, run.Task)
	j, t := s.find(run.Task)
	if j == nil || t.Target != target.Key() || t.Run != run.Run {
		return
	}
	t.Target = ""
	j.active--
	s.releaseFinished(j)
}
