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
	// MaxSkew is the maximum accepted clock skew: how far a remote timestamp may
	// be ahead of the local wall clock, and how far the local clock may differ
	// from those of its peers. It is a fifth of the host lease of 5 s, so that no
	// lease or deadline of several seconds expires early because of another
	// host's clock.
	MaxSkew = time.Second
	// maxSampleAge is how long a measurement of a peer's clock is used: ten times
	// the interval of the probes between entry hosts.
	maxSampleAge = 10 * time.Second
)

// Time is a hybrid timestamp: wall-clock milliseconds since the Unix epoch and
// a logical counter that orders events within a millisecond.
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

// Add returns t plus d, truncated to milliseconds, with logical counter 0.
func (t Time) Add(d time.Duration) Time { return Time{WallMillis: t.WallMillis + d.Milliseconds()} }

// Sub returns the wall-clock difference t-u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t.WallMillis-u.WallMillis) * time.Millisecond
}

// IsZero reports whether t is the zero timestamp.
func (t Time) IsZero() bool { return t == Time{} }

func (t Time) String() string { return fmt.Sprintf("%d.%d", t.WallMillis, t.Logical) }

// Clock issues strictly increasing timestamps. It is safe for concurrent use.
type Clock struct {
	source clock.Clock
	mu     sync.Mutex
	last   Time
	// peers holds the latest measurement of each peer's clock.
	peers map[string]sample
}

// sample is one measurement of a peer's clock.
type sample struct {
	// skew is the minimum by which the local clock is ahead of the peer's, or
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

// CheckTimestamp returns *fault.ClockSkew if t is more than MaxSkew ahead of the
// local wall clock. It accepts any timestamp in the past, since messages can be
// delayed.
func (c *Clock) CheckTimestamp(t Time) error {
	if ahead := time.Duration(t.WallMillis-c.source.Now().UnixMilli()) * time.Millisecond; ahead > MaxSkew {
		return &fault.ClockSkew{What: "a received timestamp", Skew: ahead, Limit: MaxSkew}
	}
	return nil
}

// Observe merges a timestamp received from another process, so that later
// calls of Now return timestamps after it. It returns *fault.ClockSkew, without
// effect, for one that CheckTimestamp refuses. Otherwise one process whose
// clock is far ahead would advance the clocks of all others.
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

// RecordPeerClock records a measurement of a peer's wall clock. The peer read
// remote between the local times sent, when the call was sent, and received,
// when its response arrived. Only a reading outside this interval proves a
// difference, so that a slow call does not look like clock skew.
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
// of, or behind, the clocks of a majority of processes. The processes are this
// one and all peers measured within maxSampleAge.
func (c *Clock) Skew() error {
	now := c.source.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	processes, ahead, behind := 1, 0, 0
	var minAhead, minBehind time.Duration // the skews closest to 0 beyond MaxSkew
	for _, s := range c.peers {
		if now.Sub(s.at).Abs() > maxSampleAge {
			continue
		}
		processes++
		switch {
		case s.skew > MaxSkew:
			if ahead++; minAhead == 0 || s.skew < minAhead {
				minAhead = s.skew
			}
		case s.skew < -MaxSkew:
			if behind++; minBehind == 0 || s.skew > minBehind {
				minBehind = s.skew
			}
		}
	}
	switch {
	case 2*ahead > processes:
		return &fault.ClockSkew{What: "the clock of this host", Skew: minAhead, Limit: MaxSkew}
	case 2*behind > processes:
		return &fault.ClockSkew{What: "the clock of this host", Skew: minBehind, Limit: MaxSkew}
	}
	return nil
}
