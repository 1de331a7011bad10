package codec

import "agatehaven.dev/agatehaven/internal/fault"

// MaxMessageBytes is the maximum size of a message between processes, both
// requests and responses.
const MaxMessageBytes = 4 << 20

// ConnectCodec is the CBOR codec for connect-go calls. It implements
// connect.Codec.
type ConnectCodec struct{}

// Name implements connect.Codec.
func (ConnectCodec) Name() string { return "cbor" }

// Marshal implements connect.Codec. It returns *fault.LimitExceeded for a
// message larger than MaxMessageBytes, so that the caller knows that a request
// of this size was not sent.
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
