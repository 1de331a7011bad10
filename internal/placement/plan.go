package placement

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"agatehaven.dev/agatehaven/internal/model"
)

// Reasons why a request stays queued.
const (
	reasonNoHost    = "pool has no available host"
	reasonNoSlot    = "no free slot"
	reasonReserve   = "free slots are reserved for urgent work"
	reasonResources = "no host has enough free resources"
	reasonQuota     = "quota of the team is used up"
)

var priorities = [...]model.Priority{model.Urgent, model.Normal, model.Patient}

// rack sums the slots of the available hosts of one pool in one rack.
type rack struct{ slots, used int }

// slotHost is a candidate host. A held host takes only urgent work.
type slotHost struct {
	Host
	rack *rack
	held bool
}

// shape is the size of a request. A shape that fits no host now fits none for
// the rest of the plan, since plans only use up capacity.
type shape struct {
	cpuMillis, memoryMB, accelerators int
	urgent                            bool
}

type poolState struct {
	name    string
	info    Pool
	hosts   []*slotHost // available ones, by name
	slots   int
	free    int
	running map[model.Priority]int
	queued  map[model.Priority][]*Request
	blocked map[shape]bool
	waiting int
}

type planner struct {
	policy Policy
	in     *Input
	pools  map[string]*poolState
	names  []string
	team   map[string]int
	plan   Plan
	waits  map[WaitCount]int
}

// Plan decides which queued requests start now.
func (p Policy) Plan(in Input) Plan {
	pl := &planner{policy: p, in: &in, pools: map[string]*poolState{}, team: map[string]int{}, waits: map[WaitCount]int{}}
	for team, n := range in.TeamRunning {
		pl.team[team] = n
	}
	pl.addHosts()
	pl.addRequests()
	var left []*Request
	for _, name := range pl.names {
		left = append(left, pl.placeOwn(pl.pools[name])...)
	}
	pl.lend(left)
	pl.collectWaits()
	return pl.plan
}

func (pl *planner) pool(name string) *poolState {
	ps := pl.pools[name]
	if ps == nil {
		ps = &poolState{
			name: name, info: pl.in.Pools[name], running: map[model.Priority]int{},
			queued: map[model.Priority][]*Request{}, blocked: map[shape]bool{},
		}
		for priority, n := range ps.info.Running {
			ps.running[priority] = n
		}
		pl.pools[name] = ps
		pl.names = append(pl.names, name)
	}
	return ps
}

func (pl *planner) addHosts() {
	racks := map[[2]string]*rack{}
	for i := range pl.in.Hosts {
		h := &pl.in.Hosts[i]
		ps := pl.pool(h.Pool)
		if !h.Available {
			continue
		}
		key := [2]string{h.Pool, h.Rack}
		if racks[key] == nil {
			racks[key] = &rack{}
		}
		racks[key].slots += h.Slots
		racks[key].used += h.UsedSlots
		ps.hosts = append(ps.hosts, &slotHost{Host: *h, rack: racks[key]})
		ps.slots += h.Slots
		ps.free += max(h.Slots-h.UsedSlots, 0)
	}
	for _, ps := range pl.pools {
		sort.Slice(ps.hosts, func(i, j int) bool { return ps.hosts[i].Name < ps.hosts[j].Name })
	}
}

// addRequests sorts the requests into classes and parks those that can never
// run.
func (pl *planner) addRequests() {
	type poolShape struct {
		pool string
		shape
	}
	fits := map[poolShape]bool{}
	for i := range pl.in.Queued {
		r := &pl.in.Queued[i]
		key := poolShape{r.Pool, shape{cpuMillis: r.CPUMillis, memoryMB: r.MemoryMB, accelerators: r.Accelerators}}
		ok, known := fits[key]
		if !known {
			// A pool without hosts proves nothing about the request's size.
			ok = !pl.hasHosts(r.Pool) || Fits(r, pl.in.Hosts)
			fits[key] = ok
		}
		if !ok {
			pl.plan.Parked = append(pl.plan.Parked, Parked{Key: r.Key, Reason: fmt.Sprintf(
				"needs %d millicores, %d MB and %d accelerators, more than any host of pool %s has",
				r.CPUMillis, r.MemoryMB, r.Accelerators, r.Pool)})
			continue
		}
		ps := pl.pool(r.Pool)
		ps.queued[r.Priority] = append(ps.queued[r.Priority], r)
	}
	sort.Strings(pl.names)
}

// hasHosts reports whether a pool has a host, whatever its state.
func (pl *planner) hasHosts(pool string) bool {
	for i := range pl.in.Hosts {
		if pl.in.Hosts[i].Pool == pool {
			return true
		}
	}
	return false
}

