package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/testsupport/jumpclock"
	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against two holders that alternate, and against a group that moves no host for
// the whole pause after all its hosts lost power: an order that a process replays from
// its log at start is as old as its announcement says.
func TestOrderLogEnforcesThePauseBetweenHolders(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		orders := leader.NewOrderLog(clock.System{})
		ago := func(d time.Duration) int64 { return time.Now().Add(-d).UnixMilli() }
		orders.Record(work.HostOrder{Host: "now", Holder: "x"}, ago(0))
		orders.Record(work.HostOrder{Host: "recent", Holder: "x"}, ago(7*time.Second))
		orders.Record(work.HostOrder{Host: "old", Holder: "x"}, ago(9*time.Second))
		orders.Record(work.HostOrder{Host: "ahead", Holder: "x"}, ago(-8*time.Second))
		free := func(host, holder string) bool { return orders.MayOrder(host, holder, pause) }
		g.Expect(free("old", "y")).To(BeTrue())
		g.Expect(free("recent", "y")).To(BeFalse(), "two clocks may have jumped, apart from each other")
		g.Expect(free("now", "y")).To(BeFalse())
		g.Expect(free("ahead", "y")).To(BeFalse())
		g.Expect(free("now", "x")).To(BeTrue(), "the same holder may continue")
		after(pause + time.Millisecond)
		for _, host := range []string{"now", "recent", "old", "ahead"} {
			g.Expect(free(host, "y")).To(BeTrue())
		}
	})
}

// Guards against two holders that alternate because the clock of one of them has jumped: an
// order that is announced now seems to be old.
func TestClockJumpsDoNotShortenThePauseBetweenHolders(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := jumpclock.New(clock.System{})
		orders := leader.NewOrderLog(c)
		after(time.Minute)
		for _, holderOff := range []time.Duration{-2 * clockJump, -time.Minute, 0, clockJump} {
			for _, off := range []time.Duration{clockJump, -clockJump} {
				orders.Record(work.HostOrder{Host: "h", Holder: "x"}, time.Now().Add(holderOff).UnixMilli())
				c.Jump(off)
				after(pause - time.Millisecond)
				g.Expect(orders.MayOrder("h", "y", pause)).To(BeFalse())
				after(2 * time.Millisecond)
				g.Expect(orders.MayOrder("h", "y", pause)).To(BeTrue())
			}
		}
	})
}
