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

// candidateHost is an available host. If heldFree is set, it takes only urgent
// work.
type candidateHost struct {
	Host
	rack     *rack
	heldFree bool
}

// requestSize is what decides whether a request fits. A size that fits no host
// at one point fits none later in the same plan, since a plan only uses up
// capacity.
type requestSize struct {
	cpuMillis, memoryMB, accelerators int
	urgent                            bool
}

// poolState is the state of one pool during planning.
type poolState struct {
	name            string
	input           Pool
	hosts           []*candidateHost // available ones, by name
	slots           int
	freeSlots       int
	running         map[model.Priority]int
	queued          map[model.Priority][]*Request
	unplaceable     map[requestSize]bool
	waitingRequests int // not counting those that wait for a quota
}

// planner builds one plan.
type planner struct {
	policy      Policy
	in          *Input
	pools       map[string]*poolState
	poolNames   []string
	teamRunning map[string]int
	plan        Plan
	waits       map[WaitCount]int
}

// Plan decides which queued requests start now.
func (p Policy) Plan(in Input) Plan {
	pl := &planner{policy: p, in: &in, pools: map[string]*poolState{}, teamRunning: map[string]int{}, waits: map[WaitCount]int{}}
	for team, n := range in.TeamRunning {
		pl.teamRunning[team] = n
	}
	pl.addHosts()
	pl.addRequests()
	var remaining []*Request
	for _, name := range pl.poolNames {
		remaining = append(remaining, pl.placePool(pl.pools[name])...)
	}
	pl.placeOnLenders(remaining)
	pl.collectWaits()
	return pl.plan
}

func (pl *planner) poolFor(name string) *poolState {
	ps := pl.pools[name]
	if ps == nil {
		ps = &poolState{
			name: name, input: pl.in.Pools[name], running: map[model.Priority]int{},
			queued: map[model.Priority][]*Request{}, unplaceable: map[requestSize]bool{},
		}
		for priority, n := range ps.input.Running {
			ps.running[priority] = n
		}
		pl.pools[name] = ps
		pl.poolNames = append(pl.poolNames, name)
	}
	return ps
}

func (pl *planner) addHosts() {
	racks := map[[2]string]*rack{}
	for i := range pl.in.Hosts {
		h := &pl.in.Hosts[i]
		ps := pl.poolFor(h.Pool)
		if !h.Available {
			continue
		}
		key := [2]string{h.Pool, h.Rack}
		if racks[key] == nil {
			racks[key] = &rack{}
		}
		racks[key].slots += h.Slots
		racks[key].used += h.UsedSlots
		ps.hosts = append(ps.hosts, &candidateHost{Host: *h, rack: racks[key]})
		ps.slots += h.Slots
		ps.freeSlots += max(h.Slots-h.UsedSlots, 0)
	}
	for _, ps := range pl.pools {
		sort.Slice(ps.hosts, func(i, j int) bool { return ps.hosts[i].Name < ps.hosts[j].Name })
	}
}

