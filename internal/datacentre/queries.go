package datacentre

import (
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

// View is the state as seen under a read lock. It is valid only within the call of
// StateMachine.View; copies of records, hosts and requests may be kept.
type View struct {
	Records   *model.Records
	Catalogue *model.Catalogue
	Hosts     *inventory.State
	Requests  *ledger.State
}

// View calls fn with a consistent state. fn must not block.
func (m *StateMachine) View(fn func(View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(View{Records: m.records.Records(), Catalogue: m.catalogue, Hosts: m.hosts, Requests: m.requests})
}

// Records returns the adopted records. They are immutable.
func (m *StateMachine) Records() *model.Records {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.records.Records()
}

// RecordsState returns the state of the adopted records.
func (m *StateMachine) RecordsState() delta.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.records.State()
}

// RecordsSince returns what a holder of the state have lacks; see
// delta.History.Since.
func (m *StateMachine) RecordsSince(have delta.State) (*model.Records, *delta.Delta) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.records.Since(have)
}

// Request returns a request by its key.
func (m *StateMachine) Request(key string) (*model.Request, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.requests.Get(key)
}

// Changed returns a channel that is closed by the next applied entry.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// watcher wakes the goroutines that wait for one request.
type watcher struct {
	changed chan struct{}
	users   int
}

// WatchRequest returns a channel that is closed by the next change of the
// request, and a function that ends the watch. Read the request after the
// call, so that no change is missed.
func (m *StateMachine) WatchRequest(key string) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.watchers[key]
	if w == nil {
		w = &watcher{changed: make(chan struct{})}
		m.watchers[key] = w
	}
	w.users++
	return w.changed, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		w.users--
		if w.users == 0 && m.watchers[key] == w {
			delete(m.watchers, key)
		}
	}
}

// notify wakes those who wait for any change or for the requests that an applied
// entry changed. The caller holds the lock.
func (m *StateMachine) notify(cmd *Command, events []event.Event) {
	close(m.changed)
	m.changed = make(chan struct{})
	if cmd.Ledger != nil && cmd.Ledger.Report != nil {
		for i := range cmd.Ledger.Report.Reports {
			m.notifyRequest(cmd.Ledger.Report.Reports[i].Key)
		}
	}
	for i := range events {
		m.notifyRequest(events[i].Request)
	}
}

func (m *StateMachine) notifyRequest(key string) {
	if w := m.watchers[key]; w != nil {
		close(w.changed)
		delete(m.watchers, key)
	}
}

func (m *StateMachine) notifyAll() {
	close(m.changed)
	m.changed = make(chan struct{})
	for key := range m.watchers {
		m.notifyRequest(key)
	}
}

// RecordsChanged returns a channel that is closed when newer records are
// adopted.
func (m *StateMachine) RecordsChanged() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.recordsChanged
}

func (m *StateMachine) notifyRecords() {
	close(m.recordsChanged)
	m.recordsChanged = make(chan struct{})
}
