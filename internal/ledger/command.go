// Package ledger is the part of a data centre's state that holds requests:
// their claim, dispatch decisions and outcomes. It guarantees that a
// non-idempotent request runs at most once, and that one with the outcome
// not_run never ran.
package ledger

import (
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// Command changes the ledger. Exactly one field is set.
type Command struct {
	Claim    *Claim    `cbor:"1,keyasint,omitempty"`
	Dispatch *Dispatch `cbor:"2,keyasint,omitempty"`
	Report   *Report   `cbor:"3,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"4,keyasint,omitempty"`
	Expire   *Expire   `cbor:"5,keyasint,omitempty"`
	Park     *Park     `cbor:"6,keyasint,omitempty"`
	Retry    *Retry    `cbor:"7,keyasint,omitempty"`
	// SetLimits replaces the limits by those of the leader's settings.
	SetLimits *Limits `cbor:"8,keyasint,omitempty"`
	// Checkpoint orders attempts to end at a checkpoint.
	Checkpoint *Checkpoint `cbor:"9,keyasint,omitempty"`
}

// Claim creates a request under its key. A known key with the same digest
// returns the existing request; with another digest it returns
// *fault.KeyReused. Full tables return *fault.LimitExceeded.
type Claim struct {
	Key      string   `cbor:"1,keyasint"`
	Kind     string   `cbor:"2,keyasint"`
	Team     string   `cbor:"3,keyasint"`
	Payload  []byte   `cbor:"4,keyasint"`
	Deadline hlc.Time `cbor:"5,keyasint"`
}

// Dispatch assigns attempts to targets. Each item is checked again on apply;
// items whose request, host or slot is no longer eligible are skipped.
type Dispatch struct {
	Items []DispatchItem `cbor:"1,keyasint"`
}

// DispatchItem is one dispatch decision.
type DispatchItem struct {
	Key              string `cbor:"1,keyasint"`
	Attempt          int    `cbor:"2,keyasint"` // must be the next number
	Host             string `cbor:"3,keyasint"`
	Owner            string `cbor:"4,keyasint"`
	OwnerIncarnation string `cbor:"5,keyasint"`
	Reason           string `cbor:"6,keyasint"`
	// CPUMillis and MemoryMB are the learned size to reserve on the host; 0
	// reserves the declared size of the request.
	CPUMillis int `cbor:"7,keyasint,omitempty"`
	MemoryMB  int `cbor:"8,keyasint,omitempty"`
	// LentBy is the pool that lends the host; empty means that the host must
	// belong to the request's own pool.
	LentBy string `cbor:"9,keyasint,omitempty"`
	// Probe sends an idempotent request to a host that is set aside, to find
	// out whether it works again.
	Probe bool `cbor:"10,keyasint,omitempty"`
}

// Report carries results of attempts.
type Report struct {
	Reports []model.AttemptReport `cbor:"1,keyasint"`
}

// Cancel cancels a request: queued or parked ones finish as not_run at once,
// dispatched ones are marked so that the owner stops them.
type Cancel struct {
	Key   string `cbor:"1,keyasint"`
	Actor string `cbor:"2,keyasint"`
}

// Checkpoint orders attempts to end at a checkpoint, so that their requests go
// back to the queue and continue elsewhere. Each attempt is checked again on
// apply; those that may not be moved are skipped.
type Checkpoint struct {
	Attempts []CheckpointItem `cbor:"1,keyasint"`
	Reason   string           `cbor:"2,keyasint"`
	Actor    string           `cbor:"3,keyasint"`
}

// CheckpointItem names one attempt.
type CheckpointItem struct {
	Key     string `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}

// Expire finishes queued and parked requests whose deadline has passed as
// not_run, drops answers after their retention and keys after theirs.
type Expire struct{}

// Park takes a queued request that fits no host out of the queue or, with an
// empty Reason, puts it back.
type Park struct {
	Key    string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Retry puts a request whose last attempt ended back into the queue. Without
// proof that the attempt did not begin it is accepted for idempotent requests
// only. Refused=true records that the retry limits do not allow it, and
// finishes the request.
type Retry struct {
	Key       string   `cbor:"1,keyasint"`
	Attempt   int      `cbor:"2,keyasint"` // the attempt that ended
	NotBefore hlc.Time `cbor:"3,keyasint"`
	Refused   bool     `cbor:"4,keyasint"`
	Reason    string   `cbor:"5,keyasint"`
}
