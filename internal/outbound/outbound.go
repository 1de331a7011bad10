// Package outbound delivers raft messages. Each host and group has its own
// goroutine and ring buffer, so that a slow host or a large snapshot does not
// delay the others.
package outbound

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/ring"
)

const (
	// queueSize bounds the message sets that wait for one replica. Raft resends
	// those that are dropped when the queue is full.
	queueSize = 64
	// BatchBytes is the size from which no more messages are added to a call.
	// It leaves room for the largest messages of a replica, so that a call that
	// ends with them stays below the size limit.
	BatchBytes = 512 << 10
)

// Deliver makes one call to a host with one or more message sets.
type Deliver func(ctx context.Context, host, group string, messages [][]byte) error

// Sender implements replica.Transport.
type Sender struct {
	deliver Deliver
	// interval separates the starts of two calls to one host, so that a busy group sends
	// few calls with many messages. A message after a pause is sent at once.
	interval time.Duration
	log      zerolog.Logger

	mu     sync.Mutex
	ctx    context.Context
	queues map[destination]*ring.Ring[[]byte]
	wg     sync.WaitGroup
}

type destination struct{ host, group string }

// New returns a sender that makes at most one call to each host and group in an
// interval, which may be 0. Nothing is delivered before Run is called.
func New(deliver Deliver, interval time.Duration, log zerolog.Logger) *Sender {
	return &Sender{deliver: deliver, interval: interval, log: log, queues: make(map[destination]*ring.Ring[[]byte])}
}

// Send implements replica.Transport. It never blocks.
func (s *Sender) Send(host, group string, messages []byte) {
	_ = s.TrySend(host, group, messages) // raft resends what is dropped
}

// TrySend queues messages without waiting. It returns *fault.LimitExceeded if
// the queue of the host and group is full.
func (s *Sender) TrySend(host, group string, messages []byte) error {
	return s.queue(destination{host, group}).TryPut(messages)
}

func (s *Sender) queue(d destination) *ring.Ring[[]byte] {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[d]
	if q == nil {
		q = ring.New[[]byte]("raft messages to "+d.host, queueSize)
		s.queues[d] = q
		if s.ctx != nil {
			s.wg.Go(func() { s.serve(s.ctx, d, q) })
		}
	}
	return q
}

// Run delivers until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for d, q := range s.queues {
		s.wg.Go(func() { s.serve(ctx, d, q) })
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.wg.Wait()
}

func (s *Sender) serve(ctx context.Context, d destination, q *ring.Ring[[]byte]) {
	for {
		select {
		case data := <-q.Items():
			started := time.Now()
			if err := s.deliver(ctx, d.host, d.group, collectBatch(data, q)); err != nil {
				s.log.Debug().Str("peer", d.host).Str("group", d.group).Err(err).Msg("raft messages not delivered")
			}
			if pause := s.interval - time.Since(started); pause > 0 {
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns first and further queued message sets until they have
// BatchBytes together. With one set per round trip, proposals would wait for each other.
func collectBatch(first []byte, q *ring.Ring[[]byte]) [][]byte {
	all := [][]byte{first}
	for size := len(first); size < BatchBytes; {
		more := q.Drain(1)
		if len(more) == 0 {
			break
		}
		all = append(all, more[0])
		size += len(more[0])
	}
	return all
}
