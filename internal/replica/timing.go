package replica

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/raft"
)

// ignoredElectionTimeouts is the number of election timeouts for which a
// replica ignores a leader whose entries it refused because of their
// timestamps. The leader steps down within one, and the followers elect another
// within two.
const ignoredElectionTimeouts = 3

// timedEntry is the index of an uncommitted entry and the latest timestamp of
// the log up to it.
type timedEntry struct {
	index uint64
	time  hlc.Time
}

// logTimestamps tracks the timestamps of the log, so that the timestamps of a
// leader's entries increase even if the hybrid clock refused an earlier one
// that was too far ahead of the local clock.
type logTimestamps struct {
	committed   hlc.Time
	uncommitted []timedEntry // ascending by index
}

// latestAt returns the latest timestamp of the entries up to index.
func (l *logTimestamps) latestAt(index uint64) hlc.Time {
	for _, e := range slices.Backward(l.uncommitted) {
		if e.index <= index {
			return e.time
		}
	}
	return l.committed
}

// last returns the latest timestamp of the log.
func (l *logTimestamps) last() hlc.Time { return l.latestAt(^uint64(0)) }

// append adds stored entries, which replace all from the first one's index on.
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

// commit moves the entries up to index from uncommitted to committed.
func (l *logTimestamps) commit(index uint64) {
	n := 0
	for n < len(l.uncommitted) && l.uncommitted[n].index <= index {
		l.committed = maxTime(l.committed, l.uncommitted[n].time)
		n++
	}
	l.uncommitted = l.uncommitted[n:]
}

// installSnapshot discards the uncommitted entries. t is the snapshot's
// timestamp.
func (l *logTimestamps) installSnapshot(t hlc.Time) {
	l.committed, l.uncommitted = maxTime(l.committed, t), nil
}

// next returns the timestamp for an entry proposed at now: now itself, or a
// timestamp after the last one if that is not earlier.
func (l *logTimestamps) next(now hlc.Time) hlc.Time {
	last := l.last()
	if last.Before(now) {
		return now
	}
	last.Logical++
	return last
}

// timestampOf returns the timestamp of an entry, and false if it has none.
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

// refusesMessage reports whether a leader's message is to be ignored because of
// the timestamps of its entries. A timestamp too far ahead would shorten every
// deadline once it is committed. A leader whose entries and heartbeats are
// ignored by a quorum steps down. Committed entries are always accepted, since
// every replica must apply the same entries.
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
		Msg("entries of a leader refused because of their timestamps")
	c.r.cfg.OnRefusedTimestamp(raft.HostOf(m.From), err)
	return true
}

// checkTimestamps returns *fault.ClockSkew if the timestamp of an uncommitted
// entry is too far ahead of the local clock. A timestamp not later than one that
// the log already holds is accepted. A host that knows that its own clock is
// wrong accepts all timestamps.
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

// checkClock transfers the leadership away from a host whose clock differs too
// much from the majority's. Until then propose refuses all proposals.
func (c *core) checkClock() {
	skew := c.r.cfg.HLC.Skew()
	if skew != nil && c.node.Status().Role == raft.Leader {
		if c.skew == nil {
			c.r.cfg.Logger.Warn().Err(skew).Str("group", c.r.cfg.Group).Msg("transferring leadership because of clock skew")
		}
		// If no follower can take over, the next tick tries again.
		_, _ = c.node.TransferLeadership()
	}
	c.skew = skew
}
