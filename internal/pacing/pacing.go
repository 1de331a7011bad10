// Package pacing decides at which share of its work fill-in work may run beside serving work
// on one host. It does no I/O and reads no clock.
package pacing

import "time"

const (
	// highLoad and lowLoad are tail latencies as shares of their target. Above the first one
	// the fill-in work pauses, below the second one it gets a larger share.
	highLoad, lowLoad = 0.8, 0.5
	// increase is by how much the share rises, in percent of the work, and increaseInterval
	// how long a new share is observed before it rises again. Reported tail latencies cover
	// half a second.
	increase         = 10
	increaseInterval = time.Second
)

// Control is the state for one host. Its zero value pauses the fill-in work.
type Control struct {
	percent   int
	changedAt time.Time
	// fillIn and serving are the numbers of runs at the last observation.
	fillIn, serving int
}

// Observation is what a host reports at a time.
type Observation struct {
	At time.Time
	// FillIn and Serving are the numbers of runs.
	FillIn, Serving int
	// Load is the worst tail latency of the serving runs as a share of its target. Known is
	// set if each of them has reported one.
	Load  float64
	Known bool
}

// Observe returns the share at which the fill-in work may run from now on, in percent. It
// pauses when serving work or further fill-in work joins it, since its effect on the
// latencies is not known yet.
func (c *Control) Observe(o Observation) int {
	joined := o.FillIn > c.fillIn || o.Serving > c.serving
	c.fillIn, c.serving = o.FillIn, o.Serving
	switch {
	case o.Serving == 0:
		c.set(100, o.At)
	case joined || !o.Known || o.Load > highLoad:
		c.set(0, o.At)
	case o.Load < lowLoad && o.At.Sub(c.changedAt) >= increaseInterval:
		c.set(min(c.percent+increase, 100), o.At)
	}
	return c.percent
}

func (c *Control) set(percent int, at time.Time) {
	if percent != c.percent || percent == 0 {
		c.percent, c.changedAt = percent, at
	}
}
