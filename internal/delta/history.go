package delta

import (
	"bytes"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// Bounds of the history. The oldest change is dropped first.
const (
	// MaxChanges covers four hours at 5,700 changes a day, so a process can catch
	// up by a delta after a partition of one hour, the longest expected. A change
	// of one record takes about 70 bytes in a snapshot.
	MaxChanges = 1024
	// MaxKeys bounds the record keys and pool names in all changes together. A
	// name has at most 63 bytes, so the history stays below 1 MB.
	MaxKeys = 8192
)

// Change is one change of the records: the state before it and the keys of the
// records and pools that it changed. A delta takes their contents from the
// current records, so the history stays small and changes need no merging.
type Change struct {
	From    State             `cbor:"1,keyasint"`
	Records []model.RecordKey `cbor:"2,keyasint,omitempty"`
	// Pools names the pools whose floors or homes changed.
	Pools []string `cbor:"3,keyasint,omitempty"`
}

func (c *Change) keyCount() int { return len(c.Records) + len(c.Pools) }

// History holds the current records and the latest changes that led to them.
// It is deterministic, so replicas that apply the same entries have equal
// histories. It is not safe for concurrent use.
type History struct {
	records  *model.Records
	state    State
	changes  []Change
	keyCount int
}

// NewHistory returns a history with the given current records and the changes
// that led to them, which may be empty.
func NewHistory(r *model.Records, changes []Change) *History {
	h := &History{records: r, state: StateOf(r)}
	for i := range changes {
		h.add(changes[i])
	}
	return h
}

// Records returns the current records. They are immutable: Replace puts others in
// their place.
func (h *History) Records() *model.Records { return h.records }

// State returns the state of the current records.
func (h *History) State() State { return h.state }

// Changes returns the kept changes, oldest first, for a snapshot.
func (h *History) Changes() []Change { return h.changes }

// Replace makes next the current records and adds the change to the history. If
// next is not newer, it returns *fault.RevisionConflict and changes nothing.
func (h *History) Replace(next *model.Records) error { return h.ReplaceWithState(next, StateOf(next)) }

// ReplaceWithState is Replace for records whose state is already known, for
// example from Patch. It saves the encoding of all records.
func (h *History) ReplaceWithState(next *model.Records, to State) error {
	if !next.Newer(h.records) {
		return &fault.RevisionConflict{Expected: next.Revision, Current: h.records.Revision}
	}
	change := diff(h.records, next)
	change.From = h.state
	h.add(change)
	h.records, h.state = next, to
	return nil
}

// Since returns what a process with the state have needs to reach the current
// one: nothing if the current records are not newer, a delta if the history
// reaches back to have, and the full set of records otherwise. A zero digest in
// have asks for the full set.
func (h *History) Since(have State) (*model.Records, *Delta) {
	if !h.state.Newer(have) {
		return nil, nil
	}
	if have.Digest == (Digest{}) || h.state.Digest == (Digest{}) {
		return h.records, nil
	}
	// Searched from the newest, since nearly every caller is one change behind.
	for i := len(h.changes) - 1; i >= 0; i-- {
		if h.changes[i].From == have {
			if d := h.deltaOver(h.changes[i:]); d != nil {
				return nil, d
			}
			break
		}
	}
	return h.records, nil
}

// deltaOver returns one delta for the given changes, which must end with the
// latest. It returns nil if they name at least as many records as there are,
// since the full set is then no larger.
func (h *History) deltaOver(changes []Change) *Delta {
	records, pools := make(map[model.RecordKey]bool), make(map[string]bool)
	for i := range changes {
		for _, key := range changes[i].Records {
			records[key] = true
		}
		for _, name := range changes[i].Pools {
			pools[name] = true
		}
	}
	if len(records) >= len(h.records.Items) {
		return nil
	}
	d := &Delta{From: changes[0].From, To: h.state}
	for _, rec := range h.records.Items {
		if records[rec.Key()] {
			d.Changed = append(d.Changed, rec)
			h.addWaveCreated(d, &rec)
			delete(records, rec.Key())
		}
	}
	d.Deleted = slices.SortedFunc(maps.Keys(records), model.RecordKey.Compare)
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		d.Pools = append(d.Pools, Pool{Name: name, Floors: h.records.Floors[name], Homes: h.records.Homes[name]})
	}
	return d
}

// addWaveCreated adds the creation revision of a changed wave to the delta.
func (h *History) addWaveCreated(d *Delta, rec *model.Record) {
	created, ok := h.records.WaveCreated[rec.Name]
	if rec.Kind != model.KindWave || !ok {
		return
	}
	if d.WaveCreated == nil {
		d.WaveCreated = make(map[string]uint64)
	}
	d.WaveCreated[rec.Name] = created
}

func (h *History) add(change Change) {
	h.changes = append(h.changes, change)
	h.keyCount += change.keyCount()
	drop := 0
	for len(h.changes)-drop > MaxChanges || h.keyCount > MaxKeys {
		h.keyCount -= h.changes[drop].keyCount()
		drop++
	}
	if drop > 0 {
		h.changes = slices.Clone(h.changes[drop:])
	}
}

// diff returns the keys of the records and pools that differ between two sets
// of records.
func diff(from, to *model.Records) Change {
	var change Change
	old := make(map[model.RecordKey]model.Record, len(from.Items))
	for _, rec := range from.Items {
		old[rec.Key()] = rec
	}
	for _, rec := range to.Items {
		before, ok := old[rec.Key()]
		delete(old, rec.Key())
		if !ok || before.Schema != rec.Schema || before.Deleted != rec.Deleted || !bytes.Equal(before.Spec, rec.Spec) ||
			waveCreated(from, &rec) != waveCreated(to, &rec) {
			change.Records = append(change.Records, rec.Key())
		}
	}
	change.Records = slices.AppendSeq(change.Records, maps.Keys(old))
	slices.SortFunc(change.Records, model.RecordKey.Compare)
	change.Pools = changedPools(from, to)
	return change
}

// waveCreated returns the creation revision of a wave, or 0. It is all that
// differs if a wave was deleted and created again with the same content.
func waveCreated(r *model.Records, rec *model.Record) uint64 {
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
