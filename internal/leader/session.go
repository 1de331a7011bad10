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
	// holdWait is how long a hold waits for an end. A longer one would find a
	// silent target later; a shorter one costs more calls.
	holdWait = time.Second
	// startingWait is how long a hold waits while a lasting task starts, which
	// takes about a second: the next task of its step may leave its host only
	// once it is at work.
	startingWait = 300 * time.Millisecond
	// holdMargin is added to holdWait before a hold counts as unanswered.
	holdMargin = 400 * time.Millisecond
	// orderTimeout bounds one start or stop. Targets are a few ms away.
	orderTimeout = 700 * time.Millisecond
	// retryPause separates the tries of an order.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds the pause after repeated failures.
	maxRetryPause = 500 * time.Millisecond
	// leaseMargin covers the estimate of a target's clock.
	leaseMargin = 300 * time.Millisecond
	// preferredLease outlives the change of a leader, and ends soon enough that
	// the work of a lost target is started again in useful time.
	preferredLease = 4 * time.Second
	// maxUnanswered is how many starts of a run a target may leave without
	// answer while it answers holds; then the run starts elsewhere.
	maxUnanswered = 3
	// maxOrderDelay is by how much an order without answer can be late. The
	// platform's targets carry out such orders up to 12 s late.
	maxOrderDelay = 15 * time.Second
	// failurePause is how long a target gets no new runs after it refused one
	// as unhealthy or left an order without answer.
	failurePause = 2 * time.Second
)

// session is the leader's contact with one target that has, or had, runs. Its
// fields are guarded by the leader's mutex.
type session struct {
	l     *Leader
	key   string
	to    Address
	fence uint64
	wake  wakeup
	ended context.CancelFunc

	// leaseEnd is when every lease that was granted has ended, on the leader's
	// clock.
	leaseEnd time.Time
	// answered is when the target answered last.
	answered time.Time
	// first is set after the first list of runs.
	first bool
	// starting is set while a listed lasting task is not fully at work yet.
	starting bool
	// unanswered is set while the last hold was not answered. No lease is extended
	// then, so that the granted ones end. silent is set once the second one was not.
	unanswered, silent bool
	// silentAt is when the last hold failed.
	silentAt time.Time
	// granted is the latest end of a lease on the target's clock, and sentAt when it
	// was sent last.
	granted int64
	sentAt  time.Time
	// probing is set if the target is to be asked although it runs nothing.
	probing bool
	// replaced is set once a later life with the same id answered.
	replaced bool
	// successor is set if the target may still carry out orders to an earlier life
	// under its id. It does not once it has seen a token of this session.
	successor bool
	// acknowledged is the number that the target has been told.
	acknowledged int64
	orders       map[work.RunRef]*order
	// rowsLogged is when rows that cannot be read were last logged. Only run uses it.
	rowsLogged time.Time
}

// order is what the leader knows of a run beyond the replicated state.
type order struct {
	// startedAt is when a start was confirmed, or when the run was first seen
	// in a list.
	startedAt time.Time
	starting  bool
	// listedAt is when the last list that shows the run was asked for.
	listedAt time.Time
	// sentAt is when a start was sent last by this leader.
	sentAt time.Time
	// stoppedAt is when a stop was confirmed. A run that is not listed
	// afterwards has ended or can never begin.
	stoppedAt time.Time
	stopping  bool
	// atWork is set while the list shows a lasting task as fully at work.
	atWork bool
}

// sessionLoop opens a session for each target with runs.
func (l *Leader) sessionLoop() {
	var forgot time.Time
	for {
		changed := l.cfg.StateMachine.Changed()
		l.openSessions()
		if now := l.now(); now.Sub(forgot) > forgetEvery {
			forgot = now
			l.forgetTargets()
		}
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		case <-l.cfg.Clock.After(time.Second):
		}
		if !l.sleep(sessionPace) {
			return
		}
	}
}

