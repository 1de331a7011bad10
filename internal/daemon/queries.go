package daemon

import (
	"context"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/settings"
)

// maxRegionEvents bounds the events of the region group in one answer.
const maxRegionEvents = 2048

// Await reads a request and waits for its outcome.
func (h handler) Await(ctx context.Context, r *peer.AwaitRequest) (*peer.RequestResponse, error) {
	n, err := h.localDataCentre(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if err := n.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return n.controller.Await(ctx, r)
}

// PullAssignments returns new assignments of an owner.
func (h handler) PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	c, err := h.controller(r.DataCentre)
	if err != nil {
		return nil, err
	}
	return c.PullAssignments(ctx, r)
}

// PullRecords returns records newer than those given, as a delta if possible,
// after a linearizable read. It waits for them up to r.WaitMS.
func (h handler) PullRecords(ctx context.Context, r *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error) {
	source, err := h.recordSource(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if err := source.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	deadline := h.d.clock.After(time.Duration(r.WaitMS) * time.Millisecond)
	for {
		changed := source.changed()
		if records, d := source.since(r.State()); records != nil || d != nil {
			return &peer.PullRecordsResponse{Records: records, Delta: d}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return &peer.PullRecordsResponse{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordSource reads the records of the region group or of a data centre group.
type recordSource struct {
	group   *replica.Replica
	since   func(have delta.State) (*model.Records, *delta.Delta)
	changed func() <-chan struct{}
}

func (h handler) recordSource(dataCentre string) (recordSource, error) {
	if dataCentre == "" {
		if h.d.region == nil {
			return recordSource{}, &fault.NotLeader{Group: settings.RegionGroup}
		}
		return recordSource{h.d.region.group, h.d.region.stateMachine.RecordsSince, h.d.region.stateMachine.Changed}, nil
	}
	n, err := h.localDataCentre(dataCentre)
	if err != nil {
		return recordSource{}, err
	}
	return recordSource{n.group, n.stateMachine.RecordsSince, n.stateMachine.RecordsChanged}, nil
}

// DataCentre returns the state of a data centre by a linearizable read.
func (h handler) DataCentre(ctx context.Context, r *peer.DataCentreRequest) (*peer.DataCentreResponse, error) {
	n, err := h.localDataCentre(r.DataCentre)
	if err != nil {
		return nil, err
	}
	if err := n.group.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	out := &peer.DataCentreResponse{DataCentre: r.DataCentre, Queued: map[string]int{}, Running: map[string]int{}}
	n.stateMachine.View(func(v datacentre.View) {
		out.Revision = v.Records.Revision
		out.Hosts = v.Hosts.Hosts()
		out.Waves = v.Hosts.Waves()
		for _, q := range v.Requests.Recent(r.Requests) {
			out.Requests = append(out.Requests, q.WithoutContent())
		}
		for pool := range v.Catalogue.Pools {
			out.Queued[pool] = v.Requests.QueuedCount(pool)
			out.Running[pool] = v.Requests.RunningCount(pool)
		}
	})
	return out, nil
}

// GroupStatus lists the replicas of this host.
func (h handler) GroupStatus(_ context.Context, _ *peer.GroupStatusRequest) (*peer.GroupStatusResponse, error) {
	out := &peer.GroupStatusResponse{Host: h.d.settings.Host}
	for _, r := range h.d.replicas() {
		out.Groups = append(out.Groups, r.Status())
	}
	sort.Slice(out.Groups, func(i, j int) bool { return out.Groups[i].Group < out.Groups[j].Group })
	return out, nil
}

// Events returns the events of this process, and those of the region group if
// this host has a replica of it.
func (h handler) Events(_ context.Context, r *peer.EventsRequest) (*peer.EventsResponse, error) {
	filter := event.Filter{
		Host: r.Host, Pool: r.Pool, Request: r.Request, Wave: r.Wave, After: r.After, Limit: r.Limit,
	}
	lists := [][]event.Event{h.d.events.Query(filter)}
	if h.d.region != nil {
		var matching []event.Event
		for _, e := range h.d.region.stateMachine.Events(r.After, maxRegionEvents) {
			if filter.Matches(&e) {
				matching = append(matching, e)
			}
		}
		lists = append(lists, matching)
	}
	return &peer.EventsResponse{Events: filter.Trim(event.Merge(lists...))}, nil
}

// InForce returns the revision of the records in force in this process.
func (h handler) InForce(_ context.Context, _ *peer.InForceRequest) (*peer.InForceResponse, error) {
	out := &peer.InForceResponse{
		Host: h.d.settings.Host, DataCentre: h.d.settings.DataCentre,
		Ready: h.d.Ready() == nil, Version: Version,
	}
	if records, _ := h.d.inForce.get(); records != nil {
		out.Revision = records.Revision
	}
	return out, nil
}

// recorder stores the local events of this process.
type recorder struct{ d *Daemon }

// Record implements dispatch.Events.
func (r recorder) Record(e event.Event) {
	e.ID = event.ID{Group: r.d.settings.Host + "#" + r.d.incarnation, Index: r.d.eventSeq.Add(1)}
	e.Time = r.d.hlc.Now()
	r.d.events.Add(e)
}
