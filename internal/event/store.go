package event

import (
	"sort"
	"sync"

	"agatehaven.dev/agatehaven/internal/hlc"
)

// DefaultStoreCapacity is the default number of events that a process keeps.
const DefaultStoreCapacity = 65_536

// Filter selects events. Empty fields match all.
type Filter struct {
	Host    string
	Pool    string
	Request string
	Wave    string
	// After and Until bound the time: After < event time <= Until.
	After hlc.Time
	Until hlc.Time
	// Limit bounds the number of events; 0 means no bound. With After set the
	// oldest matches are kept, so that a reader can continue after the last
	// one; without it the newest are kept.
	Limit int
}

// Matches reports whether e passes the filter, apart from Limit.
func (f *Filter) Matches(e *Event) bool {
	return (f.Host == "" || f.Host == e.Host) &&
		(f.Pool == "" || f.Pool == e.Pool) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Wave == "" || f.Wave == e.Wave) &&
		(f.After.IsZero() || f.After.Before(e.Time)) &&
		(f.Until.IsZero() || !f.Until.Before(e.Time))
}

// Trim applies Limit to events that are in causal order.
func (f *Filter) Trim(events []Event) []Event {
	if f.Limit <= 0 || len(events) <= f.Limit {
		return events
	}
	if f.After.IsZero() {
		return events[len(events)-f.Limit:]
	}
	return events[:f.Limit]
}

// Store keeps the latest events of a process. When full, it overwrites the
// oldest one. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	events  []Event
	limit   int
	next    int // position of the oldest event once the store is full
	dropped uint64
}

// NewStore returns a store for capacity events, at least 1.
func NewStore(capacity int) *Store { return &Store{limit: max(capacity, 1)} }

// Add stores e.
func (s *Store) Add(e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.limit {
		s.events = append(s.events, e)
		return
	}
	s.events[s.next] = e
	s.next = (s.next + 1) % s.limit
	s.dropped++
}

// Query returns the stored events that pass f, in causal order.
func (s *Store) Query(f Filter) []Event {
	return f.Trim(Merge(s.matching(&f)))
}

func (s *Store) matching(f *Filter) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Event
	for i := range s.events {
		if f.Matches(&s.events[i]) {
			out = append(out, s.events[i])
		}
	}
	return out
}

// Len returns the number of stored events.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// Dropped returns the number of events that were overwritten.
func (s *Store) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Merge joins lists of events into one in causal order: by hybrid logical
// clock, then by ID. Of several copies of the same ID the first is kept.
func Merge(lists ...[]Event) []Event {
	seen := make(map[ID]struct{})
	var out []Event
	for _, list := range lists {
		for i := range list {
			if _, known := seen[list[i].ID]; known {
				continue
			}
			seen[list[i].ID] = struct{}{}
			out = append(out, list[i])
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].precedes(&out[j]) })
	return out
}

func (e *Event) precedes(o *Event) bool {
	if c := e.Time.Compare(o.Time); c != 0 {
		return c < 0
	}
	if e.ID.Group != o.ID.Group {
		return e.ID.Group < o.ID.Group
	}
	if e.ID.Index != o.ID.Index {
		return e.ID.Index < o.ID.Index
	}
	return e.ID.Seq < o.ID.Seq
}
