package leader_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// randomFleetSeeds is the number of random fleets of the test.
const randomFleetSeeds = 120

const (
	// busyFaults and quietFaults are how many disruptions the two kinds of runs have.
	busyFaults, quietFaults = 12, 4
	// finishTime is how long after the last disruption the checks go on.
	finishTime = 40 * time.Second
)

// Guards against work that waits, is interrupted or runs twice in some kind of fleet: with or
// without hosts to spare, with hosts and tasks of different sizes, with work that serves beside
// work that fills in, with waves over hosts that cannot be emptied, and with targets that are
// lost, silent or back at any moment.
func TestRandomFleets(t *testing.T) {
	for seed := range uint64(randomFleetSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) { (&fleetRun{w: w, r: rand.New(rand.NewPCG(seed, 3))}).run() })
		})
	}
}

// fleetRun is a run of a random fleet.
type fleetRun struct {
	w    *world
	r    *rand.Rand
	term uint64
	lead *leader.Leader
	stop func()
	jobs []string
	// hosts are the hosts of the pool "desk" at the start.
	hosts []string
	lost  int
	waves int64
	// kinds are the kinds of work of this fleet.
	kinds []func() work.Step
	// capacity holds the sizes of the hosts.
	capacity []work.Demand
	// labelled is set if some hosts have a label, and gpus if some have GPUs.
	labelled, gpus bool
	// customers, if set, hand in the jobs.
	customers *fleetCustomers
}

func (f *fleetRun) run() {
	f.labelled, f.gpus, f.w.spread = f.r.IntN(3) == 0, f.r.IntN(4) == 0, f.r.IntN(2) == 0
	f.w.labels = map[string][]string{}
	f.addHosts()
	if f.r.IntN(2) == 0 {
		f.w.propose(&work.Command{Configure: f.w.withoutStandby()})
	}
	if f.customers != nil {
		f.customers.configure()
	}
	f.term = 2
	f.lead, f.stop = f.w.lead(f.term)
	defer func() { f.stop() }()
	after(time.Second)
	f.kinds = []func() work.Step{f.short, f.wide, f.large, f.lasting, f.lasting, f.spread, f.gang}
	if f.r.IntN(2) == 0 {
		f.kinds = append(f.kinds, f.serving, f.fillIn)
		f.w.disturbance = []float64{0.1, 0.5, 1, 3}[f.r.IntN(4)]
	}
	defer f.w.watchPromises()()
	if f.r.IntN(2) == 0 {
		f.runQuiet()
	} else {
		f.runBusy()
	}
	f.w.mu.Lock()
	for _, t := range f.w.targets {
		t.heal()
	}
	f.w.disturbed("all faults end")
	f.w.promises.trafficEnded = true
	f.w.mu.Unlock()
	after(finishTime)
}

// runBusy submits jobs beside many faults.
func (f *fleetRun) runBusy() {
	for range 3 + f.r.IntN(5) {
		f.submit()
	}
	after(time.Duration(f.r.IntN(4000)) * time.Millisecond)
	for range busyFaults {
		f.disturb()
		if f.r.IntN(3) == 0 {
			f.submit()
		}
		after(time.Duration(f.r.IntN(6000)) * time.Millisecond)
	}
}

// runQuiet submits a few jobs, and has a few faults after the end of the traffic, so that most
// hosts are idle and the time between two faults is long enough for every check.
func (f *fleetRun) runQuiet() {
	f.kinds = append(f.kinds, f.large, f.large)
	for range 2 + f.r.IntN(4) {
		f.submit()
		after(time.Duration(f.r.IntN(2000)) * time.Millisecond)
	}
	f.w.mu.Lock()
	f.w.promises.trafficEnded = true
	f.w.mu.Unlock()
	for range quietFaults {
		f.disturb()
		after(time.Duration(f.between(6000, 15_000)) * time.Millisecond)
	}
}

// addHosts adds hosts of one size, or of several.
func (f *fleetRun) addHosts() {
	f.capacity = []work.Demand{{MilliCPU: 4000, MemoryMB: 8000}}
	if f.r.IntN(3) == 0 {
		f.capacity = append(f.capacity, work.Demand{MilliCPU: 2000, MemoryMB: 4000}, work.Demand{MilliCPU: 6000, MemoryMB: 6000})
	}
	add := func(pool string, n int) {
		for i := range n {
			host := "h" + pool + strconv.Itoa(i)
			f.w.sizes[host] = f.size()
			if f.labelled && f.r.IntN(2) == 0 {
				f.w.labels[host] = []string{hostLabel}
			}
			f.w.add(pool+strconv.Itoa(i), host, pool+":"+strconv.Itoa(i), pool).setDuration(0)
			if pool == "desk" {
				f.hosts = append(f.hosts, host)
			}
		}
	}
	add("desk", 3+f.r.IntN(6))
	add("cuts", 1+f.r.IntN(3))
}

