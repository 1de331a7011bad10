// Package wal stores the log, hard state, snapshots and identity of one
// replica in one directory. What a call stores is durable when the call
// returns.
package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

const (
	segmentPrefix   = "log-"
	segmentSuffix   = ".wal"
	snapshotPrefix  = "snap-"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
	identityName    = "identity"
	// formatVersion is incremented when an older reader would misread the files.
	formatVersion = 1
	// DefaultSegmentBytes is the default size at which a new segment is started.
	DefaultSegmentBytes = 16 << 20
	// maxSnapshots is the number of snapshots kept. The previous one stays
	// readable for a transfer that is under way when a new one is written.
	maxSnapshots = 2
	// maxEntryBytesPerRecord is the maximum size of the entry data in one record,
	// unless a single entry is larger.
	maxEntryBytesPerRecord = 4 << 20
)

// Options configures a WAL.
type Options struct {
	// FS defaults to OSFS.
	FS  FS
	Dir string
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// State is what Open found on disk.
type State struct {
	HardState raft.HardState
	// Snapshot describes the latest snapshot; zero if there is none.
	Snapshot raft.SnapshotMeta
	// Entries are the entries after the snapshot.
	Entries []raft.Entry
	// TruncatedBytes is the number of bytes of a torn tail that were removed.
	TruncatedBytes int64
}

// segment describes one log file. maxIndex is the highest entry index in it and
// in the segments before it.
type segment struct {
	sequence uint64
	maxIndex uint64
}

// WAL is the storage of one replica. It is safe for concurrent use. Save does
// not block on SaveSnapshot and ReadChunk.
type WAL struct {
	fs           FS
	dir          string
	segmentBytes int64

	mu       sync.Mutex
	file     File
	size     int64
	written  int64
	segments []segment // ascending by sequence, the last one is open
	hard     raft.HardState
	buffer   []byte
	// writeErr is the first error of a write or sync. After a failed sync the
	// state of the file is unknown, so nothing may be written afterwards.
	writeErr error

	snapMu    sync.Mutex
	snapshots []raft.SnapshotMeta // ascending by index
}

// segmentHeader is the first record of a segment. It repeats the latest hard
// state, so that earlier segments can be removed.
type segmentHeader struct {
	Version   uint64         `cbor:"1,keyasint"`
	Sequence  uint64         `cbor:"2,keyasint"`
	HardState raft.HardState `cbor:"3,keyasint"`
}

// saveRecord holds what Save stores with one sync. HardState is nil if it did not
// change.
type saveRecord struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// resetRecord marks the point at which the log continues after a snapshot.
type resetRecord struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// Open reads the directory, truncates a torn tail and prepares the WAL for
// writing. It returns *fault.Corrupt if stored data is damaged or incomplete.
func Open(opts Options) (*WAL, State, error) {
	w := &WAL{fs: opts.FS, dir: opts.Dir, segmentBytes: opts.SegmentBytes}
	if w.fs == nil {
		w.fs = OSFS{}
	}
	if w.segmentBytes <= 0 {
		w.segmentBytes = DefaultSegmentBytes
	}
	if err := w.fs.MkdirAll(w.dir); err != nil {
		return nil, State{}, err
	}
	names, err := w.fs.List(w.dir)
	if err != nil {
		return nil, State{}, err
	}
	var sequences, snapshots []string
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := w.fs.Remove(w.path(name)); err != nil {
				return nil, State{}, err
			}
		case strings.HasPrefix(name, segmentPrefix) && strings.HasSuffix(name, segmentSuffix):
			sequences = append(sequences, name)
		case strings.HasPrefix(name, snapshotPrefix) && strings.HasSuffix(name, snapshotSuffix):
			snapshots = append(snapshots, name)
		}
	}
	if err := w.loadSnapshots(snapshots); err != nil {
		return nil, State{}, err
	}
	state, err := w.replay(sequences)
	if err != nil {
		if w.file != nil {
			_ = w.file.Close() // the first error is more specific
		}
		return nil, State{}, err
	}
	return w, state, nil
}

func (w *WAL) path(name string) string { return filepath.Join(w.dir, name) }

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

func parseSegmentName(name string) (uint64, error) {
	text := strings.TrimSuffix(strings.TrimPrefix(name, segmentPrefix), segmentSuffix)
	sequence, err := strconv.ParseUint(text, 16, 64)
	if err != nil || segmentName(sequence) != name {
		return 0, &fault.Corrupt{What: name, Reason: "not a valid segment file name"}
	}
	return sequence, nil
}

// replay reads all segments and opens the last one for writing.
func (w *WAL) replay(names []string) (State, error) {
	var state State
	if len(w.snapshots) > 0 {
		state.Snapshot = w.snapshots[len(w.snapshots)-1]
	}
	if len(names) == 0 && state.Snapshot.Index > 0 {
		return state, &fault.Corrupt{What: w.dir, Reason: "there is a snapshot but no log segment"}
	}
	p := replayer{}
	for i, name := range names {
		sequence, err := parseSegmentName(name)
		if err != nil {
			return state, err
		}
		if i > 0 && sequence != w.segments[i-1].sequence+1 {
			return state, &fault.Corrupt{What: name, Reason: "the preceding segment is missing"}
		}
		data, err := w.fs.ReadFile(w.path(name))
		if err != nil {
			return state, err
		}
		torn, err := p.segment(name, sequence, data)
		if err != nil {
			return state, err
		}
		w.segments = append(w.segments, segment{sequence: sequence, maxIndex: p.maxIndex})
		w.size = int64(len(data))
		if torn == nil {
			continue
		}
		if i != len(names)-1 {
			return state, &fault.Corrupt{What: name, Offset: torn.offset, Reason: "incomplete record in a segment that is not the last one"}
		}
		if err := w.truncateTail(name, torn.offset); err != nil {
			return state, err
		}
		state.TruncatedBytes = int64(len(data)) - torn.offset
	}
	w.hard = p.hard
	state.HardState = p.hard
	discarded, err := p.resolve(&state)
	if err != nil {
		return state, err
	}
	return state, w.openLast(discarded, state.Snapshot)
}

