package raft

// progressState is the way in which a leader sends to one member.
type progressState uint8

const (
	// stateProbe sends one append at a time to find the matching entry.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting for each response.
	stateReplicate
	// stateSnapshot sends a snapshot chunk by chunk.
	stateSnapshot
)

// progress is a leader's view of one other member.
// Invariant: match < next.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// paused holds back a probe until the next response.
	paused bool
	// inflight lists the last index of each append sent in stateReplicate.
	inflight []uint64
	// standby members get new entries with heartbeats only, as long as they are
	// not far behind: no commit waits for them.
	standby bool
	// lastActiveTick is the tick of the last message received from the member.
	lastActiveTick uint64
	// ackedReadRound is the last heartbeat round acknowledged.
	ackedReadRound uint64
	// snapshot and offset describe the transfer in stateSnapshot; stalled is
	// set by a heartbeat response and cleared when the transfer advances.
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

// acknowledge records that the member holds the log up to index. It reports
// whether this is news.
func (p *progress) acknowledge(index uint64) bool {
	free := 0
	for free < len(p.inflight) && p.inflight[free] <= index {
		free++
	}
	p.inflight = p.inflight[free:]
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
