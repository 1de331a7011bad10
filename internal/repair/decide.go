// Package repair is the policy that keeps pools at their desired number of
// hosts: it moves spare hosts to pools that have too few hosts, and moves
// excess hosts back. It is a pure function of its input; the inventory checks
// every decision again when it is applied.
package repair

import (
	"cmp"
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/liveness"
	"agatehaven.dev/agatehaven/internal/model"
)

// Pool is what the policy needs to know about a pool in this data centre.
type Pool struct {
	Name    string
	Floor   int
	Desired int // desired number of hosts; 0 if the pool is not repaired
	Spare   bool
	// InWave is set while a wave of the pool is unfinished in this data centre.
	// Hosts that it has borrowed are not moved back before its end.
	InWave bool
}

// Timers holds, by pool, since when the pool has been at least 1, 2, ... hosts
// short of its desired number, and since when it has had at least 1, 2, ... too
// many. Each decision passes it to the next. It is soft state: a new leader
// starts with an empty one.
type Timers struct {
	Short  map[string][]hlc.Time
	Excess map[string][]hlc.Time
}

// Input holds everything that a decision depends on. Hosts holds all hosts of
// the data centre, sorted by name.
type Input struct {
	Now      hlc.Time
	Pools    []Pool
	Hosts    []liveness.View
	Timers   Timers
	Settings Settings
}

// Kind names what an action does.
type Kind string

// Kinds of actions.
const (
	// Move starts the move of a host to another pool by draining it.
	Move Kind = "move"
	// Complete completes the move of a host that has no running work left.
	Complete Kind = "complete"
	// Return makes a verified host available again.
	Return Kind = "return"
	// Wait changes nothing; its reason tells what the repair waits for.
	Wait Kind = "wait"
)

// Actor is the name under which the policy's commands appear in events.
const Actor = "repair"

// Action is one decision with its reason.
type Action struct {
	Kind   Kind
	Host   string
	From   string
	To     string
	Reason string
}

// Command returns the inventory command of the action, or nil for Wait.
func (a Action) Command() *inventory.Command {
	switch a.Kind {
	case Move:
		return &inventory.Command{Drain: &inventory.Drain{Host: a.Host, MoveTo: a.To, Actor: Actor, Reason: a.Reason}}
	case Complete:
		return &inventory.Command{CompleteDrain: &inventory.CompleteDrain{Host: a.Host}}
	case Return:
		return &inventory.Command{Return: &inventory.Return{Host: a.Host, Reason: a.Reason}}
	}
	return nil
}

// decision is the working state of one call of Decide.
type decision struct {
	Input
	actions   []Action
	timers    Timers
	available map[string]int    // available hosts by pool, without those that this decision moves
	movedTo   map[string]string // hosts that this decision moves, with their new pool
}

// Decide returns the actions to take now, in the order in which they must be
// committed, and the timers for the next call. While the announcements are not
// reliable, it starts no move and resets all timers.
func Decide(in Input) ([]Action, Timers) {
	d := &decision{
		Input: in, available: make(map[string]int), movedTo: make(map[string]string),
		timers: Timers{Short: make(map[string][]hlc.Time), Excess: make(map[string][]hlc.Time)},
	}
	if !liveness.AnnouncementsReliable(in.Hosts, in.Now, in.Settings.LeaseMS) {
		d.actions = append(d.actions, Action{Kind: Wait,
			Reason: "more than half of the data centre's hosts are silent: this observer may be the isolated one"})
		return d.actions, d.timers
	}
	for _, h := range in.Hosts {
		if h.Host.State == model.HostReady && h.Fresh(in.Now, in.Settings.LeaseMS) {
			d.available[h.Host.Pool]++
		}
	}
	d.completeMovesAndReturns()
	for _, p := range d.poolsByHeadroom() {
		d.fillShortage(p)
		d.returnExcess(p)
	}
	return d.actions, d.timers
}

// completeMovesAndReturns completes the moves of hosts that have drained and
// returns verified hosts to service.
func (d *decision) completeMovesAndReturns() {
	for _, h := range d.Hosts {
		name := h.Host.Info.Name
		switch {
		case h.Host.State == model.HostDraining && h.Host.MoveTo != "" && h.Idle:
			d.actions = append(d.actions, Action{Kind: Complete, Host: name, From: h.Host.Pool, To: h.Host.MoveTo,
				Reason: "drained without running work"})
		case h.Host.State == model.HostVerifying && h.Host.Wave == "" && h.Steady(d.Now, d.Settings.LeaseMS, d.Settings.VerifyMS):
			d.actions = append(d.actions, Action{Kind: Return, Host: name,
				Reason: fmt.Sprintf("announced itself steadily for %d ms", d.Settings.VerifyMS)})
		}
	}
}

