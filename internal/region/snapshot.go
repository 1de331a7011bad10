package region

import (
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/floors"
	"agatehaven.dev/agatehaven/internal/model"
)

// snapshot is the stored form of a StateMachine. Records holds the items, homes
// and offered floors; Floors adds what the data centres have acknowledged.
type snapshot struct {
	Records *model.Records         `cbor:"1,keyasint"`
	Floors  *floors.Table          `cbor:"2,keyasint"`
	Answers []answer               `cbor:"3,keyasint"`
	Retired map[string]retiredPool `cbor:"4,keyasint"`
	Events  []event.Event          `cbor:"5,keyasint"`
	// Changes is absent in snapshots of versions before deltas. The history then
	// starts empty, and callers that are behind get the full set of records.
	Changes []delta.Change `cbor:"6,keyasint,omitempty"`
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(snapshot{m.history.Records(), m.floors, m.answers.list, m.retiredPools, m.events, m.history.Changes()})
}

// Restore implements replica.StateMachine. On an error the state is unchanged.
func (m *StateMachine) Restore(data []byte) error {
	s := snapshot{Records: &model.Records{}, Floors: floors.New(), Retired: make(map[string]retiredPool)}
	if err := codec.UnmarshalStrict(data, &s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = make(map[model.RecordKey]model.Record, len(s.Records.Items))
	for _, rec := range s.Records.Items {
		m.items[rec.Key()] = rec
	}
	m.homes = s.Records.Homes
	if m.homes == nil {
		m.homes = make(map[string][]string)
	}
	m.waveCreated = s.Records.WaveCreated
	if m.waveCreated == nil {
		m.waveCreated = make(map[string]uint64)
	}
	m.floors, m.retiredPools, m.events = s.Floors, s.Retired, s.Events
	m.answers = newAnswers()
	for _, a := range s.Answers {
		m.answers.put(a)
	}
	m.history = delta.NewHistory(m.buildRecords(s.Records.Revision), s.Changes)
	m.notifyReaders()
	return nil
}
