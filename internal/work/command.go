package work

// Command is one log entry. Exactly one of its parts is set.
type Command struct {
	// NowMS is the leader's wall-clock time in Unix ms.
	NowMS     int64          `cbor:"1,keyasint"`
	Configure *Configuration `cbor:"2,keyasint,omitempty"`
	Submit    *Submission    `cbor:"3,keyasint,omitempty"`
	Cancel    string         `cbor:"4,keyasint,omitempty"`
	Register  *Target        `cbor:"5,keyasint,omitempty"`
	// CloseRuns is the key of a target whose runs have all ended.
	CloseRuns string `cbor:"6,keyasint,omitempty"`
	// TargetEnded is set with End if the target itself has ended.
	TargetEnded bool    `cbor:"7,keyasint,omitempty"`
	Start       []Start `cbor:"8,keyasint,omitempty"`
	// Numbers 9 and 11 stood for single reports and steps of a wave.
	Wave *Wave `cbor:"10,keyasint,omitempty"`
	// Orders announces orders to the platform before they are sent.
	Orders []HostOrder `cbor:"12,keyasint,omitempty"`
	// WaveSteps are applied one by one; the result has the first error.
	WaveSteps []WaveStep `cbor:"13,keyasint,omitempty"`
	Reports   []Report   `cbor:"14,keyasint,omitempty"`
	Part      *Part      `cbor:"15,keyasint,omitempty"`
}

// Part is a piece of an encoded command that is too long for one log entry.
// The last part carries the command out.
type Part struct {
	// Upload names the command among those of one leader, in rising order.
	Upload uint64 `cbor:"1,keyasint"`
	// Offset is where Data begins, and Bytes the length of the whole command.
	Offset     int    `cbor:"2,keyasint,omitempty"`
	TotalBytes int    `cbor:"3,keyasint"`
	Data       []byte `cbor:"4,keyasint"`
}

// HostOrder is an order for a host that a holder is about to send.
type HostOrder struct {
	Host   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Submission asks for a job.
type Submission struct {
	ID     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Path   string `cbor:"3,keyasint"`
	Spec   Spec   `cbor:"4,keyasint"`
}

// Start orders a run of a task on a target. The run's number follows from the
// state.
type Start struct {
	Task   TaskRef `cbor:"1,keyasint"`
	Target string  `cbor:"2,keyasint"`
}

// Report records what a target said of its runs.
type Report struct {
	Target    string     `cbor:"1,keyasint"`
	EndedRuns []EndedRun `cbor:"2,keyasint,omitempty"`
	// Closed are runs that are not alive and can never begin.
	Closed []RunRef `cbor:"3,keyasint,omitempty"`
	// Checkpoints are the latest ones of runs that go on.
	Checkpoints []Checkpoint `cbor:"4,keyasint,omitempty"`
}

// Checkpoint is the progress that a run has saved.
type Checkpoint struct {
	Run   RunRef `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// WaveStepKind is a step of the maintenance of one host.
type WaveStepKind string

// Steps of the maintenance of a host.
const (
	MaintenanceOrdered  WaveStepKind = "ordered"
	MaintenanceRefused  WaveStepKind = "refused"
	MaintenanceBegun    WaveStepKind = "begun"
	MaintenanceReturned WaveStepKind = "returned"
	// MaintenanceGone takes a host that has left for good out of the wave.
	MaintenanceGone WaveStepKind = "gone"
)

// WaveStep records a step of the maintenance of a host.
type WaveStep struct {
	Wave int64        `cbor:"1,keyasint"`
	Host string       `cbor:"2,keyasint"`
	Kind WaveStepKind `cbor:"3,keyasint"`
}

// Result is what the proposer of a command receives.
type Result struct {
	// Err is a type of package fault if the command had no effect.
	Err error
	// Started holds the accepted starts in order, with their run numbers.
	Started []StartedRun
	// Job is the job that a submission or a cancellation is about.
	Job string
}

// StartedRun is an accepted start.
type StartedRun struct {
	Start
	Run        int
	Checkpoint string
	Payload    string
}
