package query

import (
	"context"
	"encoding/json"
	"slices"
	"sort"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// explainEvents bounds the events behind one explanation.
const explainEvents = 1000

// status does not fail if the region group cannot be reached, since operators
// need it most during a partition.
func status(ctx context.Context, b Backend) (*Status, error) {
	inForce, err := b.InForce(ctx)
	if err != nil {
		return nil, err
	}
	groups, err := b.GroupStatuses(ctx)
	if err != nil {
		return nil, err
	}
	out := &Status{
		Processes:   append([]peer.InForceResponse{}, inForce.Processes...),
		Replicas:    append([]peer.GroupStatusResponse{}, groups.Processes...),
		Unreachable: union(inForce.Unreachable, groups.Unreachable),
	}
	if records, err := b.Records(ctx); err != nil {
		out.RecordsError = err.Error()
	} else {
		out.Revision = records.Revision
	}
	sort.Slice(out.Processes, func(i, j int) bool { return out.Processes[i].Host < out.Processes[j].Host })
	sort.Slice(out.Replicas, func(i, j int) bool { return out.Replicas[i].Host < out.Replicas[j].Host })
	return out, nil
}

// union returns the sorted distinct names of all lists. It is never nil, so that
// it is encoded as a JSON list and not as null.
func union(lists ...[]string) []string {
	out := append([]string{}, slices.Concat(lists...)...)
	sort.Strings(out)
	return slices.Compact(out)
}

// recordsAndState returns the records in force and the state of the data
// centres without requests.
func recordsAndState(ctx context.Context, b Backend) (*model.Records, *DataCentres, error) {
	records, err := b.RecordsInForce(ctx)
	if err != nil {
		return nil, nil, err
	}
	centres, err := b.DataCentres(ctx, 0)
	if err != nil {
		return nil, nil, err
	}
	return records, centres, nil
}

// pools joins the records in force with the state of the data centres. A pool
// without a host in a data centre is listed there if it has a floor or queued
// requests there.
func pools(ctx context.Context, b Backend) (*Pools, error) {
	records, centres, err := recordsAndState(ctx, b)
	if err != nil {
		return nil, err
	}
	out := &Pools{Pools: []PoolRow{}, Revision: records.Revision, Unreachable: union(centres.Unreachable)}
	specs := decodeSpecs[model.Pool](records, model.KindPool)
	for i := range centres.DataCentres {
		dc := &centres.DataCentres[i]
		rows := make(map[string]*PoolRow)
		row := func(pool string) *PoolRow {
			if rows[pool] == nil {
				rows[pool] = &PoolRow{
					Pool: pool, DataCentre: dc.DataCentre, Floor: records.Floors[pool][dc.DataCentre],
					ByState: map[model.HostState]int{}, Queued: dc.Queued[pool], Running: dc.Running[pool],
					Spare: specs[pool].Spare,
				}
			}
			return rows[pool]
		}
		for j := range dc.Hosts {
			addHost(row(dc.Hosts[j].Pool), &dc.Hosts[j])
		}
		for pool := range specs {
			if records.Floors[pool][dc.DataCentre] > 0 || dc.Queued[pool] > 0 {
				row(pool)
			}
		}
		for _, r := range rows {
			out.Pools = append(out.Pools, *r)
		}
	}
	sort.Slice(out.Pools, func(i, j int) bool {
		a, b := &out.Pools[i], &out.Pools[j]
		return a.Pool < b.Pool || (a.Pool == b.Pool && a.DataCentre < b.DataCentre)
	})
	return out, nil
}

func addHost(row *PoolRow, h *model.Host) {
	row.Hosts++
	row.ByState[h.State]++
	if h.State == model.HostReady {
		row.Available++
	}
}

// decodeSpecs decodes the records of one kind by name. Records with a schema
// or content that this build does not support are omitted.
func decodeSpecs[T any](records *model.Records, kind model.RecordKind) map[string]T {
	out := make(map[string]T)
	for i := range records.Items {
		item := &records.Items[i]
		if item.Kind != kind || item.Deleted || item.Schema < model.SchemaMin || item.Schema > model.SchemaMax {
			continue
		}
		var spec T
		if json.Unmarshal(item.Spec, &spec) == nil {
			out[item.Name] = spec
		}
	}
	return out
}

// hostFilter selects hosts; empty fields match all.
type hostFilter struct{ name, pool, dataCentre, state string }

func (f *hostFilter) matches(h *model.Host) bool {
	return (f.name == "" || f.name == h.Info.Name) && (f.pool == "" || f.pool == h.Pool) &&
		(f.dataCentre == "" || f.dataCentre == h.Info.DataCentre) && (f.state == "" || f.state == string(h.State))
}

func hosts(ctx context.Context, b Backend, f *hostFilter) (*Hosts, error) {
	centres, err := b.DataCentres(ctx, 0)
	if err != nil {
		return nil, err
	}
	out := &Hosts{Hosts: []model.Host{}, Unreachable: union(centres.Unreachable)}
	for i := range centres.DataCentres {
		for _, h := range centres.DataCentres[i].Hosts {
			if f.matches(&h) {
				out.Hosts = append(out.Hosts, h)
			}
		}
	}
	sort.Slice(out.Hosts, func(i, j int) bool {
		a, b := &out.Hosts[i].Info, &out.Hosts[j].Info
		return a.DataCentre < b.DataCentre || (a.DataCentre == b.DataCentre && a.Name < b.Name)
	})
	return out, nil
}

func waves(ctx context.Context, b Backend) (*Waves, error) {
	records, centres, err := recordsAndState(ctx, b)
	if err != nil {
		return nil, err
	}
	out := &Waves{Waves: []WaveRow{}, Revision: records.Revision, Unreachable: union(centres.Unreachable)}
	for name, spec := range decodeSpecs[model.Wave](records, model.KindWave) {
		row := WaveRow{Name: name, Spec: spec, Progress: []model.WaveProgress{}, Hosts: map[string]int{}}
		for i := range centres.DataCentres {
			dc := &centres.DataCentres[i]
			for j := range dc.Hosts {
				if dc.Hosts[j].Pool == spec.Pool {
					row.Hosts[dc.DataCentre]++
				}
			}
			for _, p := range dc.Waves {
				if p.Wave == name {
					row.Progress = append(row.Progress, p)
				}
			}
		}
		out.Waves = append(out.Waves, row)
	}
	sort.Slice(out.Waves, func(i, j int) bool { return out.Waves[i].Name < out.Waves[j].Name })
	return out, nil
}

// requestFilter selects requests; empty fields match all.
type requestFilter struct {
	pool, kind, team, state, outcome string
	limit                            int
}

func (f *requestFilter) matches(r *model.Request) bool {
	return (f.pool == "" || f.pool == r.Pool) && (f.kind == "" || f.kind == r.Kind) &&
		(f.team == "" || f.team == r.Team) && (f.state == "" || f.state == string(r.State)) &&
		(f.outcome == "" || f.outcome == string(r.Outcome))
}

func requests(ctx context.Context, b Backend, f *requestFilter) (*Requests, error) {
	centres, err := b.DataCentres(ctx, f.limit)
	if err != nil {
		return nil, err
	}
	out := &Requests{Requests: []model.Request{}, Unreachable: union(centres.Unreachable)}
	for i := range centres.DataCentres {
		for _, r := range centres.DataCentres[i].Requests {
			if f.matches(&r) {
				out.Requests = append(out.Requests, r.WithoutContent())
			}
		}
	}
	sort.SliceStable(out.Requests, func(i, j int) bool {
		return out.Requests[j].Claimed.Before(out.Requests[i].Claimed)
	})
	out.Requests = out.Requests[:min(len(out.Requests), f.limit)]
	return out, nil
}

func groupStatuses(ctx context.Context, b Backend) (*GroupStatuses, error) {
	statuses, err := b.GroupStatuses(ctx)
	if err != nil {
		return nil, err
	}
	statuses.Unreachable = union(statuses.Unreachable)
	return statuses, nil
}

func events(ctx context.Context, b Backend, f *event.Filter) (*Events, error) {
	found, err := b.Events(ctx, *f)
	if err != nil {
		return nil, err
	}
	return &Events{Events: append([]event.Event{}, found.Events...), Unreachable: union(found.Unreachable)}, nil
}

func request(ctx context.Context, b Backend, key string) (*model.Request, error) {
	r, err := b.Request(ctx, key)
	if err != nil {
		return nil, err
	}
	out := r.WithoutContent()
	return &out, nil
}

func explain(ctx context.Context, b Backend, kind, name string) (*Explanation, error) {
	switch kind {
	case "host":
		return explainHost(ctx, b, name)
	case "wave":
		return explainWave(ctx, b, name)
	case "request":
		return explainRequest(ctx, b, name)
	}
	return nil, &fault.Invalid{Field: "kind", Reason: "is unknown", Allowed: "host, wave, request"}
}

func explainHost(ctx context.Context, b Backend, name string) (*Explanation, error) {
	found, err := hosts(ctx, b, &hostFilter{name: name})
	if err != nil {
		return nil, err
	}
	history, err := events(ctx, b, &event.Filter{Host: name, Limit: explainEvents})
	if err != nil {
		return nil, err
	}
	var state *model.Host
	if len(found.Hosts) > 0 {
		state = &found.Hosts[0]
	}
	if state == nil && len(history.Events) == 0 && len(found.Unreachable) == 0 {
		return nil, &fault.NotFound{Kind: "host", Name: name}
	}
	return &Explanation{
		Sentences:   event.ExplainHost(name, state, history.Events),
		Unreachable: union(found.Unreachable, history.Unreachable),
	}, nil
}

func explainWave(ctx context.Context, b Backend, name string) (*Explanation, error) {
	all, err := waves(ctx, b)
	if err != nil {
		return nil, err
	}
	past, err := events(ctx, b, &event.Filter{Wave: name, Limit: explainEvents})
	if err != nil {
		return nil, err
	}
	var state *event.WaveState
	for i := range all.Waves {
		if w := &all.Waves[i]; w.Name == name {
			state = &event.WaveState{Spec: w.Spec, Progress: w.Progress, Hosts: w.Hosts}
		}
	}
	if state == nil && len(past.Events) == 0 {
		return nil, &fault.NotFound{Kind: "wave", Name: name}
	}
	return &Explanation{
		Sentences:   event.ExplainWave(name, state, past.Events),
		Unreachable: union(all.Unreachable, past.Unreachable),
	}, nil
}

// explainRequest uses only events if the home ledger no longer holds the request
// or cannot be reached.
func explainRequest(ctx context.Context, b Backend, key string) (*Explanation, error) {
	state, stateErr := b.Request(ctx, key)
	if stateErr != nil && !isMissingOrUnreachable(stateErr) {
		return nil, stateErr
	}
	past, err := events(ctx, b, &event.Filter{Request: key, Limit: explainEvents})
	if err != nil {
		return nil, err
	}
	if stateErr != nil {
		state = nil
		if len(past.Events) == 0 {
			return nil, stateErr
		}
	}
	return &Explanation{
		Sentences:   event.ExplainRequest(key, state, past.Events),
		Unreachable: union(past.Unreachable),
	}, nil
}

// isMissingOrUnreachable reports whether err means that the home ledger does not
// hold the request or was not reached.
func isMissingOrUnreachable(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeNotFound, fault.CodeUnavailable, fault.CodeNotLeader, fault.CodeTimeout, fault.CodeSilentConnection,
		fault.CodeClockSkew:
		return true
	}
	return false
}
