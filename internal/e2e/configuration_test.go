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
		// Guards against a change that silently overwrites a concurrent one.
		r := shared()
		entries := [2]*host{r.host("entry-a2"), r.host("entry-c2")}
		for round := range 10 {
			revision := r.records(entries[0]).Revision
			var results [2]applyResult
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() {
					id := fmt.Sprintf("race-%d-%d", round, i)
					results[i] = entries[i].applyRecords(quotaChange(id, revision, fmt.Sprintf("racer-%d", i), round+1))
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
		// Guards against a resent change that creates a second revision, or that
		// conflicts with the revision that it created itself.
		r := shared()
		for round, entry := range r.hosts {
			revision := r.records(entry).Revision
			change := quotaChange(fmt.Sprintf("lost-%d", round), revision, "lost", round+1)
			conn := entry.sendRecordsUnread(change)
			other := r.hosts[(round+1)%len(r.hosts)]
			Eventually(func() uint64 { return r.records(other).Revision }).WithTimeout(settleTimeout).Should(Equal(revision + 1))
			Expect(conn.Close()).To(Succeed())
			for _, h := range r.hosts {
				again := h.applyRecords(change)
				Expect(again).To(Equal(applyResult{revision: revision + 1}), h.name)
			}
			late := quotaChange(fmt.Sprintf("late-%d", round), revision, "late", 1)
			Expect(other.applyRecords(late).code).To(Equal(fault.CodeRevisionConflict))
			Expect(entry.applyRecords(late).code).To(Equal(fault.CodeRevisionConflict), "the first answer stands")
			Expect(r.records(entry).Revision).To(Equal(revision + 1))
		}
	})

	It("never reverts in a process that restarts, loses its disk or is partitioned", func() {
		// Guards against a process that uses outdated records from its own disk
		// or from a leader that has been replaced.
		r := shared()
		entry := r.host("entry-a3")
		watch := r.sampleRevisions()
		changes := 0
		change := func(n int) uint64 {
			var revision uint64
			for range n {
				changes++
				revision = r.applyAtCurrentRevision(entry, fmt.Sprintf("steady-%d", changes), "steady", changes)
			}
			return revision
		}
		r.expectInForce(change(3))

		// The hosts of dc-b ask entry-b1 first for the records, so that a read of
		// its own outdated state would be detected.
		killed := r.host("entry-b1")
		r.kill(killed)
		watch.startHostExpecting(r, killed, "entry-b2", change(5))
		r.expectInForce(change(1))

		diskless := r.host("entry-c2")
		r.killAndWipeDisk(diskless)
		watch.startHostExpecting(r, diskless, "entry-c1", change(5))
		r.expectInForce(change(1))
		r.replaceReplica(diskless, "dc-c")

		DeferCleanup(func() { r.partition("dc-b", linkOpen) })
		r.partition("dc-b", linkSilent)
		during := change(5)
		Expect(r.revisionOf("entry-b2")).To(BeNumerically("<", during), "the partition must keep changes out")
		// A restart during the partition must restore the adopted records.
		r.kill(killed)
		r.start(killed)
		r.waitReady(killed)
		r.partition("dc-b", linkOpen)
		r.expectInForce(change(1))
		watch.expectNoViolations(r.hostNames(), 20)
	})
}
