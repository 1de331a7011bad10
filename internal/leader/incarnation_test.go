package leader_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against tasks that run again after they were done: a target restarted under its
// id just before their starts, so that the state held the runs for its earlier
// incarnation. Their ends were ignored, or dropped by the target, which was sent the
// earlier incarnation's last number as acknowledged.
func TestEndsInALaterIncarnationAreRecorded(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk")
			_, stop := w.lead(2)
			w.submit("before", "/draw/", shortStep(3))
			after(3200 * time.Millisecond)
			w.add("a", "ha", "1:1", "desk")
			w.submit("j", "/draw/", shortStep(3))
			if leaderChanges {
				after(500 * time.Millisecond)
				stop()
				after(1500 * time.Millisecond) // an election
				_, stop = w.lead(3)
			}
			after(8 * time.Second)
			stop()
			g := NewWithT(t)
			g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
			g.Expect(strings.Count(w.log(), "begin {{j ")).To(Equal(3), w.log())
		})
	}
}
