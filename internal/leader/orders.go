package leader

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/work"
)

// logRun begins a log line about a run on the target.
func (s *session) logRun(r work.RunRef) *zerolog.Event { return s.l.logRun(s.key, r) }

// logRun begins a log line about a run on a target.
func (l *Leader) logRun(target string, r work.RunRef) *zerolog.Event {
	return l.log.Info().Str("job", r.Task.Job).Int("step", r.Task.Step).Int("index", r.Task.Index).
		Int("run", r.Run).Str("target", target)
}

// startRun orders a committed run until the target has answered or the run is
// no longer wanted. A doubtful run may have been ordered before.
func (s *session) startRun(r work.StartedRun, doubtful bool) {
	ref := work.RunRef{Task: r.Task, Run: r.Run}
	s.l.mu.Lock()
	o := s.orderOf(ref)
	busy := o.starting || o.stopping || !o.stoppedAt.IsZero()
	o.starting = true
	s.l.mu.Unlock()
	if busy {
		return
	}
	s.wake.poke()
	s.l.wg.Go(func() {
		s.tryStart(ref, r, doubtful)
		s.l.mu.Lock()
		o.starting = false
		s.l.mu.Unlock()
	})
}

// tryStart repeats a start until it is settled. A repeated start of a run
// that is already there changes nothing.
func (s *session) tryStart(ref work.RunRef, r work.StartedRun, doubtful bool) {
	var sent time.Time
	unanswered := 0
	for try := 0; s.l.ctx.Err() == nil && s.wanted(ref); try++ {
		if try > 0 && !s.l.sleep(min(retryPause*time.Duration(try), maxRetryPause)) {
			return
		}
		until := s.until()
		fence, mayStart := s.token()
		ticket, permitted := s.l.ticketFor(ref.Task, s.to.ID)
		if until == 0 || !mayStart || !permitted || !s.l.Confirmed() || !s.answeredSince(sent) {
			if sent.IsZero() && !doubtful && s.isSilent() {
				s.settle(ref, "target is silent and no start was sent")
				return
			}
			continue
		}
		sent = s.noteStart(ref)
		if !s.wanted(ref) {
			return // the target ended meanwhile
		}
		startsOrdered.Inc()
		ctx, cancel := context.WithTimeout(s.l.ctx, orderTimeout)
		reply, err := s.l.cfg.Targets.Start(ctx, s.to, &StartOrder{
			Run: ref, Payload: r.Payload, Checkpoint: r.Checkpoint, UntilMS: until, Fence: fence, Ticket: ticket,
		})
		cancel()
		if err != nil {
			startsRepeated.Inc()
			doubtful = doubtful || !unsent(err)
			unanswered++
			s.logRun(ref).Err(err).Int("try", try).Msg("start not answered")
			switch {
			case !doubtful:
				s.l.noteFailure(s.key)
				s.settle(ref, "start was not sent")
				return
			case unanswered >= maxUnanswered:
				s.stop(ref) // then it starts elsewhere
				return
			}
			continue
		}
		s.l.learnClock(s.key, reply.ClockMS)
		observe(startSeconds, sent, s.l.now())
		if s.settleStart(ref, reply.Refusal, doubtful) {
			return
		}
	}
}

// isSilent reports whether the target left the last hold and its repetition without
// answer.
func (s *session) isSilent() bool {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.silent
}

// noteStart notes that a start is sent now.
func (s *session) noteStart(ref work.RunRef) time.Time {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	now := s.l.now()
	s.orderOf(ref).sentAt = now
	return now
}

// answeredSince reports whether the target has answered a hold since a time.
// A start is repeated only then: one that is sent to a silent target could
// begin the run in a later life under the same id.
func (s *session) answeredSince(at time.Time) bool {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return at.IsZero() || s.answered.After(at)
}

// settleStart handles the answer to a start. It reports whether the start
// needs no other try.
func (s *session) settleStart(ref work.RunRef, refusal Refusal, doubtful bool) bool {
	if refusal == NotRefused {
		s.l.mu.Lock()
		s.orderOf(ref).seen(s.l.now())
		s.l.mu.Unlock()
		return true
	}
	startsRefused.Inc()
	s.logRun(ref).Str("refusal", string(refusal)).Msg("start refused")
	switch refusal {
	case RefusedExpired:
		return false
	case RefusedEndedRun:
		// The run ended there or was stopped: the next list tells.
		s.l.mu.Lock()
		s.orderOf(ref).seen(s.l.now())
		s.l.mu.Unlock()
		return true
	case RefusedOtherTarget:
		return true // the session's holds find out what replaced the target
	case RefusedFence:
		return false // the session's holds take a higher token, or the leader has changed
	}
	if refusal == RefusedTicket {
		s.l.dropPermit(ref.Task)
	} else {
		s.l.noteFailure(s.key)
	}
	if doubtful {
		s.stop(ref) // an earlier try may still be carried out
		return true
	}
	s.settle(ref, "start was refused")
	return true
}

// settle records that a run never began, so that its task can start elsewhere.
func (s *session) settle(ref work.RunRef, reason string) {
	s.logRun(ref).Str("reason", reason).Msg("run never began")
	s.l.report(&work.Report{Target: s.key, Closed: []work.RunRef{ref}})
	s.l.wake.poke()
}

// wanted reports whether the run is held, its job goes on and no later life of the
// target has registered.
func (s *session) wanted(ref work.RunRef) bool {
	wanted := false
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		j, t := v.Find(ref.Task)
		target := v.Targets[s.key]
		wanted = j != nil && !j.State.Final() && t.Run == ref.Run && t.Target == s.key && target != nil && !target.Ended
	})
	return wanted
}

// restart repeats the start of a run that an earlier leader committed.
func (s *session) restart(ref work.RunRef) {
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

// stop orders the end of a run until the target has answered. Afterwards the
// run can never begin.
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
		s.tryStop(ref, o)
		s.l.mu.Lock()
		o.stopping = false
		s.l.mu.Unlock()
		s.wake.poke()
	})
}

func (s *session) tryStop(ref work.RunRef, o *order) {
	for try := 0; s.l.ctx.Err() == nil && s.current(); try++ {
		if try > 0 && !s.l.sleep(min(retryPause*time.Duration(try), maxRetryPause)) {
			return
		}
		if !s.l.Confirmed() {
			continue
		}
		ctx, cancel := context.WithTimeout(s.l.ctx, orderTimeout)
		fence, _ := s.token()
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
			return // of an order that is not valid the next list tells whether the run is there
		}
	}
}

// current reports whether the target has not ended.
func (s *session) current() bool {
	current := false
	s.l.cfg.StateMachine.Read(func(v *work.View) { current = v.Targets[s.key] != nil })
	return current
}
