package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/control"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/jumpclock"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// group applies proposals at once, without replication.
type group struct {
	stateMachine *datacentre.StateMachine
	clock        *hlc.Clock
	role         replica.Role
	term         uint64
	index        uint64
}

func (g *group) Propose(_ context.Context, data []byte) (any, error) {
	if g.role != replica.RoleLeader {
		return nil, &fault.NotLeader{Group: "dc-a"}
	}
	g.index++
	return g.stateMachine.Apply(replica.Entry{Index: g.index, Term: g.term, Time: g.clock.Now(), Data: data}), nil
}

func (g *group) Status() replica.Status {
	return replica.Status{Group: "dc-a", Role: g.role, Term: g.term}
}

// records serves a fixed set of records.
type records struct{ current *model.Records }

func (r *records) PullRecords(_ context.Context, q *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error) {
	have := model.Records{Revision: q.Revision, FloorRevision: q.FloorRevision}
	if r.current == nil || !r.current.Newer(&have) {
		return &peer.PullRecordsResponse{}, nil
	}
	return &peer.PullRecordsResponse{Records: r.current}, nil
}

func (r *records) AckAdoption(context.Context, *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error) {
	return &peer.AckAdoptionResponse{}, nil
}

// resolver returns what the function answer gives, or no result without one.
type resolver struct {
	mu     sync.Mutex // the controller resolves attempts concurrently
	answer func(a ledger.OpenAttempt, canRevoke bool) (model.AttemptReport, bool)
}

func (r *resolver) Resolve(_ context.Context, a ledger.OpenAttempt, canRevoke bool) (model.AttemptReport, bool) {
	if r.answer == nil {
		return model.AttemptReport{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer(a, canRevoke)
}

// platform records reboot orders.
type platform struct{ orders []string }

func (p *platform) Reboot(_ context.Context, _, order string) error {
	p.orders = append(p.orders, order)
	return nil
}

// harness is one data centre with a controller, fake targets and a manual clock.
type harness struct {
	clock         *clock.Manual
	wall          *jumpclock.Clock // follows clock
	group         *group
	stateMachine  *datacentre.StateMachine
	controller    *control.Controller
	records       *records
	resolver      *resolver
	platform      *platform
	hosts         map[string]*model.HostInfo
	running       map[string][]peer.AttemptRef
	silent        map[string]bool
	knownAttempts []peer.AttemptRef
	ownerStopped  bool
	limits        ledger.Limits
	policy        control.Policy
	pulled        []model.Assignment // by the last pull
}

func newHarness(hosts int, recs ...model.Record) *harness {
	source := clock.NewManual(time.UnixMilli(1_000_000))
	env := &harness{
		clock: source, wall: jumpclock.New(source), hosts: map[string]*model.HostInfo{}, running: map[string][]peer.AttemptRef{}, silent: map[string]bool{},
		resolver: &resolver{}, platform: &platform{}, limits: ledger.DefaultLimits(),
		policy: control.DefaultPolicy(),
	}
	env.stateMachine = datacentre.New("dc-a", nil)
	env.group = &group{stateMachine: env.stateMachine, clock: hlc.NewClock(env.wall), role: replica.RoleLeader, term: 1}
	env.records = &records{current: &model.Records{
		Revision: 1, FloorRevision: 1, Items: recs, Floors: map[string]map[string]int{"work": {"dc-a": 2}},
	}}
	env.restart()
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i+1)
		env.hosts[name] = &model.HostInfo{
			Name: name, DataCentre: "dc-a", Rack: fmt.Sprintf("rack-%d", i%3), Address: "127.0.0.1:1",
			Incarnation: "1", CPUMillis: 32_000, MemoryMB: 64_000, Slots: 8, Connections: 64, Pool: "work",
		}
	}
	env.controller.Step(context.Background())
	env.tick()
	return env
}

// restart replaces the controller by a new one with the current limits and
// policy.
func (env *harness) restart() {
	env.controller = control.New(control.Config{
		DataCentre: "dc-a", Host: "entry-a1", Group: env.group, StateMachine: env.stateMachine, Records: env.records,
		Resolver: env.resolver, Platform: env.platform, Clock: env.wall, Log: zerolog.Nop(),
		Timing: control.DefaultTiming(), Policy: env.policy, Limits: env.limits,
	})
}

func record(kind model.RecordKind, name string, spec any) model.Record {
	data, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	return model.Record{Schema: 2, Kind: kind, Name: name, Spec: data}
}

func sampleRecords() []model.Record {
	return []model.Record{
		record(model.KindPool, "work", model.Pool{MinAvailable: 2, Homes: []string{"dc-a"}, Floors: map[string]int{"dc-a": 2}}),
		record(model.KindJobKind, "render", model.JobKind{Pool: "work", Priority: model.Normal, Idempotent: true, MaxAttempts: 3, CPUMillis: 1000, MemoryMB: 512, RunTimeMS: 100}),
		record(model.KindJobKind, "order", model.JobKind{Pool: "work", Priority: model.Normal, MaxAttempts: 1, CPUMillis: 1000, MemoryMB: 512, RunTimeMS: 100, StopLimitMS: 7000}),
	}
}

// tick lets 500 ms pass with one round of announcements, pulls and decisions.
func (env *harness) tick() {
	GinkgoHelper()
	env.clock.Advance(500 * time.Millisecond)
	for name, info := range env.hosts {
		if env.silent[name] {
			continue
		}
		_, err := env.controller.Announce(context.Background(), &peer.AnnounceRequest{Info: *info, Running: env.running[name]})
		Expect(err).NotTo(HaveOccurred())
	}
	env.pull()
	env.controller.Step(context.Background())
}

// runFor ticks until d has passed.
func (env *harness) runFor(d time.Duration) {
	GinkgoHelper()
	for end := env.clock.Now().Add(d); env.clock.Now().Before(end); {
		env.tick()
	}
}

// pull renews the owner's lease and returns its new assignments.
func (env *harness) pull() []model.Assignment {
	GinkgoHelper()
	if env.ownerStopped {
		return nil
	}
	response, err := env.controller.PullAssignments(context.Background(), &peer.PullAssignmentsRequest{
		DataCentre: "dc-a", Owner: "entry-a1", Incarnation: "p1", Known: env.knownAttempts,
	})
	Expect(err).NotTo(HaveOccurred())
	env.pulled = response.Assignments
	return response.Assignments
}

func (env *harness) submit(key, kind string) {
	GinkgoHelper()
	_, err := env.controller.Submit(context.Background(), &peer.SubmitRequest{
		Key: key, Kind: kind, Team: "team", Deadline: hlc.Time{WallMillis: env.clock.Now().Add(time.Hour).UnixMilli()}, Entry: "entry-a1",
	})
	Expect(err).NotTo(HaveOccurred())
	env.controller.Step(context.Background())
}

func (env *harness) report(r model.AttemptReport) {
	GinkgoHelper()
	_, err := env.controller.ReportAttempts(context.Background(), &peer.ReportAttemptsRequest{Reports: []model.AttemptReport{r}})
	Expect(err).NotTo(HaveOccurred())
}

func (env *harness) request(key string) *model.Request {
	GinkgoHelper()
	r, ok := env.stateMachine.Request(key)
	Expect(ok).To(BeTrue(), key)
	return r
}

func (env *harness) host(name string) model.Host {
	var h model.Host
	env.stateMachine.View(func(v datacentre.View) { h, _ = v.Hosts.Host(name) })
	return h
}

func (env *harness) heldSlots(name string) int {
	n := 0
	env.stateMachine.View(func(v datacentre.View) { n = v.Requests.HeldSlots(name) })
	return n
}
