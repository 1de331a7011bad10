package work_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("a job of invalid size", func() {
	DescribeTable("is refused", func(occurrences int, steps ...work.Step) {
		// Guards against a job that is accepted because its number of tasks overflows:
		// every replica that applies it would create tasks until it is out of memory.
		err := (&work.Spec{Occurrences: occurrences, Steps: steps}).Check()
		var invalid *fault.Invalid
		Expect(err).To(BeAssignableToTypeOf(invalid))
	},
		Entry("a negative product", math.MaxInt, oneTask(1), oneTask(1)),
		Entry("a product of 0", 1<<62, oneTask(1), oneTask(1), oneTask(1), oneTask(1)),
		Entry("a product of 4", 1<<62+1, oneTask(1), oneTask(1), oneTask(1), oneTask(1)),
		Entry("negative occurrences", -1, oneTask(1)),
		Entry("too many occurrences", work.MaxTasks+1, oneTask(1)),
	)

	DescribeTable("is refused for its demand", func(demand work.Demand) {
		// Guards against sums over tasks, or products with their number and duration,
		// that overflow and make the demand of a pool negative.
		step := work.Step{Tasks: 2, Demand: demand, FillIn: true}
		err := (&work.Spec{Steps: []work.Step{step}}).Check()
		var invalid *fault.Invalid
		Expect(err).To(BeAssignableToTypeOf(invalid))
	},
		Entry("CPU", work.Demand{MilliCPU: math.MaxInt64}),
		Entry("CPU of which two overflow", work.Demand{MilliCPU: 1 << 62}),
		Entry("memory", work.Demand{MemoryMB: math.MaxInt64}),
		Entry("GPUs", work.Demand{GPUs: math.MaxInt64}),
		Entry("negative GPUs", work.Demand{GPUs: -1}),
	)

	It("is accepted with the maximum number of tasks", func() {
		// Guards against a limit that refuses a job of the largest allowed size.
		Expect((&work.Spec{Occurrences: work.MaxTasks / 2, Steps: []work.Step{oneTask(1), oneTask(1)}}).Check()).To(Succeed())
	})
})

var _ = Describe("clamping a job", func() {
	It("removes duplicates from the steps that a step waits for", func() {
		// Guards against a plan that checks every task of a step again for each
		// duplicate: a request body can hold 100,000 of them, and a step 10,000 tasks.
		spec := work.Spec{Steps: []work.Step{oneTask(1), oneTask(1), {Tasks: 1, After: []int{1, 0, 0, 1, 0}}}}
		spec.Clamp()
		Expect(spec.Steps[2].After).To(Equal([]int{0, 1}))
	})

	DescribeTable("prevents its times from overflowing", func(firstMS, intervalMS int64) {
		// Guards against an occurrence that starts long before its time because the
		// time overflowed.
		spec := work.Spec{Occurrences: work.MaxTasks, FirstMS: firstMS, IntervalMS: intervalMS, Steps: []work.Step{oneTask(1)}}
		spec.Clamp()
		Expect(spec.Check()).To(Succeed())
		for k := int64(1); k < work.MaxTasks; k++ {
			before, due := spec.FirstMS+(k-1)*spec.IntervalMS, spec.FirstMS+k*spec.IntervalMS
			Expect(due >= before).To(Equal(intervalMS >= 0), "occurrence %d", k)
		}
	},
		Entry("long interval", int64(1_700_000_000_000), int64(1)<<62),
		Entry("longest interval", int64(0), int64(math.MaxInt64)),
		Entry("late and long", int64(math.MaxInt64), int64(math.MaxInt64)),
		Entry("early and negative", int64(math.MinInt64), int64(math.MinInt64)),
	)

	It("leaves a valid job unchanged", func() {
		// Guards against a limit that changes when a job is due.
		spec := work.Spec{Occurrences: 100, FirstMS: 1_800_000_000_000, IntervalMS: 86_400_000, Steps: []work.Step{
			{Tasks: 1, EstimateMS: 900}, {Tasks: 1, After: []int{0}, EstimateMS: 60_000},
		}}
		same := spec
		spec.Clamp()
		Expect(spec).To(Equal(same))
	})
})

