package leader

import (
	"context"
	"errors"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// holdWait is how long a hold waits for a run to end. A longer wait would detect a
	// silent target later; a shorter one costs more calls.
	holdWait = time.Second
	// startingWait is how long a hold waits while a long-lived task starts, which takes
	// about a second. The next task of its step may leave its host only once this one
	// is up.
	startingWait = 300 * time.Millisecond
	// holdMargin is added to a hold's wait before it counts as unanswered.
	holdMargin = 400 * time.Millisecond
	// orderTimeout bounds one start or stop. Targets are a few ms away.
	orderTimeout = 700 * time.Millisecond
	// retryDelay separates the attempts to send an order.
	retryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the delay after repeated failures.
	maxRetryDelay = 500 * time.Millisecond
	// leaseMargin covers the error in the estimate of a target's clock.
	leaseMargin = 300 * time.Millisecond
	// leaseDuration is the preferred duration of a lease. It outlasts a change of
	// leader, and is short enough for the work of a lost target to start again soon.
	leaseDuration = 4 * time.Second
	// maxUnanswered is how many starts of a run a target may leave unanswered while it
	// answers holds. After that the run is stopped and its task starts elsewhere.
	maxUnanswered = 3
	// maxOrderDelay bounds how late an unanswered order can take effect. The platform's
	// targets carry out such orders up to 12 s late.
	maxOrderDelay = 15 * time.Second
	// avoidDuration is how long a target gets no new runs after it refused a start as
	// unhealthy or left an order unanswered.
	avoidDuration = 2 * time.Second
)

// session manages the leases and orders of one target that has, or had, runs. The
// leader's mutex guards its fields.
type session struct {
	l         *Leader
	key       string
	to        Address
	fence     uint64
	wake      wakeup
	cancelRun context.CancelFunc

	// leaseEnd is when all granted leases have expired, on the leader's clock.
	leaseEnd time.Time
	// answered is when the target last answered a hold.
	answered time.Time
	// listed is set after the first list of runs. listedAt is when the last one was
	// requested.
	listed   bool
	listedAt time.Time
	// starting is set while a listed long-lived task is not up yet.
	starting bool
	// unanswered is set while the last hold was not answered. Leases are not extended
	// then, so that they expire. silent is set once the repeated hold was not answered
	// either.
	unanswered, silent bool
	// silentAt is when the last hold failed.
	silentAt time.Time
	// granted is the latest end of a lease on the target's clock; sentAt is when one
	// was last sent.
	granted int64
	sentAt  time.Time
	// probing is set if the target is to be asked although it runs nothing.
	probing bool
	// superseded is set once a later incarnation with the same id has answered.
	superseded bool
	// successor is set if orders to an earlier incarnation with the same id may still
	// reach the target. It refuses them once it has seen a token of this session.
	successor bool
	// acknowledged is the highest number of an ended run that the target was sent as
	// acknowledged.
	acknowledged int64
	orders       map[work.RunRef]*order
	pacer        pacer
	// rowsLogged is when unreadable rows were last logged, and truncatedLogged when a
	// truncated list was. Only run uses them.
	rowsLogged, truncatedLogged time.Time
	// gapSince is since when the lists have had an ended run that cannot be read. Only run
	// uses it.
	gapSince time.Time
}

// order is what the leader has observed of a run; it is not replicated.
type order struct {
	// startedAt is when a start was confirmed, or when the run was first listed.
	startedAt time.Time
	starting  bool
	// listedAt is when the last list that shows the run was requested.
	listedAt time.Time
	// sentAt is when this leader last sent a start.
	sentAt time.Time
	// stoppedAt is when a stop was confirmed. A run that a later list lacks has ended
	// or can never begin.
	stoppedAt time.Time
	stopping  bool
	// isUp is set while the list shows a long-lived task as fully up.
	isUp bool
	// upSince is when the run was first listed so.
	upSince time.Time
}

// sessionLoop opens sessions with targets, and removes silent targets from the state.
func (l *Leader) sessionLoop() {
	var prunedAt time.Time
	for {
		changed := l.cfg.StateMachine.Changed()
		l.openSessions()
		if now := l.now(); now.Sub(prunedAt) > pruneInterval {
			prunedAt = now
			l.pruneTargets()
			l.pruneBegins()
		}
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		case <-l.cfg.Clock.After(time.Second):
		}
		if !l.sleep(sessionInterval) {
			return
		}
	}
}

// sessionInterval is the minimum time between two comparisons of targets and sessions.
const sessionInterval = 20 * time.Millisecond

