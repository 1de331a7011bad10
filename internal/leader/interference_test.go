package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against long-lived tasks that wait for ever where serving and fill-in work refuse each
// other's hosts, or where fill-in work exceeds the CPU that others leave: each host of the fleet
// has room for them.
func TestServingAndFillInTasksShareHostsWhereNoneIsFree(t *testing.T) {
	serving, filling := longLivedStep(4), longLivedStep(4)
	serving.Demand = work.Demand{MilliCPU: 500, MemoryMB: 500}
	serving.TailLatencyTargetMS = 100
	filling.Demand = work.Demand{MilliCPU: 2500, MemoryMB: 500}
	filling.FillIn = true
	apart := func(s work.Step) work.Step { s.MaxPerHost = 1; return s }
	for name, steps := range map[string][2]work.Step{
		"serving beside fill-in": {serving, apart(filling)},
		"fill-in beside serving": {filling, apart(serving)},
		"fill-in beside fill-in": {filling, apart(filling)},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				w.disturbance = 1
				for i := range 5 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				w.propose(&work.Command{Configure: w.withoutStandby()})
				_, stop := w.lead(2)
				defer stop()
				after(time.Second)
				lost, others := steps[0], steps[1]
				w.submit("lost", "/draw/", lost)
				after(2 * time.Second)
				w.submit("others", "/draw/", others)
				after(4 * time.Second)
				defer w.watchPromises()()
				host := w.loseHostOf(work.TaskRef{Job: "lost"})
				w.mu.Lock()
				w.disturbed("%s is lost", host)
				w.mu.Unlock()
				after(20 * time.Second)
				if running, logs := w.outcome(); running != lost.Tasks+others.Tasks {
					t.Errorf("%d tasks run\n%s", running, logs)
				}
			})
		})
	}
}

// startServingFleet starts a pool whose hosts all run serving work, and spare hosts that are too small, so
// that a fill-in task takes a host of the pool only after it has waited for a better one.
func startServingFleet(w *world, servingTasks int) {
	w.disturbance = 0.1
	w.sizes = map[string]work.Demand{}
	for _, n := range []string{"c1", "c2", "c3"} {
		w.sizes["h"+n] = work.Demand{MilliCPU: 500, MemoryMB: 500}
		w.add(n, "h"+n, "2:"+n, "cuts").setDuration(0)
	}
	for i := range servingTasks {
		n := strconv.Itoa(i)
		w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
	}
	serving := longLivedStep(servingTasks)
	serving.MaxPerHost, serving.TailLatencyTargetMS = 1, 100
	w.submit("serving", "/draw/", serving)
}

// Guards against work that waits for too long after a host and then the leader are lost: each
// leader waited anew for a host that would suit the task better than those with room.
func TestTaskDoesNotWaitAgainForABetterHostAfterANewLeader(t *testing.T) {
	const servingTasks = 4
	filling := longLivedStep(1)
	filling.FillIn = true
	for _, pause := range []time.Duration{0, time.Second, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			simulate(t, func(w *world) {
				_, stop := w.lead(2)
				startServingFleet(w, servingTasks)
				after(4 * time.Second)
				w.add("b", "hb", "1:9", "desk").setDuration(0)
				w.submit("filling", "/draw/", filling)
				after(4 * time.Second)
				defer w.watchPromises()()
				host := w.loseHostOf(work.TaskRef{Job: "filling"})
				w.mu.Lock()
				w.disturbed("%s is lost", host)
				w.mu.Unlock()
				after(pause)
				stop()
				w.mu.Lock()
				w.disturbed("leader changes")
				w.mu.Unlock()
				_, stop = w.lead(3)
				defer stop()
				after(20 * time.Second)
				if running, logs := w.outcome(); running != servingTasks+filling.Tasks {
					t.Errorf("%d tasks run\n%s", running, logs)
				}
			})
		})
	}
}

