package leader

import (
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/work"
)

// OrderLog remembers when this process learned of the last order for each
// host, and who sent it. It uses the steady clock of this process, so that a
// wall clock that jumps does not shorten the pause between two holders.
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

// Note records an order that was applied.
func (o *OrderLog) Note(h work.HostOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last[h.Host] = seenOrder{h.Holder, o.clock.Now()}
}

// Free reports whether holder may order for a host: no other holder has done
// so within the pause.
func (o *OrderLog) Free(host, holder string, pause time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[host]
	return !ok || last.holder == holder || o.clock.Now().Sub(last.at) > pause
}
