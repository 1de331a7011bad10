// Package poolsize decides which hosts move between pools so that they follow
// the demand. It is pure.
package poolsize

import (
	"cmp"
	"math"
	"slices"
)

// Pool is the demand of one pool, in thousandths of a core.
type Pool struct {
	Name    string
	Standby bool
	// Running and Waiting are what runs and what could start now.
	Running, Waiting int64
	// LateRunning and LateWaiting are the parts of them that belong to jobs
	// which miss their objective in any case.
	LateRunning, LateWaiting int64
	// ArrivalRate is the work that arrives each second, in thousandths of a
	// core-second.
	ArrivalRate float64
	// ArrivalRise is by how much more arrives after each second.
	ArrivalRise float64
	// DurationS is how long its tasks run on average, 0 if that is not known.
	DurationS float64
	// MinHosts is the least number of hosts that lasting work needs.
	MinHosts int
	// MissingHosts is how many empty hosts the tasks need that no host takes, for
	// whichever reason: memory, room in parts, or what runs beside them.
	// MissingLongLived is the part of it that lasting tasks need.
	MissingHosts, MissingLongLived int
	// Suits reports whether a lasting task that lacks a host could run on one when it
	// is empty. Without it, any host suits.
	Suits func(host string) bool
}

// Host is one host. Hosts that are away count for the pool that they join.
type Host struct {
	Name string
	Pool string
	CPU  int64 // thousandths of a core
	// Movable is set if nothing runs on the host and it can be ordered.
	Movable bool
	// IdleMS is for how long nothing has run on it.
	IdleMS int64
	// Load is what runs on it, in thousandths of a core; Lasting is set if some
	// of it does not end by itself.
	Load      int64
	LongLived bool
	// Reserved hosts take no new work for another reason than the pool's size.
	Reserved bool
}

// Policy weighs moves against idle hosts.
type Policy struct {
	// IdleMS is how long a host idles before it goes to standby: a move there
	// and back costs as much as about two seconds in a pool.
	IdleMS int64
	// UsableShare is the share of a host that tasks of mixed sizes can use.
	UsableShare float64
	// HorizonS is how far the demand is looked ahead, in seconds: what a move takes
	// and some time to notice the change.
	HorizonS float64
	// TrendShare is the share of a rise of the arriving work that is expected to go on
	// for that time.
	TrendShare float64
	// ExtraHosts is how many hosts a pool keeps beyond its demand.
	ExtraHosts int
}

// Default returns the policy in use.
func Default() Policy {
	return Policy{IdleMS: 1500, UsableShare: 0.9, HorizonS: 1.7, TrendShare: 0.5, ExtraHosts: 0}
}

// Move is one decision with its reason.
type Move struct {
	Host, From, To string
	Reason         string
}

// need is how many hosts a pool has, and should have.
type need struct {
	pool  *Pool
	hosts int
	// used counts the hosts on which something runs.
	used int
	// due is for work that can be in time, want for all work.
	due, want int
	// lacks is how many hosts the lasting tasks need that no host takes, beside the
	// empty ones of the pool that suit them.
	lacks int
}

// Decision is what to do now.
type Decision struct {
	Moves []Move
	// Cordoned holds the hosts that take no new work, since their pool has too
	// many: they become idle and can move.
	Cordoned map[string]bool
	// Spare holds the hosts that can move and that no pool needs.
	Spare map[string]bool
	// AttainableCPU is the CPU of the hosts that each pool can have, in thousandths of
	// a core: all but those that others need for work that can be in time.
	AttainableCPU map[string]int64
}

// Plan compares the pools' demand with their hosts.
func Plan(p Policy, pools []Pool, hosts []Host) Decision {
	needs := map[string]*need{}
	standby := ""
	var order []*need
	for i := range pools {
		n := &need{pool: &pools[i], lacks: pools[i].MissingLongLived}
		needs[pools[i].Name] = n
		if pools[i].Standby {
			standby = pools[i].Name
			continue
		}
		order = append(order, n)
	}
	size := typicalCPU(hosts)
	if size == 0 {
		return Decision{}
	}
	for _, h := range hosts {
		if n := needs[h.Pool]; n != nil && !h.Reserved {
			n.hosts++
			if h.Load > 0 || h.LongLived {
				n.used++
			} else if n.suits(&h) {
				n.lacks--
			}
		}
	}
	for _, n := range order {
		n.want = p.want(n.pool, size)
		n.due = min(n.want, p.want(n.pool.withoutMissed(), size))
		if lacking := n.pool.MissingHosts; lacking > 0 {
			n.want = max(n.want, n.used+lacking)
		}
		if lacking := n.pool.MissingLongLived; lacking > 0 {
			n.due = max(n.due, n.used+lacking)
		}
	}
	potential := potential(order, needs, size)
	giveUp(order, needs, standby)
	closing := closeSurplus(order, hosts)
	moves := p.assign(order, needs, hosts, standby)
	return Decision{Moves: moves, Cordoned: closing, Spare: spare(needs, hosts, moves), AttainableCPU: potential}
}

// suits reports whether lasting tasks that lack a host could run on this one.
func (n *need) suits(h *Host) bool { return n.pool.Suits == nil || n.pool.Suits(h.Name) }

func potential(order []*need, needs map[string]*need, size int64) map[string]int64 {
	total, due := 0, 0
	for _, n := range needs {
		total += n.hosts
	}
	for _, n := range order {
		due += n.due
	}
	out := map[string]int64{}
	for _, n := range order {
		out[n.pool.Name] = int64(max(n.hosts, total-(due-n.due))) * size
	}
	return out
}

