package codec

import "agatehaven.dev/agatehaven/internal/fault"

// MaxMessageBytes bounds every message between processes in both directions.
const MaxMessageBytes = 4 << 20

// ConnectCodec is the CBOR codec of connect-go calls. It implements connect.Codec.
type ConnectCodec struct{}

// Name implements connect.Codec.
func (ConnectCodec) Name() string { return "cbor" }

// Marshal encodes a message. It returns *fault.LimitExceeded for a message
// above MaxMessageBytes, so that a request too large is known not to be sent.
func (ConnectCodec) Marshal(message any) ([]byte, error) {
	data, err := Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, &fault.LimitExceeded{What: "peer message", Limit: MaxMessageBytes}
	}
	return data, nil
}

// Unmarshal implements connect.Codec.
func (ConnectCodec) Unmarshal(data []byte, message any) error { return Unmarshal(data, message) }
