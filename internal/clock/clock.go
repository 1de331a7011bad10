// Package clock provides the injected clock: the system clock in daemons and
// a manual one in tests.
package clock

import (
	"sort"
	"sync"
	"time"
)

// Clock returns the time and creates timers. All code that waits uses a Clock.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once the duration has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Manual is a clock that moves only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []manualTimer
}

type manualTimer struct {
	at time.Time
	ch chan time.Time
}

// NewManual returns a manual clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := manualTimer{at: m.now.Add(d), ch: make(chan time.Time, 1)}
	if d <= 0 {
		t.ch <- m.now
		return t.ch
	}
	m.timers = append(m.timers, t)
	return t.ch
}

// Advance moves the clock forward by d and fires the timers that are due, in the
// order of their times.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	sort.SliceStable(m.timers, func(i, j int) bool { return m.timers[i].at.Before(m.timers[j].at) })
	due := 0
	for due < len(m.timers) && !m.timers[due].at.After(m.now) {
		m.timers[due].ch <- m.now
		due++
	}
	m.timers = append([]manualTimer(nil), m.timers[due:]...)
}

// Waiters returns the number of timers that have not fired. Tests wait on it
// before they advance the clock.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}
