// Package work is the replicated state of a region that runs jobs of several
// steps: the configuration, the jobs with their runs, the targets and the
// maintenance waves. It does no I/O and reads no clock.
package work

// Configuration is one version of the operators' records.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator wrote it.
	Document []byte  `cbor:"2,keyasint"`
	Queues   []Queue `cbor:"3,keyasint"`
	Pools    []Pool  `cbor:"4,keyasint"`
}

// Queue receives jobs and names the pool that runs them.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	// Prefix selects the queue of a path; the longest match wins.
	Prefix string `cbor:"3,keyasint"`
	Pool   string `cbor:"4,keyasint"`
	// Priority 0 is served first.
	Priority int `cbor:"5,keyasint"`
	// Attempts bounds the failed runs of one task.
	Attempts int `cbor:"6,keyasint"`
	// Stretch and SlackMS give the objective of a job: its longest chain of
	// work times Stretch, and SlackMS more.
	Stretch float64 `cbor:"7,keyasint"`
	SlackMS int64   `cbor:"8,keyasint"`
	// PolicyChecked queues may use only hosts that the policy service permits.
	PolicyChecked bool `cbor:"9,keyasint,omitempty"`
	// TimeoutMS bounds a call of the queue's callers.
	TimeoutMS int64 `cbor:"10,keyasint,omitempty"`
}

// Pool is a set of hosts that run the same queues.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Standby pools hold hosts that are switched off.
	Standby bool `cbor:"2,keyasint,omitempty"`
	// EnforcesCapacity is set if the targets themselves refuse what does not fit.
	EnforcesCapacity bool `cbor:"3,keyasint,omitempty"`
}

// Demand is what one task needs of a host, or what a host offers.
type Demand struct {
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPUs     int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of both.
func (d Demand) Add(e Demand) Demand {
	return Demand{d.MilliCPU + e.MilliCPU, d.MemoryMB + e.MemoryMB, d.GPUs + e.GPUs}
}

// Sub returns the difference of both.
func (d Demand) Sub(e Demand) Demand {
	return Demand{d.MilliCPU - e.MilliCPU, d.MemoryMB - e.MemoryMB, d.GPUs - e.GPUs}
}

// Within reports whether no part of d exceeds the one of room.
func (d Demand) Within(room Demand) bool {
	return d.MilliCPU <= room.MilliCPU && d.MemoryMB <= room.MemoryMB && d.GPUs <= room.GPUs
}

// Spec is a job as its caller submitted it.
type Spec struct {
	// Payload is handed to every run unchanged.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint,omitempty"`
	// Occurrences is how often the steps run at their times; 0 is once, at once.
	Occurrences int   `cbor:"3,keyasint,omitempty"`
	FirstMS     int64 `cbor:"4,keyasint,omitempty"` // Unix time
	IntervalMS  int64 `cbor:"5,keyasint,omitempty"`
}

// LongLived reports whether the tasks run until the job is cancelled.
func (s *Spec) LongLived() bool { return len(s.Steps) > 0 && s.Steps[0].LongLived }

// Step is a set of equal tasks.
type Step struct {
	Tasks      int    `cbor:"1,keyasint"`
	Demand     Demand `cbor:"2,keyasint"`
	EstimateMS int64  `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps whose tasks must all be done.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only together, in runs of the same number.
	Gang     bool `cbor:"6,keyasint,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among those of the host.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is where the tasks run fastest.
	DataRack   string `cbor:"9,keyasint,omitempty"`
	MaxPerHost int    `cbor:"10,keyasint,omitempty"`
	// SpeculativeRuns allows several runs of a task at the same time.
	SpeculativeRuns bool `cbor:"11,keyasint,omitempty"`
	// LongLived tasks run until the job is cancelled.
	LongLived bool `cbor:"12,keyasint,omitempty"`
	// Image names what runs; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTargetMS bounds the tail of the response times of a serving task.
	TailLatencyTargetMS int64 `cbor:"14,keyasint,omitempty"`
	// FillIn tasks use what the others leave; their CPU is not reserved.
	FillIn bool `cbor:"15,keyasint,omitempty"`
	// MaxInterrupted is how many lasting tasks planned work may interrupt at a time.
	MaxInterrupted int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a run of the step takes from the room of a host.
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

// Final reports whether the state never changes again.
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
	// SubmittedMS and FinishedMS are times of the leader's clock.
	SubmittedMS int64  `cbor:"10,keyasint"`
	FinishedMS  int64  `cbor:"11,keyasint,omitempty"`
	Tasks       []Task `cbor:"12,keyasint,omitempty"`
	// Reason tells why the job failed.
	Reason string `cbor:"13,keyasint,omitempty"`
	// Sequence orders the jobs by their acceptance.
	Sequence uint64 `cbor:"14,keyasint"`
	// PolicyChecked is taken over from the queue.
	PolicyChecked bool `cbor:"15,keyasint,omitempty"`

	open   int // tasks that are not done
	active int // tasks with a run
	// first holds the position in Tasks of the first task of each step, in the first
	// occurrence. An occurrence has width tasks.
	first []int
	width int
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
	// StartedMS is when the current run was ordered.
	StartedMS int64 `cbor:"9,keyasint,omitempty"`
	// FailedOn is the host of the last run that failed.
	FailedOn string `cbor:"10,keyasint,omitempty"`
}

// Active reports whether a run of the task may be alive.
func (t *Task) Active() bool { return t.Target != "" }

// TaskRef names a task.
type TaskRef struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// RunRef names one run of a task.
type RunRef struct {
	Task TaskRef `cbor:"1,keyasint"`
	Run  int     `cbor:"2,keyasint"`
}

// Target is one life of the executor on a host. A restart is a new target.
type Target struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // Unix time in ms
	Host string `cbor:"3,keyasint"`
	// Pool is the pool that the host had when the target started.
	Pool       string   `cbor:"4,keyasint"`
	Address    string   `cbor:"5,keyasint"`
	DataCentre string   `cbor:"6,keyasint"`
	Rack       string   `cbor:"7,keyasint,omitempty"`
	Labels     []string `cbor:"8,keyasint,omitempty"`
	Resources  Demand   `cbor:"9,keyasint"`
	Draining   bool     `cbor:"10,keyasint,omitempty"`
	// Acknowledged is the number of the last end that was recorded.
	Acknowledged int64 `cbor:"11,keyasint,omitempty"`
	// Ended targets run nothing any more.
	Ended bool `cbor:"12,keyasint,omitempty"`
	// TakeoverMS is when it registered, in Unix ms, if an earlier life had the same
	// id shortly before.
	TakeoverMS int64 `cbor:"13,keyasint,omitempty"`

	runs map[TaskRef]heldRun // the runs that may be alive
	used Demand              // what they reserve
}

