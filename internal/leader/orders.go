package leader

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/work"
)

// logRun begins a log line about a run on the session's target.
func (s *session) logRun(r work.RunRef) *zerolog.Event { return s.l.logRun(s.key, r) }

// logRun begins a log line about a run on a target.
func (l *Leader) logRun(target string, r work.RunRef) *zerolog.Event {
	return l.log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).
		Int("run", r.Run).Str("target", target)
}

// startRun orders a committed run in the background, until the target has answered or
// the run is no longer wanted. mayHaveBegun is set if an earlier start may have been
// sent.
func (s *session) startRun(r work.StartedRun, mayHaveBegun bool) {
	ref := work.RunRef{Task: r.Task, Run: r.Run}
	s.l.mu.Lock()
	o := s.orderOf(ref)
	busy := o.starting || o.stopping || !o.stoppedAt.IsZero()
	o.starting = o.starting || !busy
	s.l.mu.Unlock()
	if busy {
		return
	}
	s.wake.signal()
	s.l.wg.Go(func() {
		s.sendStart(ref, r, mayHaveBegun)
		s.l.mu.Lock()
		o.starting = false
		s.l.mu.Unlock()
	})
}

// sendStart repeats a start until its outcome is known. Targets ignore a repeated start
// of a run that they already run.
func (s *session) sendStart(ref work.RunRef, r work.StartedRun, mayHaveBegun bool) {
	var sent time.Time
	unanswered := 0
	for try := 0; s.l.ctx.Err() == nil && s.wanted(ref); try++ {
		if try > 0 && !s.l.sleep(min(retryDelay*time.Duration(try), maxRetryDelay)) {
			return
		}
		if s.isDraining() {
			s.withdrawStart(ref, mayHaveBegun || !sent.IsZero())
			return
		}
		fence, mayStart := s.fenceToken()
		ticket, permitted := s.l.ticketFor(ref.Task, s.to.ID)
		var until int64
		if mayStart && permitted && !s.isSilent() && s.answeredSince(sent) {
			until = s.until() // only for a start that can be sent, since it makes the lease longer
		}
		if until == 0 || !s.l.Confirmed() {
			if sent.IsZero() && !mayHaveBegun && s.isSilent() {
				s.closeUnstarted(ref, "target is silent and no start was sent")
				return
			}
			continue
		}
		sent = s.markStartSent(ref)
		if !s.wanted(ref) {
			return // the target or its job has ended meanwhile
		}
		startsOrdered.Inc()
		ctx, cancel := context.WithTimeout(s.l.ctx, orderTimeout)
		reply, err := s.l.cfg.Targets.Start(ctx, s.to, &StartOrder{
			Run: ref, Payload: r.Payload, Checkpoint: r.Checkpoint, UntilMS: until, Fence: fence, Ticket: ticket,
		})
		cancel()
		if err != nil {
			startsUnanswered.Inc()
			mayHaveBegun = mayHaveBegun || !unsent(err)
			unanswered++
			s.logRun(ref).Err(err).Int("try", try).Msg("start not answered")
			switch {
			case !mayHaveBegun:
				s.l.noteFailure(s.key)
				s.closeUnstarted(ref, "start was not sent")
				return
			case unanswered >= maxUnanswered:
				s.stop(ref) // its task can start elsewhere once the stop is confirmed
				return
			}
			continue
		}
		s.l.learnClock(s.key, reply.ClockMS)
		observe(startSeconds, sent, s.l.now())
		if s.handleStartReply(ref, reply.Refusal, mayHaveBegun) {
			return
		}
	}
}

// isDraining reports whether the target has announced that it drains.
func (s *session) isDraining() (draining bool) {
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		t := v.Targets[s.key]
		draining = t != nil && t.Draining
	})
	return draining
}

// withdrawStart gives up the start of a run on a target that drains, which takes no new work.
// A run that is listed goes on. One that an earlier attempt may have begun is stopped, so that
// its task can start elsewhere.
func (s *session) withdrawStart(ref work.RunRef, mayHaveBegun bool) {
	s.l.mu.Lock()
	listed := !s.orderOf(ref).startedAt.IsZero()
	s.l.mu.Unlock()
	switch {
	case listed:
	case mayHaveBegun:
		s.stop(ref)
	default:
		s.closeUnstarted(ref, "target drains and no start was sent")
	}
}

// isSilent reports whether the target answered neither the last hold nor its
// repetition.
func (s *session) isSilent() bool {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.silent
}

// markStartSent records that a start is sent now.
func (s *session) markStartSent(ref work.RunRef) time.Time {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	now := s.l.now()
	s.orderOf(ref).sentAt = now
	return now
}

