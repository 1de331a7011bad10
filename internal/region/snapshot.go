package region

import (
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/floors"
	"agatehaven.dev/agatehaven/internal/model"
)

// snapshot is the stored form of a machine. Items, homes and floors are in
// Records; Floors adds what the data centres have acknowledged.
type snapshot struct {
	Records *model.Records         `cbor:"1,keyasint"`
	Floors  *floors.Table          `cbor:"2,keyasint"`
	Answers []answer               `cbor:"3,keyasint"`
	Retired map[string]retiredPool `cbor:"4,keyasint"`
	Events  []event.Event          `cbor:"5,keyasint"`
	// Steps is absent in snapshots of versions before deltas. Then the history
	// starts anew, and callers that are behind get the whole set.
	Steps []delta.Change `cbor:"6,keyasint,omitempty"`
}

// Snapshot implements replica.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return codec.Marshal(snapshot{m.history.Records(), m.floors, m.answers.list, m.retired, m.events, m.history.Changes()})
}

// Restore implements replica.StateMachine. On an error the machine is left as
// it was.
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
	m.created = s.Records.WaveCreated
	if m.created == nil {
		m.created = make(map[string]uint64)
	}
	m.floors, m.retired, m.events = s.Floors, s.Retired, s.Events
	m.answers = newAnswers()
	for _, a := range s.Answers {
		m.answers.put(a)
	}
	m.history = delta.NewHistory(m.compose(s.Records.Revision), s.Steps)
	m.signal()
	return nil
}
