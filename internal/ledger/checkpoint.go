package ledger

import "agatehaven.dev/agatehaven/internal/model"

// maxRefusedContinuations is the number of consecutive refused starts from a
// checkpoint after which the checkpoint is dropped: a target may refuse because
// it has no free slot, but one that cannot use the checkpoint always refuses.
const maxRefusedContinuations = 3

// orderCheckpoints marks the attempts that may be ended at a checkpoint. The mark
// is part of the replicated state: it survives the leader and the owner, and
// shows whether an end at a checkpoint was ordered.
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
// job kind allows it, its target supports it, its host is draining, and the
// request was neither cancelled nor finished.
func movable(c ApplyContext, r *model.Request, attempt int) bool {
	a := findAttempt(r, attempt)
	if a == nil || a.State != model.AttemptAssigned || a.CheckpointOrdered || !r.Idempotent || !r.Checkpointable ||
		stopRequested(r) {
		return false
	}
	host, ok := c.Hosts.Host(a.Host)
	return ok && host.State == model.HostDraining && host.Info.Incarnation == a.TargetIncarnation &&
		host.Info.Can(model.CapabilityCheckpoint)
}

// endedByCheckpoint reports whether the last attempt that may have begun was
// ended by a checkpoint order, so that the system itself interrupted the run.
func endedByCheckpoint(r *model.Request) bool {
	for i := len(r.Attempts) - 1; i >= 0; i-- {
		if a := &r.Attempts[i]; a.State != model.AttemptNotBegun {
			return a.State == model.AttemptCheckpointed || a.CheckpointLost
		}
	}
	return false
}

// requeuesAtOnce reports whether the request goes back to the queue without a
// Retry command: a checkpoint order ended the attempt, or may have made it fail.
// Neither counts as a retry: the first was ordered, and the second happens at
// most twice for each order, to the attempt that it ends and to the one that
// continues. A late report about an earlier attempt must not let a later one go
// back without a Retry.
func requeuesAtOnce(r *model.Request, a *model.Attempt) bool {
	return r.Idempotent && lastAttempt(r).Number == a.Number && (a.State == model.AttemptCheckpointed || a.CheckpointLost)
}

// updateCheckpoint stores the checkpoint at which an attempt ended, or drops the
// one from which it could not continue. A late report about an earlier attempt
// changes nothing, since a later one may have a later checkpoint.
func updateCheckpoint(r *model.Request, a *model.Attempt, checkpoint []byte) {
	switch {
	case r.State == model.RequestFinished || lastAttempt(r).Number != a.Number:
	case a.State == model.AttemptCheckpointed:
		r.Checkpoint = checkpoint
	case a.FromCheckpoint && a.State == model.AttemptFailed:
		// The checkpoint may be the cause of the failure.
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
