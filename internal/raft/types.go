// Package raft implements the Raft consensus protocol (Ongaro and Ousterhout,
// "In Search of an Understandable Consensus Algorithm", 2014) as a
// deterministic state machine. It does no I/O, reads no clock and starts no
// goroutines: its caller passes in messages, ticks and a random seed, and
// processes the work returned by Ready.
package raft

import (
	"slices"
	"strings"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
)

// SnapshotChunkBytes is the size of one snapshot chunk in a message, a quarter
// of the peer message limit of 4 MiB.
const SnapshotChunkBytes = 1 << 20

// EntryType is the type of a log entry's payload.
type EntryType uint8

// Entry types.
const (
	// EntryNormal carries a proposal for the state machine.
	EntryNormal EntryType = iota
	// EntryNoop is empty. A new leader appends one to commit the entries of
	// earlier terms.
	EntryNoop
	// EntryConfig carries an encoded Configuration.
	EntryConfig
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Type  EntryType `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Member is one replica of a configuration.
type Member struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Learner members replicate the log but do not vote.
	Learner bool `cbor:"3,keyasint,omitempty"`
	// Witness members store the log and vote, but never campaign.
	Witness bool `cbor:"4,keyasint,omitempty"`
	// Standby learners replicate the log but become voters only after an
	// explicit promotion.
	Standby bool `cbor:"5,keyasint,omitempty"`
	// DataCentre is the data centre of the host, empty if unknown.
	DataCentre string `cbor:"6,keyasint,omitempty"`
}

// idSeparator separates host and incarnation in a member id.
const idSeparator = "#"

// MemberID returns the member id of an incarnation of a host. A host gets a new
// incarnation when it has lost its disk.
func MemberID(host, incarnation string) string { return host + idSeparator + incarnation }

// HostOf returns the host of a member id, or "" if id is not of the form
// "<host>#<incarnation>".
func HostOf(id string) string {
	i := strings.LastIndex(id, idSeparator)
	if i <= 0 || i == len(id)-1 {
		return ""
	}
	return id[:i]
}

// Configuration is the set of members of a group.
type Configuration struct {
	Members []Member `cbor:"1,keyasint"`
}

// Find returns the member with the given id.
func (c Configuration) Find(id string) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// Voters returns the ids of the voting members.
func (c Configuration) Voters() []string {
	var ids []string
	for _, m := range c.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// IsVoter reports whether id is a voting member.
func (c Configuration) IsVoter(id string) bool {
	m, ok := c.Find(id)
	return ok && !m.Learner
}

// learner returns the id of the learner that becomes a voter once it has caught
// up, that is, one that is not a standby. There is at most one.
func (c Configuration) learner() (string, bool) {
	for _, m := range c.Members {
		if m.Learner && !m.Standby {
			return m.ID, true
		}
	}
	return "", false
}

func (c Configuration) without(id string) Configuration {
	members := slices.Clone(c.Members)
	return Configuration{Members: slices.DeleteFunc(members, func(m Member) bool { return m.ID == id })}
}

func (c Configuration) with(m Member) Configuration {
	return Configuration{Members: append(slices.Clone(c.Members), m)}
}

// withUpdated returns a copy of the configuration with change applied to the
// member id.
func (c Configuration) withUpdated(id string, change func(m *Member)) Configuration {
	members := slices.Clone(c.Members)
	for i := range members {
		if members[i].ID == id {
			change(&members[i])
		}
	}
	return Configuration{Members: members}
}

// Encode returns the data of an EntryConfig entry.
func (c Configuration) Encode() ([]byte, error) { return codec.Marshal(c) }

// DecodeConfiguration decodes the data of an EntryConfig entry. It returns
// *fault.Corrupt if data is not a configuration.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	err := codec.Unmarshal(data, &c)
	return c, err
}

// HardState is the durable state of a node besides its log. It must be stored
// before the messages of the same Ready are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint,omitempty"`
	// Voted is set by the first vote and never cleared. An initial member
	// without it has never taken part in the group.
	Voted bool `cbor:"4,keyasint,omitempty"`
	// Commit is a lower bound of the commit index. If its latest value is lost,
	// the node learns it again from the leader.
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index  uint64        `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	Config Configuration `cbor:"3,keyasint"`
	// Size is the length of the snapshot's data in bytes.
	Size uint64 `cbor:"4,keyasint"`
}

// Snapshot is a complete snapshot.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageType is the type of a message.
type MessageType uint8

// Message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshot
	MsgSnapshotResponse
	// MsgTimeoutNow asks the receiver to campaign at once (leadership transfer).
	MsgTimeoutNow
	// MsgHandover sends entries or a snapshot from a witness to a member whose
	// log is behind that of the witness. Without either it offers them.
	MsgHandover
)

var messageNames = [...]string{
	"", "pre-vote", "pre-vote-response", "vote", "vote-response", "append", "append-response",
	"heartbeat", "heartbeat-response", "snapshot", "snapshot-response", "timeout-now", "handover",
}

func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return "unknown"
}

// Message is one message between two replicas of a group.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry before Entries, the last entry of a
	// candidate, or the entry that a response refers to.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Commit  uint64  `cbor:"7,keyasint,omitempty"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm identify the entry after which the leader should
	// continue when an append was rejected, or the last entry of the witness in
	// a handover. In a vote request, HintIndex is the entry after which a
	// handover should start if the log of the witness does not contain the
	// candidate's last entry.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// Force marks the vote request of a leadership transfer. Voters handle it
	// even if they have recently heard from a leader.
	Force bool `cbor:"12,keyasint,omitempty"`
	// Read is the number of the heartbeat round that confirms the leadership
	// for linearizable reads.
	Read uint64 `cbor:"13,keyasint,omitempty"`
	// Snapshot describes the snapshot of a MsgSnapshot or MsgHandover. Chunk
	// holds its bytes from Offset on and is filled in by the caller of Ready. In
	// a response, Offset is the number of bytes received so far.
	Snapshot *SnapshotMeta `cbor:"14,keyasint,omitempty"`
	Offset   uint64        `cbor:"15,keyasint,omitempty"`
	Chunk    []byte        `cbor:"16,keyasint,omitempty"`
}

