package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// lease returns the duration of the leases that are granted.
func (l *Leader) lease() time.Duration { return min(leaseDuration, l.cfg.Timing.MaxLease) }

// maxOnSlowClock returns how long a lease of duration d can last on a slow clock.
func (l *Leader) maxOnSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockSlowdown)) + leaseMargin
}

// until grants a lease and returns its end on the target's clock, or 0 if that clock is
// not known yet. It also records when the lease has certainly expired. A target that
// does not answer keeps the lease that it has.
func (s *session) until() int64 {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	st := l.statuses[s.key]
	if s.superseded {
		return 0 // the end would be a time on the earlier incarnation's clock
	}
	if s.sentAt = now; st == nil || st.clock.now(now) == 0 || s.unanswered {
		return s.granted
	}
	s.leaseEnd = latest(s.leaseEnd, now.Add(l.maxOnSlowClock(l.lease())))
	s.granted = max(s.granted, st.clock.now(now)+l.lease().Milliseconds())
	return s.granted
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxClockLag is by how much the clock in an answer may be behind the estimate. Orders
// are answered within 0.7 s, and the estimate drifts by 2 %.
const maxClockLag = time.Second

// learnClock updates the estimate of a target's clock from an answer. A reading far
// behind comes from a later incarnation, whose clock started again. A lease that was
// sent as a time on the earlier clock has the longest duration there.
func (l *Leader) learnClock(key string, ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.statuses[key]
	if st == nil {
		st = &targetStatus{}
		l.statuses[key] = st
	}
	now := l.now()
	if s := l.sessions[key]; s != nil && ms > 0 && st.clock.now(now)-ms > maxClockLag.Milliseconds() {
		s.leaseEnd = latest(s.leaseEnd, now.Add(l.maxOnSlowClock(l.cfg.Timing.MaxLease)))
	}
	st.clock.learn(ms, now)
	st.heard, st.answered = now, now
}

// leaseLeft returns how long leases of the target may last, or maxRetryDelay if they
// have expired.
func (s *session) leaseLeft() time.Duration {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if left := s.leaseEnd.Sub(s.l.now()); left > 0 {
		return left
	}
	return maxRetryDelay
}

// checkLeaseExpired closes the runs of a silent target whose leases have certainly
// expired.
func (s *session) checkLeaseExpired() {
	state := s.snapshot()
	s.l.mu.Lock()
	end := s.leaseEnd
	s.l.mu.Unlock()
	if state.ended {
		s.closeEndedRuns(&state)
		end = end.Add(maxOrderDelay)
	}
	if s.l.now().Before(end) || state.runs == 0 {
		return
	}
	s.l.log.Warn().Str("target", s.key).Int("runs", s.snapshot().runs).Msg("lease of a silent target has ended")
	// A delayed start begins a run if it arrives after the next lease was granted,
	// whatever its own lease, unless its token is too low by then.
	s.raiseFence()
	leasesEnded.Inc()
	s.l.proposeOrLog(&work.Command{CloseRuns: s.key}, "end of a lease")
	// Until the commit, starts of the closed runs may have been sent with that token. The
	// next hold, which grants a lease, has a higher one.
	s.raiseFence()
	s.l.wake.signal()
}
