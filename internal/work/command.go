package work

import "agatehaven.dev/agatehaven/internal/customer"

// Command is one log entry. Exactly one of its commands is set.
type Command struct {
	// NowMS is the leader's wall-clock time in Unix ms.
	NowMS     int64          `cbor:"1,keyasint"`
	Configure *Configuration `cbor:"2,keyasint,omitempty"`
	Submit    *Submission    `cbor:"3,keyasint,omitempty"`
	Cancel    string         `cbor:"4,keyasint,omitempty"`
	Register  *Target        `cbor:"5,keyasint,omitempty"`
	// CloseRuns is the key of a target whose runs have all ended.
	CloseRuns string `cbor:"6,keyasint,omitempty"`
	// TargetEnded is set with CloseRuns if the target itself has ended.
	TargetEnded bool    `cbor:"7,keyasint,omitempty"`
	Start       []Start `cbor:"8,keyasint,omitempty"`
	// Numbers 9 and 11 were used for single reports and single steps of a wave.
	Wave *Wave `cbor:"10,keyasint,omitempty"`
	// Orders announces orders to the platform before they are sent.
	Orders []HostOrder `cbor:"12,keyasint,omitempty"`
	// WaveSteps are applied one by one; the result holds the first error.
	WaveSteps []WaveStep `cbor:"13,keyasint,omitempty"`
	Reports   []Report   `cbor:"14,keyasint,omitempty"`
	Part      *Part      `cbor:"15,keyasint,omitempty"`
}

// Part is a part of an encoded command that is too long for one log entry. The command
// is applied with its last part.
type Part struct {
	// Upload numbers the long commands of one leader, in rising order.
	Upload uint64 `cbor:"1,keyasint"`
	// Offset is the position of Data in the command, and TotalBytes the command's
	// length.
	Offset     int    `cbor:"2,keyasint,omitempty"`
	TotalBytes int    `cbor:"3,keyasint"`
	Data       []byte `cbor:"4,keyasint"`
}

// HostOrder announces an order for a host that a holder is about to send.
type HostOrder struct {
	Host   string `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// Submission submits a job.
type Submission struct {
	ID     string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Path   string `cbor:"3,keyasint"`
	Spec   Spec   `cbor:"4,keyasint"`
	// Key is the digest of the key that the call carried, "" without a valid one.
	Key customer.KeyDigest `cbor:"5,keyasint,omitempty"`
}

// Start starts a run of a task on a target. The state machine assigns the run's number.
type Start struct {
	Task   TaskRef `cbor:"1,keyasint"`
	Target string  `cbor:"2,keyasint"`
}

// Report records what a target reported about its runs.
type Report struct {
	Target    string     `cbor:"1,keyasint"`
	EndedRuns []EndedRun `cbor:"2,keyasint,omitempty"`
	// Closed holds runs that are not alive and can never begin.
	Closed []RunRef `cbor:"3,keyasint,omitempty"`
	// Checkpoints are the latest checkpoints of running runs.
	Checkpoints []Checkpoint `cbor:"4,keyasint,omitempty"`
	// Begun holds runs that have begun, of jobs of which that was not known.
	Begun []RunRef `cbor:"5,keyasint,omitempty"`
}

// Checkpoint is the progress that a run has saved.
type Checkpoint struct {
	Run   RunRef `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// WaveStepKind is a step in the maintenance of a host.
type WaveStepKind string

// Steps in the maintenance of a host.
const (
	MaintenanceOrdered  WaveStepKind = "ordered"
	MaintenanceRefused  WaveStepKind = "refused"
	MaintenanceBegun    WaveStepKind = "begun"
	MaintenanceReturned WaveStepKind = "returned"
	// MaintenanceGone removes a host that has left the fleet from the wave.
	MaintenanceGone WaveStepKind = "gone"
)

// WaveStep records a step in the maintenance of a host.
type WaveStep struct {
	Wave int64        `cbor:"1,keyasint"`
	Host string       `cbor:"2,keyasint"`
	Kind WaveStepKind `cbor:"3,keyasint"`
}

// Result is the result of applying a command.
type Result struct {
	// Err is an error of package fault if the command was refused.
	Err error
	// Started holds the accepted starts in order, with their run numbers.
	Started []StartedRun
	// Job is the id of the submitted or cancelled job.
	Job string
}

// StartedRun is an accepted start.
type StartedRun struct {
	Start
	Run        int
	Checkpoint string
	Payload    string
}
