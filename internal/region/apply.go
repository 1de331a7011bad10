package region

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/floors"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// applyIdempotent applies a request once. A repeated request gets the answer
// to the first one, even if that was an error.
func (m *StateMachine) applyIdempotent(e replica.Entry, r *peer.ApplyRecordsRequest) Result {
	if r.RequestID == "" || len(r.RequestID) > maxRequestIDBytes {
		return Result{Revision: m.history.Records().Revision, Err: &fault.Invalid{Field: "request_id",
			Reason: "missing or too long", Allowed: fmt.Sprintf("1 to %d bytes", maxRequestIDBytes)}}
	}
	digest := digestOf(r.Records)
	m.answers.expire(e.Index)
	if a, ok := m.answers.get(r.RequestID); ok {
		if a.Digest != digest {
			return Result{Revision: m.history.Records().Revision, Err: &fault.KeyReused{Key: r.RequestID}}
		}
		return a.result()
	}
	res := m.apply(e, r)
	m.answers.put(newAnswer(r.RequestID, digest, e.Index, res))
	return res
}

// draft holds the records as a request would leave them. It replaces the
// current records only if the whole request is valid.
type draft struct {
	items map[model.RecordKey]model.Record
	homes map[string][]string
	// waveCreated holds the revision that created each wave's record.
	waveCreated map[string]uint64
	pools       map[string]*model.Pool // without pools of a newer schema
}

func (m *StateMachine) apply(e replica.Entry, r *peer.ApplyRecordsRequest) Result {
	current := m.history.Records().Revision
	if r.ExpectedRevision != current {
		return Result{Revision: current, Err: &fault.RevisionConflict{Expected: r.ExpectedRevision, Current: current}}
	}
	d, err := m.buildDraft(e, r.Records)
	if err != nil {
		return Result{Revision: current, Err: err}
	}
	m.updateRetiredPools(e, d)
	m.items, m.homes, m.waveCreated = d.items, d.homes, d.waveCreated
	changed := m.floors.SetRequested(m.requestedFloors(d))
	m.publish(current + 1)
	m.addRecordEvents(e, r)
	m.addFloorEvents(e, len(r.Records), changed)
	return Result{Revision: current + 1}
}

func (m *StateMachine) buildDraft(e replica.Entry, records []model.Record) (*draft, error) {
	if len(records) == 0 || len(records) > MaxRecordsPerRequest {
		return nil, &fault.Invalid{Field: "records", Reason: fmt.Sprintf("%d records", len(records)),
			Allowed: fmt.Sprintf("1 to %d", MaxRecordsPerRequest)}
	}
	d := &draft{
		items: maps.Clone(m.items), homes: maps.Clone(m.homes), waveCreated: maps.Clone(m.waveCreated),
		pools: make(map[string]*model.Pool),
	}
	seen := make(map[model.RecordKey]bool)
	for _, rec := range records {
		key := rec.Key()
		if err := model.ValidateRecord(rec); err != nil {
			return nil, err
		}
		if seen[key] {
			return nil, &fault.Invalid{Field: "records", Reason: fmt.Sprintf("%s %q occurs twice", rec.Kind, rec.Name),
				Allowed: "each record once"}
		}
		seen[key] = true
		if err := d.applyRecord(key, rec, m.history.Records().Revision+1); err != nil {
			return nil, err
		}
	}
	if len(d.items) > MaxRecords {
		return nil, &fault.LimitExceeded{What: "records", Limit: MaxRecords}
	}
	if err := m.checkPools(e, d); err != nil {
		return nil, err
	}
	return d, checkReferences(d, records)
}

// applyRecord creates, changes or deletes one record under the given revision.
func (d *draft) applyRecord(key model.RecordKey, rec model.Record, revision uint64) error {
	_, known := d.items[key]
	switch {
	case rec.Deleted && !known:
		return &fault.NotFound{Kind: string(rec.Kind), Name: rec.Name}
	case rec.Deleted:
		delete(d.items, key)
	default:
		d.items[key] = rec
	}
	if rec.Kind == model.KindWave {
		switch {
		case rec.Deleted:
			delete(d.waveCreated, rec.Name)
		case !known:
			d.waveCreated[rec.Name] = revision
		}
	}
	return nil
}

// checkPools decodes the pools of the draft, resolves their homes and refuses
// unknown data centres.
func (m *StateMachine) checkPools(e replica.Entry, d *draft) error {
	for name := range d.homes {
		if _, ok := d.items[model.RecordKey{Kind: model.KindPool, Name: name}]; !ok {
			delete(d.homes, name)
		}
	}
	for _, rec := range sortRecords(d.items) {
		if rec.Kind != model.KindPool || rec.Schema > model.SchemaMax {
			continue
		}
		c, err := model.ParseCatalogue(&model.Records{Items: []model.Record{rec}})
		if err != nil {
			return err
		}
		p := c.Pools[rec.Name]
		if err := m.resolveHomes(e, d, p); err != nil {
			return err
		}
		for _, dcs := range [][]string{p.Homes, slices.Sorted(maps.Keys(p.Floors)), slices.Sorted(maps.Keys(p.Desired))} {
			for _, dc := range dcs {
				if !m.isDataCentre(dc) {
					return &fault.Invalid{Field: "pool " + p.Name, Reason: fmt.Sprintf("unknown data centre %q", dc),
						Allowed: fmt.Sprint(m.dataCentres)}
				}
			}
		}
		d.pools[rec.Name] = p
	}
	return nil
}

