package experiment

import (
	"time"
)

// handover identifies the home's attempt that stands for a spilled request.
type handover struct {
	home    int
	key     string // in the home's ledger
	attempt int
	request *arrival
	started time.Duration
}

// messageKind tells the messages between data centres apart.
type messageKind int

const (
	messageOffer messageKind = iota
	messageRefusal
	messageAnswer
	// messageClaim brings a request to the data centre that was chosen as its
	// home before it was claimed.
	messageClaim
	// messageLost tells the home that the run of a spilled request was lost.
	messageLost
)

type message struct {
	at   time.Duration
	seq  int
	kind messageKind
	to   int
	from int
	h    *handover
	// answered is the time at which the home has the answer.
	answered time.Duration
}

type mailbox []message

// Len implements heap.Interface.
func (m mailbox) Len() int { return len(m) }

// Less implements heap.Interface.
func (m mailbox) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}

// Swap implements heap.Interface.
func (m mailbox) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *mailbox) Push(x any) { *m = append(*m, x.(message)) }

// Pop implements heap.Interface.
func (m *mailbox) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}
