package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/poolsize"
	"agatehaven.dev/agatehaven/internal/schedule"
)

// registerTime is how long after its move a host takes its first runs: it registers, and the
// next plan finds it.
const registerTime = 200 * time.Millisecond

// emptyingFactor is for how many times the mean duration of its tasks a busy host goes on
// until the last of them has ended. Of the few tasks on a host the longest decides.
const emptyingFactor = 2

// supplies returns when the pools have the CPU that they can get: that of their hosts now,
// that of moving hosts after their move, then that of idle hosts of other pools, and at last
// that of busy ones. The mutex is held.
func (l *Leader) supplies(demand []poolsize.Pool, hosts []poolsize.Host, d *poolsize.Decision) map[string][]schedule.Supply {
	moved := map[string]string{}
	for _, m := range d.Moves {
		moved[m.Host] = m.To
	}
	now, join := l.now(), (l.cfg.Timing.Move + registerTime).Milliseconds()
	out, idle, known := map[string][]schedule.Supply{}, int64(0), map[string]int64{}
	add := func(pool string, inMS, cpu int64) {
		out[pool] = append(out[pool], schedule.Supply{InMS: inMS, MilliCPU: cpu})
		known[pool] += cpu
	}
	for _, h := range hosts {
		state := l.fleet.host(h.Name)
		switch {
		case moved[h.Name] != "":
			add(moved[h.Name], join, h.CPU)
		case state.reserved == reservedMove && state.orderPending:
			add(state.movesTo, join, h.CPU)
		case !state.away.IsZero():
			add(h.Pool, max(0, state.away.Sub(now)+registerTime).Milliseconds(), h.CPU)
		case d.Spare[h.Name]:
			idle += h.CPU
		case !h.Reserved:
			add(h.Pool, 0, h.CPU)
		}
	}
	emptying := join + int64(emptyingFactor*1000*meanDuration(demand))
	for pool, cpu := range d.AttainableCPU {
		rest := max(0, cpu-known[pool])
		fromIdle := min(rest, idle)
		add(pool, join, fromIdle)
		add(pool, emptying, rest-fromIdle)
	}
	return out
}

// meanDuration returns the mean duration of the running tasks of all pools in seconds.
func meanDuration(demand []poolsize.Pool) float64 {
	var m mean
	for _, p := range demand {
		m.add(p.DurationS, float64(p.Running))
	}
	return m.value()
}
