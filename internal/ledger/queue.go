package ledger

import (
	"container/heap"

	"agatehaven.dev/agatehaven/internal/model"
)

// record is a request with its positions in the indexes. Only the pointer to
// the request is replaced; a published request is never changed.
type record struct {
	seq    uint64 // claim order
	req    *model.Request
	queue  int // position in its queue, -1 if absent
	expiry int // position in the heap of expiry times, -1 if absent
}

// orderedQueue is a binary heap of records with known positions: insertion
// and removal take logarithmic time, and the first n records are found
// without sorting the rest.
type orderedQueue struct {
	items []*record
	less  func(a, b *record) bool
	pos   func(r *record) *int
}

// Len implements heap.Interface.
func (q *orderedQueue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *orderedQueue) Less(i, j int) bool { return q.less(q.items[i], q.items[j]) }

// Swap implements heap.Interface.
func (q *orderedQueue) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.pos(q.items[i]) = i
	*q.pos(q.items[j]) = j
}

// Push implements heap.Interface.
func (q *orderedQueue) Push(x any) {
	r := x.(*record)
	*q.pos(r) = len(q.items)
	q.items = append(q.items, r)
}

// Pop implements heap.Interface.
func (q *orderedQueue) Pop() any {
	last := len(q.items) - 1
	r := q.items[last]
	q.items[last] = nil
	q.items = q.items[:last]
	*q.pos(r) = -1
	return r
}

func (q *orderedQueue) add(r *record) { heap.Push(q, r) }

func (q *orderedQueue) remove(r *record) { heap.Remove(q, *q.pos(r)) }

// first returns up to limit records in order. It keeps a heap of candidate
// positions: a record comes next only after its parent.
func (q *orderedQueue) first(limit int) []*record {
	if limit > len(q.items) {
		limit = len(q.items)
	}
	if limit <= 0 {
		return nil
	}
	out := make([]*record, 0, limit)
	next := &candidates{queue: q, at: []int{0}}
	for len(out) < limit {
		i := heap.Pop(next).(int)
		out = append(out, q.items[i])
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.items); child++ {
			heap.Push(next, child)
		}
	}
	return out
}

// candidates is the heap of the positions that first may visit next.
type candidates struct {
	queue *orderedQueue
	at    []int
}

// Len implements heap.Interface.
func (c *candidates) Len() int { return len(c.at) }

// Less implements heap.Interface.
func (c *candidates) Less(i, j int) bool { return c.queue.Less(c.at[i], c.at[j]) }

// Swap implements heap.Interface.
func (c *candidates) Swap(i, j int) { c.at[i], c.at[j] = c.at[j], c.at[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { c.at = append(c.at, x.(int)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(c.at) - 1
	i := c.at[last]
	c.at = c.at[:last]
	return i
}
