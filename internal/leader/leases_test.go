package leader_test

import (
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against work that waits for longer than the lease of its lost target: the start was
// not sent again, but each attempt counted as a new lease.
func TestStartThatIsNotSentAgainMakesNoLeaseLonger(t *testing.T) {
	const (
		// slow covers a clock that is 2 % slow, a margin of 0.3 s and an unanswered hold.
		slow = leaseLength/50 + 300*time.Millisecond + 400*time.Millisecond
		// plan covers the commits and the plan of the next start.
		plan = 200 * time.Millisecond
	)
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.submit("lasting", "/draw/", longLivedStep(1)) // a hold is on its way for most of the time
		after(1200 * time.Millisecond)
		w.loseHostOf(work.TaskRef{Job: "lasting"})
		w.submit("j", "/draw/", longLivedStep(1))
		after(100 * time.Millisecond)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		after(leaseLength + slow + plan)
		if running, logs := w.outcome(); running != 2 {
			t.Errorf("%d of 2 tasks run\n%s", running, logs)
		}
	})
}

// leaseLength is the duration of the leases that leaders grant.
const leaseLength = 4 * time.Second
