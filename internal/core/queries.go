package core

import (
	"context"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// ReadJobState implements link.Handler.
func (c *Core) ReadJobState(_ context.Context, ref *link.JobRef) (*link.Answer, error) {
	if _, err := c.localLeader(); err != nil {
		return c.errorAnswer(err), nil
	}
	if err := c.stateMachine.CheckAccess(ref.Caller(), ref.Job); err != nil {
		return c.errorAnswer(err), nil
	}
	state, ok := c.stateMachine.JobState(ref.Job)
	if !ok {
		return c.noJob(ref), nil
	}
	return &link.Answer{Code: link.Done, State: state}, nil
}

// noJob returns the answer for a job that does not exist: the same as for one of another
// customer.
func (c *Core) noJob(ref *link.JobRef) *link.Answer {
	return c.errorAnswer(&fault.NotFound{Kind: "job", Name: ref.Job})
}

// CountWaiting implements link.Handler.
func (c *Core) CountWaiting(_ context.Context, ref *link.JobRef) (*link.Answer, error) {
	if _, err := c.localLeader(); err != nil {
		return c.errorAnswer(err), nil
	}
	cfg := c.stateMachine.Configuration()
	if cfg == nil {
		return c.errorAnswer(&fault.Unavailable{What: "configuration", Reason: "none was accepted yet"}), nil
	}
	queue, ok := cfg.Route(ref.Domain, ref.Path)
	if !ok {
		return &link.Answer{Code: link.NoQueue}, nil
	}
	if err := c.stateMachine.CheckAccess(ref.Caller(), ""); err != nil {
		return c.errorAnswer(err), nil
	}
	return &link.Answer{Code: link.Done, Waiting: c.stateMachine.Waiting(queue.Name)}, nil
}

// Customers implements link.Handler.
func (c *Core) Customers(context.Context, *link.Empty) (*link.CustomersAnswer, error) {
	l, err := c.localLeader()
	if err != nil {
		return &link.CustomersAnswer{Answer: *c.errorAnswer(err)}, nil
	}
	return &link.CustomersAnswer{Answer: link.Answer{Code: link.Done}, Customers: l.Customers()}, nil
}

// Explain implements link.Handler.
func (c *Core) Explain(_ context.Context, q *leader.Question) (*link.ExplainAnswer, error) {
	l, err := c.localLeader()
	if err != nil {
		return &link.ExplainAnswer{Answer: *c.errorAnswer(err)}, nil
	}
	explanation, err := l.Explain(q)
	if err != nil {
		return &link.ExplainAnswer{Answer: *c.errorAnswer(err)}, nil
	}
	return &link.ExplainAnswer{
		Answer: link.Answer{Code: link.Done}, Explanation: explanation, Submission: *c.resultAnswer(explanation.Refusal),
	}, nil
}

// Members implements link.Handler.
func (c *Core) Members(context.Context, *link.Empty) (*link.Members, error) {
	s := c.replica.Status()
	m := &link.Members{Leader: s.Leader, Term: s.Term, Hosts: c.memberHosts()}
	if cfg := c.stateMachine.Configuration(); cfg != nil {
		m.Limits, m.Version = cfg.Limits, cfg.Version
	}
	return m, nil
}

// Configuration returns the newest acknowledged configuration, nil before the
// first one. The read is linearizable. Errors: those of localLeader and of
// replica.Group.
func (c *Core) Configuration(ctx context.Context) (*work.Configuration, error) {
	if _, err := c.localLeader(); err != nil {
		return nil, err
	}
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return c.stateMachine.Configuration(), nil
}

// WaveComplete reports whether maintenance has begun on all hosts of a wave. It
// returns *fault.NotFound for an unknown wave.
func (c *Core) WaveComplete(id int64) (bool, error) {
	if _, err := c.localLeader(); err != nil {
		return false, err
	}
	complete, found := c.stateMachine.WaveComplete(id)
	if !found {
		return false, &fault.NotFound{Kind: "wave", Name: "wave"}
	}
	return complete, nil
}
