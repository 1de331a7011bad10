package experiment

import (
	"container/heap"
	"slices"
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
	// waited for moveAfter, and back once idle for idleFor. Each move takes
	// moveTime.
	MoveSpares bool
	// Spill sends waiting requests to other data centres, based on their free
	// slots SpillLag ago; nil sends none.
	Spill    *SpillPolicy
	SpillLag time.Duration
	// SteerOnly applies the spill policy before a request is claimed instead:
	// the chosen data centre becomes its home, and a claimed request never
	// leaves.
	SteerOnly bool
	// LoseHosts fails every third host of the first data centre after a third of
	// the demand. The job kinds are idempotent, so that lost runs are repeated,
	// unless AtMostOnce is set: then the outcome of their requests is unknown.
	LoseHosts, AtMostOnce bool
	// DeclaredRun and DeclaredSize are the declared run times and sizes as
	// multiples of the real means; 0 declares the values of the classes.
	DeclaredRun, DeclaredSize float64
	// UnequalSizes gives the classes different real sizes.
	UnequalSizes bool
	// IgnoreRuns plans with the declared values instead of the estimates from
	// finished runs.
	IgnoreRuns bool
}

// maxAttempts is high enough to repeat lost runs.
const maxAttempts = 5

// Settings for moving spare hosts between pools, the alternative to lending.
const (
	moveAfter = time.Second
	moveTime  = 3 * time.Second
	idleFor   = 10 * time.Second
)

// Result holds the figures of one variant.
type Result struct {
	// Buffer is the slot-seconds that slots stayed idle while a request waited
	// in the same data centre.
	Buffer float64
	// RegionBuffer is the same for requests that waited in any data centre.
	RegionBuffer float64
	// Moves counts changes of a host's pool, Lent starts on lent hosts.
	Moves, Lent int
	// Spilled counts requests sent to another data centre, SpillRefused those
	// that were sent back.
	Spilled, SpillRefused int
	// InTime is the share of requests in time, by class.
	InTime map[model.Priority]float64
	// All is the share of all requests in time.
	All float64
	// UrgentP99 is the 99th percentile of the time from claim to start of
	// urgent requests, WaitP50 and WaitP99 are percentiles of all requests.
	UrgentP99, WaitP50, WaitP99 time.Duration
	// Longest is the longest time from claim to start of a patient request.
	Longest time.Duration
	// Lost counts requests that finished neither as done nor as unknown.
	Lost int
	// Unknown counts requests that may run at most once and whose run was
	// lost.
	Unknown int
	// LostRuns counts runs lost with their host, LostSpilled those of them that
	// were spilled from another data centre.
	LostRuns, LostSpilled int
	// Overcommitted is the time, summed over hosts, during which the runs on a
	// host together used more memory than it has.
	Overcommitted time.Duration
	// Refused counts dispatch decisions that the ledger rejected.
	Refused int
}

// Run replays the demand under one variant. It returns a *Violation if an
// invariant does not hold after a step.
func Run(d *Demand, v Variant) (Result, error) {
	r := &Result{InTime: map[model.Priority]float64{}}
	t := &tally{classes: map[model.Priority][2]int{}}
	reg := newRegion(d, v, r, t)
	if err := reg.run(); err != nil {
		return Result{}, err
	}
	total := [2]int{}
	for p, n := range t.classes {
		r.InTime[p] = float64(n[0]) / float64(n[1])
		total[0] += n[0]
		total[1] += n[1]
	}
	r.All = float64(total[0]) / float64(total[1])
	r.Lost = len(d.arrivals) - t.done - r.Unknown
	r.UrgentP99 = percentile(t.urgent, 99)
	r.WaitP50, r.WaitP99 = percentile(t.waits, 50), percentile(t.waits, 99)
	return *r, nil
}

func percentile(values []time.Duration, percent int) time.Duration {
	slices.Sort(values)
	return values[len(values)*percent/100]
}

type tally struct {
	classes map[model.Priority][2]int // in time, all
	urgent  []time.Duration           // from claim to start
	waits   []time.Duration
	done    int
}

// add counts a finished request.
func (t *tally) add(r *Result, a *arrival, started, answered time.Duration) {
	cl := classes[a.class]
	wait, latency := started-a.at, answered-a.at
	t.waits = append(t.waits, wait)
	switch cl.priority {
	case model.Urgent:
		latency = wait
		t.urgent = append(t.urgent, wait)
	case model.Patient:
		r.Longest = max(r.Longest, wait)
	}
	count := t.classes[cl.priority]
	count[1]++
	if latency <= cl.limit {
		count[0]++
	}
	t.classes[cl.priority] = count
}

// running is a request that runs on a fake target.
type running struct {
	ends    time.Duration
	request *arrival
	key     string
	attempt int
	host    string
	started time.Duration
	// spilled is set if the home of the request is another data centre.
	spilled *spilledRequest
}

// activeRuns is a heap of the runs of a data centre, ordered by the time at which they end.
type activeRuns []running

