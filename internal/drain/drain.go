// Package drain decides which hosts of a maintenance order stop taking work
// now. It is pure.
package drain

import (
	"cmp"
	"math"
	"slices"
)

// Host is a host whose maintenance has not begun.
type Host struct {
	Name string
	Pool string
	// Draining is set if the host was chosen before.
	Draining bool
	// Lasting is how many runs have to be stopped, since they do not end by
	// themselves; Short is how many do.
	Lasting, Short int
	// Spare is set if the host is empty and its pool does not need it.
	Spare bool
}

// Wave is the state of a maintenance order.
type Wave struct {
	// Hosts are those whose maintenance can be ordered now.
	Hosts []Host
	// Room is how many more hosts may be down.
	Room int
	// LeftMS is the time until the order is due, negative if it is late.
	LeftMS int64
	// HostMS is how long a host is down.
	HostMS int64
}

const (
	// stopMS is how long it takes to stop a lasting run and to see it at work on
	// another host, before the next one of its step is stopped.
	stopMS = 1500
	// endMS is how long the short runs of a host take to end.
	endMS = 2000
	// maxEvacuating bounds the hosts of a pool that lasting runs leave at the same
	// time: one whose runs move, one whose short runs end, one that is next.
	maxEvacuating = 3
	// margin is the share of the time left that a plan uses. The rest is for
	// hosts that fail or do not come back in time.
	margin = 0.6
)

// costMS is how long a host needs until it is back.
func (w *Wave) costMS(h *Host) int64 {
	cost := w.HostMS + int64(h.Lasting)*stopMS
	if h.Short > 0 {
		cost += endMS
	}
	return cost
}

// Choose returns the hosts to drain or keep draining, in the order in which
// they should be maintained: those that were chosen before, those that lasting
// runs have to leave one by one, all spare ones that may be down at once, and
// as many others as have to be down at the same time for the order to end in
// time. So little capacity is missing while a queue's turn needs every host.
func Choose(w *Wave) []string {
	order := slices.Clone(w.Hosts)
	slices.SortStableFunc(order, func(a, b Host) int {
		return cmp.Or(compareSet(a.Draining, b.Draining), compareSet(a.Lasting > 0, b.Lasting > 0), compareSet(a.Spare, b.Spare),
			cmp.Compare(a.Lasting+a.Short, b.Lasting+b.Short))
	})
	usable := margin * float64(w.LeftMS)
	paced, atOnce := w.pace(usable)
	evacuating := map[string]int{}
	var chosen []string
	for i := range order {
		h := &order[i]
		wanted := h.Draining || h.Spare || len(chosen) < paced
		if h.Lasting > 0 && usable > 0 {
			wanted = h.Draining || evacuating[h.Pool] < atOnce[h.Pool]
		}
		if len(chosen) >= w.Room || !wanted {
			continue
		}
		if h.Lasting > 0 {
			evacuating[h.Pool]++
		}
		chosen = append(chosen, h.Name)
	}
	return chosen
}

// pace returns how many hosts have to drain at the same time for the order to
// end within the usable time in ms, and how many of each pool that lasting runs
// have to leave. These runs move one by one, so a few hosts keep them moving:
// more would only wait.
func (w *Wave) pace(usable float64) (hosts int, atOnce map[string]int) {
	atOnce = map[string]int{}
	if usable <= 0 {
		return w.Room, atOnce
	}
	var all float64
	moving := map[string]float64{}
	for i := range w.Hosts {
		h := &w.Hosts[i]
		all += float64(w.costMS(h))
		moving[h.Pool] += float64(h.Lasting) * stopMS
	}
	for pool, ms := range moving {
		atOnce[pool] = min(maxEvacuating, 1+int(2*ms/usable))
	}
	return int(math.Ceil(all / usable)), atOnce
}

// compareSet orders true before false.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
