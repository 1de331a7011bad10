package replica_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/faultfs"
)

var _ = Describe("Replica", func() {
	three := []string{"a", "b", "c"}

	It("keeps acknowledged entries over a restart of all hosts", func() {
		// Guards against acknowledging an entry before it is durable.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		for _, line := range []string{"one", "two", "three"} {
			Expect(c.propose(leader, line)).To(Succeed())
		}
		c.expectApplied("one two three", three...)
		for _, h := range three {
			c.stop(h)
		}
		for _, h := range three {
			c.start(h)
		}
		leader = c.awaitLeader(three...)
		Expect(c.running[leader].ReadBarrier(context.Background())).To(Succeed())
		Expect(c.states[leader].content()).To(Equal([]string{"one", "two", "three"}))
		c.expectApplied("one two three", three...)
	})

	It("keeps its leader and term when an isolated follower reconnects", func() {
		// Guards against a follower that raises its term while it is isolated
		// and so forces an election when it reconnects.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		term := c.running[leader].Status().Term
		follower := "a"
		if leader == "a" {
			follower = "b"
		}
		c.isolate(follower, true)
		for range 5 {
			Expect(c.propose(leader, "x")).To(Succeed())
		}
		c.tickUntil("the follower campaigns in vain", func() bool {
			return c.running[follower].Status().Role == replica.RoleCandidate
		})
		c.isolate(follower, false)
		c.expectApplied("x x x x x", follower)
		Expect(c.running[leader].Status().Role).To(Equal(replica.RoleLeader))
		Expect(c.running[leader].Status().Term).To(Equal(term))
	})

	It("makes an isolated leader step down and discards its uncommitted entry", func() {
		// Guards against two leaders that serve at the same time, and against
		// reporting a proposal as failed although it may be committed.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		c.isolate(leader, true)
		lost := make(chan error, 1)
		go func() {
			_, err := c.running[leader].Propose(context.Background(), []byte("lost"))
			lost <- err
		}()
		var err error
		c.tickUntil("the proposal ends", func() bool {
			select {
			case err = <-lost:
				return true
			default:
				return false
			}
		})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
		Expect(fault.CodeOf(c.propose(leader, "refused"))).To(Equal(fault.CodeNotLeader))
		var rest []string
		for _, h := range three {
			if h != leader {
				rest = append(rest, h)
			}
		}
		next := c.awaitLeader(rest...)
		Expect(c.propose(next, "kept")).To(Succeed())
		c.isolate(leader, false)
		c.expectApplied("kept", three...)
	})

	It("does not let a host with a lost disk vote until an operator adds it again", func() {
		// Guards against a host that votes under its former id with an empty
		// disk because the bootstrap setting is still in place.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		Expect(c.propose(leader, "kept")).To(Succeed())
		lost := "a"
		if leader == "a" {
			lost = "b"
		}
		c.stop(lost)
		c.disks[lost].Wipe()
		c.start(lost, three...)
		c.tickUntil("the host takes a new incarnation", func() bool {
			return c.running[lost].Status().ID == lost+"#new1"
		})
		Expect(c.running[lost].Status().Role).To(Equal(replica.RoleLearner))
		Expect(c.running[lost].Status().Reason).NotTo(BeEmpty())
		ctx := context.Background()
		c.tickUntil("the leader removes the former replica", func() bool {
			return c.running[leader].RemoveReplica(ctx, lost+"#1") == nil
		})
		Expect(c.running[leader].AddReplica(ctx, replica.Member{ID: lost + "#new1", Host: lost})).To(Succeed())
		c.expectApplied("kept", lost)
		c.tickUntil("the replica votes again", func() bool {
			return c.running[lost].Status().Role == replica.RoleFollower && len(c.running[leader].Status().Members) == 3
		})
	})

	It("gives a host without bootstrap a new incarnation and keeps it", func() {
		// Guards against a host that reuses its former identity with a replaced
		// disk.
		c := newCluster("d")
		c.start("d")
		Expect(c.running["d"].Status().ID).To(Equal("d#new1"))
		c.stop("d")
		c.start("d")
		Expect(c.running["d"].Status().ID).To(Equal("d#new1"))
	})

	It("refuses a second change before the new replica has caught up", func() {
		// Guards against a removal that costs the group its quorum while the
		// newly added replica is still empty.
		c := newCluster("a", "b", "c", "d")
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		ctx := context.Background()
		Expect(c.running[leader].AddReplica(ctx, replica.Member{ID: "d#new1", Host: "d"})).To(Succeed())
		for _, id := range []string{"a#1", "b#1", "c#1"} {
			err := c.running[leader].RemoveReplica(ctx, id)
			Expect(fault.CodeOf(err)).To(Equal(fault.CodePrecondition))
			Expect(err).To(MatchError(ContainSubstring("d#new1")))
		}
		c.start("d")
		c.tickUntil("d is a voter", func() bool { return c.running["d"].Status().Role == replica.RoleFollower })
		c.tickUntil("the removal succeeds", func() bool { return c.running[leader].RemoveReplica(ctx, leader+"#1") == nil })
	})

	It("brings a lagging replica up to date with a snapshot", func() {
		// Guards against a replica that cannot catch up once the entries that it
		// lacks are compacted, and against unbounded growth of the log.
		c := newCluster(three...)
		set := metrics.NewSet()
		c.config = func(cfg *replica.Config) { cfg.SnapshotEntries, cfg.Metrics = 10, set }
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		behind := "a"
		if leader == "a" {
			behind = "b"
		}
		c.isolate(behind, true)
		for range 50 {
			Expect(c.propose(leader, "x")).To(Succeed())
		}
		c.isolate(behind, false)
		want := strings.TrimSuffix(strings.Repeat("x ", 50), " ")
		c.expectApplied(want, behind)
		name := fmt.Sprintf("agatehaven_replica_installed_snapshots_total{group=%q,host=%q}", "east", behind)
		Expect(set.GetOrCreateCounter(name).Get()).NotTo(BeZero())
		c.stop(behind)
		c.start(behind)
		c.expectApplied(want, behind)
	})

	It("transfers leadership on request", func() {
		// Guards against a planned stop after which the group has no leader for
		// an election timeout.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		term := c.running[leader].Status().Term
		Expect(c.running[leader].TransferLeadership(context.Background())).To(Succeed())
		// The clock stands still, so no election timeout passes.
		Eventually(func() (terms []uint64) {
			for _, h := range three {
				if s := c.running[h].Status(); h != leader && s.Role == replica.RoleLeader {
					terms = append(terms, s.Term)
				}
			}
			return terms
		}).WithTimeout(testTimeout).Should(Equal([]uint64{term + 1}))
	})

	It("works as a group of one, with entry times that increase", func() {
		// Guards against a single replica that waits for others, and against
		// entry timestamps that decrease after a restart.
		c := newCluster("a")
		c.start("a", "a")
		c.awaitLeader("a")
		Expect(c.propose("a", "one")).To(Succeed())
		Expect(c.running["a"].ReadBarrier(context.Background())).To(Succeed())
		last := c.states["a"].times[0]
		c.stop("a")
		c.clock.Advance(-time.Minute)
		c.start("a", "a")
		c.awaitLeader("a")
		Expect(c.propose("a", "two")).To(Succeed())
		c.expectApplied("one two", "a")
		Expect(last.Before(c.states["a"].times[1])).To(BeTrue())
	})

	It("serves a read only after the entries before it are applied", func() {
		// Guards against a read that does not see an earlier write.
		c := newCluster(three...)
		c.gate = make(chan struct{})
		open := sync.OnceFunc(func() { close(c.gate) })
		DeferCleanup(open)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		before := c.running[leader].Status().Committed
		proposed, read := make(chan error, 1), make(chan error, 1)
		go func() { proposed <- c.propose(leader, "x") }()
		c.tickUntil("the entry is committed", func() bool { return c.running[leader].Status().Committed > before })
		go func() { read <- c.running[leader].ReadBarrier(context.Background()) }()
		ticks := 0
		c.tickUntil("several heartbeats are answered", func() bool { ticks++; return ticks > 20 })
		Expect(read).NotTo(Receive())
		open()
		Eventually(read).WithTimeout(testTimeout).Should(Receive(BeNil()))
		Eventually(proposed).WithTimeout(testTimeout).Should(Receive(BeNil()))
		Expect(c.states[leader].content()).To(Equal([]string{"x"}))
	})

	It("bounds the proposals in flight", func() {
		// Guards against unbounded memory use while the group has no quorum.
		c := newCluster(three...)
		c.config = func(cfg *replica.Config) { cfg.MaxInflight = 2 }
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		for _, h := range three {
			c.isolate(h, true)
		}
		results := make(chan error, 3)
		for range 3 {
			go func() { results <- c.propose(leader, "x") }()
		}
		var refused error
		Eventually(results).WithTimeout(testTimeout).Should(Receive(&refused))
		Expect(fault.CodeOf(refused)).To(Equal(fault.CodeLimitExceeded))
	})

	It("acknowledges no entry that its followers failed to store", func() {
		// Guards against an acknowledgement that is sent before the sync.
		c := newCluster(three...)
		for _, h := range three {
			c.start(h, three...)
		}
		leader := c.awaitLeader(three...)
		for _, h := range three {
			if h != leader {
				c.disks[h].FailAfter(faultfs.OpSync, 0)
			}
		}
		result := make(chan error, 1)
		go func() { result <- c.propose(leader, "x") }()
		var err error
		c.tickUntil("the proposal ends", func() bool {
			select {
			case err = <-result:
				return true
			default:
				return false
			}
		})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
	})

	It("stops at an entry of a newer version while the other replicas continue", func() {
		// Guards against a replica of an older version that skips an unsupported
		// entry and continues, possibly as leader, with a diverged state.
		c := newCluster("a", "b", "c")
		for _, h := range []string{"a", "b", "c"} {
			c.start(h, "a", "b", "c")
		}
		leader := c.awaitLeader("a", "b", "c")
		Expect(c.propose(leader, "one")).To(Succeed())
		old := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
		c.states[old].mu.Lock()
		c.states[old].unsupported = "new"
		c.states[old].mu.Unlock()
		Expect(c.propose(leader, "new")).To(Succeed())
		c.tickUntil("the replica of the older version stops", func() bool {
			return strings.Contains(c.running[old].Status().Reason, "newer version")
		})
		Eventually(c.running[old].Done()).WithTimeout(testTimeout).Should(BeClosed())
		Expect(c.states[old].content()).To(Equal([]string{"one"}))
		Expect(c.propose(leader, "two")).To(Succeed())
	})

	It("stops with the reason when its disk fails, and does not start from a corrupt log", func() {
		// Guards against a replica that acknowledges entries that it cannot
		// store.
		c := newCluster("a")
		c.start("a", "a")
		c.awaitLeader("a")
		Expect(c.propose("a", "one")).To(Succeed())
		c.disks["a"].FailAfter(faultfs.OpSync, 0)
		Expect(fault.CodeOf(c.propose("a", "two"))).To(Equal(fault.CodeProposalUnknown))
		Eventually(c.running["a"].Done()).WithTimeout(testTimeout).Should(BeClosed())
		Expect(c.running["a"].Status().Reason).To(ContainSubstring("injected sync failure"))
		Expect(fault.CodeOf(c.propose("a", "three"))).To(Equal(fault.CodeUnavailable))
		c.disks["a"].Edit("/data/log-0000000000000001.wal", func(d []byte) []byte { d[40] ^= 1; return d })
		Expect(fault.CodeOf(c.tryStart("a", "a"))).To(Equal(fault.CodeCorrupt))
	})
})
