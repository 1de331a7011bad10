package replica_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/replica"
)

var _ = Describe("Replica", func() {
	three := []string{"a", "b", "c"}

	It("keeps acknowledged entries over a restart of all hosts", func() {
		// Guards against an acknowledgement before the entry is durable.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		l := c.leader(three...)
		for _, line := range []string{"one", "two", "three"} {
			Expect(c.propose(l, line)).To(Succeed())
		}
		c.holds("one two three", three...)
		for _, h := range three {
			c.stop(h)
		}
		for _, h := range three {
			c.start(h)
		}
		l = c.leader(three...)
		Expect(c.running[l].ReadBarrier(context.Background())).To(Succeed())
		Expect(c.states[l].content()).To(Equal([]string{"one", "two", "three"}))
		c.holds("one two three", three...)
	})

	It("keeps its leader and term when an isolated follower returns", func() {
		// Guards against a follower that raises the term while it is isolated
		// and so forces an election when it returns.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		l := c.leader(three...)
		term := c.running[l].Status().Term
		follower := "a"
		if l == "a" {
			follower = "b"
		}
		c.isolate(follower, true)
		for range 5 {
			Expect(c.propose(l, "x")).To(Succeed())
		}
		c.until("the follower campaigns in vain", func() bool {
			return c.running[follower].Status().Role == replica.RoleCandidate
		})
		c.isolate(follower, false)
		c.holds("x x x x x", follower)
		Expect(c.running[l].Status().Role).To(Equal(replica.RoleLeader))
		Expect(c.running[l].Status().Term).To(Equal(term))
	})

	It("lets an isolated leader step down and takes back its unacknowledged entry", func() {
		// Guards against two leaders that both serve, and against a proposal
		// reported as failed that was committed.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		l := c.leader(three...)
		c.isolate(l, true)
		lost := make(chan error, 1)
		go func() { lost <- c.propose(l, "lost") }()
		var err error
		c.until("the proposal ends", func() bool {
			select {
			case err = <-lost:
				return true
			default:
				return false
			}
		})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
		Expect(fault.CodeOf(c.propose(l, "refused"))).To(Equal(fault.CodeNotLeader))
		var rest []string
		for _, h := range three {
			if h != l {
				rest = append(rest, h)
			}
		}
		next := c.leader(rest...)
		Expect(c.propose(next, "kept")).To(Succeed())
		c.isolate(l, false)
		c.holds("kept", three...)
	})
})
