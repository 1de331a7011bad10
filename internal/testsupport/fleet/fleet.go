// Package fleet provides fake hosts with a simulated clock on top of a real
// inventory, for tests and experiments with the wave and repair policies. It
// is not a cluster simulator: there is one data centre, a single inventory
// without replication, and no network.
package fleet

import (
	"fmt"
	"math/rand/v2"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/liveness"
	"agatehaven.dev/agatehaven/internal/model"
)

// DataCentre is the name of the only data centre.
const DataCentre = "a"

// LeaseMS is the announcement lease in milliseconds: a host that has not
// announced itself for longer is marked as lost, unless it is in maintenance.
const LeaseMS = 5000

// Host is one fake host. All times are in milliseconds of the fleet's clock.
type Host struct {
	Name string
	Rack string
	// Up is set while the target process runs.
	Up bool
	// Muted suppresses announcements while the target runs.
	Muted bool
	// PatientUntil is when the host's work of priority "patient" ends. The
	// host is idle from then on.
	PatientUntil int64
	// OutOfServiceMS is the total time that the host has spent out of service,
	// from draining to the end of the step, in finished wave steps.
	OutOfServiceMS int64

	incarnation   int
	returnsAt     int64 // when the host comes up again, 0 for never
	lastAnnounced int64
	steadySince   int64
	drainedAt     int64
	orders        map[string]bool
}

// Reboot decides the outcome of one reboot: how long it takes, whether the
// host comes up again, and how long after that it fails (0 for never).
type Reboot func(h *Host) (takesMS int64, returns bool, failsAfterMS int64)

// Fleet is a data centre of fake hosts and its inventory.
type Fleet struct {
	State     *inventory.State
	Catalogue *model.Catalogue
	Now       int64
	Hosts     []*Host // by name
	Reboot    Reboot
	// Violations describes every violated invariant.
	Violations []string
	// Moves counts the completed moves between pools.
	Moves int
	// Events holds all events that the inventory has emitted.
	Events []event.Event

	index  uint64
	byName map[string]*Host
	fails  map[*Host]int64 // when the host fails next
}

// New returns a fleet with the given number of hosts in one pool and of spare
// hosts in another. Racks hold up to four hosts of the same pool. All hosts
// are ready.
func New(cat *model.Catalogue, pool string, hosts int, sparePool string, spares int) *Fleet {
	f := &Fleet{State: inventory.New(), Catalogue: cat, Now: 1_000_000, byName: make(map[string]*Host), fails: make(map[*Host]int64)}
	f.Reboot = func(*Host) (int64, bool, int64) { return 240_000, true, 0 }
	for i := range hosts + spares {
		h := &Host{Name: fmt.Sprintf("h%03d", i), Rack: fmt.Sprintf("r%02d", i/4), Up: true, orders: make(map[string]bool)}
		p := pool
		if i >= hosts {
			h.Name, h.Rack, p = fmt.Sprintf("s%03d", i), fmt.Sprintf("s%02d", i/4), sparePool
		}
		f.Hosts = append(f.Hosts, h)
		f.byName[h.Name] = h
		f.announce(h, p)
	}
	return f
}

// Tick advances the clock by one second. Hosts that are due to return or fail
// do so, running hosts announce themselves, and hosts with an expired lease
// are marked as lost.
func (f *Fleet) Tick() {
	f.Now += 1000
	for _, h := range f.Hosts {
		if !h.Up && h.returnsAt != 0 && f.Now >= h.returnsAt {
			h.Up, h.returnsAt = true, 0
			h.incarnation++
			h.steadySince = f.Now
		}
		if at, ok := f.fails[h]; ok && f.Now >= at {
			delete(f.fails, h)
			f.TakeDown(h, 0)
		}
		if h.Up && !h.Muted {
			f.announce(h, "")
		}
		known, _ := f.State.Host(h.Name)
		if f.Now-h.lastAnnounced > LeaseMS && known.State != model.HostMaintenance && known.State != model.HostLost {
			f.ApplyCommand(&inventory.Command{MarkLost: &inventory.MarkLost{Host: h.Name, Reason: "lease expired"}})
		}
	}
}

