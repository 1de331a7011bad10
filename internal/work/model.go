// Package work is the replicated state of a region that runs jobs of several steps: the
// configuration, the jobs with their runs, the targets and the maintenance waves. It
// does no I/O and reads no clock.
package work

// Configuration is one version of the operators' records.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator wrote it.
	Document []byte  `cbor:"2,keyasint"`
	Queues   []Queue `cbor:"3,keyasint"`
	Pools    []Pool  `cbor:"4,keyasint"`
	// Customers are those whose keys open the queues that require one.
	Customers []Customer `cbor:"5,keyasint,omitempty"`
	// Limits bound the requests of callers, nil if the operator set none.
	Limits *RequestLimits `cbor:"6,keyasint,omitempty"`
}

// RequestLimits bound the requests of callers. A limit of 0 is not set.
type RequestLimits struct {
	// HeadBytes bounds a request line with its header lines, BodyBytes a body.
	HeadBytes int64 `cbor:"1,keyasint,omitempty"`
	BodyBytes int64 `cbor:"2,keyasint,omitempty"`
	// HeadMS bounds the time in which a head is sent, and IdleMS that between two requests.
	HeadMS int64 `cbor:"3,keyasint,omitempty"`
	IdleMS int64 `cbor:"4,keyasint,omitempty"`
}

// Queue accepts jobs and names the pool that runs them.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Prefix is the path prefix of the queue's jobs; the longest match wins.
	Prefix string `cbor:"3,keyasint"`
	Pool   string `cbor:"4,keyasint"`
	// Priority orders the queues of a pool: 0 is served first.
	Priority int `cbor:"5,keyasint"`
	// Attempts bounds the failed runs of one task.
	Attempts int `cbor:"6,keyasint"`
	// Stretch and SlackMS define the objective of a job: the expected duration of its
	// longest chain of steps times Stretch, plus SlackMS.
	Stretch float64 `cbor:"7,keyasint"`
	SlackMS int64   `cbor:"8,keyasint"`
	// PolicyChecked is set if the policy service has to permit the hosts of the jobs.
	PolicyChecked bool `cbor:"9,keyasint,omitempty"`
	// TimeoutMS bounds a call by a caller of the queue.
	TimeoutMS int64 `cbor:"10,keyasint,omitempty"`
	// KeyRequired is set if callers need the key of a customer.
	KeyRequired bool `cbor:"11,keyasint,omitempty"`
}

// Pool is a set of hosts that run the same queues.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Standby pools hold hosts that are switched off.
	Standby bool `cbor:"2,keyasint,omitempty"`
	// EnforcesCapacity is set if the targets themselves refuse what does not fit.
	EnforcesCapacity bool `cbor:"3,keyasint,omitempty"`
}

// Demand is what a task needs of a host, or what a host offers.
type Demand struct {
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"cpu_millis"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	GPUs     int64 `cbor:"3,keyasint,omitempty" json:"gpus"`
}

// Add returns the sum of two demands.
func (d Demand) Add(e Demand) Demand {
	return Demand{d.MilliCPU + e.MilliCPU, d.MemoryMB + e.MemoryMB, d.GPUs + e.GPUs}
}

// Sub returns the difference of two demands.
func (d Demand) Sub(e Demand) Demand {
	return Demand{d.MilliCPU - e.MilliCPU, d.MemoryMB - e.MemoryMB, d.GPUs - e.GPUs}
}

// Within reports whether d fits into capacity.
func (d Demand) Within(capacity Demand) bool {
	return d.MilliCPU <= capacity.MilliCPU && d.MemoryMB <= capacity.MemoryMB && d.GPUs <= capacity.GPUs
}

// Spec is a job as its caller submitted it.
type Spec struct {
	// Payload is passed to every run unchanged.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint,omitempty"`
	// Occurrences is how often the steps run, at FirstMS and every IntervalMS after it;
	// 0 means once, immediately.
	Occurrences int   `cbor:"3,keyasint,omitempty"`
	FirstMS     int64 `cbor:"4,keyasint,omitempty"` // Unix time
	IntervalMS  int64 `cbor:"5,keyasint,omitempty"`
}

// LongLived reports whether the tasks run until the job is cancelled.
func (s *Spec) LongLived() bool { return len(s.Steps) > 0 && s.Steps[0].LongLived }

