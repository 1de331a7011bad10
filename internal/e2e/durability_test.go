package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
)

// refusedExitCode is the exit code of agatehavenctl for a refused command.
const refusedExitCode = 5

// durableCount is the number of changes and of requests that must survive the
// restart. It is about three times the snapshot interval of the tests (100
// entries), so that every replica has a snapshot and log entries after it.
const durableCount = 300

var durableKinds = []string{"plotter_order", "draw", "proof"}

// poolOfHosts returns the pool of every target by host name, as h reports it.
func (r *region) poolOfHosts(h *host) map[string]string {
	GinkgoHelper()
	out := map[string]string{}
	Eventually(func() int {
		clear(out)
		hosts, err := getJSON[query.Hosts](h, "/v1/hosts")
		if err != nil {
			return 0
		}
		for i := range hosts.Hosts {
			out[hosts.Hosts[i].Info.Name] = hosts.Hosts[i].Pool
		}
		return len(out)
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Equal(54))
	return out
}

// commitChanges commits n changes of records one after the other.
func (r *region) commitChanges(h *host, n int) {
	GinkgoHelper()
	revision := r.records(h).Revision
	for i := range n {
		id := fmt.Sprintf("many-%d", i)
		result := h.applyRecords(quotaChange(id, revision, fmt.Sprintf("team-%d", i%40), i+1))
		Expect(result).To(Equal(applyResult{revision: revision + 1}), id)
		revision = result.revision
	}
}

// completeRequests sends n requests, the same number of each of durableKinds,
// through the given entry hosts and expects them to be done. The result is
// ordered by kind.
func (r *region) completeRequests(n int, prefix string, entries []string) (list []sentRequest) {
	GinkgoHelper()
	for _, kind := range durableKinds {
		b := requestBody(kind, 20*time.Millisecond)
		for _, s := range r.sendMany(n/len(durableKinds), prefix+"-"+kind, b, entries, nil) {
			Expect(s.err).NotTo(HaveOccurred(), s.key)
			Expect(s.response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", s.key, s.response.Reason)
			list = append(list, s)
		}
	}
	return list
}

// expectSameAnswers sends finished requests again through different entry
// hosts, and expects the first answers and no further run.
func (r *region) expectSameAnswers(list []sentRequest, entries []string) {
	GinkgoHelper()
	for i, s := range list {
		kind := durableKinds[i*len(durableKinds)/len(list)]
		again, _, err := r.client.Send(context.Background(), entries[(i+3)%len(entries)], s.key, requestBody(kind, 20*time.Millisecond))
		Expect(err).NotTo(HaveOccurred(), s.key)
		Expect(again).To(Equal(s.response), s.key)
	}
	for _, s := range list {
		Expect(r.runCount(s.key)).To(Equal(1), s.key)
	}
}

var _ = Describe("Durable state", Ordered, ContinueOnFailure, func() {
	var r *region
	BeforeAll(func() { r = startRegion(nil) })

	It("is the same after all daemons are killed and restarted", func() {
		// Guards against state that is kept only in memory, and against a snapshot
		// or the end of a log that is lost or applied twice.
		r.ctl("move", "-reason", "test", "dc-a-t06", "proofs")
		Eventually(func() string { return r.poolOfHosts(r.hosts[1])["dc-a-t06"] }).WithTimeout(settleTimeout).Should(Equal("proofs"))
		r.commitChanges(r.host("entry-b1"), durableCount)
		list := r.completeRequests(durableCount, "durable", r.callerAddresses())
		records, poolOfHosts := r.records(r.hosts[1]), r.poolOfHosts(r.hosts[1])
		watch := r.sampleRevisions()
		r.expectInForce(records.Revision)
		for _, h := range r.hosts {
			r.signal(h, syscall.SIGKILL)
		}
		for _, h := range r.hosts {
			Eventually(h.exited).WithTimeout(settleTimeout).Should(BeClosed())
		}
		for _, h := range r.hosts {
			r.start(h)
		}
		for _, h := range r.hosts {
			r.waitReady(h)
		}
		r.expectInForce(records.Revision)
		Expect(r.records(r.host("entry-c2"))).To(Equal(records))
		Expect(r.poolOfHosts(r.host("entry-c2"))).To(Equal(poolOfHosts))
		r.expectSameAnswers(list, r.callerAddresses())
		watch.expectNoViolations(r.hostNames(), 20)
		Eventually(r.countReadyTargets).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Equal(54))
	})

	It("survives a voter's lost disk and then the loss of another voter", func() {
		// Guards against a replica that has lost its state but votes under its old
		// id, and against a replica replacement that leaves too few copies of the
		// state.
		watch := r.sampleRevisions()
		list := r.completeRequests(60, "before", r.callerAddresses())
		lost, second := r.host("entry-a1"), r.host("entry-a2")
		r.killAndWipeDisk(lost)
		r.kill(second)
		r.start(lost)
		// One of the three voters of dc-a has lost its disk and another is down,
		// so a leader would need the vote of the replica without state.
		Eventually(func() string {
			if s := r.status(lost, "dc-a"); s != nil {
				return s.ID
			}
			return ""
		}).WithTimeout(settleTimeout).WithPolling(pollInterval).ShouldNot(Or(BeEmpty(), Equal("entry-a1#1")))
		Consistently(func() bool {
			a1, a3 := r.status(lost, "dc-a"), r.status(r.host("entry-a3"), "dc-a")
			return a1 != nil && a3 != nil && a1.Leader == "" && a3.Leader == ""
		}).WithTimeout(5*electionTimeout).WithPolling(pollInterval).Should(BeTrue(), "dc-a has a leader although one voter is down and another has lost its state")
		r.start(second)
		r.waitReady(second)

		r.expectSecondChangeRefused(lost, "dc-a")
		for _, group := range []string{"region", "dc-c"} {
			r.replaceReplica(lost, group)
		}
		after := r.completeRequests(60, "after", r.callerAddresses())
		Eventually(func() bool { return r.appliedIndex(lost, "dc-a") >= r.appliedIndex(r.leader("dc-a"), "dc-a") }).
			WithTimeout(settleTimeout).WithPolling(pollInterval).Should(BeTrue(), "the new replica catches up")
		third := r.host("entry-a3")
		r.kill(third)
		r.expectSameAnswers(list, r.callerAddresses(third.name))
		r.expectSameAnswers(after, r.callerAddresses(third.name))
		r.completeRequests(30, "without-third", r.callerAddresses(third.name))
		r.start(third)
		r.waitReady(third)
		watch.expectNoViolations(r.hostNames(), 20)
	})
})

// expectSecondChangeRefused replaces the replica of a host that lost its disk.
// While the host is stopped by SIGSTOP the new replica cannot catch up, and the
// removal of another member must be refused with that reason.
func (r *region) expectSecondChangeRefused(h *host, group string) {
	GinkgoHelper()
	id := r.status(h, group).ID
	leaderHost := r.leader(group)
	r.ctlAt(leaderHost, "replicas", "remove", "-group", group, "-id", r.memberID(group, h.name))
	r.signal(h, syscall.SIGSTOP)
	DeferCleanup(func() { _ = h.process.Process.Signal(syscall.SIGCONT) })
	r.ctlAt(leaderHost, "replicas", "add", "-group", group, "-host", h.name, "-id", id)
	for _, m := range r.members(group) {
		if m.ID == id {
			Expect(m.Learner).To(BeTrue())
			continue
		}
		out, err := r.tryCtlAt(leaderHost, "replicas", "remove", "-group", group, "-id", m.ID)
		Expect(err).To(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("has not caught up yet"))
		var exit *exec.ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.ExitCode()).To(Equal(refusedExitCode))
	}
	r.signal(h, syscall.SIGCONT)
	r.waitVoter(h, group)
}
