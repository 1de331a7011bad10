package link

import (
	"context"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/relay"
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

func (rd Redirector) redirect() (*Answer, error) {
	m := rd.KnownMembers()
	return &Answer{Code: NotLeader, Leader: m.Leader, Term: m.Term}, nil
}

// Submit implements Handler.
func (rd Redirector) Submit(context.Context, *SubmitRequest) (*Answer, error) { return rd.redirect() }

// Cancel implements Handler.
func (rd Redirector) Cancel(context.Context, *JobRef) (*Answer, error) { return rd.redirect() }

// ReadJobState implements Handler.
func (rd Redirector) ReadJobState(context.Context, *JobRef) (*Answer, error) { return rd.redirect() }

// CountWaiting implements Handler.
func (rd Redirector) CountWaiting(context.Context, *JobRef) (*Answer, error) { return rd.redirect() }

// Configure implements Handler.
func (rd Redirector) Configure(context.Context, *work.Configuration) (*Answer, error) {
	return rd.redirect()
}

// StartWave implements Handler.
func (rd Redirector) StartWave(context.Context, *work.Wave) (*Answer, error) { return rd.redirect() }

// Announce implements Handler.
func (rd Redirector) Announce(context.Context, *work.Announcement) (*Answer, error) {
	return rd.redirect()
}

// Leave implements Handler.
func (rd Redirector) Leave(context.Context, *LeaveRequest) (*Answer, error) { return rd.redirect() }

// Join implements Handler.
func (rd Redirector) Join(context.Context, *JoinRequest) (*Answer, error) { return rd.redirect() }

// Customers implements Handler.
func (rd Redirector) Customers(context.Context, *Empty) (*CustomersAnswer, error) {
	a, err := rd.redirect()
	return &CustomersAnswer{Answer: *a}, err
}

// Explain implements Handler.
func (rd Redirector) Explain(context.Context, *leader.Question) (*ExplainAnswer, error) {
	a, err := rd.redirect()
	return &ExplainAnswer{Answer: *a}, err
}

// Members implements Handler.
func (rd Redirector) Members(context.Context, *Empty) (*Members, error) {
	m := rd.KnownMembers()
	return &m, nil
}

// UpdateMembers implements Handler.
func (rd Redirector) UpdateMembers(_ context.Context, m *Members) (*Empty, error) {
	rd.OnMembers(m)
	return &Empty{}, nil
}

// Step implements Handler. It fails: raft messages need a replica.
func (rd Redirector) Step(context.Context, *StepRequest) (*Empty, error) {
	return nil, &fault.Unavailable{What: "replica", Reason: "it is not running"}
}

// Exchange implements Handler. The answer names no term: the host does not lead.
func (rd Redirector) Exchange(context.Context, *relay.Request) (*relay.Answer, error) {
	return &relay.Answer{}, nil
}

// Bootstrap implements Handler.
func (rd Redirector) Bootstrap(_ context.Context, r *bootstrap.Request) (*bootstrap.Answer, error) {
	a := rd.Acceptor.Handle(r)
	a.GroupExists = rd.KnownMembers().Leader != ""
	return a, nil
}
