package schedule_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
)

var _ = Describe("the time for a backlog", func() {
	DescribeTable("counts hosts from when they come", func(work float64, ms float64, supplies ...schedule.Supply) {
		// Guards against a burst that is taken on the strength of hosts which join the pool
		// only when it is over.
		Expect(schedule.TimeFor(work, supplies)).To(BeNumerically("~", ms, 0.5))
	},
		Entry("no work", 0.0, 0.0, schedule.Supply{MilliCPU: 1000}),
		Entry("hosts that are there", 900_000.0, 1000.0, schedule.Supply{MilliCPU: 1000}),
		Entry("hosts that come later", 900_000.0, 3000.0, schedule.Supply{InMS: 2000, MilliCPU: 1000}),
		Entry("some now, others later", 2_700_000.0, 2000.0,
			schedule.Supply{InMS: 1000, MilliCPU: 1000}, schedule.Supply{MilliCPU: 1000}),
		Entry("work that ends before the others come", 450_000.0, 500.0,
			schedule.Supply{MilliCPU: 1000}, schedule.Supply{InMS: 1000, MilliCPU: 9000}),
	)

	It("is very long without any host", func() {
		Expect(schedule.TimeFor(1e9, nil)).To(BeNumerically(">=", 1e9))
	})
})
