// Package experiment compares placement policies. It runs a generated demand
// through the production ledger, estimator and placement with simple fake
// targets, so that the figures come from the code that decides in production.
// It is not a cluster simulator: the network is a fixed delay between data
// centres, and hosts fail only where a variant asks for it.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// The fleet: five services of 8 to 12 hosts with 8 slots each over three
// data centres, and a spare pool of 8 hosts.
const (
	slotsPerHost = 8
	hostsPerRack = 4
	sparePool    = "spare"
	spareHosts   = 8
	dataCentres  = 3
)

var services = []struct {
	name  string
	hosts int
}{{"proof", 8}, {"cutting", 9}, {"plotter", 10}, {"archive", 11}, {"draw", 12}}

// class is the requests of one priority in a service's demand.
type class struct {
	priority model.Priority
	share    float64
	// mean is the mean run time; declared is what the job kind declares.
	mean, declared time.Duration
	// limit is the longest start latency (urgent) or response time (others)
	// that counts as in time.
	limit time.Duration
	// halfSlots is the size in variants with unequal sizes; 2 is the share of a
	// host's CPU and memory that belongs to one slot.
	halfSlots int
}

var classes = []class{
	{model.Urgent, 0.3, 500 * time.Millisecond, time.Second, 1600 * time.Millisecond, 1},
	{model.Normal, 0.55, 2 * time.Second, 4 * time.Second, 10 * time.Second, 2},
	{model.Patient, 0.15, 20 * time.Second, 5 * time.Second, 2 * time.Minute, 4},
}

// Demand is the generated demand of all services. Every variant runs the same
// one.
type Demand struct {
	arrivals []arrival // by time
	length   time.Duration
}

type arrival struct {
	at         time.Duration
	dataCentre int
	pool       string
	class      int
	run        time.Duration
}

// Requests returns the number of requests.
func (d *Demand) Requests() int { return len(d.arrivals) }

// DemandSettings configure the generated demand.
type DemandSettings struct {
	Seed uint64
	// Cycles is the number of bursts of each service.
	Cycles int
	// Burst is the length of one burst.
	Burst time.Duration
	// Peak is the load of a burst as a multiple of the pool's slots.
	Peak float64
	// HeavyShare is the share of the demand that arrives in one data centre; the
	// others share the rest evenly. 0 spreads the demand evenly over all.
	HeavyShare float64
	// Rotate gives the heavy share to another data centre in each cycle;
	// otherwise the first one always has it, or the last with HeavyLast.
	Rotate, HeavyLast bool
}

// heavy returns the data centre that has the heavy share at a time.
func (s DemandSettings) heavy(at time.Duration) int {
	switch {
	case s.HeavyLast:
		return dataCentres - 1
	case !s.Rotate:
		return 0
	}
	return int(at/(s.Burst*time.Duration(len(services)))) % dataCentres
}

// burstFactor is the demand of a burst and quietFactor the demand in between,
// as multiples of the mean.
const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// GenerateDemand generates the requests. The services take turns: each has
// burstFactor times its mean rate during its burst and quietFactor times its
// mean rate otherwise.
func GenerateDemand(s DemandSettings) *Demand {
	rng := rand.New(rand.NewPCG(s.Seed, 0))
	var perRequest time.Duration // mean slot time of a request
	for _, c := range classes {
		perRequest += time.Duration(c.share * float64(c.mean))
	}
	turn := s.Burst * time.Duration(len(services))
	d := &Demand{length: turn * time.Duration(s.Cycles)}
	for i, svc := range services {
		burstRate := s.Peak * float64(svc.hosts*slotsPerHost) / perRequest.Seconds()
		for at := time.Duration(0); ; {
			rate := burstRate / burstFactor * quietFactor
			inTurn := at % turn
			boundary := at - inTurn + s.Burst*time.Duration(i)
			switch {
			case inTurn >= s.Burst*time.Duration(i+1):
				boundary = at - inTurn + turn + s.Burst*time.Duration(i)
			case inTurn >= s.Burst*time.Duration(i):
				rate = burstRate
				boundary = at - inTurn + s.Burst*time.Duration(i+1)
			}
			// The exponential distribution is memoryless, so a gap that crosses
			// a change of rate is drawn again from the boundary.
			gap := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at+gap >= boundary {
				at = boundary
			} else {
				at += gap
				d.arrivals = append(d.arrivals, drawArrival(rng, at, svc.name, s))
			}
			if at >= d.length {
				break
			}
		}
	}
	sort.SliceStable(d.arrivals, func(i, j int) bool { return d.arrivals[i].at < d.arrivals[j].at })
	return d
}