// sessionPace bounds how often the targets are compared with the sessions.
const sessionPace = 20 * time.Millisecond

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
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			alive[key] = true
			// A new leader asks every target once whether it is there.
			if l.sessions[key] == nil && (t.Runs() > 0 || l.contacts[key] == nil) {
				missing = append(missing, found{key, Address{t.Address, t.ID}, l.succeededLately(t)})
			}
		}
	})
	for key, s := range l.sessions {
		if !alive[key] {
			s.ended()
			delete(l.sessions, key)
			l.inheritLeases(s)
		}
	}
	for _, m := range missing {
		l.openSession(m.key, m.to, m.successor)
	}
}

// inheritLeases notes that a later life under the id of an ended session's target
// may have taken a lease that was meant for the earlier one. It was told as a time
// on the earlier clock, which is ahead, so the target gave it the longest time. The
// mutex is held.
func (l *Leader) inheritLeases(ended *session) {
	for _, s := range l.sessions {
		if s.to.ID == ended.to.ID && !ended.sentAt.IsZero() {
			s.leaseEnd = latest(s.leaseEnd, ended.sentAt.Add(l.longest(l.cfg.Timing.MaxLease)))
		}
	}
}

// forgetEvery is how often silent targets are looked for, against seconds of
// silence.
const forgetEvery = time.Second

// forgetAfter is how long a target without runs is kept after its last sign of
// life. One that returns later registers again.
const forgetAfter = 15 * time.Second

// forgetTargets ends the targets that are silent and run nothing, which would
// be asked for ever.
func (l *Leader) forgetTargets() {
	now := l.now()
	if now.Sub(l.elected) < forgetAfter {
		return
	}
	var gone []string
	l.mu.Lock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			c := l.contacts[key]
			if t.Runs() == 0 && (c == nil || now.Sub(c.heard) > forgetAfter) {
				gone = append(gone, key)
			}
		}
	})
	l.mu.Unlock()
	for _, key := range gone {
		l.log.Info().Str("target", key).Msg("silent target without runs is forgotten")
		l.record(&work.Command{CloseRuns: key, TargetEnded: true}, "end of a silent target")
	}
}

// clockJump is by how much the time of day may jump between two leaders.
const clockJump = 5 * time.Second

// succeededLately reports whether a target may hold a lease that was meant for an
// earlier life under its id.
func (l *Leader) succeededLately(t *work.Target) bool {
	since := time.Duration(l.now().UnixMilli()-t.TakeoverMS) * time.Millisecond
	return t.TakeoverMS > 0 && since < l.lateEffect()+clockJump
}

// lateEffect is how long after it was sent an order can still keep a run alive: it
// is carried out late, and takes the longest lease.
func (l *Leader) lateEffect() time.Duration {
	return maxOrderDelay + l.longest(l.cfg.Timing.MaxLease)
}

// openSession starts a session. A successor may hold the longest lease, by orders
// to an earlier life under its id. The mutex is held.
func (l *Leader) openSession(key string, to Address, successor bool) *session {
	ctx, cancel := context.WithCancel(l.ctx)
	// Runs may hold leases of an earlier leader, which ends its orders when it
	// can no longer prove that it leads.
	leaseEnd := l.elected.Add(confirmValid + l.longest(l.lease()))
	if successor {
		leaseEnd = latest(l.now(), l.elected.Add(confirmValid)).Add(l.longest(l.cfg.Timing.MaxLease))
	}
	s := &session{
		l: l, key: key, to: to, fence: l.nextFence(), wake: make(wakeup, 1), ended: cancel,
		leaseEnd: leaseEnd, answered: l.now(), successor: successor, orders: map[work.RunRef]*order{},
	}
	l.sessions[key] = s
	l.wg.Go(func() { s.run(ctx) })
	return s
}

// lease returns the length of the leases that are granted.
func (l *Leader) lease() time.Duration { return min(preferredLease, l.cfg.Timing.MaxLease) }

// longest returns how long a lease can last on a slow clock.
func (l *Leader) longest(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockSlow)) + leaseMargin
}

