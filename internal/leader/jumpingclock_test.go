package leader_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
)

// jumpingClock is a system clock whose wall clock is off. Its monotonic clock is not.
type jumpingClock struct {
	clock.System
	offset atomic.Int64 // ns
}

// jump sets by how much the wall clock is off.
func (c *jumpingClock) jump(d time.Duration) { c.offset.Store(int64(d)) }

// Now implements clock.Clock.
func (c *jumpingClock) Now() time.Time {
	return withWallClock(time.Now(), time.Duration(c.offset.Load()))
}

// withWallClock returns a time whose monotonic reading is that of t, or its wall-clock time
// if it has none as in testing/synctest, and whose wall clock is off by d. Package time has
// no function for that. Such a time begins with a word that holds a flag, 33 bits of
// seconds since 1885 and 30 bits of nanoseconds; the monotonic reading in ns follows.
func withWallClock(t time.Time, d time.Duration) time.Time {
	const unixTo1885 = 2682288000
	wall := t.Round(0).Add(d)
	words := (*[2]uint64)(unsafe.Pointer(&t))
	if words[0]>>63 == 0 {
		words[1] = uint64(t.UnixNano())
	}
	words[0] = 1<<63 | uint64(wall.Unix()+unixTo1885)<<30 | uint64(wall.Nanosecond())
	return t
}

// Guards against tests with clocks that do not jump.
func TestJumpingClockMovesOnlyTheWallClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for _, d := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond, -time.Nanosecond} {
			var c jumpingClock
			before := c.Now()
			g.Expect(before.Round(0)).To(Equal(time.Now().Round(0)))
			c.jump(d)
			after(300 * time.Millisecond)
			now := c.Now()
			g.Expect(now.Sub(before)).To(Equal(300 * time.Millisecond))
			g.Expect(now.Round(0).Sub(before.Round(0))).To(Equal(300*time.Millisecond + d))
		}
	})
}
