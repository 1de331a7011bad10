package replica_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/replica"
)

// offsetClock is a clock with an offset from the cluster's clock.
type offsetClock struct {
	*clock.Manual
	by atomic.Int64 // nanoseconds
}

func (s *offsetClock) Now() time.Time { return s.Manual.Now().Add(time.Duration(s.by.Load())) }

// newOffsetCluster starts a cluster in which every host has its own wall clock.
func newOffsetCluster(hosts ...string) (*cluster, map[string]*offsetClock, map[string]*hlc.Clock, *refusals) {
	c := newCluster(hosts...)
	walls, clocks, seen := map[string]*offsetClock{}, map[string]*hlc.Clock{}, &refusals{}
	c.config = func(cfg *replica.Config) {
		walls[cfg.Self.Host] = &offsetClock{Manual: c.clock}
		clocks[cfg.Self.Host] = hlc.NewClock(walls[cfg.Self.Host])
		cfg.HLC, cfg.OnRefusedTimestamp = clocks[cfg.Self.Host], seen.add
	}
	for _, h := range hosts {
		c.start(h, hosts...)
	}
	return c, walls, clocks, seen
}

// refusals records the calls of OnRefusedTimestamp.
type refusals struct {
	mu      sync.Mutex
	leaders []string
	codes   []fault.Code
}

func (r *refusals) add(leader string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders, r.codes = append(r.leaders, leader), append(r.codes, fault.CodeOf(err))
}

func (r *refusals) reported(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.leaders, host) && !slices.ContainsFunc(r.codes, func(c fault.Code) bool { return c != fault.CodeClockSkew })
}

func without(hosts []string, host string) []string {
	return slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == host })
}

func (j *journal) latest() hlc.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.times[len(j.times)-1]
}

var _ = Describe("Clocks", func() {
	three := []string{"a", "b", "c"}

	It("refuses the entries of a leader whose clock is far ahead and elects another", func() {
		// Guards against a committed timestamp that makes every deadline expire
		// early. The leader has no measurement of a peer's clock here, so the
		// followers have to refuse its entries.
		c, walls, _, seen := newOffsetCluster(three...)
		leader := c.awaitLeader(three...)
		Expect(c.propose(leader, "before")).To(Succeed())
		c.expectApplied("before", three...)
		walls[leader].by.Store(int64(time.Hour))
		done := make(chan error, 1)
		go func() {
			_, err := c.running[leader].Propose(context.Background(), []byte("fast"))
			done <- err
		}()
		var err error
		c.tickUntil("the proposal ends", func() bool {
			select {
			case err = <-done:
				return true
			default:
				return false
			}
		})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
		Expect(seen.reported(leader)).To(BeTrue())
		walls[leader].by.Store(0)
		next := c.awaitLeader(without(three, leader)...)
		Expect(c.propose(next, "after")).To(Succeed())
		for _, h := range three {
			c.tickUntil("the entry is applied", func() bool { return slices.Contains(c.states[h].content(), "after") })
			Expect(c.states[h].latest().Sub(hlc.Time{WallMillis: c.clock.Now().UnixMilli()})).To(BeNumerically("<=", hlc.MaxSkew))
		}
	})

	DescribeTable("transfers the leadership away from a host whose clock differs from the majority's",
		// Guards against a leader that commits a wrong timestamp. Followers
		// refuse only timestamps that are ahead, not those in the past.
		func(by time.Duration) {
			c, walls, clocks, _ := newOffsetCluster(three...)
			leader := c.awaitLeader(three...)
			walls[leader].by.Store(int64(by))
			now := c.clock.Now()
			for _, h := range without(three, leader) {
				clocks[leader].RecordPeerClock(h, now, now.Add(by), now.Add(by))
			}
			c.tickUntil("another host leads", func() bool { return c.running[leader].Status().Role != replica.RoleLeader })
			next := c.awaitLeader(without(three, leader)...)
			Expect(c.propose(next, "right")).To(Succeed())
			c.expectApplied("right", three...)
			Expect(c.states[leader].latest().Sub(hlc.Time{WallMillis: c.clock.Now().UnixMilli()}).Abs()).To(BeNumerically("<=", hlc.MaxSkew))
		},
		Entry("ahead", time.Hour),
		Entry("behind", -time.Hour),
	)

	It("refuses proposals on a skewed leader while no other host can lead", func() {
		// Guards against a wrong timestamp in the log of a group that cannot
		// transfer its leadership.
		c, walls, clocks, _ := newOffsetCluster("a")
		Expect(c.propose(c.awaitLeader("a"), "before")).To(Succeed())
		walls["a"].by.Store(int64(-time.Hour))
		sent := walls["a"].Now()
		for _, peer := range []string{"x", "y"} {
			clocks["a"].RecordPeerClock(peer, c.clock.Now(), sent, sent)
		}
		c.clock.Advance(tick)
		c.awaitQuiet(time.Now().Add(testTimeout))
		Expect(fault.CodeOf(c.propose("a", "wrong"))).To(Equal(fault.CodeClockSkew))
	})

	It("accepts entries while its own clock is known to be behind", func() {
		// Guards against followers with wrong clocks that block their group.
		c, walls, clocks, seen := newOffsetCluster(three...)
		leader := c.awaitLeader(three...)
		for _, h := range without(three, leader) {
			walls[h].by.Store(int64(-time.Hour))
			now := walls[h].Now()
			for _, peer := range []string{"x", "y"} {
				clocks[h].RecordPeerClock(peer, c.clock.Now(), now, now)
			}
		}
		c.clock.Advance(tick)
		c.awaitQuiet(time.Now().Add(testTimeout))
		Expect(c.propose(leader, "taken")).To(Succeed())
		c.expectApplied("taken", three...)
		Expect(seen.reported(leader)).To(BeFalse())
	})

	It("keeps the timestamps of the log ascending under a leader whose clock is behind", func() {
		// Guards against entry timestamps that decrease: the hybrid clock of a
		// new leader does not follow committed timestamps beyond MaxSkew.
		c, walls, _, _ := newOffsetCluster(three...)
		leader := c.awaitLeader(three...)
		slow := without(three, leader)[0]
		walls[slow].by.Store(int64(-time.Hour))
		Expect(c.propose(leader, "one")).To(Succeed())
		c.expectApplied("one", three...)
		first := c.states[slow].latest()
		for c.running[slow].Status().Role != replica.RoleLeader {
			lead := c.awaitLeader(three...)
			done := make(chan error, 1)
			go func() { done <- c.running[lead].TransferLeadership(context.Background()) }()
			c.tickUntil("the transfer ends", func() bool { return len(done) == 1 })
		}
		c.awaitLeader(slow)
		Expect(c.propose(slow, "two")).To(Succeed())
		c.expectApplied("one two", three...)
		Expect(first.Before(c.states[slow].latest())).To(BeTrue())
	})
})
