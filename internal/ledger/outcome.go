package ledger

import "agatehaven.dev/agatehaven/internal/model"

// maxKeptAttempts bounds the attempts kept in a request, so that it does not grow
// with a target that refuses every start or with waves that move it again and
// again. Only attempts that did not begin, and those ended by a checkpoint order
// except the last, are dropped, since the others prove the outcome.
const maxKeptAttempts = 16

// isOpen reports whether an attempt in this state may still run.
func isOpen(s model.AttemptState) bool {
	return s == model.AttemptAssigned || s == model.AttemptUnknown
}

// countMayHaveBegun counts the attempts without proof that they did not begin.
func countMayHaveBegun(r *model.Request) int {
	n := 0
	for i := range r.Attempts {
		if r.Attempts[i].State != model.AttemptNotBegun {
			n++
		}
	}
	return n
}

func hasAttempt(r *model.Request, s model.AttemptState) bool {
	for i := range r.Attempts {
		if r.Attempts[i].State == s {
			return true
		}
	}
	return false
}

func findAttempt(r *model.Request, number int) *model.Attempt {
	for i := range r.Attempts {
		if r.Attempts[i].Number == number {
			return &r.Attempts[i]
		}
	}
	return nil
}

func lastAttempt(r *model.Request) *model.Attempt {
	if len(r.Attempts) == 0 {
		return nil
	}
	return &r.Attempts[len(r.Attempts)-1]
}

func nextAttempt(r *model.Request) int {
	if last := lastAttempt(r); last != nil {
		return last.Number + 1
	}
	return 1
}

// awaitsRetry reports whether the last attempt of an open request has ended and
// the request waits for a Retry command.
func awaitsRetry(r *model.Request) bool {
	return r.State == model.RequestDispatched && !hasAttempt(r, model.AttemptAssigned)
}

// outcomeOf derives the outcome of a request without assigned attempts from
// the states of its attempts. Not_run needs proof for every attempt.
func outcomeOf(r *model.Request) (o model.Outcome, succeeded bool) {
	switch {
	case hasAttempt(r, model.AttemptSucceeded):
		return model.OutcomeDone, true
	case hasAttempt(r, model.AttemptUnknown), hasAttempt(r, model.AttemptAssigned):
		return model.OutcomeUnknown, false
	case hasAttempt(r, model.AttemptFailed), hasAttempt(r, model.AttemptCheckpointed):
		return model.OutcomeDone, false
	}
	return model.OutcomeNotRun, false
}

// mayRetry reports whether the rules allow another attempt after the current
// ones ended.
func mayRetry(r *model.Request) bool {
	if r.CancelRequested {
		return false
	}
	return countMayHaveBegun(r) == 0 || (r.Idempotent && AttemptsUsed(r) < max(r.MaxAttempts, 1))
}

// AttemptsUsed returns how many attempts of a request count towards its
// MaxAttempts. An attempt that a checkpoint order ended does not, nor does one
// that was lost with its checkpoint.
func AttemptsUsed(r *model.Request) int {
	n := 0
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.State != model.AttemptNotBegun && a.State != model.AttemptCheckpointed && !a.CheckpointLost {
			n++
		}
	}
	return n
}

// trimAttempts drops the oldest attempts that do not prove the outcome.
func trimAttempts(r *model.Request) {
	last := 0 // the last attempt that a checkpoint ended proves that it ran
	for i := range r.Attempts {
		if r.Attempts[i].State == model.AttemptCheckpointed {
			last = r.Attempts[i].Number
		}
	}
	for i := 0; len(r.Attempts) > maxKeptAttempts && i < len(r.Attempts)-1; {
		a := &r.Attempts[i]
		moved := a.State == model.AttemptCheckpointed || (a.CheckpointLost && a.State == model.AttemptFailed)
		if a.State != model.AttemptNotBegun && (!moved || a.Number == last) {
			i++
			continue
		}
		r.Attempts = append(r.Attempts[:i], r.Attempts[i+1:]...)
	}
}
