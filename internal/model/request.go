package model

import "agatehaven.dev/agatehaven/internal/hlc"

// RequestState is the lifecycle state of a request.
type RequestState string

// States of a request.
const (
	RequestQueued     RequestState = "queued"
	RequestDispatched RequestState = "dispatched"
	RequestParked     RequestState = "parked"
	RequestFinished   RequestState = "finished"
)

// Outcome is what the API guarantees about a finished request.
type Outcome string

// Outcomes. OutcomeNotRun is given only with proof that no attempt began.
// OutcomeUnknown may later become one of the others.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// AttemptState is the lifecycle state of one attempt.
type AttemptState string

// States of an attempt. Only AttemptNotBegun proves that it never ran.
const (
	AttemptAssigned  AttemptState = "assigned" // committed; may have been sent to the target
	AttemptSucceeded AttemptState = "succeeded"
	AttemptFailed    AttemptState = "failed" // ran and failed
	AttemptNotBegun  AttemptState = "not_begun"
	AttemptUnknown   AttemptState = "unknown" // no proof either way
	// AttemptCheckpointed: it ran and was stopped at a checkpoint, from which
	// the next attempt continues.
	AttemptCheckpointed AttemptState = "checkpointed"
)

// MaxCheckpointBytes bounds the reference of a checkpoint. The ledger stores the
// reference, which only names the state that targets keep, so it is small.
const MaxCheckpointBytes = 1 << 10

// Attempt is one dispatch of a request to one target.
type Attempt struct {
	Number            int          `cbor:"1,keyasint" json:"number"`
	Host              string       `cbor:"2,keyasint" json:"host"`
	Address           string       `cbor:"3,keyasint" json:"address"`
	TargetIncarnation string       `cbor:"4,keyasint" json:"target_incarnation"`
	Owner             string       `cbor:"5,keyasint" json:"owner"`             // entry host
	OwnerIncarnation  string       `cbor:"6,keyasint" json:"owner_incarnation"` // its process
	State             AttemptState `cbor:"7,keyasint" json:"state"`
	At                hlc.Time     `cbor:"8,keyasint" json:"at"`
	Reason            string       `cbor:"9,keyasint,omitempty" json:"reason,omitempty"`
	// CPUMillis and MemoryMB are reserved on the host for this attempt.
	CPUMillis int `cbor:"10,keyasint,omitempty" json:"cpu_millis,omitempty"`
	MemoryMB  int `cbor:"11,keyasint,omitempty" json:"memory_mb,omitempty"`
	// Released is set when an unknown attempt no longer holds a slot.
	Released bool `cbor:"12,keyasint,omitempty" json:"released,omitempty"`
	// CheckpointOrdered is set when the attempt is to end at a checkpoint, so
	// that its work can move to another host.
	CheckpointOrdered bool `cbor:"13,keyasint,omitempty" json:"checkpoint_ordered,omitempty"`
	// FromCheckpoint is set if the attempt was started with the reference of a
	// checkpoint.
	FromCheckpoint bool `cbor:"14,keyasint,omitempty" json:"from_checkpoint,omitempty"`
	// CheckpointLost is set if the attempt did not succeed after it was ordered
	// to end at a checkpoint or was started from one. The move may be the cause,
	// so the attempt does not count towards MaxAttempts.
	CheckpointLost bool `cbor:"15,keyasint,omitempty" json:"checkpoint_lost,omitempty"`
}

