package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against accepted jobs that have not begun and that do not count as pending: their
// starts were committed, but never carried out, or refused.
func TestJobsWhoseStartsAreNotCarriedOutArePending(t *testing.T) {
	const jobs = 8
	for name, fault := range map[string]func(t *target){
		"silent targets":    func(t *target) { t.silent = true },
		"unhealthy targets": func(t *target) { t.unhealthy = true },
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 4 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk")
				}
				w.add("c", "hc", "2:1", "cuts")
				w.propose(&work.Command{Configure: w.withoutStandby()})
				_, stop := w.lead(2)
				defer stop()
				after(2 * time.Second)
				defer w.watchPromises()()
				w.mu.Lock()
				for _, target := range w.targets {
					fault(target)
				}
				w.disturbed("the pool does not work")
				w.mu.Unlock()
				for i := range jobs {
					w.submit("j"+strconv.Itoa(i), "/draw/", shortStep(2))
				}
				after(7500 * time.Millisecond)
				if n := w.stateMachine.Waiting("draw"); n != jobs {
					t.Errorf("%d of %d jobs count as pending\n%s", n, jobs, w.log())
				}
				w.healAll()
				after(20 * time.Second)
				if n := w.stateMachine.Waiting("draw"); n != 0 {
					t.Errorf("%d jobs count as pending after all have begun\n%s", n, w.log())
				}
			})
		})
	}
}
