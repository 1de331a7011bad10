package experiment

import (
	"time"
)

// spilledRequest is a request that its home sent to another data centre. key
// and attempt identify the attempt that represents it in the home's ledger.
type spilledRequest struct {
	home    int
	key     string // in the home's ledger
	attempt int
	request *arrival
	started time.Duration
}

// messageKind is the kind of a message between data centres.
type messageKind int

const (
	messageOffer messageKind = iota
	messageRefusal
	messageAnswer
	// messageClaim sends an unclaimed request to the data centre that was chosen
	// as its home.
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
	h    *spilledRequest
	// answered is the time at which the home has the answer.
	answered time.Duration
}

type messageQueue []message

// Len implements heap.Interface.
func (m messageQueue) Len() int { return len(m) }

// Less implements heap.Interface.
func (m messageQueue) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].seq < m[j].seq
}

// Swap implements heap.Interface.
func (m messageQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *messageQueue) Push(x any) { *m = append(*m, x.(message)) }

// Pop implements heap.Interface.
func (m *messageQueue) Pop() any {
	last := len(*m) - 1
	x := (*m)[last]
	*m = (*m)[:last]
	return x
}
