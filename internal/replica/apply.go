package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/raft"
)

// applyTask holds either a snapshot to restore or committed entries to apply.
type applyTask struct {
	snapshot *raft.Snapshot
	entries  []raft.Entry
}

// applier applies committed entries and takes snapshots. Its goroutine owns the
// state machine.
type applier struct {
	r      *Replica
	config raft.Configuration
	// index and term are those of the last applied entry, time is the timestamp
	// of the last applied entry that has one.
	index, term uint64
	time        hlc.Time
	// entries and bytes count the entries applied since the last snapshot and
	// their size.
	entries, bytes uint64
}

func (a *applier) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-a.r.tasks.Items():
			if err := a.apply(t); err != nil {
				return err
			}
			a.r.results.advanceApplied(a.index, &a.r.applied)
			a.r.notifyChanged()
			select {
			case a.r.taskDone <- struct{}{}:
			default:
			}
			if err := a.takeSnapshot(ctx); err != nil {
				return err
			}
		}
	}
}

func (a *applier) apply(t applyTask) error {
	if t.snapshot != nil {
		return a.restore(t.snapshot)
	}
	for _, e := range t.entries {
		if err := a.applyEntry(e); err != nil {
			return err
		}
	}
	a.r.metrics.appliedEntries.Add(len(t.entries))
	return nil
}

// applyEntry applies one entry. A proposer that waits for this index gets the
// result only if its entry was not replaced by one of another term.
func (a *applier) applyEntry(e raft.Entry) error {
	var value any
	switch e.Type {
	case raft.EntryNormal:
		t, data, err := decodeEnvelope(e.Data)
		if err != nil {
			return err
		}
		a.time = t
		value = a.r.cfg.StateMachine.Apply(Entry{Index: e.Index, Term: e.Term, Time: t, Data: data})
		if unsupported, ok := value.(*fault.Unsupported); ok {
			return unsupported
		}
	case raft.EntryConfig:
		config, err := raft.DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		a.config = config
	}
	a.index, a.term = e.Index, e.Term
	a.entries++
	a.bytes += uint64(len(e.Data))
	w, ok := a.r.results.remove(e.Index)
	switch {
	case !ok:
	case w.term == e.Term:
		a.r.completeProposal(w.proposal, outcome{value: value})
	default:
		a.r.completeProposal(w.proposal, outcome{err: &fault.ProposalUnknown{Group: a.r.cfg.Group}})
	}
	return nil
}

func (a *applier) restore(s *raft.Snapshot) error {
	t, data, err := decodeEnvelope(s.Data)
	if err != nil {
		return err
	}
	if err := a.r.cfg.StateMachine.Restore(data); err != nil {
		return err
	}
	_ = a.r.cfg.HLC.Observe(t) // a refused timestamp is covered by core.timestamps
	a.time, a.config, a.index, a.term = t, s.Meta.Config, s.Meta.Index, s.Meta.Term
	a.entries, a.bytes = 0, 0
	a.r.applied.Store(a.index)
	return nil
}

// takeSnapshot stores a snapshot if SnapshotEntries or SnapshotBytes have been
// applied since the last one.
func (a *applier) takeSnapshot(ctx context.Context) error {
	if a.entries < a.r.cfg.SnapshotEntries && a.bytes < a.r.cfg.SnapshotBytes {
		return nil
	}
	a.entries, a.bytes = 0, 0
	data, err := a.r.cfg.StateMachine.Snapshot()
	if err != nil {
		// The log is not compacted, so a later snapshot can still succeed.
		a.r.cfg.Logger.Error().Err(err).Str("group", a.r.cfg.Group).Msg("state machine snapshot failed")
		return nil
	}
	s := raft.Snapshot{Data: encodeEnvelope(a.time, data)}
	s.Meta = raft.SnapshotMeta{Index: a.index, Term: a.term, Config: a.config, Size: uint64(len(s.Data))}
	if err := a.r.log.SaveSnapshot(s); err != nil {
		return err
	}
	a.r.metrics.snapshotBytes.Set(float64(len(s.Data)))
	if err := a.r.compactions.Put(ctx, s.Meta); err != nil {
		return nil // ctx has ended
	}
	return nil
}

// waiter is a proposal that waits for its entry, identified by index and term,
// to be applied.
type waiter struct {
	term     uint64
	proposal *proposal
}

// appliedWaiter is a read that waits until the entry at index is applied.
type appliedWaiter struct {
	index uint64
	done  chan outcome
}

// results holds the callers that wait for log entries to be applied.
type results struct {
	mu      sync.Mutex
	waiters map[uint64]waiter // by index
	reads   []appliedWaiter
}

func (s *results) add(index uint64, w waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[index] = w
}

func (s *results) remove(index uint64) (waiter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.waiters[index]
	delete(s.waiters, index)
	return w, ok
}

// removeAfter removes and returns the waiters for entries after index.
func (s *results) removeAfter(index uint64) []waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var taken []waiter
	for i, w := range s.waiters {
		if i > index {
			taken = append(taken, w)
			delete(s.waiters, i)
		}
	}
	return taken
}

// awaitApplied sends to done once the applied index has reached index.
func (s *results) awaitApplied(index uint64, done chan outcome, applied *atomic.Uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if applied.Load() >= index {
		done <- outcome{}
		return
	}
	s.reads = append(s.reads, appliedWaiter{index: index, done: done})
}

// advanceApplied sets the applied index and completes the reads that waited for
// it.
func (s *results) advanceApplied(index uint64, applied *atomic.Uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied.Store(index)
	kept := s.reads[:0]
	for _, w := range s.reads {
		if w.index <= index {
			w.done <- outcome{}
		} else {
			kept = append(kept, w)
		}
	}
	s.reads = kept
}
