// Package delta holds the records with a bounded history of their changes, and
// computes and applies the difference between two of their states. A delta
// applies only to the state that it starts from, and as a whole or not at all.
// The package does no I/O and reads no clock.
package delta

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

// Digest is the SHA-256 of the encoded records.
type Digest [sha256.Size]byte

// State identifies one state of the records. The digest covers contents and
// revisions, so states with equal revisions but different contents differ.
type State struct {
	Revision      uint64 `cbor:"1,keyasint"`
	FloorRevision uint64 `cbor:"2,keyasint"`
	Digest        Digest `cbor:"3,keyasint"`
}

// Newer reports whether s is newer than o by its revisions.
func (s State) Newer(o State) bool {
	if s.Revision != o.Revision {
		return s.Revision > o.Revision
	}
	return s.FloorRevision > o.FloorRevision
}

func (s State) String() string {
	return fmt.Sprintf("revision %d, floor revision %d, digest %x", s.Revision, s.FloorRevision, s.Digest[:4])
}

// StateOf returns the state of a set of records. If they cannot be encoded, the
// digest is zero and no delta is computed for that state. Replicas compare
// digests when they apply log entries, so all versions that can run in one
// group must compute the same digest for equal records.
func StateOf(r *model.Records) State {
	content := *r
	// Nil and empty lists or maps mean the same, but are encoded differently.
	if content.Items == nil {
		content.Items = []model.Record{}
	}
	if content.Floors == nil {
		content.Floors = map[string]map[string]int{}
	}
	state := State{Revision: r.Revision, FloorRevision: r.FloorRevision}
	if data, err := codec.Marshal(content); err == nil {
		state.Digest = sha256.Sum256(data)
	}
	return state
}

// Delta is the difference between two states of the records.
type Delta struct {
	From State `cbor:"1,keyasint"`
	To   State `cbor:"2,keyasint"`
	// Changed holds new records and those that replace a record of the same key.
	Changed []model.Record `cbor:"3,keyasint,omitempty"`
	// Deleted may name records that do not exist in From, since they were created
	// and deleted after it.
	Deleted []model.RecordKey `cbor:"4,keyasint,omitempty"`
	// Pools lists the pools whose floors or homes changed.
	Pools []Pool `cbor:"5,keyasint,omitempty"`
	// WaveCreated holds the creation revisions of the waves in Changed, see
	// model.Records.WaveCreated. A wave that is missing here has none in To either.
	WaveCreated map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// Pool holds the floors and homes of one pool after a delta. Nil floors or
// homes mean that the records have none for this pool.
type Pool struct {
	Name   string         `cbor:"1,keyasint"`
	Floors map[string]int `cbor:"2,keyasint"`
	Homes  []string       `cbor:"3,keyasint"`
}

// Patch applies d to the records r, whose state is have, and returns the
// result. It modifies neither r nor d. It returns *fault.Precondition if d does
// not start from have or does not lead to a newer state, and *fault.Corrupt if
// the state of the result is not d.To.
func Patch(r *model.Records, have State, d *Delta) (*model.Records, error) {
	switch {
	case d.From != have:
		return nil, &fault.Precondition{What: "delta of the records",
			Reason: fmt.Sprintf("it starts from %s, but the state is %s", d.From, have)}
	case !d.To.Newer(have):
		return nil, &fault.Precondition{What: "delta of the records",
			Reason: fmt.Sprintf("it leads to %s, which is not newer than %s", d.To, have)}
	}
	next := d.merge(r)
	if state := StateOf(next); state != d.To {
		return nil, &fault.Corrupt{What: "delta of the records",
			Reason: fmt.Sprintf("it names %s, but its result is %s", d.To, state)}
	}
	return next, nil
}

func (d *Delta) merge(r *model.Records) *model.Records {
	items := make(map[model.RecordKey]model.Record, len(r.Items)+len(d.Changed))
	for _, rec := range r.Items {
		items[rec.Key()] = rec
	}
	for _, key := range d.Deleted {
		delete(items, key)
	}
	for _, rec := range d.Changed {
		items[rec.Key()] = rec
	}
	next := &model.Records{
		Revision: d.To.Revision, FloorRevision: d.To.FloorRevision,
		Items:  slices.SortedFunc(maps.Values(items), model.CompareRecords),
		Floors: make(map[string]map[string]int, len(r.Floors)), Homes: make(map[string][]string, len(r.Homes)),
	}
	next.WaveCreated = d.mergeWaveCreated(r.WaveCreated)
	maps.Copy(next.Floors, r.Floors)
	maps.Copy(next.Homes, r.Homes)
	for _, p := range d.Pools {
		delete(next.Floors, p.Name)
		delete(next.Homes, p.Name)
		if p.Floors != nil {
			next.Floors[p.Name] = p.Floors
		}
		if p.Homes != nil {
			next.Homes[p.Name] = p.Homes
		}
	}
	return next
}

// mergeWaveCreated returns the creation revisions of the waves after the delta.
func (d *Delta) mergeWaveCreated(before map[string]uint64) map[string]uint64 {
	created := maps.Clone(before)
	for _, key := range d.Deleted {
		if key.Kind == model.KindWave {
			delete(created, key.Name)
		}
	}
	for _, rec := range d.Changed {
		if rec.Kind == model.KindWave {
			delete(created, rec.Name)
		}
	}
	if created == nil {
		created = make(map[string]uint64, len(d.WaveCreated))
	}
	maps.Copy(created, d.WaveCreated)
	return created
}
