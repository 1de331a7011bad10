package work

import (
	"sync"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/replica"
)

// Limits of the state.
const (
	// RetentionMS is how long the state of a finished job can be read. Callers may ask
	// for it for 120 s; the rest covers clock jumps.
	RetentionMS = 150_000
	// MaxJobs bounds the jobs in memory, including finished ones. At 60 jobs/s, the
	// retention keeps 9,000.
	MaxJobs = 30_000
	// MaxTasks bounds the tasks of one job over all its occurrences.
	MaxTasks = 10_000
	// MaxHosts bounds the hosts of a wave.
	MaxHosts = 10_000
	// MaxTargets bounds the targets, including ended ones with runs: twice the number
	// for 5,600 hosts with two incarnations each.
	MaxTargets = 4 * 5_600
)

// StateMachine implements replica.StateMachine. Queries are safe for concurrent use;
// Apply, Snapshot and Restore are called from one goroutine.
type StateMachine struct {
	mu    sync.RWMutex
	state state
	// changed is closed and replaced at every change.
	changed chan struct{}
	// OnHostOrder, if set before the first entry, is called with every host order that
	// is applied here and with its time in Unix ms. It must not block.
	OnHostOrder func(o HostOrder, announcedMS int64)
}

// state is the content of a snapshot, with indexes.
type state struct {
	NowMS    int64              `cbor:"1,keyasint"`
	Sequence uint64             `cbor:"2,keyasint"`
	Config   *Configuration     `cbor:"3,keyasint,omitempty"`
	Jobs     map[string]*Job    `cbor:"4,keyasint,omitempty"`
	Targets  map[string]*Target `cbor:"5,keyasint,omitempty"`
	Waves    map[int64]*Wave    `cbor:"6,keyasint,omitempty"`
	// Finished lists final jobs in the order in which they ended.
	Finished []string `cbor:"7,keyasint,omitempty"`
	Uploads  uploads  `cbor:"8,keyasint,omitempty"`
	// RecentlyEnded holds the ids of targets that ended recently, with the time in Unix
	// ms.
	RecentlyEnded map[string]int64 `cbor:"9,keyasint,omitempty"`
	// Allowances measures, by customer, the jobs per second that were handed in.
	Allowances map[string]*customer.Allowance `cbor:"10,keyasint,omitempty"`

	// live holds the jobs with unfinished or running tasks.
	live map[string]*Job
	// ended holds the ended targets that are kept for their runs.
	ended map[string]*Target
	// customers indexes the customers of Config, and usage sums up by customer what the runs
	// that may be alive ask for.
	customers customers
	usage     map[string]Demand
}

// New returns an empty state machine.
func New() *StateMachine {
	m := &StateMachine{changed: make(chan struct{})}
	m.state.buildIndexes()
	return m
}

