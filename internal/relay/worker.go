package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/ring"
)

const (
	// exchangeTimeout bounds an exchange. It leaves time for the network beside pollWait.
	exchangeTimeout = pollWait + 300*time.Millisecond
	// retryDelay separates the attempts to reach the leader.
	retryDelay = 50 * time.Millisecond
	// heartbeatWindow is how long after its last exchange a worker takes heartbeats. It is
	// longer than two polls.
	heartbeatWindow = 500 * time.Millisecond
	// maxCalls bounds the calls in progress: twice the targets of the largest region.
	maxCalls = 4096
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// Host is the address of this host.
	Host string
	// Targets makes the calls.
	Targets leader.Targets
	// Leader returns the host of the leader, "" if none is known or this host leads.
	Leader func() string
	// Exchange makes an exchange with the leader on a host.
	Exchange func(ctx context.Context, host string, r *Request) (*Answer, error)
	Clock    clock.Clock
	Log      zerolog.Logger
}

// Worker makes calls to targets for the leader on another host.
type Worker struct {
	cfg     WorkerConfig
	replies *ring.Ring[addressedReply]
	calls   atomic.Int64

	mu sync.Mutex
	// connected is when the last exchange with a leader ended; it began before.
	connected time.Time
	// failing is set while the last exchange had no answer.
	failing bool
	// heartbeats holds, by target, the last heartbeat that was not passed on.
	heartbeats map[string]receivedHeartbeat
}

// receivedHeartbeat is a heartbeat and when it arrived.
type receivedHeartbeat struct {
	heartbeat leader.Heartbeat
	at        time.Time
}

// addressedReply is a reply for the leader of a term.
type addressedReply struct {
	host  string
	term  uint64
	reply Reply
}

// NewWorker returns a worker. Run starts it.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{
		cfg: cfg, replies: ring.New[addressedReply]("replies to the leader", 2*maxCalls), heartbeats: map[string]receivedHeartbeat{},
	}
}

// TakeHeartbeat takes a heartbeat for the leader. It returns false if the leader has not
// answered recently: the target then has to announce itself elsewhere.
func (w *Worker) TakeHeartbeat(b leader.Heartbeat) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	if !clock.Within(w.connected, now, heartbeatWindow) {
		return false
	}
	w.heartbeats[b.Target] = receivedHeartbeat{b, now}
	return true
}

// takeHeartbeats removes and returns the heartbeats, with the clocks of their targets as
// they are now.
func (w *Worker) takeHeartbeats() []leader.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	var out []leader.Heartbeat
	for _, b := range w.heartbeats {
		if b.heartbeat.ClockMS > 0 {
			b.heartbeat.ClockMS += now.Sub(b.at).Milliseconds()
		}
		out = append(out, b.heartbeat)
	}
	clear(w.heartbeats)
	return out
}

// Run asks the leader for orders, carries them out and returns the replies until ctx
// ends. While calls are in progress it makes one exchange in exchangeInterval, which
// carries all replies of that time; otherwise it polls.
func (w *Worker) Run(ctx context.Context) {
	var pending []addressedReply
	for ctx.Err() == nil {
		pending = append(pending, w.replies.Drain(maxBatch-len(pending))...)
		host := w.cfg.Leader()
		r := &Request{Host: w.cfg.Host, Heartbeats: w.takeHeartbeats(), Poll: len(pending) == 0 && w.calls.Load() == 0}
		if len(pending) > 0 {
			host, r.Term = pending[0].host, pending[0].term
		}
		next := 0
		for ; next < len(pending) && pending[next].term == r.Term && pending[next].host == host; next++ {
			r.Replies = append(r.Replies, pending[next].reply)
		}
		pending = pending[next:] // a reply that is lost below is a call without an answer to the leader
		switch {
		case host == "" || !w.exchange(ctx, host, r):
			w.sleep(ctx, retryDelay)
		case len(pending) == 0 && w.calls.Load() > 0:
			w.sleep(ctx, exchangeInterval)
		}
	}
}

func (w *Worker) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.cfg.Clock.After(d):
	}
}

// exchange makes one exchange and carries out the orders that it returns. It reports
// whether the host leads.
func (w *Worker) exchange(ctx context.Context, host string, r *Request) bool {
	asked := w.cfg.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	a, err := w.cfg.Exchange(callCtx, host, r)
	if ctx.Err() != nil {
		return false
	}
	w.noteExchange(host, r, a, err)
	if err != nil {
		return false
	}
	for i := range a.Orders {
		w.begin(ctx, host, a, &a.Orders[i], asked)
	}
	return a.Term != 0
}

// noteExchange records the outcome of an exchange. It logs lost replies, and when the
// contact with the leader is lost or regained.
func (w *Worker) noteExchange(host string, r *Request, a *Answer, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	failedBefore := w.failing
	w.failing = err != nil
	switch {
	case err != nil && (!failedBefore || len(r.Replies) > 0):
		w.cfg.Log.Info().Err(err).Str("leader", host).Int("replies", len(r.Replies)).Msg("exchange with the leader failed")
	case err == nil && failedBefore:
		w.cfg.Log.Info().Str("leader", host).Msg("exchanges with the leader succeed again")
	}
	if err == nil && a.Term != 0 {
		w.connected = w.cfg.Clock.Now()
	}
}

// begin carries out an order in the background.
func (w *Worker) begin(ctx context.Context, host string, a *Answer, o *Order, asked time.Time) {
	if o.Start != nil && o.Payload >= 0 && o.Payload < len(a.Payloads) {
		o.Start.Payload = a.Payloads[o.Payload]
	}
	if w.calls.Add(1) > maxCalls {
		w.calls.Add(-1)
		w.reply(addressedReply{host, a.Term, Reply{ID: o.ID, Failure: NotTried}})
		return
	}
	go func() {
		defer w.calls.Add(-1) // after the reply is queued, so that Run does not poll meanwhile
		w.reply(addressedReply{host, a.Term, w.carryOut(ctx, o, asked)})
	}()
}

func (w *Worker) reply(r addressedReply) {
	if err := w.replies.TryPut(r); err != nil {
		w.cfg.Log.Warn().Err(err).Msg("reply to the leader dropped")
	}
}

// carryOut makes the call of an order, unless the worker asked for it too long ago: the
// leader may have been replaced since.
func (w *Worker) carryOut(ctx context.Context, o *Order, asked time.Time) Reply {
	r := Reply{ID: o.ID}
	if !clock.Within(asked, w.cfg.Clock.Now(), orderValidity) {
		w.cfg.Log.Warn().Str("target", o.To.ID).Time("asked", asked).Msg("order has expired")
		r.Failure, r.Reason = NotTried, "the order has expired"
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.TimeoutMS)*time.Millisecond)
	defer cancel()
	var err error
	switch {
	case o.Start != nil:
		var answer leader.Reply
		answer, err = w.cfg.Targets.Start(ctx, o.To, o.Start)
		r.Start = &answer
	case o.Hold != nil:
		r.List, err = w.cfg.Targets.Hold(ctx, o.To, o.Hold)
	default:
		r.Failure, r.Reason = NotTried, "unknown order"
		return r
	}
	if err != nil {
		r = Reply{ID: o.ID, Failure: failureOf(err), Reason: err.Error()}
	}
	return r
}
