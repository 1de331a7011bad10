// Package hlc implements a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014). Its timestamps follow causality between processes
// and stay close to wall-clock time.
package hlc

import (
	"fmt"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// MaxSkew is the largest accepted difference between a remote timestamp
	// and the local wall clock. It is a fifth of the host lease of 5 s, so that
	// no lease or deadline of seconds passes early because of another clock.
	MaxSkew = time.Second
	// sampleAge is how long a measurement of a peer's clock counts: ten times
	// the interval of the probes between entry hosts.
	sampleAge = 10 * time.Second
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
	// peers holds the latest measurement of each peer's clock.
	peers map[string]sample
}

// sample is one measurement of a peer's clock.
type sample struct {
	// skew is how far the local clock is ahead of the peer's at least, or
	// behind it if negative. It is 0 if the measurement proves no difference.
	skew time.Duration
	at   time.Time
}

// NewClock returns a clock that reads wall-clock time from source.
func NewClock(source clock.Clock) *Clock {
	return &Clock{source: source, peers: make(map[string]sample)}
}

// WallTime returns the local wall-clock time.
func (c *Clock) WallTime() time.Time { return c.source.Now() }

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

// CheckTimestamp returns *fault.ClockSkew if t is more than MaxSkew ahead of the local
// wall clock. A timestamp in the past is never refused, since it may be old.
func (c *Clock) CheckTimestamp(t Time) error {
	if ahead := time.Duration(t.WallMillis-c.source.Now().UnixMilli()) * time.Millisecond; ahead > MaxSkew {
		return &fault.ClockSkew{What: "a received timestamp", Skew: ahead, Limit: MaxSkew}
	}
	return nil
}

// Observe merges a timestamp received from another process, so that later
// calls of Now return timestamps after it. It returns *fault.ClockSkew,
// without effect, for one that CheckTimestamp refuses: otherwise one process whose
// clock is far ahead would move the time of all others.
func (c *Clock) Observe(t Time) error {
	if err := c.CheckTimestamp(t); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(t) {
		c.last = t
	}
	return nil
}

// RecordPeerClock records the wall clock of a peer, which it read between two moments
// of the local clock: when the call was sent and when its response arrived.
// Only a reading outside this interval proves a difference, so a slow call
// does not look like one.
func (c *Clock) RecordPeerClock(peer string, remote, sent, received time.Time) {
	skew := time.Duration(0)
	switch {
	case remote.Before(sent):
		skew = sent.Sub(remote)
	case remote.After(received):
		skew = received.Sub(remote)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = sample{skew: skew, at: received}
}

// Skew returns *fault.ClockSkew if the local clock is more than MaxSkew ahead
// of, or behind, the clocks of a majority of the processes that were measured
// lately, this one included.
func (c *Clock) Skew() error {
	now := c.source.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	processes, ahead, behind := 1, 0, 0
	var least, most time.Duration // the smallest differences beyond the limit
	for _, s := range c.peers {
		if now.Sub(s.at).Abs() > sampleAge {
			continue
		}
		processes++
		switch {
		case s.skew > MaxSkew:
			if ahead++; least == 0 || s.skew < least {
				least = s.skew
			}
		case s.skew < -MaxSkew:
			if behind++; most == 0 || s.skew > most {
				most = s.skew
			}
		}
	}
	switch {
	case 2*ahead > processes:
		return &fault.ClockSkew{What: "the clock of this host", Skew: least, Limit: MaxSkew}
	case 2*behind > processes:
		return &fault.ClockSkew{What: "the clock of this host", Skew: most, Limit: MaxSkew}
	}
	return nil
}