// withoutMissed returns the demand of jobs that can be in time.
func (p *Pool) withoutMissed() *Pool {
	due := *p
	due.Running -= p.LateRunning
	due.Waiting -= p.LateWaiting
	return &due
}

// giveUp lets pools want fewer hosts for work that is late in any case, as many
// as others lack for work that can be in time. A backlog would otherwise keep
// its hosts until it is done, and the next queue's work would be late as well.
func giveUp(order []*need, needs map[string]*need, standby string) {
	short := 0
	for _, n := range order {
		short += max(0, n.due-n.hosts) - max(0, n.hosts-n.want)
	}
	if off := needs[standby]; off != nil {
		short -= off.hosts
	}
	for ; short > 0; short-- {
		most := slices.MaxFunc(order, func(a, b *need) int { return cmp.Compare(a.givable(), b.givable()) })
		if most.givable() <= 0 {
			return
		}
		most.want = min(most.want, most.hosts) - 1
	}
}

// givable returns how many hosts a pool has for work that is late.
func (n *need) givable() int { return min(n.hosts, n.want) - n.due }

// spare returns the hosts that are left after the moves to pools that lack
// some: those on standby, and as many of each pool as it has too many.
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

// closeSurplus chooses the hosts of each pool beyond what it wants: those
// with the least work that ends by itself.
func closeSurplus(order []*need, hosts []Host) map[string]bool {
	closing := map[string]bool{}
	for _, n := range order {
		var open []Host
		for _, h := range hosts {
			if h.Pool == n.pool.Name && !h.Reserved {
				open = append(open, h)
			}
		}
		slices.SortFunc(open, func(a, b Host) int {
			return cmp.Or(compareBool(b.LongLived, a.LongLived), cmp.Compare(b.Load, a.Load),
				compareBool(n.suits(&b), n.suits(&a)), cmp.Compare(a.Name, b.Name))
		})
		for _, h := range open[min(len(open), n.want):] {
			closing[h.Name] = !h.LongLived
		}
	}
	return closing
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

// unknownDurationS stands for the duration of tasks that is not known.
const unknownDurationS = 1

// want returns how many hosts a pool should have when hosts that move now are
// there. Until then some of what runs ends and some of what arrives still
// runs; jobs with steps to come keep what they have.
func (p Policy) want(pool *Pool, size int64) int {
	duration := pool.DurationS
	if duration <= 0 {
		duration = unknownDurationS
	}
	remaining := math.Exp(-p.HorizonS / duration)
	arriving := pool.ArrivalRate + p.TrendShare*p.HorizonS*pool.ArrivalRise
	ahead := remaining*float64(pool.Running) + (1-remaining)*arriving
	cpu := float64(pool.Waiting) + max(float64(pool.Running), ahead)
	return max(1, pool.MinHosts, int(math.Ceil(cpu/(float64(size)*p.UsableShare)))) + p.ExtraHosts
}

// assign gives idle hosts of pools with too many, and then those on standby,
// to the pools that lack the largest share: first of what lasting tasks without a
// host need, which otherwise wait for the end of other pools' backlogs, then of what
// work in time needs, then of what all work needs.
func (p Policy) assign(order []*need, needs map[string]*need, hosts []Host, standby string) []Move {
	free := slices.Clone(hosts)
	slices.SortFunc(free, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.IdleMS, a.IdleMS), cmp.Compare(a.Name, b.Name))
	})
	var moves []Move
	taken := map[string]bool{}
	take := func(to *need, from func(h *Host) bool) bool {
		for i := range free {
			h := &free[i]
			if h.Movable && !h.Reserved && !taken[h.Name] && h.Pool != to.pool.Name && from(h) {
				taken[h.Name] = true
				needs[h.Pool].hosts--
				to.hosts++
				moves = append(moves, Move{h.Name, h.Pool, to.pool.Name, "pool lacks hosts"})
				return true
			}
		}
		return false
	}
	surplus := func(h *Host) bool {
		n := needs[h.Pool]
		return n != nil && !n.pool.Standby && n.hosts > n.want
	}
	off := func(h *Host) bool { return h.Pool == standby }
	for _, n := range order {
		suiting := func(from func(h *Host) bool) func(h *Host) bool {
			return func(h *Host) bool { return n.suits(h) && from(h) }
		}
		for ; n.lacks > 0 && (take(n, suiting(surplus)) || take(n, suiting(off))); n.lacks-- {
		}
	}
	for _, target := range []func(n *need) int{dueOf, wantOf} {
		for {
			worst := mostLacking(order, target)
			if worst == nil || (!take(worst, surplus) && !take(worst, off)) {
				break
			}
		}
	}
	if standby == "" {
		return moves
	}
	for i := range free {
		h := &free[i]
		if h.Movable && !h.Reserved && !taken[h.Name] && h.IdleMS >= p.IdleMS && surplus(h) {
			taken[h.Name] = true
			needs[h.Pool].hosts--
			moves = append(moves, Move{h.Name, h.Pool, standby, "idle"})
		}
	}
	return moves
}

func dueOf(n *need) int  { return n.due }
func wantOf(n *need) int { return n.want }

// mostLacking returns the pool with the smallest share of its target.
func mostLacking(order []*need, target func(n *need) int) *need {
	var worst *need
	share := func(n *need) float64 { return float64(n.hosts) / float64(target(n)) }
	for _, n := range order {
		if n.hosts < target(n) && (worst == nil || share(n) < share(worst)) {
			worst = n
		}
	}
	return worst
}

// typicalCPU returns the median size of the hosts.
func typicalCPU(hosts []Host) int64 {
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
