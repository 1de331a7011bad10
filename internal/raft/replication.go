package raft

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Propose appends data as a new entry and returns its index and term. It
// returns *fault.NotLeader, without effect, if this node does not lead or is
// transferring its leadership.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, n.notLeader()
	}
	index = n.appendAsLeader(Entry{Type: EntryNormal, Data: data})
	return index, n.hard.Term, nil
}

func (n *Node) notLeader() error {
	leader := ""
	if n.leader != n.id {
		leader = HostOf(n.leader)
	}
	return &fault.NotLeader{Group: n.opts.Group, Leader: leader}
}

// appendAsLeader appends an entry of the current term to the leader's log. The
// append messages are built by Ready, so that entries proposed together are
// sent in one message.
func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	if err := n.log.append(e); err != nil {
		n.fatalErr = err
		return e.Index
	}
	if e.Type == EntryConfig {
		n.trackMembers()
	}
	return e.Index
}

func (n *Node) merge(entries []Entry) bool {
	if err := n.log.merge(entries); err != nil {
		n.fatalErr = err
		return false
	}
	return true
}

// broadcastAppend sends new entries to every member for which flow control
// allows it.
func (n *Node) broadcastAppend() {
	for _, m := range n.log.config().Members {
		if p := n.progress[m.ID]; p != nil {
			for n.sendAppend(m.ID, p, false) {
				continue
			}
		}
	}
}

// maxStandbyLag is the number of entries by which a standby may lag before it
// is sent entries right away instead of with the next heartbeat.
const maxStandbyLag = 256

// sendAppend sends one append if flow control allows it, and reports whether
// another one can follow. With force set, it sends an append even if there are
// no new entries.
func (n *Node) sendAppend(to string, p *progress, force bool) bool {
	if p.state == stateSnapshot || p.paused || len(p.inflight) >= n.opts.MaxInflight {
		return false
	}
	if !force && (p.next > n.log.last() || (p.standby && p.state == stateReplicate && p.next+maxStandbyLag > n.log.last())) {
		return false
	}
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		p.becomeSnapshot(n.snapshot)
		n.sendChunk(to, p)
		return false
	}
	entries := n.log.entriesFrom(p.next, n.opts.MaxBatchBytes)
	n.send(Message{
		Type: MsgAppend, To: to, Index: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: n.log.committed,
	})
	if p.state == stateProbe {
		p.paused = true
		return false
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
	return p.next <= n.log.last()
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, m := range n.log.config().Members {
		if p := n.progress[m.ID]; p != nil {
			n.send(Message{
				Type: MsgHeartbeat, To: m.ID, Commit: min(p.match, n.log.committed), Read: n.reads.round,
			})
		}
	}
}

// handleFromLeader handles a message that only the leader of the current term
// sends.
func (n *Node) handleFromLeader(m *Message) {
	if n.role == Leader {
		return
	}
	if n.role != Follower {
		n.becomeFollower(n.hard.Term, m.From)
	}
	n.leader, n.electionElapsed = m.From, 0
	switch m.Type {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.log.commitTo(m.Commit)
		n.send(Message{Type: MsgHeartbeatResponse, To: m.From, Read: m.Read})
	case MsgSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) handleAppend(m *Message) {
	response := Message{Type: MsgAppendResponse, To: m.From}
	switch {
	case m.Index < n.log.committed:
		response.Index = n.log.committed
	case n.log.matches(m.Index, m.LogTerm):
		if !n.merge(m.Entries) {
			return
		}
		response.Index = m.Index + uint64(len(m.Entries))
		// Entries of this log after those in the message may not match the
		// leader's log.
		n.log.commitTo(min(m.Commit, response.Index))
	default:
		response.Index, response.Reject = m.Index, true
		response.HintIndex, response.HintTerm = n.log.conflictHint(m.Index, m.LogTerm)
	}
	n.send(response)
}

func (n *Node) handleAppendResponse(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	if m.Reject {
		n.handleRejection(m, p)
		return
	}
	probing := p.state == stateProbe && m.Index >= p.match
	advanced := p.acknowledge(min(m.Index, n.log.last()))
	switch {
	case probing:
		p.becomeReplicate()
	case p.state == stateSnapshot && p.match >= p.snapshot.Index:
		p.becomeProbe()
	}
	if advanced {
		n.advanceCommit()
	}
	if n.role != Leader {
		return
	}
	n.finishTransfer()
	n.promoteLearner()
	for n.sendAppend(m.From, p, false) {
		continue
	}
}

func (n *Node) handleRejection(m *Message, p *progress) {
	switch p.state {
	case stateReplicate:
		if m.Index <= p.match {
			return // stale: the entry has been acknowledged since
		}
		p.becomeProbe()
	case stateProbe:
		if m.Index != p.next-1 {
			return
		}
		hint, _ := n.log.conflictHint(m.HintIndex, m.HintTerm)
		p.next = max(p.match+1, min(m.Index, hint+1))
		p.paused = false
	default:
		return
	}
	n.sendAppend(m.From, p, true)
}

func (n *Node) handleHeartbeatResponse(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ackedReadRound = max(p.ackedReadRound, m.Read)
	n.confirmReads()
	switch {
	case p.state == stateSnapshot:
		if p.stalled {
			n.sendChunk(m.From, p)
		}
		p.stalled = true
	case p.state == stateProbe || p.match < n.log.last():
		// An append may have been lost: send another one, whose response shows
		// how far the member is. A member that got the whole log in a snapshot
		// is probed too, since a learner is promoted only in stateReplicate.
		p.paused = false
		if len(p.inflight) >= n.opts.MaxInflight {
			p.inflight = p.inflight[1:]
		}
		n.sendAppend(m.From, p, true)
	}
}

// advanceCommit applies the commit rule: an entry is committed once a quorum
// of voters holds it durably. Only entries of the current term are counted,
// since an entry of an earlier term can still be replaced.
func (n *Node) advanceCommit() {
	voters := n.log.config().Voters()
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		switch p := n.progress[id]; {
		case id == n.id:
			matches = append(matches, n.log.stable)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index <= n.log.committed || !n.log.matches(index, n.hard.Term) {
		return
	}
	n.log.commitTo(index)
	n.startWaitingReads()
	if _, member := n.log.config().Find(n.id); !member && n.log.configIndex() <= n.log.committed {
		n.becomeFollower(n.hard.Term, "") // its removal is committed
	}
}

// committedInTerm reports whether an entry of the current term is committed.
// From then on the leader's commit index covers every committed entry.
func (n *Node) committedInTerm() bool { return n.log.matches(n.log.committed, n.hard.Term) }