func (pl *planner) aged(r *Request) bool {
	return r.Waiting >= pl.policy.AgeAfter || (r.Slack > 0 && r.Slack < agedSlackRuns*r.RunTime)
}

func share(fraction float64, slots int) int { return int(math.Ceil(fraction * float64(slots))) }

// placeOwn places a pool's requests on its own hosts and returns those left.
// Aged requests come first, within their share; then urgent, normal and
// patient ones.
func (pl *planner) placeOwn(ps *poolState) []*Request {
	placed := map[*Request]bool{}
	if r := pl.placeStarved(ps); r != nil {
		placed[r] = true
	}
	agedSlots := share(pl.policy.AgedShare, ps.slots)
	for _, priority := range priorities[1:] {
		for _, r := range ps.queued[priority] {
			if ps.running[priority] >= agedSlots || ps.free == 0 {
				break
			}
			if !placed[r] && pl.aged(r) && pl.tryOwn(ps, r, "waited "+r.Waiting.String()+" and the class is below its guaranteed share") == "" {
				placed[r] = true
			}
		}
	}
	var left []*Request
	for _, priority := range priorities {
		for _, r := range ps.queued[priority] {
			if placed[r] {
				continue
			}
			wait := pl.waitReason(ps, r)
			if wait == "" {
				wait = pl.tryOwn(ps, r, "")
			}
			if wait == "" {
				continue
			}
			pl.wait(r, wait, 1)
			if wait != reasonQuota {
				ps.waiting++
				left = append(left, r)
			}
		}
	}
	return left
}

// waitReason returns why the request may not take a free slot of its pool.
func (pl *planner) waitReason(ps *poolState, r *Request) string {
	switch {
	case len(ps.hosts) == 0:
		return reasonNoHost
	case ps.free == 0:
		return reasonNoSlot
	case r.Priority != model.Urgent && ps.free <= pl.reserve(ps):
		return reasonReserve
	}
	return ""
}

// reserve returns the free slots to keep for urgent work.
func (pl *planner) reserve(ps *poolState) int {
	if !ps.info.ServesUrgent {
		return 0
	}
	return max(share(pl.policy.UrgentReserve, ps.slots)-ps.running[model.Urgent], 0)
}

// tryOwn places the request on a host of its own pool, or returns why not.
func (pl *planner) tryOwn(ps *poolState, r *Request, reason string) string {
	if pl.overQuota(r) {
		return reasonQuota
	}
	h := pl.pick(ps, r)
	if h == nil {
		return reasonResources
	}
	if reason == "" {
		reason = string(r.Priority) + " request of its own pool"
	}
	pl.place(ps, ps, h, r, reason)
	return ""
}

func (pl *planner) overQuota(r *Request) bool {
	limit, ok := pl.in.TeamLimit[r.Team]
	return ok && pl.team[r.Team] >= limit
}

// pick returns the best host of the pool that fits, preferably one that the
// request has not been tried on.
func (pl *planner) pick(ps *poolState, r *Request) *slotHost {
	s := shape{r.CPUMillis, r.MemoryMB, r.Accelerators, r.Priority == model.Urgent}
	if ps.blocked[s] {
		return nil
	}
	var best, avoided *slotHost
	for _, h := range ps.hosts {
		if !fitsNow(r, &h.Host) || (h.held && !s.urgent) {
			continue
		}
		if slices.Contains(r.Avoid, h.Name) {
			if avoided == nil || pl.better(h, avoided) {
				avoided = h
			}
			continue
		}
		if best == nil || pl.better(h, best) {
			best = h
			if pl.policy.Order == OrderFirst {
				break
			}
		}
	}
	if best == nil {
		best = avoided
	}
	if best == nil {
		ps.blocked[s] = true
	}
	return best
}

// better compares load as fractions of slots without division. Equal hosts
// keep their order by name.
func (pl *planner) better(a, b *slotHost) bool {
	if pl.policy.Order == OrderFirst {
		return false
	}
	if pl.policy.Order == OrderRack && a.rack != b.rack {
		if x, y := a.rack.used*b.rack.slots, b.rack.used*a.rack.slots; x != y {
			return x < y
		}
	}
	return a.UsedSlots*b.Slots < b.UsedSlots*a.Slots
}

