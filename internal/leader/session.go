package leader

import (
	"cmp"
	"context"
	"errors"
	"slices"
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
	// rowsLogged is when unreadable rows were last logged, and truncatedLogged when a
	// truncated list was. Only run uses them.
	rowsLogged, truncatedLogged time.Time
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
	awaited := l.fleet.awaitedHosts()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			alive[key] = true
			// A new leader asks every target once whether it is alive. The first answer after
			// maintenance proves that a host is back.
			if l.sessions[key] == nil && (t.Runs() > 0 || l.statuses[key] == nil || awaited[t.Host]) {
				missing = append(missing, found{key, Address{t.Address, t.ID}, l.hasRecentPredecessor(t)})
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

// maxClockJump is by how much the wall clocks of two leaders may differ.
const maxClockJump = 5 * time.Second

// hasRecentPredecessor reports whether a target may hold a lease that was meant for an
// earlier incarnation with its id.
func (l *Leader) hasRecentPredecessor(t *work.Target) bool {
	since := time.Duration(l.nowMS()-t.TakeoverMS) * time.Millisecond
	return t.TakeoverMS > 0 && since < l.maxOrderEffect()+maxClockJump
}

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

// lease returns the duration of the leases that are granted.
func (l *Leader) lease() time.Duration { return min(leaseDuration, l.cfg.Timing.MaxLease) }

// maxOnSlowClock returns how long a lease of duration d can last on a slow clock.
func (l *Leader) maxOnSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockSlowdown)) + leaseMargin
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

