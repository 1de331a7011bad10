package raft

// ReadState is a confirmed read. It may be served once the entry at Index has
// been applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// pendingRead is a read that waits for a quorum to acknowledge a heartbeat
// round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// readQueue holds the linearizable reads of a leader. A read records the commit
// index at its start and is confirmed when a quorum has answered a heartbeat
// sent after that. This proves that no later leader had committed an entry
// before the read started.
type readQueue struct {
	// waiting reads have no index yet, since no entry of the term is committed.
	waiting []uint64
	pending []pendingRead
	ready   []ReadState
	// round is the number of the last heartbeat round. roundNeeded is set while
	// reads wait for the next one to be sent.
	round       uint64
	roundNeeded bool
}

// ReadIndex starts a linearizable read. Its confirmation appears in
// Ready.Reads, or never if the leadership is lost first. It returns
// *fault.NotLeader if this node does not lead.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return n.notLeader()
	}
	if !n.committedInTerm() {
		n.reads.waiting = append(n.reads.waiting, id)
		return nil
	}
	n.startRead(id)
	return nil
}

func (n *Node) startRead(id uint64) {
	q := &n.reads
	q.pending = append(q.pending, pendingRead{id: id, index: n.log.committed, round: q.round + 1})
	q.roundNeeded = true
}

func (n *Node) startWaitingReads() {
	if !n.committedInTerm() {
		return
	}
	waiting := n.reads.waiting
	n.reads.waiting = nil
	for _, id := range waiting {
		n.startRead(id)
	}
}

// flushReads sends one heartbeat round for all reads started since the last
// one.
func (n *Node) flushReads() {
	if n.role != Leader || !n.reads.roundNeeded {
		return
	}
	n.reads.roundNeeded = false
	n.reads.round++
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	q := &n.reads
	for len(q.pending) > 0 && n.roundAcknowledged(q.pending[0].round) {
		q.ready = append(q.ready, ReadState{ID: q.pending[0].id, Index: q.pending[0].index})
		q.pending = q.pending[1:]
	}
}

func (n *Node) roundAcknowledged(round uint64) bool {
	if round > n.reads.round {
		return false
	}
	voters := n.log.config().Voters()
	acked := 0
	for _, id := range voters {
		if p := n.progress[id]; id == n.id || (p != nil && p.ackedReadRound >= round) {
			acked++
		}
	}
	return acked >= len(voters)/2+1
}
