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
	// Draining is set if the host was chosen before.
	Draining bool
	// LongLived has the job of each run that has to be stopped, since it does not
	// end by itself; Short is how many do.
	LongLived []string
	ShortRuns int
	// Spare is set if the host is empty and its pool does not need it.
	Spare bool
}

// Wave is the state of a maintenance order.
type Wave struct {
	// Hosts are those whose maintenance can be ordered now.
	Hosts []Host
	// DownBudget is how many more hosts may be down.
	DownBudget int
	// RemainingMS is the time until the order is due, negative if it is late.
	RemainingMS int64
	// HostDownMS is how long a host is down.
	HostDownMS int64
}

const (
	// stopMS is how long it takes to stop a lasting run and to see it at work on
	// another host, before the next one of its step is stopped.
	stopMS = 1500
	// endMS is how long the short runs of a host take to end.
	endMS = 2000
	// maxEvacuating bounds the hosts that runs of one lasting job leave at the same
	// time: one whose run moves, and one that is next.
	maxEvacuating = 2
	// margin is the share of the time left that a plan uses. The rest is for
	// hosts that fail or do not come back in time.
	margin = 0.6
)

// costMS is how long a host needs until it is back.
func (w *Wave) costMS(h *Host) int64 {
	cost := w.HostDownMS + int64(len(h.LongLived))*stopMS
	if h.ShortRuns > 0 {
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
	left := map[string]int{} // hosts with a run of the lasting job
	for i := range w.Hosts {
		for _, job := range distinct(w.Hosts[i].LongLived) {
			left[job]++
		}
	}
	longest := func(h *Host) (hosts int) {
		for _, job := range h.LongLived {
			hosts = max(hosts, left[job])
		}
		return hosts
	}
	order := slices.Clone(w.Hosts)
	slices.SortStableFunc(order, func(a, b Host) int {
		return cmp.Or(compareSet(a.Draining, b.Draining), cmp.Compare(longest(&b), longest(&a)), compareSet(a.Spare, b.Spare),
			cmp.Compare(len(a.LongLived)+a.ShortRuns, len(b.LongLived)+b.ShortRuns))
	})
	usable := margin * float64(w.RemainingMS)
	paced := w.pace(usable)
	evacuating := map[string]int{}
	// next reports whether one of the host's lasting runs could move now.
	next := func(h *Host) bool {
		return slices.ContainsFunc(h.LongLived, func(job string) bool {
			return evacuating[job] < min(maxEvacuating, 1+int(2*stopMS*float64(left[job])/usable))
		})
	}
	var chosen []string
	for i := range order {
		h := &order[i]
		wanted := h.Draining || h.Spare || len(chosen) < paced
		if len(h.LongLived) > 0 && usable > 0 {
			wanted = h.Draining || next(h)
		}
		if len(chosen) >= w.DownBudget || !wanted {
			continue
		}
		for _, job := range distinct(h.LongLived) {
			evacuating[job]++
		}
		chosen = append(chosen, h.Name)
	}
	return chosen
}

// distinct returns the jobs without repetition.
func distinct(jobs []string) []string {
	jobs = slices.Clone(jobs)
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

// pace returns how many hosts have to drain at the same time for the order to
// end within the usable time in ms.
func (w *Wave) pace(usable float64) int {
	if usable <= 0 {
		return w.DownBudget
	}
	var all float64
	for i := range w.Hosts {
		all += float64(w.costMS(&w.Hosts[i]))
	}
	return int(math.Ceil(all / usable))
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
