package leader_test

import (
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against tasks that wait for orders which cannot arrive any more: their target is back
// under its id at another address, so that no delayed start for the earlier incarnation reaches
// it.
func TestRunsOfATargetThatIsBackAtAnotherAddressStartAtOnce(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.submit("j", "/draw/", longLivedStep(1))
		after(2 * time.Second)
		w.mu.Lock()
		w.targets["1:1"].die()
		w.targets["1:1"].silent = true
		w.mu.Unlock()
		after(1500 * time.Millisecond)
		w.add("a", "ha", "1:2", "desk").setDuration(0)
		after(worldAnnounce + time.Second)
		if running, logs := w.outcome(); running != 1 {
			t.Errorf("%d of 1 tasks run\n%s", running, logs)
		}
	})
}

// Guards against a target that is taken for ended because another process announces itself with
// its id, while it still answers itself.
func TestTargetThatAnswersIsNotReplacedByAnotherAddress(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.submit("j", "/draw/", longLivedStep(1))
		after(2 * time.Second)
		w.add("a", "ha", "1:2", "desk").setDuration(0)
		after(10 * time.Second)
		if running, logs := w.outcome(); running != 1 {
			t.Errorf("%d of 1 tasks run\n%s", running, logs)
		}
	})
}

// Guards against tasks that wait for too long after the loss of a target that had crashed and
// come back under its id: the longest lease was counted from its first run on, not from its
// return.
func TestLongestLeaseOfATargetThatIsBackCountsFromItsReturn(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.submit("first", "/draw/", longLivedStep(1))
		after(2 * time.Second)
		w.mu.Lock()
		w.targets["1:1"].die()
		w.mu.Unlock()
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		after(500 * time.Millisecond)
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		after(5 * time.Second) // "first" runs on b
		second := longLivedStep(1)
		second.Demand = work.Demand{MilliCPU: 3900, MemoryMB: 100}
		w.submit("second", "/draw/", second)
		after(time.Second)
		defer w.watchPromises()()
		host := w.loseHostOf(work.TaskRef{Job: "second"})
		w.add("d", "hd", "1:3", "desk").setDuration(0)
		w.add("e", "he", "1:4", "desk").setDuration(0)
		w.mu.Lock()
		w.disturbed("%s is lost", host)
		w.mu.Unlock()
		after(15 * time.Second)
		if running, logs := w.outcome(); running != 2 || host != "ha" {
			t.Errorf("%d of 2 tasks run, %s was lost\n%s", running, host, logs)
		}
	})
}
