package link

import (
	"context"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/founding"
	"agatehaven.dev/agatehaven/internal/work"
)

// Bystander serves the link of a process without a replica. It names the leader,
// if it knows it, and takes part in the founding of the group.
type Bystander struct {
	Acceptor *founding.Acceptor
	// Region returns what is known of the core.
	Region func() Members
	// Told takes what the leader tells of the core.
	Told func(m *Members)
}

var _ Handler = Bystander{}

func (b Bystander) redirect() (*Answer, error) {
	m := b.Region()
	return &Answer{Code: NotLeader, Leader: m.Leader, Term: m.Term}, nil
}

// Submit implements Handler.
func (b Bystander) Submit(context.Context, *SubmitRequest) (*Answer, error) { return b.redirect() }

// Cancel implements Handler.
func (b Bystander) Cancel(context.Context, *Subject) (*Answer, error) { return b.redirect() }

// Look implements Handler.
func (b Bystander) Look(context.Context, *Subject) (*Answer, error) { return b.redirect() }

// Count implements Handler.
func (b Bystander) Count(context.Context, *Subject) (*Answer, error) { return b.redirect() }

// Configure implements Handler.
func (b Bystander) Configure(context.Context, *work.Configuration) (*Answer, error) {
	return b.redirect()
}

// StartWave implements Handler.
func (b Bystander) StartWave(context.Context, *work.Wave) (*Answer, error) { return b.redirect() }

// Announce implements Handler.
func (b Bystander) Announce(context.Context, *work.Announcement) (*Answer, error) {
	return b.redirect()
}

// Leave implements Handler.
func (b Bystander) Leave(context.Context, *LeaveRequest) (*Answer, error) { return b.redirect() }

// Join implements Handler.
func (b Bystander) Join(context.Context, *JoinRequest) (*Answer, error) { return b.redirect() }

// Members implements Handler.
func (b Bystander) Members(context.Context, *Empty) (*Members, error) {
	m := b.Region()
	return &m, nil
}

// Tell implements Handler.
func (b Bystander) Tell(_ context.Context, m *Members) (*Empty, error) {
	b.Told(m)
	return &Empty{}, nil
}

// Step implements Handler. Messages for a replica that is not there are lost.
func (b Bystander) Step(context.Context, *StepRequest) (*Empty, error) {
	return nil, &fault.Unavailable{What: "replica", Reason: "it is not running"}
}

// Found implements Handler.
func (b Bystander) Found(_ context.Context, r *founding.Request) (*founding.Answer, error) {
	a := b.Acceptor.Take(r)
	a.Exists = b.Region().Leader != ""
	return a, nil
}
