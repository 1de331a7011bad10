package raft

// Ready is the work that the caller must complete before it calls Advance, in
// this order: store Snapshot, store HardState and Entries (and sync them if
// MustSync is set), send Messages, restore Snapshot and apply Committed.
//
// Messages of type MsgAppend and MsgHeartbeat may be sent before the sync
// unless the term or vote changed: a leader counts its own copy of an entry
// only after Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	MustSync  bool
	Entries   []Entry
	// Snapshot, if not nil, replaces the whole log and the state machine's state.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// MaySendBeforeSync reports whether the messages of type MsgAppend and
// MsgHeartbeat may be sent before the sync.
func (r *Ready) MaySendBeforeSync() bool { return r.HardState == nil && r.Snapshot == nil }

// Ready returns the pending work, and false if there is none. The caller must
// call no other method between Ready and Advance.
func (n *Node) Ready() (Ready, bool) {
	if n.fatalErr != nil {
		return Ready{}, false
	}
	if n.role == Leader {
		n.broadcastAppend()
		n.flushReads()
	}
	rd := Ready{
		Entries:   n.log.entriesBetween(n.log.stable, n.log.last()),
		Snapshot:  n.pendingSnapshot,
		Messages:  n.messages,
		Committed: n.log.entriesBetween(n.log.delivered, n.log.committed),
		Reads:     n.reads.ready,
	}
	n.messages, n.reads.ready = nil, nil
	termChanged := n.hard.Term != n.saved.Term || n.hard.Vote != n.saved.Vote
	if termChanged {
		hard := n.hard
		hard.Commit = n.log.committed
		rd.HardState = &hard
	}
	rd.MustSync = termChanged || len(rd.Entries) > 0 || rd.Snapshot != nil
	work := rd.MustSync || len(rd.Messages) > 0 || len(rd.Committed) > 0 || len(rd.Reads) > 0
	return rd, work
}

// Err returns the error that keeps the node from continuing, such as an entry
// with an undecodable configuration, or nil. Ready returns no work after it.
func (n *Node) Err() error { return n.fatalErr }

// Commit returns the commit index: the highest index known to be committed.
func (n *Node) Commit() uint64 { return n.log.committed }

// Advance notifies the node that the work in rd is complete.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.saved = *rd.HardState
	}
	if rd.Snapshot != nil {
		n.pendingSnapshot = nil
	}
	if len(rd.Entries) > 0 {
		n.log.stable = rd.Entries[len(rd.Entries)-1].Index
	}
	if len(rd.Committed) > 0 {
		n.log.delivered = rd.Committed[len(rd.Committed)-1].Index
	}
	if n.role == Leader {
		n.advanceCommit()
	}
	if n.role == Leader {
		n.promoteLearner()
	}
}

// ConfigAt returns the configuration in effect at index, which must not be
// lower than that of the latest snapshot.
func (n *Node) ConfigAt(index uint64) Configuration { return n.log.configAt(index) }
