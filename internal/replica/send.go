package replica

import (
	"context"

	"agatehaven.dev/agatehaven/internal/raft"
)

// messageOverheadBytes is the estimated encoded size of a message without its
// entries.
const messageOverheadBytes = 256

// sender encodes messages and passes them to the transport. It also reads
// snapshot chunks, so that the core does not block on these reads.
type sender struct{ r *Replica }

func (s *sender) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case messages := <-s.r.outbox.Items():
			for _, more := range s.r.outbox.Drain(outboxSize) {
				messages = append(messages[:len(messages):len(messages)], more...)
			}
			s.send(messages)
		}
	}
}

// batch holds the messages to be sent to one host.
type batch struct {
	messages []raft.Message
	bytes    int
}

func (s *sender) send(messages []raft.Message) {
	batches := map[string]*batch{}
	for _, m := range messages {
		if m.Snapshot != nil {
			chunk, err := s.r.log.ReadChunk(*m.Snapshot, m.Offset)
			if err != nil {
				s.r.cfg.Logger.Warn().Err(err).Str("group", s.r.cfg.Group).Msg("reading a snapshot chunk failed; message dropped")
				continue
			}
			m.Chunk = chunk
		}
		host := raft.HostOf(m.To)
		b := batches[host]
		if b == nil {
			b = &batch{}
			batches[host] = b
		}
		size := messageOverheadBytes + len(m.Chunk)
		for _, e := range m.Entries {
			size += len(e.Data) + messageOverheadBytes/8
		}
		if b.bytes > 0 && b.bytes+size > maxSendBytes {
			s.sendBatch(host, b)
		}
		b.messages, b.bytes = append(b.messages, m), b.bytes+size
	}
	for host, b := range batches {
		s.sendBatch(host, b)
	}
}

func (s *sender) sendBatch(host string, b *batch) {
	data, err := raft.EncodeMessages(b.messages)
	*b = batch{}
	if err != nil {
		s.r.cfg.Logger.Error().Err(err).Str("group", s.r.cfg.Group).Msg("encoding messages failed; batch dropped")
		return
	}
	s.r.metrics.sentBytes.Add(len(data))
	s.r.cfg.Transport.Send(host, s.r.cfg.Group, data)
}
