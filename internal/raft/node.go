package raft

import (
	"math/rand/v2"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Role is the role of a node.
type Role uint8

// Node roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

func (r Role) String() string { return roleNames[r] }

// Defaults of Options.
const (
	// DefaultElectionTicks gives a minimum election timeout of 1 s at a tick
	// interval of 100 ms.
	DefaultElectionTicks = 10
	// DefaultMaxInflight is the default maximum of unacknowledged appends to one
	// member.
	DefaultMaxInflight = 64
	// DefaultMaxBatchBytes keeps an append below the peer message limit of 4 MiB.
	DefaultMaxBatchBytes = 1 << 20
	// heartbeatsPerElection is the number of heartbeats in the shortest election
	// timeout, so that the loss of a few in a row causes no election.
	heartbeatsPerElection = 4
)

// Options configures a node. The stored state (HardState, Snapshot, Entries)
// is empty on the first start.
type Options struct {
	Group string
	ID    string
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// MaxInflight is the maximum number of unacknowledged appends to one member.
	MaxInflight int
	// MaxBatchBytes is the maximum size of the entries in one append.
	MaxBatchBytes int
	Seed          uint64

	HardState HardState
	// Snapshot is the latest stored snapshot. A snapshot with index 0 has no
	// state, only the initial configuration.
	Snapshot SnapshotMeta
	// Entries are the stored entries after the snapshot.
	Entries []Entry
}

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	opts   Options
	id     string
	random *rand.Rand

	hard   HardState
	saved  HardState // as of the last Advance
	log    raftLog
	role   Role
	leader string
	// snapshot is the latest durable snapshot, previous the one before it.
	// Storage keeps both, so that a transfer of the previous one can continue
	// after a new one has been taken.
	snapshot, previous SnapshotMeta
	// lostDisk is set once a message proves that this replica had state that its
	// disk no longer holds.
	lostDisk bool

	tickCount        uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes    map[string]bool
	progress map[string]*progress

	// handoverIndex is the index up to which this log matches that of the
	// witness that last sent a handover, 0 if unknown.
	handoverIndex uint64

	transferee      string
	transferElapsed int

	reads    readQueue
	messages []Message
	// pendingSnapshot is a received snapshot that is not yet stored.
	pendingSnapshot *Snapshot
	incoming        incomingSnapshot
	fatalErr        error
}

// New returns a node that resumes from the stored state in opts.
func New(opts Options) (*Node, error) {
	if HostOf(opts.ID) == "" {
		return nil, &fault.Invalid{Field: "replica id", Reason: "malformed", Allowed: "<host>#<incarnation>"}
	}
	opts.ElectionTicks = orDefault(opts.ElectionTicks, DefaultElectionTicks)
	opts.MaxInflight = orDefault(opts.MaxInflight, DefaultMaxInflight)
	opts.MaxBatchBytes = orDefault(opts.MaxBatchBytes, DefaultMaxBatchBytes)
	n := &Node{
		opts: opts, id: opts.ID, hard: opts.HardState, saved: opts.HardState, snapshot: opts.Snapshot,
		previous: opts.Snapshot,
		random:   rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	n.log.reset(opts.Snapshot)
	if err := n.log.append(opts.Entries...); err != nil {
		return nil, err
	}
	n.log.stable = n.log.last()
	n.log.commitTo(opts.HardState.Commit)
	n.opts.Entries = nil
	n.becomeFollower(n.hard.Term, "")
	return n, nil
}

func orDefault(value, fallback int) int {
	if value <= 0 {
		return fallback
	}
	return value
}

// Status is a snapshot of a node's state.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string // member id, empty if unknown
	Committed uint64
	Last      uint64
	Config    Configuration
	// Transferring is set on a leader while a leadership transfer is under way.
	Transferring bool
	// LostDisk is set once a message proves that the replica had state that its
	// disk no longer holds. Such a node ignores all messages and does not campaign.
	LostDisk bool
}

// Status returns the current status.
func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Term: n.hard.Term, Leader: n.leader, Committed: n.log.committed,
		Last: n.log.last(), Config: n.log.config(), Transferring: n.transferee != "", LostDisk: n.lostDisk,
	}
}

// Tick advances the node's logical clock by one tick.
func (n *Node) Tick() {
	n.tickCount++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.campaign(false)
	}
}

