package relay

import (
	"context"
	"hash/crc32"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/leader"
)

const (
	// directCalls is up to how many calls a second the leader makes all of them itself: a
	// fifth of a core, a third of what core hosts have. Calls by a worker take up to 40 ms
	// longer, which is lost where the leader has processor time.
	directCalls = 1000
	// directBurst is how many calls beyond it the leader still makes itself, and maxExcess
	// bounds the count of those beyond it, so that a peak is forgotten at once.
	directBurst = 50
	maxExcess   = 2 * directBurst
	// workerTimeout is how long after its last exchange a worker counts as lost: three
	// polls. A leader that is short of processor time takes exchanges late.
	workerTimeout = 3 * pollWait
	// workerDelay is how long after its last exchange a worker with calls in progress gets
	// no further orders: the time after which a lost packet is sent again, and more than
	// a leader that is short of processor time takes for an exchange.
	workerDelay = 250 * time.Millisecond
	// handOutTimeout is how long an order waits to be handed out before the leader makes
	// the call itself.
	handOutTimeout = workerDelay
	// watchInterval is how often lost workers and waiting orders are looked for.
	watchInterval = 20 * time.Millisecond
	// directAfterFailure is how long the leader calls a target itself after a worker's
	// call to it failed: the network may be cut between those two only.
	directAfterFailure = 5 * time.Second
	// maxQueued bounds the orders that wait for one worker.
	maxQueued = 2048
)

var (
	ordersRelayed = metrics.GetOrCreateCounter("agatehaven_relayed_orders_total")
	ordersDirect  = metrics.GetOrCreateCounter("agatehaven_direct_orders_total")
	ordersLost    = metrics.GetOrCreateCounter("agatehaven_relayed_orders_lost_total")
)

// HubConfig configures a Hub.
type HubConfig struct {
	// Term is the leader's term, above 0.
	Term uint64
	// Direct makes calls from this host.
	Direct leader.Targets
	// Confirmed reports whether this host certainly still leads. No order is handed out
	// otherwise.
	Confirmed func() bool
	// Heartbeats records the heartbeats that workers pass on. It may be nil.
	Heartbeats func(all []leader.Heartbeat)
	Clock      clock.Clock
	Log        zerolog.Logger
	// AlwaysRelay has workers make all calls, also if there are few.
	AlwaysRelay bool
}

// Hub implements leader.Targets for one term. It hands starts and holds out to the
// workers when they are more than this host makes itself. Stops and throttling are few,
// and always made from here.
type Hub struct {
	cfg HubConfig

	mu      sync.Mutex
	lastID  uint64
	workers map[string]*hubWorker
	// pending holds the calls without an outcome.
	pending map[uint64]*pendingCall
	// excess is how many more calls than directCalls a second were made, as of countedAt.
	excess    float64
	countedAt time.Time
	// failedUntil holds, by address, until when targets are called from here.
	failedUntil map[string]time.Time
}

// hubWorker is the leader's view of a worker.
type hubWorker struct {
	host string
	seen time.Time
	lost bool
	// queue holds the orders to be handed out, and ready signals that there are some.
	queue []*pendingCall
	ready chan struct{}
	// open counts the orders that were handed out and have no reply.
	open int
}

// pendingCall is an order whose outcome a caller awaits.
type pendingCall struct {
	order    Order
	payload  string
	worker   *hubWorker
	queuedAt time.Time
	// handedOut is set once the worker may have received the order.
	handedOut bool
	outcome   chan Reply
}

// NewHub returns a hub without workers. Run has to be called.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
		cfg: cfg, workers: map[string]*hubWorker{}, pending: map[uint64]*pendingCall{}, failedUntil: map[string]time.Time{},
		countedAt: cfg.Clock.Now(),
	}
}

// Run looks for lost workers until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.cfg.Clock.After(watchInterval):
			h.watch()
		}
	}
}

// watch settles the orders of lost workers, and takes back those that wait too long.
func (h *Hub) watch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Now()
	for address, until := range h.failedUntil {
		if now.After(until) {
			delete(h.failedUntil, address)
		}
	}
	for _, w := range h.workers {
		if !w.lost && now.Sub(w.seen) > workerTimeout {
			w.lost = true
			h.cfg.Log.Warn().Str("worker", w.host).Int("open", w.open).Msg("worker lost; its calls are made from here")
		}
	}
	for _, c := range h.pending {
		switch {
		case c.handedOut && c.worker.lost:
			ordersLost.Inc()
			h.settle(c, Reply{ID: c.order.ID, Failure: Lost, Reason: "worker " + c.worker.host + " is lost"})
		case !c.handedOut && (c.worker.lost || now.Sub(c.queuedAt) > handOutTimeout):
			h.settle(c, Reply{ID: c.order.ID, Failure: NotTried})
		}
	}
}

