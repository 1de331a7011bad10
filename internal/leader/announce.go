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
	// announceMissed is after how many announcement intervals without one a
	// target gets no new runs.
	announceMissed = 3
	// restartRises is how many announcements in rising order show that the numbers
	// of a target are lower than the highest one that came under its name.
	restartRises = 3
	// answersFor is how long a target with runs counts as alive after an answer. It
	// is asked every holdWait, and one that has ended is found silent sooner.
	answersFor = 2 * holdWait
	// maxBornAhead is by how much the start of a target may lie in the future. The
	// clocks of hosts jump by some seconds.
	maxBornAhead = time.Hour
)

// Announce takes an announcement. What it changes is committed before it
// returns, so that it is known to the next leader once it is acknowledged. It
// returns *fault.Invalid, *fault.NotFound, *fault.Precondition or
// *fault.LimitExceeded for one that names no target to use, and the errors of
// replica.Group.
func (l *Leader) Announce(ctx context.Context, a *work.Announcement) error {
	key := a.Target.Key()
	now := l.now()
	if err := l.admit(&a.Target, now); err != nil {
		return l.refuse(&a.Target, err)
	}
	l.mu.Lock()
	c := l.contacts[key]
	if c == nil {
		l.forgetContacts(now)
		c = &contact{}
		l.contacts[key] = c
	}
	if !c.takes(a.Sequence, now, announceMissed*l.cfg.Timing.Announce) {
		l.mu.Unlock()
		if a.Target.Draining && l.holds(&a.Target) {
			return l.register(ctx, &a.Target) // a target that drains does so until its end
		}
		return nil
	}
	first := c.announced.IsZero()
	c.announced, c.heard = now, now
	c.learnAnnounced(a.ClockMS, now)
	if s := l.sessions[key]; s != nil && s.silent {
		s.wake.poke()
	}
	l.mu.Unlock()
	if first {
		l.wake.poke()
	}
	return l.register(ctx, &a.Target)
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
		l.forgetContact(key)
		var replaced *fault.Precondition
		if errors.As(result.Err, &replaced) {
			l.log.Info().Err(result.Err).Str("target", key).Msg("announcement of an ended target")
			return nil
		}
		return l.refuse(t, result.Err)
	}
	l.log.Info().Str("target", key).Str("host", t.Host).Str("pool", t.Pool).
		Bool("draining", t.Draining).Str("address", t.Address).Msg("target registered")
	l.wake.poke()
	return nil
}

// admit returns why a target is not taken into the region, nil if it is.
func (l *Leader) admit(t *work.Target, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	l.cfg.StateMachine.Read(func(v *work.View) {
		switch known := v.Targets[t.Key()]; {
		case known == nil:
			err = l.admitNew(v, t, now)
		case known.Host != t.Host || known.Pool != t.Pool: // a life keeps both
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
		// Orders to an earlier life under the same id reach the later one, so that one
		// has to be known.
		if v.Targets[key].ID != t.ID && l.answers(key, now) {
			return &fault.Precondition{What: "registration of " + t.Key(), Reason: key + " still answers"}
		}
	}
	return nil
}

// answers reports whether a target with runs has answered lately. The mutex is
// held.
func (l *Leader) answers(key string, now time.Time) bool {
	s := l.sessions[key]
	return s != nil && s.first && !s.unanswered && !s.replaced && now.Sub(s.answered) < answersFor
}

// refuse logs why an announcement is refused and returns the error for its sender:
// none for a target of an unknown pool that drains. No run is ever started there,
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

// contactsFor is how long a target that the state does not hold is remembered, so
// that announcements that arrive late are known to be old.
const contactsFor = time.Minute

// forgetContacts forgets silent targets that the state does not hold, at most once
// in forgetAfter. The mutex is held.
func (l *Leader) forgetContacts(now time.Time) {
	if now.Sub(l.contactsAt) < forgetAfter {
		return
	}
	l.contactsAt = now
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, c := range l.contacts {
			if v.Targets[key] == nil && now.Sub(c.heard) > contactsFor {
				delete(l.contacts, key)
			}
		}
	})
}

