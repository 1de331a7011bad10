package leader

import (
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/work"
)

// replayTime is for how long after its start a process takes orders from its log that were
// announced before. It reads the log within a second or two.
const replayTime = 10 * time.Second

// OrderLog remembers when the last order for each host was announced, and by which
// holder. It uses the monotonic clock of this process, so that a wall clock that jumps
// does not shorten the pause between two holders. The wall clock is used only for the
// age of orders that a process replays from its log when it starts.
type OrderLog struct {
	clock   clock.Clock
	started time.Time

	mu   sync.Mutex
	last map[string]seenOrder
}

type seenOrder struct {
	holder string
	at     time.Time
}

// NewOrderLog returns an empty log.
func NewOrderLog(c clock.Clock) *OrderLog {
	return &OrderLog{clock: c, started: c.Now(), last: map[string]seenOrder{}}
}

// Record notes an order that was applied. announcedMS is when the holder announced it,
// in Unix ms of the holder's clock.
func (o *OrderLog) Record(h work.HostOrder, announcedMS int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.clock.Now()
	var age time.Duration
	if at.Sub(o.started) < replayTime {
		age = max(0, at.Sub(time.UnixMilli(announcedMS))-maxClockJump)
	}
	o.last[h.Host] = seenOrder{h.Holder, at.Add(-age)}
}

// MayOrder reports whether holder may send an order for a host: no other holder has
// announced one within the pause.
func (o *OrderLog) MayOrder(host, holder string, pause time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[host]
	return !ok || last.holder == holder || o.clock.Now().Sub(last.at) > pause
}
