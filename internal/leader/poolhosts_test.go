package leader_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against accepted long-lived tasks that wait for a run while hosts are
// available: their pool got hosts for its CPU demand, but only one at a time for
// anything else that keeps a task from a host.
func TestLongLivedTasksGetAllHostsThatTheyNeed(t *testing.T) {
	one := func(cpu, memory int64) work.Step {
		s := longLivedStep(1)
		s.Demand = work.Demand{MilliCPU: cpu, MemoryMB: memory}
		return s
	}
	many := func(n int, s work.Step) work.Step { s.Tasks = n; return s }
	apart := func(s work.Step) work.Step { s.MaxPerHost = 1; return s }
	serves := func(s work.Step) work.Step { s.TailLatencyTargetMS = 40; return s }
	fills := func(s work.Step) work.Step { s.FillIn = true; return s }
	for name, steps := range map[string][]work.Step{
		"memory":                 {many(10, one(500, 2500))},
		"parts of their CPU":     {many(6, one(2500, 100))},
		"the most per host":      {many(8, one(500, 2500)), apart(many(8, one(500, 2500)))},
		"fill-in beside serving": {many(3, serves(one(2500, 100))), many(9, fills(one(3000, 100)))},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 20 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				_, stop := w.lead(2)
				after(5 * time.Second) // all but one go to standby
				tasks := 0
				for i, s := range steps {
					tasks += s.Tasks
					w.submit("j"+strconv.Itoa(i), "/draw/", s)
				}
				after(restartTimeout)
				running, logs := w.outcome()
				stop()
				NewWithT(t).Expect(running).To(Equal(tasks), logs)
			})
		})
	}
}

// Guards against a long-lived task that waits for ever while a suitable host is on
// standby: its pool has as many empty hosts as it lacks, but they are too small.
func TestLongLivedTaskGetsAHostThatIsLargeEnough(t *testing.T) {
	simulate(t, func(w *world) {
		w.large = map[string]bool{"h3": true}
		for i := range 6 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
		}
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		after(5 * time.Second) // all but one go to standby
		w.mu.Lock()
		NewWithT(t).Expect(w.parked).To(HaveKey("h3"))
		w.mu.Unlock()
		step := longLivedStep(1)
		step.Demand = work.Demand{MilliCPU: 500, MemoryMB: 6000}
		w.submit("j", "/draw/", step)
		after(restartTimeout + extraWait)
		running, logs := w.outcome()
		NewWithT(t).Expect(running).To(Equal(1), logs)
	})
}

// Guards against a long-lived task that waits for ever for the only host of its pool,
// which refuses each start as unhealthy, while others are on standby.
func TestLongLivedTaskGetsAHostBesideAnUnhealthyOne(t *testing.T) {
	simulate(t, func(w *world) {
		for i := range 6 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
		}
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		after(5 * time.Second) // all but one go to standby
		w.mu.Lock()
		unhealthy := 0
		for _, target := range w.targets {
			if target.state.Pool == "desk" && w.parked[target.state.Host] == "" {
				target.unhealthy = true
				unhealthy++
			}
		}
		w.mu.Unlock()
		NewWithT(t).Expect(unhealthy).To(Equal(1))
		w.submit("j", "/draw/", longLivedStep(1))
		after(restartTimeout + extraWait)
		running, logs := w.outcome()
		NewWithT(t).Expect(running).To(Equal(1), logs)
	})
}

// Guards against an accepted job that is not run for as long as long-lived tasks hold
// the memory of its pool's hosts: by its CPU demand the pool needs no other host.
func TestShortTasksGetHostsWithMemory(t *testing.T) {
	simulate(t, func(w *world) {
		for i := range 6 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(time.Second)
		}
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		after(5 * time.Second) // all but one go to standby
		for _, target := range w.targets {
			target.setDuration(0)
		}
		step := longLivedStep(1)
		step.Demand = work.Demand{MilliCPU: 500, MemoryMB: 3500}
		w.submit("lasting", "/draw/", step)
		after(time.Second)
		for _, target := range w.targets {
			target.setDuration(time.Second)
		}
		w.submit("short", "/once/", work.Step{Tasks: 3, Demand: work.Demand{MilliCPU: 500, MemoryMB: 2500}})
		after(restartTimeout)
		NewWithT(t).Expect(w.state("short")).To(Equal(work.Completed), w.logs.String())
	})
}

// Guards against a long-lived task that waits for a host to move in while its own is
// maintained: an idle host of its pool takes no runs, or moves to standby, since by its CPU
// demand the pool needs no other host.
func TestIdleHostTakesTheTaskOfAHostThatIsMaintained(t *testing.T) {
	kept := 0
	for ms := range 20 {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").setDuration(0)
			w.add("b", "hb", "1:2", "desk").setDuration(0)
			w.add("c", "hc", "2:1", "cuts").setDuration(0)
			_, stop := w.lead(2)
			defer stop()
			after(time.Second)
			step := longLivedStep(2)
			step.Demand.MemoryMB = 2500 // of 4000
			w.submit("j", "/draw/", step)
			after(2 * time.Second)
			w.add("d", "hd", "1:3", "desk").setDuration(0)
			after(time.Duration(ms) * 100 * time.Millisecond)
			w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"ha"}, MaxDown: 1, DurationMS: 60_000}})
			after(2 * worldCommit)
			w.mu.Lock()
			left := w.parked["hd"] != ""
			w.mu.Unlock()
			if left {
				return
			}
			kept++
			after(time.Second)
			running, logs := w.outcome()
			NewWithT(t).Expect(running).To(Equal(2), logs)
			w.mu.Lock()
			NewWithT(t).Expect(w.inMaintenance["ha"]).To(BeTrue())
			w.mu.Unlock()
		})
	}
	NewWithT(t).Expect(kept).To(BeNumerically(">", 10))
}
