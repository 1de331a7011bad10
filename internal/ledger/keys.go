package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// ReasonDetailsExpired is the reason shown for a request of which only the key
// is retained.
const ReasonDetailsExpired = "details have expired after the retention of the answer"

// retainedKey is what remains of a finished non-idempotent request after the
// retention of its answer: enough to recognise a resend and to answer it.
// Requests with the outcome unknown are never reduced to it, since a late report
// needs their attempts.
type retainedKey struct {
	key       string
	digest    [sha256.Size]byte
	claimed   hlc.Time
	finished  hlc.Time
	attempt   int // number of the last attempt, 0 if there was none
	done      bool
	succeeded bool
}

// Flags of an encoded retained key.
const (
	flagDone      = 1 << 0
	flagSucceeded = 1 << 1
)

// newRetainedKey returns the retained key of a finished request with a proven
// outcome.
func newRetainedKey(r *model.Request) (retainedKey, error) {
	k := retainedKey{
		key: r.Key, claimed: r.Claimed, finished: r.Finished,
		done: r.Outcome == model.OutcomeDone, succeeded: r.Succeeded,
	}
	if last := lastAttempt(r); last != nil {
		k.attempt = last.Number
	}
	digest, err := hex.DecodeString(r.Digest)
	if err != nil || len(digest) != len(k.digest) {
		return k, &fault.Corrupt{What: "request " + r.Key, Reason: "its digest is not a SHA-256 in hexadecimal"}
	}
	copy(k.digest[:], digest)
	return k, nil
}

// request returns the retained key as a request without details. The last
// attempt of a non-idempotent request is the one that decided its outcome.
func (k *retainedKey) request() *model.Request {
	r := &model.Request{
		Key: k.key, Digest: hex.EncodeToString(k.digest[:]), Claimed: k.claimed, Finished: k.finished,
		State: model.RequestFinished, Outcome: model.OutcomeNotRun, Succeeded: k.succeeded,
		Reason: ReasonDetailsExpired, DetailsExpired: true,
	}
	state := model.AttemptNotBegun
	if k.done {
		r.Outcome, state = model.OutcomeDone, model.AttemptFailed
	}
	if k.succeeded {
		state = model.AttemptSucceeded
	}
	if k.attempt > 0 {
		r.Attempts = []model.Attempt{{Number: k.attempt, State: state}}
	}
	return r
}

// append encodes the key: its length and bytes, the digest, the finish time,
// the time since the claim, the attempt and the flags. Numbers are varints,
// except the milliseconds of the finish time.
func (k *retainedKey) append(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(k.key)))
	data = append(data, k.key...)
	data = append(data, k.digest[:]...)
	data = binary.BigEndian.AppendUint64(data, uint64(k.finished.WallMillis))
	data = binary.AppendUvarint(data, uint64(k.finished.Logical))
	data = binary.AppendVarint(data, k.finished.WallMillis-k.claimed.WallMillis)
	data = binary.AppendUvarint(data, uint64(k.claimed.Logical))
	data = binary.AppendUvarint(data, uint64(k.attempt))
	var flags byte
	if k.done {
		flags |= flagDone
	}
	if k.succeeded {
		flags |= flagSucceeded
	}
	return append(data, flags)
}

// keyReader decodes the fields of retained keys. After an error all fields
// read as zero.
type keyReader struct {
	data      []byte
	malformed bool
}

func (r *keyReader) bytes(n uint64) []byte {
	if r.malformed || n > uint64(len(r.data)) {
		r.malformed = true
		return nil
	}
	out := r.data[:n]
	r.data = r.data[n:]
	return out
}

// number decodes one varint with binary.Uvarint or binary.Varint.
func number[T int64 | uint64](r *keyReader, decode func([]byte) (T, int)) T {
	v, n := decode(r.data)
	if r.malformed || n <= 0 {
		r.malformed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

// decodeKey reads the first retained key of data and returns the bytes that
// follow it.
func decodeKey(data []byte) (k retainedKey, rest []byte, ok bool) {
	r := &keyReader{data: data}
	k.key = string(r.bytes(number(r, binary.Uvarint)))
	copy(k.digest[:], r.bytes(sha256.Size))
	if wall := r.bytes(8); wall != nil {
		k.finished.WallMillis = int64(binary.BigEndian.Uint64(wall))
	}
	k.finished.Logical = uint32(number(r, binary.Uvarint))
	k.claimed.WallMillis = k.finished.WallMillis - number(r, binary.Varint)
	k.claimed.Logical = uint32(number(r, binary.Uvarint))
	k.attempt = int(number(r, binary.Uvarint))
	if flags := r.bytes(1); flags != nil {
		k.done, k.succeeded = flags[0]&flagDone != 0, flags[0]&flagSucceeded != 0
		r.malformed = r.malformed || flags[0]&^(flagDone|flagSucceeded) != 0 || (k.succeeded && !k.done)
	}
	return k, r.data, !r.malformed
}

// blockBytes is the size of the blocks that hold retained keys, about 12,800
// keys of 36 bytes. A block is freed as a whole with its own index, since a Go
// map never shrinks: one index for all keys takes 160 instead of 120 bytes a key
// after a day.
const blockBytes = 1 << 20

// firstBlockBytes is the initial size of a block. It doubles up to blockBytes.
const firstBlockBytes = 4 << 10

// keyHash identifies a key in the index: the first half of its SHA-256. The
// index then holds no pointers, which the garbage collector would follow.
type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:16])
}

