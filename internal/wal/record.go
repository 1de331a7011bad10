package wal

import (
	"encoding/binary"
	"hash/crc32"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
)

// A record consists of a header, the payload and padding. The header has three
// little-endian 32-bit words: the type (8 bits) and payload length (24 bits),
// the CRC-32C of the payload, and the CRC-32C of the first two words. The
// separate checksum of the header distinguishes a damaged length from an
// incomplete record.
//
// Each record of a log is synced before the next one is written, so only the
// last one can be incomplete. The padding aligns records so that a header never
// crosses a sector boundary. It is not zero, so that a record never ends in
// zeros once its last sector is written.
const (
	headerBytes     = 12
	lengthBits      = 24
	maxPayloadBytes = 1<<lengthBits - 1
	alignBytes      = 16
	minPaddingBytes = 4
	paddingByte     = 0xff
	// sectorBytes is the unit in which disks write. After a crash, the sectors
	// of a record that were not yet written can read as zeros.
	sectorBytes = 512
)

type recordType uint8

const (
	recordSegment recordType = iota + 1
	recordSave
	// recordReset discards the entries before it: the log continues after a
	// snapshot.
	recordReset
	recordSnapshotMeta
	recordSnapshotChunk
	recordIdentity
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with the given payload to buffer.
func appendRecord(buffer []byte, kind recordType, payload []byte) ([]byte, error) {
	if len(payload) > maxPayloadBytes {
		return buffer, &fault.LimitExceeded{What: "log record", Limit: maxPayloadBytes}
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(kind)<<lengthBits|uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	buffer = append(buffer, header[:]...)
	buffer = append(buffer, payload...)
	for range recordBytes(len(payload)) - headerBytes - len(payload) {
		buffer = append(buffer, paddingByte)
	}
	return buffer, nil
}

// recordBytes returns the size of a record with the given payload length.
func recordBytes(payload int) int {
	size := headerBytes + payload + minPaddingBytes
	return (size + alignBytes - 1) / alignBytes * alignBytes
}

// appendEncoded appends a record with the CBOR encoding of value.
func appendEncoded(buffer []byte, kind recordType, value any) ([]byte, error) {
	payload, err := codec.Marshal(value)
	if err != nil {
		return buffer, err
	}
	return appendRecord(buffer, kind, payload)
}

// reader reads the records of one file.
type reader struct {
	name   string
	data   []byte
	offset int
}

// next returns the next record, or kind 0 at the end of the file. It returns
// *tornTail if the file ends within a record or a sector of its last record was
// never written, and *fault.Corrupt for all other damage.
func (r *reader) next() (recordType, []byte, error) {
	rest := r.data[r.offset:]
	if len(rest) == 0 {
		return 0, nil, nil
	}
	if len(rest) < headerBytes || r.firstSectorUnwritten() {
		return 0, nil, &tornTail{offset: int64(r.offset)}
	}
	kind, length, ok := parseHeader(rest)
	if !ok {
		return 0, nil, r.corrupt("invalid record header: wrong checksum or unknown type")
	}
	end := recordBytes(length)
	if len(rest) < end {
		return 0, nil, &tornTail{offset: int64(r.offset)}
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		if len(rest) == end && r.laterSectorUnwritten() {
			return 0, nil, &tornTail{offset: int64(r.offset)}
		}
		return 0, nil, r.corrupt("record payload does not match its checksum")
	}
	r.offset += end
	return kind, payload, nil
}

// parseHeader returns false if the header fails its checksum or its type is
// unknown.
func parseHeader(data []byte) (kind recordType, length int, ok bool) {
	word := binary.LittleEndian.Uint32(data)
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return 0, 0, false
	}
	kind = recordType(word >> lengthBits)
	return kind, int(word & maxPayloadBytes), kind >= recordSegment && kind <= recordIdentity
}

// firstSectorUnwritten reports whether the rest of the sector in which the next
// record should start is zero and no later record exists. A later record would
// prove that the next one had been synced.
func (r *reader) firstSectorUnwritten() bool {
	sectorEnd := min(len(r.data), (r.offset/sectorBytes+1)*sectorBytes)
	if !allZero(r.data[r.offset:sectorEnd]) {
		return false
	}
	for at := sectorEnd; at+headerBytes <= len(r.data); at += alignBytes {
		if _, _, ok := parseHeader(r.data[at:]); ok {
			return false
		}
	}
	return true
}

// laterSectorUnwritten reports whether any sector of the last record except its
// first holds only zeros.
func (r *reader) laterSectorUnwritten() bool {
	for at := (r.offset/sectorBytes + 1) * sectorBytes; at < len(r.data); at += sectorBytes {
		if allZero(r.data[at:min(at+sectorBytes, len(r.data))]) {
			return true
		}
	}
	return false
}

func (r *reader) corrupt(reason string) error {
	return &fault.Corrupt{What: r.name, Offset: int64(r.offset), Reason: reason}
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// tornTail is the error for an incomplete last record: a write that a crash
// interrupted and that was never acknowledged.
type tornTail struct{ offset int64 }

func (e *tornTail) Error() string { return "incomplete last record" }

// Code implements fault.Coded.
func (e *tornTail) Code() fault.Code { return fault.CodeCorrupt }
