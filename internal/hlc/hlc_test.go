package hlc_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/hlc"
)

func TestHLC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hlc")
}

var _ = Describe("Clock", func() {
	It("keeps causal order when the wall clock steps back", func() {
		// Guards against a time line that shows an effect before its cause.
		source := clock.NewManual(time.UnixMilli(1000))
		c := hlc.NewClock(source)
		first := c.Now()
		source.Advance(-500 * time.Millisecond)
		second := c.Now()
		Expect(first.Before(second)).To(BeTrue())
	})

	It("issues timestamps after an observed one from a faster process", func() {
		// Guards against a reply that is ordered before its request.
		c := hlc.NewClock(clock.NewManual(time.UnixMilli(1000)))
		received := hlc.Time{WallMillis: 5000, Logical: 7}
		c.Observe(received)
		Expect(received.Before(c.Now())).To(BeTrue())
	})
})
