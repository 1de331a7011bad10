package leader

import (
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/work"
)

// maxClockStep is the largest trusted difference between the wall clocks of two
// processes. The platform's clocks jump by up to 2 s and drift a little.
const maxClockStep = 2500 * time.Millisecond

// OrderLog remembers when the last order for each host was announced, and by which
// holder. It uses the monotonic clock of this process, so that a wall clock that jumps
// does not shorten the pause between two holders. The wall clock is used only for the
// age of orders that a process replays from its log when it starts.
type OrderLog struct {
	clock clock.Clock

	mu   sync.Mutex
	last map[string]seenOrder
}

type seenOrder struct {
	holder string
	at     time.Time
}

// NewOrderLog returns an empty log.
func NewOrderLog(c clock.Clock) *OrderLog { return &OrderLog{clock: c, last: map[string]seenOrder{}} }

// Record notes an order that was applied. announcedMS is when the holder announced it,
// in Unix ms of the holder's clock.
func (o *OrderLog) Record(h work.HostOrder, announcedMS int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.clock.Now()
	age := at.Sub(time.UnixMilli(announcedMS)) - maxClockStep
	o.last[h.Host] = seenOrder{h.Holder, at.Add(-max(0, age))}
}

// MayOrder reports whether holder may send an order for a host: no other holder has
// announced one within the pause.
func (o *OrderLog) MayOrder(host, holder string, pause time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[host]
	return !ok || last.holder == holder || o.clock.Now().Sub(last.at) > pause
}