// Step is a set of identical tasks.
type Step struct {
	Tasks      int    `cbor:"1,keyasint"`
	Demand     Demand `cbor:"2,keyasint"`
	EstimateMS int64  `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks only work together: all run at the same time, with the same run
	// number.
	Gang     bool `cbor:"6,keyasint,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the host must have, empty for none.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest.
	DataRack   string `cbor:"9,keyasint,omitempty"`
	MaxPerHost int    `cbor:"10,keyasint,omitempty"`
	// SpeculativeRuns allows several runs of a task at the same time.
	SpeculativeRuns bool `cbor:"11,keyasint,omitempty"`
	// LongLived tasks run until the job is cancelled.
	LongLived bool `cbor:"12,keyasint,omitempty"`
	// Image names the program; tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTargetMS bounds the tail of the response times of a serving task; 0 if
	// the tasks do not serve.
	TailLatencyTargetMS int64 `cbor:"14,keyasint,omitempty"`
	// FillIn tasks use the CPU that others leave; none is reserved for them.
	FillIn bool `cbor:"15,keyasint,omitempty"`
	// MaxInterrupted bounds how many long-lived tasks of the step maintenance may
	// interrupt at a time.
	MaxInterrupted int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the resources that a run of the step reserves on a host.
func (s *Step) Reserved() Demand {
	d := s.Demand
	if s.FillIn {
		d.MilliCPU = 0
	}
	return d
}

// JobState is the state of a job as its caller sees it.
type JobState string

// States of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

// Final reports whether the state is terminal.
func (s JobState) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Job is an accepted job.
type Job struct {
	ID       string   `cbor:"1,keyasint"`
	Queue    string   `cbor:"2,keyasint"`
	Pool     string   `cbor:"3,keyasint"`
	Priority int      `cbor:"4,keyasint,omitempty"`
	Attempts int      `cbor:"5,keyasint"`
	Stretch  float64  `cbor:"6,keyasint"`
	SlackMS  int64    `cbor:"7,keyasint"`
	Spec     Spec     `cbor:"8,keyasint"`
	State    JobState `cbor:"9,keyasint"`
	// SubmittedMS and FinishedMS are times of the leader's clock, in Unix ms.
	SubmittedMS int64  `cbor:"10,keyasint"`
	FinishedMS  int64  `cbor:"11,keyasint,omitempty"`
	Tasks       []Task `cbor:"12,keyasint,omitempty"`
	// Reason tells why the job ended.
	Reason string `cbor:"13,keyasint,omitempty"`
	// Sequence numbers the jobs in the order of their acceptance.
	Sequence uint64 `cbor:"14,keyasint"`
	// PolicyChecked is copied from the queue.
	PolicyChecked bool `cbor:"15,keyasint,omitempty"`
	// Begun is set once a run of the job is known to have begun on a target. State is Running
	// from the first committed start on, which may never be carried out.
	Begun bool `cbor:"16,keyasint,omitempty"`
	// Customer is the customer to whom the job belongs, empty for a job of an open queue.
	Customer string `cbor:"17,keyasint,omitempty"`
	// BeyondAllowance is set if the customer handed in more jobs per second than it is owed.
	BeyondAllowance bool `cbor:"18,keyasint,omitempty"`

	open   int // number of unfinished tasks
	active int // number of tasks with a run
	// stepOffsets holds the index in Tasks of the first task of each step in the first
	// occurrence. Each occurrence has tasksPerOccurrence tasks.
	stepOffsets        []int
	tasksPerOccurrence int
}

// Task is one task of a step in one occurrence. Tasks are ordered by
// occurrence, step and index.
type Task struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	Index      int `cbor:"3,keyasint,omitempty"`
	// Run is the number of the latest run; 0 before the first.
	Run int `cbor:"4,keyasint,omitempty"`
	// Target is the key of the target of the current run, empty without one.
	Target   string `cbor:"5,keyasint,omitempty"`
	Done     bool   `cbor:"6,keyasint,omitempty"`
	Failures int    `cbor:"7,keyasint,omitempty"`
	// Checkpoint is where the next run resumes.
	Checkpoint string `cbor:"8,keyasint,omitempty"`
	// StartedMS is when the current run was committed.
	StartedMS int64 `cbor:"9,keyasint,omitempty"`
	// FailedOn is the host of the last failed run.
	FailedOn string `cbor:"10,keyasint,omitempty"`
	// CheckpointMS is when Checkpoint was recorded, in Unix ms of the leader's clock.
	CheckpointMS int64 `cbor:"11,keyasint,omitempty"`
}