// Guards against work that waits for too long because a start that is not answered, on a host
// that is lost, ended the wait of its task for a better host.
func TestTaskDoesNotWaitAgainForABetterHostAfterALostStart(t *testing.T) {
	const servingTasks = 4
	filling := longLivedStep(1)
	filling.FillIn = true
	simulate(t, func(w *world) {
		_, stop := w.lead(2)
		defer stop()
		startServingFleet(w, servingTasks)
		after(4 * time.Second)
		defer w.watchPromises()()
		w.submit("filling", "/draw/", filling)
		after(worldAnnounce)
		b := w.add("b", "hb", "1:9", "desk")
		w.mu.Lock()
		b.deaf = true
		w.mu.Unlock()
		after(700 * time.Millisecond) // it has announced itself and been sent the start
		w.mu.Lock()
		b.die()
		b.silent = true
		w.disturbed("hb is lost")
		w.mu.Unlock()
		after(20 * time.Second)
		if running, logs := w.outcome(); running != servingTasks+filling.Tasks {
			t.Errorf("%d tasks run\n%s", running, logs)
		}
	})
}

// Guards against fill-in tasks that wait for ever beside closed hosts of their pool: they ask for
// more CPU than most hosts, or all of them, have, which counted as a type of host that cannot
// take them.
func TestFillInTasksOpenHostsWithLessCPU(t *testing.T) {
	for name, size := range map[string]work.Demand{
		"all small": {MilliCPU: 2000, MemoryMB: 4000}, "one large": {MilliCPU: 4000, MemoryMB: 4000},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 5 {
					n := strconv.Itoa(i)
					w.sizes["h"+n] = work.Demand{MilliCPU: 2000, MemoryMB: 4000}
					if i == 0 {
						w.sizes["h"+n] = size
					}
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				w.propose(&work.Command{Configure: w.withoutStandby()})
				_, stop := w.lead(2)
				defer stop()
				after(4 * time.Second) // the pool has one open host
				defer w.watchPromises()()
				filling := longLivedStep(4)
				filling.Demand, filling.FillIn = work.Demand{MilliCPU: 3000, MemoryMB: 2400}, true
				w.submit("filling", "/draw/", filling)
				after(10 * time.Second)
				if running, logs := w.outcome(); running != filling.Tasks {
					t.Errorf("%d tasks run\n%s", running, logs)
				}
			})
		})
	}
}

// Guards against fill-in work that keeps disturbing serving work beside it: a new leader does
// not know at which share it runs, or the order to pause it is lost.
func TestFillInWorkBesideServingWorkIsPaused(t *testing.T) {
	serving, filling := longLivedStep(1), longLivedStep(2)
	serving.TailLatencyTargetMS, filling.FillIn = 100, true
	for name, disturb := range map[string]func(w *world, stop func()) (next func()){
		"a new leader": func(w *world, stop func()) func() {
			stop()
			w.mu.Lock()
			for ref := range w.targets["1:0"].percent {
				w.targets["1:0"].percent[ref] = 100
			}
			w.mu.Unlock()
			after(time.Second)
			_, next := w.lead(3)
			return next
		},
		"a disturbing image": func(w *world, stop func()) func() {
			w.mu.Lock()
			w.disturbance = 3
			w.mu.Unlock()
			return stop
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				w.disturbance = 0.1
				w.add("a", "h", "1:0", "desk").setDuration(0)
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				w.propose(&work.Command{Configure: w.withoutStandby()})
				_, stop := w.lead(2)
				after(time.Second)
				w.submit("serving", "/draw/", serving)
				after(time.Second)
				w.submit("filling", "/draw/", filling)
				after(20 * time.Second)
				w.mu.Lock()
				if load := w.targets["1:0"].fillInLoad(); load != 0.2 {
					t.Errorf("fill-in work that hardly disturbs adds %v\n%s", load, w.logs.String())
				}
				w.disturbance = 1
				w.mu.Unlock()
				defer w.watchPromises()()
				stop = disturb(w, stop)
				defer func() { stop() }()
				after(15 * time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				if load := servingLoad + w.targets["1:0"].fillInLoad(); load > 1 {
					t.Errorf("the load is %v\n%s", load, w.logs.String())
				}
			})
		})
	}
}
