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

// exitRefused is the tool's exit code for a refused command.
const exitRefused = 5

// manyChanges is above three times the snapshot interval of the tests, so that
// every replica has a snapshot and entries after it.
const manyChanges = 300

var durableKinds = []string{"plotter_order", "draw", "proof"}

// pools returns the pool of every host.
func (r *region) pools(h *host) map[string]string {
	GinkgoHelper()
	out := map[string]string{}
	Eventually(func() int {
		clear(out)
		hosts, err := get[query.Hosts](h, "/v1/hosts")
		if err != nil {
			return 0
		}
		for i := range hosts.Hosts {
			out[hosts.Hosts[i].Info.Name] = hosts.Hosts[i].Pool
		}
		return len(out)
	}).WithTimeout(settleLimit).WithPolling(pollEvery).Should(Equal(54))
	return out
}

// changeMany commits changes of records one after the other.
func (r *region) changeMany(h *host, n int) {
	GinkgoHelper()
	revision := r.records(h).Revision
	for i := range n {
		id := fmt.Sprintf("many-%d", i)
		result := h.post(quotaChange(id, revision, fmt.Sprintf("team-%d", i%40), i+1))
		Expect(result).To(Equal(applied{revision: revision + 1}), id)
		revision = result.revision
	}
}

// finished sends requests of all durableKinds, n in all, through the given
// entry hosts and expects them to be done. The result is ordered by kind.
func (r *region) finished(n int, prefix string, entries []string) (list []sent) {
	GinkgoHelper()
	for _, kind := range durableKinds {
		b := body(kind, 20*time.Millisecond)
		for _, s := range r.sendMany(n/len(durableKinds), prefix+"-"+kind, b, entries, nil) {
			Expect(s.err).NotTo(HaveOccurred(), s.key)
			Expect(s.response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", s.key, s.response.Reason)
			list = append(list, s)
		}
	}
	return list
}

// expectKept sends finished requests again through other entry hosts than
// before, and expects the first answers and no further run.
func (r *region) expectKept(list []sent, entries []string) {
	GinkgoHelper()
	for i, s := range list {
		kind := durableKinds[i*len(durableKinds)/len(list)]
		again, _, err := r.client.Send(context.Background(), entries[(i+3)%len(entries)], s.key, body(kind, 20*time.Millisecond))
		Expect(err).NotTo(HaveOccurred(), s.key)
		Expect(again).To(Equal(s.response), s.key)
	}
	for _, s := range list {
		Expect(r.runs(s.key)).To(Equal(1), s.key)
	}
}

var _ = Describe("Durable state", Ordered, ContinueOnFailure, func() {
	var r *region
	BeforeAll(func() { r = startRegion(nil) })

	It("is the same after all daemons are killed and restarted", func() {
		// Guards against state that is only in memory, and against a snapshot or
		// a log tail that is lost or applied twice.
		r.ctl("move", "-reason", "test", "dc-a-t06", "proofs")
		Eventually(func() string { return r.pools(r.hosts[1])["dc-a-t06"] }).WithTimeout(settleLimit).Should(Equal("proofs"))
		r.changeMany(r.host("entry-b1"), manyChanges)
		list := r.finished(manyChanges, "durable", r.callers())
		records, pools := r.records(r.hosts[1]), r.pools(r.hosts[1])
		watch := r.sampleRevisions()
		r.expectInForce(records.Revision)
		for _, h := range r.hosts {
			r.signal(h, syscall.SIGKILL)
		}
		for _, h := range r.hosts {
			Eventually(h.exited).WithTimeout(settleLimit).Should(BeClosed())
		}
		for _, h := range r.hosts {
			r.start(h)
		}
		for _, h := range r.hosts {
			r.waitReady(h)
		}
		r.expectInForce(records.Revision)
		Expect(r.records(r.host("entry-c2"))).To(Equal(records))
		Expect(r.pools(r.host("entry-c2"))).To(Equal(pools))
		r.expectKept(list, r.callers())
		watch.expectNone(r.names(), 20)
		Eventually(r.readyTargets).WithTimeout(readyLimit).WithPolling(pollEvery).Should(Equal(54))
	})

	It("survives a voter's lost disk and then the loss of another voter", func() {
		// Guards against a replica that votes under its old id without its
		// former state, and against a repair that leaves too few copies.
		watch := r.sampleRevisions()
		list := r.finished(60, "before", r.callers())
		lost, second := r.host("entry-a1"), r.host("entry-a2")
		r.loseDisk(lost)
		r.kill(second)
		r.start(lost)
		// Of three voters of dc-a one has lost its disk and one is down.
		Eventually(func() string {
			if s := r.status(lost, "dc-a"); s != nil {
				return s.ID
			}
			return ""
		}).WithTimeout(settleLimit).WithPolling(pollEvery).ShouldNot(Or(BeEmpty(), Equal("entry-a1#1")))
		Consistently(func() bool {
			a1, a3 := r.status(lost, "dc-a"), r.status(r.host("entry-a3"), "dc-a")
			return a1 != nil && a3 != nil && a1.Leader == "" && a3.Leader == ""
		}).WithTimeout(5*electionTimeout).WithPolling(pollEvery).Should(BeTrue(), "a leader of dc-a needs the vote of a lost replica")
		r.start(second)
		r.waitReady(second)

		r.refuseSecondChange(lost, "dc-a")
		for _, group := range []string{"region", "dc-c"} {
			r.replaceReplica(lost, group)
		}
		after := r.finished(60, "after", r.callers())
		Eventually(func() bool { return r.applied(lost, "dc-a") >= r.applied(r.leader("dc-a"), "dc-a") }).
			WithTimeout(settleLimit).WithPolling(pollEvery).Should(BeTrue(), "the new replica catches up")
		third := r.host("entry-a3")
		r.kill(third)
		r.expectKept(list, r.callers(third.name))
		r.expectKept(after, r.callers(third.name))
		r.finished(30, "without-third", r.callers(third.name))
		r.start(third)
		r.waitReady(third)
		watch.expectNone(r.names(), 20)
	})
})

// refuseSecondChange replaces the replica of a host that lost its disk. While
// the host stands still the new replica cannot catch up, and the removal of
// another member must be refused with the reason.
func (r *region) refuseSecondChange(h *host, group string) {
	GinkgoHelper()
	id := r.status(h, group).ID
	through := r.leader(group)
	r.ctlAt(through, "replicas", "remove", "-group", group, "-id", r.oldID(group, h.name))
	r.signal(h, syscall.SIGSTOP)
	DeferCleanup(func() { _ = h.process.Process.Signal(syscall.SIGCONT) })
	r.ctlAt(through, "replicas", "add", "-group", group, "-host", h.name, "-id", id)
	for _, m := range r.members(group) {
		if m.ID == id {
			Expect(m.Learner).To(BeTrue())
			continue
		}
		out, err := r.tryCtlAt(through, "replicas", "remove", "-group", group, "-id", m.ID)
		Expect(err).To(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("has not caught up yet"))
		var exit *exec.ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.ExitCode()).To(Equal(exitRefused))
	}
	r.signal(h, syscall.SIGCONT)
	r.waitVoter(h, group)
}