// run holds the leases of the target's runs until they have ended.
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
			if !s.l.sleep(retryPause / 4) {
				return
			}
			continue
		}
		if s.ask(ctx) {
			failures = 0
			continue
		}
		failures++
		s.l.noteFailure(s.key)
		s.checkLapse()
		if !s.l.sleep(min(retryPause*time.Duration(failures), maxRetryPause, s.leaseLeft())) {
			return
		}
	}
}

// ask holds, a second time if the answer does not come: one lost answer is no
// silence. It reports whether the target answered.
func (s *session) ask(ctx context.Context) bool {
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

// needed reports whether the target has runs, or ends that it does not know to
// be recorded, or was not asked yet, or has announced itself since it was
// silent, or is probed.
func (s *session) needed() bool {
	s.l.mu.Lock()
	acknowledged, first, needed := s.acknowledged, s.first, s.probing
	s.probing = false
	if c := s.l.contacts[s.key]; c != nil && s.silent && c.announced.After(s.silentAt) {
		needed = true
	}
	s.l.mu.Unlock()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		t := v.Targets[s.key]
		needed = t != nil && (needed || t.Runs() > 0 || t.Acknowledged > acknowledged || !first)
	})
	return needed
}

// until returns the end of a lease granted now on the target's clock, and
// notes when it has certainly ended. It is 0 if the clock is not known yet. A
// target that does not answer gets no longer lease than it has.
func (s *session) until() int64 {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := l.contacts[s.key]
	if s.replaced {
		return 0 // the time would be on the clock of the earlier life
	}
	if s.sentAt = now; c == nil || c.clock.now(now) == 0 || s.unanswered {
		return s.granted
	}
	s.leaseEnd = latest(s.leaseEnd, now.Add(l.longest(l.lease())))
	s.granted = max(s.granted, c.clock.now(now)+l.lease().Milliseconds())
	return s.granted
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hold renews the lease and takes the list of runs, for which it waits. It
// reports whether the target answered.
func (s *session) hold(ctx context.Context, wait time.Duration) bool {
	state := s.snapshot()
	fence, _ := s.token()
	o := &HoldOrder{Fence: fence, Acknowledged: state.acknowledged}
	if !state.ended { // a later life would take a time on the earlier clock for the longest lease
		o.UntilMS = s.until()
	}
	if known, starting := s.known(); known && state.runs > 0 {
		if starting {
			wait = min(wait, startingWait)
		}
		o.WaitMS = wait.Milliseconds()
	}
	sent := s.l.now()
	holds.Inc()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(o.WaitMS)*time.Millisecond+holdMargin)
	defer cancel()
	h, err := s.l.cfg.Targets.Hold(callCtx, s.to, o)
	if err != nil {
		holdsSilent.Inc()
		if ctx.Err() == nil {
			s.l.log.Info().Err(err).Str("target", s.key).Msg("hold not answered")
		}
		return false
	}
	s.l.learnClock(s.key, h.ClockMS)
	switch {
	case h.Refusal == RefusedOtherTarget:
		s.l.log.Info().Str("target", s.key).Msg("another target answers at the address")
		s.l.record(&work.Command{CloseRuns: s.key, TargetEnded: true}, "end of a replaced target")
		return false
	case h.Refusal == NotRefused && h.Born != 0 && h.Born != state.born:
		s.takeLaterLife(h)
		return false
	case h.Refusal == RefusedFence:
		// Another session with the same target used a higher token.
		s.raiseFence()
		return false
	case h.Refusal != NotRefused:
		s.l.log.Info().Str("target", s.key).Str("refusal", string(h.Refusal)).Msg("hold refused")
		return false
	}
	s.noteLife(h.Born)
	s.take(h, sent, o.Acknowledged)
	return true
}

// noteLife notes that the session's own life answers. Then no later life can have
// answered before: a start time that said so was odd.
func (s *session) noteLife(born int64) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if born != 0 && s.replaced {
		s.replaced = false
		s.l.log.Warn().Str("target", s.key).Msg("no later life of the target: it answers again")
	}
}

// raiseFence takes a token above all that were used.
func (s *session) raiseFence() {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.fence = s.l.nextFence()
}

