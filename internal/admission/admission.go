// Package admission decides which jobs an overloaded pool takes, and when a caller whose job
// was refused may return. It does no I/O and reads no clock.
package admission

import (
	"fmt"
	"hash/fnv"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// LateFactor is for how many times its objective the result of a late job still counts.
	LateFactor = 3
	// minRetry is the shortest delay after which a caller may return: it has to be longer
	// than the round trip of a call, and headers hold whole seconds.
	minRetry = time.Second
	// maxRetry bounds the delay, since a backlog can end sooner than expected.
	maxRetry = 30 * time.Second
	// retrySpread is the share of the delay over which callers are spread, so that those
	// refused in one burst do not return in one.
	retrySpread = 0.5
)

// Pool is the load of a pool.
type Pool struct {
	// InTime is how long the pool takes for the runs and for the accepted jobs that will be in
	// time. Counting includes the other jobs whose results can still count.
	InTime, Counting time.Duration
	// RefusesHopeless is set if jobs are refused that could end only when their result does
	// not count any more. Otherwise they wait.
	RefusesHopeless bool
}

// Job is a job that asks for admission.
type Job struct {
	ID string
	// Chain is the expected duration of its longest chain of steps, and Objective is how long
	// it may take.
	Chain, Objective time.Duration
	// BeyondAllowance is set if its customer hands in more jobs than it is owed.
	BeyondAllowance bool
}

// Refused reports a job that was not accepted and never runs.
type Refused struct {
	// Reason is why the pool does not take the job.
	Reason string
	// RetryAfter is when the pool is expected to have room for it.
	RetryAfter time.Duration
}

func (e *Refused) Error() string {
	return fmt.Sprintf("%s, retry after %s", e.Reason, e.RetryAfter)
}

// Code implements fault.Coded.
func (e *Refused) Code() fault.Code { return fault.CodeLimitExceeded }

// Reasons of refusals.
const (
	ReasonBeyondAllowance = "the pool has no room beyond the customer's rate"
	ReasonHopeless        = "the pool's backlog leaves no time for the job"
)

// Check returns *Refused if the pool should not take the job. A job is never refused while
// the pool has room for it in time, or will have room before a refused caller could return.
func Check(p Pool, j Job) error {
	missedBy := p.InTime - max(j.Objective-j.Chain, minRetry)
	switch {
	case missedBy <= 0:
		return nil
	case j.BeyondAllowance:
		return refuse(&j, ReasonBeyondAllowance, missedBy)
	case p.RefusesHopeless && p.Counting+j.Chain > LateFactor*j.Objective:
		return refuse(&j, ReasonHopeless, missedBy)
	}
	return nil
}

// refuse returns the refusal of a job for which the pool has room after wait.
func refuse(j *Job, reason string, wait time.Duration) error {
	spread := time.Duration(retrySpread * fraction(j.ID) * float64(wait))
	return &Refused{Reason: reason, RetryAfter: min(max(wait+spread, minRetry), maxRetry)}
}

// fraction maps an id to a number from 0 to 1 that is the same at each attempt.
func fraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}
