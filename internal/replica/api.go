// Package replica runs one replica of a replicated-log group on one host: it
// drives the deterministic core of package raft with storage, time and
// messages, and applies committed entries to a state machine.
package replica

import (
	"context"
	"errors"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
)

// Entry is one committed log entry as a state machine sees it.
type Entry struct {
	Index uint64
	Term  uint64
	// Time is the proposer's timestamp. It is the only time that a state
	// machine may use, so that all replicas compute the same state.
	Time hlc.Time
	Data []byte
}

// StateMachine is the replicated state. The replica calls all methods from
// one goroutine. Apply must be deterministic; it returns the result that the
// proposer receives. A result of type *fault.Unsupported stops the replica
// before the entry counts as applied: a replica that went on without an entry
// of a newer version would hold another state than the others.
type StateMachine interface {
	Apply(e Entry) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// DecodeErrorResult returns the result of Apply for an entry that cannot be decoded: the
// error itself if it is *fault.Unsupported, otherwise result.
func DecodeErrorResult(err error, result any) any {
	var unsupported *fault.Unsupported
	if errors.As(err, &unsupported) {
		return unsupported
	}
	return result
}

// Role is the role of a replica within its group.
type Role string

// Roles of a replica.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleLearner   Role = "learner"
)

// Member is one replica of a group's configuration.
type Member struct {
	// ID is "<host>#<incarnation>". A host whose disk was lost gets a new
	// incarnation and so is a new, unknown replica.
	ID      string `cbor:"1,keyasint" json:"id"`
	Host    string `cbor:"2,keyasint" json:"host"`
	Learner bool   `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
	// Witness members store the log and vote, but never campaign.
	Witness bool `cbor:"4,keyasint,omitempty" json:"witness,omitempty"`
	// Standby learners become voters only once they are promoted.
	Standby bool `cbor:"5,keyasint,omitempty" json:"standby,omitempty"`
	// DataCentre is where the replica is, empty if that is not known.
	DataCentre string `cbor:"6,keyasint,omitempty" json:"dataCentre,omitempty"`
}

// Status describes a replica at one moment.
type Status struct {
	Group     string   `cbor:"1,keyasint" json:"group"`
	ID        string   `cbor:"2,keyasint" json:"id"`
	Role      Role     `cbor:"3,keyasint" json:"role"`
	Term      uint64   `cbor:"4,keyasint" json:"term"`
	Leader    string   `cbor:"5,keyasint" json:"leader"` // host name, empty if unknown
	Committed uint64   `cbor:"6,keyasint" json:"committed"`
	Applied   uint64   `cbor:"7,keyasint" json:"applied"`
	Members   []Member `cbor:"8,keyasint" json:"members"`
	// Reason explains a replica that cannot serve, such as a corrupt log.
	Reason string `cbor:"9,keyasint,omitempty" json:"reason,omitempty"`
}

// Group is the interface of a running replica to the rest of its process.
type Group interface {
	// Propose appends data to the log and returns the state machine's result
	// after it has been applied here. Errors: *fault.NotLeader (no effect),
	// *fault.LimitExceeded (no effect), *fault.ClockSkew for a leader whose
	// clock is far from the majority's (no effect), *fault.ProposalUnknown (may
	// commit).
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns once the local state machine reflects every entry
	// committed before the call. Only the leader serves it; others return
	// *fault.NotLeader.
	ReadBarrier(ctx context.Context) error
	// Status returns the current status.
	Status() Status
	// Changed returns a channel that is closed at the next applied entry or
	// change of leadership.
	Changed() <-chan struct{}
	// AddReplica adds a learner that becomes a voter once it has caught up.
	// A change while another one is open returns *fault.Precondition.
	AddReplica(ctx context.Context, m Member) error
	// RemoveReplica removes a member by id.
	RemoveReplica(ctx context.Context, id string) error
	// TransferLeadership hands leadership to the best follower.
	TransferLeadership(ctx context.Context) error
}