// hostLabel is a label that hosts may have and steps may ask for.
const hostLabel = "ssd"

// size draws the size of a host.
func (f *fleetRun) size() work.Demand {
	size := f.capacity[f.r.IntN(len(f.capacity))]
	if f.gpus {
		size.GPUs = int64(2 * f.r.IntN(3))
	}
	return size
}

// between draws a number from low to high.
func (f *fleetRun) between(low, high int) int { return low + f.r.IntN(high-low+1) }

func (f *fleetRun) short() work.Step {
	return work.Step{Tasks: f.between(1, 4), Demand: f.demand(300, 1200), EstimateMS: int64(f.between(500, 3000))}
}

func (f *fleetRun) wide() work.Step {
	return work.Step{Tasks: f.between(4, 12), Demand: f.demand(500, 1500), EstimateMS: int64(f.between(500, 3000))}
}

func (f *fleetRun) large() work.Step {
	return work.Step{Tasks: f.between(1, 2), Demand: f.demand(2000, 3900), EstimateMS: int64(f.between(1000, 30_000))}
}

func (f *fleetRun) lasting() work.Step {
	return work.Step{Tasks: f.between(1, 4), Demand: f.demand(300, 3900), LongLived: true, MaxInterrupted: f.between(0, 2)}
}

func (f *fleetRun) gang() work.Step {
	s := f.short()
	s.Tasks, s.Gang, s.MaxPerHost, s.LongLived = f.between(2, 3), true, f.between(0, 1), f.r.IntN(2) == 0
	return s
}

func (f *fleetRun) spread() work.Step {
	s := f.lasting()
	s.Demand = f.demand(300, 1200)
	s.MaxPerHost = f.between(1, 2)
	return s
}

func (f *fleetRun) serving() work.Step {
	s := f.lasting()
	s.Demand, s.TailLatencyTargetMS, s.MaxPerHost = f.demand(300, 1500), 100, f.between(0, 1)
	return s
}

func (f *fleetRun) fillIn() work.Step {
	s := f.lasting()
	s.FillIn = true
	return s
}

// demand draws what a task needs, with little or much memory.
func (f *fleetRun) demand(low, high int) work.Demand {
	return work.Demand{MilliCPU: int64(f.between(low, high)), MemoryMB: int64(f.between(50, []int{500, 500, 5000}[f.r.IntN(3)]))}
}

// submit submits a job of one or two steps.
func (f *fleetRun) submit() {
	steps := []work.Step{f.kinds[f.r.IntN(len(f.kinds))]()}
	if !steps[0].LongLived && f.r.IntN(2) == 0 {
		second := f.large()
		second.After = []int{0}
		steps = append(steps, second)
	}
	for i := range steps {
		if f.labelled && f.r.IntN(4) == 0 {
			steps[i].Label = hostLabel
		}
		if f.gpus && f.r.IntN(4) == 0 {
			steps[i].Demand.GPUs = int64(f.between(1, 2))
		}
	}
	id := "j" + strconv.Itoa(len(f.jobs))
	f.jobs = append(f.jobs, id)
	f.w.mu.Lock()
	f.w.note("job %s: %+v", id, steps)
	f.w.mu.Unlock()
	path := []string{"/draw/", "/draw/", "/once/", "/once/", "/cut/"}[f.r.IntN(5)]
	if f.customers != nil {
		if !f.customers.submit(id, path, steps) {
			f.jobs = f.jobs[:len(f.jobs)-1]
		}
		return
	}
	f.w.propose(&work.Command{Submit: &work.Submission{ID: id, Domain: "d", Path: path, Spec: work.Spec{Steps: steps}}})
}

// disturb draws one disruption.
func (f *fleetRun) disturb() {
	w := f.w
	if f.customers != nil {
		f.customers.change()
	}
	t, host := f.target()
	switch f.r.IntN(13) {
	case 0:
		if f.lost < 2 {
			f.lost++
			f.change("%s is lost", host, t, func() { t.die(); t.silent = true })
		}
	case 1:
		f.change("%s crashes", host, t, func() { t.die() })
		after(time.Duration(f.between(500, 4000)) * time.Millisecond)
		f.restart(t, host)
	case 2:
		f.fault("%s is silent", host, t, func() { t.silent = true })
	case 3:
		f.fault("%s drops replies", host, t, func() { t.dropsReplies = true })
	case 4:
		lag := time.Duration(f.between(1000, 8000)) * time.Millisecond
		f.fault("%s carries out orders late", host, t, func() { t.lag = lag })
	case 5, 6:
		f.wave()
	case 7:
		f.stop()
		f.change("no host leads", "", nil, nil)
		after(time.Duration(f.r.IntN(2000)) * time.Millisecond)
		f.term++
		f.lead, f.stop = w.lead(f.term)
		f.change("leader changes", "", nil, nil)
	case 8:
		if len(f.jobs) > 0 {
			w.propose(&work.Command{Cancel: f.jobs[f.r.IntN(len(f.jobs))]})
		}
	case 9:
		f.leave(t, host)
	case 10:
		f.fault("%s receives no orders", host, t, func() { t.deaf = true })
	case 11:
		f.failLongLived()
	case 12:
		f.cutDataCentre()
	}
}

