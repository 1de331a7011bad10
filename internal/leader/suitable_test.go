package leader_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against a short task that waits for ever on a quiet pool for the host that has its
// label or its memory: the pool kept another one open, or the host had moved to standby.
func TestShortTaskGetsASuitableHostOnAQuietPool(t *testing.T) {
	label, memory := shortStep(3), shortStep(2)
	label.Label, memory.Demand.MemoryMB = "b", 6000
	for _, step := range []work.Step{label, memory} {
		for _, idle := range []time.Duration{1200 * time.Millisecond, 6 * time.Second} {
			for _, suitable := range []string{"h0", "h5"} {
				simulate(t, func(w *world) {
					w.labels, w.large = map[string][]string{suitable: {"b"}}, map[string]bool{suitable: true}
					w.addHosts(8)
					_, stop := w.lead(2)
					defer stop()
					after(idle)
					w.submit("j", "/draw/", step)
					after(10 * time.Second)
					NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed), w.log())
				})
			}
		}
	}
}

// Guards against a step that waits for ever for the only host that the policy service
// permits: it was asked about the open hosts only.
func TestStepGetsAClosedHostThatThePolicyPermits(t *testing.T) {
	simulate(t, func(w *world) {
		w.needsTickets = true
		w.addHosts(6)
		w.add("p", "h2p", "1:9", "desk")
		w.add("c", "hc", "1:8", "cuts")
		_, stop := w.lead(2)
		defer stop()
		after(300 * time.Millisecond)
		w.submit("j", "/policy/", shortStep(3))
		after(4 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed), w.log())
	})
}

// Guards against hosts that move for ever for a step that the policy service permits
// nowhere: each of them has a new target after its move, which might be permitted.
func TestStepThatIsPermittedNowhereMovesNoHosts(t *testing.T) {
	for _, step := range []work.Step{shortStep(3), longLivedStep(3)} {
		simulate(t, func(w *world) {
			w.needsTickets = true
			w.addHosts(8)
			_, stop := w.lead(2)
			defer stop()
			w.submit("j", "/policy/", step)
			after(15 * time.Second)
			w.mu.Lock()
			before := len(w.moves)
			w.mu.Unlock()
			after(60 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			NewWithT(t).Expect(len(w.moves)-before).To(BeNumerically("<=", 2), "%v", w.moves)
		})
	}
}
