package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// UnconfirmedAttempt is an attempt that a graceful stop left without a confirmed result. It
// keeps running on its target, and the leader resolves it.
type UnconfirmedAttempt struct {
	Assignment model.Assignment
	Reason     string
}

// Drain takes no new attempts, reports those not yet sent as not begun, and
// waits for the running ones up to their stop limits or until ctx ends. It
// returns the attempts that were cut, ordered by key. Run must still be
// running.
func (d *Dispatcher) Drain(ctx context.Context) []UnconfirmedAttempt {
	began := d.cfg.Clock.Now()
	d.table.drain()
	d.mu.Lock()
	if d.interrupt != nil {
		// The pull in flight does not tell the leader that this owner drains.
		d.interrupt()
	}
	d.mu.Unlock()
	for {
		changed, next, open := d.table.open(began, d.cfg.Clock.Now())
		if !open {
			return d.cut("its stop limit has passed")
		}
		select {
		case <-changed:
		case <-d.cfg.Clock.After(next):
		case <-ctx.Done():
			return d.cut("the stop was forced")
		case <-d.stopped:
			if ctx.Err() != nil { // it ends the loops as well
				return d.cut("the stop was forced")
			}
			return d.cut("the dispatcher has stopped")
		}
	}
}

func (d *Dispatcher) cut(reason string) []UnconfirmedAttempt {
	var out []UnconfirmedAttempt
	for _, a := range d.table.unfinished() {
		out = append(out, UnconfirmedAttempt{Assignment: a, Reason: reason})
		d.recordAttempt(EventCut, a, reason)
	}
	return out
}

// settled reports whether the leader knows that the attempt is unknown and no
// later result is on its way. It must be called with the table's mutex held.
func (e *entry) settled() bool { return e.late && e.confirmed && !e.reported }

// open reports whether a drain that began at the given time must still wait,
// for how long at most, and a channel that is closed at the next change.
func (t *table) open(began, now time.Time) (changed <-chan struct{}, next time.Duration, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.active {
		if e.settled() {
			continue
		}
		limit := time.Duration(e.assignment.StopLimitMS) * time.Millisecond
		if e.reported || e.late || !e.sent {
			limit = max(limit, reportGrace)
		}
		left := began.Add(limit).Sub(now)
		if left <= 0 {
			continue
		}
		if !open || left < next {
			next = left
		}
		open = true
	}
	return t.changed, next, open
}

// unfinished lists the attempts without a confirmed result, except those
// already reported as unknown.
func (t *table) unfinished() []model.Assignment {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []model.Assignment
	for _, e := range t.active {
		if !e.settled() {
			out = append(out, e.assignment)
		}
	}
	slices.SortFunc(out, func(a, b model.Assignment) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}
