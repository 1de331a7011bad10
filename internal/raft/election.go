package raft

// promotable reports whether this node may become leader. A voter whose removal
// is not yet committed may: it can be the only one whose log is up to date
// enough to win an election. As leader it commits its removal and steps down.
func (n *Node) promotable() bool {
	if n.lostDisk || n.pendingSnapshot != nil {
		return false
	}
	m, ok := n.member(n.id)
	return ok && !m.Learner && !m.Witness
}

// campaign starts an election with a pre-vote, or directly with a vote for a
// leadership transfer to this node. A node that may not lead drops its leader,
// and offers a handover if it is a witness.
func (n *Node) campaign(transfer bool) {
	n.resetElection()
	if !n.promotable() {
		n.leader = ""
		n.offerHandover()
		return
	}
	if transfer {
		n.startElection(MsgVote, true)
		return
	}
	n.startElection(MsgPreVote, false)
}

func (n *Node) startElection(kind MessageType, force bool) {
	term := n.hard.Term + 1
	n.leader = ""
	if kind == MsgPreVote {
		n.role = PreCandidate
	} else {
		n.becomeFollower(term, "")
		n.role = Candidate
		n.hard.Vote, n.hard.Voted = n.id, true
	}
	n.votes = map[string]bool{n.id: true}
	if n.countVotes() {
		return
	}
	for _, id := range n.log.config().Voters() {
		if id != n.id {
			n.send(Message{
				Type: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(),
				HintIndex: max(n.log.committed, n.handoverIndex), Force: force,
			})
		}
	}
}

// countVotes starts the next phase of the election, or ends the election, once
// the votes received decide it, and reports whether they did. The first
// election of a group needs the vote of every initial voter; see
// provesLostDisk.
func (n *Node) countVotes() bool {
	voters := n.log.config().Voters()
	needed := len(voters)/2 + 1
	if n.log.last() == 0 {
		needed = len(voters)
	}
	granted, refused := 0, 0
	for _, id := range voters {
		if vote, ok := n.votes[id]; ok && vote {
			granted++
		} else if ok {
			refused++
		}
	}
	switch {
	case granted >= needed && n.role == PreCandidate:
		n.startElection(MsgVote, false)
	case granted >= needed:
		n.becomeLeader()
	case refused > len(voters)-needed:
		n.becomeFollower(n.hard.Term, "")
	default:
		return false
	}
	return true
}

func (n *Node) handleVoteRequest(m *Message) {
	canVote := n.hard.Vote == "" && n.leader == ""
	canVote = canVote || n.hard.Vote == m.From || (m.Type == MsgPreVote && m.Term > n.hard.Term)
	upToDate := n.log.atLeastUpToDate(m.Index, m.LogTerm)
	response := Message{Type: m.Type + 1, To: m.From, Index: n.log.last()}
	if canVote && upToDate && len(n.log.config().Members) > 0 {
		if m.Type == MsgVote {
			n.hard.Vote, n.hard.Voted = m.From, true
			n.electionElapsed = 0
		}
		response.Term = m.Term
		n.send(response)
		return
	}
	response.Reject = true
	n.send(response)
	if self, _ := n.member(n.id); self.Witness && n.leader == "" {
		n.sendHandover(m)
	}
}

func (n *Node) handleVoteResponse(m *Message) {
	expected := PreCandidate
	if m.Type == MsgVoteResponse {
		expected = Candidate
	}
	if n.role != expected {
		return
	}
	if !m.Reject && m.Type == MsgPreVoteResponse && m.Term != n.hard.Term+1 {
		return // response to an earlier pre-vote
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
		n.countVotes()
	}
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.votes = nil
	n.heartbeatElapsed = 0
	n.progress = map[string]*progress{}
	n.reads = readQueue{}
	n.trackMembers()
	n.appendAsLeader(Entry{Type: EntryNoop})
}

// trackMembers adds and removes progress records so that there is one for each
// other member of the configuration.
func (n *Node) trackMembers() {
	config := n.log.config()
	for _, m := range config.Members {
		if m.ID == n.id {
			continue
		}
		if n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{next: n.log.last() + 1, lastActiveTick: n.tickCount}
		}
		n.progress[m.ID].standby = m.Standby
	}
	for id := range n.progress {
		if _, ok := config.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}

// offerHandover sends the last index and term of a witness's log to the voters
// that can lead. A voter whose log is behind may not know of the witness and so
// would never send it a vote request.
func (n *Node) offerHandover() {
	if self, _ := n.member(n.id); !self.Witness || n.log.last() == 0 {
		return
	}
	for _, m := range n.log.config().Members {
		if !m.Learner && !m.Witness {
			n.send(Message{Type: MsgHandover, To: m.ID, HintIndex: n.log.last(), HintTerm: n.log.lastTerm()})
		}
	}
}

// requestHandover answers an offer with a pre-vote. The witness rejects it and
// sends the entries that this node lacks.
func (n *Node) requestHandover(m *Message) {
	n.send(Message{
		Type: MsgPreVote, To: m.From, Term: n.hard.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm(),
		HintIndex: max(n.log.committed, n.handoverIndex),
	})
}

// sendHandover sends the entries that a candidate lacks, or a snapshot if they
// are compacted. A witness may hold committed entries that no electable member
// holds. Since a witness never campaigns, no leader could be elected until such
// a member has received them.
func (n *Node) sendHandover(m *Message) {
	if n.log.atLeastUpToDate(m.Index, m.LogTerm) {
		return
	}
	from := m.Index
	if !n.log.matches(from, m.LogTerm) {
		from = m.HintIndex
	}
	term, ok := n.log.term(from)
	if !ok {
		n.sendHandoverChunk(m.From, 0)
		return
	}
	n.send(Message{
		Type: MsgHandover, To: m.From, Index: from, LogTerm: term,
		Entries:   n.log.entriesFrom(from+1, n.opts.MaxBatchBytes),
		HintIndex: n.log.last(), HintTerm: n.log.lastTerm(),
	})
}

func (n *Node) sendHandoverChunk(to string, offset uint64) {
	meta := n.snapshot
	n.send(Message{
		Type: MsgHandover, To: to, Snapshot: &meta, Offset: offset,
		HintIndex: n.log.last(), HintTerm: n.log.lastTerm(),
	})
}

// handleHandover stores entries or a snapshot from a witness whose log is
// strictly more up to date. Entries that are replaced were never committed: the
// witness holds an entry of a later term, and the leader of that term held
// every entry committed before it.
func (n *Node) handleHandover(m *Message) {
	leaderless := n.role != Leader && n.leader == ""
	if !leaderless || !n.log.moreUpToDate(m.HintIndex, m.HintTerm) {
		return
	}
	switch {
	case m.Snapshot != nil:
		n.receiveSnapshot(m)
		return
	case len(m.Entries) == 0:
		n.requestHandover(m)
		return
	}
	if m.Index < n.log.committed || !n.log.matches(m.Index, m.LogTerm) {
		n.handoverIndex = 0 // the index was for another witness's log
		return
	}
	if n.merge(m.Entries) {
		n.handoverIndex = m.Index + uint64(len(m.Entries))
		n.becomeFollower(n.hard.Term, "")
	}
}