func (l *Leader) openSessions() {
	type found struct {
		key       string
		to        Address
		successor bool
	}
	var missing []found
	alive := map[string]bool{}
	l.mu.Lock()
	defer l.mu.Unlock()
	inMaintenance := l.fleet.hostsInMaintenance()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			alive[key] = true
			// A new leader asks every target once whether it is alive. The first answer after
			// maintenance proves that a host is back. The first hold of a later incarnation bars
			// the orders to the earlier one, which may grant it the longest lease.
			successor := l.hasRecentPredecessor(t)
			if l.sessions[key] == nil && (t.Runs() > 0 || l.statuses[key] == nil || inMaintenance[t.Host] || successor) {
				missing = append(missing, found{key, Address{t.Address, t.ID}, successor})
			}
		}
	})
	for key, s := range l.sessions {
		if !alive[key] {
			s.cancelRun()
			delete(l.sessions, key)
			l.inheritLeases(s)
		}
	}
	for _, m := range missing {
		l.openSession(m.key, m.to, m.successor)
	}
}

// maxClockJump is by how much the wall clocks of two leaders may differ.
const maxClockJump = 5 * time.Second

// maxOrderEffect is how long after it was sent an order can still keep a run alive: it
// arrives late and grants the longest lease.
func (l *Leader) maxOrderEffect() time.Duration {
	return maxOrderDelay + l.maxOnSlowClock(l.cfg.Timing.MaxLease)
}

// openSession starts a session. A successor may hold a lease of the longest duration,
// granted by orders to an earlier incarnation with its id. The mutex is held.
func (l *Leader) openSession(key string, to Address, successor bool) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	// Runs may hold leases of an earlier leader, which stops sending orders once it can
	// no longer prove its leadership.
	leaseEnd := l.elected.Add(confirmValid + l.maxOnSlowClock(l.lease()))
	if successor {
		leaseEnd = latest(l.now(), l.elected.Add(confirmValid)).Add(l.maxOnSlowClock(l.cfg.Timing.MaxLease))
	}
	s := &session{
		l: l, key: key, to: to, fence: l.nextFence(), wake: make(wakeup, 1), cancelRun: cancel,
		leaseEnd: leaseEnd, answered: l.now(), successor: successor, orders: map[work.RunRef]*order{},
	}
	l.sessions[key] = s
	l.wg.Go(func() { s.run(ctx) })
	return s
}

// run sends holds for as long as the target needs them, until ctx ends.
func (s *session) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !s.needed() {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		if !s.l.Confirmed() {
			if !s.l.sleep(retryDelay / 4) {
				return
			}
			continue
		}
		if s.renew(ctx) {
			failures = 0
			continue
		}
		failures++
		s.l.noteFailure(s.key)
		s.reportBegun()
		s.checkLeaseExpired()
		if !s.l.sleep(min(retryDelay*time.Duration(failures), maxRetryDelay, s.leaseLeft())) {
			return
		}
	}
}

// renew sends a hold, and repeats it once if it is not answered: one lost answer does
// not make a target silent. It reports whether the target answered.
func (s *session) renew(ctx context.Context) bool {
	s.l.mu.Lock()
	unanswered := s.unanswered
	s.l.mu.Unlock()
	if !unanswered {
		if s.hold(ctx, holdWait) {
			return true
		}
		s.l.mu.Lock()
		s.unanswered = true
		s.l.mu.Unlock()
	}
	answered := s.hold(ctx, 0)
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.unanswered = !answered
	if s.silent = !answered; s.silent {
		s.silentAt = s.l.now()
	}
	return answered
}

// needed reports whether a hold has to be sent: the target has runs or ended runs to be
// acknowledged, was not asked yet, announced itself since it was silent, or is probed.
func (s *session) needed() bool {
	s.l.mu.Lock()
	acknowledged, listed, needed := s.acknowledged, s.listed, s.probing
	s.probing = false
	if st := s.l.statuses[s.key]; st != nil && s.silent && st.announced.After(s.silentAt) {
		needed = true
	}
	s.l.mu.Unlock()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		t := v.Targets[s.key]
		needed = t != nil && (needed || t.Runs() > 0 || t.Acknowledged > acknowledged || !listed)
	})
	return needed
}