// Active reports whether a run of the task may be alive.
func (t *Task) Active() bool { return t.Target != "" }

// TaskRef identifies a task.
type TaskRef struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// RunRef identifies a run of a task.
type RunRef struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  int     `cbor:"2,keyasint"`
}

// Target is one incarnation of the process that runs tasks on a host. After a restart
// it is a new target.
type Target struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // start time, Unix ms
	Host string `cbor:"3,keyasint"`
	// Pool is the pool of the host when the target started.
	Pool       string   `cbor:"4,keyasint"`
	Address    string   `cbor:"5,keyasint"`
	DataCentre string   `cbor:"6,keyasint"`
	Rack       string   `cbor:"7,keyasint,omitempty"`
	Labels     []string `cbor:"8,keyasint,omitempty"`
	Resources  Demand   `cbor:"9,keyasint"`
	Draining   bool     `cbor:"10,keyasint,omitempty"`
	// Acknowledged is the number of the last recorded ended run.
	Acknowledged int64 `cbor:"11,keyasint,omitempty"`
	// Ended targets run nothing any more. They are kept until all their runs are
	// closed.
	Ended bool `cbor:"12,keyasint,omitempty"`
	// TakeoverMS is when the target registered, in Unix ms, if an earlier incarnation had
	// the same id until shortly before; 0 otherwise.
	TakeoverMS int64 `cbor:"13,keyasint,omitempty"`

	runs map[TaskRef]activeRun // the runs that may be alive
	used Demand                // the resources that they reserve
}

// Announcement is the periodic message of a target.
type Announcement struct {
	Target Target `cbor:"1,keyasint"`
	// Sequence rises with each announcement of a target.
	Sequence int64 `cbor:"2,keyasint"`
	ClockMS  int64 `cbor:"3,keyasint"` // the target's monotonic clock
}

// activeRun is a run that may be alive on a target.
type activeRun struct {
	number int
	need   Demand
	// owner is the customer of the job, empty if it has none, and charge is what the run
	// counts against its limit.
	owner  string
	charge Demand
}

// addRun adds a run that may be alive.
func (t *Target) addRun(ref TaskRef, run activeRun) {
	t.runs[ref] = run
	t.used = t.used.Add(run.need)
}

// removeRun removes a run that is not alive.
func (t *Target) removeRun(ref TaskRef) {
	t.used = t.used.Sub(t.runs[ref].need)
	delete(t.runs, ref)
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired: the lease was not renewed.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken: another member of the gang ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete: the other members of the gang did not start.
	OutcomeGangIncomplete Outcome = "alone"
)

// EndedRun is an ended run in the list of a target.
type EndedRun struct {
	Number     int64   `cbor:"1,keyasint"`
	Run        RunRef  `cbor:"2,keyasint"`
	Outcome    Outcome `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
}

// Wave is a maintenance wave over a set of hosts.
type Wave struct {
	ID         int64    `cbor:"1,keyasint"`
	Hosts      []string `cbor:"2,keyasint"`
	DurationMS int64    `cbor:"3,keyasint"`
	// MaxDown bounds the hosts that are in maintenance at the same time.
	MaxDown   int   `cbor:"4,keyasint"`
	StartedMS int64 `cbor:"5,keyasint"`
	// Ordered and Begun hold when the maintenance of a host was ordered, and when the
	// platform confirmed that it has begun.
	Ordered map[string]int64 `cbor:"6,keyasint,omitempty"`
	Begun   map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Returned holds the hosts that are back in service.
	Returned map[string]bool `cbor:"8,keyasint,omitempty"`
}

// initMaps creates the maps that a snapshot omits when they are empty.
func (w *Wave) initMaps() {
	if w.Ordered == nil {
		w.Ordered = map[string]int64{}
	}
	if w.Begun == nil {
		w.Begun = map[string]int64{}
	}
	if w.Returned == nil {
		w.Returned = map[string]bool{}
	}
}

// Complete reports whether the maintenance of every host has begun.
func (w *Wave) Complete() bool { return len(w.Begun) >= len(w.Hosts) }

// Down returns the number of hosts that may be in maintenance.
func (w *Wave) Down() int { return len(w.Ordered) - len(w.Returned) }
