// Package codec encodes log entries, snapshots and peer messages as CBOR
// (RFC 8949). The encoding is deterministic: equal values give equal bytes.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, eris.Wrap(err, "encode CBOR")
}

// Unmarshal decodes data into v. It returns *fault.Corrupt if data is not a
// valid encoding of v's type.
func Unmarshal(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return &fault.Corrupt{What: "CBOR message", Reason: err.Error()}
	}
	return nil
}
