package work_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("a hypothesis", func() {
	var m *region
	BeforeEach(func() {
		m = newRegion()
		m.do(&work.Command{Configure: &work.Configuration{
			Version: 2, Pools: []work.Pool{{Name: "desk"}},
			Queues: []work.Queue{
				{Name: "open", Domain: "d", Prefix: "/open/", Pool: "desk", TimeoutMS: 1000},
				{Name: "own", Domain: "d", Prefix: "/own/", Pool: "desk", TimeoutMS: 1000, KeyRequired: true},
			},
			Customers: []work.Customer{{Name: "ann", Weight: 1, Limit: work.Demand{MilliCPU: 5000}, Keys: []customer.KeyDigest{customer.Digest("k")}}},
		}})
	})

	It("becomes the job that its submission becomes, and changes nothing", func() {
		// Guards against explanations of another job than the one meant, and against an allowance
		// that questions use up.
		spec := work.Spec{Steps: []work.Step{oneTask(1000), {Tasks: 3, Demand: work.Demand{MilliCPU: 10}, After: []int{0, 0}}}}
		before, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var j *work.Job
		for range 3 {
			var refusal error
			j, refusal, err = m.Suppose(&work.Hypothesis{ID: "j", Queue: "own", Customer: "ann", Spec: spec}, 5000)
			Expect(err).NotTo(HaveOccurred())
			Expect(refusal).NotTo(HaveOccurred())
			Expect(j.BeyondAllowance).To(BeFalse())
		}
		Expect(m.Snapshot()).To(Equal(before))
		spec.Clamp()
		m.do(&work.Command{NowMS: 5000, Submit: &work.Submission{ID: "j", Domain: "d", Path: "/own/", Key: customer.Digest("k"), Spec: spec}})
		m.Read(func(v *work.View) {
			accepted := *v.Live["j"]
			accepted.SubmittedMS = j.SubmittedMS
			Expect(*j).To(Equal(accepted))
		})
		j, _, err = m.Suppose(&work.Hypothesis{Domain: "d", Path: "/own/x", Customer: "ann", Spec: spec}, 5000)
		Expect(err).NotTo(HaveOccurred())
		Expect(j.BeyondAllowance).To(BeTrue())
	})

	DescribeTable("is refused as its submission", func(h work.Hypothesis, refused bool, want fault.Code) {
		// Guards against a job that is explained and would be refused, and against unclear errors.
		if h.Spec.Steps == nil {
			h.Spec.Steps = []work.Step{oneTask(1000)}
		}
		_, refusal, err := m.Suppose(&h, 5000)
		if refused {
			Expect(err).NotTo(HaveOccurred())
			err = refusal
		}
		Expect(fault.CodeOf(err)).To(Equal(want))
	},
		Entry("beyond the limit", work.Hypothesis{Queue: "own", Customer: "ann", Spec: work.Spec{Steps: []work.Step{oneTask(6000)}}}, true, fault.CodeLimitExceeded),
		Entry("without a queue", work.Hypothesis{Queue: "none"}, false, fault.CodeNotFound),
		Entry("without a route", work.Hypothesis{Domain: "d", Path: "/none/"}, false, fault.CodeNotFound),
		Entry("without a customer", work.Hypothesis{Queue: "own"}, false, fault.CodeInvalid),
		Entry("with an unknown customer", work.Hypothesis{Queue: "own", Customer: "bob"}, false, fault.CodeNotFound),
		Entry("with too many tasks", work.Hypothesis{Queue: "open", Spec: work.Spec{Steps: []work.Step{{Tasks: 1e6}}}}, false, fault.CodeInvalid),
	)
})
