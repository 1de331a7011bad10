// Package fleet provides simple fake hosts with an injected clock around a
// real inventory, for tests and experiments of the policies. It is not a
// cluster simulator: there is one data centre, one observer and no network.
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

// LeaseMS is the announcement lease in milliseconds.
const LeaseMS = 5000

// Host is one fake host. All times are in milliseconds of the fleet's clock.
type Host struct {
	Name string
	Rack string
	// Up is set while the target runs and announces itself.
	Up bool
	// Muted stops announcements although the target runs.
	Muted bool
	// PatientUntil is when its patient work ends.
	PatientUntil int64
	// OutMS is the time it spent in finished wave steps.
	OutMS int64

	incarnation int
	upAt        int64 // when it comes back, 0 for never
	lastHeard   int64
	steadySince int64
	drainedAt   int64
	orders      map[string]bool
}

// Reboot decides about one reboot: how long it takes, whether the host comes
// back, and after which time it fails again (0: not).
type Reboot func(h *Host) (takesMS int64, returns bool, failsAfterMS int64)

// Fleet is a data centre of fake hosts.
type Fleet struct {
	State     *inventory.State
	Catalogue *model.Catalogue
	Now       int64
	Hosts     []*Host // by name
	Reboot    Reboot
	// Violations lists every broken invariant that was seen.
	Violations []string
	// Moves counts the completed moves between pools.
	Moves int
	// Events holds all events of the inventory.
	Events []event.Event

	index  uint64
	byName map[string]*Host
	fails  map[*Host]int64
}

// New returns a fleet with hosts of one pool in racks of four, and spare hosts
// in racks of their own, all ready.
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

// Tick moves the clock by one second: hosts come back and announce
// themselves, leases expire.
func (f *Fleet) Tick() {
	f.Now += 1000
	for _, h := range f.Hosts {
		if !h.Up && h.upAt != 0 && f.Now >= h.upAt {
			h.Up, h.upAt = true, 0
			h.incarnation++
			h.steadySince = f.Now
		}
		if at, ok := f.fails[h]; ok && f.Now >= at {
			delete(f.fails, h)
			f.Down(h, 0)
		}
		if h.Up && !h.Muted {
			f.announce(h, "")
		}
		known, _ := f.State.Host(h.Name)
		if f.Now-h.lastHeard > LeaseMS && known.State != model.HostMaintenance && known.State != model.HostLost {
			f.Do(&inventory.Command{MarkLost: &inventory.MarkLost{Host: h.Name, Reason: "lease expired"}})
		}
	}
}

func (f *Fleet) announce(h *Host, pool string) {
	if f.Now-h.lastHeard > LeaseMS {
		h.steadySince = f.Now
	}
	h.lastHeard = f.Now
	known, ok := f.State.Host(h.Name)
	incarnation := fmt.Sprintf("i%d", h.incarnation)
	if ok && known.Info.Incarnation == incarnation && known.State != model.HostLost {
		return
	}
	f.Do(&inventory.Command{Register: &inventory.Register{Info: model.HostInfo{
		Name: h.Name, DataCentre: DataCentre, Rack: h.Rack, Incarnation: incarnation, Pool: pool}}})
}

// Down stops a host. It comes back as a new incarnation after the given time,
// or never for 0.
func (f *Fleet) Down(h *Host, forMS int64) {
	h.Up, h.upAt = false, 0
	if forMS > 0 {
		h.upAt = f.Now + forMS
	}
}

// Do applies a command and checks the invariants that hold at every entry.
func (f *Fleet) Do(cmd *inventory.Command) inventory.Result {
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
		f.follow(cmd, events)
	}
	return res
}

// follow lets the fake hosts and the platform act on a committed command.
func (f *Fleet) follow(cmd *inventory.Command, events []event.Event) {
	for _, e := range events {
		h := f.byName[e.Host]
		switch e.Kind {
		case inventory.HostDraining:
			h.drainedAt = f.Now
		case inventory.StepFinished:
			h.OutMS += f.Now - h.drainedAt
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
		f.Down(h, takes)
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

// Views returns what the leader knows of all hosts, by name.
func (f *Fleet) Views() []liveness.View {
	hosts := f.State.Hosts()
	out := make([]liveness.View, len(hosts))
	for i, known := range hosts {
		h := f.byName[known.Info.Name]
		out[i] = liveness.View{Host: known, LastAnnounced: hlc.Time{WallMillis: h.lastHeard},
			SteadySince: hlc.Time{WallMillis: h.steadySince}, Idle: h.PatientUntil <= f.Now}
	}
	return out
}

// Host returns a fake host by name.
func (f *Fleet) Host(name string) *Host { return f.byName[name] }

// Uniform returns a reboot that takes a time between the bounds and succeeds.
func Uniform(rng *rand.Rand, lowMS, highMS int64) Reboot {
	return func(*Host) (int64, bool, int64) { return lowMS + rng.Int64N(highMS-lowMS+1), true, 0 }
}
