package core

import (
	"context"
	"errors"
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// retryAfterMS is when a caller may try again while no leader serves: about
// the time of an election.
const retryAfterMS = 1000

// leaderHere returns the leader of this process while it can serve. Errors:
// *fault.NotLeader, or *fault.Unavailable before it has proved that it leads.
func (c *Core) leaderHere() (*leader.Leader, error) {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return nil, &fault.NotLeader{Group: group, Leader: c.knownLeader()}
	}
	if !l.Confirmed() {
		return nil, &fault.Unavailable{What: "leader", Reason: "it has no quorum yet"}
	}
	return l, nil
}

// knownLeader returns the host of the leader, if it is another host.
func (c *Core) knownLeader() string {
	if h := c.replica.Status().Leader; h != c.cfg.Host {
		return h
	}
	return ""
}

// answerOf turns an error of a command into an answer.
func (c *Core) answerOf(err error) *link.Answer {
	var notLeader *fault.NotLeader
	var notFound *fault.NotFound
	var invalid *fault.Invalid
	var limit *fault.LimitExceeded
	var unavailable *fault.Unavailable
	switch {
	case errors.As(err, &notLeader):
		return &link.Answer{
			Code: link.NotLeader, Leader: notLeader.Leader, Term: c.replica.Status().Term, RetryAfterMS: retryAfterMS,
		}
	case errors.As(err, &notFound) && notFound.Kind == "queue":
		return &link.Answer{Code: link.NoQueue, Reason: err.Error()}
	case errors.As(err, &notFound):
		return &link.Answer{Code: link.NoJob, Reason: err.Error()}
	case errors.As(err, &invalid):
		return &link.Answer{Code: link.Invalid, Reason: err.Error()}
	case errors.As(err, &limit):
		return &link.Answer{Code: link.Refused, RetryAfterMS: retryAfterMS, Reason: err.Error()}
	case errors.As(err, &unavailable):
		return &link.Answer{Code: link.NotReady, RetryAfterMS: retryAfterMS, Reason: err.Error()}
	}
	return &link.Answer{Code: link.Unknown, Reason: err.Error()}
}

// Submit implements link.Handler.
func (c *Core) Submit(ctx context.Context, r *link.SubmitRequest) (*link.Answer, error) {
	l, err := c.leaderHere()
	if err != nil {
		return c.answerOf(err), nil
	}
	result, err := l.Propose(ctx, &work.Command{Submit: &work.Submission{
		ID: r.JobRef.Job, Domain: r.JobRef.Domain, Path: r.JobRef.Path, Spec: r.Spec,
	}})
	if err == nil {
		err = result.Err
	}
	if err != nil {
		a := c.answerOf(err)
		c.cfg.Log.Info().Str("job", r.JobRef.Job).Str("code", string(a.Code)).Err(err).Msg("job not accepted")
		return a, nil
	}
	c.cfg.Log.Info().Str("job", r.JobRef.Job).Str("path", r.JobRef.Path).Int("steps", len(r.Spec.Steps)).Msg("job accepted")
	return &link.Answer{Code: link.Done}, nil
}

// Cancel implements link.Handler.
func (c *Core) Cancel(ctx context.Context, s *link.JobRef) (*link.Answer, error) {
	l, err := c.leaderHere()
	if err != nil {
		return c.answerOf(err), nil
	}
	if _, ok := c.machine.JobState(s.Job); !ok {
		return &link.Answer{Code: link.NoJob}, nil
	}
	result, err := l.Propose(ctx, &work.Command{Cancel: s.Job})
	if err == nil {
		err = result.Err
	}
	if err != nil {
		return c.answerOf(err), nil
	}
	c.cfg.Log.Info().Str("job", s.Job).Msg("job cancelled")
	return &link.Answer{Code: link.Done}, nil
}

// Step implements link.Handler.
func (c *Core) Step(_ context.Context, r *link.StepRequest) (*link.Empty, error) {
	for _, m := range r.Messages {
		if err := c.replica.Step(m); err != nil {
			return nil, err
		}
	}
	return &link.Empty{}, nil
}

// memberHosts returns the hosts of all members.
func (c *Core) memberHosts() []string {
	var hosts []string
	for _, m := range c.replica.Status().Members {
		hosts = append(hosts, m.Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