// answeredSince reports whether the target has answered a hold after a time. A start is
// repeated only then: one that is sent to a silent target could begin the run in a
// later incarnation with the same id.
func (s *session) answeredSince(at time.Time) bool {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return at.IsZero() || s.answered.After(at)
}

// handleStartReply handles the answer to a start. It returns false if the start has to
// be repeated.
func (s *session) handleStartReply(ref work.RunRef, refusal Refusal, mayHaveBegun bool) bool {
	if refusal == NotRefused {
		s.l.mu.Lock()
		s.orderOf(ref).confirmStarted(s.l.now())
		s.l.mu.Unlock()
		s.paceAfterStart(ref)
		return true
	}
	startsRefused.Inc()
	s.logRun(ref).Str("refusal", string(refusal)).Msg("start refused")
	switch refusal {
	case RefusedExpired:
		return false
	case RefusedEndedRun:
		// The run has ended or was stopped there; the next list shows it.
		s.l.mu.Lock()
		s.orderOf(ref).confirmStarted(s.l.now())
		s.l.mu.Unlock()
		return true
	case RefusedOtherTarget:
		return true // a hold detects what replaced the target
	case RefusedFence:
		return false // a hold raises the token, unless the leader has changed
	}
	if refusal == RefusedTicket {
		s.l.dropPermit(ref.Task)
	} else {
		s.l.noteFailure(s.key)
	}
	if mayHaveBegun {
		s.stop(ref) // an earlier try may still be carried out
		return true
	}
	s.closeUnstarted(ref, "start was refused")
	return true
}

// closeUnstarted records that a run never began, so that its task can start elsewhere.
func (s *session) closeUnstarted(ref work.RunRef, reason string) {
	s.logRun(ref).Str("reason", reason).Msg("run never began")
	s.l.report(&work.Report{Target: s.key, Closed: []work.RunRef{ref}})
	s.l.wake.signal()
}

// wanted reports whether the state still holds the run on this target, its job is not
// final and no later incarnation of the target has registered.
func (s *session) wanted(ref work.RunRef) bool {
	wanted := false
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		j, t := v.Find(ref.Task)
		target := v.Targets[s.key]
		wanted = j != nil && !j.State.Final() && t.Run == ref.Run && t.Target == s.key && target != nil && !target.Ended
	})
	return wanted
}

// resumeStart repeats the start of a run that an earlier leader committed.
func (s *session) resumeStart(ref work.RunRef) {
	var r work.StartedRun
	found := false
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		if j, t := v.Find(ref.Task); j != nil && t.Target == s.key && t.Run == ref.Run {
			r = work.StartedRun{
				Start: work.Start{Task: ref.Task, Target: s.key}, Run: ref.Run, Checkpoint: t.Checkpoint, Payload: j.Spec.Payload,
			}
			found = true
		}
	})
	if found {
		s.startRun(r, true)
	}
}

// stop orders the end of a run in the background, until the target has confirmed it.
// After that the run can never begin.
func (s *session) stop(ref work.RunRef) {
	s.l.mu.Lock()
	o := s.orderOf(ref)
	busy := o.stopping || !o.stoppedAt.IsZero()
	o.stopping = true
	s.l.mu.Unlock()
	if busy {
		return
	}
	s.l.wg.Go(func() {
		s.sendStop(ref, o)
		s.l.mu.Lock()
		o.stopping = false
		s.l.mu.Unlock()
		s.wake.signal()
	})
}

func (s *session) sendStop(ref work.RunRef, o *order) {
	for try := 0; s.l.ctx.Err() == nil && s.current(); try++ {
		if try > 0 && !s.l.sleep(min(retryDelay*time.Duration(try), maxRetryDelay)) {
			return
		}
		if !s.l.Confirmed() {
			continue
		}
		ctx, cancel := context.WithTimeout(s.l.ctx, orderTimeout)
		fence, _ := s.fenceToken()
		reply, err := s.l.cfg.Targets.Stop(ctx, s.to, &StopOrder{Run: ref, Fence: fence})
		cancel()
		if err != nil {
			s.logRun(ref).Err(err).Msg("stop not answered")
			continue
		}
		s.l.learnClock(s.key, reply.ClockMS)
		if reply.Refusal == NotRefused {
			s.l.mu.Lock()
			o.stoppedAt = s.l.now()
			s.l.mu.Unlock()
			return
		}
		if reply.Refusal == RefusedOtherTarget || reply.Refusal == RefusedInvalid {
			return // for an invalid order, the next list shows whether the run exists
		}
	}
}

// current reports whether the state still holds the target.
func (s *session) current() bool {
	current := false
	s.l.cfg.StateMachine.Read(func(v *work.View) { current = v.Targets[s.key] != nil })
	return current
}
