// Package region is the state machine of the region group: the operators'
// records with their revision, the answers to operators' requests, and the
// floors per pool and data centre. It does no I/O and reads no clock.
package region

import (
	"maps"
	"slices"
	"sync"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/floors"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// Bounds of the state.
const (
	// AnswerEntries is how long an answer is kept, in log entries. At 5,700
	// changes a day and nine acknowledgements of each this is about a day. A
	// resend after that is a new request: its expected revision is then
	// outdated, so it is refused with *fault.RevisionConflict and has no effect.
	AnswerEntries = 65_536
	// MaxAnswers bounds the kept answers; the oldest is dropped first.
	MaxAnswers = 16_384
	// MaxRecords bounds the records of a region.
	MaxRecords = 16_384
	// MaxApply bounds the records of one request.
	MaxApply = 1024
	// MaxEvents bounds the kept events; the oldest is dropped first.
	MaxEvents = 2048
	// maxRequestID is the longest request id in bytes.
	maxRequestID = 128
	// retiredHomesMS is how long the homes of a deleted pool are remembered. It
	// exceeds the 24 h for which ledgers keep keys: a pool that is created
	// again with other homes would let a kept key run twice.
	retiredHomesMS = 25 * 3600 * 1000
)

// Command is one log entry of the region group. Exactly one field is set.
type Command struct {
	Apply *peer.ApplyRecordsRequest `cbor:"1,keyasint,omitempty"`
	Ack   *peer.AckAdoptionRequest  `cbor:"2,keyasint,omitempty"`
}

// Result is the result of an entry. Revision is the revision that a change
// created, or the current one. Err is a type of package fault.
type Result struct {
	Revision uint64
	Err      error
}

// Machine implements replica.StateMachine. Queries are safe for concurrent
// use; Apply, Snapshot and Restore are called from one goroutine.
type Machine struct {
	dataCentres []string

	mu      sync.RWMutex
	items   map[model.RecordKey]model.Record
	homes   map[string][]string
	created map[string]uint64 // of waves, see model.Records.WaveCreated
	retired map[string]retiredPool
	floors  *floors.Table
	answers answers
	events  []event.Event
	set     *delta.Set
	changed chan struct{}
}

// retiredPool keeps the homes of a deleted pool.
type retiredPool struct {
	Homes []string `cbor:"1,keyasint"`
	At    hlc.Time `cbor:"2,keyasint"`
}

var _ replica.StateMachine = (*Machine)(nil)

// New returns an empty machine for a region of the given data centres, which
// must be the same on every replica.
func New(dataCentres []string) *Machine {
	m := &Machine{
		dataCentres: slices.Sorted(slices.Values(dataCentres)),
		items:       make(map[model.RecordKey]model.Record),
		homes:       make(map[string][]string),
		created:     make(map[string]uint64),
		retired:     make(map[string]retiredPool),
		floors:      floors.New(),
		answers:     newAnswers(),
		changed:     make(chan struct{}),
	}
	m.set = delta.NewSet(m.compose(0), nil)
	return m
}

// Apply implements replica.StateMachine. It returns a Result.
func (m *Machine) Apply(e replica.Entry) any {
	var cmd Command
	if err := codec.UnmarshalStrict(e.Data, &cmd); err != nil {
		return replica.DecodeErrorResult(err, Result{Err: err})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case cmd.Apply != nil:
		return m.applyOnce(e, cmd.Apply)
	case cmd.Ack != nil:
		return m.ack(e, cmd.Ack)
	}
	return Result{Revision: m.set.Records().Revision, Err: &fault.Invalid{Field: "command", Reason: "empty", Allowed: "apply, ack"}}
}

// ack records what a data centre has adopted.
func (m *Machine) ack(e replica.Entry, r *peer.AckAdoptionRequest) Result {
	res := Result{Revision: m.set.Records().Revision}
	switch {
	case !m.knowsDataCentre(r.DataCentre):
		res.Err = &fault.NotFound{Kind: "data centre", Name: r.DataCentre}
	case r.FloorRevision > m.floors.Revision:
		res.Err = &fault.Invalid{Field: "floor_revision", Reason: "was never offered", Allowed: "at most the current one"}
	default:
		changed := m.floors.Ack(r.DataCentre, r.FloorRevision)
		if len(changed) > 0 {
			m.publish(m.set.Records().Revision)
			m.addFloorEvents(e, 0, changed)
		}
	}
	return res
}

// publish makes the current state visible to queries under a revision and
// keeps the step to it. The caller has made the revision or the floor revision
// rise.
func (m *Machine) publish(revision uint64) {
	_ = m.set.Replace(m.compose(revision)) // refuses only what is not newer
	m.signal()
}

// compose returns the current records as one value.
func (m *Machine) compose(revision uint64) *model.Records {
	r := &model.Records{
		Revision: revision, Items: m.sortedItems(), Floors: m.floors.Floors(),
		FloorRevision: m.floors.Revision, Homes: make(map[string][]string, len(m.homes)),
		WaveCreated: maps.Clone(m.created),
	}
	for name, homes := range m.homes {
		r.Homes[name] = homes
	}
	return r
}

func (m *Machine) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}