// hold renews the lease and reads the list of runs, which the target may hold back
// until a run ends. It reports whether the target answered.
func (s *session) hold(ctx context.Context, wait time.Duration) bool {
	state := s.snapshot()
	fence, _ := s.fenceToken()
	o := &HoldOrder{Fence: fence, Acknowledged: s.newlyAcknowledged(&state)}
	if !state.ended { // a later incarnation would read a time on the earlier clock as the longest lease
		if o.UntilMS = s.until(); !s.l.Confirmed() {
			o.UntilMS = 0 // this process was paused, and the next leader does not count this lease
		}
	}
	if known, starting := s.known(); known && state.runs > 0 {
		if starting {
			wait = min(wait, startingWait)
		}
		o.WaitMS = wait.Milliseconds()
	}
	sent := s.l.now()
	holdsSent.Inc()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(o.WaitMS)*time.Millisecond+holdMargin)
	defer cancel()
	h, err := s.l.cfg.Targets.Hold(callCtx, s.to, o)
	if err != nil {
		holdsUnanswered.Inc()
		if ctx.Err() == nil {
			s.l.log.Info().Err(err).Str("target", s.key).Msg("hold not answered")
		}
		return false
	}
	s.l.learnClock(s.key, h.ClockMS)
	switch {
	case h.Refusal == RefusedOtherTarget:
		s.l.log.Info().Str("target", s.key).Msg("another target answers at the address")
		s.l.proposeOrLog(&work.Command{CloseRuns: s.key, TargetEnded: true}, "end of a replaced target")
		return false
	case h.Refusal == NotRefused && h.Born != 0 && h.Born != state.born:
		s.handleLaterIncarnation(h)
		return false
	case h.Refusal == RefusedFence:
		// Another session with this target has used a higher token.
		s.raiseFence()
		return false
	case h.Refusal != NotRefused:
		s.l.log.Info().Str("target", s.key).Str("refusal", string(h.Refusal)).Msg("hold refused")
		return false
	}
	s.confirmIncarnation(h.Born)
	if h.NotAcknowledged {
		o.Acknowledged = 0
	}
	s.applyList(h, sent, state.acknowledged, o.Acknowledged)
	return true
}

// raiseFence switches to a token above all that were used.
func (s *session) raiseFence() {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.fence = s.l.nextFence()
}

// fenceToken returns the session's fencing token, and whether runs may be started with
// it. They may not once a later incarnation has answered, nor while orders to an
// earlier incarnation may still reach the target.
func (s *session) fenceToken() (fence uint64, mayStart bool) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.fence, !s.superseded && (s.listed || !s.successor)
}

// sessionState is the part of the replicated state that a hold needs.
type sessionState struct {
	acknowledged, born int64
	runs               int
	// ended is set if a later incarnation with the same id has registered, at
	// takeoverMS in Unix ms.
	ended      bool
	takeoverMS int64
}

func (s *session) snapshot() sessionState {
	var out sessionState
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		t := v.Targets[s.key]
		if t == nil {
			return
		}
		out = sessionState{acknowledged: t.Acknowledged, born: t.Born, runs: t.Runs(), ended: t.Ended}
		if !t.Ended {
			return
		}
		for _, later := range v.Targets {
			if later.ID == t.ID && later.Born > t.Born && (out.takeoverMS == 0 || later.TakeoverMS < out.takeoverMS) {
				out.takeoverMS = later.TakeoverMS
			}
		}
	})
	return out
}

// known reports whether the list of runs was read, and whether it shows a long-lived
// task that is not up yet.
func (s *session) known() (known, starting bool) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.listed, s.starting
}

// orderOf returns the order of a run and creates it if needed. The leader's mutex is
// held.
func (s *session) orderOf(r work.RunRef) *order {
	o := s.orders[r]
	if o == nil {
		o = &order{}
		s.orders[r] = o
	}
	return o
}

// confirmStarted records the time of the first proof that the run was started.
func (o *order) confirmStarted(at time.Time) {
	if o.startedAt.IsZero() {
		o.startedAt = at
	}
}

// noteFailure keeps new runs away from a target that does not answer or reports that it
// is unhealthy.
func (l *Leader) noteFailure(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.statuses[key]; st != nil {
		st.avoidUntil = latest(st.avoidUntil, l.now().Add(avoidDuration))
	}
}

// unsent reports whether an error proves that an order had no effect.
func unsent(err error) bool {
	var unavailable *fault.Unavailable
	return errors.As(err, &unavailable)
}

// pruneInterval is how often silent targets are looked for. It is short against
// targetRetention.
const pruneInterval = time.Second

// targetRetention is how long a target without runs is kept after it was last heard
// from. One that returns later registers again.
const targetRetention = 15 * time.Second

// pruneTargets removes the targets that are silent and run nothing, which would
// otherwise be asked for ever.
func (l *Leader) pruneTargets() {
	now := l.now()
	if now.Sub(l.elected) < targetRetention {
		return
	}
	var gone []string
	l.mu.Lock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			st := l.statuses[key]
			if t.Runs() == 0 && (st == nil || now.Sub(st.heard) > targetRetention) {
				gone = append(gone, key)
			}
		}
	})
	l.mu.Unlock()
	for _, key := range gone {
		l.log.Info().Str("target", key).Msg("removing silent target without runs")
		l.proposeOrLog(&work.Command{CloseRuns: key, TargetEnded: true}, "end of a silent target")
	}
}
