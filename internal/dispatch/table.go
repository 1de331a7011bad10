package dispatch

import (
	"sync"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/target"
)

// verdict is what the table says about an assignment.
type verdict int

const (
	verdictIgnore   verdict = iota // known and unchanged, or ended
	verdictStart                   // new
	verdictUpdated                 // known, with a new order
	verdictFull                    // new, but the table is full
	verdictDraining                // new, but this process takes no more work
	verdictForeign                 // assigned to another incarnation
)

// entry is one attempt in hand. Its flags are guarded by the table's mutex.
type entry struct {
	assignment model.Assignment
	// readOnly is set if the attempt may have been started before: it is
	// followed, but never started.
	readOnly bool
	// stop is closed when the attempt is to be stopped, dropped when it is no
	// longer followed.
	stop    chan struct{}
	dropped chan struct{}
	// checkpoint holds a request to end the attempt at a checkpoint that the
	// target has not been asked for yet. stopped holds its answer.
	checkpoint   chan struct{}
	stopped      chan target.TaskStatus
	stopping     bool
	hostDraining bool
	sent         bool
	late         bool // reported as unknown
	confirmed    bool // the leader has confirmed that report
	reported     bool // the final result is on its way to the leader
}

// table holds the attempts of this process incarnation. An attempt enters it
// once: an ended one is remembered, so that a delayed or stale pull response
// cannot start it again.
type table struct {
	max         int
	incarnation string

	mu       sync.Mutex
	active   map[peer.AttemptRef]*entry
	draining bool
	changed  chan struct{}
	// ended maps remembered attempts to the time of their assignment, order
	// holds them in the order of their end. The assignments of evicted ones
	// are not after evicted, so a later assignment cannot be one of them.
	ended   map[peer.AttemptRef]hlc.Time
	order   []peer.AttemptRef
	evicted hlc.Time
	limit   int
}

func newTable(size, ended int, incarnation string) *table {
	return &table{
		max: size, incarnation: incarnation, limit: ended,
		active: map[peer.AttemptRef]*entry{}, ended: map[peer.AttemptRef]hlc.Time{},
		changed: make(chan struct{}),
	}
}

func refOf(a model.Assignment) peer.AttemptRef {
	return peer.AttemptRef{Key: a.Key, Attempt: a.Attempt}
}

// take adds or updates an assignment.
func (t *table) take(a model.Assignment) (*entry, verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref := refOf(a)
	if a.OwnerIncarnation != "" && a.OwnerIncarnation != t.incarnation {
		return nil, verdictForeign
	}
	if e, ok := t.active[ref]; ok {
		return e, e.update(a)
	}
	if _, ok := t.ended[ref]; ok {
		return nil, verdictIgnore
	}
	readOnly := !t.evicted.IsZero() && !t.evicted.Before(a.At)
	if len(t.active) >= t.max {
		t.dropLate()
	}
	switch {
	case readOnly && len(t.active) >= t.max:
		return nil, verdictIgnore // no proof that it was not sent
	case len(t.active) >= t.max:
		t.remember(ref, a.At)
		return nil, verdictFull
	case t.draining && !readOnly:
		t.remember(ref, a.At)
		return nil, verdictDraining
	}
	if readOnly {
		// A target that has forgotten a finished attempt would revoke it, and
		// that would count as proof that it never ran.
		a.CanRevoke = false
	}
	e := &entry{
		assignment: a, readOnly: readOnly, sent: readOnly, stop: make(chan struct{}), dropped: make(chan struct{}),
		checkpoint: make(chan struct{}, 1), stopped: make(chan target.TaskStatus, 1),
	}
	e.update(a)
	t.active[ref] = e
	return e, verdictStart
}

// dropLate makes space by giving up an attempt that was reported as unknown and
// is followed only for a late result. Otherwise the attempts on lost hosts
// would fill the table. It must be called with the mutex held.
func (t *table) dropLate() {
	for ref, e := range t.active {
		if e.late && !e.reported {
			close(e.dropped)
			delete(t.active, ref)
			t.remember(ref, e.assignment.At)
			return
		}
	}
}

// update takes over the orders of a repeated assignment.
func (e *entry) update(a model.Assignment) verdict {
	v := verdictIgnore
	if a.StopRequested && !e.stopping {
		e.stopping = true
		close(e.stop)
		v = verdictUpdated
	}
	if a.HostDraining && !e.hostDraining {
		e.hostDraining = true
		v = verdictUpdated
	}
	if a.CheckpointRequested {
		// Not an update: the request is repeated for as long as it holds.
		select {
		case e.checkpoint <- struct{}{}:
		default:
		}
	}
	return v
}

// claimStart marks an entry as sent, or returns why it must not be sent. Only
// the first call for an entry can succeed.
func (t *table) claimStart(e *entry) (refusal string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case e.sent:
		return "it has been sent before"
	case t.draining:
		return "the owner is stopping"
	case e.stopping:
		return "it was cancelled before it was sent"
	case e.hostDraining:
		return "its host is draining"
	}
	e.sent = true
	return ""
}

// known lists the attempts in hand and whether this process is draining.
func (t *table) known() ([]peer.AttemptRef, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]peer.AttemptRef, 0, len(t.active))
	for ref := range t.active {
		out = append(out, ref)
	}
	return out, t.draining
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}

// setLate marks an attempt as reported unknown.
func (t *table) setLate(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.late = true
	t.notify()
}

// confirm marks the report of an unknown attempt as confirmed: a drain does not
// wait for it any longer.
func (t *table) confirm(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.confirmed = true
	t.notify()
}

// reported marks the final result as handed to the reporter.
func (t *table) reported(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.reported = true
	t.notify()
}

// end moves an attempt to the ended ones.
func (t *table) end(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref := refOf(e.assignment)
	if t.active[ref] != e {
		return
	}
	delete(t.active, ref)
	t.remember(ref, e.assignment.At)
	t.notify()
}

// forget undoes the memory of an attempt that was refused without a report.
func (t *table) forget(a model.Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ended, refOf(a))
}

// drain stops the intake.
func (t *table) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.notify()
}

// remember must be called with the mutex held.
func (t *table) remember(ref peer.AttemptRef, at hlc.Time) {
	t.ended[ref] = at
	t.order = append(t.order, ref)
	for len(t.order) > t.limit {
		oldest := t.order[0]
		t.order = t.order[1:]
		if at, ok := t.ended[oldest]; ok && t.evicted.Before(at) {
			t.evicted = at
		}
		delete(t.ended, oldest)
	}
}

// notify must be called with the mutex held.
func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