// takeLaterLife handles a list that comes from a later life with the same id.
// Starts that were sent to the earlier one may reach the later one until it
// has seen a higher token.
func (s *session) takeLaterLife(h *RunList) {
	s.l.log.Info().Str("target", s.key).Int64("born", h.Born).Msg("a later life of the target answers")
	s.l.mu.Lock()
	fenced := s.replaced
	s.replaced = true
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
	alive := false
	for _, r := range h.Running {
		if held[r.Run] {
			alive = true
			s.stop(r.Run)
		}
	}
	s.logUnreadable(&h.Unreadable)
	// A row that was left out may be one of these runs; then their leases end first.
	if !alive && h.Unreadable.LeftOut == 0 {
		s.l.record(&work.Command{CloseRuns: s.key, TargetEnded: true}, "end of an earlier life")
	}
}

// token returns the session's fencing token, and whether runs may be started
// with it: not once a later life of the target has answered, nor before a target
// has seen it that may carry out orders to an earlier life.
func (s *session) token() (fence uint64, mayStart bool) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.fence, !s.replaced && (s.first || !s.successor)
}

// sessionState is what a hold needs of the replicated state.
type sessionState struct {
	acknowledged, born int64
	runs               int
	// ended is set if a later life has the same id, which registered at
	// succeededMS, in Unix ms.
	ended       bool
	succeededMS int64
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
			if later.ID == t.ID && later.Born > t.Born && (out.succeededMS == 0 || later.TakeoverMS < out.succeededMS) {
				out.succeededMS = later.TakeoverMS
			}
		}
	})
	return out
}

// known reports whether the list of runs was read once, and whether it shows a
// lasting task that is not at work yet.
func (s *session) known() (known, starting bool) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	return s.first, s.starting
}

// clockLag is by how much the clock in an answer may be behind the estimate: orders
// are answered within 0.7 s, and the estimate drifts by 2 %.
const clockLag = time.Second

// learnClock takes the clock of an answer. One that is far behind comes from a later
// life of the target, whose clock starts anew: a lease that was told as a time on the
// earlier clock lasts the longest time there.
func (l *Leader) learnClock(key string, ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[key]
	if c == nil {
		c = &contact{}
		l.contacts[key] = c
	}
	now := l.now()
	if s := l.sessions[key]; s != nil && ms > 0 && c.clock.now(now)-ms > clockLag.Milliseconds() {
		s.leaseEnd = latest(s.leaseEnd, now.Add(l.longest(l.cfg.Timing.MaxLease)))
	}
	c.clock.learn(ms, now)
	c.heard, c.answered = now, now
}

// take records the ends of a list, and orders what the list calls for.
func (s *session) take(h *RunList, sent time.Time, acknowledged int64) {
	h.admitEnds(acknowledged)
	s.logUnreadable(&h.Unreadable)
	report := s.compare(h, sent, acknowledged)
	if report != nil {
		if s.l.report(report) {
			countEnds(report.EndedRuns)
			s.l.noteEnds(s.key, report.EndedRuns)
			s.l.logEnds(s.key, report.EndedRuns)
			s.l.wake.poke()
		}
	}
	if h.Unreadable.LeftOut > 0 {
		// An end that cannot be recorded is listed again at once, without a wait for
		// the next one.
		s.l.sleep(retryPause)
	}
}

// maxEndGap is by how much the number of an end may exceed the last one that was
// recorded. A target has far fewer ends between two looks at its list; it lists 500
// at a time.
const maxEndGap = 1 << 20