// Len implements heap.Interface.
func (e activeRuns) Len() int { return len(e) }

// Less implements heap.Interface.
func (e activeRuns) Less(i, j int) bool { return e[i].ends < e[j].ends }

// Swap implements heap.Interface.
func (e activeRuns) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *activeRuns) Push(x any) { *e = append(*e, x.(running)) }

// Pop implements heap.Interface.
func (e *activeRuns) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// centre is one data centre with its own ledger, as in production.
type centre struct {
	number     int
	region     *region
	demand     *Demand
	variant    Variant
	result     *Result
	ledger     *ledger.State
	estimator  *estimate.Estimator
	catalogue  *model.Catalogue
	hosts      map[string]*model.Host
	names      []string
	requests   map[string]*arrival        // by key of this ledger
	spilledIn  map[string]*spilledRequest // spilled from other data centres, by key of this ledger
	activeRuns activeRuns
	moving     map[string]time.Duration // time of arrival in the new pool, by host
	idleSince  map[string]time.Duration
	failed     map[string]bool     // hosts that no longer run anything
	lost       []running           // runs lost with their host, until the ledger marks it lost
	unplaced   []placement.Request // queued requests that the last plan did not place
	views      []Load              // load published to the others, by step
	sent       []sentSpill         // later than the views of the others
	tries      map[string]int      // offers to other data centres, by key
	steering   *steering
	now        time.Duration
	index      uint64
}

func newCentre(number int, reg *region) *centre {
	c := &centre{
		number: number, region: reg, demand: reg.demand, variant: reg.variant, result: reg.result,
		ledger: ledger.New(ledger.DefaultLimits()), estimator: estimate.New(), catalogue: catalogue(reg.variant),
		hosts: hostsOf(number), requests: map[string]*arrival{}, spilledIn: map[string]*spilledRequest{},
		moving: map[string]time.Duration{}, idleSince: map[string]time.Duration{},
		failed: map[string]bool{}, tries: map[string]int{},
	}
	for name := range c.hosts {
		c.names = append(c.names, name)
	}
	sort.Strings(c.names)
	return c
}

// Host implements ledger.Hosts.
func (c *centre) Host(name string) (model.Host, bool) {
	if h, ok := otherAsHost(name); ok {
		return h, true
	}
	h := c.hosts[name]
	if h == nil {
		return model.Host{}, false
	}
	return *h, true
}

func (c *centre) time() hlc.Time { return hlc.Time{WallMillis: 1 + c.now.Milliseconds()} }

func (c *centre) context() ledger.ApplyContext {
	c.index++
	return ledger.ApplyContext{
		DataCentre: "dc", Group: "dc", Index: c.index, Time: c.time(), Catalogue: c.catalogue, Hosts: c,
	}
}

func (c *centre) apply(cmd ledger.Command) ledger.Result {
	res, _ := c.ledger.Apply(c.context(), &cmd)
	return res
}

func (c *centre) claim(key string, a *arrival) error {
	c.requests[key] = a
	return c.apply(ledger.Command{Claim: &ledger.Claim{Key: key, Kind: kindName(a.pool, a.class)}}).Err
}

func (c *centre) report(key string, attempt int, state model.AttemptState, run time.Duration) {
	c.apply(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{
		{Key: key, Attempt: attempt, State: state, RunMS: run.Milliseconds()},
	}}})
}

// finish reports the runs that have ended by now.
func (c *centre) finish() {
	for len(c.activeRuns) > 0 && c.activeRuns[0].ends <= c.now {
		e := heap.Pop(&c.activeRuns).(running)
		a := e.request
		c.report(e.key, e.attempt, model.AttemptSucceeded, a.run)
		kind := kindName(a.pool, a.class)
		cpu, memory := c.variant.sizeOf(a.class)
		c.estimator.Usage(kind, model.Usage{Request: e.key, Attempt: e.attempt, CPUMillis: cpu, MemoryMB: memory})
		c.estimator.RecordFinished(kind, e.key, e.attempt, a.run)
		if e.spilled != nil {
			c.sendAnswer(e)
			continue
		}
		c.region.finished(c, e.key, a, e.started, e.ends)
	}
}

func (c *centre) estimates() map[string]estimate.Estimate {
	out := make(map[string]estimate.Estimate, len(c.catalogue.JobKinds))
	estimator := c.estimator
	if c.variant.IgnoreRuns {
		estimator = estimate.New()
	}
	for name, kind := range c.catalogue.JobKinds {
		out[name] = estimator.Estimate(name, estimate.Declared{
			Run: time.Duration(kind.RunTimeMS) * time.Millisecond, CPUMillis: kind.CPUMillis, MemoryMB: kind.MemoryMB,
		})
	}
	return out
}

