package leader_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// gangStep returns a step of tasks that only work together.
func gangStep(tasks, perHost int) work.Step {
	s := shortStep(tasks)
	s.Gang, s.MaxPerHost = true, perHost
	return s
}

// Guards against a gang that never starts on a quiet pool: it needs more hosts than its CPU
// asks for, and the idle hosts on which a part of it had a place did not count as needed, so
// that the pool opened and closed hosts in turn.
func TestGangStartsOnAQuietPool(t *testing.T) {
	for _, step := range []work.Step{gangStep(4, 1), gangStep(6, 1), gangStep(7, 2), gangStep(20, 0)} {
		simulate(t, func(w *world) {
			w.addHosts(8)
			_, stop := w.lead(2)
			defer stop()
			after(4 * time.Second) // the pool has one open host
			w.submit("j", "/draw/", step)
			after(8 * time.Second)
			NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed), w.log())
		})
	}
}
