package jumpclock_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/testsupport/jumpclock"
)

func TestJumpclock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jumpclock")
}

// jumps are what the tests let a wall clock be off by.
var jumps = []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond, -time.Nanosecond}

var _ = Describe("a clock that jumps", func() {
	It("moves the wall clock only", func() {
		// Guards against tests with clocks that do not jump.
		for _, d := range jumps {
			manual := clock.NewManual(time.UnixMilli(1_000_000))
			c := jumpclock.New(manual)
			before := c.Now()
			c.Jump(d)
			manual.Advance(300 * time.Millisecond)
			now := c.Now()
			Expect(now.Sub(before)).To(Equal(300 * time.Millisecond))
			Expect(now.Round(0).Sub(before.Round(0))).To(Equal(300*time.Millisecond + d))
		}
	})
})

// Guards against the same in simulated time.
func TestClockJumpsInSimulatedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for _, d := range jumps {
			c := jumpclock.New(clock.System{})
			before := c.Now()
			g.Expect(before.Round(0)).To(Equal(time.Now().Round(0)))
			c.Jump(d)
			<-time.After(300 * time.Millisecond)
			now := c.Now()
			g.Expect(now.Sub(before)).To(Equal(300 * time.Millisecond))
			g.Expect(now.Round(0).Sub(before.Round(0))).To(Equal(300*time.Millisecond + d))
		}
	})
}
