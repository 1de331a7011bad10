package peer

import (
	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
)

// MaxMessageBytes bounds every peer message in both directions.
const MaxMessageBytes = 4 << 20

// cborCodec implements connect.Codec.
type cborCodec struct{}

func (cborCodec) Name() string { return "cbor" }

// Marshal encodes a message. It returns *fault.LimitExceeded for a message
// above MaxMessageBytes, so that a request too large is known not to be sent.
func (cborCodec) Marshal(message any) ([]byte, error) {
	data, err := codec.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, &fault.LimitExceeded{What: "peer message", Limit: MaxMessageBytes}
	}
	return data, nil
}

func (cborCodec) Unmarshal(data []byte, message any) error { return codec.Unmarshal(data, message) }

// compression is the one that connect-go negotiates by default. Clients and
// handlers turn it off: most messages are below 1 KiB, and a new compressor
// per call took half of the memory that a call allocated.
const compression = "gzip"

// commonOptions apply to both clients and handlers.
func commonOptions() []connect.Option {
	return []connect.Option{
		connect.WithCodec(cborCodec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
	}
}