// Request is the state of a request in its home ledger.
type Request struct {
	Key    string `cbor:"1,keyasint" json:"key"`
	Digest string `cbor:"2,keyasint" json:"digest"` // SHA-256 of kind, team and payload
	Kind   string `cbor:"3,keyasint" json:"kind"`
	Team   string `cbor:"4,keyasint" json:"team"`
	// Pool, Priority, Idempotent, MaxAttempts and Checkpointable are copied from
	// the job kind when the key is claimed, so that a later record cannot change
	// them.
	Pool        string       `cbor:"5,keyasint" json:"pool"`
	Priority    Priority     `cbor:"6,keyasint" json:"priority"`
	Idempotent  bool         `cbor:"7,keyasint" json:"idempotent"`
	MaxAttempts int          `cbor:"8,keyasint" json:"max_attempts"`
	Payload     []byte       `cbor:"9,keyasint" json:"payload,omitempty"`
	Claimed     hlc.Time     `cbor:"10,keyasint" json:"claimed"`
	Deadline    hlc.Time     `cbor:"11,keyasint" json:"deadline"`
	State       RequestState `cbor:"12,keyasint" json:"state"`
	Outcome     Outcome      `cbor:"13,keyasint,omitempty" json:"outcome,omitempty"`
	// Succeeded is set for OutcomeDone if the run succeeded.
	Succeeded bool      `cbor:"14,keyasint,omitempty" json:"succeeded,omitempty"`
	Reason    string    `cbor:"15,keyasint,omitempty" json:"reason,omitempty"`
	Answer    []byte    `cbor:"16,keyasint,omitempty" json:"answer,omitempty"`
	Finished  hlc.Time  `cbor:"17,keyasint,omitempty" json:"finished"`
	Attempts  []Attempt `cbor:"18,keyasint,omitempty" json:"attempts,omitempty"`
	// CancelRequested is set when the caller cancels a dispatched request.
	CancelRequested bool `cbor:"19,keyasint,omitempty" json:"cancel_requested,omitempty"`
	// NotBefore is the earliest time of the next attempt (retry backoff).
	NotBefore hlc.Time `cbor:"20,keyasint,omitempty" json:"not_before"`
	CPUMillis int      `cbor:"21,keyasint" json:"cpu_millis"`
	MemoryMB  int      `cbor:"22,keyasint" json:"memory_mb"`
	// Accelerators is the declared number of accelerators.
	Accelerators int `cbor:"23,keyasint,omitempty" json:"accelerators,omitempty"`
	// DetailsExpired is set if only key, digest, times, outcome and the number
	// of the last attempt are left; all other fields are empty.
	DetailsExpired bool `cbor:"24,keyasint,omitempty" json:"details_expired,omitempty"`
	Checkpointable bool `cbor:"25,keyasint,omitempty" json:"checkpointable,omitempty"`
	// Checkpoint is the opaque reference from which the next attempt continues,
	// or empty.
	Checkpoint []byte `cbor:"26,keyasint,omitempty" json:"checkpoint,omitempty"`
}

// WithoutContent returns a copy without payload, answer and checkpoint, which
// belong to the caller and the targets.
func (r *Request) WithoutContent() Request {
	out := *r
	out.Payload, out.Answer, out.Checkpoint = nil, nil, nil
	return out
}

// Assignment tells the owner of an attempt to start it.
type Assignment struct {
	Key               string   `cbor:"1,keyasint"`
	Attempt           int      `cbor:"2,keyasint"`
	Kind              string   `cbor:"3,keyasint"`
	Payload           []byte   `cbor:"4,keyasint"`
	Host              string   `cbor:"5,keyasint"`
	Address           string   `cbor:"6,keyasint"`
	TargetIncarnation string   `cbor:"7,keyasint"`
	CPUMillis         int      `cbor:"8,keyasint"`
	MemoryMB          int      `cbor:"9,keyasint"`
	CanRevoke         bool     `cbor:"10,keyasint"`
	StopRequested     bool     `cbor:"11,keyasint"`
	HostDraining      bool     `cbor:"12,keyasint"`
	At                hlc.Time `cbor:"13,keyasint"`
	StopLimitMS       int      `cbor:"14,keyasint"`
	Accelerators      int      `cbor:"15,keyasint"`
	// OwnerIncarnation is the process that may start the attempt. Another
	// process refuses it; empty leaves the check to the leader.
	OwnerIncarnation string `cbor:"16,keyasint,omitempty"`
	// Checkpoint is the reference from which the attempt continues, or empty.
	Checkpoint []byte `cbor:"17,keyasint,omitempty"`
	// CheckpointRequested asks to end the attempt at a checkpoint. The
	// assignment is repeated as long as that applies; the owner asks its target
	// at most once for each repetition.
	CheckpointRequested bool `cbor:"18,keyasint,omitempty"`
}

// AttemptReport is the result of an attempt as reported by the owner or the
// resolver.
type AttemptReport struct {
	Key     string       `cbor:"1,keyasint"`
	Attempt int          `cbor:"2,keyasint"`
	State   AttemptState `cbor:"3,keyasint"`
	Reason  string       `cbor:"4,keyasint,omitempty"`
	Answer  []byte       `cbor:"5,keyasint,omitempty"`
	// RunMS is the observed run time in milliseconds, 0 if unknown.
	RunMS int64 `cbor:"6,keyasint,omitempty"`
	// Released, with AttemptUnknown, means that the target does not run the
	// attempt and no start can still be in transit: it no longer holds a slot.
	// It does not prove that the attempt never ran.
	Released bool `cbor:"7,keyasint,omitempty"`
	// Checkpoint, with AttemptCheckpointed, is the reference of the checkpoint.
	// It is empty if the target gave no usable one.
	Checkpoint []byte `cbor:"8,keyasint,omitempty"`
}
