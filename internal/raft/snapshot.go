package raft

// incomingSnapshot collects the chunks of a snapshot that is being received.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// sendChunk sends the next chunk of the snapshot. The caller of Ready fills in
// its data.
func (n *Node) sendChunk(to string, p *progress) {
	if p.snapshot.Index < n.previous.Index {
		p.becomeSnapshot(n.snapshot) // the old snapshot is no longer stored
	}
	meta := p.snapshot
	n.send(Message{Type: MsgSnapshot, To: to, Snapshot: &meta, Offset: p.offset})
}

func (n *Node) handleSnapshot(m *Message) {
	if n.receiveSnapshot(m) {
		n.send(Message{Type: MsgAppendResponse, To: m.From, Index: max(m.Snapshot.Index, n.log.committed)})
	}
}

// receiveSnapshot adds one chunk and requests the next one. It reports whether
// this node's log now covers the snapshot.
func (n *Node) receiveSnapshot(m *Message) bool {
	s := *m.Snapshot
	if s.Index <= n.log.committed {
		return true
	}
	if n.log.matches(s.Index, s.Term) {
		n.log.commitTo(s.Index)
		return true
	}
	in := &n.incoming
	if in.index != s.Index || in.term != s.Term {
		*in = incomingSnapshot{index: s.Index, term: s.Term}
	}
	if m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
	}
	if uint64(len(in.data)) < s.Size {
		n.send(Message{
			Type: MsgSnapshotResponse, To: m.From, Index: s.Index, LogTerm: s.Term, Offset: uint64(len(in.data)),
		})
		return false
	}
	n.pendingSnapshot = &Snapshot{Meta: s, Data: in.data}
	n.incoming = incomingSnapshot{}
	n.log.reset(s)
	n.previous, n.snapshot = s, s
	return true
}

func (n *Node) handleSnapshotResponse(m *Message) {
	current := m.Index == n.snapshot.Index && m.LogTerm == n.snapshot.Term
	if self, _ := n.member(n.id); self.Witness && n.leader == "" && current {
		n.sendHandoverChunk(m.From, m.Offset)
		return
	}
	p := n.progress[m.From]
	if n.role != Leader || p == nil || p.state != stateSnapshot {
		return
	}
	if m.Index != p.snapshot.Index || m.LogTerm != p.snapshot.Term || m.Offset > p.snapshot.Size {
		return
	}
	if m.Offset > p.offset {
		p.offset, p.stalled = m.Offset, false
		n.sendChunk(m.From, p)
		return
	}
	// The member has lost the chunks received so far, for example in a restart.
	// The next heartbeat response triggers a resend from its offset.
	p.offset = m.Offset
}

// Retention limits the entries that are kept in memory although a snapshot
// covers them, so that slightly lagging members need no snapshot transfer.
type Retention struct {
	Entries uint64
	Bytes   uint64
}

// Compact notifies the node that the snapshot is durable, and discards the
// entries that it covers except the last ones within the retention.
func (n *Node) Compact(s SnapshotMeta, retain Retention) {
	if s.Index <= n.snapshot.Index {
		return
	}
	n.previous, n.snapshot = n.snapshot, s
	from, size := s.Index, uint64(0)
	for from > n.log.baseIndex && s.Index-from < retain.Entries {
		size += uint64(len(n.log.entries[from-n.log.baseIndex-1].Data)) + entryOverheadBytes
		if size > retain.Bytes {
			break
		}
		from--
	}
	n.log.compact(from)
}
