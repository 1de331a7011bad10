package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// inheritLeases extends the lease end of a later incarnation with the id of an ended
// session's target. It may have taken a lease that was meant for the earlier one: the
// lease's end is a time on the earlier incarnation's clock, which is ahead, so that the
// target granted the longest lease. The mutex is held.
func (l *Leader) inheritLeases(ended *session) {
	for _, s := range l.sessions {
		if s.to.ID == ended.to.ID && !ended.sentAt.IsZero() {
			s.leaseEnd = latest(s.leaseEnd, ended.sentAt.Add(l.maxOnSlowClock(l.cfg.Timing.MaxLease)))
		}
	}
}

// hasRecentPredecessor reports whether a target may hold a lease that was meant for an
// earlier incarnation with its id.
func (l *Leader) hasRecentPredecessor(t *work.Target) bool {
	since := time.Duration(l.nowMS()-t.TakeoverMS) * time.Millisecond
	return t.TakeoverMS > 0 && since < l.maxOrderEffect()+maxClockJump
}

// newlyAcknowledged returns the number of the last recorded ended run if the target has
// answered the last hold and was not sent that number yet, and otherwise 0. A later
// incarnation with the same id would drop its own ended runs up to that number before
// anyone has read them.
func (s *session) newlyAcknowledged(state *sessionState) int64 {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if !s.listed || s.unanswered || state.ended || s.superseded || state.acknowledged <= s.acknowledged {
		return 0
	}
	return state.acknowledged
}

// confirmIncarnation records that the session's own incarnation answers. An earlier
// answer that seemed to come from a later incarnation had a wrong start time.
func (s *session) confirmIncarnation(born int64) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if born != 0 && s.superseded {
		s.superseded = false
		s.l.log.Warn().Str("target", s.key).Msg("target was not replaced: its own incarnation answers again")
	}
}

// handleLaterIncarnation handles a list that comes from a later incarnation with the
// same id. Starts for the earlier one may reach it until it has seen a higher token, so
// the first such list only raises the token.
func (s *session) handleLaterIncarnation(h *RunList) {
	s.l.log.Info().Str("target", s.key).Int64("born", h.Born).Msg("a later incarnation of the target answers")
	s.l.mu.Lock()
	fenced := s.superseded
	s.superseded = true
	s.l.mu.Unlock()
	s.raiseFence()
	if !fenced {
		return
	}
	held := map[work.RunRef]bool{}
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[s.key]; t != nil {
			t.EachRun(func(r work.RunRef) { held[r] = true })
		}
	})
	alive, unread := false, h.Truncated
	for _, r := range h.Running {
		if held[r.Run] {
			alive = true
			s.stop(r.Run)
		}
	}
	for _, e := range h.Ended {
		unread = unread || held[e.Run]
	}
	s.logUnreadable(&h.Unreadable)
	if unread {
		s.l.readEnds(s.to.ID, h.Born)
	}
	// A skipped row may be one of these runs; then their leases have to expire first.
	if !alive && !unread && h.Unreadable.LeftOut == 0 {
		s.l.proposeOrLog(&work.Command{CloseRuns: s.key, TargetEnded: true}, "end of an earlier incarnation")
	}
}

// readEnds has the session of an incarnation record its ended runs. Delayed starts began
// some of them that the state holds for an earlier incarnation.
func (l *Leader) readEnds(id string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			if t.ID == id && t.Born == born && !t.Ended && l.statuses[key] != nil {
				l.probe(t)
			}
		}
	})
}

// closeEndedRuns closes the runs of an earlier incarnation that no delayed start can
// begin in the later one. Nothing is started on an ended target, so a delayed start
// comes from this leader or, shortly after the election, from a former one.
func (s *session) closeEndedRuns(state *sessionState) {
	l, now := s.l, s.l.now()
	since := time.Duration(l.nowMS()-state.takeoverMS) * time.Millisecond
	long := state.takeoverMS > 0 && since > l.maxOrderEffect()+maxClockJump
	report := &work.Report{Target: s.key}
	l.mu.Lock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		t := v.Targets[s.key]
		if t == nil {
			return
		}
		t.EachRun(func(r work.RunRef) {
			sent := l.elected.Add(confirmValid)
			if o := s.orders[r]; o != nil {
				sent = latest(sent, o.sentAt)
			}
			if long || now.Sub(sent) > l.maxOrderEffect() {
				report.Closed = append(report.Closed, r)
			}
		})
	})
	l.mu.Unlock()
	if len(report.Closed) == 0 {
		return
	}
	l.log.Info().Str("target", s.key).Int("runs", len(report.Closed)).Msg("closing runs of an earlier incarnation")
	l.report(report)
	l.wake.signal()
}