// cutDataCentre silences all targets of one data centre for a time.
func (f *fleetRun) cutDataCentre() {
	dataCentre := dataCentres[f.r.IntN(len(dataCentres)):][:1]
	f.change("data centre "+dataCentre+" is cut off", "", nil, nil)
	f.w.silenceDataCentre(dataCentre, time.Duration(f.between(500, 8000))*time.Millisecond)
	f.change("data centre "+dataCentre+" is back", "", nil, nil)
}

// failLongLived has long-lived tasks fail one after another, for reasons of their own, which is
// no disruption.
func (f *fleetRun) failLongLived() {
	for range f.between(1, 10) {
		f.w.mu.Lock()
		f.w.failOne(f.r)
		f.w.mu.Unlock()
		after(time.Duration(f.between(500, 4000)) * time.Millisecond)
	}
}

// failOne ends a random run of a long-lived task as failed. The world's mutex is held.
func (w *world) failOne(r *rand.Rand) {
	for _, address := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[address]
		runs := slices.SortedFunc(maps.Keys(t.runs), func(a, b work.RunRef) int {
			return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
		})
		for _, ref := range runs {
			if t.steps[ref].LongLived && r.IntN(6) == 0 {
				t.finish(ref, work.OutcomeFailed)
				return
			}
		}
	}
}

// leave has a target drain and say that it leaves. It goes on for some time, whether its message
// arrived or not, and another target starts on its host.
func (f *fleetRun) leave(t *target, host string) {
	if t == nil {
		return
	}
	f.change("%s drains", host, t, func() { t.state.Draining = true })
	after(time.Duration(f.between(1500, 4000)) * time.Millisecond)
	if f.r.IntN(4) > 0 {
		_ = f.lead.Leave(context.Background(), t.state.ID) // it ends in any case
	}
	f.change("%s says that it leaves", host, t, func() { t.quiet = f.r.IntN(2) == 0 })
	after(time.Duration(f.r.IntN(6000)) * time.Millisecond)
	f.change("%s has ended", host, t, t.die)
	after(time.Duration(f.between(100, 3000)) * time.Millisecond)
	f.restart(t, host)
}

// target draws a target of the pool that is up.
func (f *fleetRun) target() (t *target, host string) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	var up []*target
	for _, address := range slices.Sorted(maps.Keys(f.w.targets)) {
		if t := f.w.targets[address]; !t.dead && t.state.Pool == "desk" {
			up = append(up, t)
		}
	}
	if len(up) == 0 {
		return nil, ""
	}
	t = up[f.r.IntN(len(up))]
	return t, t.state.Host
}

// change makes a disruption of a target, nil for one of the system.
func (f *fleetRun) change(format, host string, t *target, do func()) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if host == "" && t == nil {
		f.w.disturbed("%s", format)
		return
	}
	do()
	f.w.disturbed(format, host)
}

// fault gives a target a fault for a time.
func (f *fleetRun) fault(format, host string, t *target, do func()) {
	if t == nil {
		return
	}
	f.change(format, host, t, do)
	after(time.Duration(f.between(500, 8000)) * time.Millisecond)
	f.change("%s is sound again", host, t, func() { t.heal() })
}

// restart starts a target on a host again, under the same id or another one and at the same
// address or another one, if the host is not down for another reason.
func (f *fleetRun) restart(t *target, host string) {
	if t == nil {
		return
	}
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if f.w.inMaintenance[host] || f.w.parked[host] != "" || f.w.targets[t.state.Address] != t {
		return
	}
	id := t.state.ID
	if f.r.IntN(2) == 0 {
		f.w.incarnations++
		id = "n" + strconv.Itoa(f.w.incarnations)
	}
	address := t.state.Address
	if f.r.IntN(3) == 0 {
		delete(f.w.targets, address)
		f.w.incarnations++
		address = "desk:n" + strconv.Itoa(f.w.incarnations)
	}
	f.w.boot(id, host, address, t.state.Pool).duration = 0
	f.w.disturbed("%s is back as %s at %s", host, id, address)
}

// wave starts the maintenance of some hosts, whether they can be emptied or not.
func (f *fleetRun) wave() {
	f.waves++
	hosts := slices.Clone(f.hosts)
	f.r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	wave := &work.Wave{ID: f.waves, Hosts: hosts[:f.between(1, len(hosts))], MaxDown: f.between(1, 2), DurationMS: int64(f.between(5000, 30_000))}
	f.w.mu.Lock()
	f.w.note("WAVE %s", fmt.Sprintf("%+v", wave))
	f.w.mu.Unlock()
	f.w.propose(&work.Command{Wave: wave})
}
