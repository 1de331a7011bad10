package leader_test

import (
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against a run that begins on a target long after it was confirmed that the target
// drains: its start is not answered, and is repeated once the target receives orders again.
func TestStartIsNotRepeatedOnATargetThatDrains(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.add("c", "hc", "2:1", "cuts")
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.mu.Lock()
		w.targets["1:1"].deaf = true
		w.mu.Unlock()
		w.submit("j", "/draw/", shortStep(1))
		after(200 * time.Millisecond)
		w.drainHost("ha")
		w.add("b", "hb", "1:2", "desk")
		after(worldAnnounce + drainBound + 200*time.Millisecond)
		w.mu.Lock()
		w.targets["1:1"].deaf = false
		w.mu.Unlock()
		after(6 * time.Second)
		if state := w.state("j"); state != work.Completed {
			t.Errorf("the job is %s\n%s", state, w.log())
		}
	})
}
