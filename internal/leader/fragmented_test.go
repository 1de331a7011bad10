package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against an accepted job that never runs beside idle hosts of its pool: by the sum
// of its CPU demand the pool has enough open hosts, but none of them has the CPU for the
// task in one piece.
func TestTaskRunsWhereTheFreeCPUOfTheOpenHostsIsInPieces(t *testing.T) {
	holders := longLivedStep(2)
	holders.Demand.MilliCPU = 2100 // of 4000, so that each has a host of its own
	large := work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: 2500}}
	for name, steps := range map[string][]work.Step{
		"a lost host":   {large},
		"a second step": {{Tasks: 1, Demand: work.Demand{MilliCPU: 500}}, {Tasks: 1, Demand: large.Demand, After: []int{0}}},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 8 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.propose(&work.Command{Configure: w.withoutStandby()})
				_, stop := w.lead(2)
				defer stop()
				after(time.Second)
				w.submit("holders", "/draw/", holders)
				after(4 * time.Second)
				for _, target := range w.targets {
					target.setDuration(3 * time.Second)
				}
				w.propose(&work.Command{Submit: &work.Submission{ID: "j", Domain: "d", Path: "/once/", Spec: work.Spec{Steps: steps}}})
				after(time.Second)
				if len(steps) == 1 {
					w.loseHostOf(work.TaskRef{Job: "j"})
				}
				after(worldLease + restartTimeout)
				if state := w.state("j"); state != work.Completed {
					t.Errorf("the job is %s\n%s", state, w.log())
				}
			})
		})
	}
}

// withoutStandby returns the next configuration, which has no standby pool.
func (w *world) withoutStandby() *work.Configuration {
	cfg := *w.stateMachine.Configuration()
	cfg.Version++
	cfg.Pools = []work.Pool{{Name: "desk"}, {Name: "cuts"}}
	return &cfg
}

// loseHostOf ends the target that runs a task, for good. It returns its host.
func (w *world) loseHostOf(task work.TaskRef) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range w.targets {
		for ref := range target.runs {
			if ref.Task == task {
				target.die()
				target.silent = true
				w.note("%s is lost", target.state.Host)
				return target.state.Host
			}
		}
	}
	w.violate("%v runs nowhere", task)
	return ""
}