// buildIndexes creates what a snapshot does not hold.
func (s *state) buildIndexes() {
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Targets == nil {
		s.Targets = map[string]*Target{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	if s.RecentlyEnded == nil {
		s.RecentlyEnded = map[string]int64{}
	}
	s.live = map[string]*Job{}
	s.ended = map[string]*Target{}
	s.usage = map[string]Demand{}
	s.configureCustomers()
	for key, t := range s.Targets {
		t.runs, t.used = map[TaskRef]activeRun{}, Demand{}
		if t.Ended {
			s.ended[key] = t
		}
	}
	for _, w := range s.Waves {
		w.initMaps()
	}
	for _, j := range s.Jobs {
		j.indexTasks()
		j.open, j.active = 0, 0
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.Done {
				j.open++
			}
			if t.Active() {
				j.active++
				if target := s.Targets[t.Target]; target != nil {
					s.addRun(target, j, j.ref(t), t.Run)
				}
			}
		}
		if !j.State.Final() || j.active > 0 {
			s.live[j.ID] = j
		}
	}
}

// Apply implements replica.StateMachine.
func (m *StateMachine) Apply(e replica.Entry) any {
	var c Command
	if err := codec.UnmarshalStrict(e.Data, &c); err != nil {
		return replica.DecodeErrorResult(err, &Result{Err: err})
	}
	if c.Part != nil {
		whole, err := m.addPart(e.Term, c.Part)
		if whole == nil {
			return &Result{Err: err}
		}
		c = Command{}
		if err := codec.UnmarshalStrict(whole, &c); err != nil {
			return replica.DecodeErrorResult(err, &Result{Err: err})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.state.apply(&c)
	if m.OnHostOrder != nil {
		for _, o := range c.Orders {
			m.OnHostOrder(o, c.NowMS)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return result
}

// addPart returns the whole command with its last part.
func (m *StateMachine) addPart(term uint64, p *Part) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Uploads.add(term, p)
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(&m.state)
}

// Restore implements replica.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return err
	}
	s.buildIndexes()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func (s *state) apply(c *Command) *Result {
	s.NowMS = max(s.NowMS, c.NowMS)
	s.expireJobs()
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(c.Submit)
	case c.Cancel != "":
		return s.cancel(c.Cancel)
	case c.Register != nil:
		return s.register(c.Register)
	case c.CloseRuns != "":
		s.endTarget(c.CloseRuns, c.TargetEnded)
	case c.Start != nil:
		return s.start(c.Start)
	case len(c.Reports) > 0:
		for i := range c.Reports {
			s.report(&c.Reports[i])
		}
	case c.Wave != nil:
		return s.addWave(c.Wave)
	case len(c.WaveSteps) > 0:
		result := &Result{}
		for i := range c.WaveSteps {
			if err := s.waveStep(&c.WaveSteps[i]); err != nil && result.Err == nil {
				result.Err = err
			}
		}
		return result
	}
	return &Result{}
}

// expireJobs deletes finished jobs after their retention.
func (s *state) expireJobs() {
	for len(s.Finished) > 0 {
		j := s.Jobs[s.Finished[0]]
		if j != nil && (j.active > 0 || (s.NowMS-j.FinishedMS < RetentionMS && len(s.Jobs) <= MaxJobs)) {
			return
		}
		delete(s.Jobs, s.Finished[0])
		s.Finished = s.Finished[1:]
	}
}

func (s *state) configure(c *Configuration) *Result {
	if s.Config != nil && c.Version <= s.Config.Version {
		return &Result{}
	}
	s.Config = c
	s.configureCustomers()
	return &Result{}
}

func (s *state) submit(r *Submission) *Result {
	a, err := s.checkSubmission(r)
	if err != nil {
		return &Result{Err: err}
	}
	if a.queue == nil {
		return &Result{Job: r.ID}
	}
	s.Sequence++
	j := a.job(r)
	j.SubmittedMS, j.Sequence = s.NowMS, s.Sequence
	if a.owner != nil {
		j.BeyondAllowance = !s.allowance(a.owner).Take(a.owner.Weight, s.NowMS)
	}
	j.createTasks()
	s.Jobs[j.ID], s.live[j.ID] = j, j
	return &Result{Job: j.ID}
}

// createTasks creates the tasks of a new job.
func (j *Job) createTasks() {
	for k := range max(1, j.Spec.Occurrences) {
		for i, step := range j.Spec.Steps {
			for n := range step.Tasks {
				j.Tasks = append(j.Tasks, Task{Occurrence: k, Step: i, Index: n})
			}
		}
	}
	j.indexTasks()
	j.open = len(j.Tasks)
}

func (s *state) cancel(id string) *Result {
	j := s.Jobs[id]
	if j == nil {
		return &Result{Err: &fault.NotFound{Kind: "job", Name: id}}
	}
	if !j.State.Final() {
		s.finish(j, Cancelled, "cancelled by its caller")
	}
	return &Result{Job: id}
}

// finish ends a job. Its runs are kept until they are known to have ended.
func (s *state) finish(j *Job, final JobState, reason string) {
	j.State, j.FinishedMS, j.Reason = final, s.NowMS, reason
	s.Finished = append(s.Finished, j.ID)
	s.releaseFinished(j)
}

// releaseFinished frees what a finished job without runs no longer needs.
func (s *state) releaseFinished(j *Job) {
	if j.State.Final() && j.active == 0 {
		delete(s.live, j.ID)
		j.Tasks, j.Spec, j.stepOffsets = nil, Spec{}, nil
	}
}

// register records a target. Earlier incarnations on its host, with its id or at its
// address have ended. It refuses a target that is itself the earlier incarnation with
// *fault.Precondition, and a new target beyond MaxTargets with *fault.LimitExceeded.
func (s *state) register(t *Target) *Result {
	key := t.Key()
	if known := s.Targets[key]; known != nil {
		known.Pool, known.Address, known.Labels, known.Resources = t.Pool, t.Address, t.Labels, t.Resources
		known.Rack, known.DataCentre, known.Host = t.Rack, t.DataCentre, t.Host
		known.Draining = known.Draining || t.Draining
		return &Result{}
	}
	for _, other := range s.Targets {
		if t.replacedBy(other) {
			return &Result{Err: &fault.Precondition{What: "registration of " + key, Reason: "replaced by " + other.Key()}}
		}
	}
	if len(s.Targets) >= MaxTargets && !s.replacesAny(t) {
		return &Result{Err: &fault.LimitExceeded{What: "targets", Limit: MaxTargets}}
	}
	for otherKey, other := range s.Targets {
		switch {
		case !other.replacedBy(t):
		case other.ID == t.ID && other.Address == t.Address:
			// Orders to the earlier incarnation may still reach the later one. At another
			// address they cannot.
			other.Ended, t.TakeoverMS = true, s.NowMS
			s.ended[otherKey] = other
		default:
			s.endTarget(otherKey, true)
		}
	}
	if _, left := s.RecentlyEnded[t.ID]; left {
		t.TakeoverMS = s.NowMS
	}
	t.runs, t.used = map[TaskRef]activeRun{}, Demand{}
	s.Targets[key] = t
	s.removeEnded()
	return &Result{}
}

// replacesAny reports whether a registration of t proves that some target has ended.
func (s *state) replacesAny(t *Target) bool {
	for _, other := range s.Targets {
		if other.replacedBy(t) {
			return true
		}
	}
	return false
}

// removeEnded removes ended targets whose runs are all closed.
func (s *state) removeEnded() {
	for key, t := range s.ended {
		if len(t.runs) == 0 {
			s.removeTarget(key)
		}
	}
}

// removeTarget removes a target.
func (s *state) removeTarget(key string) {
	delete(s.Targets, key)
	delete(s.ended, key)
}

// endTarget closes all runs of a target, after its end or the expiry of its lease.
func (s *state) endTarget(key string, gone bool) {
	t := s.Targets[key]
	if t == nil {
		return
	}
	for ref, run := range t.runs {
		s.closeRun(t, RunRef{ref, run.number})
	}
	t.Ended = t.Ended || gone
	if t.Ended {
		s.removeTarget(key)
		s.noteEnded(t.ID)
	}
}

// endedRetentionMS is how long the id of an ended target is remembered: longer than the
// longest lease that a later incarnation with the id can have taken.
const endedRetentionMS = 60_000

// noteEnded remembers the id of a target that has ended.
func (s *state) noteEnded(id string) {
	for other, at := range s.RecentlyEnded {
		if s.NowMS-at > endedRetentionMS {
			delete(s.RecentlyEnded, other)
		}
	}
	s.RecentlyEnded[id] = s.NowMS
}

// setCheckpoint records where the next run of a task resumes.
func (s *state) setCheckpoint(t *Task, value string) {
	if t.Checkpoint != value {
		t.Checkpoint, t.CheckpointMS = value, s.NowMS
	}
}

// free returns the capacity of a target that no run has reserved.
func (s *state) free(target *Target) Demand { return target.Resources.Sub(target.used) }

// find returns a task and its job, or nil if there is no such task.
func (s *state) find(ref TaskRef) (*Job, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil {
		return nil, nil
	}
	i := j.position(ref)
	if i < 0 {
		return nil, nil
	}
	return j, &j.Tasks[i]
}
