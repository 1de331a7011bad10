package ledger

import "agatehaven.dev/agatehaven/internal/model"

// maxRefusedContinuations is the number of starts in a row that may be refused
// before the checkpoint is given up: a target may refuse for want of a slot,
// but one that cannot use the reference would refuse for ever.
const maxRefusedContinuations = 3

// orderCheckpoints marks the attempts that may be moved. The mark is part of
// the state, so that it outlasts the leader and the owner, and that only an
// ordered end counts as a move.
func (s *State) orderCheckpoints(l *eventLog, c *Checkpoint) {
	for _, item := range c.Attempts {
		rec := s.requests[item.Key]
		if rec == nil || !movable(l.ctx, rec.req, item.Attempt) {
			continue
		}
		r := s.update(rec, func(r *model.Request) { findAttempt(r, item.Attempt).CheckpointOrdered = true })
		l.add(EventCheckpointOrdered, r, findAttempt(r, item.Attempt).Host, item.Attempt, c.Actor, c.Reason)
	}
}

// movable reports whether an attempt may be ordered to end at a checkpoint: its
// job kind allows it, its target can do it and is draining, and its result is
// still wanted.
func movable(c Context, r *model.Request, attempt int) bool {
	a := findAttempt(r, attempt)
	if a == nil || a.State != model.AttemptAssigned || a.CheckpointOrdered || !r.Idempotent || !r.Checkpointable ||
		stopRequested(r) {
		return false
	}
	host, ok := c.Hosts.Host(a.Host)
	return ok && host.State == model.HostDraining && host.Info.Incarnation == a.TargetIncarnation &&
		host.Info.Can(model.CapabilityCheckpoint)
}

// moved reports whether the last attempt that may have begun was ended by a
// checkpoint, so that the request's run is interrupted by the system itself.
func moved(r *model.Request) bool {
	for i := len(r.Attempts) - 1; i >= 0; i-- {
		if a := &r.Attempts[i]; a.State != model.AttemptNotBegun {
			return a.State == model.AttemptCheckpointed || a.CheckpointLost
		}
	}
	return false
}

// resumes reports whether the request goes back to the queue at once after the
// attempt: it was moved, or the move may have cost it its end. Neither is a
// retry: the first was ordered, and the second happens at most twice for each
// order, to the attempt that it ends and to the one that continues. Late
// evidence about an earlier attempt must not spare a later one its retry.
func resumes(r *model.Request, a *model.Attempt) bool {
	return r.Idempotent && lastAttempt(r).Number == a.Number && (a.State == model.AttemptCheckpointed || a.CheckpointLost)
}

// keepCheckpoint takes over the checkpoint that a decided attempt brought, or
// drops the one that it could not continue from. Late evidence about an earlier
// attempt changes nothing, as a later one may hold a later checkpoint.
func keepCheckpoint(r *model.Request, a *model.Attempt, checkpoint []byte) {
	switch {
	case r.State == model.RequestFinished || lastAttempt(r).Number != a.Number:
	case a.State == model.AttemptCheckpointed:
		r.Checkpoint = checkpoint
	case a.FromCheckpoint && a.State == model.AttemptFailed:
		// The checkpoint may be the cause.
		a.CheckpointLost = true
		r.Checkpoint = nil
	case a.CheckpointOrdered && (a.State == model.AttemptFailed || a.State == model.AttemptUnknown):
		// The target may have ended the task and lost its checkpoint.
		a.CheckpointLost = true
	case refusedContinuations(r) >= maxRefusedContinuations:
		r.Checkpoint = nil
	}
}

// refusedContinuations counts the attempts at the end of the list that were to
// continue from the checkpoint and did not begin.
func refusedContinuations(r *model.Request) int {
	n := 0
	for i := len(r.Attempts) - 1; i >= 0; i-- {
		if a := &r.Attempts[i]; !a.FromCheckpoint || a.State != model.AttemptNotBegun {
			break
		}
		n++
	}
	return n
}