// placeStarved serves the request of the pool that has waited longest for more
// than one slot's part of a host, since smaller requests would otherwise take
// every part that becomes free. If it fits no host now, the host with the most
// free memory among those that fit it when idle is held, so that the choice
// stays the same while the host empties.
func (pl *planner) placeStarved(ps *poolState) *Request {
	if pl.policy.HoldAfter == 0 {
		return nil
	}
	var r *Request
	for _, priority := range priorities {
		for _, q := range ps.queued[priority] {
			if q.Waiting >= pl.policy.HoldAfter && (r == nil || q.Waiting > r.Waiting) && large(q, ps.hosts) {
				r = q
			}
		}
	}
	if r == nil {
		return nil
	}
	if pl.tryOwn(ps, r, "waited "+r.Waiting.String()+" for resources") == "" {
		return r
	}
	var best *slotHost
	for _, h := range ps.hosts {
		if fitsIdle(r, &h.Host) && (best == nil || h.MemoryMB-h.UsedMemoryMB > best.MemoryMB-best.UsedMemoryMB) {
			best = h
		}
	}
	if best != nil {
		best.held = true
	}
	return nil
}

// large reports whether the request needs more than one slot's part of every
// host.
func large(r *Request, hosts []*slotHost) bool {
	for _, h := range hosts {
		if r.CPUMillis*h.Slots <= h.CPUMillis && r.MemoryMB*h.Slots <= h.MemoryMB && r.Accelerators*h.Slots <= h.Accelerators {
			return false
		}
	}
	return len(hosts) > 0
}

func (pl *planner) place(from, lender *poolState, h *slotHost, r *Request, reason string) {
	h.UsedSlots++
	h.UsedCPUMillis += r.CPUMillis
	h.UsedMemoryMB += r.MemoryMB
	h.UsedAccelerators += r.Accelerators
	h.rack.used++
	lender.free--
	from.running[r.Priority]++
	pl.team[r.Team]++
	d := Decision{Key: r.Key, Host: h.Name, Reason: reason}
	if lender != from {
		d.LentBy = lender.name
	}
	pl.plan.Decisions = append(pl.plan.Decisions, d)
}

// lend places the requests left on idle hosts of other pools, urgent first.
func (pl *planner) lend(left []*Request) {
	lenders := pl.lenders()
	for _, priority := range priorities {
		for _, r := range left {
			if len(lenders) == 0 {
				return
			}
			if r.Priority != priority || r.RunTime == 0 || r.RunTime > pl.policy.LendMaxRunTime || pl.overQuota(r) {
				continue
			}
			lender, h := pl.pickLent(r, lenders)
			if h == nil {
				continue
			}
			from := pl.pools[r.Pool]
			reason := pl.waitReason(from, r)
			if reason == "" {
				reason = reasonResources
			}
			pl.place(from, lender, h, r, reason+" in its own pool; pool "+lender.name+" is idle")
			pl.wait(r, reason, -1)
			if lender.free <= pl.keeps(lender) {
				lenders = slices.DeleteFunc(lenders, func(ps *poolState) bool { return ps == lender })
			}
		}
	}
}

// lenders returns the pools with capacity to lend: nothing of their own waits,
// and their reserve stays free. Spare pools come first.
func (pl *planner) lenders() []*poolState {
	var spare, others []*poolState
	for _, name := range pl.names {
		ps := pl.pools[name]
		switch {
		case ps.waiting > 0 || ps.free <= pl.keeps(ps):
		case ps.info.Spare && pl.policy.LendSpare:
			spare = append(spare, ps)
		case !ps.info.Spare && pl.policy.LendPools:
			others = append(others, ps)
		}
	}
	return append(spare, others...)
}

// keeps returns the free slots that a lender does not lend.
func (pl *planner) keeps(ps *poolState) int {
	return max(share(pl.policy.LendReserve, ps.slots), pl.reserve(ps))
}

// pickLent returns a host of the lender with the most free slots, spare pools
// first.
func (pl *planner) pickLent(r *Request, lenders []*poolState) (*poolState, *slotHost) {
	var best *poolState
	var host *slotHost
	for _, ps := range lenders {
		if ps.name == r.Pool || (best != nil && (best.info.Spare != ps.info.Spare || best.free >= ps.free)) {
			continue
		}
		if h := pl.pick(ps, r); h != nil {
			best, host = ps, h
		}
	}
	return best, host
}

func (pl *planner) wait(r *Request, reason string, n int) {
	pl.waits[WaitCount{Pool: r.Pool, Priority: r.Priority, Reason: reason}] += n
}

func (pl *planner) collectWaits() {
	for w, n := range pl.waits {
		if n > 0 {
			w.Count = n
			pl.plan.Waits = append(pl.plan.Waits, w)
		}
	}
	sort.Slice(pl.plan.Waits, func(i, j int) bool {
		a, b := pl.plan.Waits[i], pl.plan.Waits[j]
		if a.Pool != b.Pool {
			return a.Pool < b.Pool
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Reason < b.Reason
	})
}
