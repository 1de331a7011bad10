package replica

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/raft"
)

// ignoreTimeouts is for how many election timeouts a replica ignores a leader
// whose entries are refused for their time. The leader steps down within one,
// and the followers elect another within two.
const ignoreTimeouts = 3

// timedEntry is an uncommitted entry and the latest time up to it.
type timedEntry struct {
	index uint64
	time  hlc.Time
}

// timeline follows the times of the log, so that a leader's entries are later
// than those before them even if the hybrid clock refused to follow a time
// that is too far ahead of the local clock.
type timeline struct {
	committed hlc.Time
	tail      []timedEntry // ascending
}

// at returns the latest time of the entries up to index.
func (l *timeline) at(index uint64) hlc.Time {
	for _, e := range slices.Backward(l.tail) {
		if e.index <= index {
			return e.time
		}
	}
	return l.committed
}

// last returns the latest time of the log.
func (l *timeline) last() hlc.Time { return l.at(^uint64(0)) }

// append takes stored entries, which replace those from the first one on.
func (l *timeline) append(entries []raft.Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	l.tail = slices.DeleteFunc(l.tail, func(e timedEntry) bool { return e.index >= first })
	for _, e := range entries {
		l.add(e)
	}
}

func (l *timeline) add(e raft.Entry) {
	if t, ok := timeOf(e); ok {
		l.tail = append(l.tail, timedEntry{index: e.Index, time: latest(l.last(), t)})
	}
}

// commit takes the entries up to index out of the tail.
func (l *timeline) commit(index uint64) {
	n := 0
	for n < len(l.tail) && l.tail[n].index <= index {
		l.committed = latest(l.committed, l.tail[n].time)
		n++
	}
	l.tail = l.tail[n:]
}

// install starts after a snapshot.
func (l *timeline) install(t hlc.Time) { l.committed, l.tail = latest(l.committed, t), nil }

// next returns the time of an entry that is proposed at now.
func (l *timeline) next(now hlc.Time) hlc.Time {
	last := l.last()
	if last.Before(now) {
		return now
	}
	last.Logical++
	return last
}

// timeOf returns the time of an entry that has one.
func timeOf(e raft.Entry) (hlc.Time, bool) {
	if e.Type != raft.EntryNormal {
		return hlc.Time{}, false
	}
	t, _, err := openEnvelope(e.Data)
	return t, err == nil
}

func latest(a, b hlc.Time) hlc.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// refuses reports whether a leader's message is not to be handled because of
// the time of its entries. Time beyond the bound would shorten every deadline
// once it is committed. Without a quorum for its entries and heartbeats the
// leader steps down. Committed entries are always taken, since every replica
// must apply the same.
func (c *core) refuses(m *raft.Message) bool {
	switch m.Type {
	case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgSnapshot:
	default:
		return false
	}
	if m.Term == c.refusedTerm && c.ticks < c.refusedUntil {
		return true
	}
	err := c.checkTimes(m)
	if err == nil {
		return false
	}
	c.refusedTerm = m.Term
	c.refusedUntil = c.ticks + uint64(ignoreTimeouts*c.r.cfg.ElectionTicks)
	c.r.metrics.refusedTimes.Inc()
	c.r.cfg.Logger.Warn().Err(err).Str("group", c.r.cfg.Group).Str("leader", raft.HostOf(m.From)).Uint64("term", m.Term).
		Msg("entries of a leader refused for their time")
	c.r.cfg.OnRefusedTimestamp(raft.HostOf(m.From), err)
	return true
}

// checkTimes returns *fault.ClockSkew for an uncommitted entry whose time is
// too far ahead. Time that the log already has may continue. A host that knows
// its own clock to be off relies on the others.
func (c *core) checkTimes(m *raft.Message) error {
	if m.Type != raft.MsgAppend || c.skew != nil {
		return nil
	}
	last := c.times.at(m.Index)
	for _, e := range m.Entries {
		t, ok := timeOf(e)
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
