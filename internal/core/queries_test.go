package core

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/link"
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
