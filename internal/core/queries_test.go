package core

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("operators' queries", func() {
	It("show the customers without their keys, and name the leader elsewhere", func() {
		// Guards against a command that reaches any host and learns nothing, and against keys
		// that leave the core.
		processes, p := startKnownLeader()
		cfg := configuration(1, 0)
		digest := customer.Digest("s3cret")
		cfg.Customers = []work.Customer{{Name: "ann", Weight: 2, Keys: []customer.KeyDigest{digest}}}
		Expect(p.SubmitConfiguration(context.Background(), cfg)).To(Succeed())
		for _, other := range processes {
			a, err := p.clients.To(other.cfg.Host).Customers(context.Background(), &link.Empty{})
			Expect(err).NotTo(HaveOccurred())
			if other != p {
				Expect(a.Answer.Code).To(Equal(link.NotLeader))
				Expect(a.Answer.Leader).To(Equal(p.cfg.Host))
				continue
			}
			Expect(a.Answer.Code).To(Equal(link.Done))
			Expect(a.Customers).To(ConsistOf(And(HaveField("Name", "ann"), HaveField("Keys", 1), HaveField("Weight", 2.0))))
		}
	})

	It("explain where a job would go, and name the leader elsewhere", func() {
		// Guards against explanations that are lost or garbled on the way, and against a host
		// that explains from what it last knew of another leader.
		processes, p := startKnownLeader()
		cfg := configuration(1, 0)
		cfg.Queues[0].KeyRequired = true
		cfg.Customers = []work.Customer{{Name: "ann", Weight: 2, Limit: work.Demand{MilliCPU: 1000}, Keys: []customer.KeyDigest{customer.Digest("s3cret")}}}
		Expect(p.SubmitConfiguration(context.Background(), cfg)).To(Succeed())
		ask := func(host string, q *leader.Question) *link.ExplainAnswer {
			var a *link.ExplainAnswer
			Eventually(func(g Gomega) { // explanations need a pause between them
				var err error
				a, err = p.clients.To(host).Explain(context.Background(), q)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(a.Answer.Code).NotTo(Equal(link.NotReady))
			}, "5s").Should(Succeed())
			return a
		}
		question := func(queue string, milliCPU int64) *leader.Question {
			return &leader.Question{Hypothesis: work.Hypothesis{Queue: queue, Customer: "ann", Spec: work.Spec{Steps: []work.Step{
				{Tasks: 2, Demand: work.Demand{MilliCPU: milliCPU}},
			}}}}
		}
		for _, other := range processes {
			a := ask(other.cfg.Host, question("q", 100))
			if other != p {
				Expect(a.Answer.Code).To(Equal(link.NotLeader))
				Expect(a.Answer.Leader).To(Equal(p.cfg.Host))
				Expect(a.Explanation).To(BeNil())
			}
		}
		a := ask(p.cfg.Host, question("q", 100))
		Expect(a.Submission.Code).To(Equal(link.Done))
		Expect(a.Explanation).To(HaveValue(And(HaveField("Pool", "p"), HaveField("Share.Customer", "ann"),
			HaveField("Plan.Steps", ConsistOf(And(HaveField("Waiting", 2), HaveField("Why", schedule.WaitsForRoom)))))))
		a = ask(p.cfg.Host, question("q", 2000))
		Expect(a.Submission).To(And(HaveField("Code", link.Refused), HaveField("RetryAfterMS", int64(neverFitsRetryMS))))
		Expect(a.Explanation).NotTo(BeNil())
		Expect(ask(p.cfg.Host, question("none", 100)).Answer.Code).To(Equal(link.NoQueue))
		Expect(ask(p.cfg.Host, &leader.Question{Job: "none"}).Answer.Code).To(Equal(link.NoJob))
		Expect(ask(p.cfg.Host, question("q", -1)).Answer.Code).To(Equal(link.Invalid))
	})
})

// startKnownLeader starts core processes and returns them and the leader, once all know it.
func startKnownLeader() (processes []*testProcess, leader *testProcess) {
	GinkgoHelper()
	processes = startCore()
	leader = leadingProcess(processes)
	for _, other := range processes {
		if other != leader {
			Eventually(other.remoteLeader, "5s").Should(Equal(leader.cfg.Host))
		}
	}
	return processes, leader
}
