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

// applyOnce answers a resend with the first answer, also if that was an error.
func (m *StateMachine) applyOnce(e replica.Entry, r *peer.ApplyRecordsRequest) Result {
	if r.RequestID == "" || len(r.RequestID) > maxRequestID {
		return Result{Revision: m.history.Records().Revision, Err: &fault.Invalid{Field: "request_id",
			Reason: "missing or too long", Allowed: fmt.Sprintf("1 to %d bytes", maxRequestID)}}
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

// draft is the set of records that a request would create. It replaces the
// current set only if the whole request is valid.
type draft struct {
	items map[model.RecordKey]model.Record
	homes map[string][]string
	// created holds the revisions at which the waves' records were created.
	created map[string]uint64
	pools   map[string]*model.Pool // understood pools
}

func (m *StateMachine) apply(e replica.Entry, r *peer.ApplyRecordsRequest) Result {
	current := m.history.Records().Revision
	if r.ExpectedRevision != current {
		return Result{Revision: current, Err: &fault.RevisionConflict{Expected: r.ExpectedRevision, Current: current}}
	}
	d, err := m.draft(e, r.Records)
	if err != nil {
		return Result{Revision: current, Err: err}
	}
	m.retire(e, d)
	m.items, m.homes, m.created = d.items, d.homes, d.created
	changed := m.floors.SetRequested(m.targets(d))
	m.publish(current + 1)
	m.addRecordEvents(e, r)
	m.addFloorEvents(e, len(r.Records), changed)
	return Result{Revision: current + 1}
}

func (m *StateMachine) draft(e replica.Entry, records []model.Record) (*draft, error) {
	if len(records) == 0 || len(records) > MaxApply {
		return nil, &fault.Invalid{Field: "records", Reason: fmt.Sprintf("%d records", len(records)),
			Allowed: fmt.Sprintf("1 to %d", MaxApply)}
	}
	d := &draft{
		items: maps.Clone(m.items), homes: maps.Clone(m.homes), created: maps.Clone(m.created),
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
		if err := d.take(key, rec, m.history.Records().Revision+1); err != nil {
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

// take adds, changes or deletes one record at a revision.
func (d *draft) take(key model.RecordKey, rec model.Record, revision uint64) error {
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
			delete(d.created, rec.Name)
		case !known:
			d.created[rec.Name] = revision
		}
	}
	return nil
}

// checkPools decodes the pools of the draft and settles their homes.
func (m *StateMachine) checkPools(e replica.Entry, d *draft) error {
	for name := range d.homes {
		if _, ok := d.items[model.RecordKey{Kind: model.KindPool, Name: name}]; !ok {
			delete(d.homes, name)
		}
	}
	for _, rec := range sorted(d.items) {
		if rec.Kind != model.KindPool || rec.Schema > model.SchemaMax {
			continue
		}
		c, err := model.ParseCatalogue(&model.Records{Items: []model.Record{rec}})
		if err != nil {
			return err
		}
		p := c.Pools[rec.Name]
		if err := m.settleHomes(e, d, p); err != nil {
			return err
		}
		for _, dcs := range [][]string{p.Homes, slices.Sorted(maps.Keys(p.Floors)), slices.Sorted(maps.Keys(p.Desired))} {
			for _, dc := range dcs {
				if !m.knowsDataCentre(dc) {
					return &fault.Invalid{Field: "pool " + p.Name, Reason: fmt.Sprintf("unknown data centre %q", dc),
						Allowed: fmt.Sprint(m.dataCentres)}
				}
			}
		}
		d.pools[rec.Name] = p
	}
	return nil
}

// settleHomes fixes the homes of a new pool and refuses to change those of an
// existing or recently deleted one: a plain key whose home moves could run in
// the old and in the new home.
func (m *StateMachine) settleHomes(e replica.Entry, d *draft, p *model.Pool) error {
	fixed, ok := d.homes[p.Name]
	if old, gone := m.retired[p.Name]; !ok && gone && e.Time.WallMillis-old.At.WallMillis < retiredHomesMS {
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

// checkReferences refuses records that name a pool without a record. A
// deletion is refused with *fault.Precondition that names the referrer.
func checkReferences(d *draft, records []model.Record) error {
	deleted := make(map[string]bool)
	for _, rec := range records {
		if rec.Deleted && rec.Kind == model.KindPool {
			deleted[rec.Name] = true
		}
	}
	for _, rec := range sorted(d.items) {
		pool := referredPool(rec)
		if pool == "" {
			continue
		}
		if _, ok := d.items[model.RecordKey{Kind: model.KindPool, Name: pool}]; ok {
			continue
		}
		if deleted[pool] {
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

// referredPool returns the pool that a record names, or "". Newer schemas are
// read for this one field too: refusing a deletion in doubt does no harm.
func referredPool(rec model.Record) string {
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

// targets returns the floors that the records ask for. A pool whose record
// has a newer schema keeps the floors it had.
func (m *StateMachine) targets(d *draft) map[string]map[string]int {
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

// retire remembers the homes of pools that the draft deletes and forgets
// those whose keys no ledger keeps any more.
func (m *StateMachine) retire(e replica.Entry, d *draft) {
	for name, old := range m.retired {
		if e.Time.WallMillis-old.At.WallMillis >= retiredHomesMS {
			delete(m.retired, name)
		}
	}
	for name, homes := range m.homes {
		if _, ok := d.homes[name]; !ok {
			m.retired[name] = retiredPool{Homes: homes, At: e.Time}
		}
	}
	for name := range d.homes {
		delete(m.retired, name)
	}
}

func (m *StateMachine) knowsDataCentre(name string) bool { return slices.Contains(m.dataCentres, name) }

func (m *StateMachine) sortedItems() []model.Record { return sorted(m.items) }

func sorted(items map[model.RecordKey]model.Record) []model.Record {
	out := slices.Collect(maps.Values(items))
	slices.SortFunc(out, model.CompareRecords)
	return out
}