func (c *centre) placementHosts() []placement.Host {
	out := make([]placement.Host, 0, len(c.names))
	for _, name := range c.names {
		h := c.hosts[name]
		cpu, memory, accelerators := c.ledger.Reserved(name)
		out = append(out, placement.Host{
			Name: name, Pool: h.Pool, Rack: h.Info.Rack, Available: h.State == model.HostReady && !c.failed[name],
			Slots: h.Info.Slots, CPUMillis: h.Info.CPUMillis, MemoryMB: h.Info.MemoryMB,
			UsedSlots: c.ledger.HeldSlots(name), UsedCPUMillis: cpu, UsedMemoryMB: memory, UsedAccelerators: accelerators,
		})
	}
	return out
}

// input returns the placement input for the present state.
func (c *centre) input(estimates map[string]estimate.Estimate) placement.Input {
	in := placement.Input{Pools: map[string]placement.Pool{sparePool: {Spare: true}}, Hosts: c.placementHosts()}
	count := map[string]map[model.Priority]int{}
	for _, svc := range services {
		count[svc.name] = map[model.Priority]int{}
		in.Pools[svc.name] = placement.Pool{ServesUrgent: true, Running: count[svc.name]}
		for _, r := range c.ledger.Queued(svc.name, 10_000) {
			if c.time().Before(r.NotBefore) {
				continue
			}
			e := estimates[r.Kind]
			in.Queued = append(in.Queued, placement.Request{
				Key: r.Key, Pool: r.Pool, Priority: r.Priority, Waiting: c.time().Sub(r.Claimed), RunTime: e.RunP50,
				CPUMillis: e.CPUMillis, MemoryMB: e.MemoryMB,
			})
		}
	}
	for i := range c.activeRuns {
		a := c.activeRuns[i].request
		count[a.pool][classes[a.class].priority]++
	}
	return in
}

// queued returns the number of queued requests.
func (c *centre) queued() int {
	n := 0
	for _, svc := range services {
		n += c.ledger.QueuedCount(svc.name)
	}
	return n
}

// plan places queued requests and starts them on the fake targets.
func (c *centre) plan() {
	c.unplaced = nil
	if c.queued() == 0 {
		return
	}
	estimates := c.estimates()
	in := c.input(estimates)
	plan := c.variant.Policy.Plan(in)
	items := make([]ledger.DispatchItem, 0, len(plan.Decisions))
	for _, d := range plan.Decisions {
		items = append(items, c.item(d, estimates))
	}
	started := c.start(items)
	c.result.Refused += len(items) - len(started)
	placed := make(map[string]bool, len(started))
	for _, item := range started {
		placed[item.Key] = true
	}
	for _, r := range in.Queued {
		if !placed[r.Key] {
			c.unplaced = append(c.unplaced, r)
		}
	}
}

// item returns a dispatch item that reserves the estimated size.
func (c *centre) item(d placement.Decision, estimates map[string]estimate.Estimate) ledger.DispatchItem {
	r, _ := c.ledger.Get(d.Key)
	e := estimates[r.Kind]
	return ledger.DispatchItem{
		Key: d.Key, Attempt: ledger.NextAttempt(r), Host: d.Host, Owner: "entry", LentBy: d.LentBy, Reason: d.Reason,
		CPUMillis: e.CPUMillis, MemoryMB: e.MemoryMB,
	}
}

// start commits dispatch decisions and starts those that the ledger accepts.
func (c *centre) start(items []ledger.DispatchItem) []ledger.DispatchItem {
	started := c.apply(ledger.Command{Dispatch: &ledger.Dispatch{Items: items}}).Dispatched
	for _, item := range started {
		a := c.requests[item.Key]
		e := running{
			ends: c.now + a.run, request: a, key: item.Key, attempt: item.Attempt, host: item.Host, started: c.now,
			spilled: c.spilledIn[item.Key],
		}
		heap.Push(&c.activeRuns, e)
		c.region.audit.started(c.homeKey(item.Key))
		if item.LentBy != "" {
			c.result.Lent++
		}
	}
	return started
}

// idle returns the number of idle slots.
func (c *centre) idle() int {
	n := 0
	for _, name := range c.names {
		if c.hosts[name].State == model.HostReady && !c.failed[name] {
			n += slotsPerHost - c.ledger.HeldSlots(name)
		}
	}
	return n
}

// overcommitted counts the hosts whose runs together use more memory than the
// host has.
func (c *centre) overcommitted() int {
	used := map[string]int{}
	for i := range c.activeRuns {
		_, memory := c.variant.sizeOf(c.activeRuns[i].request.class)
		used[c.activeRuns[i].host] += memory
	}
	n := 0
	for host, memory := range used {
		if memory > c.hosts[host].Info.MemoryMB {
			n++
		}
	}
	return n
}

// moveSpares moves idle spare hosts to pools with waiting requests, and back.
// It is the alternative to lending.
func (c *centre) moveSpares() {
	for _, name := range c.names {
		h := c.hosts[name]
		if at, ok := c.moving[name]; ok && c.now >= at {
			delete(c.moving, name)
			h.State = model.HostReady
		}
		if c.ledger.HeldSlots(name) > 0 || h.Pool == sparePool {
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
			if h := c.hosts[name]; h.Pool == sparePool && h.State == model.HostReady && c.ledger.HeldSlots(name) == 0 {
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
