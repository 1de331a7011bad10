// Package jumpclock provides a clock for tests whose time of day jumps, as when an operator
// or a time server sets it.
package jumpclock

import (
	"sync/atomic"
	"time"
	"unsafe"

	"agatehaven.dev/agatehaven/internal/clock"
)

// Clock is a clock whose wall clock is off. Its monotonic clock is not.
type Clock struct {
	clock.Clock
	offset atomic.Int64 // ns
}

// New returns a clock that follows another one.
func New(c clock.Clock) *Clock { return &Clock{Clock: c} }

// Jump sets by how much the wall clock is off.
func (c *Clock) Jump(d time.Duration) { c.offset.Store(int64(d)) }

// Now implements clock.Clock.
func (c *Clock) Now() time.Time {
	return withWallClock(c.Clock.Now(), time.Duration(c.offset.Load()))
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