// poolsByHeadroom returns the pools to repair, in the order of their available
// hosts above the floor, fewest first.
func (d *decision) poolsByHeadroom() []Pool {
	var out []Pool
	for _, p := range d.Pools {
		if p.Desired > 0 && !p.Spare {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(d.available[a.Name]-a.Floor, d.available[b.Name]-b.Floor), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// expectedHosts returns the number of hosts that a pool has or will have without
// further moves: ready ones, those in a wave step, which return after it, and
// those that are moving into the pool. Hosts that are lost, set aside, drained
// or verified outside a wave step do not count.
func (d *decision) expectedHosts(pool string) int {
	n := 0
	for _, h := range d.Hosts {
		switch {
		case h.Host.MoveTo != "":
			if h.Host.MoveTo == pool {
				n++
			}
		case h.Host.Pool != pool:
		case h.Host.State == model.HostReady, h.Host.Wave != "" && h.Host.State != model.HostLost:
			n++
		}
	}
	return n
}

// updateLevels updates since when a number has been at least 1, 2, ..., and
// returns how many of these levels have lasted for at least forMS. When the
// number falls, the most recent levels are dropped.
func (d *decision) updateLevels(levels []hlc.Time, number int, forMS int64) (updated []hlc.Time, lasting int) {
	number = max(number, 0)
	updated = slices.Clone(levels[:min(number, len(levels))])
	for len(updated) < number {
		updated = append(updated, d.Now)
	}
	for lasting < number && d.Now.WallMillis-updated[lasting].WallMillis >= forMS {
		lasting++
	}
	return updated, lasting
}

// fillShortage moves spare hosts to a pool that has been short of hosts for long
// enough. Each move removes the oldest level, so that a later loss has to last
// as long as the first one. A move that the inventory refuses is retried after
// the same time.
func (d *decision) fillShortage(p Pool) {
	missing := p.Desired - d.expectedHosts(p.Name)
	levels, lasting := d.updateLevels(d.Timers.Short[p.Name], missing, d.Settings.ShortForMS)
	for ; lasting > 0; lasting-- {
		h, ok := d.pickSpare(p.Name)
		if !ok {
			d.actions = append(d.actions, Action{Kind: Wait, To: p.Name,
				Reason: fmt.Sprintf("%d hosts short and no spare host is available above the floor", len(levels))})
			break
		}
		d.move(h, p.Name, fmt.Sprintf("%d of %d desired hosts for %d ms", p.Desired-len(levels), p.Desired, d.Settings.ShortForMS))
		levels = levels[1:]
	}
	d.timers.Short[p.Name] = levels
}

// returnExcess moves hosts to a spare pool if a pool has had too many for long
// enough.
func (d *decision) returnExcess(p Pool) {
	excess := d.expectedHosts(p.Name) - p.Desired
	if p.InWave {
		excess = 0
	}
	levels, lasting := d.updateLevels(d.Timers.Excess[p.Name], excess, d.Settings.ExcessForMS)
	for ; lasting > 0; lasting-- {
		to, h, ok := d.pickExcess(p)
		if !ok {
			d.actions = append(d.actions, Action{Kind: Wait, From: p.Name,
				Reason: fmt.Sprintf("%d hosts too many, but none can leave within the floor", len(levels))})
			break
		}
		d.move(h, to, fmt.Sprintf("%d hosts, %d desired, for %d ms", p.Desired+len(levels), p.Desired, d.Settings.ExcessForMS))
		levels = levels[1:]
	}
	d.timers.Excess[p.Name] = levels
}

func (d *decision) move(h liveness.View, to, reason string) {
	name := h.Host.Info.Name
	d.actions = append(d.actions, Action{Kind: Move, Host: name, From: h.Host.Pool, To: to, Reason: reason})
	d.movedTo[name] = to
	d.available[h.Host.Pool]--
}

// movable reports whether a host can be moved out of its pool: it is ready,
// announces itself steadily, and the pool stays at or above the floor.
func (d *decision) movable(h liveness.View, floor int) bool {
	return h.Host.State == model.HostReady && !h.Host.Info.Leaving && d.movedTo[h.Host.Info.Name] == "" &&
		h.Steady(d.Now, d.Settings.LeaseMS, d.Settings.VerifyMS) && d.available[h.Host.Pool]-1 >= floor
}

// pickSpare chooses a spare host to move to the pool: an idle one if possible,
// and the one whose rack has the fewest hosts of the pool.
func (d *decision) pickSpare(pool string) (liveness.View, bool) {
	floors := make(map[string]int)
	for _, p := range d.Pools {
		if p.Spare {
			floors[p.Name] = p.Floor
		}
	}
	inRack := d.hostsByRack(pool)
	return d.pickBest(func(h liveness.View) bool {
		floor, ok := floors[h.Host.Pool]
		return ok && d.movable(h, floor)
	}, func(h liveness.View) int { return inRack[h.Host.Info.Rack] })
}

// pickExcess chooses a host to move to a spare pool: an idle one if possible, and
// the one whose rack has the most hosts of the pool. Its destination is the spare
// pool with the fewest available hosts.
func (d *decision) pickExcess(p Pool) (to string, h liveness.View, ok bool) {
	for _, s := range d.Pools {
		if s.Spare && (to == "" || d.available[s.Name] < d.available[to]) {
			to = s.Name
		}
	}
	if to == "" {
		return "", h, false
	}
	inRack := d.hostsByRack(p.Name)
	h, ok = d.pickBest(func(h liveness.View) bool { return h.Host.Pool == p.Name && d.movable(h, p.Floor) },
		func(h liveness.View) int { return -inRack[h.Host.Info.Rack] })
	return to, h, ok
}

// pickBest returns the best matching host: idle ones first, then the one with
// the lowest rank, then the first by name.
func (d *decision) pickBest(match func(liveness.View) bool, rank func(liveness.View) int) (liveness.View, bool) {
	var best liveness.View
	found := false
	for _, h := range d.Hosts {
		if !match(h) {
			continue
		}
		better := !found || h.Idle && !best.Idle || h.Idle == best.Idle && rank(h) < rank(best)
		if better {
			best, found = h, true
		}
	}
	return best, found
}

// hostsByRack returns, by rack, the number of hosts that are in a pool or moving
// into it.
func (d *decision) hostsByRack(pool string) map[string]int {
	out := make(map[string]int)
	for _, h := range d.Hosts {
		if h.Host.Pool == pool && h.Host.MoveTo == "" && h.Host.State != model.HostLost || h.Host.MoveTo == pool ||
			d.movedTo[h.Host.Info.Name] == pool {
			out[h.Host.Info.Rack]++
		}
	}
	return out
}
