package experiment

import (
	"container/heap"
	"fmt"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

// step is the interval between plans.
const step = 50 * time.Millisecond

// Variant is a policy under comparison.
type Variant struct {
	Name   string
	Policy placement.Policy
	// MoveSpares moves idle spare hosts to a pool whose oldest request has
	// waited for moveAfter, and back after idleFor, each move taking moveTime.
	MoveSpares bool
}

// Settings of the moving of hosts that lending is compared with.
const (
	moveAfter = time.Second
	moveTime  = 3 * time.Second
	idleFor   = 10 * time.Second
)

// Result is what a variant costs and gives.
type Result struct {
	// Buffer is the idle slot-seconds held back: slots that stayed idle while
	// a request waited in the same data centre.
	Buffer float64
	// Moves counts changes of a host's pool, Lent starts on lent hosts.
	Moves, Lent int
	// InTime is the share of requests in time, by class.
	InTime map[model.Priority]float64
	// All is the share of all requests in time.
	All float64
	// UrgentP99 is the 99th percentile of the time from claim to start.
	UrgentP99 time.Duration
	// Longest is the longest time from claim to start of a patient request.
	Longest time.Duration
	// Lost counts requests that did not finish as done.
	Lost int
	// Refused counts dispatch decisions that the ledger skipped on apply.
	Refused int
}

// Run replays the demand under one variant.
func Run(d *Demand, v Variant) (Result, error) {
	r := &Result{InTime: map[model.Priority]float64{}}
	t := &tally{classes: map[model.Priority][2]int{}}
	for i := range dataCentres {
		if err := newCentre(i, d, v, r, t).run(); err != nil {
			return Result{}, err
		}
	}
	total := [2]int{}
	for p, n := range t.classes {
		r.InTime[p] = float64(n[0]) / float64(n[1])
		total[0] += n[0]
		total[1] += n[1]
	}
	r.All = float64(total[0]) / float64(total[1])
	r.Lost = len(d.arrivals) - t.done
	sort.Slice(t.urgent, func(i, j int) bool { return t.urgent[i] < t.urgent[j] })
	r.UrgentP99 = t.urgent[len(t.urgent)*99/100]
	return *r, nil
}

type tally struct {
	classes map[model.Priority][2]int // in time, all
	urgent  []time.Duration
	done    int
}

// running is a request on a fake executor.
type running struct {
	ends    time.Duration
	request *arrival
	key     string
	started time.Duration
}

type executors []running

// Len implements heap.Interface.
func (e executors) Len() int { return len(e) }

// Less implements heap.Interface.
func (e executors) Less(i, j int) bool { return e[i].ends < e[j].ends }

// Swap implements heap.Interface.
func (e executors) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *executors) Push(x any) { *e = append(*e, x.(running)) }

// Pop implements heap.Interface.
func (e *executors) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// centre is one data centre with its own ledger, as in production.
type centre struct {
	number    int
	demand    *Demand
	variant   Variant
	result    *Result
	tally     *tally
	ledger    *ledger.State
	learner   *estimate.Learner
	catalogue *model.Catalogue
	hosts     map[string]*model.Host
	names     []string
	requests  map[string]*arrival
	executors executors
	moving    map[string]time.Duration // arrival in the new pool
	idleSince map[string]time.Duration
	now       time.Duration
	index     uint64
}

func newCentre(number int, d *Demand, v Variant, r *Result, t *tally) *centre {
	c := &centre{
		number: number, demand: d, variant: v, result: r, tally: t,
		ledger: ledger.New(ledger.DefaultLimits()), learner: estimate.New(), catalogue: catalogue(),
		hosts: hostsOf(number), requests: map[string]*arrival{},
		moving: map[string]time.Duration{}, idleSince: map[string]time.Duration{},
	}
	for name := range c.hosts {
		c.names = append(c.names, name)
	}
	sort.Strings(c.names)
	return c
}

// Host implements ledger.Hosts.
func (c *centre) Host(name string) (model.Host, bool) {
	h := c.hosts[name]
	if h == nil {
		return model.Host{}, false
	}
	return *h, true
}

func (c *centre) time() hlc.Time { return hlc.Time{WallMillis: 1 + c.now.Milliseconds()} }

func (c *centre) apply(cmd ledger.Command) ledger.Result {
	c.index++
	res, _ := c.ledger.Apply(ledger.Context{
		DataCentre: "dc", Group: "dc", Index: c.index, Time: c.time(), Catalogue: c.catalogue, Hosts: c,
	}, &cmd)
	return res
}

// run replays the demand until nothing is open.
func (c *centre) run() error {
	next, open := 0, 0
	for ; open > 0 || next < len(c.demand.arrivals); c.now += step {
		for ; next < len(c.demand.arrivals) && c.demand.arrivals[next].at <= c.now; next++ {
			a := &c.demand.arrivals[next]
			if a.dataCentre != c.number {
				continue
			}
			key := fmt.Sprintf("%d", next)
			c.requests[key] = a
			res := c.apply(ledger.Command{Claim: &ledger.Claim{Key: key, Kind: kindName(a.pool, a.class)}})
			if res.Err != nil {
				return res.Err
			}
			open++
		}
		open -= c.finish()
		if c.variant.MoveSpares {
			c.move()
		}
		c.plan()
	}
	return nil
}

