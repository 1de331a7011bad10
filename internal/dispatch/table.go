package dispatch

import (
	"sync"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/target"
)

// acceptResult is how the table treats an assignment.
type acceptResult int

const (
	acceptIgnored          acceptResult = iota // known and unchanged, or ended
	acceptStart                                // new
	acceptUpdated                              // known, with a new order
	rejectTableFull                            // new, but the table is full
	rejectDraining                             // new, but this process is draining
	rejectOtherIncarnation                     // assigned to another incarnation
)

// entry is one active attempt. Its flags are guarded by the table's mutex.
type entry struct {
	assignment model.Assignment
	// followOnly is set if the attempt may have been started before: it is
	// followed, but never started.
	followOnly bool
	// stop is closed when the attempt is to be stopped, dropped when it is no
	// longer followed.
	stop    chan struct{}
	dropped chan struct{}
	// checkpointRequest holds an order to end the attempt at a checkpoint that
	// has not been sent to the target yet, checkpointResult the target's answer.
	checkpointRequest chan struct{}
	checkpointResult  chan target.TaskStatus
	stopRequested     bool
	hostDraining      bool
	sent              bool
	reportedUnknown   bool // followed only for a late result
	unknownConfirmed  bool // the leader has confirmed that report
	finalReported     bool // the final result is queued for the leader
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
	// ended maps remembered ended attempts to the time of their assignment;
	// endedOrder holds them in the order in which they ended. No evicted one was
	// assigned after evictedUpTo, so a later assignment is not one of them.
	ended       map[peer.AttemptRef]hlc.Time
	endedOrder  []peer.AttemptRef
	evictedUpTo hlc.Time
	maxEnded    int
}

func newTable(size, ended int, incarnation string) *table {
	return &table{
		max: size, incarnation: incarnation, maxEnded: ended,
		active: map[peer.AttemptRef]*entry{}, ended: map[peer.AttemptRef]hlc.Time{},
		changed: make(chan struct{}),
	}
}

func refOf(a model.Assignment) peer.AttemptRef {
	return peer.AttemptRef{Key: a.Key, Attempt: a.Attempt}
}

// accept adds or updates an assignment.
func (t *table) accept(a model.Assignment) (*entry, acceptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ref := refOf(a)
	if a.OwnerIncarnation != "" && a.OwnerIncarnation != t.incarnation {
		return nil, rejectOtherIncarnation
	}
	if e, ok := t.active[ref]; ok {
		return e, e.update(a)
	}
	if _, ok := t.ended[ref]; ok {
		return nil, acceptIgnored
	}
	followOnly := !t.evictedUpTo.IsZero() && !t.evictedUpTo.Before(a.At)
	if len(t.active) >= t.max {
		t.evictReportedUnknown()
	}
	switch {
	case followOnly && len(t.active) >= t.max:
		return nil, acceptIgnored // it may have been sent, so it must not be reported as not begun
	case len(t.active) >= t.max:
		t.addEnded(ref, a.At)
		return nil, rejectTableFull
	case t.draining && !followOnly:
		t.addEnded(ref, a.At)
		return nil, rejectDraining
	}
	if followOnly {
		// A target that has forgotten a finished attempt would revoke it, and
		// that would count as proof that it never ran.
		a.CanRevoke = false
	}
	e := &entry{
		assignment: a, followOnly: followOnly, sent: followOnly, stop: make(chan struct{}), dropped: make(chan struct{}),
		checkpointRequest: make(chan struct{}, 1), checkpointResult: make(chan target.TaskStatus, 1),
	}
	e.update(a)
	t.active[ref] = e
	return e, acceptStart
}

// evictReportedUnknown makes space by no longer following an attempt that was
// reported as unknown and may still give a late result. Otherwise the attempts
// on lost hosts would fill the table. It must be called with the mutex held.
func (t *table) evictReportedUnknown() {
	for ref, e := range t.active {
		if e.reportedUnknown && !e.finalReported {
			close(e.dropped)
			delete(t.active, ref)
			t.addEnded(ref, e.assignment.At)
			return
		}
	}
}

// update applies the orders of a repeated assignment.
func (e *entry) update(a model.Assignment) acceptResult {
	v := acceptIgnored
	if a.StopRequested && !e.stopRequested {
		e.stopRequested = true
		close(e.stop)
		v = acceptUpdated
	}
	if a.HostDraining && !e.hostDraining {
		e.hostDraining = true
		v = acceptUpdated
	}
	if a.CheckpointRequested {
		// This is no update: the order is repeated until it is carried out or
		// withdrawn.
		select {
		case e.checkpointRequest <- struct{}{}:
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
		return "it has already been sent"
	case t.draining:
		return "the owner is stopping"
	case e.stopRequested:
		return "it was cancelled before it was sent"
	case e.hostDraining:
		return "its host is draining"
	}
	e.sent = true
	return ""
}

// known lists the active attempts and reports whether this process is draining.
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

// markReportedUnknown marks an attempt as reported with an unknown outcome.
func (t *table) markReportedUnknown(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.reportedUnknown = true
	t.notify()
}

// confirmUnknown marks the report of an unknown attempt as confirmed by the
// leader: a drain no longer waits for it.
func (t *table) confirmUnknown(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.unknownConfirmed = true
	t.notify()
}

// finalReported marks the final result as queued for the leader.
func (t *table) finalReported(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.finalReported = true
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
	t.addEnded(ref, e.assignment.At)
	t.notify()
}

// removeEnded removes a refused attempt from the ended ones because its report
// could not be queued.
func (t *table) removeEnded(a model.Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ended, refOf(a))
}

// drain makes the table refuse new attempts.
func (t *table) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	t.notify()
}

// addEnded adds an ended attempt and evicts the oldest ones beyond the limit. It
// must be called with the mutex held.
func (t *table) addEnded(ref peer.AttemptRef, at hlc.Time) {
	t.ended[ref] = at
	t.endedOrder = append(t.endedOrder, ref)
	for len(t.endedOrder) > t.maxEnded {
		oldest := t.endedOrder[0]
		t.endedOrder = t.endedOrder[1:]
		if at, ok := t.ended[oldest]; ok && t.evictedUpTo.Before(at) {
			t.evictedUpTo = at
		}
		delete(t.ended, oldest)
	}
}

// notify wakes those who wait for a change. It must be called with the mutex
// held.
func (t *table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}