// settle gives a call its outcome. The mutex is held.
func (h *Hub) settle(c *pendingCall, r Reply) {
	if h.pending[c.order.ID] == nil {
		return
	}
	h.forget(c)
	c.outcome <- r
}

// forget removes a call. An order in a worker's queue is skipped when it is handed out.
// The mutex is held.
func (h *Hub) forget(c *pendingCall) {
	delete(h.pending, c.order.ID)
	if c.handedOut {
		c.worker.open--
	}
}

// Exchange takes the replies of a worker and returns orders for it.
func (h *Hub) Exchange(ctx context.Context, r *Request) *Answer {
	w := h.take(r)
	if len(r.Heartbeats) > 0 && h.cfg.Heartbeats != nil {
		h.cfg.Heartbeats(r.Heartbeats)
	}
	if r.Poll {
		h.awaitOrders(ctx, w)
	}
	return h.handOut(w)
}

// take settles the calls that a worker's replies belong to.
func (h *Hub) take(r *Request) *hubWorker {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.workers[r.Host]
	if w == nil {
		w = &hubWorker{host: r.Host, ready: make(chan struct{}, 1)}
		h.workers[r.Host] = w
		h.cfg.Log.Info().Str("worker", r.Host).Msg("worker makes calls to targets")
	}
	if w.lost {
		h.cfg.Log.Info().Str("worker", r.Host).Msg("worker is back")
	}
	w.seen, w.lost = h.cfg.Clock.Now(), false
	if r.Term != h.cfg.Term {
		return w // the replies are to orders of a former leader
	}
	for _, reply := range r.Replies {
		if c := h.pending[reply.ID]; c != nil && c.worker == w {
			h.settle(c, reply)
		}
	}
	return w
}

// awaitOrders waits until there are orders for a worker, at most for pollWait.
func (h *Hub) awaitOrders(ctx context.Context, w *hubWorker) {
	select {
	case <-w.ready:
	case <-h.cfg.Clock.After(pollWait):
	case <-ctx.Done():
	}
}

// handOut returns the orders that wait for a worker.
func (h *Hub) handOut(w *hubWorker) *Answer {
	out := &Answer{Term: h.cfg.Term}
	if !h.cfg.Confirmed() {
		return out
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	payloads := map[string]int{}
	next := 0
	for ; next < len(w.queue) && len(out.Orders) < maxBatch; next++ {
		c := w.queue[next]
		if h.pending[c.order.ID] == nil {
			continue // the caller has given up, or the order was taken back
		}
		c.handedOut = true
		w.open++
		if c.order.Start != nil {
			i, known := payloads[c.payload]
			if !known {
				i = len(out.Payloads)
				payloads[c.payload] = i
				out.Payloads = append(out.Payloads, c.payload)
			}
			c.order.Payload = i
		}
		out.Orders = append(out.Orders, c.order)
	}
	w.queue = w.queue[next:]
	if len(w.queue) > 0 {
		w.signal()
	}
	return out
}

// signal wakes the exchange that waits for orders, if there is one.
func (w *hubWorker) signal() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// queue queues an order for the worker with the fewest open ones. It returns nil if the
// call is to be made from here.
func (h *Hub) queue(o Order, payload string) *pendingCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isQuiet() || !h.failedUntil[o.To.Address].IsZero() {
		return nil
	}
	var w *hubWorker
	now := h.cfg.Clock.Now()
	for _, other := range h.workers {
		if other.isPrompt(now) && len(other.queue) < maxQueued && (w == nil || other.load() < w.load()) {
			w = other
		}
	}
	if w == nil {
		return nil
	}
	h.lastID++
	o.ID = h.lastID
	c := &pendingCall{order: o, payload: payload, worker: w, queuedAt: now, outcome: make(chan Reply, 1)}
	h.pending[o.ID] = c
	w.queue = append(w.queue, c)
	w.signal()
	return c
}

func (w *hubWorker) load() int { return w.open + len(w.queue) }

