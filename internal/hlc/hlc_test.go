package hlc_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
)

func TestHLC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hlc")
}

var _ = Describe("Clock", func() {
	It("keeps causal order when the wall clock steps back", func() {
		// Guards against a sequence of events in which an effect precedes its
		// cause.
		source := clock.NewManual(time.UnixMilli(1000))
		c := hlc.NewClock(source)
		first := c.Now()
		source.Advance(-500 * time.Millisecond)
		second := c.Now()
		Expect(first.Before(second)).To(BeTrue())
	})

	It("issues timestamps after an observed one from a faster process", func() {
		// Guards against a response that is ordered before its request.
		c := hlc.NewClock(clock.NewManual(time.UnixMilli(1000)))
		received := hlc.Time{WallMillis: 1900, Logical: 7}
		Expect(c.Observe(received)).To(Succeed())
		Expect(received.Before(c.Now())).To(BeTrue())
	})

	It("refuses a timestamp beyond MaxSkew without advancing its clock", func() {
		// Guards against one fast clock that advances the clocks of all processes.
		c := hlc.NewClock(clock.NewManual(time.UnixMilli(1000)))
		Expect(c.Observe(hlc.Time{WallMillis: 1000 + hlc.MaxSkew.Milliseconds()})).To(Succeed())
		before := c.Now()
		err := c.Observe(hlc.Time{WallMillis: 1001 + hlc.MaxSkew.Milliseconds()})
		Expect(err).To(Equal(&fault.ClockSkew{
			What: "a received timestamp", Skew: hlc.MaxSkew + time.Millisecond, Limit: hlc.MaxSkew,
		}))
		Expect(c.Now().WallMillis).To(Equal(before.WallMillis))
	})
})

var _ = Describe("Skew", func() {
	var (
		source *clock.Manual
		c      *hlc.Clock
	)
	BeforeEach(func() {
		source = clock.NewManual(time.UnixMilli(1_000_000))
		c = hlc.NewClock(source)
	})
	// measure records a measurement of a peer whose clock differs by d, with a
	// round-trip time of 20 ms.
	measure := func(peer string, d time.Duration) {
		now := source.Now()
		c.RecordPeerClock(peer, now.Add(d), now.Add(-10*time.Millisecond), now.Add(10*time.Millisecond))
	}

	DescribeTable("compares the clock with the majority",
		// Guards against a leader that steps down because of one wrong clock
		// elsewhere, or that keeps its leadership although its clock differs
		// from the majority's.
		func(skewed bool, differences ...time.Duration) {
			for i, d := range differences {
				measure(string(rune('a'+i)), d)
			}
			if skewed {
				Expect(fault.CodeOf(c.Skew())).To(Equal(fault.CodeClockSkew))
			} else {
				Expect(c.Skew()).To(Succeed())
			}
		},
		Entry("no peers", false),
		Entry("one peer, so either clock may be wrong", false, -time.Hour),
		Entry("ahead of both peers", true, -time.Hour, -time.Hour),
		Entry("behind both peers", true, time.Hour, time.Hour),
		Entry("one wrong peer of two", false, time.Hour, time.Duration(0)),
		Entry("peers that disagree", false, time.Hour, -time.Hour),
		Entry("within MaxSkew", false, -hlc.MaxSkew, -hlc.MaxSkew),
		Entry("half of the processes", false, -time.Hour, -time.Hour, time.Duration(0)),
		Entry("most of the processes", true, -time.Hour, -time.Hour, -time.Hour, time.Duration(0)),
	)

	It("does not treat a slow call as clock skew", func() {
		// Guards against a process that was paused during a call and then treats
		// its clock as ahead.
		sent := source.Now()
		source.Advance(time.Minute)
		for _, peer := range []string{"a", "b"} {
			c.RecordPeerClock(peer, sent.Add(time.Millisecond), sent, source.Now())
		}
		Expect(c.Skew()).To(Succeed())
	})

	It("ignores old measurements", func() {
		// Guards against reporting skew after the clock has been corrected.
		measure("a", -time.Hour)
		measure("b", -time.Hour)
		Expect(c.Skew()).NotTo(Succeed())
		source.Advance(11 * time.Second)
		Expect(c.Skew()).To(Succeed())
	})
})