// drawArrival draws the class, place and run time of a request. Run times are
// log-normal with the mean of their class and a long tail.
func drawArrival(rng *rand.Rand, at time.Duration, pool string, s DemandSettings) arrival {
	a := arrival{at: at, pool: pool, dataCentre: rng.IntN(dataCentres)}
	if s.HeavyShare > 0 {
		a.dataCentre = s.heavy(at)
		if rng.Float64() >= s.HeavyShare {
			a.dataCentre = (a.dataCentre + 1 + rng.IntN(dataCentres-1)) % dataCentres
		}
	}
	u := rng.Float64()
	for u >= classes[a.class].share && a.class < len(classes)-1 {
		u -= classes[a.class].share
		a.class++
	}
	const sigma = 0.5
	factor := math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
	a.run = max(time.Duration(float64(classes[a.class].mean)*factor), 10*time.Millisecond)
	return a
}

func kindName(pool string, c int) string { return fmt.Sprintf("%s_%s", pool, classes[c].priority) }

// The share of a host's CPU and memory that belongs to one slot.
const (
	slotCPUMillis = 4000
	slotMemoryMB  = 8000
)

// sizeOf returns the actual peak usage of a run of a class.
func (v Variant) sizeOf(c int) (cpuMillis, memoryMB int) {
	if !v.UnequalSizes {
		return slotCPUMillis, slotMemoryMB
	}
	return slotCPUMillis * classes[c].halfSlots / 2, slotMemoryMB * classes[c].halfSlots / 2
}

// catalogue declares one job kind for each service and class.
func catalogue(v Variant) *model.Catalogue {
	cat := &model.Catalogue{
		Pools:    map[string]*model.Pool{sparePool: {Name: sparePool, Spare: true}},
		JobKinds: map[string]*model.JobKind{},
	}
	for _, svc := range services {
		cat.Pools[svc.name] = &model.Pool{Name: svc.name}
		for i, c := range classes {
			cpu, memory := v.sizeOf(i)
			if v.DeclaredSize > 0 {
				cpu, memory = int(float64(cpu)*v.DeclaredSize), int(float64(memory)*v.DeclaredSize)
			}
			run := c.declared
			if v.DeclaredRun > 0 {
				run = time.Duration(float64(c.mean) * v.DeclaredRun)
			}
			cat.JobKinds[kindName(svc.name, i)] = &model.JobKind{
				Pool: svc.name, Priority: c.priority, CPUMillis: cpu, MemoryMB: memory,
				RunTimeMS: int(run.Milliseconds()), Idempotent: v.LoseHosts && !v.AtMostOnce, MaxAttempts: maxAttempts,
			}
		}
	}
	return cat
}

// hostsOf returns the hosts of one data centre. The hosts of each pool are
// spread evenly over the data centres.
func hostsOf(dataCentre int) map[string]*model.Host {
	hosts := map[string]*model.Host{}
	add := func(pool string, n int) {
		for i := range n {
			if i%dataCentres != dataCentre {
				continue
			}
			name := fmt.Sprintf("%s-%02d", pool, i)
			hosts[name] = &model.Host{
				Info: model.HostInfo{
					Name: name, Rack: fmt.Sprintf("rack%d", i/dataCentres/hostsPerRack), Incarnation: "1",
					Slots: slotsPerHost, CPUMillis: 32000, MemoryMB: 64000,
				},
				Pool: pool, State: model.HostReady,
			}
		}
	}
	for _, svc := range services {
		add(svc.name, svc.hosts)
	}
	add(sparePool, spareHosts)
	return hosts
}
