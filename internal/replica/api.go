// Package replica runs one replica of a Raft group on one host. It drives a
// raft.Node with storage, ticks and messages, and applies committed entries to
// a state machine.
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
	// Time is the timestamp that the leader gave to the entry. A state machine
	// must use no other time, so that all replicas compute the same state.
	Time hlc.Time
	Data []byte
}

// StateMachine is the replicated state machine. The replica calls all methods
// from one goroutine. Apply must be deterministic. It returns the result for
// the caller of Propose. A result of type *fault.Unsupported stops the replica
// before the entry counts as applied: if a replica skipped an entry of a newer
// version, its state would diverge from that of the others.
type StateMachine interface {
	Apply(e Entry) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// DecodeErrorResult returns what Apply should return for an entry that cannot
// be decoded: err if it is *fault.Unsupported, otherwise result.
func DecodeErrorResult(err error, result any) any {
	var unsupported *fault.Unsupported
	if errors.As(err, &unsupported) {
		return unsupported
	}
	return result
}

// Role is the role of a replica within its group.
type Role string

// Replica roles.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
	RoleLearner   Role = "learner"
)

// Member is one replica of a group's configuration.
type Member struct {
	// ID is "<host>#<incarnation>". A host that lost its disk gets a new
	// incarnation, and so is a new replica unknown to the group.
	ID      string `cbor:"1,keyasint" json:"id"`
	Host    string `cbor:"2,keyasint" json:"host"`
	Learner bool   `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
	// Witness members store the log and vote, but never campaign.
	Witness bool `cbor:"4,keyasint,omitempty" json:"witness,omitempty"`
	// Standby learners become voters only after an explicit promotion.
	Standby bool `cbor:"5,keyasint,omitempty" json:"standby,omitempty"`
	// DataCentre is the data centre of the host, empty if unknown.
	DataCentre string `cbor:"6,keyasint,omitempty" json:"dataCentre,omitempty"`
}

// Status is a snapshot of a replica's state.
type Status struct {
	Group     string   `cbor:"1,keyasint" json:"group"`
	ID        string   `cbor:"2,keyasint" json:"id"`
	Role      Role     `cbor:"3,keyasint" json:"role"`
	Term      uint64   `cbor:"4,keyasint" json:"term"`
	Leader    string   `cbor:"5,keyasint" json:"leader"` // host name, empty if unknown
	Committed uint64   `cbor:"6,keyasint" json:"committed"`
	Applied   uint64   `cbor:"7,keyasint" json:"applied"`
	Members   []Member `cbor:"8,keyasint" json:"members"`
	// Reason states why the replica cannot serve, for example a corrupt log.
	Reason string `cbor:"9,keyasint,omitempty" json:"reason,omitempty"`
}

// Group is the interface of a running replica for the rest of its process.
type Group interface {
	// Propose appends data to the log and returns the state machine's result
	// once the entry has been applied on this replica. Errors without effect:
	// *fault.NotLeader, *fault.LimitExceeded, and *fault.ClockSkew if the
	// leader's clock differs too much from the majority's. After
	// *fault.ProposalUnknown the entry may still be committed.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadBarrier returns once the local state machine reflects every entry
	// committed before the call. Only the leader serves it; others return
	// *fault.NotLeader.
	ReadBarrier(ctx context.Context) error
	// Status returns the current status.
	Status() Status
	// Changed returns a channel that is closed when the next entry is applied or
	// the leader or role changes.
	Changed() <-chan struct{}
	// AddReplica adds a learner that becomes a voter once it has caught up. It
	// returns *fault.Precondition while another membership change is pending.
	AddReplica(ctx context.Context, m Member) error
	// RemoveReplica removes a member by id.
	RemoveReplica(ctx context.Context, id string) error
	// TransferLeadership transfers the leadership to the active follower with
	// the longest log.
	TransferLeadership(ctx context.Context) error
}
