// Package link is the protocol between the processes of a region: unary
// connect-go calls with CBOR bodies over HTTP/1.1. A call without an answer
// closes its connection, so that a silent connection is never used again.
package link

import (
	"context"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/founding"
	"agatehaven.dev/agatehaven/internal/work"
)

// MaxForwardBytes bounds a configuration that a host forwards for an operator.
// The commit of a longer one can take more time than operators wait for an
// answer, so they are sent to the leader.
const MaxForwardBytes = 128 << 10

// Code tells how a call was settled.
type Code string

// Codes of answers.
const (
	// Done calls took effect, also if an earlier call did the same.
	Done Code = "done"
	// NotLeader answers name the leader, if it is known. The call had no effect.
	NotLeader Code = "not_leader"
	// NotReady answers come from a leader that cannot serve now. The call had
	// no effect.
	NotReady Code = "not_ready"
	// Unknown calls may have taken effect.
	Unknown Code = "unknown"
	// NoQueue answers tell that no queue has this domain and path.
	NoQueue Code = "no_queue"
	// NoJob answers tell that no such job exists.
	NoJob Code = "no_job"
	// Refused jobs never run. RetryAfterMS tells when to try again.
	Refused Code = "refused"
	// Invalid orders are never carried out.
	Invalid Code = "invalid"
)

// Answer settles a call of an entry host.
type Answer struct {
	Code Code `cbor:"1,keyasint"`
	// Leader is the host of the leader in an answer NotLeader, and Term the
	// term of the answering host.
	Leader       string        `cbor:"2,keyasint,omitempty"`
	Term         uint64        `cbor:"7,keyasint,omitempty"`
	State        work.JobState `cbor:"3,keyasint,omitempty"`
	Waiting      int           `cbor:"4,keyasint,omitempty"`
	RetryAfterMS int64         `cbor:"5,keyasint,omitempty"`
	Reason       string        `cbor:"6,keyasint,omitempty"`
}

// Err returns nil if the call took effect, and the failure if not: *fault.Invalid,
// *fault.ProposalUnknown for a group if it may have taken effect, or
// *fault.Unavailable.
func (a *Answer) Err(group string) error {
	switch a.Code {
	case Done:
		return nil
	case Invalid:
		return &fault.Invalid{Field: "call", Reason: a.Reason}
	case Unknown:
		return &fault.ProposalUnknown{Group: group}
	}
	return &fault.Unavailable{What: "leader", Reason: a.Reason}
}

// JobRef names a queue by domain and path, and a job of it by its id.
type JobRef struct {
	Domain string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
	Job    string `cbor:"3,keyasint,omitempty"`
}

// SubmitRequest hands in a job.
type SubmitRequest struct {
	JobRef JobRef    `cbor:"1,keyasint"`
	Spec   work.Spec `cbor:"2,keyasint"`
}

// StepRequest carries encoded raft messages.
type StepRequest struct {
	Messages [][]byte `cbor:"1,keyasint"`
}

// Empty is the answer of calls that return nothing.
type Empty struct{}

// JoinRequest asks the leader to make a replica a member.
type JoinRequest struct {
	ID         string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// Members names the leader and all members of the core, by host.
type Members struct {
	Leader string   `cbor:"1,keyasint,omitempty"`
	Hosts  []string `cbor:"2,keyasint,omitempty"`
	Term   uint64   `cbor:"3,keyasint,omitempty"`
}

// LeaveRequest is the last message of a target.
type LeaveRequest struct {
	Target string `cbor:"1,keyasint"`
}

// Handler is what a process of the region serves.
type Handler interface {
	// Submit accepts a job durably.
	Submit(ctx context.Context, r *SubmitRequest) (*Answer, error)
	// Cancel ends a job.
	Cancel(ctx context.Context, s *JobRef) (*Answer, error)
	// ReadJobState returns the state of a job.
	ReadJobState(ctx context.Context, s *JobRef) (*Answer, error)
	// CountWaiting returns how many jobs of a queue have not begun.
	CountWaiting(ctx context.Context, s *JobRef) (*Answer, error)
	// Configure accepts a configuration.
	Configure(ctx context.Context, cfg *work.Configuration) (*Answer, error)
	// StartWave records a maintenance wave.
	StartWave(ctx context.Context, w *work.Wave) (*Answer, error)
	// Announce takes an announcement of a target.
	Announce(ctx context.Context, a *work.Announcement) (*Answer, error)
	// Leave takes the last message of a target.
	Leave(ctx context.Context, r *LeaveRequest) (*Answer, error)
	// Members returns where the core is.
	Members(ctx context.Context, e *Empty) (*Members, error)
	// UpdateMembers takes from the leader where the core is.
	UpdateMembers(ctx context.Context, m *Members) (*Empty, error)
	// Step takes raft messages.
	Step(ctx context.Context, r *StepRequest) (*Empty, error)
	// Join adds a replica to the group.
	Join(ctx context.Context, r *JoinRequest) (*Answer, error)
	// Bootstrap takes part in the agreement on the first members.
	Bootstrap(ctx context.Context, r *founding.Request) (*founding.Answer, error)
}
