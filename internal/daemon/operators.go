package daemon

import (
	"context"
	"sort"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/command"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/settings"
)

// Time limits of operators' calls.
const (
	commandTimeout = 5 * time.Second
	queryTimeout   = 3 * time.Second
)

// operators carries out the operators' commands and queries on the groups and
// processes of the region.
type operators struct{ d *Daemon }

var (
	_ command.Backend = operators{}
	_ query.Backend   = operators{}
)

// ApplyRecords implements command.Backend. It can be repeated after an unknown
// effect, because a resend with the same request id gets the first answer.
func (o operators) ApplyRecords(ctx context.Context, r *peer.ApplyRecordsRequest) (*peer.ApplyRecordsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return peer.CallIdempotent(ctx, o.d.leaders[settings.RegionGroup], peer.Handler.ApplyRecords, r)
}

// HostCommand implements command.Backend. If the request names no data centre,
// the host is looked up in all of them.
func (o operators) HostCommand(ctx context.Context, r *peer.HostCommandRequest) (*peer.HostCommandResponse, error) {
	if r.DataCentre == "" {
		dataCentre, err := o.dataCentreOf(ctx, r.Host)
		if err != nil {
			return nil, err
		}
		r.DataCentre = dataCentre
	}
	leader := o.d.leaders[r.DataCentre]
	if leader == nil {
		return nil, &fault.NotFound{Kind: "data centre", Name: r.DataCentre}
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return peer.CallIdempotent(ctx, leader, peer.Handler.HostCommand, r)
}

func (o operators) dataCentreOf(ctx context.Context, host string) (string, error) {
	state, err := o.DataCentres(ctx, 0)
	if err != nil {
		return "", err
	}
	for i := range state.DataCentres {
		for j := range state.DataCentres[i].Hosts {
			if state.DataCentres[i].Hosts[j].Info.Name == host {
				return state.DataCentres[i].DataCentre, nil
			}
		}
	}
	if len(state.Unreachable) > 0 {
		return "", &fault.Unavailable{What: "data centre " + state.Unreachable[0], Reason: "the host may be there"}
	}
	return "", &fault.NotFound{Kind: "host", Name: host}
}

// ChangeReplicas implements command.Backend.
func (o operators) ChangeReplicas(ctx context.Context, r *peer.ChangeReplicasRequest) (out *peer.ChangeReplicasResponse, err error) {
	leader := o.d.leaders[r.Group]
	if leader == nil {
		return nil, &fault.NotFound{Kind: "group", Name: r.Group}
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err = leader.Do(ctx, func(h peer.Handler) error {
		out, err = h.ChangeReplicas(ctx, r)
		return err
	})
	return out, err
}

// CancelRequest implements command.Backend.
func (o operators) CancelRequest(ctx context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	return o.d.cancelRequest(ctx, r)
}

// Records implements query.Backend.
func (o operators) Records(ctx context.Context) (*model.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := peer.CallIdempotent(ctx, o.d.leaders[settings.RegionGroup], peer.Handler.PullRecords, &peer.PullRecordsRequest{})
	if err != nil {
		return nil, err
	}
	if response.Records == nil {
		return &model.Records{}, nil
	}
	return response.Records, nil
}

// DataCentres implements query.Backend.
func (o operators) DataCentres(ctx context.Context, requests int) (*query.DataCentres, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	names := o.d.settings.DataCentres()
	states, unreachable := callAll(names, func(name string) (*peer.DataCentreResponse, error) {
		request := &peer.DataCentreRequest{DataCentre: name, Requests: requests}
		return peer.CallIdempotent(ctx, o.d.leaders[name], peer.Handler.DataCentre, request)
	})
	if len(states) == 0 {
		return nil, &fault.Unavailable{What: "data centres", Reason: "none was reached"}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].DataCentre < states[j].DataCentre })
	return &query.DataCentres{DataCentres: states, Unreachable: unreachable}, nil
}

// Request implements query.Backend.
func (o operators) Request(ctx context.Context, key string) (*model.Request, error) {
	_, request, err := o.d.findRequest(ctx, key)
	if err != nil {
		return nil, err
	}
	return &request, nil
}

// GroupStatuses implements query.Backend.
func (o operators) GroupStatuses(ctx context.Context) (*query.GroupStatuses, error) {
	states, unreachable := callHosts(ctx, o.d, func(ctx context.Context, h peer.Handler) (*peer.GroupStatusResponse, error) {
		return h.GroupStatus(ctx, &peer.GroupStatusRequest{})
	})
	return &query.GroupStatuses{Processes: states, Unreachable: unreachable}, nil
}

// InForce implements query.Backend.
func (o operators) InForce(ctx context.Context) (*query.InForce, error) {
	states, unreachable := callHosts(ctx, o.d, func(ctx context.Context, h peer.Handler) (*peer.InForceResponse, error) {
		return h.InForce(ctx, &peer.InForceRequest{})
	})
	return &query.InForce{Processes: states, Unreachable: unreachable}, nil
}

// Events implements query.Backend.
func (o operators) Events(ctx context.Context, f event.Filter) (*query.Events, error) {
	states, unreachable := callHosts(ctx, o.d, func(ctx context.Context, h peer.Handler) (*peer.EventsResponse, error) {
		return h.Events(ctx, &peer.EventsRequest{
			After: f.After, Limit: f.Limit, Host: f.Host, Pool: f.Pool, Request: f.Request, Wave: f.Wave,
		})
	})
	lists := make([][]event.Event, 0, len(states))
	for _, s := range states {
		lists = append(lists, s.Events)
	}
	merged := event.Merge(lists...)
	var matching []event.Event
	for i := range merged {
		if f.Matches(&merged[i]) {
			matching = append(matching, merged[i])
		}
	}
	return &query.Events{Events: f.Trim(matching), Unreachable: unreachable}, nil
}

// callHosts calls every entry host of the region.
func callHosts[T any](ctx context.Context, d *Daemon, call func(context.Context, peer.Handler) (*T, error)) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	names := make([]string, 0, len(d.settings.Hosts))
	for _, h := range d.settings.Hosts {
		names = append(names, h.Name)
	}
	return callAll(names, func(name string) (*T, error) {
		h, err := d.dialer.Dial(name)
		if err != nil {
			return nil, err
		}
		return call(ctx, h)
	})
}

// callAll runs call for all names concurrently. It returns the answers, and the
// names whose call failed.
func callAll[T any](names []string, call func(name string) (*T, error)) (answers []T, unreachable []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range names {
		wg.Go(func() {
			answer, err := call(name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, name)
				return
			}
			answers = append(answers, *answer)
		})
	}
	wg.Wait()
	sort.Strings(unreachable)
	return answers, unreachable
}

// RecordsInForce implements query.Backend.
func (o operators) RecordsInForce(context.Context) (*model.Records, error) {
	records, _ := o.d.inForce.get()
	if records == nil {
		return nil, o.d.Ready()
	}
	return records, nil
}
