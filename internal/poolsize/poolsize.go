// Package poolsize decides which hosts move between pools so that the pools follow
// their demand. It is a pure function.
package poolsize

import (
	"cmp"
	"math"
	"slices"
)

// Pool describes a pool and its demand, in thousandths of a core.
type Pool struct {
	Name    string
	Standby bool
	// Running is the demand of the runs, and Waiting that of the tasks that could start
	// now.
	Running, Waiting int64
	// LateRunning and LateWaiting are the parts of them that belong to jobs which miss
	// their objective in any case.
	LateRunning, LateWaiting int64
	// ArrivalRate is the work that arrives per second, in thousandths of a core-second.
	ArrivalRate float64
	// ArrivalRise is by how much ArrivalRate rises per second.
	ArrivalRise float64
	// DurationS is the mean duration of the pool's tasks in seconds, 0 if it is
	// unknown.
	DurationS float64
	// MinHosts is the least number of hosts over which long-lived tasks have to be
	// spread.
	MinHosts int
	// MissingHosts is how many empty hosts are needed by tasks that no host can take,
	// for whichever reason: memory, fragmented capacity or what runs beside them. Tasks for
	// which Waiting asks for hosts that the pool does not have are not included.
	// MissingLongLived is the part of it that long-lived tasks need.
	MissingHosts, MissingLongLived int
	// WaitingLongLived is how many empty hosts long-lived tasks need that no host takes,
	// from the first moment on. The pool keeps its hosts for them but asks for no others,
	// since room may be free on its hosts a moment later.
	WaitingLongLived int
	// Suits reports whether a host, when empty, could run one of the long-lived tasks
	// that no host takes. If it is nil, every host suits.
	Suits func(host string) bool
	// SuitsShort reports whether a host, when empty, could run one of the other tasks that
	// no host takes. It is nil if there are none.
	SuitsShort func(host string) bool
}

// Host is one host. A host that is down for a move counts for the pool that it joins.
type Host struct {
	Name string
	Pool string
	CPU  int64 // thousandths of a core
	// Movable is set if nothing runs on the host and it accepts orders.
	Movable bool
	// IdleMS is how long nothing has run on the host.
	IdleMS int64
	// Load is the demand of the host's runs, in thousandths of a core; LongLived is set
	// if some of them do not end by themselves.
	Load      int64
	LongLived bool
	// Reserved hosts get no new work for a reason other than the size of the pool.
	Reserved bool
}

// Policy weighs the cost of moves against that of idle hosts.
type Policy struct {
	// IdleMS is how long a host idles before it moves to standby: as long as a move takes by
	// which it would come back.
	IdleMS int64
	// UsableShare is the share of a host that tasks of mixed sizes can use.
	UsableShare float64
	// HorizonS is how far ahead the demand is predicted, in seconds: the duration of a
	// move and some time to notice the change.
	HorizonS float64
	// TrendShare is the share of a rise of the arrival rate that is expected to
	// continue over the horizon.
	TrendShare float64
	// ExtraHosts is how many hosts a pool keeps beyond its demand.
	ExtraHosts int
}

// Default returns the policy in use.
func Default() Policy {
	return Policy{IdleMS: 1500, UsableShare: 0.9, HorizonS: 1.7, TrendShare: 1, ExtraHosts: 0}
}

// Move is a move of a host with its reason.
type Move struct {
	Host, From, To string
	Reason         string
}

// need is the number of hosts that a pool has, and should have.
type need struct {
	pool  *Pool
	hosts int
	// used is the number of hosts on which something runs.
	used int
	// emptied is the number of reserved hosts with long-lived runs, whose tasks move to
	// other hosts.
	emptied int
	// inTime is the number of hosts needed for work that can be in time, want for all
	// work.
	inTime, want int
	// missing is how many hosts are needed by long-lived tasks that no host can take,
	// in addition to the pool's empty hosts that suit them.
	missing int
	// missingShort is how many are needed by other tasks, and suitingShort how many empty
	// hosts of the pool suit these.
	missingShort, suitingShort int
	// yields is set if hosts for work that is late in any case are left to other pools.
	yields bool
}

