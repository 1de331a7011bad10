package leader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// maxMissedAnnouncements is after how many announcement intervals without an
	// announcement a target gets no new runs.
	maxMissedAnnouncements = 3
	// minIncreases is how many announcements in rising order prove that the highest
	// sequence number that came under a target's name was not its own.
	minIncreases = 3
	// answerValidity is how long a target with runs counts as alive after an answer. It
	// is asked every holdWait, so one that has ended is found silent earlier.
	answerValidity = 2 * holdWait
	// maxBornAhead is by how much the start time of a target may lie in the future. The
	// clocks of hosts jump by some seconds.
	maxBornAhead = time.Hour
)

// Announce handles an announcement. What it changes is committed before it returns, so
// that the next leader knows it once it is acknowledged. For an announcement that is
// refused it returns *fault.Invalid, *fault.NotFound, *fault.Precondition or
// *fault.LimitExceeded; its other errors are those of replica.Group.
func (l *Leader) Announce(ctx context.Context, a *work.Announcement) error {
	key := a.Target.Key()
	now := l.now()
	if err := l.admit(&a.Target, now); err != nil {
		return l.refuse(&a.Target, err)
	}
	if !l.observe(key, a.Sequence, a.ClockMS, now) {
		if a.Target.Draining && l.knowsTarget(&a.Target) {
			return l.register(ctx, &a.Target) // draining is never undone, so an old announcement of it still counts
		}
		return nil
	}
	return l.register(ctx, &a.Target)
}

// observe records an announcement of a target. It returns false for one that is older
// than those before it.
func (l *Leader) observe(key string, sequence, clockMS int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.statuses[key]
	if st == nil {
		l.pruneStatuses(now)
		st = &targetStatus{}
		l.statuses[key] = st
	}
	if !st.acceptSequence(sequence, now, maxMissedAnnouncements*l.cfg.Timing.Announce) {
		return false
	}
	if st.announced.IsZero() {
		l.wake.signal()
	}
	st.announced, st.heard = now, now
	st.learnAnnouncedClock(clockMS, now)
	if s := l.sessions[key]; s != nil && s.silent {
		s.wake.signal()
	}
	return true
}

// Heartbeat is an announcement that changes nothing in the replicated state. Another host
// of the core took it, and passes it on with others.
type Heartbeat struct {
	// Target is the key of the target.
	Target   string `cbor:"1,keyasint"`
	Sequence int64  `cbor:"2,keyasint"`
	// ClockMS is the target's clock when the heartbeat was passed on.
	ClockMS int64 `cbor:"3,keyasint"`
}

// HandleHeartbeats records heartbeats. It skips those of targets that the state does not
// hold any more: they register with their next announcement, which the host that took
// these refuses once it has applied their end.
func (l *Leader) HandleHeartbeats(all []Heartbeat) {
	now := l.now()
	known := make([]bool, len(all))
	l.cfg.StateMachine.Read(func(v *work.View) {
		for i := range all {
			t := v.Targets[all[i].Target]
			known[i] = t != nil && !t.Ended
		}
	})
	for i := range all {
		if known[i] {
			l.observe(all[i].Target, all[i].Sequence, all[i].ClockMS, now)
		}
	}
}

// register commits what an announcement changes.
func (l *Leader) register(ctx context.Context, t *work.Target) error {
	if !l.differs(t) {
		return nil
	}
	key := t.Key()
	result, err := l.Propose(ctx, &work.Command{Register: t})
	if err != nil {
		return err
	}
	if result.Err != nil {
		l.dropStatus(key)
		var replaced *fault.Precondition
		if errors.As(result.Err, &replaced) {
			l.log.Info().Err(result.Err).Str("target", key).Msg("announcement of an ended target")
			return nil
		}
		return l.refuse(t, result.Err)
	}
	l.log.Info().Str("target", key).Str("host", t.Host).Str("pool", t.Pool).
		Bool("draining", t.Draining).Str("address", t.Address).Msg("target registered")
	l.wake.signal()
	return nil
}

// admit returns why an announced target is refused, or nil.
func (l *Leader) admit(t *work.Target, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	l.cfg.StateMachine.Read(func(v *work.View) {
		switch known := v.Targets[t.Key()]; {
		case known == nil:
			err = l.admitNew(v, t, now)
		case known.Host != t.Host || known.Pool != t.Pool: // an incarnation keeps both
			err = &fault.Precondition{What: "announcement of " + t.Key(), Reason: "it is on " + known.Host + " in pool " + known.Pool}
		case known.Address != t.Address && l.answers(t.Key(), now):
			err = &fault.Precondition{What: "announcement of " + t.Key(), Reason: "it answers at " + known.Address}
		}
	})
	return err
}

// admitNew is admit for a target that the state does not hold. The mutex is held.
func (l *Leader) admitNew(v *work.View, t *work.Target, now time.Time) error {
	if latest := now.Add(maxBornAhead).UnixMilli(); t.Born > latest {
		return &fault.Invalid{Field: "born", Reason: "lies in the future", Allowed: "up to " + strconv.FormatInt(latest, 10)}
	}
	if v.Config != nil {
		if _, named := v.Config.Pool(t.Pool); !named {
			return &fault.NotFound{Kind: "pool", Name: t.Pool}
		}
	}
	for _, key := range v.ReplacedBy(t) {
		// Orders to an earlier incarnation with the same id and address reach the later one,
		// so it has to be registered.
		other := v.Targets[key]
		if (other.ID != t.ID || other.Address != t.Address) && l.answers(key, now) {
			return &fault.Precondition{What: "registration of " + t.Key(), Reason: key + " still answers"}
		}
	}
	return nil
}

