package link

import (
	"context"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

// Redirector is the link handler of a process without a replica. It redirects calls to
// the leader, if it is known, and takes part in the bootstrap of the group.
type Redirector struct {
	Acceptor *bootstrap.Acceptor
	// KnownMembers returns the core's members and leader as far as they are known.
	KnownMembers func() Members
	// OnMembers is called with each member list that the leader sends.
	OnMembers func(m *Members)
}

var _ Handler = Redirector{}

func (b Redirector) redirect() (*Answer, error) {
	m := b.KnownMembers()
	return &Answer{Code: NotLeader, Leader: m.Leader, Term: m.Term}, nil
}

// Submit implements Handler.
func (b Redirector) Submit(context.Context, *SubmitRequest) (*Answer, error) { return b.redirect() }

// Cancel implements Handler.
func (b Redirector) Cancel(context.Context, *JobRef) (*Answer, error) { return b.redirect() }

// ReadJobState implements Handler.
func (b Redirector) ReadJobState(context.Context, *JobRef) (*Answer, error) { return b.redirect() }

// CountWaiting implements Handler.
func (b Redirector) CountWaiting(context.Context, *JobRef) (*Answer, error) { return b.redirect() }

// Configure implements Handler.
func (b Redirector) Configure(context.Context, *work.Configuration) (*Answer, error) {
	return b.redirect()
}

// StartWave implements Handler.
func (b Redirector) StartWave(context.Context, *work.Wave) (*Answer, error) { return b.redirect() }

// Announce implements Handler.
func (b Redirector) Announce(context.Context, *work.Announcement) (*Answer, error) {
	return b.redirect()
}

// Leave implements Handler.
func (b Redirector) Leave(context.Context, *LeaveRequest) (*Answer, error) { return b.redirect() }

// Join implements Handler.
func (b Redirector) Join(context.Context, *JoinRequest) (*Answer, error) { return b.redirect() }

// Members implements Handler.
func (b Redirector) Members(context.Context, *Empty) (*Members, error) {
	m := b.KnownMembers()
	return &m, nil
}

// UpdateMembers implements Handler.
func (b Redirector) UpdateMembers(_ context.Context, m *Members) (*Empty, error) {
	b.OnMembers(m)
	return &Empty{}, nil
}

// Step implements Handler. It fails: raft messages need a replica.
func (b Redirector) Step(context.Context, *StepRequest) (*Empty, error) {
	return nil, &fault.Unavailable{What: "replica", Reason: "it is not running"}
}

// Bootstrap implements Handler.
func (b Redirector) Bootstrap(_ context.Context, r *bootstrap.Request) (*bootstrap.Answer, error) {
	a := b.Acceptor.Handle(r)
	a.GroupExists = b.KnownMembers().Leader != ""
	return a, nil
}