// finish reports the runs that have ended and returns their number.
func (c *centre) finish() int {
	n := 0
	for len(c.executors) > 0 && c.executors[0].ends <= c.now {
		e := heap.Pop(&c.executors).(running)
		a := e.request
		c.apply(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{
			{Key: e.key, Attempt: 1, State: model.AttemptSucceeded, RunMS: a.run.Milliseconds()},
		}}})
		c.learner.Finished(kindName(a.pool, a.class), e.key, 1, a.run)
		n++
		r, _ := c.ledger.Get(e.key)
		if r.Outcome == model.OutcomeDone && r.Succeeded {
			c.tally.done++
		}
		cl := classes[a.class]
		latency := e.ends - a.at
		if cl.priority == model.Urgent {
			latency = e.started - a.at
			c.tally.urgent = append(c.tally.urgent, latency)
		}
		if cl.priority == model.Patient {
			c.result.Longest = max(c.result.Longest, e.started-a.at)
		}
		count := c.tally.classes[cl.priority]
		count[1]++
		if latency <= cl.limit {
			count[0]++
		}
		c.tally.classes[cl.priority] = count
	}
	return n
}

// input translates the state into the input of placement.
func (c *centre) input() placement.Input {
	in := placement.Input{Pools: map[string]placement.Pool{sparePool: {Spare: true}}}
	for _, name := range c.names {
		h := c.hosts[name]
		cpu, memory, accelerators := c.ledger.Reserved(name)
		in.Hosts = append(in.Hosts, placement.Host{
			Name: name, Pool: h.Pool, Rack: h.Info.Rack, Available: h.State == model.HostReady,
			Slots: h.Info.Slots, CPUMillis: h.Info.CPUMillis, MemoryMB: h.Info.MemoryMB,
			UsedSlots: c.ledger.Running(name), UsedCPUMillis: cpu, UsedMemoryMB: memory, UsedAccelerators: accelerators,
		})
	}
	runTimes := map[string]time.Duration{}
	for name, kind := range c.catalogue.JobKinds {
		declared := estimate.Declared{Run: time.Duration(kind.RunTimeMS) * time.Millisecond}
		runTimes[name] = c.learner.Estimate(name, declared).RunP95
	}
	count := map[string]map[model.Priority]int{}
	for _, svc := range services {
		count[svc.name] = map[model.Priority]int{}
		in.Pools[svc.name] = placement.Pool{ServesUrgent: true, Running: count[svc.name]}
		for _, r := range c.ledger.Queued(svc.name, 10_000) {
			in.Queued = append(in.Queued, placement.Request{
				Key: r.Key, Pool: r.Pool, Priority: r.Priority, Waiting: c.time().Sub(r.Claimed), Run: runTimes[r.Kind],
				CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB,
			})
		}
	}
	for _, e := range c.executors {
		count[e.request.pool][classes[e.request.class].priority]++
	}
	return in
}

// plan places requests and starts them on the fake executors.
func (c *centre) plan() {
	queued := 0
	for _, svc := range services {
		queued += c.ledger.QueuedCount(svc.name)
	}
	if queued == 0 {
		return
	}
	in := c.input()
	plan := c.variant.Policy.Plan(in)
	items := make([]ledger.DispatchItem, len(plan.Decisions))
	for i, d := range plan.Decisions {
		items[i] = ledger.DispatchItem{Key: d.Key, Attempt: 1, Host: d.Host, Owner: "entry", LentBy: d.LentBy, Reason: d.Reason}
	}
	started := c.apply(ledger.Command{Dispatch: &ledger.Dispatch{Items: items}}).Dispatched
	for _, item := range started {
		a := c.requests[item.Key]
		heap.Push(&c.executors, running{ends: c.now + a.run, request: a, key: item.Key, started: c.now})
		if item.LentBy != "" {
			c.result.Lent++
		}
	}
	c.result.Refused += len(items) - len(started)
	idle := 0
	for _, name := range c.names {
		if c.hosts[name].State == model.HostReady {
			idle += slotsPerHost - c.ledger.Running(name)
		}
	}
	c.result.Buffer += float64(min(idle, queued-len(started))) * step.Seconds()
}

// move is the alternative to lending: it changes the pool of idle spare hosts.
func (c *centre) move() {
	for _, name := range c.names {
		h := c.hosts[name]
		if at, ok := c.moving[name]; ok && c.now >= at {
			delete(c.moving, name)
			h.State = model.HostReady
		}
		if c.ledger.Running(name) > 0 || h.Pool == sparePool {
			c.idleSince[name] = c.now
		}
		lentHost := name[:len(sparePool)] == sparePool
		if lentHost && h.State == model.HostReady && c.now-c.idleSince[name] >= idleFor {
			c.moveTo(h, sparePool)
		}
	}
	for _, svc := range services {
		waits := false
		for _, cl := range classes {
			// Without deadlines the first request of a class is its oldest one.
			first := c.ledger.QueuedClass(svc.name, cl.priority, 1)
			waits = waits || len(first) > 0 && c.time().Sub(first[0].Claimed) >= moveAfter
		}
		if !waits {
			continue
		}
		for _, name := range c.names {
			if h := c.hosts[name]; h.Pool == sparePool && h.State == model.HostReady && c.ledger.Running(name) == 0 {
				c.moveTo(h, svc.name)
				break
			}
		}
	}
}

func (c *centre) moveTo(h *model.Host, pool string) {
	h.Pool, h.State = pool, model.HostMaintenance
	c.moving[h.Info.Name] = c.now + moveTime
	c.idleSince[h.Info.Name] = c.now + moveTime
	c.result.Moves++
}
