// Package codec encodes log entries, snapshots and peer messages as CBOR (RFC
// 8949). The encoding is deterministic: equal values have equal encodings.
package codec

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder(cbor.ExtraDecErrorNone)
	strict  = mustDecoder(cbor.ExtraDecErrorUnknownField)
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, ExtraReturnErrors: extra,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the CBOR encoding of v.
func Marshal(v any) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, eris.Wrap(err, "encode CBOR")
}

// Unmarshal decodes data into v. It returns *fault.Corrupt if data is not a
// valid encoding of v's type.
func Unmarshal(data []byte, v any) error { return unmarshal(decoder, data, v) }

// UnmarshalStrict is Unmarshal for replicated state, that is, log entries and
// snapshots. It returns *fault.Unsupported if data has fields that v's type
// lacks, since a newer version must have written them. If they were ignored,
// this replica's state would diverge from that of newer replicas.
func UnmarshalStrict(data []byte, v any) error { return unmarshal(strict, data, v) }

func unmarshal(mode cbor.DecMode, data []byte, v any) error {
	err := mode.Unmarshal(data, v)
	var unknown *cbor.UnknownFieldError
	switch {
	case errors.As(err, &unknown):
		return &fault.Unsupported{What: "log entry or snapshot", Reason: err.Error()}
	case err != nil:
		return &fault.Corrupt{What: "CBOR message", Reason: err.Error()}
	}
	return nil
}