// Decision is the result of Plan.
type Decision struct {
	Moves []Move
	// Cordoned holds the hosts that get no new work because their pool has too many:
	// they become idle and can then move.
	Cordoned map[string]bool
	// Spare holds the movable hosts that no pool needs.
	Spare map[string]bool
	// AttainableCPU is the CPU that each pool can get, in thousandths of a core: that
	// of all hosts except those that other pools need for work that can be in time.
	AttainableCPU map[string]int64
	// DemandMet holds the pools that have as many hosts as the sum of their CPU demand asks
	// for, whatever else tasks need of a host.
	DemandMet map[string]bool
	// Wanted is how many hosts each pool should have.
	Wanted map[string]int
}

// Plan compares the demand of the pools with their hosts.
func Plan(p Policy, pools []Pool, hosts []Host) Decision {
	needs := map[string]*need{}
	standby := ""
	var order []*need
	for i := range pools {
		n := &need{pool: &pools[i], missing: pools[i].MissingLongLived, missingShort: pools[i].MissingHosts - pools[i].MissingLongLived}
		needs[pools[i].Name] = n
		if pools[i].Standby {
			standby = pools[i].Name
			continue
		}
		order = append(order, n)
	}
	size := medianCPU(hosts)
	if size == 0 {
		return Decision{}
	}
	for _, h := range hosts {
		n := needs[h.Pool]
		switch {
		case n == nil:
		case h.Reserved && h.LongLived:
			n.emptied++
		case !h.Reserved:
			n.hosts++
			if h.Load > 0 || h.LongLived {
				n.used++
				continue
			}
			if n.suits(&h) {
				n.missing--
			}
			if n.suitsShort(&h) {
				n.suitingShort++
			}
		}
	}
	demandMet := map[string]bool{}
	for _, n := range order {
		n.want = p.want(n.pool, size)
		demandMet[n.pool.Name] = n.hosts >= n.want
		n.inTime = min(n.want, p.want(n.pool.withoutLate(), size))
		if needed := n.pool.MissingHosts; needed > 0 {
			n.want = max(n.want, n.used+needed)
		}
		if needed := n.pool.MissingLongLived; needed > 0 {
			n.inTime = max(n.inTime, n.used+needed)
		}
		// The tasks of an emptied host may also find room on hosts in use, so they ask for no
		// host that the pool does not have.
		if kept := min(n.hosts, n.used+n.emptied+n.pool.WaitingLongLived); kept > n.used {
			n.want, n.inTime = max(n.want, kept), max(n.inTime, kept)
		}
	}
	attainableCPU, wanted := attainableCPU(order, needs, size), map[string]int{}
	for _, n := range order {
		wanted[n.pool.Name] = n.want
	}
	yieldHosts(order, needs, standby)
	cordoned := cordonSurplus(order, hosts)
	moves := p.assign(order, needs, hosts, standby)
	return Decision{Moves: moves, Cordoned: cordoned, Spare: spare(needs, hosts, moves), AttainableCPU: attainableCPU, DemandMet: demandMet, Wanted: wanted}
}

// suits reports whether the long-lived tasks that no host takes could run on this one.
func (n *need) suits(h *Host) bool { return n.pool.Suits == nil || n.pool.Suits(h.Name) }

// suitsShort reports whether the other tasks that no host takes could run on this one.
func (n *need) suitsShort(h *Host) bool { return n.pool.SuitsShort != nil && n.pool.SuitsShort(h.Name) }

// canSpare reports whether a pool has too many hosts and can do without an empty one. It
// keeps those that its waiting tasks need, unless it yields hosts in any case.
func (n *need) canSpare(h *Host) bool {
	return n.hosts > n.want && (n.yields || !n.suitsShort(h) || n.suitingShort > n.missingShort)
}

// leave notes that an empty host leaves the pool.
func (n *need) leave(h *Host) {
	n.hosts--
	if n.suitsShort(h) {
		n.suitingShort--
	}
}

// join notes that an empty host joins the pool.
func (n *need) join(h *Host) {
	n.hosts++
	if n.suitsShort(h) {
		n.suitingShort++
	}
}

func attainableCPU(order []*need, needs map[string]*need, size int64) map[string]int64 {
	total, inTime := 0, 0
	for _, n := range needs {
		total += n.hosts
	}
	for _, n := range order {
		inTime += n.inTime
	}
	out := map[string]int64{}
	for _, n := range order {
		out[n.pool.Name] = int64(max(n.hosts, total-(inTime-n.inTime))) * size
	}
	return out
}

