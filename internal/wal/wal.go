// Package wal stores the log, hard state, snapshots and identity of one
// replica in one directory. Everything that a call has stored is durable when
// it returns, unless it says otherwise.
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
	// formatVersion changes when an older reader would misread the files.
	formatVersion = 1
	// DefaultSegmentBytes is the size at which a new segment is started.
	DefaultSegmentBytes = 16 << 20
	// keptSnapshots keeps the previous snapshot readable for a transfer that
	// is under way when a new one is written.
	keptSnapshots = 2
	// entriesPerRecordBytes bounds the entries of one record.
	entriesPerRecordBytes = 4 << 20
)

// Options configure a WAL.
type Options struct {
	// FS defaults to the operating system's.
	FS  FS
	Dir string
	// SegmentBytes defaults to DefaultSegmentBytes.
	SegmentBytes int64
}

// State is what Open found on disk.
type State struct {
	HardState raft.HardState
	// Snapshot is the latest snapshot without its data; zero if there is none.
	Snapshot raft.SnapshotMeta
	// Entries are the entries after the snapshot.
	Entries []raft.Entry
	// TruncatedBytes counts the bytes of a torn tail that were cut off.
	TruncatedBytes int64
}

// segment describes one log file. maxIndex is the highest entry index in it.
type segment struct {
	sequence uint64
	maxIndex uint64
}

// WAL is the storage of one replica. Save may run concurrently with
// SaveSnapshot and ReadChunk; it is otherwise safe for concurrent use.
type WAL struct {
	fs      FS
	dir     string
	maxSize int64

	mu       sync.Mutex
	file     File
	size     int64
	written  int64
	segments []segment // ascending, the last one is open
	hard     raft.HardState
	buffer   []byte
	// failed is the first error of a write or sync. After a failed sync the
	// state of the file is unknown, so nothing may be written any more.
	failed error

	snapMu    sync.Mutex
	snapshots []raft.SnapshotMeta // ascending
}

// segmentHeader is the first record of a segment. It repeats the hard state,
// so that older segments are not needed for it.
type segmentHeader struct {
	Version   uint64         `cbor:"1,keyasint"`
	Sequence  uint64         `cbor:"2,keyasint"`
	HardState raft.HardState `cbor:"3,keyasint"`
}

// saveRecord is what one sync stores. HardState is nil if it did not change.
type saveRecord struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

type resetRecord struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// Open reads the directory, cuts off a torn tail and prepares the WAL for
// writing. It returns *fault.Corrupt if stored data fails its checks.
func Open(opts Options) (*WAL, State, error) {
	w := &WAL{fs: opts.FS, dir: opts.Dir, maxSize: opts.SegmentBytes}
	if w.fs == nil {
		w.fs = OSFS{}
	}
	if w.maxSize <= 0 {
		w.maxSize = DefaultSegmentBytes
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
			_ = w.file.Close() // the first error tells more
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
		return 0, &fault.Corrupt{What: name, Reason: "not a segment name"}
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
		return state, &fault.Corrupt{What: w.dir, Reason: "there is a snapshot but no log"}
	}
	p := replayer{}
	for i, name := range names {
		sequence, err := parseSegmentName(name)
		if err != nil {
			return state, err
		}
		if i > 0 && sequence != w.segments[i-1].sequence+1 {
			return state, &fault.Corrupt{What: name, Reason: "the segment before it is missing"}
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
			return state, &fault.Corrupt{What: name, Offset: torn.offset, Reason: "incomplete record before the last segment"}
		}
		if err := w.cutTail(name, torn.offset); err != nil {
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

// cutTail removes a torn tail durably, so that it is not mistaken for damage
// once more records follow.
func (w *WAL) cutTail(name string, offset int64) error {
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

// openLast opens the last segment, or starts the first one. If the stored
// entries were discarded in favour of a snapshot, it records that.
func (w *WAL) openLast(discarded bool, snapshot raft.SnapshotMeta) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.segments) == 0 || w.size == 0 {
		// A crash during a rotation can leave a last segment without header.
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
	content, err := appendValue(nil, recordSegment, header)
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

// Save stores a hard state, if it is not nil, and entries. A batch of up to 4
// MiB is one write and one sync. Entries replace stored ones from their first
// index on. After an error every later call returns the same error.
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
	if w.failed != nil {
		return w.failed
	}
	buffer, err := appendValue(w.buffer[:0], recordSave, record)
	if err != nil {
		return err
	}
	if cap(buffer) <= entriesPerRecordBytes {
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

// batchEnd returns the number of leading entries that fit one record.
func batchEnd(entries []raft.Entry) int {
	size, end := 0, 0
	for end < len(entries) && (end == 0 || size+len(entries[end].Data) <= entriesPerRecordBytes) {
		size += len(entries[end].Data)
		end++
	}
	return end
}

// write appends and syncs, then starts a new segment if this one is full.
func (w *WAL) write(buffer []byte) error {
	_, err := w.file.Write(buffer)
	if err == nil {
		err = w.file.Sync()
	}
	w.size += int64(len(buffer))
	w.written += int64(len(buffer))
	if err == nil && w.size >= w.maxSize {
		err = w.startSegment()
	}
	w.failed = err
	return err
}

func (w *WAL) writeReset(s raft.SnapshotMeta) error {
	buffer, err := appendValue(nil, recordReset, resetRecord{Index: s.Index, Term: s.Term})
	if err != nil {
		return err
	}
	last := &w.segments[len(w.segments)-1]
	last.maxIndex = max(last.maxIndex, s.Index)
	return w.write(buffer)
}

// InstallSnapshot stores a snapshot received from the leader; it replaces the
// whole log.
func (w *WAL) InstallSnapshot(s raft.Snapshot) error {
	if err := w.SaveSnapshot(s); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed != nil {
		return w.failed
	}
	return w.writeReset(s.Meta)
}

// RemoveSegmentsUpTo removes the segments that hold only entries up to index, which
// must be covered by a stored snapshot.
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

// BytesWritten returns the bytes of records appended since Open.
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
	if w.failed == nil {
		w.failed = &fault.ShuttingDown{}
	}
	return w.file.Close()
}