// admitEnds puts the ends in the order of their numbers, since only higher ones than
// the last are recorded, and leaves out those with an odd number. One that is too
// high would stand for all ends up to it, which the target then forgets.
func (h *RunList) admitEnds(acknowledged int64) {
	slices.SortStableFunc(h.Ended, func(a, b work.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	admitted := h.Ended[:0]
	for i, e := range h.Ended {
		switch {
		case e.Number <= acknowledged:
			h.Unreadable.Add(i, "an end that was acknowledged is listed again", true)
		case e.Number-acknowledged > maxEndGap:
			h.Unreadable.Add(i, "the number of the end is too high", true)
		default:
			admitted = append(admitted, e)
		}
	}
	h.Ended = admitted
}

// rowsLogEvery is how often rows that cannot be read are logged for one target,
// against several lists a second.
const rowsLogEvery = 10 * time.Second

// logUnreadable logs rows that are left out.
func (s *session) logUnreadable(u *UnreadableRows) {
	now := s.l.now()
	if u.Rows == 0 || now.Sub(s.rowsLogged) < rowsLogEvery {
		return
	}
	s.rowsLogged = now
	s.l.log.Warn().Err(u).Str("target", s.key).Msg("list of runs not read in full")
}

// comparison is what a list calls for.
type comparison struct {
	report *work.Report
	// stop holds runs that must not go on or begin, restart those whose start
	// was committed by an earlier leader and is not listed.
	stop, restart []work.RunRef
	// incomplete is set if rows of the list were left out.
	incomplete bool
}

// mayHide reports whether a run that a list lacks can be in a row that was left
// out. A row that is left out for longer than this after the run was last listed,
// or after it was stopped, is about something else: it would keep the task from
// starting again for ever.
func (c *comparison) mayHide(since, sent time.Time) bool {
	return c.incomplete && sent.Sub(since) < maxOrderDelay
}

// compare matches a list with the runs that the state holds, and orders what
// it calls for.
func (s *session) compare(h *RunList, sent time.Time, acknowledged int64) *work.Report {
	l := s.l
	c := &comparison{report: &work.Report{Target: s.key, EndedRuns: h.Ended}, incomplete: h.Unreadable.LeftOut > 0}
	finished := l.finished(h.Ended)
	l.mu.Lock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[s.key]; t != nil {
			s.compareRuns(v, t, h, sent, c)
		}
	})
	for _, f := range finished {
		l.learned.note(f.queue, f.ms)
		taskSeconds.Update(float64(f.ms) / 1000)
	}
	s.first = true
	s.acknowledged = max(s.acknowledged, acknowledged)
	s.answered = l.now()
	l.mu.Unlock()
	for _, r := range c.stop {
		s.stop(r)
	}
	for _, r := range c.restart {
		s.restart(r)
	}
	if len(c.report.EndedRuns) == 0 && len(c.report.Closed) == 0 && len(c.report.Checkpoints) == 0 {
		return nil
	}
	return c.report
}

// compareRuns compares the runs of a target. The leader's mutex is held.
func (s *session) compareRuns(v *work.View, t *work.Target, h *RunList, sent time.Time, c *comparison) {
	held, listed, ended := map[work.RunRef]bool{}, map[work.RunRef]bool{}, map[work.RunRef]bool{}
	t.EachRun(func(r work.RunRef) { held[r] = true })
	for _, e := range h.Ended {
		ended[e.Run] = true
	}
	s.starting = false
	for _, r := range h.Running {
		listed[r.Run] = true
		if !held[r.Run] {
			c.stop = append(c.stop, r.Run)
			continue
		}
		o := s.orderOf(r.Run)
		o.seen(sent)
		o.listedAt = sent
		o.atWork = r.Percent >= 100
		job, task := v.Find(r.Run.Task)
		s.starting = s.starting || (task != nil && !o.atWork && job.Spec.Steps[task.Step].LongLived)
		if task != nil && r.Checkpoint != "" && task.Checkpoint != r.Checkpoint {
			c.report.Checkpoints = append(c.report.Checkpoints, work.Checkpoint{Run: r.Run, Value: r.Checkpoint})
		}
	}
	for r := range held {
		if !ended[r] {
			s.compareRun(v, r, listed[r], sent, c)
		}
	}
	for r, o := range s.orders {
		// A stop that is under way is kept, or the next list would add another one.
		if !held[r] && !o.stopping {
			delete(s.orders, r)
		}
	}
}