// keyBlock holds encoded keys and their offsets.
type keyBlock struct {
	data  []byte
	index map[keyHash]uint32
}

// add appends an encoded key and reports whether it had room.
func (b *keyBlock) add(hash keyHash, encoded []byte) bool {
	need := len(b.data) + len(encoded)
	if need > max(blockBytes, len(encoded)) {
		return false
	}
	if need > cap(b.data) {
		size := max(min(2*cap(b.data), blockBytes), firstBlockBytes, need)
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.index[hash] = uint32(len(b.data))
	b.data = append(b.data, encoded...)
	return true
}

// keyTable holds retained keys in the order of their reduction, which is that
// of their finish times. Keys are appended at the end and expire at the start.
type keyTable struct {
	blocks []*keyBlock
	start  int // offset of the oldest key in blocks[0]
	count  int
	bytes  int // encoded bytes of all keys
}

func (t *keyTable) add(k *retainedKey) {
	hash, encoded := hashKey(k.key), k.append(nil)
	t.count++
	t.bytes += len(encoded)
	if last := len(t.blocks) - 1; last >= 0 && t.blocks[last].add(hash, encoded) {
		return
	}
	b := &keyBlock{index: map[keyHash]uint32{}}
	b.add(hash, encoded)
	t.blocks = append(t.blocks, b)
}

// get returns a key that has not expired. The first block also holds expired
// keys, before start; the same key may be present again at a later offset.
func (t *keyTable) get(key string) (retainedKey, bool) {
	if t.count == 0 {
		return retainedKey{}, false
	}
	hash := hashKey(key)
	for i := len(t.blocks) - 1; i >= 0; i-- {
		offset, ok := t.blocks[i].index[hash]
		if !ok || (i == 0 && int(offset) < t.start) {
			continue
		}
		k, _, ok := decodeKey(t.blocks[i].data[offset:])
		return k, ok && k.key == key
	}
	return retainedKey{}, false
}

// oldest returns the key that expires next and its encoded size.
func (t *keyTable) oldest() (k retainedKey, size int, ok bool) {
	if t.count == 0 {
		return retainedKey{}, 0, false
	}
	data := t.unexpired(0)
	k, rest, ok := decodeKey(data)
	return k, len(data) - len(rest), ok
}

// dropOldest removes the key that oldest returns.
func (t *keyTable) dropOldest() {
	_, size, _ := t.oldest()
	t.count--
	t.bytes -= size
	t.start += size
	if t.start == len(t.blocks[0].data) {
		t.blocks[0] = nil
		t.blocks = t.blocks[1:]
		t.start = 0
	}
}

// unexpired returns the encoded keys of block i that have not expired.
func (t *keyTable) unexpired(i int) []byte {
	if i == 0 {
		return t.blocks[0].data[t.start:]
	}
	return t.blocks[i].data
}

// encode returns all keys, oldest first.
func (t *keyTable) encode() []byte {
	if t.bytes == 0 {
		return nil
	}
	out := make([]byte, 0, t.bytes)
	for i := range t.blocks {
		out = append(out, t.unexpired(i)...)
	}
	return out
}

// decodeKeys decodes the result of keyTable.encode.
func decodeKeys(data []byte) (*keyTable, error) {
	t := &keyTable{}
	for len(data) > 0 {
		k, rest, ok := decodeKey(data)
		if !ok || !bytes.Equal(k.append(nil), data[:len(data)-len(rest)]) {
			return nil, &fault.Corrupt{What: "ledger snapshot", Reason: "malformed retained key"}
		}
		if _, ok := t.get(k.key); ok {
			return nil, &fault.Corrupt{What: "ledger snapshot", Reason: "a retained key appears twice"}
		}
		t.add(&k)
		data = rest
	}
	return t, nil
}

// recent returns up to limit requests of retained keys, latest finished first.
func (t *keyTable) recent(limit int) []*model.Request {
	var out []*model.Request
	for i := len(t.blocks) - 1; i >= 0 && len(out) < limit; i-- {
		var keys []retainedKey
		for data := t.unexpired(i); len(data) > 0; {
			k, rest, _ := decodeKey(data)
			keys = append(keys, k)
			data = rest
		}
		for j := len(keys) - 1; j >= 0 && len(out) < limit; j-- {
			out = append(out, keys[j].request())
		}
	}
	return out
}
