package ctl_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/command"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// fixtureMillis is the time of the fixture, 2030-05-01T04:00:00Z in milliseconds.
const fixtureMillis = 1_903_838_400_000

// fakeRegion is a fake of the peer layer behind the operator API.
type fakeRegion struct {
	// mu guards the fields; the handler holds it for a whole call.
	mu                sync.Mutex
	records           model.Records
	centres           []peer.DataCentreResponse
	processes         []peer.InForceResponse
	events            []event.Event
	unreachable       []string
	revisionByRequest map[string]uint64 // by request id
	applied           int               // changes that took effect
	// laggingStatuses is the number of status queries in which the first process
	// still reports the previous revision.
	laggingStatuses int
	// answersToLose is the number of answers to lose after their command took
	// effect.
	answersToLose int
	// nextError is returned by the next command.
	nextError error
	// concurrentChanges is how many of the next changes are preceded by a change
	// of another operator.
	concurrentChanges int
	// onDataCentres is called at every query of the data centres, for instance
	// to advance a wave.
	onDataCentres func(*fakeRegion)
	commandPaths  []string // of commands, as received
}

func at(ms int64) hlc.Time { return hlc.Time{WallMillis: fixtureMillis + ms} }

func newFakeRegion() *fakeRegion {
	host := func(name, centre, pool string, state model.HostState, reason string) model.Host {
		return model.Host{
			Info: model.HostInfo{Name: name, DataCentre: centre, Rack: "r1"}, Pool: pool, State: state, Reason: reason, Since: at(0),
		}
	}
	unknownRequest := model.Request{
		Key: "t.dc-a.1", Kind: "draw", Team: "markets", Pool: "draw", Claimed: at(0), Finished: at(5000), State: model.RequestFinished,
		Outcome: model.OutcomeUnknown, Reason: "the target was lost", Payload: []byte("s3cret"), Answer: []byte("s3cret"),
		Attempts: []model.Attempt{{Number: 1, Host: "exec-2", Owner: "entry-a1", State: model.AttemptUnknown, At: at(100)}},
	}
	queuedRequest := model.Request{Key: "fee/7", Kind: "fee_charge", Team: "markets", Pool: "ledger", Claimed: at(50), State: model.RequestQueued}
	reducedRequest := model.Request{
		Key: "order-9", Claimed: at(-3_600_000), Finished: at(-3_500_000), State: model.RequestFinished, Outcome: model.OutcomeDone, Succeeded: true,
		Reason: ledger.ReasonDetailsExpired, DetailsExpired: true, Attempts: []model.Attempt{{Number: 3, State: model.AttemptSucceeded}},
	}
	r := &fakeRegion{revisionByRequest: map[string]uint64{}}
	r.records = model.Records{
		Revision: 12, Floors: map[string]map[string]int{"proofs": {"dc-a": 1, "dc-b": 1}},
		Items: []model.Record{
			{Schema: 1, Kind: model.KindJobKind, Name: "proof", Spec: json.RawMessage(`{"pool":"proofs","priority":"urgent","idempotent":true,"cpu_millis":2000,"memory_mb":4096,"run_time_ms":800,"max_attempts":3}`)},
			{Schema: 2, Kind: model.KindPool, Name: "proofs", Spec: json.RawMessage(`{"min_available":2,"floors":{"dc-a":1,"dc-b":1},"homes":["dc-a","dc-b"]}`)},
			{Schema: 2, Kind: model.KindPool, Name: "spare", Spec: json.RawMessage(`{"min_available":0,"homes":["dc-a"],"spare":true}`)},
			{Schema: 1, Kind: model.KindWave, Name: "spring", Spec: json.RawMessage(`{"pool":"proofs","state":"running","failure_threshold":1,"future_field":9007199254740993}`)},
		},
	}
	r.centres = []peer.DataCentreResponse{
		{
			DataCentre: "dc-a", Revision: 12, Queued: map[string]int{"proofs": 4}, Running: map[string]int{"proofs": 2},
			Hosts: []model.Host{
				host("exec-2", "dc-a", "proofs", model.HostLost, "lease expired"), host("exec-1", "dc-a", "proofs", model.HostReady, ""),
				host("spare-1", "dc-a", "spare", model.HostReady, ""),
			},
			Waves:    []model.WaveProgress{{Wave: "spring", DataCentre: "dc-a", Done: []string{"exec-1"}, Current: []string{"exec-2"}, Started: at(0)}},
			Requests: []model.Request{unknownRequest, queuedRequest, reducedRequest},
		},
		{DataCentre: "dc-b", Revision: 12, Hosts: []model.Host{host("exec-3", "dc-b", "proofs", model.HostReady, "")}},
	}
	for _, name := range []string{"entry-b1", "entry-a1"} {
		r.processes = append(r.processes, peer.InForceResponse{Host: name, DataCentre: "dc-" + name[6:7], Revision: 12, Ready: true, Version: "1.0"})
	}
	r.events = []event.Event{
		{ID: event.ID{Group: "dc-a", Index: 5}, Time: at(10), Kind: "host_lost", Host: "exec-2", Pool: "proofs", Actor: "control on entry-a1", Reason: "lease expired"},
		{ID: event.ID{Group: "dc-a", Index: 6}, Time: at(20), Kind: "wave_paused", Wave: "spring", DataCentre: "dc-a", Reason: "bad\x1b[31m\nreason"},
	}
	return r
}

