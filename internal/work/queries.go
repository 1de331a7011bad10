package work

import (
	"strconv"
	"strings"
)

// Route returns the queue with the longest prefix of path.
func (c *Configuration) Route(domain, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Domain == domain && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Pool returns the pool with a name.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i], true
		}
	}
	return nil, false
}

// Key identifies a target. An id alone does not: a later incarnation can use it again.
func (t *Target) Key() string { return t.ID + "@" + strconv.FormatInt(t.Born, 10) }

// Runs returns how many runs may be alive on the target.
func (t *Target) Runs() int { return len(t.runs) }

// EachRun calls f for every run that may be alive on the target.
func (t *Target) EachRun(f func(RunRef)) {
	for ref, run := range t.runs {
		f(RunRef{ref, run.number})
	}
}

// isEarlierIncarnation reports whether the target is an earlier incarnation with the id
// of another one.
func (t *Target) isEarlierIncarnation(later *Target) bool {
	return t.ID == later.ID && t.Born < later.Born
}

// replacedBy reports whether a later incarnation on the same host, with the same id or
// at the same address proves that this one has ended.
func (t *Target) replacedBy(later *Target) bool {
	return later.Born > t.Born && (later.Host == t.Host || later.ID == t.ID || later.Address == t.Address)
}

// ReplacedBy returns the keys of the targets that have ended if t, which the state does
// not hold yet, is a later incarnation.
func (v *View) ReplacedBy(t *Target) []string {
	var keys []string
	for key, other := range v.Targets {
		if !other.Ended && other.replacedBy(t) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Ref returns the reference of a task of the job.
func (j *Job) Ref(t *Task) TaskRef { return j.ref(t) }

func (j *Job) ref(t *Task) TaskRef { return TaskRef{j.ID, t.Occurrence, t.Step, t.Index} }

// indexTasks computes where the tasks of each step begin. Without it, visiting all
// steps one by one would take quadratic time.
func (j *Job) indexTasks() {
	j.stepOffsets, j.tasksPerOccurrence = make([]int, len(j.Spec.Steps)), 0
	for i := range j.Spec.Steps {
		j.stepOffsets[i] = j.tasksPerOccurrence
		j.tasksPerOccurrence += j.Spec.Steps[i].Tasks
	}
}

// position returns the index of a task in Tasks, or -1.
func (j *Job) position(ref TaskRef) int {
	if ref.Step < 0 || ref.Step >= len(j.Spec.Steps) || ref.Index < 0 || ref.Index >= j.Spec.Steps[ref.Step].Tasks ||
		ref.Occurrence < 0 || ref.Occurrence >= max(1, j.Spec.Occurrences) {
		return -1
	}
	if len(j.stepOffsets) != len(j.Spec.Steps) {
		return -1
	}
	i := ref.Occurrence*j.tasksPerOccurrence + j.stepOffsets[ref.Step] + ref.Index
	if i >= len(j.Tasks) {
		return -1
	}
	return i
}

// siblings returns the tasks of the same step and occurrence.
func (j *Job) siblings(t *Task) []*Task {
	first := j.position(TaskRef{j.ID, t.Occurrence, t.Step, 0})
	members := make([]*Task, j.Spec.Steps[t.Step].Tasks)
	for i := range members {
		members[i] = &j.Tasks[first+i]
	}
	return members
}

// Ready reports whether all steps that the task waits for are done.
func (j *Job) Ready(t *Task) bool {
	for _, step := range j.Spec.Steps[t.Step].After {
		first := j.position(TaskRef{j.ID, t.Occurrence, step, 0})
		for i := range j.Spec.Steps[step].Tasks {
			if !j.Tasks[first+i].Done {
				return false
			}
		}
	}
	return true
}

// HasPendingTasks reports whether some task is neither done nor running.
func (j *Job) HasPendingTasks() bool { return j.open > j.active }

// Active reports whether a run of the job may be alive.
func (j *Job) Active() bool { return j.active > 0 }

// Changed returns a channel that is closed at the next change.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Configuration returns the configuration in force, nil before the first one. It must
// not be modified.
func (m *StateMachine) Configuration() *Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Config
}

// JobState returns the state of a job.
func (m *StateMachine) JobState(id string) (JobState, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.state.Jobs[id]
	if j == nil {
		return "", false
	}
	return j.State, true
}

// FinishedJob is the result of a finished job.
type FinishedJob struct {
	State  JobState
	Reason string
	// TookMS is the time from the acceptance to the end of the job.
	TookMS int64
}

// Finished returns the result of a job, or false while it is not finished.
func (m *StateMachine) Finished(id string) (FinishedJob, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.state.Jobs[id]
	if j == nil || !j.State.Final() {
		return FinishedJob{}, false
	}
	return FinishedJob{State: j.State, Reason: j.Reason, TookMS: j.FinishedMS - j.SubmittedMS}, true
}

// Waiting returns how many jobs of a queue have no run that is known to have begun.
func (m *StateMachine) Waiting(queue string) int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	n := 0
	for _, j := range m.state.live {
		if j.Queue == queue && !j.State.Final() && !j.Begun {
			n++
		}
	}
	return n
}