var _ = Describe("a wave with duplicate hosts", func() {
	It("has each host once", func() {
		// Guards against a wave that never completes, and against two simultaneous
		// orders for one host: a host was counted once for each mention.
		r := newRegion()
		w := &work.Wave{ID: 1, Hosts: []string{"b", "a", "b", "b"}, MaxDown: 1, DurationMS: 1000}
		w.Clamp()
		Expect(r.do(&work.Command{Wave: w}).Err).NotTo(HaveOccurred())
		for _, host := range []string{"a", "b"} {
			for _, kind := range []work.WaveStepKind{work.MaintenanceOrdered, work.MaintenanceBegun, work.MaintenanceReturned} {
				Expect(r.do(&work.Command{WaveSteps: []work.WaveStep{{Wave: 1, Host: host, Kind: kind}}}).Err).NotTo(HaveOccurred())
			}
		}
		complete, found := r.WaveComplete(1)
		Expect(found).To(BeTrue())
		Expect(complete).To(BeTrue())
		Expect(w.Hosts).To(Equal([]string{"b", "a"}), "in their original order")
	})
})

var _ = Describe("a configuration with extreme objectives", func() {
	DescribeTable("has an objective that does not overflow", func(stretch float64, slackMS int64) {
		// Guards against a job that counts as overdue when it is accepted, or never
		// does: converting an overflowing objective gives the lowest integer on one
		// processor and the highest on another.
		c := work.Configuration{Version: 1, Pools: []work.Pool{{Name: "p"}}, Queues: []work.Queue{
			{Name: "q", Domain: "d", Prefix: "/", Pool: "p", TimeoutMS: 1, Stretch: stretch, SlackMS: slackMS},
		}}
		c.Clamp()
		Expect(c.Check()).To(Succeed(), "it is valid")
		q := c.Queues[0]
		const chainMS = 1e9 // longer than the longest chain of work
		objective := 3 * (q.Stretch*chainMS + float64(q.SlackMS))
		Expect(math.Abs(objective)).To(BeNumerically("<", 1<<62))
		Expect(q.Stretch).To(BeNumerically(">=", 0))
	},
		Entry("stretch", 1e300, int64(600)),
		Entry("negative stretch", -1e300, int64(600)),
		Entry("slack", 1.6, int64(math.MaxInt64)),
		Entry("negative slack", 1.6, int64(math.MinInt64)),
	)

	It("is otherwise unchanged", func() {
		// Guards against a limit that changes a valid objective.
		c := work.Configuration{Queues: []work.Queue{{Stretch: 2.2, SlackMS: 2500}, {Stretch: 0, SlackMS: -600}}}
		c.Clamp()
		Expect(c.Queues).To(Equal([]work.Queue{{Stretch: 2.2, SlackMS: 2500}, {Stretch: 0, SlackMS: -600}}))
	})
})

var _ = Describe("a job with the maximum number of steps", func() {
	It("is planned quickly", func() {
		// Guards against a leader that plans for a second while it holds its lock, so
		// that leases expire: each access to a step looped over all steps. The limit is
		// far above the present duration, and the fastest of several plans counts.
		r := newRegion()
		steps := make([]work.Step, work.MaxTasks)
		for i := range steps {
			if steps[i] = oneTask(1); i > 0 {
				steps[i].After = []int{i - 1}
			}
		}
		r.submit("j", steps...)
		quickest := time.Hour
		r.Read(func(v *work.View) {
			for range 5 {
				started := time.Now()
				schedule.Plan(&schedule.Request{
					NowMS: v.NowMS, MaxStarts: 256, Jobs: []*work.Job{v.Live["j"]},
					Hosts:    func(string) []*schedule.Host { return nil },
					Duration: func(*work.Job, int) int64 { return 1000 },
				})
				quickest = min(quickest, time.Since(started))
			}
		})
		Expect(quickest).To(BeNumerically("<", 200*time.Millisecond))
	})
})