// addRequests groups the requests by pool and priority and parks those that no
// host of their pool can run.
func (pl *planner) addRequests() {
	type sizeInPool struct {
		pool string
		requestSize
	}
	fits := map[sizeInPool]bool{}
	for i := range pl.in.Queued {
		r := &pl.in.Queued[i]
		key := sizeInPool{r.Pool, requestSize{cpuMillis: r.CPUMillis, memoryMB: r.MemoryMB, accelerators: r.Accelerators}}
		ok, known := fits[key]
		if !known {
			// A pool without hosts may still get a host that fits the request.
			ok = !pl.hasHosts(r.Pool) || Fits(r, pl.in.Hosts)
			fits[key] = ok
		}
		if !ok {
			pl.plan.Parked = append(pl.plan.Parked, Parked{Key: r.Key, Reason: fmt.Sprintf(
				"needs %d millicores, %d MB and %d accelerators, more than any host of pool %s has",
				r.CPUMillis, r.MemoryMB, r.Accelerators, r.Pool)})
			continue
		}
		ps := pl.poolFor(r.Pool)
		ps.queued[r.Priority] = append(ps.queued[r.Priority], r)
	}
	sort.Strings(pl.poolNames)
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

func (pl *planner) isAged(r *Request) bool {
	return r.Waiting >= pl.policy.AgeAfter || (r.Slack > 0 && r.Slack < agedSlackRuns*r.RunTime)
}

func slotShare(fraction float64, slots int) int { return int(math.Ceil(fraction * float64(slots))) }

// placePool places a pool's requests on its own hosts and returns the remaining
// ones, except those that wait for their team's quota. The large request that
// has waited longest comes first, then aged requests within their share, then
// urgent, normal and patient ones.
func (pl *planner) placePool(ps *poolState) []*Request {
	placed := map[*Request]bool{}
	if r := pl.placeLongWaiting(ps); r != nil {
		placed[r] = true
	}
	agedSlots := slotShare(pl.policy.AgedShare, ps.slots)
	for _, priority := range priorities[1:] {
		for _, r := range ps.queued[priority] {
			if ps.running[priority] >= agedSlots || ps.freeSlots == 0 {
				break
			}
			if !placed[r] && pl.isAged(r) && pl.placeInOwnPool(ps, r, "waited "+r.Waiting.String()+" and the class is below its guaranteed share") == "" {
				placed[r] = true
			}
		}
	}
	var remaining []*Request
	for _, priority := range priorities {
		for _, r := range ps.queued[priority] {
			if placed[r] {
				continue
			}
			wait := pl.waitReason(ps, r)
			if wait == "" {
				wait = pl.placeInOwnPool(ps, r, "")
			}
			if wait == "" {
				continue
			}
			pl.countWait(r, wait, 1)
			if wait != reasonQuota {
				ps.waitingRequests++
				remaining = append(remaining, r)
			}
		}
	}
	return remaining
}

// waitReason returns why the request cannot take a slot of its pool, or "" if
// it may.
func (pl *planner) waitReason(ps *poolState, r *Request) string {
	switch {
	case len(ps.hosts) == 0:
		return reasonNoHost
	case ps.freeSlots == 0:
		return reasonNoSlot
	case r.Priority != model.Urgent && ps.freeSlots <= pl.urgentReserve(ps):
		return reasonReserve
	}
	return ""
}

// urgentReserve returns the number of free slots to keep for urgent work.
func (pl *planner) urgentReserve(ps *poolState) int {
	if !ps.input.ServesUrgent {
		return 0
	}
	return max(slotShare(pl.policy.UrgentReserve, ps.slots)-ps.running[model.Urgent], 0)
}

// placeInOwnPool places the request on a host of its own pool. If it cannot, it
// returns the reason.
func (pl *planner) placeInOwnPool(ps *poolState, r *Request, reason string) string {
	if pl.overQuota(r) {
		return reasonQuota
	}
	h := pl.pickHost(ps, r)
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
	return ok && pl.teamRunning[r.Team] >= limit
}

// pickHost returns the best host of the pool that fits the request, or nil. A
// host in Avoid is used only if no other fits.
func (pl *planner) pickHost(ps *poolState, r *Request) *candidateHost {
	s := requestSize{r.CPUMillis, r.MemoryMB, r.Accelerators, r.Priority == model.Urgent}
	if ps.unplaceable[s] {
		return nil
	}
	var best, avoided *candidateHost
	for _, h := range ps.hosts {
		if !fitsNow(r, &h.Host) || (h.heldFree && !s.urgent) {
			continue
		}
		if slices.Contains(r.Avoid, h.Name) {
			if avoided == nil || pl.lessLoaded(h, avoided) {
				avoided = h
			}
			continue
		}
		if best == nil || pl.lessLoaded(h, best) {
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
		ps.unplaceable[s] = true
	}
	return best
}

// lessLoaded reports whether a is to be preferred to b. It compares the used
// fractions of the slots without division. Among equal hosts, the first by name
// is kept.
func (pl *planner) lessLoaded(a, b *candidateHost) bool {
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

// placeLongWaiting serves the longest waiting request of the pool that needs
// more than one slot's share of a host, since smaller requests would otherwise
// take every slot that becomes free. If it fits no host now, one that fits it
// when idle is held for it: the one with the most free memory, so that the same
// host is chosen again while it empties.
func (pl *planner) placeLongWaiting(ps *poolState) *Request {
	if pl.policy.HoldAfter == 0 {
		return nil
	}
	var r *Request
	for _, priority := range priorities {
		for _, q := range ps.queued[priority] {
			if q.Waiting >= pl.policy.HoldAfter && (r == nil || q.Waiting > r.Waiting) && exceedsSlotShare(q, ps.hosts) {
				r = q
			}
		}
	}
	if r == nil {
		return nil
	}
	if pl.placeInOwnPool(ps, r, "waited "+r.Waiting.String()+" for resources") == "" {
		return r
	}
	var best *candidateHost
	for _, h := range ps.hosts {
		if fitsWhenIdle(r, &h.Host) && (best == nil || h.MemoryMB-h.UsedMemoryMB > best.MemoryMB-best.UsedMemoryMB) {
			best = h
		}
	}
	if best != nil {
		best.heldFree = true
	}
	return nil
}

// exceedsSlotShare reports whether the request needs more than one slot's share
// of the resources on every host.
func exceedsSlotShare(r *Request, hosts []*candidateHost) bool {
	for _, h := range hosts {
		if r.CPUMillis*h.Slots <= h.CPUMillis && r.MemoryMB*h.Slots <= h.MemoryMB && r.Accelerators*h.Slots <= h.Accelerators {
			return false
		}
	}
	return len(hosts) > 0
}

// place assigns the request of the pool from to a host of the pool lender, which
// may be the same.
func (pl *planner) place(from, lender *poolState, h *candidateHost, r *Request, reason string) {
	h.UsedSlots++
	h.UsedCPUMillis += r.CPUMillis
	h.UsedMemoryMB += r.MemoryMB
	h.UsedAccelerators += r.Accelerators
	h.rack.used++
	lender.freeSlots--
	from.running[r.Priority]++
	pl.teamRunning[r.Team]++
	d := Decision{Key: r.Key, Host: h.Name, Reason: reason}
	if lender != from {
		d.LentBy = lender.name
	}
	pl.plan.Decisions = append(pl.plan.Decisions, d)
}

// placeOnLenders places remaining requests on idle hosts of other pools, urgent
// ones first.
func (pl *planner) placeOnLenders(remaining []*Request) {
	lenders := pl.lenders()
	for _, priority := range priorities {
		for _, r := range remaining {
			if len(lenders) == 0 {
				return
			}
			if r.Priority != priority || r.RunTime == 0 || r.RunTime > pl.policy.LendMaxRunTime || pl.overQuota(r) {
				continue
			}
			lender, h := pl.pickLender(r, lenders)
			if h == nil {
				continue
			}
			from := pl.pools[r.Pool]
			reason := pl.waitReason(from, r)
			if reason == "" {
				reason = reasonResources
			}
			pl.place(from, lender, h, r, reason+" in its own pool; pool "+lender.name+" is idle")
			pl.countWait(r, reason, -1)
			if lender.freeSlots <= pl.lendReserve(lender) {
				lenders = slices.DeleteFunc(lenders, func(ps *poolState) bool { return ps == lender })
			}
		}
	}
}

// lenders returns the pools with slots to lend, spare pools first. A pool lends
// only if none of its own requests waits, other than for a quota, and its
// reserve stays free.
func (pl *planner) lenders() []*poolState {
	var spare, others []*poolState
	for _, name := range pl.poolNames {
		ps := pl.pools[name]
		switch {
		case ps.waitingRequests > 0 || ps.freeSlots <= pl.lendReserve(ps):
		case ps.input.Spare && pl.policy.LendSpare:
			spare = append(spare, ps)
		case !ps.input.Spare && pl.policy.LendPools:
			others = append(others, ps)
		}
	}
	return append(spare, others...)
}

// lendReserve returns the number of free slots that a pool does not lend.
func (pl *planner) lendReserve(ps *poolState) int {
	return max(slotShare(pl.policy.LendReserve, ps.slots), pl.urgentReserve(ps))
}

// pickLender returns the lender with the most free slots that has a fitting
// host, and that host. Any spare pool is preferred to other pools.
func (pl *planner) pickLender(r *Request, lenders []*poolState) (*poolState, *candidateHost) {
	var best *poolState
	var host *candidateHost
	for _, ps := range lenders {
		if ps.name == r.Pool || (best != nil && (best.input.Spare != ps.input.Spare || best.freeSlots >= ps.freeSlots)) {
			continue
		}
		if h := pl.pickHost(ps, r); h != nil {
			best, host = ps, h
		}
	}
	return best, host
}

func (pl *planner) countWait(r *Request, reason string, n int) {
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
