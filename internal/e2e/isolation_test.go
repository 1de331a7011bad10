package e2e_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

const (
	// electionTimeout is the shortest time without a leader after which a
	// replica starts an election: 10 ticks of 100 ms.
	electionTimeout = time.Second
	isolationTime   = 6 * electionTimeout
)

// follower returns a host of dc-a other than the leader.
func (r *region) follower(leader *host) *host {
	for _, name := range []string{"entry-a3", "entry-a2"} {
		if name != leader.name {
			return r.host(name)
		}
	}
	return nil
}

// expectServes checks that a request homed in the host's own data centre is
// done through this host.
func (r *region) expectServes(h *host) {
	GinkgoHelper()
	key, err := r.client.Ticket(context.Background(), h.caller)
	Expect(err).NotTo(HaveOccurred())
	b := requestBody("plotter_order", 20*time.Millisecond)
	Eventually(func() model.Outcome {
		response, _, err := r.client.Send(context.Background(), h.caller, key, b)
		if err != nil {
			return ""
		}
		return response.Outcome
	}).WithTimeout(settleTimeout).Should(Equal(model.OutcomeDone), h.name)
	Expect(r.runCount(key)).To(Equal(1))
}

func isolationCases(shared func() *region) {
	It("of a follower for a long time does not disturb its group", func() {
		// Guards against an isolated replica that raises its term and so deposes
		// the leader once it is connected again.
		r := shared()
		leader := r.leader("dc-a")
		isolated := r.follower(leader)
		before := r.status(leader, "dc-a")
		DeferCleanup(func() { r.isolate(isolated.name, linkOpen) })
		r.isolate(isolated.name, linkSilent)
		same := func() bool {
			s := r.status(leader, "dc-a")
			return s != nil && s.Role == replica.RoleLeader && s.Term == before.Term
		}
		Consistently(same).WithTimeout(isolationTime).WithPolling(pollInterval).Should(BeTrue())
		Expect(r.status(isolated, "dc-a").Term).To(Equal(before.Term), "an isolated follower must not raise its term")
		r.isolate(isolated.name, linkOpen)
		Eventually(func() uint64 {
			return r.appliedIndex(isolated, "dc-a")
		}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(BeNumerically(">=", r.status(leader, "dc-a").Committed))
		r.expectServes(isolated)
		Consistently(same).WithTimeout(2 * electionTimeout).WithPolling(pollInterval).Should(BeTrue())
	})

	It("of a leader stops its decisions while another one takes over", func() {
		// Guards against a leader that still commits decisions, or answers from
		// outdated state, while its group has a new leader.
		r := shared()
		old := r.leader("dc-a")
		key, err := r.client.Ticket(context.Background(), old.caller)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { r.isolate(old.name, linkOpen) })
		r.isolate(old.name, linkSilent)
		Eventually(func() bool {
			s := r.status(old, "dc-a")
			return s != nil && s.Role != replica.RoleLeader
		}).WithTimeout(3*electionTimeout).WithPolling(pollInterval).Should(BeTrue(), "the isolated leader must step down")
		committed := r.status(old, "dc-a").Committed
		other := r.follower(old)
		r.expectServes(other)
		b := requestBody("plotter_order", 20*time.Millisecond)
		b.WaitMS = 1000
		response, _, err := r.client.Send(context.Background(), old.caller, key, b)
		if err == nil {
			Expect(response.Outcome).NotTo(Equal(model.OutcomeDone))
			Expect(response.Outcome).NotTo(Equal(model.OutcomeNotRun))
		}
		Consistently(func() uint64 { return r.status(old, "dc-a").Committed }).
			WithTimeout(isolationTime).WithPolling(pollInterval).Should(Equal(committed), "no commit through the isolated host")
		Expect(r.runCount(key)).To(BeZero())
		term := r.status(other, "dc-a").Term
		r.isolate(old.name, linkOpen)
		r.expectServes(old)
		Consistently(func() uint64 { return r.status(other, "dc-a").Term }).
			WithTimeout(2 * electionTimeout).WithPolling(pollInterval).Should(Equal(term))
	})
}