// compareRun decides on one run that the state holds and that has not ended.
func (s *session) compareRun(v *work.View, r work.RunRef, listed bool, sent time.Time, c *comparison) {
	job, _ := v.Find(r.Task)
	o := s.orderOf(r)
	switch {
	case !o.stoppedAt.IsZero() && o.stoppedAt.Before(sent) && !listed && !c.mayHide(o.stoppedAt, sent):
		s.logRun(r).Msg("stopped run is not listed")
		c.report.Closed = append(c.report.Closed, r)
	case job == nil || job.State.Final():
		c.stop = append(c.stop, r)
	case listed:
	case !o.startedAt.IsZero() && o.startedAt.Before(sent):
		if !c.mayHide(latest(o.startedAt, o.listedAt), sent) {
			c.stop = append(c.stop, r) // it vanished: make sure that it cannot begin again
		}
	case !o.starting && o.stoppedAt.IsZero():
		c.restart = append(c.restart, r)
	}
}

// finishedTask is the duration of a task that is done.
type finishedTask struct {
	queue string
	ms    int64
}

// finished returns the durations of the tasks among new ends.
func (l *Leader) finished(ends []work.EndedRun) []finishedTask {
	var out []finishedTask
	now := l.now().UnixMilli()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for _, e := range ends {
			if j, t := v.Find(e.Run.Task); j != nil && e.Outcome == work.OutcomeDone && t.Run == e.Run.Run && t.Active() {
				out = append(out, finishedTask{j.Queue, now - t.StartedMS})
			}
		}
	})
	return out
}

// orderOf returns the order of a run. The leader's mutex is held.
func (s *session) orderOf(r work.RunRef) *order {
	o := s.orders[r]
	if o == nil {
		o = &order{}
		s.orders[r] = o
	}
	return o
}

// seen notes that the run was listed.
func (o *order) seen(at time.Time) {
	if o.startedAt.IsZero() {
		o.startedAt = at
	}
}

// leaseLeft returns for how long leases of the target may last, and the longest
// pause once they have ended.
func (s *session) leaseLeft() time.Duration {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	if left := s.leaseEnd.Sub(s.l.now()); left > 0 {
		return left
	}
	return maxRetryPause
}

// checkLapse closes the runs of a target whose lease has certainly ended.
func (s *session) checkLapse() {
	state := s.snapshot()
	s.l.mu.Lock()
	end := s.leaseEnd
	s.l.mu.Unlock()
	if state.ended {
		s.settleEnded(&state)
		end = end.Add(maxOrderDelay)
	}
	if s.l.now().Before(end) || state.runs == 0 {
		return
	}
	s.l.log.Warn().Str("target", s.key).Int("runs", s.snapshot().runs).Msg("lease of a silent target has ended")
	// A start that is still on its way begins if it arrives after the next lease
	// was granted, whatever its own time, unless its token is lower by then.
	s.raiseFence()
	leasesEnded.Inc()
	s.l.record(&work.Command{CloseRuns: s.key}, "end of a lease")
	s.l.wake.poke()
}

// settleEnded settles the runs of an earlier life that no start on its way can begin
// in the later one. Nothing is started on a target that has ended, so a start is on
// its way from this leader or, shortly after the election, from a former one.
func (s *session) settleEnded(state *sessionState) {
	l, now := s.l, s.l.now()
	since := time.Duration(now.UnixMilli()-state.succeededMS) * time.Millisecond
	long := state.succeededMS > 0 && since > l.lateEffect()+clockJump
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
			if long || now.Sub(sent) > l.lateEffect() {
				report.Closed = append(report.Closed, r)
			}
		})
	})
	l.mu.Unlock()
	if len(report.Closed) == 0 {
		return
	}
	l.log.Info().Str("target", s.key).Int("runs", len(report.Closed)).Msg("runs of an earlier life have ended with it")
	l.report(report)
	l.wake.poke()
}

// noteFailure keeps new runs away from a target that does not answer or says
// that it is unhealthy.
func (l *Leader) noteFailure(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.contacts[key]; c != nil {
		c.avoidUntil = latest(c.avoidUntil, l.now().Add(failurePause))
	}
}

// unsent reports whether an error proves that an order had no effect.
func unsent(err error) bool {
	var unavailable *fault.Unavailable
	return errors.As(err, &unavailable)
}