func (r *fakeRegion) takeError() error {
	err := r.nextError
	r.nextError = nil
	return err
}

func (r *fakeRegion) ApplyRecords(_ context.Context, q *peer.ApplyRecordsRequest) (*peer.ApplyRecordsResponse, error) {
	if revision, ok := r.revisionByRequest[q.RequestID]; ok {
		return &peer.ApplyRecordsResponse{Revision: revision}, nil
	}
	if err := r.takeError(); err != nil {
		return nil, err
	}
	if r.concurrentChanges > 0 {
		r.concurrentChanges--
		r.records.Revision++
	}
	if q.ExpectedRevision != r.records.Revision {
		return nil, &fault.RevisionConflict{Expected: q.ExpectedRevision, Current: r.records.Revision}
	}
	r.records.Revision++
	r.applied++
	r.revisionByRequest[q.RequestID] = r.records.Revision
	for _, record := range q.Records {
		r.records.Items = slices.DeleteFunc(r.records.Items, func(o model.Record) bool { return o.Kind == record.Kind && o.Name == record.Name })
		if !record.Deleted {
			r.records.Items = append(r.records.Items, record)
		}
	}
	return &peer.ApplyRecordsResponse{Revision: r.records.Revision}, nil
}

func (r *fakeRegion) HostCommand(_ context.Context, q *peer.HostCommandRequest) (*peer.HostCommandResponse, error) {
	if err := r.takeError(); err != nil {
		return nil, err
	}
	h := r.centres[0].Hosts[1]
	h.State, h.MoveTo, h.Reason = model.HostDraining, q.ToPool, q.Operator+": "+q.Reason
	r.applied++
	return &peer.HostCommandResponse{Host: h}, nil
}

func (r *fakeRegion) ChangeReplicas(_ context.Context, q *peer.ChangeReplicasRequest) (*peer.ChangeReplicasResponse, error) {
	q.Member.Learner = true
	return &peer.ChangeReplicasResponse{Members: append(members(), q.Member)}, r.takeError()
}

func (r *fakeRegion) CancelRequest(_ context.Context, q *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	request, err := r.Request(context.Background(), q.Key)
	if err != nil {
		return nil, err
	}
	out := *request
	out.State, out.Outcome, out.Reason = model.RequestFinished, model.OutcomeNotRun, "cancelled by "+q.Actor
	return &peer.RequestResponse{Request: out}, nil
}

func (r *fakeRegion) Records(context.Context) (*model.Records, error) { return &r.records, nil }

