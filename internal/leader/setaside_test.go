package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against long-lived tasks that wait beside sound hosts with room: one of them fails now
// and then, and their hosts were set aside for longer each time, since no run of theirs ever ends
// as done.
func TestHostsOfLongLivedTasksThatFailNowAndThenStayInUse(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		for i := range 3 {
			step := longLivedStep(4)
			step.Demand.MilliCPU = 400
			w.submit("j"+strconv.Itoa(i), "/draw/", step)
		}
		after(3 * time.Second)
		defer w.watchPromises()()
		for i := range 25 {
			w.mu.Lock()
			target := w.targets["1:"+strconv.Itoa(1+i%2)]
			oldest := work.RunRef{}
			for ref := range target.runs {
				if oldest.Run == 0 || w.begun[ref.Task].Before(w.begun[oldest.Task]) {
					oldest = ref
				}
			}
			target.finish(oldest, work.OutcomeFailed)
			w.mu.Unlock()
			after(3500 * time.Millisecond)
		}
	})
}
