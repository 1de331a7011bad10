// Package hlc implements a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014). Its timestamps follow causality between processes
// and stay close to wall-clock time.
package hlc

import (
	"fmt"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
)

// Time is a hybrid timestamp: wall-clock milliseconds since the Unix epoch
// and a logical counter that orders events within one millisecond.
type Time struct {
	WallMillis int64  `cbor:"1,keyasint" json:"wall_ms"`
	Logical    uint32 `cbor:"2,keyasint,omitempty" json:"logical,omitempty"`
}

// Compare returns -1, 0 or +1 as t is before, equal to or after u.
func (t Time) Compare(u Time) int {
	switch {
	case t.WallMillis < u.WallMillis:
		return -1
	case t.WallMillis > u.WallMillis:
		return 1
	case t.Logical < u.Logical:
		return -1
	case t.Logical > u.Logical:
		return 1
	}
	return 0
}

// Before reports whether t is before u.
func (t Time) Before(u Time) bool { return t.Compare(u) < 0 }

// Add returns t moved by d, rounded to milliseconds, with logical counter 0.
func (t Time) Add(d time.Duration) Time { return Time{WallMillis: t.WallMillis + d.Milliseconds()} }

// Sub returns the wall-clock difference t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t.WallMillis-u.WallMillis) * time.Millisecond
}

// IsZero reports whether t is the zero timestamp.
func (t Time) IsZero() bool { return t == Time{} }

func (t Time) String() string { return fmt.Sprintf("%d.%d", t.WallMillis, t.Logical) }

// Clock issues timestamps that increase strictly. It is safe for concurrent
// use.
type Clock struct {
	source clock.Clock
	mu     sync.Mutex
	last   Time
}

// NewClock returns a clock that reads wall-clock time from source.
func NewClock(source clock.Clock) *Clock { return &Clock{source: source} }

// Now returns a timestamp after every timestamp issued or observed before.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.source.Now().UnixMilli()
	if wall > c.last.WallMillis {
		c.last = Time{WallMillis: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe merges a timestamp received from another process, so that later
// calls of Now return timestamps after it.
func (c *Clock) Observe(t Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
}
