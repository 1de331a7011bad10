// Package datacentre composes the adopted records, the inventory and the
// ledger of one data centre into the state machine of its group.
package datacentre

import (
	"sync"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

// Events of this package.
const eventRecordsAdopted event.Kind = "records_adopted"

// Command is one log entry of a data centre group. Exactly one field is set.
type Command struct {
	// Adopt is the full set of newer records.
	Adopt     *model.Records     `cbor:"1,keyasint,omitempty"`
	Inventory *inventory.Command `cbor:"2,keyasint,omitempty"`
	Ledger    *ledger.Command    `cbor:"3,keyasint,omitempty"`
	// AdoptDelta is the difference between the adopted records and newer ones.
	AdoptDelta *delta.Delta `cbor:"4,keyasint,omitempty"`
}

// Result is the outcome of a command for its proposer. If Err is set, the
// command was refused and had no effect.
type Result struct {
	Err        error
	Request    *model.Request
	Dispatched []ledger.DispatchItem
	Host       *model.Host
}

// StateMachine is the replicated state machine of a data centre group. The
// replica applies entries from one goroutine; queries are safe for concurrent
// use.
type StateMachine struct {
	dataCentre string
	group      string
	onEvent    func(event.Event)

	mu        sync.RWMutex
	records   *delta.History
	catalogue *model.Catalogue
	hosts     *inventory.State
	requests  *ledger.State
	changed   chan struct{}
	// recordsChanged is closed and replaced when records are adopted.
	recordsChanged chan struct{}
	watchers       map[string]*watcher
}

// New returns an empty state machine. onEvent receives the events of applied
// entries; it must not block.
func New(dataCentre string, onEvent func(event.Event)) *StateMachine {
	return &StateMachine{
		dataCentre:     dataCentre,
		group:          dataCentre,
		onEvent:        onEvent,
		records:        delta.NewHistory(&model.Records{}, nil),
		catalogue:      emptyCatalogue(),
		hosts:          inventory.New(),
		requests:       ledger.New(ledger.InitialLimits()),
		changed:        make(chan struct{}),
		recordsChanged: make(chan struct{}),
		watchers:       make(map[string]*watcher),
	}
}

func emptyCatalogue() *model.Catalogue {
	return &model.Catalogue{
		Pools:    map[string]*model.Pool{},
		JobKinds: map[string]*model.JobKind{},
		Waves:    map[string]*model.Wave{},
		Quotas:   map[string]*model.Quota{},
		Floors:   map[string]map[string]int{},
	}
}

// Apply implements replica.StateMachine. It returns a Result.
func (m *StateMachine) Apply(e replica.Entry) any {
	var cmd Command
	if err := codec.UnmarshalStrict(e.Data, &cmd); err != nil {
		return replica.DecodeErrorResult(err, Result{Err: err})
	}
	m.mu.Lock()
	result, events := m.apply(e, &cmd)
	m.notify(&cmd, events)
	m.mu.Unlock()
	for i := range events {
		if m.onEvent != nil {
			m.onEvent(events[i])
		}
	}
	return result
}

func (m *StateMachine) apply(e replica.Entry, cmd *Command) (Result, []event.Event) {
	switch {
	case cmd.Adopt != nil:
		return m.applyAdopt(e, cmd.Adopt, delta.StateOf(cmd.Adopt))
	case cmd.AdoptDelta != nil:
		return m.applyAdoptDelta(e, cmd.AdoptDelta)
	case cmd.Inventory != nil:
		return m.applyInventory(e, cmd.Inventory)
	case cmd.Ledger != nil:
		r, events := m.requests.Apply(m.ledgerContext(e), cmd.Ledger)
		return Result{Err: r.Err, Request: r.Request, Dispatched: r.Dispatched}, events
	}
	return Result{Err: &fault.Invalid{Field: "command", Reason: "no field is set"}}, nil
}

// applyAdopt puts newer records in force and refuses others, so that neither the
// revision nor, within one revision, the floor revision ever decreases.
func (m *StateMachine) applyAdopt(e replica.Entry, records *model.Records, to delta.State) (Result, []event.Event) {
	if current := m.records.Records(); !records.Newer(current) {
		return Result{Err: &fault.RevisionConflict{Expected: records.Revision, Current: current.Revision}}, nil
	}
	catalogue, err := model.ParseCatalogue(records)
	if err != nil {
		return Result{Err: err}, nil
	}
	if err := m.records.ReplaceWithState(records, to); err != nil {
		return Result{Err: err}, nil
	}
	m.catalogue = catalogue
	m.notifyRecords()
	events := []event.Event{{
		ID:         event.ID{Group: m.group, Index: e.Index},
		Time:       e.Time,
		Kind:       eventRecordsAdopted,
		DataCentre: m.dataCentre,
		Actor:      "adoption",
		Reason:     "newer records from the region group",
	}}
	events = append(events, m.hosts.RenewWaves(m.inventoryContext(e))...)
	return Result{}, renumber(events)
}

// renumber gives the events of one entry distinct IDs, since the inventory and
// the ledger each number their own from 0.
func renumber(events []event.Event) []event.Event {
	for i := range events {
		events[i].ID.Seq = i
	}
	return events
}

// applyAdoptDelta puts newer records in force, given by their difference from the
// adopted ones. A delta from any other state is refused as a whole: another
// leader may have adopted records since the delta was pulled.
func (m *StateMachine) applyAdoptDelta(e replica.Entry, d *delta.Delta) (Result, []event.Event) {
	records, err := delta.Patch(m.records.Records(), m.records.State(), d)
	if err != nil {
		return Result{Err: err}, nil
	}
	return m.applyAdopt(e, records, d.To)
}

// applyInventory applies a host command and tells the ledger which incarnations
// of targets were lost with it.
func (m *StateMachine) applyInventory(e replica.Entry, cmd *inventory.Command) (Result, []event.Event) {
	r, events := m.hosts.Apply(m.inventoryContext(e), cmd)
	for _, lost := range r.Lost {
		events = append(events, m.requests.HostLost(m.ledgerContext(e), lost.Name, lost.Incarnation, lost.Reason)...)
	}
	return Result{Err: r.Err, Host: r.Host}, renumber(events)
}

func (m *StateMachine) ledgerContext(e replica.Entry) ledger.ApplyContext {
	return ledger.ApplyContext{
		DataCentre: m.dataCentre,
		Group:      m.group,
		Index:      e.Index,
		Time:       e.Time,
		Catalogue:  m.catalogue,
		Hosts:      m.hosts,
	}
}

func (m *StateMachine) inventoryContext(e replica.Entry) inventory.ApplyContext {
	return inventory.ApplyContext{
		DataCentre: m.dataCentre,
		Group:      m.group,
		Index:      e.Index,
		Time:       e.Time,
		Catalogue:  m.catalogue,
		Idle:       func(host string) bool { return m.requests.HeldSlots(host) == 0 },
	}
}

type snapshot struct {
	Records   *model.Records `cbor:"1,keyasint"`
	Inventory []byte         `cbor:"2,keyasint"`
	Ledger    []byte         `cbor:"3,keyasint"`
	// Changes is absent in snapshots of versions before deltas. Then the history
	// starts empty, and entry hosts that are behind get the full set.
	Changes []delta.Change `cbor:"4,keyasint,omitempty"`
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	hosts, err := m.hosts.Snapshot()
	if err != nil {
		return nil, err
	}
	requests, err := m.requests.Snapshot()
	if err != nil {
		return nil, err
	}
	return codec.Marshal(snapshot{
		Records: m.records.Records(), Inventory: hosts, Ledger: requests, Changes: m.records.Changes(),
	})
}

// Restore implements replica.StateMachine.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := codec.UnmarshalStrict(data, &s); err != nil {
		return err
	}
	catalogue, err := model.ParseCatalogue(s.Records)
	if err != nil {
		return err
	}
	hosts, requests := inventory.New(), ledger.New(ledger.InitialLimits())
	if err := hosts.Restore(s.Inventory); err != nil {
		return err
	}
	if err := requests.Restore(s.Ledger); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = delta.NewHistory(s.Records, s.Changes)
	m.catalogue, m.hosts, m.requests = catalogue, hosts, requests
	m.notifyAll()
	m.notifyRecords()
	return nil
}
