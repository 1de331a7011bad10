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
