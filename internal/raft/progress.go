package raft

// progressState is the replication mode of a leader towards one member.
type progressState uint8

const (
	// stateProbe sends one append at a time to find the matching entry.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting for each response.
	stateReplicate
	// stateSnapshot sends a snapshot chunk by chunk.
	stateSnapshot
)

// progress is a leader's view of another member's log: match is the highest
// index known to match, next the index of the next entry to send.
// Invariant: match < next.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// paused is set in stateProbe after an append, until the next response.
	paused bool
	// inflight lists the last index of each append sent in stateReplicate.
	inflight []uint64
	// standby members are sent new entries only after heartbeat responses unless
	// they lag by maxStandbyLag, since no commit waits for them.
	standby bool
	// lastActiveTick is the tick of the last message received from the member.
	lastActiveTick uint64
	// ackedReadRound is the highest read round that the member has acknowledged.
	ackedReadRound uint64
	// snapshot and offset describe the transfer in stateSnapshot. stalled is set
	// by a heartbeat response and cleared when the transfer advances. If it is
	// still set at the next heartbeat response, the chunk is sent again.
	snapshot SnapshotMeta
	offset   uint64
	stalled  bool
}

func (p *progress) becomeProbe() {
	p.state, p.paused, p.inflight = stateProbe, false, nil
	p.next = p.match + 1
}

func (p *progress) becomeReplicate() {
	p.state, p.paused, p.inflight = stateReplicate, false, nil
	p.next = p.match + 1
}

func (p *progress) becomeSnapshot(s SnapshotMeta) {
	p.state, p.paused, p.inflight = stateSnapshot, false, nil
	p.snapshot, p.offset, p.stalled = s, 0, false
}

// acknowledge records that the member's log matches up to index. It reports
// whether match has advanced.
func (p *progress) acknowledge(index uint64) bool {
	acked := 0
	for acked < len(p.inflight) && p.inflight[acked] <= index {
		acked++
	}
	p.inflight = p.inflight[acked:]
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
