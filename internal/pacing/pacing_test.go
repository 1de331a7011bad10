package pacing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/pacing"
)

func TestPacing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pacing")
}

var _ = Describe("Control", func() {
	// run observes a host every second. fillInLoad is what fill-in work at its full share adds
	// to the load that the serving work has alone.
	run := func(c *pacing.Control, from time.Time, seconds int, alone, fillInLoad float64) (percent int, over int) {
		for i := range seconds {
			load := alone + fillInLoad*float64(percent)/100
			if load > 1 {
				over++
			}
			percent = c.Observe(pacing.Observation{At: from.Add(time.Duration(i) * time.Second), FillIn: 1, Serving: 1, Load: load, Known: true})
		}
		return percent, over
	}
	start := time.Unix(1000, 0)

	It("raises the share of work that does not disturb", func() {
		percent, over := run(&pacing.Control{}, start, 15, 0.2, 0.2)
		Expect([]int{percent, over}).To(Equal([]int{100, 0}))
	})

	It("keeps serving work below its target whatever the fill-in work adds", func() {
		// Guards against serving work that is slow for long because of what runs beside it.
		for _, alone := range []float64{0.1, 0.3, 0.49, 0.7, 0.95} {
			for _, fillInLoad := range []float64{0.5, 1, 3} {
				_, over := run(&pacing.Control{}, start, 60, alone, fillInLoad)
				Expect(over).To(BeZero(), "%v alone, %v by fill-in work", alone, fillInLoad)
			}
		}
	})

	It("pauses when further work joins and while a latency is not known", func() {
		c := &pacing.Control{}
		run(c, start, 15, 0.2, 0.2)
		at := start.Add(time.Minute)
		Expect(c.Observe(pacing.Observation{At: at, FillIn: 2, Serving: 1, Load: 0.2, Known: true})).To(Equal(0))
		Expect(c.Observe(pacing.Observation{At: at.Add(2 * time.Second), FillIn: 2, Serving: 1, Load: 0.2, Known: true})).To(Equal(10))
		Expect(c.Observe(pacing.Observation{At: at.Add(3 * time.Second), FillIn: 2, Serving: 2, Load: 0.2})).To(Equal(0))
	})

	It("does not pace fill-in work without serving work", func() {
		c := &pacing.Control{}
		Expect(c.Observe(pacing.Observation{At: start, FillIn: 3})).To(Equal(100))
	})
})