// WaveComplete reports whether the maintenance of every host of a wave has begun, and
// whether the wave exists.
func (m *StateMachine) WaveComplete(id int64) (complete, found bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := m.state.Waves[id]
	return w != nil && w.Complete(), w != nil
}

// IsLeaving reports whether a target is known to be draining or to have ended.
func (m *StateMachine) IsLeaving(key string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.state.Targets[key]
	return t != nil && (t.Draining || t.Ended)
}

// Holds reports whether the state holds a target as it announces itself.
func (m *StateMachine) Holds(t *Target) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known := m.state.Targets[t.Key()]
	return known != nil && known.Pool == t.Pool && known.Address == t.Address && known.Resources == t.Resources &&
		(known.Draining || !t.Draining)
}

// HoldsReady reports whether the state holds a target as it announces itself, and the
// target neither drains nor has ended.
func (m *StateMachine) HoldsReady(t *Target) bool {
	m.mu.RLock()
	known := m.state.Targets[t.Key()]
	ready := known != nil && !known.Draining && !known.Ended && known.Host == t.Host
	m.mu.RUnlock()
	return ready && !t.Draining && m.Holds(t)
}

// View is a read-only view of the state.
type View struct {
	NowMS   int64
	Config  *Configuration
	Targets map[string]*Target
	// Live holds the jobs with unfinished or running tasks.
	Live  map[string]*Job
	Waves map[int64]*Wave

	state *state
}

// Read calls f with the state. f must not retain or change any of it.
func (m *StateMachine) Read(f func(v *View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&View{NowMS: m.state.NowMS, Config: m.state.Config, Targets: m.state.Targets, Live: m.state.live, Waves: m.state.Waves, state: &m.state})
}

// StepDone reports whether all tasks of a step are done in an occurrence.
func (j *Job) StepDone(occurrence, step int) bool {
	first := j.position(TaskRef{j.ID, occurrence, step, 0})
	for i := range j.Spec.Steps[step].Tasks {
		if !j.Tasks[first+i].Done {
			return false
		}
	}
	return true
}

// StepStarted returns when the last unfinished task of a step was started, in Unix ms
// of the leader's clock, and whether all unfinished tasks are running.
func (j *Job) StepStarted(occurrence, step int) (lastMS int64, all bool) {
	first := j.position(TaskRef{j.ID, occurrence, step, 0})
	for i := range j.Spec.Steps[step].Tasks {
		t := &j.Tasks[first+i]
		switch {
		case t.Done:
		case !t.Active():
			return 0, false
		default:
			lastMS = max(lastMS, t.StartedMS)
		}
	}
	return lastMS, true
}

// PendingTasks counts the tasks of a step that are neither done nor running.
func (j *Job) PendingTasks(occurrence, step int) int {
	first, n := j.position(TaskRef{j.ID, occurrence, step, 0}), 0
	for i := range j.Spec.Steps[step].Tasks {
		if t := &j.Tasks[first+i]; !t.Done && !t.Active() {
			n++
		}
	}
	return n
}

// Started reports whether a start of the job was committed. It may not be carried out.
func (j *Job) Started() bool { return j.State != Queued }

// Startable returns the tasks of a step that can be started. A gang starts again only
// after all its members have ended.
func (j *Job) Startable(occurrence, step int) []*Task {
	first := j.position(TaskRef{j.ID, occurrence, step, 0})
	if first < 0 || !j.Ready(&j.Tasks[first]) {
		return nil
	}
	s := &j.Spec.Steps[step]
	var tasks []*Task
	for i := range s.Tasks {
		t := &j.Tasks[first+i]
		if s.Gang && t.Active() {
			return nil
		}
		if !t.Done && !t.Active() && (s.LongLived || t.Failures < j.Attempts) {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// RunsOfStep counts the runs of a step that may be alive on the target.
func (t *Target) RunsOfStep(job string, occurrence, step int) int {
	n := 0
	for ref := range t.runs {
		if ref.Job == job && ref.Step == step && ref.Occurrence == occurrence {
			n++
		}
	}
	return n
}

// Free returns the capacity of a target that no run has reserved.
func (v *View) Free(t *Target) Demand { return v.state.free(t) }

// PredecessorMayRun reports whether an earlier incarnation with the target's id may
// still have runs.
func (v *View) PredecessorMayRun(t *Target) bool { return v.state.predecessorMayRun(t) }

// Find returns a job and its task, or nil if there is no such task.
func (v *View) Find(ref TaskRef) (*Job, *Task) { return v.state.find(ref) }