func (r *fakeRegion) RecordsInForce(context.Context) (*model.Records, error) { return &r.records, nil }

func (r *fakeRegion) DataCentres(context.Context, int) (*query.DataCentres, error) {
	if r.onDataCentres != nil {
		r.onDataCentres(r)
	}
	out := &query.DataCentres{}
	for _, dc := range r.centres {
		if slices.Contains(r.unreachable, dc.DataCentre) {
			out.Unreachable = append(out.Unreachable, dc.DataCentre)
		} else {
			out.DataCentres = append(out.DataCentres, dc)
		}
	}
	return out, nil
}

func (r *fakeRegion) Request(_ context.Context, key string) (*model.Request, error) {
	for i := range r.centres[0].Requests {
		if q := &r.centres[0].Requests[i]; q.Key == key {
			return q, nil
		}
	}
	return nil, &fault.NotFound{Kind: "request", Name: key}
}

func members() []replica.Member {
	return []replica.Member{
		{ID: "entry-a1#1", Host: "entry-a1"}, {ID: "entry-b1#1", Host: "entry-b1", Witness: true}, {ID: "entry-a2#1", Host: "entry-a2"},
	}
}

func (r *fakeRegion) unreachableEntryHosts() []string {
	return slices.DeleteFunc(slices.Clone(r.unreachable), func(s string) bool { return !strings.HasPrefix(s, "entry") })
}

func (r *fakeRegion) GroupStatuses(context.Context) (*query.GroupStatuses, error) {
	status := func(host string, role replica.Role, applied uint64) replica.Status {
		return replica.Status{Group: "dc-a", ID: host + "#1", Role: role, Term: 3, Leader: "entry-a1", Committed: 40, Applied: applied, Members: members()}
	}
	return &query.GroupStatuses{
		Processes: []peer.GroupStatusResponse{
			{Host: "entry-b1", Groups: []replica.Status{status("entry-b1", replica.RoleFollower, 39)}},
			{Host: "entry-a1", Groups: []replica.Status{status("entry-a1", replica.RoleLeader, 40)}},
			{Host: "entry-a2", Groups: []replica.Status{
				{Group: "region", ID: "entry-a2#7", Role: replica.RoleLearner, Reason: "replica entry-a2#7 is not a member of the group: an operator must add it"},
				{Group: "dc-a", ID: "entry-a2#2", Role: replica.RoleLearner, Reason: "replica entry-a2#2 is not a member of the group: an operator must add it"},
			}},
		},
		Unreachable: r.unreachableEntryHosts(),
	}, nil
}

func (r *fakeRegion) InForce(context.Context) (*query.InForce, error) {
	out := &query.InForce{Unreachable: r.unreachableEntryHosts()}
	for i, p := range r.processes {
		if slices.Contains(r.unreachable, p.Host) {
			continue
		}
		if p.Revision = r.records.Revision; i == 0 && r.laggingStatuses > 0 {
			p.Revision--
		}
		out.Processes = append(out.Processes, p)
	}
	r.laggingStatuses--
	return out, nil
}

func (r *fakeRegion) Events(_ context.Context, f event.Filter) (*query.Events, error) {
	s := event.NewStore(event.DefaultStoreCapacity)
	for _, e := range r.events {
		s.Add(e)
	}
	return &query.Events{Events: s.Query(f), Unreachable: r.unreachableEntryHosts()}, nil
}

// handler serves the region's operator API and drops the next answersToLose
// answers to commands.
func (r *fakeRegion) handler() http.Handler {
	mux := http.NewServeMux()
	command.Register(mux, r, 1<<20)
	query.Register(mux, r)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if q.Method != http.MethodGet {
			r.commandPaths = append(r.commandPaths, q.Method+" "+q.URL.EscapedPath())
			if r.answersToLose > 0 {
				r.answersToLose--
				mux.ServeHTTP(httptest.NewRecorder(), q)
				panic(http.ErrAbortHandler)
			}
		}
		mux.ServeHTTP(w, q)
	})
}
