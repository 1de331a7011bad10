// Package drain decides which hosts of a maintenance wave are drained now. It is a pure
// function.
package drain

import (
	"cmp"
	"math"
	"slices"
)

// Host is a host whose maintenance has not begun.
type Host struct {
	Name string
	// Draining is set if the host was chosen earlier.
	Draining bool
	// LongLived has the job of each run that has to be stopped because it does not end
	// by itself; ShortRuns is the number of the other runs.
	LongLived []string
	ShortRuns int
	// Spare is set if the host is empty and its pool does not need it.
	Spare bool
}

// Wave is the state of a maintenance wave.
type Wave struct {
	// Hosts are those whose maintenance can be ordered now.
	Hosts []Host
	// DownBudget is how many more hosts may be down.
	DownBudget int
	// RemainingMS is the time until the wave is due, negative if it is late.
	RemainingMS int64
	// HostDownMS is how long a host is down for its maintenance.
	HostDownMS int64
	// CanEmpty, if set, reports whether a host can be emptied beside those for which it has
	// reported so before. It is called for the hosts that would be chosen, in their order.
	CanEmpty func(host string) bool
}

const (
	// moveRunMS is how long it takes to stop a long-lived run and to see it up on
	// another host, before the next run of its step is stopped.
	moveRunMS = 1500
	// shortRunsEndMS is how long the short runs of a host take to end.
	shortRunsEndMS = 2000
	// maxEvacuating bounds the hosts that one long-lived job leaves at the same time:
	// the one whose run moves, and the next one.
	maxEvacuating = 2
	// usableShare is the share of the remaining time that is planned with. The rest is
	// for hosts that fail or do not come back in time.
	usableShare = 0.6
)

// durationMS returns how long a host needs from the start of its drain until it is
// back.
func (w *Wave) durationMS(h *Host) int64 {
	cost := w.HostDownMS + int64(len(h.LongLived))*moveRunMS
	if h.ShortRuns > 0 {
		cost += shortRunsEndMS
	}
	return cost
}

// Choose returns the hosts to drain or keep draining, in the order in which they should
// be maintained: those chosen earlier, those that long-lived runs have to leave one by
// one, all spare ones within the budget, and as many others as have to be down at the
// same time for the wave to end in time. Draining no more than that keeps capacity for
// a demand peak, when a queue needs every host.
func Choose(w *Wave) []string {
	hostsLeft := map[string]int{} // hosts with a run of the long-lived job
	for i := range w.Hosts {
		for _, job := range distinct(w.Hosts[i].LongLived) {
			hostsLeft[job]++
		}
	}
	longest := func(h *Host) (hosts int) {
		for _, job := range h.LongLived {
			hosts = max(hosts, hostsLeft[job])
		}
		return hosts
	}
	order := slices.Clone(w.Hosts)
	slices.SortStableFunc(order, func(a, b Host) int {
		return cmp.Or(compareTrueFirst(a.Draining, b.Draining), cmp.Compare(longest(&b), longest(&a)), compareTrueFirst(a.Spare, b.Spare),
			cmp.Compare(len(a.LongLived)+a.ShortRuns, len(b.LongLived)+b.ShortRuns))
	})
	usable := usableShare * float64(w.RemainingMS)
	paced := w.concurrency(usable)
	evacuating := map[string]int{}
	// mayMove reports whether one of the host's long-lived runs could move now.
	mayMove := func(h *Host) bool {
		return slices.ContainsFunc(h.LongLived, func(job string) bool {
			return evacuating[job] < min(maxEvacuating, 1+int(2*moveRunMS*float64(hostsLeft[job])/usable))
		})
	}
	var chosen []string
	for i := range order {
		h := &order[i]
		wanted := h.Draining || h.Spare || len(chosen) < paced
		if len(h.LongLived) > 0 && usable > 0 {
			wanted = h.Draining || mayMove(h)
		}
		if len(chosen) >= w.DownBudget || !wanted || (w.CanEmpty != nil && !w.CanEmpty(h.Name)) {
			continue
		}
		for _, job := range distinct(h.LongLived) {
			evacuating[job]++
		}
		chosen = append(chosen, h.Name)
	}
	return chosen
}

// distinct returns the jobs without duplicates.
func distinct(jobs []string) []string {
	jobs = slices.Clone(jobs)
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

// concurrency returns how many hosts have to drain at the same time for the wave to end
// within the usable time in ms.
func (w *Wave) concurrency(usable float64) int {
	if usable <= 0 {
		return w.DownBudget
	}
	var all float64
	for i := range w.Hosts {
		all += float64(w.durationMS(&w.Hosts[i]))
	}
	return int(math.Ceil(all / usable))
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