// truncateTail removes a torn tail durably. Once more records follow, it could
// not be told from damage.
func (w *WAL) truncateTail(name string, offset int64) error {
	if err := w.fs.Truncate(w.path(name), offset); err != nil {
		return err
	}
	f, err := w.fs.OpenAppend(w.path(name))
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	w.size = offset
	return err
}

// openLast opens the last segment, or starts the first one. If discarded is
// set, it also writes a reset record for the snapshot that replaces the stored
// entries.
func (w *WAL) openLast(discarded bool, snapshot raft.SnapshotMeta) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.segments) == 0 || w.size == 0 {
		// A crash while a segment is started can leave it without its header.
		if last := len(w.segments) - 1; last >= 0 {
			w.segments = w.segments[:last]
		}
		if err := w.startSegment(); err != nil {
			return err
		}
	} else {
		f, err := w.fs.OpenAppend(w.path(segmentName(w.segments[len(w.segments)-1].sequence)))
		if err != nil {
			return err
		}
		w.file = f
	}
	if !discarded {
		return nil
	}
	return w.writeReset(snapshot)
}

// startSegment closes the open segment and starts the next one.
func (w *WAL) startSegment() error {
	next := segment{sequence: 1}
	if len(w.segments) > 0 {
		next = w.segments[len(w.segments)-1]
		next.sequence++
	}
	header := segmentHeader{Version: formatVersion, Sequence: next.sequence, HardState: w.hard}
	content, err := appendEncoded(nil, recordSegment, header)
	if err != nil {
		return err
	}
	f, err := w.fs.Create(w.path(segmentName(next.sequence)))
	if err != nil {
		return err
	}
	if w.file != nil {
		if err := w.file.Close(); err != nil {
			return err
		}
	}
	w.file, w.size = f, int64(len(content))
	w.segments = append(w.segments, next)
	if _, err := f.Write(content); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return w.fs.SyncDir(w.dir)
}

// Save stores a hard state, if not nil, and entries. A batch of up to 4 MiB of
// entry data takes one write and one sync. Entries replace stored ones from
// their first index on. After a failed write or sync, every later call returns
// the same error.
func (w *WAL) Save(hard *raft.HardState, entries []raft.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for hard != nil || len(entries) > 0 {
		end := batchEnd(entries)
		if err := w.saveBatch(saveRecord{HardState: hard, Entries: entries[:end]}); err != nil {
			return err
		}
		hard, entries = nil, entries[end:]
	}
	return nil
}

func (w *WAL) saveBatch(record saveRecord) error {
	if w.writeErr != nil {
		return w.writeErr
	}
	buffer, err := appendEncoded(w.buffer[:0], recordSave, record)
	if err != nil {
		return err
	}
	if cap(buffer) <= maxEntryBytesPerRecord {
		w.buffer = buffer
	}
	if record.HardState != nil {
		w.hard = *record.HardState
	}
	if n := len(record.Entries); n > 0 {
		last := &w.segments[len(w.segments)-1]
		last.maxIndex = max(last.maxIndex, record.Entries[n-1].Index)
	}
	return w.write(buffer)
}

// batchEnd returns the number of leading entries that fit into one record.
func batchEnd(entries []raft.Entry) int {
	size, end := 0, 0
	for end < len(entries) && (end == 0 || size+len(entries[end].Data) <= maxEntryBytesPerRecord) {
		size += len(entries[end].Data)
		end++
	}
	return end
}

// write appends buffer to the open segment, syncs it and starts a new segment
// if this one is full.
func (w *WAL) write(buffer []byte) error {
	_, err := w.file.Write(buffer)
	if err == nil {
		err = w.file.Sync()
	}
	w.size += int64(len(buffer))
	w.written += int64(len(buffer))
	if err == nil && w.size >= w.segmentBytes {
		err = w.startSegment()
	}
	w.writeErr = err
	return err
}

func (w *WAL) writeReset(s raft.SnapshotMeta) error {
	buffer, err := appendEncoded(nil, recordReset, resetRecord{Index: s.Index, Term: s.Term})
	if err != nil {
		return err
	}
	last := &w.segments[len(w.segments)-1]
	last.maxIndex = max(last.maxIndex, s.Index)
	return w.write(buffer)
}

// InstallSnapshot stores a snapshot received from another member. It replaces
// the whole log.
func (w *WAL) InstallSnapshot(s raft.Snapshot) error {
	if err := w.SaveSnapshot(s); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writeErr != nil {
		return w.writeErr
	}
	return w.writeReset(s.Meta)
}

// RemoveSegmentsUpTo removes the leading segments that hold only entries up to
// index. A stored snapshot must cover these entries.
func (w *WAL) RemoveSegmentsUpTo(index uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	removed := false
	for len(w.segments) > 1 && w.segments[0].maxIndex <= index {
		if err := w.fs.Remove(w.path(segmentName(w.segments[0].sequence))); err != nil {
			return err
		}
		w.segments = w.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return w.fs.SyncDir(w.dir)
}

// BytesWritten returns the size of the records appended to the log since Open,
// without segment headers.
func (w *WAL) BytesWritten() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// SegmentCount returns the number of stored segments.
func (w *WAL) SegmentCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.segments)
}

// Close closes the open segment.
func (w *WAL) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writeErr == nil {
		w.writeErr = &fault.ShuttingDown{}
	}
	return w.file.Close()
}
