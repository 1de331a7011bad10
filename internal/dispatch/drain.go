package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// UnconfirmedAttempt is an attempt that a graceful stop left without a confirmed
// result. It keeps running on its target, and the leader resolves it.
type UnconfirmedAttempt struct {
	Assignment model.Assignment
	Reason     string
}

// Drain accepts no new attempts, reports those not yet sent as not begun, and
// waits for the running ones up to their stop limits or until ctx ends. It
// returns the attempts left without a confirmed result, ordered by key. Run
// must still be running.
func (d *Dispatcher) Drain(ctx context.Context) []UnconfirmedAttempt {
	began := d.cfg.Clock.Now()
	d.table.drain()
	d.mu.Lock()
	if d.cancelPull != nil {
		// The pull in flight has not told the leader that this owner is draining.
		d.cancelPull()
	}
	d.mu.Unlock()
	for {
		changed, next, pending := d.table.pending(began, d.cfg.Clock.Now())
		if !pending {
			return d.recordUnconfirmed("its stop limit has passed")
		}
		select {
		case <-changed:
		case <-d.cfg.Clock.After(next):
		case <-ctx.Done():
			return d.recordUnconfirmed("the stop was forced")
		case <-d.stopped:
			if ctx.Err() != nil { // the end of ctx stops the loops as well
				return d.recordUnconfirmed("the stop was forced")
			}
			return d.recordUnconfirmed("the dispatcher has stopped")
		}
	}
}

func (d *Dispatcher) recordUnconfirmed(reason string) []UnconfirmedAttempt {
	var out []UnconfirmedAttempt
	for _, a := range d.table.unconfirmed() {
		out = append(out, UnconfirmedAttempt{Assignment: a, Reason: reason})
		d.recordAttempt(EventUnconfirmed, a, reason)
	}
	return out
}

// settled reports whether the leader has confirmed that the attempt is unknown
// and no later result is queued. It must be called with the table's mutex held.
func (e *entry) settled() bool { return e.reportedUnknown && e.unknownConfirmed && !e.finalReported }

// pending reports whether a drain that began at the given time must still wait,
// for how long at most, and a channel that is closed at the next change.
func (t *table) pending(began, now time.Time) (changed <-chan struct{}, next time.Duration, pending bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.active {
		if e.settled() {
			continue
		}
		limit := time.Duration(e.assignment.StopLimitMS) * time.Millisecond
		if e.finalReported || e.reportedUnknown || !e.sent {
			limit = max(limit, reportGrace)
		}
		left := began.Add(limit).Sub(now)
		if left <= 0 {
			continue
		}
		if !pending || left < next {
			next = left
		}
		pending = true
	}
	return t.changed, next, pending
}

// unconfirmed lists the attempts without a confirmed result, except those
// already reported as unknown.
func (t *table) unconfirmed() []model.Assignment {
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