func (n *Node) tickLeader() {
	if n.transferee != "" {
		if n.transferElapsed++; n.transferElapsed >= n.opts.ElectionTicks {
			n.transferee = ""
		}
	}
	// CheckQuorum: a leader that has not heard from a quorum within one election
	// timeout steps down, since the other members may have elected a new leader.
	if !n.quorumActive(n.log.config()) {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= max(1, n.opts.ElectionTicks/heartbeatsPerElection) {
		n.broadcastHeartbeat()
	}
}

// quorumActive reports whether a quorum of the voters of c is active.
func (n *Node) quorumActive(c Configuration) bool {
	active, voters := 0, c.Voters()
	for _, id := range voters {
		if n.active(id) {
			active++
		}
	}
	return active >= len(voters)/2+1
}

// active reports whether this leader has heard from the member within the
// shortest election timeout. The leader itself is always active.
func (n *Node) active(id string) bool {
	if id == n.id {
		return true
	}
	p := n.progress[id]
	return p != nil && n.tickCount-p.lastActiveTick < uint64(n.opts.ElectionTicks)
}

// SilentMembers returns the members that a leader has not heard from within the
// shortest election timeout. It returns nil on other nodes.
func (n *Node) SilentMembers() []string {
	if n.role != Leader {
		return nil
	}
	var silent []string
	for _, m := range n.log.config().Members {
		if !n.active(m.ID) {
			silent = append(silent, m.ID)
		}
	}
	return silent
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.hard.Term {
		n.hard.Term, n.hard.Vote = term, ""
	}
	n.role, n.leader = Follower, leader
	n.votes, n.progress, n.transferee = nil, nil, ""
	n.reads = readQueue{}
	n.resetElection()
}

func (n *Node) resetElection() {
	n.electionElapsed = 0
	n.electionTimeout = n.opts.ElectionTicks + n.random.IntN(n.opts.ElectionTicks)
}

// inLease reports whether this node leads, or has heard from a leader within
// the shortest election timeout. Such a node ignores candidates, except one to
// which the leader transfers its leadership, so that they cannot disrupt a
// working leader.
func (n *Node) inLease() bool {
	return n.role == Leader || (n.leader != "" && n.electionElapsed < n.opts.ElectionTicks)
}

// Step handles a message from another member.
func (n *Node) Step(m Message) {
	if m.To != n.id || m.From == n.id || !n.admit(&m) {
		return
	}
	switch {
	case m.Term > n.hard.Term:
		if !n.stepHigherTerm(&m) {
			return
		}
	case m.Term < n.hard.Term && m.Type != MsgHandover:
		// A handover is accepted with a lower term: only the witness's log
		// matters, and no candidate may have reached it in the current term.
		n.stepLowerTerm(&m)
		return
	}
	if p := n.progress[m.From]; p != nil {
		p.lastActiveTick = n.tickCount
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(&m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(&m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.handleFromLeader(&m)
	case MsgAppendResponse:
		n.handleAppendResponse(&m)
	case MsgHeartbeatResponse:
		n.handleHeartbeatResponse(&m)
	case MsgSnapshotResponse:
		n.handleSnapshotResponse(&m)
	case MsgTimeoutNow:
		if n.role != Leader && m.From == n.leader {
			n.campaign(true)
		}
	case MsgHandover:
		n.handleHandover(&m)
	}
}

// admit reports whether a message is to be handled at all. Messages from ids
// outside the configuration must not raise the term of a working group: while
// this node is in a leader's lease, it ignores them, except a leader's messages
// of at most the current term. A vote request from such an id is handled only if
// its log is strictly more up to date than this one, since only then can the
// sender be a member that this node does not know of yet. The same holds for a
// handover.
func (n *Node) admit(m *Message) bool {
	if n.lostDisk || n.provesLostDisk(m) {
		n.lostDisk = true
		return false
	}
	if _, known := n.member(m.From); known {
		return true
	}
	configured := len(n.log.config().Members) > 0
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return m.Term <= n.hard.Term || !n.inLease()
	case MsgPreVote, MsgVote:
		return configured && !n.inLease() && n.log.moreUpToDate(m.Index, m.LogTerm)
	case MsgHandover:
		return configured && !n.inLease() && n.log.moreUpToDate(m.HintIndex, m.HintTerm)
	}
	return false
}

// member returns a member of the configuration. While the latest configuration
// change is uncommitted, members of the committed configuration count as well:
// the change may be undone, and committing it can need a voter that it removes.
func (n *Node) member(id string) (Member, bool) {
	m, ok := n.log.config().Find(id)
	if !ok && n.log.configIndex() > n.log.committed {
		m, ok = n.log.configAt(n.log.committed).Find(id)
	}
	return m, ok
}

// provesLostDisk reports whether the message shows that the group has already
// had a leader although this initial member has no state. The first election
// of a group needs the vote of every initial voter, and a vote is durable
// before it is sent. So an initial voter without a vote has lost its disk if
// the group has had a leader. The term of this node is no evidence, since the
// node may have learned it from a rejected pre-vote.
func (n *Node) provesLostDisk(m *Message) bool {
	blank := !n.hard.Voted && n.log.last() == 0 && n.log.config().IsVoter(n.id)
	if !blank {
		return false
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Index > 0
	case MsgPreVoteResponse, MsgVoteResponse:
		return m.Index > 0
	}
	return true
}

// stepHigherTerm adopts the message's higher term where the protocol requires
// it. It reports whether the message is to be handled further.
func (n *Node) stepHigherTerm(m *Message) bool {
	switch m.Type {
	case MsgPreVote:
		return !n.inLease()
	case MsgVote:
		if n.inLease() && !m.Force {
			return false
		}
	case MsgPreVoteResponse:
		if !m.Reject {
			return true // a granted pre-vote carries the candidate's next term
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, "")
	return true
}

// stepLowerTerm rejects a message of an earlier term, so that its sender, a
// former leader or a candidate, learns the current term.
func (n *Node) stepLowerTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true, Index: n.log.last()})
	}
}

// send queues a message for the next Ready, with the current term if the
// message has none. Vote requests and their responses set their own.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}