// resolveHomes sets the homes of a new pool and refuses to change those of an
// existing or recently deleted one: an idempotency key that is not bound to a
// data centre could otherwise run in the former and in the new home.
func (m *StateMachine) resolveHomes(e replica.Entry, d *draft, p *model.Pool) error {
	fixed, ok := d.homes[p.Name]
	if old, gone := m.retiredPools[p.Name]; !ok && gone && e.Time.WallMillis-old.At.WallMillis < homesRetentionMS {
		fixed, ok = old.Homes, true
	}
	switch {
	case ok && len(p.Homes) > 0 && !slices.Equal(fixed, p.Homes):
		return &fault.Invalid{Field: "homes", Reason: fmt.Sprintf("the homes of pool %q cannot change", p.Name),
			Allowed: fmt.Sprint(fixed)}
	case ok:
		p.Homes = fixed
	case len(p.Homes) == 0:
		p.Homes = slices.Clone(m.dataCentres)
	}
	d.homes[p.Name] = p.Homes
	return nil
}

// checkReferences refuses records that name a pool without a record. The
// deletion of a pool in use is refused with a *fault.Precondition that names a
// record which refers to it.
func checkReferences(d *draft, records []model.Record) error {
	deletedPools := make(map[string]bool)
	for _, rec := range records {
		if rec.Deleted && rec.Kind == model.KindPool {
			deletedPools[rec.Name] = true
		}
	}
	for _, rec := range sortRecords(d.items) {
		pool := referencedPool(rec)
		if pool == "" {
			continue
		}
		if _, ok := d.items[model.RecordKey{Kind: model.KindPool, Name: pool}]; ok {
			continue
		}
		if deletedPools[pool] {
			return &fault.Precondition{What: fmt.Sprintf("deletion of pool %q", pool),
				Reason: fmt.Sprintf("%s %q refers to it", rec.Kind, rec.Name)}
		}
		if rec.Schema <= model.SchemaMax {
			return &fault.Invalid{Field: "pool", Reason: fmt.Sprintf("%s %q refers to the unknown pool %q", rec.Kind, rec.Name, pool),
				Allowed: "the name of a pool record"}
		}
	}
	return nil
}

// referencedPool returns the pool that a record names, or "". It reads this
// field from newer schemas too: if the field means something else there, the
// worst case is that a deletion is refused.
func referencedPool(rec model.Record) string {
	if rec.Kind == model.KindPool {
		return ""
	}
	var ref struct {
		Pool string `json:"pool"`
	}
	if json.Unmarshal(rec.Spec, &ref) != nil {
		return ""
	}
	return ref.Pool
}

// requestedFloors returns the floors that the records ask for. A pool whose
// record has a newer schema keeps the floors requested before.
func (m *StateMachine) requestedFloors(d *draft) map[string]map[string]int {
	out := make(map[string]map[string]int)
	for key := range d.items {
		if key.Kind != model.KindPool {
			continue
		}
		p := d.pools[key.Name]
		switch {
		case p == nil:
			if old := m.floors.Pools[key.Name]; old != nil {
				out[key.Name] = old.Requested
			}
		case len(p.Floors) > 0:
			out[key.Name] = p.Floors
		default:
			out[key.Name] = floors.Split(p.MinAvailable, p.Homes)
		}
	}
	return out
}

// updateRetiredPools keeps the homes of pools that the draft deletes, and drops
// those of pools whose keys no ledger holds any more.
func (m *StateMachine) updateRetiredPools(e replica.Entry, d *draft) {
	for name, old := range m.retiredPools {
		if e.Time.WallMillis-old.At.WallMillis >= homesRetentionMS {
			delete(m.retiredPools, name)
		}
	}
	for name, homes := range m.homes {
		if _, ok := d.homes[name]; !ok {
			m.retiredPools[name] = retiredPool{Homes: homes, At: e.Time}
		}
	}
	for name := range d.homes {
		delete(m.retiredPools, name)
	}
}

func (m *StateMachine) isDataCentre(name string) bool { return slices.Contains(m.dataCentres, name) }

func (m *StateMachine) sortedRecords() []model.Record { return sortRecords(m.items) }

func sortRecords(items map[model.RecordKey]model.Record) []model.Record {
	out := slices.Collect(maps.Values(items))
	slices.SortFunc(out, model.CompareRecords)
	return out
}
