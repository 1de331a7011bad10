package core

import (
	"context"
	"errors"
	"slices"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// retryAfterMS is the delay after which a caller may retry while there is no ready
// leader: about the duration of an election.
const retryAfterMS = 1000

// neverFitsRetryMS is the delay after which a caller may retry a job that exceeds its
// customer's limit by itself. Only a new configuration can change that.
const neverFitsRetryMS = 30_000

// localLeader returns the leader that runs in this process. Errors: *fault.NotLeader,
// or *fault.Unavailable before a quorum has confirmed its leadership.
func (c *Core) localLeader() (*leader.Leader, error) {
	c.mu.Lock()
	l := c.leading
	c.mu.Unlock()
	if l == nil {
		return nil, &fault.NotLeader{Group: group, Leader: c.remoteLeader()}
	}
	if !l.Confirmed() {
		return nil, &fault.Unavailable{What: "leader", Reason: "it has no quorum yet"}
	}
	return l, nil
}

// remoteLeader returns the leader's host, or "" if none is known or this host leads.
func (c *Core) remoteLeader() string {
	if h := c.replica.Status().Leader; h != c.cfg.Host {
		return h
	}
	return ""
}

// errorAnswer translates an error of a command into an answer.
func (c *Core) errorAnswer(err error) *link.Answer {
	var notLeader *fault.NotLeader
	var notFound *fault.NotFound
	var invalid *fault.Invalid
	var limit *fault.LimitExceeded
	var unavailable *fault.Unavailable
	var unauthorised *fault.Unauthorised
	var neverFits *customer.NeverFits
	var refused *admission.Refused
	switch {
	case errors.As(err, &notLeader):
		return &link.Answer{
			Code: link.NotLeader, Leader: notLeader.Leader, Term: c.replica.Status().Term, RetryAfterMS: retryAfterMS,
		}
	case errors.As(err, &notFound) && notFound.Kind == "queue":
		return &link.Answer{Code: link.NoQueue, Reason: err.Error()}
	case errors.As(err, &unauthorised):
		return &link.Answer{Code: link.Unauthorised, Reason: err.Error()}
	case errors.As(err, &refused):
		return &link.Answer{Code: link.Refused, RetryAfterMS: refused.RetryAfter.Milliseconds(), Reason: err.Error()}
	case errors.As(err, &neverFits):
		return &link.Answer{Code: link.Refused, RetryAfterMS: neverFitsRetryMS, Reason: err.Error()}
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
	l, err := c.localLeader()
	if err != nil {
		return c.errorAnswer(err), nil
	}
	submission := &work.Submission{ID: r.JobRef.Job, Domain: r.JobRef.Domain, Path: r.JobRef.Path, Spec: r.Spec, Key: r.JobRef.Key}
	if err := l.Submit(ctx, submission); err != nil {
		a := c.errorAnswer(err)
		if a.Code == link.Unauthorised {
			return a, nil // counted by the entry host: callers that are not known could fill the log
		}
		c.cfg.Log.Info().Str("job", r.JobRef.Job).Str("code", string(a.Code)).Err(err).Msg("job not accepted")
		return a, nil
	}
	c.cfg.Log.Info().Str("job", r.JobRef.Job).Str("path", r.JobRef.Path).Int("steps", len(r.Spec.Steps)).
		Str("demand", describeSteps(r.Spec.Steps)).Msg("job accepted")
	return &link.Answer{Code: link.Done}, nil
}

// Cancel implements link.Handler.
func (c *Core) Cancel(ctx context.Context, ref *link.JobRef) (*link.Answer, error) {
	l, err := c.localLeader()
	if err != nil {
		return c.errorAnswer(err), nil
	}
	if err := c.stateMachine.CheckAccess(ref.Caller(), ref.Job); err != nil {
		return c.errorAnswer(err), nil
	}
	if _, ok := c.stateMachine.JobState(ref.Job); !ok {
		return c.noJob(ref), nil
	}
	result, err := l.Propose(ctx, &work.Command{Cancel: ref.Job})
	if err == nil {
		err = result.Err
	}
	if err != nil {
		return c.errorAnswer(err), nil
	}
	c.cfg.Log.Info().Str("job", ref.Job).Msg("job cancelled")
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

// memberHosts returns the hosts of all members, sorted and without duplicates.
func (c *Core) memberHosts() []string {
	var hosts []string
	for _, m := range c.replica.Status().Members {
		hosts = append(hosts, m.Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
