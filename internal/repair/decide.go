// Package repair is the policy that keeps pools at their desired number of
// hosts: it moves hosts from the spare pool to a pool that is short and back.
// It is pure; the inventory checks every decision again on apply.
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

// Pool is what the policy needs to know of a pool in this data centre.
type Pool struct {
	Name    string
	Floor   int
	Desired int // 0: not repaired
	Spare   bool
	// InWave is set while a wave of the pool is not finished in this data
	// centre. Its borrowed hosts are not returned before its end.
	InWave bool
}

// Timers is what one decision passes to the next. For each pool it holds
// since when the pool has been short of (has had in excess) 1, 2, ... hosts.
// It is soft state: a new leader starts with an empty one.
type Timers struct {
	Short  map[string][]hlc.Time
	Excess map[string][]hlc.Time
}

// Input is everything that a decision depends on. Hosts are all hosts of the
// data centre by name.
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
	// Move drains a host for its move to another pool.
	Move Kind = "move"
	// Complete ends the move of a host without running work.
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

// decision is one call of Decide under way.
type decision struct {
	Input
	actions []Action
	next    Timers
	ready   map[string]int    // available hosts by pool, less those moved now
	taken   map[string]string // host moved now -> its new pool
}

// Decide returns the actions to take now, in the order in which they have to
// be committed, and the memory for the next call. On untrusted announcements
// it does nothing and starts all times again.
func Decide(in Input) ([]Action, Timers) {
	d := &decision{
		Input: in, ready: make(map[string]int), taken: make(map[string]string),
		next: Timers{Short: make(map[string][]hlc.Time), Excess: make(map[string][]hlc.Time)},
	}
	if !liveness.Trusted(in.Hosts, in.Now, in.Settings.LeaseMS) {
		d.actions = append(d.actions, Action{Kind: Wait,
			Reason: "more than half of the data centre's hosts are silent: this observer may be the isolated one"})
		return d.actions, d.next
	}
	for _, h := range in.Hosts {
		if h.Host.State == model.HostReady && h.Fresh(in.Now, in.Settings.LeaseMS) {
			d.ready[h.Host.Pool]++
		}
	}
	d.settle()
	for _, p := range d.byNeed() {
		d.restore(p)
		d.giveBack(p)
	}
	return d.actions, d.next
}

// settle completes moves of idle hosts and returns verified hosts.
func (d *decision) settle() {
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

// byNeed returns the pools with a desired number of hosts, those nearest to
// their floor first.
func (d *decision) byNeed() []Pool {
	var out []Pool
	for _, p := range d.Pools {
		if p.Desired > 0 && !p.Spare {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(d.ready[a.Name]-a.Floor, d.ready[b.Name]-b.Floor), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// strength counts the hosts that a pool has or will have without repair: the
// available ones, those in a wave step, which return, and those on their way
// into it. Lost, returning, set aside and drained hosts do not count.
func (d *decision) strength(pool string) int {
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

// track updates since when a number has been at least 1, 2, ... and returns
// how many of these levels have lasted for the given time. When the number
// falls, the latest levels end.
func (d *decision) track(levels []hlc.Time, number int, forMS int64) (updated []hlc.Time, lasting int) {
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

// restore moves spare hosts to a pool that has been short for long enough.
// Each move uses up the oldest level, so that a later loss has to last as long
// as the first one; a move that the inventory refuses is tried again after
// the same time.
func (d *decision) restore(p Pool) {
	missing := p.Desired - d.strength(p.Name)
	levels, lasting := d.track(d.Timers.Short[p.Name], missing, d.Settings.ShortForMS)
	for ; lasting > 0; lasting-- {
		h, ok := d.spare(p.Name)
		if !ok {
			d.actions = append(d.actions, Action{Kind: Wait, To: p.Name,
				Reason: fmt.Sprintf("%d hosts short and no spare host is available above the floor", len(levels))})
			break
		}
		d.move(h, p.Name, fmt.Sprintf("%d of %d desired hosts for %d ms", p.Desired-len(levels), p.Desired, d.Settings.ShortForMS))
		levels = levels[1:]
	}
	d.next.Short[p.Name] = levels
}

// giveBack moves hosts to the spare pool if a pool has had too many for long
// enough.
func (d *decision) giveBack(p Pool) {
	excess := d.strength(p.Name) - p.Desired
	if p.InWave {
		excess = 0
	}
	levels, lasting := d.track(d.Timers.Excess[p.Name], excess, d.Settings.ExcessForMS)
	for ; lasting > 0; lasting-- {
		to, h, ok := d.surplus(p)
		if !ok {
			d.actions = append(d.actions, Action{Kind: Wait, From: p.Name,
				Reason: fmt.Sprintf("%d hosts too many, but none can leave within the floor", len(levels))})
			break
		}
		d.move(h, to, fmt.Sprintf("%d hosts, %d desired, for %d ms", p.Desired+len(levels), p.Desired, d.Settings.ExcessForMS))
		levels = levels[1:]
	}
	d.next.Excess[p.Name] = levels
}

func (d *decision) move(h liveness.View, to, reason string) {
	name := h.Host.Info.Name
	d.actions = append(d.actions, Action{Kind: Move, Host: name, From: h.Host.Pool, To: to, Reason: reason})
	d.taken[name] = to
	d.ready[h.Host.Pool]--
}

// movable reports whether a host can leave its pool within the floor.
func (d *decision) movable(h liveness.View, floor int) bool {
	return h.Host.State == model.HostReady && !h.Host.Info.Leaving && d.taken[h.Host.Info.Name] == "" &&
		h.Steady(d.Now, d.Settings.LeaseMS, d.Settings.VerifyMS) && d.ready[h.Host.Pool]-1 >= floor
}

// spare chooses a spare host: idle ones first, then the one whose rack has
// the fewest hosts of the pool.
func (d *decision) spare(pool string) (liveness.View, bool) {
	floors := make(map[string]int)
	for _, p := range d.Pools {
		if p.Spare {
			floors[p.Name] = p.Floor
		}
	}
	inRack := d.inRack(pool)
	return d.choose(func(h liveness.View) bool {
		floor, ok := floors[h.Host.Pool]
		return ok && d.movable(h, floor)
	}, func(h liveness.View) int { return inRack[h.Host.Info.Rack] })
}

// surplus chooses a host to give back: idle ones first, then the one whose
// rack has the most hosts of the pool. It goes to the smallest spare pool.
func (d *decision) surplus(p Pool) (to string, h liveness.View, ok bool) {
	for _, s := range d.Pools {
		if s.Spare && (to == "" || d.ready[s.Name] < d.ready[to]) {
			to = s.Name
		}
	}
	if to == "" {
		return "", h, false
	}
	inRack := d.inRack(p.Name)
	h, ok = d.choose(func(h liveness.View) bool { return h.Host.Pool == p.Name && d.movable(h, p.Floor) },
		func(h liveness.View) int { return -inRack[h.Host.Info.Rack] })
	return to, h, ok
}

// choose returns the matching host that is idle, has the lowest rank and
// comes first by name.
func (d *decision) choose(match func(liveness.View) bool, rank func(liveness.View) int) (liveness.View, bool) {
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

// inRack counts the hosts in each rack that are or will be in a pool.
func (d *decision) inRack(pool string) map[string]int {
	out := make(map[string]int)
	for _, h := range d.Hosts {
		if h.Host.Pool == pool && h.Host.MoveTo == "" && h.Host.State != model.HostLost || h.Host.MoveTo == pool ||
			d.taken[h.Host.Info.Name] == pool {
			out[h.Host.Info.Rack]++
		}
	}
	return out
}
