package e2e_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
)

func configurationCases(shared func() *region) {
	It("is changed by exactly one of two operators at the same revision", func() {
		// Guards against a change that overwrites another one unseen.
		r := shared()
		entries := [2]*host{r.host("entry-a2"), r.host("entry-c2")}
		for round := range 10 {
			revision := r.records(entries[0]).Revision
			var results [2]applied
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() {
					id := fmt.Sprintf("race-%d-%d", round, i)
					results[i] = entries[i].post(quotaChange(id, revision, fmt.Sprintf("racer-%d", i), round+1))
				})
			}
			wg.Wait()
			won := 0
			for _, result := range results {
				Expect(result.err).NotTo(HaveOccurred())
				if result.code == "" {
					won++
					Expect(result.revision).To(Equal(revision + 1))
					continue
				}
				Expect(result.code).To(Equal(fault.CodeRevisionConflict))
			}
			Expect(won).To(Equal(1))
			Expect(r.records(entries[1]).Revision).To(Equal(revision + 1))
		}
	})

	It("answers a resend after a lost answer with the first answer", func() {
		// Guards against a second revision for one change, and against a
		// conflict with the operator's own change.
		r := shared()
		for round, entry := range r.hosts {
			revision := r.records(entry).Revision
			change := quotaChange(fmt.Sprintf("lost-%d", round), revision, "lost", round+1)
			conn := entry.postUnread(change)
			other := r.hosts[(round+1)%len(r.hosts)]
			Eventually(func() uint64 { return r.records(other).Revision }).WithTimeout(settleLimit).Should(Equal(revision + 1))
			Expect(conn.Close()).To(Succeed())
			for _, h := range r.hosts {
				again := h.post(change)
				Expect(again).To(Equal(applied{revision: revision + 1}), h.name)
			}
			late := quotaChange(fmt.Sprintf("late-%d", round), revision, "late", 1)
			Expect(other.post(late).code).To(Equal(fault.CodeRevisionConflict))
			Expect(entry.post(late).code).To(Equal(fault.CodeRevisionConflict), "the first answer stands")
			Expect(r.records(entry).Revision).To(Equal(revision + 1))
		}
	})

	It("never reverts in a process that restarts, loses its disk or is cut off", func() {
		// Guards against a process that decides by records of its own disk, or
		// by those of a leader that was replaced.
		r := shared()
		entry := r.host("entry-a3")
		watch := r.sampleRevisions()
		changes := 0
		change := func(n int) uint64 {
			var revision uint64
			for range n {
				changes++
				revision = r.applyNext(entry, fmt.Sprintf("steady-%d", changes), "steady", changes)
			}
			return revision
		}
		r.expectInForce(change(3))

		// It is the first host that its data centre asks for the records, so a read
		// of its own old state would show.
		killed := r.host("entry-b1")
		r.kill(killed)
		watch.restart(r, killed, "entry-b2", change(5))
		r.expectInForce(change(1))

		diskless := r.host("entry-c2")
		r.loseDisk(diskless)
		watch.restart(r, diskless, "entry-c1", change(5))
		r.expectInForce(change(1))
		r.replaceReplica(diskless, "dc-c")

		DeferCleanup(func() { r.partition("dc-b", linkOpen) })
		r.partition("dc-b", linkSilent)
		during := change(5)
		Expect(r.revisionOf("entry-b2")).To(BeNumerically("<", during), "the partition must keep changes out")
		// A restart during the partition must bring the adopted records back.
		r.kill(killed)
		r.start(killed)
		r.waitReady(killed)
		r.partition("dc-b", linkOpen)
		r.expectInForce(change(1))
		watch.expectNone(r.names(), 20)
	})
}