// answers reports whether a target with runs has answered recently. The mutex is held.
func (l *Leader) answers(key string, now time.Time) bool {
	s := l.sessions[key]
	return s != nil && s.listed && !s.unanswered && !s.superseded && now.Sub(s.answered) < answerValidity
}

// refuse logs why an announcement is refused and returns the error for its sender. It
// returns nil for a draining target of an unknown pool: no run is ever started there,
// and the target waits for a confirmation before it ends.
func (l *Leader) refuse(t *work.Target, err error) error {
	l.log.Info().Err(err).Str("target", t.Key()).Str("host", t.Host).Str("pool", t.Pool).Str("address", t.Address).
		Bool("draining", t.Draining).Msg("announcement refused")
	var notFound *fault.NotFound
	if t.Draining && errors.As(err, &notFound) {
		return nil
	}
	return err
}

// statusRetention is how long the status of a target that the state does not hold is
// kept, so that late announcements are recognised as old.
const statusRetention = time.Minute

// pruneStatuses deletes the statuses of silent targets that the state does not hold, at
// most once per targetRetention. The mutex is held.
func (l *Leader) pruneStatuses(now time.Time) {
	if now.Sub(l.statusesPrunedAt) < targetRetention {
		return
	}
	l.statusesPrunedAt = now
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, st := range l.statuses {
			if v.Targets[key] == nil && now.Sub(st.heard) > statusRetention {
				delete(l.statuses, key)
			}
		}
	})
}

// dropStatus deletes the status of a target that the state machine has refused.
func (l *Leader) dropStatus(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		if v.Targets[key] == nil {
			delete(l.statuses, key)
		}
	})
}

// acceptSequence reports whether an announcement is not older than those before it, and
// records its number. After a far higher number from another sender all later ones are
// lower. They count again once several have come in rising order while the higher
// number was not followed up for the time of silence.
func (st *targetStatus) acceptSequence(sequence int64, now time.Time, silence time.Duration) bool {
	if sequence < st.sequence {
		if sequence > st.lowerSequence {
			st.lowerSequence, st.increases = sequence, st.increases+1
		}
		if st.increases < minIncreases || now.Sub(st.announced) <= silence {
			return false
		}
	}
	st.sequence, st.lowerSequence, st.increases = sequence, 0, 0
	return true
}

// knowsTarget reports whether the state holds a target.
func (l *Leader) knowsTarget(t *work.Target) (found bool) {
	l.cfg.StateMachine.Read(func(v *work.View) { found = v.Targets[t.Key()] != nil })
	return found
}

// differs reports whether the state does not hold the target as announced.
func (l *Leader) differs(t *work.Target) bool { return !l.cfg.StateMachine.Holds(t) }

// Leave handles the last message of a draining target. It proves that the target is about to
// end, not that it has ended: one that does not get the confirmation goes on for some seconds.
// Runs that are alive on it are therefore kept until they end, or their lease has expired.
func (l *Leader) Leave(ctx context.Context, id string) error {
	runs := map[string]int{}
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			if t.ID == id && t.Draining {
				runs[key] = t.Runs()
			}
		}
	})
	for key, n := range runs {
		l.log.Info().Str("target", key).Int("runs", n).Msg("target leaves")
		if n > 0 {
			continue
		}
		if _, err := l.Propose(ctx, &work.Command{CloseRuns: key, TargetEnded: true}); err != nil {
			return err
		}
	}
	return nil
}

// learnAnnouncedClock updates the estimate of a target's clock from an announcement. A
// reading far ahead counts only once a later one agrees with it: a lease that ends on a
// clock ahead of the target's is longer than intended.
func (st *targetStatus) learnAnnouncedClock(ms int64, at time.Time) {
	if !st.clock.behind(ms, at) || (!st.suspectClock.at.IsZero() && !st.suspectClock.behind(ms, at)) {
		st.clock.learn(ms, at)
		st.suspectClock = targetClock{}
		return
	}
	st.suspectClock = targetClock{}
	st.suspectClock.learn(ms, at)
}

// maxClockLead is by how much the clock of an announcement may be ahead of the
// estimate. A target abandons an announcement after a second, so earlier readings can
// hardly have been delayed by more.
const maxClockLead = time.Second

// maxClockMS is the highest accepted clock reading. JSON represents it exactly, and
// sums with it do not overflow.
const maxClockMS = 1 << 53

// targetClock estimates the monotonic clock of a target.
type targetClock struct {
	ms int64
	at time.Time
}

// learn takes a reading that arrived at a time. A delayed reading is behind the target's
// clock, never ahead of it.
func (c *targetClock) learn(ms int64, at time.Time) {
	if ms <= 0 || ms > maxClockMS {
		return // not a valid reading
	}
	if ms >= c.now(at) || at.Sub(c.at) > time.Second {
		c.ms, c.at = ms, at
	}
}

// behind reports whether the estimate is known and far behind a reading.
func (c *targetClock) behind(ms int64, at time.Time) bool {
	return !c.at.IsZero() && ms-c.now(at) > maxClockLead.Milliseconds()
}

// now returns the estimated clock in ms, 0 if it is not known.
func (c *targetClock) now(at time.Time) int64 {
	if c.at.IsZero() {
		return 0
	}
	return c.ms + at.Sub(c.at).Milliseconds()
}
