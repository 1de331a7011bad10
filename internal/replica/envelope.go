package replica

import (
	"encoding/binary"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
)

// envelopeBytes is the size of the timestamp that precedes the data of an entry
// or of a snapshot.
const envelopeBytes = 12

// encodeEnvelope prepends a timestamp to data.
func encodeEnvelope(t hlc.Time, data []byte) []byte {
	out := make([]byte, envelopeBytes, envelopeBytes+len(data))
	binary.LittleEndian.PutUint64(out, uint64(t.WallMillis))
	binary.LittleEndian.PutUint32(out[8:], t.Logical)
	return append(out, data...)
}

// decodeEnvelope splits off the timestamp that encodeEnvelope has prepended. It
// returns *fault.Corrupt if data is too short.
func decodeEnvelope(data []byte) (hlc.Time, []byte, error) {
	if len(data) < envelopeBytes {
		return hlc.Time{}, nil, &fault.Corrupt{What: "log entry or snapshot", Reason: "too short for its timestamp"}
	}
	t := hlc.Time{
		WallMillis: int64(binary.LittleEndian.Uint64(data)),
		Logical:    binary.LittleEndian.Uint32(data[8:]),
	}
	return t, data[envelopeBytes:], nil
}
