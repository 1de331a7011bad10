package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// awayCheckInterval is how often unreachable data centres are looked for. It is
	// short against the seconds after which a target counts as silent.
	awayCheckInterval = 50 * time.Millisecond
	// minSilentTargets is the least number of silent targets in a data centre that
	// counts as unreachable: more than the loss of one host explains.
	minSilentTargets = 2
	// awayAfter is how long no target of a data centre must have answered for it to
	// count as unreachable. Targets with runs are asked every holdWait.
	awayAfter = 2 * holdWait
	// probeInterval is how often one idle target is probed in a data centre with silent
	// targets where none has answered for half of awayAfter.
	probeInterval = 500 * time.Millisecond
)

// heard reports whether a target announced itself or answered recently. The mutex is
// held.
func (l *Leader) heard(t *work.Target) bool {
	key := t.Key()
	st := l.statuses[key]
	if st == nil || l.now().Sub(st.heard) > maxMissedAnnouncements*l.cfg.Timing.Announce {
		return false
	}
	s := l.sessions[key]
	return s == nil || !s.silent
}

// awayDataCentres returns the unreachable data centres, as of at most awayCheckInterval
// ago. The mutex is held.
func (l *Leader) awayDataCentres(v *work.View) map[string]bool {
	if now := l.now(); l.fleet.away == nil || now.Sub(l.fleet.awayAt) >= awayCheckInterval {
		before := l.fleet.away
		l.fleet.away, l.fleet.awayAt = l.findAway(v), now
		for name, away := range l.fleet.away {
			if away && !before[name] {
				l.log.Warn().Str("data_centre", name).Msg("data centre seems to be cut off")
			}
		}
		for name, away := range before {
			if away && !l.fleet.away[name] {
				l.log.Info().Str("data_centre", name).Msg("data centre answers again")
			}
		}
	}
	return l.fleet.away
}

// findAway returns the data centres in which several targets are silent and none has
// answered recently. If only idle targets are left, it probes one of them at intervals:
// their announcements still arrive when the network fails in one direction only. The
// mutex is held.
func (l *Leader) findAway(v *work.View) map[string]bool {
	now := l.now()
	silent, answered, idle := map[string]int{}, map[string]time.Time{}, map[string]*work.Target{}
	for key, t := range v.Targets {
		if t.Ended {
			continue
		}
		st := l.statuses[key]
		if st != nil {
			answered[t.DataCentre] = latest(answered[t.DataCentre], st.answered)
		}
		switch {
		case st != nil && now.Sub(st.answered) < awayAfter:
		case !l.heard(t):
			silent[t.DataCentre]++
		case idle[t.DataCentre] == nil || st.probed.Before(l.statuses[idle[t.DataCentre].Key()].probed):
			idle[t.DataCentre] = t
		}
	}
	away := map[string]bool{}
	for name, n := range silent {
		quiet := now.Sub(answered[name])
		away[name] = n >= minSilentTargets && quiet >= awayAfter
		if t := idle[name]; n >= minSilentTargets && quiet >= awayAfter/2 && t != nil && now.Sub(l.statuses[t.Key()].probed) >= probeInterval {
			l.probe(t)
		}
	}
	return away
}

// probe asks an idle target for its runs to learn whether it answers. The mutex is
// held.
func (l *Leader) probe(t *work.Target) {
	key := t.Key()
	l.statuses[key].probed = l.now()
	s := l.sessions[key]
	if s == nil {
		s = l.openSession(key, Address{t.Address, t.ID}, l.hasRecentPredecessor(t))
	}
	s.probing = true
	s.wake.signal()
}