// EncodeMessages encodes messages for the Step call between peers.
func EncodeMessages(messages []Message) ([]byte, error) { return codec.Marshal(messages) }

// DecodeMessages decodes and validates the messages of a Step call between
// peers. It returns *fault.Corrupt if they are malformed.
func DecodeMessages(data []byte) ([]Message, error) {
	var messages []Message
	if err := codec.Unmarshal(data, &messages); err != nil {
		return nil, err
	}
	for i := range messages {
		if reason := messages[i].check(); reason != "" {
			return nil, &fault.Corrupt{What: "raft message", Offset: int64(i), Reason: reason}
		}
	}
	return messages, nil
}

// check returns the reason why the message is invalid, or "" if it is valid.
func (m *Message) check() string {
	if m.Type < MsgPreVote || m.Type > MsgHandover {
		return "unknown message type"
	}
	if HostOf(m.From) == "" || HostOf(m.To) == "" {
		return "sender or receiver id is not of the form <host>#<incarnation>"
	}
	previous := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return "entries are not consecutive"
		}
		if e.Term < previous || e.Term > m.Term {
			return "entry term is lower than the previous one or higher than the message's term"
		}
		if e.Type > EntryConfig {
			return "unknown entry type"
		}
		previous = e.Term
	}
	if m.Type == MsgSnapshot || m.Snapshot != nil {
		return m.checkSnapshot()
	}
	return ""
}

func (m *Message) checkSnapshot() string {
	s := m.Snapshot
	switch {
	case s == nil || s.Index == 0 || s.Term == 0 || s.Term > m.Term || len(s.Config.Members) == 0:
		return "snapshot metadata is missing or invalid"
	case m.Offset > s.Size || uint64(len(m.Chunk)) > s.Size-m.Offset:
		return "snapshot chunk exceeds the snapshot size"
	}
	return ""
}
