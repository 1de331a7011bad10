// Package outbound delivers raft messages: one goroutine and one ring for each
// host and group, so that a slow host or a large snapshot delays nobody else.
package outbound

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/ring"
)

const (
	// queueSize bounds the batches that wait for one replica. Raft repeats what
	// is dropped when the queue is full.
	queueSize = 64
	// BatchBytes bounds the messages of one call before its last ones are
	// added. With the largest messages of a replica it stays below the limit of
	// a call.
	BatchBytes = 512 << 10
)

// Deliver makes one call to a host with one or more sets of messages.
type Deliver func(ctx context.Context, host, group string, messages [][]byte) error

// Sender implements replica.Transport.
type Sender struct {
	deliver Deliver
	log     zerolog.Logger

	mu     sync.Mutex
	ctx    context.Context
	queues map[link]*ring.Ring[[]byte]
	wg     sync.WaitGroup
}

type link struct{ host, group string }

// New returns a sender. Run delivers what it is given.
func New(deliver Deliver, log zerolog.Logger) *Sender {
	return &Sender{deliver: deliver, log: log, queues: make(map[link]*ring.Ring[[]byte])}
}

// Send implements replica.Transport. It never blocks.
func (s *Sender) Send(host, group string, messages []byte) {
	_ = s.TrySend(host, group, messages) // raft repeats what is dropped
}

// TrySend adds messages without waiting. It returns *fault.LimitExceeded if
// the ring of the host is full.
func (s *Sender) TrySend(host, group string, messages []byte) error {
	return s.queue(link{host, group}).TryPut(messages)
}

func (s *Sender) queue(l link) *ring.Ring[[]byte] {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[l]
	if q == nil {
		q = ring.New[[]byte]("raft messages to "+l.host, queueSize)
		s.queues[l] = q
		if s.ctx != nil {
			s.wg.Go(func() { s.serve(s.ctx, l, q) })
		}
	}
	return q
}

// Run delivers until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for l, q := range s.queues {
		s.wg.Go(func() { s.serve(ctx, l, q) })
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.wg.Wait()
}

func (s *Sender) serve(ctx context.Context, l link, q *ring.Ring[[]byte]) {
	for {
		select {
		case data := <-q.Items():
			if err := s.deliver(ctx, l.host, l.group, gather(data, q)); err != nil {
				s.log.Debug().Str("peer", l.host).Str("group", l.group).Err(err).Msg("raft messages not delivered")
			}
		case <-ctx.Done():
			return
		}
	}
}

// gather adds the messages that wait in the ring to the first ones. Otherwise
// a link would deliver only one set of messages for each round trip, and
// proposals would wait for each other.
func gather(first []byte, q *ring.Ring[[]byte]) [][]byte {
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