// withoutLate returns the demand without that of jobs which miss their objective.
func (p *Pool) withoutLate() *Pool {
	due := *p
	due.Running -= p.LateRunning
	due.Waiting -= p.LateWaiting
	return &due
}

// yieldHosts lowers the number of hosts wanted for work that is late in any case by as
// many as other pools lack for work that can be in time. Otherwise a backlog would keep
// its hosts until it is done, and the work of the next queue's demand peak would be
// late as well.
func yieldHosts(order []*need, needs map[string]*need, standby string) {
	short := 0
	for _, n := range order {
		short += max(0, n.inTime-n.hosts) - max(0, n.hosts-n.want)
	}
	if off := needs[standby]; off != nil {
		short -= off.hosts
	}
	for ; short > 0; short-- {
		most := slices.MaxFunc(order, func(a, b *need) int { return cmp.Compare(a.yieldable(), b.yieldable()) })
		if most.yieldable() <= 0 {
			return
		}
		most.want, most.yields = min(most.want, most.hosts)-1, true
	}
}

// yieldable returns how many hosts a pool has for work that is late in any case.
func (n *need) yieldable() int { return min(n.hosts, n.want) - n.inTime }

// spare returns the hosts that are left after the moves: those on standby, and as many
// movable ones of each pool as it has too many.
func spare(needs map[string]*need, hosts []Host, moves []Move) map[string]bool {
	moved := map[string]bool{}
	for _, m := range moves {
		moved[m.Host] = true
	}
	left := map[string]int{}
	for name, n := range needs {
		left[name] = n.hosts - n.want
	}
	out := map[string]bool{}
	for _, h := range hosts {
		if n := needs[h.Pool]; n != nil && h.Movable && !h.Reserved && !moved[h.Name] && (n.pool.Standby || left[h.Pool] > 0) {
			left[h.Pool]--
			out[h.Name] = true
		}
	}
	return out
}

// cordonSurplus chooses the hosts of each pool beyond the wanted number: those with the
// least work, and none with long-lived work.
func cordonSurplus(order []*need, hosts []Host) map[string]bool {
	cordoned := map[string]bool{}
	for _, n := range order {
		var open []Host
		for _, h := range hosts {
			if h.Pool == n.pool.Name && !h.Reserved {
				open = append(open, h)
			}
		}
		slices.SortFunc(open, func(a, b Host) int {
			return cmp.Or(compareBool(b.LongLived, a.LongLived), cmp.Compare(b.Load, a.Load),
				compareBool(n.suits(&b), n.suits(&a)), compareBool(n.suitsShort(&b), n.suitsShort(&a)), cmp.Compare(a.Name, b.Name))
		})
		for _, h := range open[min(len(open), n.want):] {
			cordoned[h.Name] = !h.LongLived
		}
	}
	return cordoned
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// defaultDurationS is the assumed duration of tasks if it is unknown.
const defaultDurationS = 1

// want returns how many hosts a pool should have once hosts that move now have arrived.
// By then some of the running work has ended and some of the arriving work still runs.
// It never plans with less than the running work, since jobs with further steps keep
// their hosts.
func (p Policy) want(pool *Pool, size int64) int {
	duration := pool.DurationS
	if duration <= 0 {
		duration = defaultDurationS
	}
	remaining := math.Exp(-p.HorizonS / duration)
	arriving := pool.ArrivalRate + p.TrendShare*p.HorizonS*pool.ArrivalRise
	ahead := remaining*float64(pool.Running) + (1-remaining)*arriving
	cpu := float64(pool.Waiting) + max(float64(pool.Running), ahead)
	return max(1, pool.MinHosts, int(math.Ceil(cpu/(float64(size)*p.UsableShare)))) + p.ExtraHosts
}

// assign moves idle hosts of pools with too many hosts, and then those on standby, to
// the pools that lack hosts. The hosts needed by long-lived tasks that no host takes
// come first, since these would otherwise wait for the end of other pools' backlogs;
// then those for work that can be in time, then those for all work. Among pools, the
// one that lacks the largest share comes first. Last come hosts for other tasks that none
// of the pool's hosts suits, although it has as many as it wants.
func (p Policy) assign(order []*need, needs map[string]*need, hosts []Host, standby string) []Move {
	a := newAssignment(needs, hosts, standby)
	for _, n := range order {
		for ; n.missing > 0 && a.takeSuiting(n, n.suits); n.missing-- {
		}
	}
	for _, target := range []func(n *need) int{inTimeOf, wantOf} {
		for {
			worst := mostShort(order, target)
			if worst == nil || (!a.take(worst, a.isSurplus) && !a.take(worst, a.isOnStandby)) {
				break
			}
		}
	}
	for _, n := range order {
		for n.hosts >= n.want && n.suitingShort < n.missingShort && (a.takeSuiting(n, n.suitsShort) || a.exchange(n)) {
		}
	}
	if standby != "" {
		a.moveIdleToStandby(p.IdleMS)
	}
	return a.moves
}

// assignment holds the moves that have been decided.
type assignment struct {
	needs   map[string]*need
	standby string // pool, empty for none
	// free holds all hosts, those that idle longest first.
	free  []Host
	taken map[string]bool
	moves []Move
}

func newAssignment(needs map[string]*need, hosts []Host, standby string) *assignment {
	free := slices.Clone(hosts)
	slices.SortFunc(free, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.IdleMS, a.IdleMS), cmp.Compare(a.Name, b.Name))
	})
	return &assignment{needs: needs, standby: standby, free: free, taken: map[string]bool{}}
}