func (f *Fleet) announce(h *Host, pool string) {
	if f.Now-h.lastAnnounced > LeaseMS {
		h.steadySince = f.Now
	}
	h.lastAnnounced = f.Now
	known, ok := f.State.Host(h.Name)
	incarnation := fmt.Sprintf("i%d", h.incarnation)
	if ok && known.Info.Incarnation == incarnation && known.State != model.HostLost {
		return
	}
	f.ApplyCommand(&inventory.Command{Register: &inventory.Register{Info: model.HostInfo{
		Name: h.Name, DataCentre: DataCentre, Rack: h.Rack, Incarnation: incarnation, Pool: pool}}})
}

// TakeDown stops a host. It comes up again as a new incarnation after the
// given time, or never for 0.
func (f *Fleet) TakeDown(h *Host, forMS int64) {
	h.Up, h.returnsAt = false, 0
	if forMS > 0 {
		h.returnsAt = f.Now + forMS
	}
}

// ApplyCommand applies a command to the inventory as the next log entry and checks
// the invariants that hold after every entry.
func (f *Fleet) ApplyCommand(cmd *inventory.Command) inventory.Result {
	f.index++
	before := f.available()
	res, events := f.State.Apply(inventory.ApplyContext{
		DataCentre: DataCentre, Group: DataCentre, Index: f.index, Time: f.Time(), Catalogue: f.Catalogue,
		Idle: func(host string) bool { return f.byName[host].PatientUntil <= f.Now },
	}, cmd)
	f.Events = append(f.Events, events...)
	if cmd.Drain != nil || cmd.SetAside != nil {
		f.checkFloors(before)
	}
	if res.Err == nil {
		f.checkPools()
		f.simulateEffects(cmd, events)
	}
	return res
}

// simulateEffects performs what the hosts and the platform would do after a
// committed command.
func (f *Fleet) simulateEffects(cmd *inventory.Command, events []event.Event) {
	for _, e := range events {
		h := f.byName[e.Host]
		switch e.Kind {
		case inventory.HostDraining:
			h.drainedAt = f.Now
		case inventory.StepFinished:
			h.OutOfServiceMS += f.Now - h.drainedAt
		case inventory.HostMoved:
			f.Moves++
		}
	}
	if m := cmd.Maintain; m != nil && !f.byName[m.Host].orders[m.OrderID] {
		h := f.byName[m.Host]
		h.orders[m.OrderID] = true
		takes, returns, fails := f.Reboot(h)
		if !returns {
			takes = 0
		}
		f.TakeDown(h, takes)
		if fails > 0 {
			f.fails[h] = f.Now + takes + fails
		}
	}
}

func (f *Fleet) available() map[string]int {
	out := make(map[string]int)
	for pool := range f.Catalogue.Pools {
		out[pool] = f.State.Available(pool)
	}
	return out
}

func (f *Fleet) checkFloors(before map[string]int) {
	for pool, now := range f.available() {
		if floor := f.Catalogue.Floors[pool][DataCentre]; now < before[pool] && now < floor {
			f.Violations = append(f.Violations, fmt.Sprintf("%d: pool %s has %d available hosts, floor %d", f.index, pool, now, floor))
		}
	}
}

func (f *Fleet) checkPools() {
	n := 0
	for pool := range f.Catalogue.Pools {
		n += len(f.State.InPool(pool))
	}
	if all := len(f.State.Hosts()); n != all {
		f.Violations = append(f.Violations, fmt.Sprintf("%d: %d hosts in pools, %d hosts", f.index, n, all))
	}
}

// Time returns the fleet's clock as a timestamp.
func (f *Fleet) Time() hlc.Time { return hlc.Time{WallMillis: f.Now} }

// Views returns the leader's view of all hosts, sorted by name.
func (f *Fleet) Views() []liveness.View {
	hosts := f.State.Hosts()
	out := make([]liveness.View, len(hosts))
	for i, known := range hosts {
		h := f.byName[known.Info.Name]
		out[i] = liveness.View{Host: known, LastAnnounced: hlc.Time{WallMillis: h.lastAnnounced},
			SteadySince: hlc.Time{WallMillis: h.steadySince}, Idle: h.PatientUntil <= f.Now}
	}
	return out
}

// Host returns a fake host by name.
func (f *Fleet) Host(name string) *Host { return f.byName[name] }

// UniformReboot returns a Reboot that always succeeds and takes a uniformly
// distributed time between the bounds.
func UniformReboot(rng *rand.Rand, lowMS, highMS int64) Reboot {
	return func(*Host) (int64, bool, int64) { return lowMS + rng.Int64N(highMS-lowMS+1), true, 0 }
}
