package leader_test

import (
	"context"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against two runs of a task at the same time: a target says that it leaves while a run
// is alive on it, does not get the confirmation, and goes on for some seconds.
func TestRunsOfATargetThatLeavesAreNotStartedElsewhereWhileItIsUp(t *testing.T) {
	for name, announces := range map[string]bool{"it goes on to announce itself": true, "it announces nothing more": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				w.add("a", "ha", "1:1", "desk").setDuration(5 * time.Second)
				w.add("c", "hc", "2:1", "cuts")
				l, stop := w.lead(2)
				defer stop()
				after(time.Second)
				w.submit("j", "/draw/", shortStep(1))
				after(time.Second)
				w.add("b", "hb", "1:2", "desk").setDuration(2 * time.Second)
				w.drainHost("ha")
				after(2 * time.Second)
				w.mu.Lock()
				leaving := w.targets["1:1"]
				leaving.quiet = !announces
				w.mu.Unlock()
				if err := l.Leave(context.Background(), "a"); err != nil {
					t.Error(err)
				}
				after(4 * time.Second)
				w.mu.Lock()
				leaving.die()
				w.mu.Unlock()
				after(20 * time.Second)
				if state := w.state("j"); state != work.Completed {
					t.Errorf("the job is %s\n%s", state, w.log())
				}
			})
		})
	}
}