// isFree reports whether a host can still be moved.
func (a *assignment) isFree(h *Host) bool { return h.Movable && !h.Reserved && !a.taken[h.Name] }

// take moves the first host of another pool that meets a condition to a pool. It reports
// whether there was one.
func (a *assignment) take(to *need, from func(h *Host) bool) bool {
	for i := range a.free {
		if h := &a.free[i]; a.isFree(h) && h.Pool != to.pool.Name && from(h) {
			a.taken[h.Name] = true
			a.needs[h.Pool].leave(h)
			to.join(h)
			a.moves = append(a.moves, Move{h.Name, h.Pool, to.pool.Name, "pool lacks hosts"})
			return true
		}
	}
	return false
}

// takeSuiting moves a host that suits, and that its pool can spare, to a pool.
func (a *assignment) takeSuiting(to *need, suits func(h *Host) bool) bool {
	return a.take(to, func(h *Host) bool { return suits(h) && a.isSurplus(h) }) ||
		a.take(to, func(h *Host) bool { return suits(h) && a.isOnStandby(h) })
}

// exchange moves a host that suits short tasks from a pool without work, which then gets
// another one.
func (a *assignment) exchange(to *need) bool {
	return a.take(to, func(h *Host) bool {
		n := a.needs[h.Pool]
		return n != nil && !n.pool.Standby && n.used == 0 && n.pool.Waiting == 0 && to.suitsShort(h)
	})
}

func (a *assignment) isSurplus(h *Host) bool {
	n := a.needs[h.Pool]
	return n != nil && !n.pool.Standby && n.canSpare(h)
}

func (a *assignment) isOnStandby(h *Host) bool { return h.Pool == a.standby }

// moveIdleToStandby moves the surplus hosts that have idled for a time.
func (a *assignment) moveIdleToStandby(idleMS int64) {
	for i := range a.free {
		if h := &a.free[i]; a.isFree(h) && h.IdleMS >= idleMS && a.isSurplus(h) {
			a.taken[h.Name] = true
			a.needs[h.Pool].leave(h)
			a.moves = append(a.moves, Move{h.Name, h.Pool, a.standby, "idle"})
		}
	}
}

func inTimeOf(n *need) int { return n.inTime }
func wantOf(n *need) int   { return n.want }

// mostShort returns the pool that has the smallest share of its target, or nil if none
// lacks hosts.
func mostShort(order []*need, target func(n *need) int) *need {
	var worst *need
	share := func(n *need) float64 { return float64(n.hosts) / float64(target(n)) }
	for _, n := range order {
		if n.hosts < target(n) && (worst == nil || share(n) < share(worst)) {
			worst = n
		}
	}
	return worst
}

// medianCPU returns the median CPU of the hosts, 0 if none is known.
func medianCPU(hosts []Host) int64 {
	var sizes []int64
	for _, h := range hosts {
		if h.CPU > 0 {
			sizes = append(sizes, h.CPU)
		}
	}
	if len(sizes) == 0 {
		return 0
	}
	slices.Sort(sizes)
	return sizes[len(sizes)/2]
}
