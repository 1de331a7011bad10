package peer

import (
	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/codec"
)

// MaxMessageBytes bounds every peer message in both directions.
const MaxMessageBytes = codec.MaxMessageBytes

// compression is the method that connect-go negotiates by default. Clients and
// handlers turn it off: most messages are smaller than 1 KiB, and the new
// compressor for each call made up half of the memory that a call allocated.
const compression = "gzip"

// commonOptions apply to both clients and handlers.
func commonOptions() []connect.Option {
	return []connect.Option{
		connect.WithCodec(codec.ConnectCodec{}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
	}
}
