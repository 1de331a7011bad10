package replica

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/raft"
)

// ignoredElectionTimeouts is for how many election timeouts a replica ignores a leader
// whose entries are refused for their time. The leader steps down within one,
// and the followers elect another within two.
const ignoredElectionTimeouts = 3

// timedEntry is an uncommitted entry and the latest time up to it.
type timedEntry struct {
	index uint64
	time  hlc.Time
}

// logTimestamps follows the times of the log, so that a leader's entries are later
// than those before them even if the hybrid clock refused to follow a time
// that is too far ahead of the local clock.
type logTimestamps struct {
	committed   hlc.Time
	uncommitted []timedEntry // ascending
}

// latestAt returns the latest time of the entries up to index.
func (l *logTimestamps) latestAt(index uint64) hlc.Time {
	for _, e := range slices.Backward(l.uncommitted) {
		if e.index <= index {
			return e.time
		}
	}
	return l.committed
}

// last returns the latest time of the log.
func (l *logTimestamps) last() hlc.Time { return l.latestAt(^uint64(0)) }

// append takes stored entries, which replace those from the first one on.
func (l *logTimestamps) append(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	l.uncommitted = slices.DeleteFunc(l.uncommitted, func(e timedEntry) bool { return e.index >= first })
	for _, e := range entries {
		l.add(e)
	}
}

func (l *logTimestamps) add(e raft.Entry) {
	if t, ok := timestampOf(e); ok {
		l.uncommitted = append(l.uncommitted, timedEntry{index: e.Index, time: maxTime(l.last(), t)})
	}
}

// commit takes the entries up to index out of the tail.
func (l *logTimestamps) commit(index uint64) {
	n := 0
	for n < len(l.uncommitted) && l.uncommitted[n].index <= index {
		l.committed = maxTime(l.committed, l.uncommitted[n].time)
		n++
	}
	l.uncommitted = l.uncommitted[n:]
}

// installSnapshot starts after a snapshot.
func (l *logTimestamps) installSnapshot(t hlc.Time) {
	l.committed, l.uncommitted = maxTime(l.committed, t), nil
}

// next returns the time of an entry that is proposed at now.
func (l *logTimestamps) next(now hlc.Time) hlc.Time {
	last := l.last()
	if last.Before(now) {
		return now
	}
	last.Logical++
	return last
}

// timestampOf returns the time of an entry that has one.
func timestampOf(e raft.Entry) (hlc.Time, bool) {
	if e.Type != raft.EntryNormal {
		return hlc.Time{}, false
	}
	t, _, err := decodeEnvelope(e.Data)
	return t, err == nil
}

func maxTime(a, b hlc.Time) hlc.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// refusesMessage reports whether a leader's message is not to be handled because of
// the time of its entries. Time beyond the bound would shorten every deadline
// once it is committed. Without a quorum for its entries and heartbeats the
// leader steps down. Committed entries are always taken, since every replica
// must apply the same.
func (c *core) refusesMessage(m *raft.Message) bool {
	switch m.Type {
	case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgSnapshot:
	default:
		return false
	}
	if m.Term == c.refusedTerm && c.ticks < c.refusedUntil {
		return true
	}
	err := c.checkTimestamps(m)
	if err == nil {
		return false
	}
	c.refusedTerm = m.Term
	c.refusedUntil = c.ticks + uint64(ignoredElectionTimeouts*c.r.cfg.ElectionTicks)
	c.r.metrics.refusedTimestamps.Inc()
	c.r.cfg.Logger.Warn().Err(err).Str("group", c.r.cfg.Group).Str("leader", raft.HostOf(m.From)).Uint64("term", m.Term).
		Msg("entries of a leader refused for their time")
	c.r.cfg.OnRefusedTimestamp(raft.HostOf(m.From), err)
	return true
}

// checkTimestamps returns *fault.ClockSkew for an uncommitted entry whose time is
// too far ahead. Time that the log already has may continue. A host that knows
// its own clock to be off relies on the others.
func (c *core) checkTimestamps(m *raft.Message) error {
	if m.Type != raft.MsgAppend || c.skew != nil {
		return nil
	}
	last := c.timestamps.latestAt(m.Index)
	for _, e := range m.Entries {
		t, ok := timestampOf(e)
		if !ok || e.Index <= m.Commit || t.WallMillis <= last.WallMillis {
			continue
		}
		if err := c.r.cfg.HLC.CheckTimestamp(t); err != nil {
			return err
		}
		last = t
	}
	return nil
}

// checkClock hands over the leadership of a host whose clock is far from the
// majority's. Until then it takes no proposals.
func (c *core) checkClock() {
	skew := c.r.cfg.HLC.Skew()
	if skew != nil && c.node.Status().Role == raft.Leader {
		if c.skew == nil {
			c.r.cfg.Logger.Warn().Err(skew).Str("group", c.r.cfg.Group).Msg("leadership handed over because of the clock")
		}
		// Without a follower to take over, the next tick tries again.
		_, _ = c.node.TransferLeadership()
	}
	c.skew = skew
}
