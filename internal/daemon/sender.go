package daemon

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/ring"
)

// sendQueue bounds the batches that wait for one replica. Raft repeats what
// is dropped when the queue is full.
const sendQueue = 64

// gatherBytes bounds the messages of one call before its last ones are added.
// With the largest messages of a replica it stays below the limit of a call.
const gatherBytes = 512 << 10

// sender delivers raft messages: one goroutine and one ring for each host and
// group, so that a slow host or a large snapshot delays nobody else.
type sender struct {
	dialer peer.Dialer
	log    zerolog.Logger

	mu     sync.Mutex
	ctx    context.Context
	queues map[link]*ring.Ring[[]byte]
	wg     sync.WaitGroup
}

type link struct{ host, group string }

func newSender(dialer peer.Dialer, log zerolog.Logger) *sender {
	return &sender{dialer: dialer, log: log, queues: make(map[link]*ring.Ring[[]byte])}
}

// Send implements replica.Transport. It never blocks.
func (s *sender) Send(host, group string, messages []byte) {
	_ = s.queue(link{host, group}).TryPut(messages)
}

func (s *sender) queue(l link) *ring.Ring[[]byte] {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[l]
	if q == nil {
		q = ring.New[[]byte]("raft messages to "+l.host, sendQueue)
		s.queues[l] = q
		if s.ctx != nil {
			s.wg.Go(func() { s.deliver(s.ctx, l, q) })
		}
	}
	return q
}

// run delivers until ctx ends.
func (s *sender) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for l, q := range s.queues {
		s.wg.Go(func() { s.deliver(ctx, l, q) })
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.wg.Wait()
}

func (s *sender) deliver(ctx context.Context, l link, q *ring.Ring[[]byte]) {
	h, err := s.dialer.Dial(l.host)
	if err != nil {
		s.log.Warn().Str("peer", l.host).Err(err).Msg("raft messages cannot be sent")
		return
	}
	for {
		select {
		case data := <-q.Items():
			if _, err := h.Step(ctx, stepRequest(l.group, data, q)); err != nil {
				s.log.Debug().Str("peer", l.host).Str("group", l.group).Err(err).Msg("raft messages not delivered")
			}
		case <-ctx.Done():
			return
		}
	}
}

// stepRequest adds the messages that wait in the ring to the first ones. Otherwise
// a link would deliver only one set of messages for each round trip, and
// proposals would wait for each other.
func stepRequest(group string, first []byte, q *ring.Ring[[]byte]) *peer.StepRequest {
	r := &peer.StepRequest{Group: group, Messages: first}
	for size := len(first); size < gatherBytes; {
		more := q.Drain(1)
		if len(more) == 0 {
			break
		}
		r.More = append(r.More, more[0])
		size += len(more[0])
	}
	return r
}