// hold renews the lease and reads the list of runs, which the target may hold back
// until a run ends. It reports whether the target answered.
func (s *session) hold(ctx context.Context, wait time.Duration) bool {
	state := s.snapshot()
	fence, _ := s.fenceToken()
	o := &HoldOrder{Fence: fence, Acknowledged: s.newlyAcknowledged(&state)}
	if !state.ended { // a later incarnation would read a time on the earlier clock as the longest lease
		o.UntilMS = s.until()
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
	s.applyList(h, sent, state.acknowledged, o.Acknowledged)
	return true
}

// newlyAcknowledged returns the number of the last recorded ended run if the target has
// answered this session and was not sent that number yet, and otherwise 0. A later
// incarnation with the same id would drop its own ended runs up to that number before
// anyone has read them.
func (s *session) newlyAcknowledged(state *sessionState) int64 {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if !s.listed || state.ended || s.superseded || state.acknowledged <= s.acknowledged {
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

// raiseFence switches to a token above all that were used.
func (s *session) raiseFence() {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.fence = s.l.nextFence()
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
	alive, ended := false, h.Truncated
	for _, r := range h.Running {
		if held[r.Run] {
			alive = true
			s.stop(r.Run)
		}
	}
	for _, e := range h.Ended {
		ended = ended || held[e.Run]
	}
	s.logUnreadable(&h.Unreadable)
	if ended {
		s.l.readEnds(s.to.ID, h.Born)
	}
	// A skipped row may be one of these runs; then their leases have to expire first.
	if !alive && !ended && h.Unreadable.LeftOut == 0 {
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

// noteAcknowledged records that the target has dropped its ended runs up to a number, and
// returns the highest such number.
func (s *session) noteAcknowledged(number int64) int64 {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.acknowledged = max(s.acknowledged, number)
	return s.acknowledged
}

// applyList records the ended runs of a list and sends the orders that it calls for.
// recorded is the number of the last recorded ended run, and acknowledged the number up to
// which the target was asked to drop them.
func (s *session) applyList(h *RunList, sent time.Time, recorded, acknowledged int64) {
	h.filterEnded(recorded, acknowledged)
	s.logUnreadable(&h.Unreadable)
	s.logTruncated(h, recorded)
	report := s.reconcile(h, sent, s.noteAcknowledged(acknowledged) < recorded)
	if report != nil {
		if s.l.report(report) {
			countEnds(report.EndedRuns)
			s.l.noteOutcomes(s.key, report.EndedRuns)
			s.l.logEnds(s.key, report.EndedRuns)
			s.l.wake.signal()
		}
	}
	if h.Unreadable.LeftOut > 0 {
		// An ended run that cannot be recorded is listed again at once: the target does
		// not wait for the next one.
		s.l.sleep(retryDelay)
	}
}

// maxEndGap is by how much the number of an ended run may exceed the last recorded one.
// Far fewer runs end on a target between two lists, and a list has 500 at most.
const maxEndGap = 1 << 20

// filterEnded sorts the ended runs by number, since only numbers above the last
// recorded one count, and drops the others and those with an invalid number. A number
// that is too high would acknowledge all ended runs up to it, which the target then drops.
func (h *RunList) filterEnded(recorded, acknowledged int64) {
	slices.SortStableFunc(h.Ended, func(a, b work.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	admitted := h.Ended[:0]
	for i, e := range h.Ended {
		switch {
		case e.Number <= acknowledged:
			h.Unreadable.Add(i, "an acknowledged ended run is listed again", true)
		case e.Number <= recorded:
		case e.Number-recorded > maxEndGap:
			h.Unreadable.Add(i, "the number of the ended run is too high", true)
		default:
			admitted = append(admitted, e)
		}
	}
	h.Ended = admitted
}

// rowsLogInterval is how often unreadable rows are logged for one target, which sends
// several lists a second.
const rowsLogInterval = 10 * time.Second

// logUnreadable logs unreadable rows.
func (s *session) logUnreadable(u *UnreadableRows) {
	now := s.l.now()
	if u.Rows == 0 || now.Sub(s.rowsLogged) < rowsLogInterval {
		return
	}
	s.rowsLogged = now
	s.l.log.Warn().Err(u).Str("target", s.key).Msg("list of runs not read in full")
}

// logTruncated logs lists that do not hold all ended runs.
func (s *session) logTruncated(h *RunList, acknowledged int64) {
	if !h.Truncated {
		return
	}
	listsTruncated.Inc()
	if now := s.l.now(); now.Sub(s.truncatedLogged) >= rowsLogInterval {
		s.truncatedLogged = now
		s.l.log.Info().Str("target", s.key).Int("ends", len(h.Ended)).Int("running", len(h.Running)).
			Int64("acknowledged", acknowledged).Msg("list of ended runs is truncated")
	}
}

// listActions is what a list of runs calls for.
type listActions struct {
	report *work.Report
	// stop holds runs that must not continue or begin. resumeStart holds runs that are
	// not listed and whose start was committed by an earlier leader.
	stop, resumeStart []work.RunRef
	// incomplete is set if rows of the list were skipped.
	incomplete bool
	// truncated is set if a later list will show ended runs that this one lacks.
	truncated bool
	// closedBefore holds the runs that are listed as done and that the state had closed
	// before, so that their tasks may have been started again.
	closedBefore []work.RunRef
}

// mayLack reports whether a run that the list does not show may nevertheless be alive or
// have ended on the target. It may be in a skipped row; a row that is still skipped
// maxOrderDelay after the run was last listed or was stopped is about something else, and
// waiting for it would keep the task from ever starting again.
func (c *listActions) mayLack(since, sent time.Time) bool {
	return c.truncated || (c.incomplete && sent.Sub(since) < maxOrderDelay)
}

// reconcile compares a list with the runs that the state holds and sends the orders
// that it calls for. It returns what has to be recorded, or nil.
// toAcknowledge is set if the target still has to be sent the number of a recorded end.
func (s *session) reconcile(h *RunList, sent time.Time, toAcknowledge bool) *work.Report {
	l := s.l
	c := &listActions{
		report: &work.Report{Target: s.key, EndedRuns: h.Ended}, incomplete: h.Unreadable.LeftOut > 0,
		// If there is nothing to be acknowledged, the next list will be the same.
		truncated: h.Truncated && (len(h.Ended) > 0 || toAcknowledge),
	}
	l.mu.Lock()
	finished := s.finished(h.Ended)
	l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[s.key]; t != nil {
			s.reconcileRuns(v, t, h, sent, c)
		}
	})
	for _, f := range finished {
		l.estimates.add(f.queue, f.ms)
		taskSeconds.Update(float64(f.ms) / 1000)
	}
	s.listed, s.listedAt = true, sent
	s.answered = l.now()
	l.mu.Unlock()
	if len(c.closedBefore) > 0 {
		endsAfterClose.Add(len(c.closedBefore))
		s.logRun(c.closedBefore[0]).Int("runs", len(c.closedBefore)).Msg("runs were done on the target, but had been closed before")
	}
	for _, r := range c.stop {
		s.stop(r)
	}
	for _, r := range c.resumeStart {
		s.resumeStart(r)
	}
	if len(c.report.EndedRuns) == 0 && len(c.report.Closed) == 0 && len(c.report.Checkpoints) == 0 {
		return nil
	}
	return c.report
}

// reconcileRuns compares the runs of a target. The leader's mutex is held.
func (s *session) reconcileRuns(v *work.View, t *work.Target, h *RunList, sent time.Time, c *listActions) {
	held, listed, ended := map[work.RunRef]bool{}, map[work.RunRef]bool{}, map[work.RunRef]bool{}
	t.EachRun(func(r work.RunRef) { held[r] = true })
	for _, e := range h.Ended {
		ended[e.Run] = true
		if e.Outcome == work.OutcomeDone && isOpen(v, e.Run) {
			c.closedBefore = append(c.closedBefore, e.Run)
		}
	}
	s.starting = false
	for _, r := range h.Running {
		listed[r.Run] = true
		if !held[r.Run] {
			c.stop = append(c.stop, r.Run)
			continue
		}
		o := s.orderOf(r.Run)
		o.confirmStarted(sent)
		o.listedAt = sent
		o.isUp = r.Percent >= 100
		job, task := v.Find(r.Run.Task)
		s.starting = s.starting || (task != nil && !o.isUp && job.Spec.Steps[task.Step].LongLived)
		if task != nil && r.Checkpoint != "" && task.Checkpoint != r.Checkpoint {
			c.report.Checkpoints = append(c.report.Checkpoints, work.Checkpoint{Run: r.Run, Value: r.Checkpoint})
		}
	}
	for r := range held {
		if !ended[r] {
			s.reconcileRun(v, r, listed[r], sent, c)
		}
	}
	for r, o := range s.orders {
		// A run whose stop is in progress is kept, or each list would start another
		// stop.
		if !held[r] && !o.stopping {
			delete(s.orders, r)
		}
	}
}

// isOpen reports whether a task has to run (again) although the state holds no run, or a
// later one, of it.
func isOpen(v *work.View, r work.RunRef) bool {
	j, t := v.Find(r.Task)
	return j != nil && !j.State.Final() && !t.Done && !j.Spec.Steps[t.Step].LongLived && (t.Run != r.Run || !t.Active())
}

// reconcileRun decides on one run that the state holds and that has not ended.
func (s *session) reconcileRun(v *work.View, r work.RunRef, listed bool, sent time.Time, c *listActions) {
	job, _ := v.Find(r.Task)
	o := s.orderOf(r)
	switch {
	case !o.stoppedAt.IsZero() && o.stoppedAt.Before(sent) && !listed && !c.mayLack(o.stoppedAt, sent):
		s.logRun(r).Dur("stopped_before", sent.Sub(o.stoppedAt)).Int("listed_ends", len(c.report.EndedRuns)).
			Bool("skipped_rows", c.incomplete).Msg("stopped run is not listed")
		c.report.Closed = append(c.report.Closed, r)
	case job == nil || job.State.Final():
		c.stop = append(c.stop, r)
	case listed:
	case !o.startedAt.IsZero() && o.startedAt.Before(sent):
		if c.mayLack(latest(o.startedAt, o.listedAt), sent) {
			return
		}
		if !o.stopping && o.stoppedAt.IsZero() {
			s.logRun(r).Dur("started_before", sent.Sub(o.startedAt)).Int("listed_ends", len(c.report.EndedRuns)).
				Bool("skipped_rows", c.incomplete).Msg("started run is not listed")
		}
		c.stop = append(c.stop, r) // make sure that it cannot begin again
	case !o.starting && o.stoppedAt.IsZero() && !c.truncated:
		c.resumeStart = append(c.resumeStart, r)
	}
}

// finishedTask is the duration of a finished task.
type finishedTask struct {
	queue string
	ms    int64
}

// finished returns the durations of the tasks that newly ended runs finished, from the
// start that this leader sent. Times in the log may be those of another leader's clock. The
// leader's mutex is held.
func (s *session) finished(ends []work.EndedRun) []finishedTask {
	var out []finishedTask
	now := s.l.now()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		for _, e := range ends {
			o := s.orders[e.Run]
			if e.Outcome != work.OutcomeDone || o == nil || o.sentAt.IsZero() {
				continue
			}
			if j, t := v.Find(e.Run.Task); j != nil && t.Run == e.Run.Run && t.Active() {
				out = append(out, finishedTask{j.Queue, now.Sub(o.sentAt).Milliseconds()})
			}
		}
	})
	return out
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
