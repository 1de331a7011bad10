package delta

import (
	"bytes"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// Bounds of the history. The oldest step is dropped first.
const (
	// MaxChanges is four hours of changes at 5,700 a day, which exceeds the hour
	// for which a partition lasts. A step of one record takes about 70 bytes of
	// a snapshot.
	MaxChanges = 1024
	// MaxKeys bounds the names in all steps together. A name has at most 63
	// bytes, so a history stays below 1 MB.
	MaxKeys = 8192
)

// Change is one change of the records: the state that it started from and what
// differs afterwards, by name alone. The contents are read from the current
// records, so a history costs little and needs no merging.
type Change struct {
	From    State             `cbor:"1,keyasint"`
	Records []model.RecordKey `cbor:"2,keyasint,omitempty"`
	// Pools are those whose floors or homes differ.
	Pools []string `cbor:"3,keyasint,omitempty"`
}

func (s *Change) keys() int { return len(s.Records) + len(s.Pools) }

// History holds the records in force in one place and the steps that led to them.
// It depends only on the calls made, so replicas that apply the same entries
// hold equal sets. It is not safe for concurrent use.
type History struct {
	records *model.Records
	state   State
	steps   []Change
	keys    int
}

// NewHistory returns a set with the given records and the history that led to
// them, which may be empty.
func NewHistory(r *model.Records, steps []Change) *History {
	s := &History{records: r, state: StateOf(r)}
	for i := range steps {
		s.add(steps[i])
	}
	return s
}

// Records returns the current records. The value is never changed.
func (s *History) Records() *model.Records { return s.records }

// State returns the state of the current records.
func (s *History) State() State { return s.state }

// Changes returns the kept history, oldest first, for a snapshot.
func (s *History) Changes() []Change { return s.steps }

// Replace takes the whole of newer records. It returns *fault.RevisionConflict
// if they are not newer; then the set is unchanged.
func (s *History) Replace(next *model.Records) error { return s.ReplaceWithState(next, StateOf(next)) }

// ReplaceWithState is Replace for records whose state is known, as that of a patch:
// to compute it encodes all records.
func (s *History) ReplaceWithState(next *model.Records, to State) error {
	if !next.Newer(s.records) {
		return &fault.RevisionConflict{Expected: next.Revision, Current: s.records.Revision}
	}
	step := difference(s.records, next)
	step.From = s.state
	s.add(step)
	s.records, s.state = next, to
	return nil
}

// Since returns what a holder of the state have lacks: nothing if the current
// records are not newer, a delta if the history knows that state, and
// otherwise the whole set. A zero digest asks for the whole set.
func (s *History) Since(have State) (*model.Records, *Delta) {
	if !s.state.Newer(have) {
		return nil, nil
	}
	if have.Digest == (Digest{}) || s.state.Digest == (Digest{}) {
		return s.records, nil
	}
	// Searched from the newest, since nearly every caller lacks one step.
	for i := len(s.steps) - 1; i >= 0; i-- {
		if s.steps[i].From == have {
			if d := s.delta(s.steps[i:]); d != nil {
				return nil, d
			}
			break
		}
	}
	return s.records, nil
}

// delta joins steps up to the current records. It returns nil if they name at
// least as many records as there are, since the whole set is then no larger.
func (s *History) delta(steps []Change) *Delta {
	records, pools := make(map[model.RecordKey]bool), make(map[string]bool)
	for i := range steps {
		for _, key := range steps[i].Records {
			records[key] = true
		}
		for _, name := range steps[i].Pools {
			pools[name] = true
		}
	}
	if len(records) >= len(s.records.Items) {
		return nil
	}
	d := &Delta{From: steps[0].From, To: s.state}
	for _, rec := range s.records.Items {
		if records[rec.Key()] {
			d.Changed = append(d.Changed, rec)
			s.addCreated(d, &rec)
			delete(records, rec.Key())
		}
	}
	d.Deleted = slices.SortedFunc(maps.Keys(records), model.RecordKey.Compare)
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		d.Pools = append(d.Pools, Pool{Name: name, Floors: s.records.Floors[name], Homes: s.records.Homes[name]})
	}
	return d
}

// addCreated adds the creation of a changed wave.
func (s *History) addCreated(d *Delta, rec *model.Record) {
	created, ok := s.records.WaveCreated[rec.Name]
	if rec.Kind != model.KindWave || !ok {
		return
	}
	if d.WaveCreated == nil {
		d.WaveCreated = make(map[string]uint64)
	}
	d.WaveCreated[rec.Name] = created
}

func (s *History) add(step Change) {
	s.steps = append(s.steps, step)
	s.keys += step.keys()
	drop := 0
	for len(s.steps)-drop > MaxChanges || s.keys > MaxKeys {
		s.keys -= s.steps[drop].keys()
		drop++
	}
	if drop > 0 {
		s.steps = slices.Clone(s.steps[drop:])
	}
}

// difference lists what differs between two sets of records, by name.
func difference(from, to *model.Records) Change {
	var step Change
	old := make(map[model.RecordKey]model.Record, len(from.Items))
	for _, rec := range from.Items {
		old[rec.Key()] = rec
	}
	for _, rec := range to.Items {
		before, ok := old[rec.Key()]
		delete(old, rec.Key())
		if !ok || before.Schema != rec.Schema || before.Deleted != rec.Deleted || !bytes.Equal(before.Spec, rec.Spec) ||
			createdOf(from, &rec) != createdOf(to, &rec) {
			step.Records = append(step.Records, rec.Key())
		}
	}
	step.Records = slices.AppendSeq(step.Records, maps.Keys(old))
	slices.SortFunc(step.Records, model.RecordKey.Compare)
	step.Pools = changedPools(from, to)
	return step
}

// createdOf returns the creation of a wave, or 0. A wave that was deleted and
// created again with the same content has changed by this alone.
func createdOf(r *model.Records, rec *model.Record) uint64 {
	if rec.Kind != model.KindWave {
		return 0
	}
	return r.WaveCreated[rec.Name]
}

func changedPools(from, to *model.Records) []string {
	names := make(map[string]bool)
	for _, r := range []*model.Records{from, to} {
		for name := range r.Floors {
			names[name] = true
		}
		for name := range r.Homes {
			names[name] = true
		}
	}
	for name := range names {
		oldFloors, hadFloors := from.Floors[name]
		newFloors, hasFloors := to.Floors[name]
		oldHomes, hadHomes := from.Homes[name]
		newHomes, hasHomes := to.Homes[name]
		if hadFloors == hasFloors && hadHomes == hasHomes && maps.Equal(oldFloors, newFloors) && slices.Equal(oldHomes, newHomes) {
			delete(names, name)
		}
	}
	return slices.Sorted(maps.Keys(names))
}
