// Package link defines the protocol between the processes of a region: unary
// connect-go calls with CBOR bodies over HTTP/1.1. A call that gets no answer
// closes its connection, so that a silent connection is never reused.
package link

import (
	"context"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/relay"
	"agatehaven.dev/agatehaven/internal/work"
)

// MaxForwardBytes bounds a configuration that a core host forwards for an operator.
// Forwarding and committing a longer one can exceed the operator's time limit, so the
// operator is redirected to the leader.
const MaxForwardBytes = 128 << 10

// Code is the outcome of a call.
type Code string

// Codes of answers.
const (
	// Done means that the call took effect, now or in an earlier attempt.
	Done Code = "done"
	// NotLeader means that the host does not lead and the call had no effect. The
	// answer names the leader, if it is known.
	NotLeader Code = "not_leader"
	// NotReady means that the leader cannot serve now and the call had no effect.
	NotReady Code = "not_ready"
	// Unknown means that the call may have taken effect.
	Unknown Code = "unknown"
	// NoQueue means that no queue has this domain and path.
	NoQueue Code = "no_queue"
	// NoJob means that the job does not exist.
	NoJob Code = "no_job"
	// Refused means that the job was not accepted and never runs. RetryAfterMS is the
	// delay before the next attempt.
	Refused Code = "refused"
	// Unauthorised means that the call carries no key that may make it.
	Unauthorised Code = "unauthorised"
	// Invalid means that the order can never be carried out.
	Invalid Code = "invalid"
)

// Answer is the answer to a call.
type Answer struct {
	Code Code `cbor:"1,keyasint"`
	// Leader is the leader's host in an answer with code NotLeader, and Term the raft
	// term of the answering host.
	Leader       string        `cbor:"2,keyasint,omitempty"`
	Term         uint64        `cbor:"7,keyasint,omitempty"`
	State        work.JobState `cbor:"3,keyasint,omitempty"`
	Waiting      int           `cbor:"4,keyasint,omitempty"`
	RetryAfterMS int64         `cbor:"5,keyasint,omitempty"`
	Reason       string        `cbor:"6,keyasint,omitempty"`
}

// Err returns nil if the call took effect. Otherwise it returns *fault.Invalid,
// *fault.ProposalUnknown for the group if the call may have taken effect, or
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

// JobRef identifies a queue by domain and path and, unless Job is empty, a job of it.
type JobRef struct {
	Domain string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
	Job    string `cbor:"3,keyasint,omitempty"`
	// Key is the digest of the caller's key, "" without a valid one.
	Key customer.KeyDigest `cbor:"4,keyasint,omitempty"`
}

// Caller returns who makes the call.
func (r *JobRef) Caller() *work.Caller {
	return &work.Caller{Domain: r.Domain, Path: r.Path, Key: r.Key}
}

// SubmitRequest submits a job.
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

// JoinRequest asks the leader to add a replica to the group.
type JoinRequest struct {
	ID         string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// Members lists the hosts of the core's members, and the leader in a term.
type Members struct {
	Leader string   `cbor:"1,keyasint,omitempty"`
	Hosts  []string `cbor:"2,keyasint,omitempty"`
	Term   uint64   `cbor:"3,keyasint,omitempty"`
	// Limits are those of the configuration in force, nil if it is not known or has none.
	Limits *work.RequestLimits `cbor:"4,keyasint,omitempty"`
	// Version is the version of that configuration, 0 if it is not known.
	Version uint64 `cbor:"5,keyasint,omitempty"`
}

// LeaveRequest tells that a target has left: it is the last message of a target.
type LeaveRequest struct {
	Target string `cbor:"1,keyasint"`
}

// CustomersAnswer is the answer to a call for the customers. Customers is set if the code is
// Done.
type CustomersAnswer struct {
	Answer    Answer                  `cbor:"1,keyasint"`
	Customers []leader.CustomerStatus `cbor:"2,keyasint,omitempty"`
}

// ExplainAnswer is the answer to a question where a job would go. The others are set if the
// code of Answer is Done.
type ExplainAnswer struct {
	Answer      Answer              `cbor:"1,keyasint"`
	Explanation *leader.Explanation `cbor:"2,keyasint,omitempty"`
	// Submission is what a submission of the job would be answered, Done for an accepted job.
	Submission Answer `cbor:"3,keyasint"`
}

// Handler serves the link calls of a process.
type Handler interface {
	// Submit accepts a job and commits it.
	Submit(ctx context.Context, r *SubmitRequest) (*Answer, error)
	// Cancel cancels a job.
	Cancel(ctx context.Context, ref *JobRef) (*Answer, error)
	// ReadJobState returns the state of a job. On the wire it is Look.
	ReadJobState(ctx context.Context, ref *JobRef) (*Answer, error)
	// CountWaiting returns the number of jobs of a queue that have not begun.
	CountWaiting(ctx context.Context, ref *JobRef) (*Answer, error)
	// Configure commits a configuration.
	Configure(ctx context.Context, cfg *work.Configuration) (*Answer, error)
	// StartWave starts a maintenance wave.
	StartWave(ctx context.Context, w *work.Wave) (*Answer, error)
	// Announce records an announcement of a target.
	Announce(ctx context.Context, a *work.Announcement) (*Answer, error)
	// Leave records that a target has left.
	Leave(ctx context.Context, r *LeaveRequest) (*Answer, error)
	// Customers returns what operators see of the customers.
	Customers(ctx context.Context, e *Empty) (*CustomersAnswer, error)
	// Explain tells where a job would go now, and why. It changes nothing.
	Explain(ctx context.Context, q *leader.Question) (*ExplainAnswer, error)
	// Members returns the core's members and leader.
	Members(ctx context.Context, e *Empty) (*Members, error)
	// UpdateMembers takes the core's members and leader from the leader. On the wire
	// it is Tell.
	UpdateMembers(ctx context.Context, m *Members) (*Empty, error)
	// Step delivers raft messages.
	Step(ctx context.Context, r *StepRequest) (*Empty, error)
	// Join adds a replica to the group.
	Join(ctx context.Context, r *JoinRequest) (*Answer, error)
	// Exchange takes the replies of a worker and returns orders for it.
	Exchange(ctx context.Context, r *relay.Request) (*relay.Answer, error)
	// Bootstrap takes part in the agreement on the initial members. On the wire it is
	// Found.
	Bootstrap(ctx context.Context, r *bootstrap.Request) (*bootstrap.Answer, error)
}