// Announcement is what a target says of itself.
type Announcement struct {
	Target Target `cbor:"1,keyasint"`
	// Sequence rises with each announcement of a target.
	Sequence int64 `cbor:"2,keyasint"`
	ClockMS  int64 `cbor:"3,keyasint"` // its steady clock
}

// heldRun is a run that may be alive on a target.
type heldRun struct {
	number int
	need   Demand
}

// hold adds a run that may be alive.
func (t *Target) hold(ref TaskRef, run int, need Demand) {
	t.runs[ref] = heldRun{run, need}
	t.used = t.used.Add(need)
}

// release removes a run that is not alive.
func (t *Target) release(ref TaskRef) {
	t.used = t.used.Sub(t.runs[ref].need)
	delete(t.runs, ref)
}

// Outcome tells how a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired is the end by a lease that was not renewed.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken is the end of a gang run because another member ended.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete is the end of a gang run whose other members did not come.
	OutcomeGangIncomplete Outcome = "alone"
)

// EndedRun is one ended run in the list of a target.
type EndedRun struct {
	Number     int64   `cbor:"1,keyasint"`
	Run        RunRef  `cbor:"2,keyasint"`
	Outcome    Outcome `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
}

// Wave is a maintenance order for a set of hosts.
type Wave struct {
	ID         int64    `cbor:"1,keyasint"`
	Hosts      []string `cbor:"2,keyasint"`
	DurationMS int64    `cbor:"3,keyasint"`
	// MaxDown bounds the hosts that are in maintenance at the same time.
	MaxDown   int   `cbor:"4,keyasint"`
	StartedMS int64 `cbor:"5,keyasint"`
	// Ordered and Begun hold the hosts whose maintenance was ordered and
	// confirmed by the platform, with the times.
	Ordered map[string]int64 `cbor:"6,keyasint,omitempty"`
	Begun   map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Returned holds the hosts that are back in service.
	Returned map[string]bool `cbor:"8,keyasint,omitempty"`
}

// makeMaps makes what a snapshot leaves out if it is empty.
func (w *Wave) makeMaps() {
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