// isQuiet counts a call and reports whether there are so few that this host makes all of
// them. The mutex is held.
func (h *Hub) isQuiet() bool {
	now := h.cfg.Clock.Now()
	h.excess = max(0, h.excess-now.Sub(h.countedAt).Seconds()*directCalls)
	h.countedAt = now
	quiet := h.excess < directBurst
	h.excess = min(maxExcess, h.excess+1)
	return quiet && !h.cfg.AlwaysRelay
}

// isPrompt reports whether a worker has just asked for orders, or waits for some. The
// mutex is held.
func (w *hubWorker) isPrompt(now time.Time) bool {
	idle := w.open == 0 && len(w.queue) == 0
	return !w.lost && (idle || now.Sub(w.seen) <= workerDelay)
}

// relay has a worker make a call. It returns nil if the call is to be made from here; the
// order had no effect then.
func (h *Hub) relay(ctx context.Context, o Order, payload string) *Reply {
	if deadline, ok := ctx.Deadline(); ok {
		o.TimeoutMS = deadline.Sub(h.cfg.Clock.Now()).Milliseconds()
	}
	c := h.queue(o, payload)
	if c == nil {
		ordersDirect.Inc()
		return nil
	}
	ordersRelayed.Inc()
	var r Reply
	select {
	case r = <-c.outcome:
	case <-ctx.Done():
		r = h.abandon(c)
	}
	if r.Failure == NotTried {
		return nil
	}
	if r.Failure != NotFailed {
		h.noteFailure(o.To.Address)
	}
	return &r
}

// abandon forgets a call whose time has passed and returns its outcome.
func (h *Hub) abandon(c *pendingCall) Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending[c.order.ID] == nil {
		return <-c.outcome // it was settled meanwhile
	}
	h.forget(c)
	if !c.handedOut {
		return Reply{Failure: NotTried}
	}
	return Reply{Failure: Lost, Reason: "no reply of worker " + c.worker.host}
}

// noteFailure has a target called from here for some time.
func (h *Hub) noteFailure(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failedUntil[address] = h.cfg.Clock.Now().Add(directAfterFailure)
}

// HostFor returns the worker that is to take the heartbeats of a target, "" if there is
// none. Targets are spread evenly, and keep their worker while it is there.
func (h *Hub) HostFor(target string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	best, highest := "", uint32(0)
	for host, w := range h.workers {
		if w.lost {
			continue
		}
		if weight := crc32.ChecksumIEEE([]byte(host + " " + target)); best == "" || weight > highest {
			best, highest = host, weight
		}
	}
	return best
}

// Start implements leader.Targets.
func (h *Hub) Start(ctx context.Context, to leader.Address, o *leader.StartOrder) (leader.Reply, error) {
	bare := *o
	bare.Payload = ""
	r := h.relay(ctx, Order{To: to, Start: &bare}, o.Payload)
	switch {
	case r == nil:
		return h.cfg.Direct.Start(ctx, to, o)
	case r.Failure == NotFailed && r.Start == nil:
		r.Failure, r.Reason = Unreadable, "the worker's reply has no answer"
	case r.Failure == NotFailed:
		return *r.Start, nil
	}
	return leader.Reply{}, r.err(to)
}

// Hold implements leader.Targets. It repeats a hold that a lost worker has not answered.
func (h *Hub) Hold(ctx context.Context, to leader.Address, o *leader.HoldOrder) (*leader.RunList, error) {
	r := h.relay(ctx, Order{To: to, Hold: o}, "")
	switch {
	case r == nil:
		return h.cfg.Direct.Hold(ctx, to, o)
	case r.Failure == NotFailed && r.List == nil:
		r.Failure, r.Reason = Unreadable, "the worker's reply has no list"
	case r.Failure == NotFailed:
		return r.List, nil
	case r.Failure != NotSent && ctx.Err() == nil:
		again := *o
		again.WaitMS = 0 // a part of the time for the call has passed
		// A later incarnation, which may answer by now, would drop ended runs of its own.
		again.Acknowledged = 0
		list, err := h.cfg.Direct.Hold(ctx, to, &again)
		if list != nil {
			list.NotAcknowledged = true
		}
		return list, err
	}
	return nil, r.err(to)
}

// Stop implements leader.Targets.
func (h *Hub) Stop(ctx context.Context, to leader.Address, o *leader.StopOrder) (leader.Reply, error) {
	return h.cfg.Direct.Stop(ctx, to, o)
}

// Pace implements leader.Targets.
func (h *Hub) Pace(ctx context.Context, to leader.Address, o *leader.PaceOrder) (leader.Reply, error) {
	return h.cfg.Direct.Pace(ctx, to, o)
}
