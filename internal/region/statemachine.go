// Package region is the replicated state machine of the region group. It holds
// the operators' records with their revision, the answers to operators'
// requests, and the availability floors per pool and data centre. It does no
// I/O and reads no clock.
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
	// AnswerRetentionEntries is how long an answer is kept, in log entries. At
	// 5,700 changes a day and nine acknowledgements of each this is about a day.
	// A request that is repeated after that counts as new: its expected revision
	// is then outdated, so it is refused with *fault.RevisionConflict and has no
	// effect.
	AnswerRetentionEntries = 65_536
	// MaxAnswers bounds the kept answers; the oldest is dropped first.
	MaxAnswers = 16_384
	// MaxRecords bounds the records of a region.
	MaxRecords = 16_384
	// MaxRecordsPerRequest bounds the records of one request.
	MaxRecordsPerRequest = 1024
	// MaxEvents bounds the kept events; the oldest is dropped first.
	MaxEvents = 2048
	// maxRequestIDBytes bounds the length of a request id.
	maxRequestIDBytes = 128
	// homesRetentionMS is how long the homes of a deleted pool are kept. It
	// exceeds the 24 h for which ledgers keep idempotency keys: if the pool were
	// created again with other homes, a request with a kept key could run a
	// second time in a new home.
	homesRetentionMS = 25 * 3600 * 1000
)

// Command is one log entry of the region group. Exactly one field is set.
type Command struct {
	Apply *peer.ApplyRecordsRequest `cbor:"1,keyasint,omitempty"`
	Ack   *peer.AckAdoptionRequest  `cbor:"2,keyasint,omitempty"`
}

// Result is the result of a log entry. Revision is the revision that the entry
// created, or the current one if it created none. Err is a type of package
// fault.
type Result struct {
	Revision uint64
	Err      error
}

// StateMachine implements replica.StateMachine. Queries are safe for concurrent
// use; Apply, Snapshot and Restore are called from one goroutine.
type StateMachine struct {
	dataCentres []string

	mu           sync.RWMutex
	items        map[model.RecordKey]model.Record
	homes        map[string][]string
	waveCreated  map[string]uint64 // revision that created each wave's record, see model.Records.WaveCreated
	retiredPools map[string]retiredPool
	floors       *floors.Table
	answers      answers
	events       []event.Event
	history      *delta.History
	changed      chan struct{}
}

// retiredPool keeps the homes of a deleted pool.
type retiredPool struct {
	Homes []string `cbor:"1,keyasint"`
	At    hlc.Time `cbor:"2,keyasint"`
}

var _ replica.StateMachine = (*StateMachine)(nil)

// New returns an empty state machine for a region of the given data centres,
// which must be the same on every replica.
func New(dataCentres []string) *StateMachine {
	m := &StateMachine{
		dataCentres:  slices.Sorted(slices.Values(dataCentres)),
		items:        make(map[model.RecordKey]model.Record),
		homes:        make(map[string][]string),
		waveCreated:  make(map[string]uint64),
		retiredPools: make(map[string]retiredPool),
		floors:       floors.New(),
		answers:      newAnswers(),
		changed:      make(chan struct{}),
	}
	m.history = delta.NewHistory(m.buildRecords(0), nil)
	return m
}

// Apply implements replica.StateMachine. It returns a Result.
func (m *StateMachine) Apply(e replica.Entry) any {
	var cmd Command
	if err := codec.UnmarshalStrict(e.Data, &cmd); err != nil {
		return replica.DecodeErrorResult(err, Result{Err: err})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case cmd.Apply != nil:
		return m.applyIdempotent(e, cmd.Apply)
	case cmd.Ack != nil:
		return m.ack(e, cmd.Ack)
	}
	return Result{Revision: m.history.Records().Revision, Err: &fault.Invalid{Field: "command", Reason: "empty", Allowed: "apply, ack"}}
}

// ack records what a data centre has adopted.
func (m *StateMachine) ack(e replica.Entry, r *peer.AckAdoptionRequest) Result {
	res := Result{Revision: m.history.Records().Revision}
	switch {
	case !m.isDataCentre(r.DataCentre):
		res.Err = &fault.NotFound{Kind: "data centre", Name: r.DataCentre}
	case r.FloorRevision > m.floors.Revision:
		res.Err = &fault.Invalid{Field: "floor_revision", Reason: "was never offered", Allowed: "at most the current one"}
	default:
		changed := m.floors.Ack(r.DataCentre, r.FloorRevision)
		if len(changed) > 0 {
			m.publish(m.history.Records().Revision)
			m.addFloorEvents(e, 0, changed)
		}
	}
	return res
}

// publish makes the current state visible to queries under a revision and adds
// the change to the history. The caller must have raised the revision or the
// floor revision.
func (m *StateMachine) publish(revision uint64) {
	_ = m.history.Replace(m.buildRecords(revision)) // fails only for records that are not newer
	m.notifyReaders()
}

// buildRecords assembles the current records, floors and homes.
func (m *StateMachine) buildRecords(revision uint64) *model.Records {
	r := &model.Records{
		Revision: revision, Items: m.sortedRecords(), Floors: m.floors.Floors(),
		FloorRevision: m.floors.Revision, Homes: make(map[string][]string, len(m.homes)),
		WaveCreated: maps.Clone(m.waveCreated),
	}
	for name, homes := range m.homes {
		r.Homes[name] = homes
	}
	return r
}

func (m *StateMachine) notifyReaders() {
	close(m.changed)
	m.changed = make(chan struct{})
}