// forgetContact forgets a target that the state machine has refused.
func (l *Leader) forgetContact(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		if v.Targets[key] == nil {
			delete(l.contacts, key)
		}
	})
}

// takes reports whether an announcement is no older than those before it, and notes
// its number. After one with a number far ahead, which another writer has sent, all
// others are lower: they count again once several have come in rising order while
// none has followed the higher number.
func (c *contact) takes(sequence int64, now time.Time, silence time.Duration) bool {
	if sequence < c.sequence {
		if sequence > c.lower {
			c.lower, c.rises = sequence, c.rises+1
		}
		if c.rises < restartRises || now.Sub(c.announced) <= silence {
			return false
		}
	}
	c.sequence, c.lower, c.rises = sequence, 0, 0
	return true
}

// holds reports whether the state holds a target.
func (l *Leader) holds(t *work.Target) (found bool) {
	l.cfg.StateMachine.Read(func(v *work.View) { found = v.Targets[t.Key()] != nil })
	return found
}

// differs reports whether the state does not hold the announced target.
func (l *Leader) differs(t *work.Target) bool {
	differs := true
	l.cfg.StateMachine.Read(func(v *work.View) {
		known := v.Targets[t.Key()]
		differs = known == nil || known.Pool != t.Pool || known.Address != t.Address || known.Resources != t.Resources ||
			(t.Draining && !known.Draining)
	})
	return differs
}

// Leave takes the last message of a target that ends: nothing runs on it.
func (l *Leader) Leave(ctx context.Context, id string) error {
	var keys []string
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			if t.ID == id && t.Draining {
				keys = append(keys, key)
			}
		}
	})
	for _, key := range keys {
		if _, err := l.Propose(ctx, &work.Command{CloseRuns: key, TargetEnded: true}); err != nil {
			return err
		}
		l.log.Info().Str("target", key).Msg("target left")
	}
	return nil
}

// learnAnnounced takes the clock of an announcement. One that is far ahead counts
// only once a later one agrees: a lease that ends on a clock ahead of the target's
// is longer than was meant.
func (c *contact) learnAnnounced(ms int64, at time.Time) {
	if !c.clock.behind(ms, at) || (!c.doubted.at.IsZero() && !c.doubted.behind(ms, at)) {
		c.clock.learn(ms, at)
		c.doubted = targetClock{}
		return
	}
	c.doubted = targetClock{}
	c.doubted.learn(ms, at)
}

// maxClockLead is by how much the clock of an announcement may be ahead of the
// estimate. A target gives up an announcement after a second, so the readings
// before it were hardly later.
const maxClockLead = time.Second

// maxClockMS is the highest reading of a clock, which JSON keeps exactly: sums
// with it do not overflow.
const maxClockMS = 1 << 53

// targetClock estimates the steady clock of a target.
type targetClock struct {
	ms int64
	at time.Time
}

// learn takes a reading that arrived at a time. A slow answer gives a value
// that is behind, never one that is ahead.
func (c *targetClock) learn(ms int64, at time.Time) {
	if ms <= 0 || ms > maxClockMS {
		return // no clock shows it
	}
	if ms >= c.now(at) || at.Sub(c.at) > time.Second {
		c.ms, c.at = ms, at
	}
}

// behind reports whether the clock is known and far behind a reading.
func (c *targetClock) behind(ms int64, at time.Time) bool {
	return !c.at.IsZero() && ms-c.now(at) > maxClockLead.Milliseconds()
}

// now returns the estimated time in ms, 0 if it is not known.
func (c *targetClock) now(at time.Time) int64 {
	if c.at.IsZero() {
		return 0
	}
	return c.ms + at.Sub(c.at).Milliseconds()
}
