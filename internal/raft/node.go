package raft

import (
	"math/rand/v2"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Role is the role of a node.
type Role uint8

// Roles of a node.
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
	// DefaultElectionTicks with ticks of 100 ms gives elections after 1 s.
	DefaultElectionTicks = 10
	// DefaultMaxInflight bounds the appends sent to one member without response.
	DefaultMaxInflight = 64
	// DefaultMaxBatchBytes keeps an append below the peer message limit of 4 MiB.
	DefaultMaxBatchBytes = 1 << 20
	// heartbeatsPerElection tolerates the loss of several heartbeats in a row.
	heartbeatsPerElection = 4
)

// Options configure a node. The stored state (HardState, Snapshot, Entries)
// is empty on the first start.
type Options struct {
	Group string
	ID    string
	// ElectionTicks is the shortest time without a leader, in ticks, after
	// which a voter campaigns.
	ElectionTicks int
	// MaxInflight bounds the appends in flight to one member.
	MaxInflight int
	// MaxBatchBytes bounds the entries of one append, in bytes.
	MaxBatchBytes int
	Seed          uint64

	HardState HardState
	// Snapshot is the latest stored snapshot. A snapshot with index 0 holds
	// only the initial configuration.
	Snapshot SnapshotMeta
	// Entries are the stored entries after the snapshot.
	Entries []Entry
}

// Node is one replica's part of the protocol. It is not safe for concurrent
// use.
type Node struct {
	opts   Options
	id     string
	random *rand.Rand

	hard   HardState
	saved  HardState // as in the last Ready
	log    raftLog
	role   Role
	leader string
	// snapshot is the latest durable snapshot, previous the one before it;
	// storage keeps both so that a transfer survives one new snapshot.
	snapshot, previous SnapshotMeta
	// lostDisk is set once it is proved that this replica had state before.
	lostDisk bool

	tickCount        uint64
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	votes    map[string]bool
	progress map[string]*progress

	// handoverIndex is the index up to which this log agrees with that of the
	// witness that handed over entries last.
	handoverIndex uint64

	transferee      string
	transferElapsed int

	reads           readQueue
	messages        []Message
	pendingSnapshot *Snapshot
	incoming        incomingSnapshot
	fatalErr        error
}

// New returns a node that continues from the stored state in opts.
func New(opts Options) (*Node, error) {
	if HostOf(opts.ID) == "" {
		return nil, &fault.Invalid{Field: "replica id", Reason: "wrong form", Allowed: "<host>#<incarnation>"}
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

// Status describes the node at one moment.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string // member id, empty if unknown
	Committed uint64
	Last      uint64
	Config    Configuration
	// Transferring is set while the leader hands over its leadership.
	Transferring bool
	// LostDisk is set once it is proved that the replica had state that its
	// disk no longer holds. Such a node takes no part in the group.
	LostDisk bool
}

// Status returns the current status.
func (n *Node) Status() Status {
	return Status{
		ID: n.id, Role: n.role, Term: n.hard.Term, Leader: n.leader, Committed: n.log.committed,
		Last: n.log.last(), Config: n.log.config(), Transferring: n.transferee != "", LostDisk: n.lostDisk,
	}
}

// Tick advances the node's time by one tick.
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
	// Check-quorum: without a quorum heard from within one election timeout,
	// the rest of the group may have a new leader.
	if !n.quorumActive(n.log.config()) {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= max(1, n.opts.ElectionTicks/heartbeatsPerElection) {
		n.broadcastHeartbeat()
	}
}

// quorumActive reports whether a quorum of the voters of c was heard from
// within the last election timeout.
func (n *Node) quorumActive(c Configuration) bool {
	active, voters := 0, c.Voters()
	for _, id := range voters {
		if n.active(id) {
			active++
		}
	}
	return active >= len(voters)/2+1
}

func (n *Node) active(id string) bool {
	if id == n.id {
		return true
	}
	p := n.progress[id]
	return p != nil && n.tickCount-p.lastActiveTick < uint64(n.opts.ElectionTicks)
}

// SilentMembers returns the members that a leader has not heard from within one
// election timeout, nil on other nodes.
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
// the shortest election timeout, so that no other leader is needed.
func (n *Node) inLease() bool {
	return n.role == Leader || (n.leader != "" && n.electionElapsed < n.opts.ElectionTicks)
}

// Step handles a message of another member.
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
		// The term of a witness that hands over entries does not matter, only
		// its log does: no candidate may have reached it in the current term.
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

// admit reports whether the message may have any effect. Messages of ids
// outside the configuration must not change the term of a group that works:
// while this node is in a leader's lease they have no effect at all. A vote
// request from outside is considered only if its log is strictly ahead of
// this one, since only then can the sender be a member that this node has not
// learned of yet. The same holds for a handover.
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

// member returns a member of the configuration. While the latest change is
// not committed, the members before it count as well: the change may be
// undone, and a voter that it removes can be needed to commit it.
func (n *Node) member(id string) (Member, bool) {
	m, ok := n.log.config().Find(id)
	if !ok && n.log.configIndex() > n.log.committed {
		m, ok = n.log.configAt(n.log.committed).Find(id)
	}
	return m, ok
}

// provesLostDisk reports whether the message shows that the group was formed
// although this initial member has no state. The first election of a group
// needs the vote of every initial voter, and a vote is durable before it is
// sent; so an initial member that has never voted, although the group is
// formed, has lost its disk. Its term proves nothing, since it may have
// learned it from a refused pre-vote.
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

// stepHigherTerm reports whether the message is to be handled further.
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
			return true // carries the term that the sender of the request asked for
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
		return true
	}
	n.becomeFollower(m.Term, "")
	return true
}

// stepLowerTerm tells a leader or candidate that is behind the current term.
func (n *Node) stepLowerTerm(m *Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResponse, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResponse, To: m.From, Reject: true, Index: n.log.last()})
	}
}

// send queues a message. Vote requests set their own term.
func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}
