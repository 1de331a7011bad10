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

// shifted is a clock that differs from the cluster's.
type shifted struct {
	*clock.Manual
	by atomic.Int64 // nanoseconds
}

func (s *shifted) Now() time.Time { return s.Manual.Now().Add(time.Duration(s.by.Load())) }

// shiftedCluster gives every host a wall clock of its own.
func shiftedCluster(hosts ...string) (*cluster, map[string]*shifted, map[string]*hlc.Clock, *refusals) {
	c := newCluster(hosts...)
	walls, clocks, seen := map[string]*shifted{}, map[string]*hlc.Clock{}, &refusals{}
	c.config = func(cfg *replica.Config) {
		walls[cfg.Self.Host] = &shifted{Manual: c.clock}
		clocks[cfg.Self.Host] = hlc.NewClock(walls[cfg.Self.Host])
		cfg.HLC, cfg.OnRefusedTimestamp = clocks[cfg.Self.Host], seen.add
	}
	for _, h := range hosts {
		c.start(h, hosts...)
	}
	return c, walls, clocks, seen
}

// refusals collects what OnRefusedTimestamp receives.
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

func (r *refusals) blame(host string) bool {
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
		// Guards against a committed time that ends every deadline early. The
		// leader knows no peer's clock here, so the followers have to refuse.
		c, walls, _, seen := shiftedCluster(three...)
		l := c.leader(three...)
		Expect(c.propose(l, "before")).To(Succeed())
		c.holds("before", three...)
		walls[l].by.Store(int64(time.Hour))
		done := make(chan error, 1)
		go func() {
			_, err := c.running[l].Propose(context.Background(), []byte("fast"))
			done <- err
		}()
		var err error
		c.until("the proposal ends", func() bool {
			select {
			case err = <-done:
				return true
			default:
				return false
			}
		})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
		Expect(seen.blame(l)).To(BeTrue())
		walls[l].by.Store(0)
		next := c.leader(without(three, l)...)
		Expect(c.propose(next, "after")).To(Succeed())
		for _, h := range three {
			c.until("the entry is applied", func() bool { return slices.Contains(c.states[h].content(), "after") })
			Expect(c.states[h].latest().Sub(hlc.Time{WallMillis: c.clock.Now().UnixMilli()})).To(BeNumerically("<=", hlc.MaxSkew))
		}
	})

	DescribeTable("hands over the leadership of a host whose clock the majority contradicts",
		// Guards against a leader that commits a wrong time because every
		// follower accepts it, which they do with a time in the past.
		func(by time.Duration) {
			c, walls, clocks, _ := shiftedCluster(three...)
			l := c.leader(three...)
			walls[l].by.Store(int64(by))
			now := c.clock.Now()
			for _, h := range without(three, l) {
				clocks[l].RecordPeerClock(h, now, now.Add(by), now.Add(by))
			}
			c.until("another host leads", func() bool { return c.running[l].Status().Role != replica.RoleLeader })
			next := c.leader(without(three, l)...)
			Expect(c.propose(next, "right")).To(Succeed())
			c.holds("right", three...)
			Expect(c.states[l].latest().Sub(hlc.Time{WallMillis: c.clock.Now().UnixMilli()}).Abs()).To(BeNumerically("<=", hlc.MaxSkew))
		},
		Entry("ahead", time.Hour),
		Entry("behind", -time.Hour),
	)

	It("takes no proposal while no other host can lead", func() {
		// Guards against a wrong time in the log of a group that cannot hand over.
		c, walls, clocks, _ := shiftedCluster("a")
		Expect(c.propose(c.leader("a"), "before")).To(Succeed())
		walls["a"].by.Store(int64(-time.Hour))
		sent := walls["a"].Now()
		for _, peer := range []string{"x", "y"} {
			clocks["a"].RecordPeerClock(peer, c.clock.Now(), sent, sent)
		}
		c.clock.Advance(tick)
		c.settle(time.Now().Add(patient))
		Expect(fault.CodeOf(c.propose("a", "wrong"))).To(Equal(fault.CodeClockSkew))
	})

	It("takes the entries of others while its own clock is known to be behind", func() {
		// Guards against a wrong clock of a follower that stops its group.
		c, walls, clocks, seen := shiftedCluster(three...)
		l := c.leader(three...)
		for _, h := range without(three, l) {
			walls[h].by.Store(int64(-time.Hour))
			now := walls[h].Now()
			for _, peer := range []string{"x", "y"} {
				clocks[h].RecordPeerClock(peer, c.clock.Now(), now, now)
			}
		}
		c.clock.Advance(tick)
		c.settle(time.Now().Add(patient))
		Expect(c.propose(l, "taken")).To(Succeed())
		c.holds("taken", three...)
		Expect(seen.blame(l)).To(BeFalse())
	})

	It("keeps the times of the log ascending over a leader whose clock is behind", func() {
		// Guards against a state machine whose time goes back: the follower's
		// hybrid clock does not follow committed times beyond its bound.
		c, walls, _, _ := shiftedCluster(three...)
		l := c.leader(three...)
		slow := without(three, l)[0]
		walls[slow].by.Store(int64(-time.Hour))
		Expect(c.propose(l, "one")).To(Succeed())
		c.holds("one", three...)
		first := c.states[slow].latest()
		for c.running[slow].Status().Role != replica.RoleLeader {
			lead := c.leader(three...)
			done := make(chan error, 1)
			go func() { done <- c.running[lead].TransferLeadership(context.Background()) }()
			c.until("the transfer ends", func() bool { return len(done) == 1 })
		}
		c.leader(slow)
		Expect(c.propose(slow, "two")).To(Succeed())
		c.holds("one two", three...)
		Expect(first.Before(c.states[slow].latest())).To(BeTrue())
	})
})
