package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

// benchHosts is the number of hosts expected in two years in one of nine data
// centres.
const benchHosts = 622

// leadingGroup is a group whose only replica is this leader.
type leadingGroup struct {
	stateMachine *datacentre.StateMachine
	index        uint64
}

func (l *leadingGroup) Status() replica.Status {
	return replica.Status{Role: replica.RoleLeader, Term: 1}
}

func (l *leadingGroup) Propose(_ context.Context, data []byte) (any, error) {
	l.index++
	return l.stateMachine.Apply(replica.Entry{Index: l.index, Term: 1, Time: hlc.Time{WallMillis: int64(l.index)}, Data: data}), nil
}

// benchController returns a controller with hosts and queued requests that
// find no free slot.
func benchController(b *testing.B, queued int) *Controller {
	records := &model.Records{Revision: 1, Items: []model.Record{
		{Schema: 2, Kind: model.KindPool, Name: "proofs", Spec: []byte(`{"min_available":1,"homes":["dc-a"]}`)},
		{Schema: 2, Kind: model.KindPool, Name: "other", Spec: []byte(`{"min_available":1,"homes":["dc-a"]}`)},
		{Schema: 1, Kind: model.KindJobKind, Name: "proof", Spec: []byte(`{"pool":"proofs","priority":"urgent","idempotent":true,
			"cpu_millis":1000,"memory_mb":100,"run_time_ms":100,"stop_limit_ms":100,"max_attempts":3}`)},
	}}
	stateMachine := datacentre.New("dc-a", nil)
	group := &leadingGroup{stateMachine: stateMachine}
	c := New(Config{
		DataCentre: "dc-a", Host: "a1", Group: group, StateMachine: stateMachine, Clock: clock.NewManual(time.UnixMilli(1_000_000)), Timing: DefaultTiming(), Policy: DefaultPolicy(),
	})
	commands := []datacentre.Command{{Adopt: records}}
	for i := range benchHosts {
		commands = append(commands, datacentre.Command{Inventory: &inventory.Command{Register: &inventory.Register{
			Info: model.HostInfo{
				Name: fmt.Sprintf("h%03d", i), DataCentre: "dc-a", Rack: fmt.Sprintf("r%d", i/4), Address: "127.0.0.1:1",
				Incarnation: "i", CPUMillis: 32_000, MemoryMB: 64_000, Slots: 8, Connections: 64, Pool: "other",
			},
		}}})
	}
	for i := range queued {
		commands = append(commands, datacentre.Command{Ledger: &ledger.Command{Claim: &ledger.Claim{
			Key: fmt.Sprintf("k%d", i), Kind: "proof", Team: "t", Deadline: hlc.Time{WallMillis: 2_000_000},
		}}})
	}
	for _, cmd := range commands {
		data, err := codec.Marshal(cmd)
		if err != nil {
			b.Fatal(err)
		}
		result, _ := group.Propose(context.Background(), data)
		if err := result.(datacentre.Result).Err; err != nil {
			b.Fatal(err)
		}
	}
	if !c.leading() || len(c.hosts()) != benchHosts {
		b.Fatal("the controller does not lead its hosts")
	}
	return c
}

// The benchmarks measure loops that run after every applied entry or ten times
// a second.

func BenchmarkRunWavesIdle(b *testing.B) {
	c := benchController(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.runWaves(context.Background())
	}
}

func BenchmarkPlaceWaiting(b *testing.B) {
	c := benchController(b, 100)
	b.ReportAllocs()
	for b.Loop() {
		c.place(context.Background())
	}
}

func BenchmarkExpireLeases(b *testing.B) {
	c := benchController(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		c.expireLeases(context.Background())
	}
}
