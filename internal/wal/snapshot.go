package wal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
)

// A snapshot file consists of one record with the raft.SnapshotMeta, followed
// by records with raft.SnapshotChunkBytes of data each. The last one may be
// shorter.

func snapshotName(s raft.SnapshotMeta) string {
	return fmt.Sprintf("%s%016x-%016x%s", snapshotPrefix, s.Index, s.Term, snapshotSuffix)
}

// loadSnapshots reads and checks the newest snapshot and the metadata of the
// others. A damaged newest snapshot is an error, since entries that it covers
// may have been removed.
func (w *WAL) loadSnapshots(names []string) error {
	for i, name := range names {
		data, err := w.fs.ReadFile(w.path(name))
		if err != nil {
			return err
		}
		s, err := decodeSnapshot(name, data, i == len(names)-1)
		if err != nil {
			return err
		}
		if snapshotName(s.Meta) != name {
			return &fault.Corrupt{What: name, Reason: "the file name does not match the snapshot metadata"}
		}
		w.snapshots = append(w.snapshots, s.Meta)
	}
	return nil
}

func decodeSnapshot(name string, data []byte, withData bool) (raft.Snapshot, error) {
	r := reader{name: name, data: data}
	var s raft.Snapshot
	kind, payload, err := nextComplete(&r)
	if err != nil {
		return s, err
	}
	if kind != recordSnapshotMeta {
		return s, r.corrupt("snapshot file does not start with its metadata")
	}
	if err := codec.Unmarshal(payload, &s.Meta); err != nil {
		return s, r.corrupt("snapshot metadata cannot be decoded")
	}
	if !withData {
		return s, nil
	}
	for {
		kind, payload, err := nextComplete(&r)
		if err != nil {
			return s, err
		}
		if kind == 0 {
			break
		}
		if kind != recordSnapshotChunk {
			return s, r.corrupt("unexpected record in a snapshot")
		}
		s.Data = append(s.Data, payload...)
	}
	if uint64(len(s.Data)) != s.Meta.Size {
		return s, r.corrupt("snapshot data does not have the size given in its metadata")
	}
	return s, nil
}

// nextComplete is reader.next for files that are renamed into place only when
// they are complete. It returns *fault.Corrupt for a torn tail.
func nextComplete(r *reader) (recordType, []byte, error) {
	kind, payload, err := r.next()
	var torn *tornTail
	if errors.As(err, &torn) {
		err = r.corrupt("incomplete record")
	}
	return kind, payload, err
}

// SaveSnapshot stores a snapshot and removes all but the newest two. It does
// not change the log. A snapshot that is not newer than the newest stored one
// is ignored.
func (w *WAL) SaveSnapshot(s raft.Snapshot) error {
	s.Meta.Size = uint64(len(s.Data))
	w.snapMu.Lock()
	defer w.snapMu.Unlock()
	if last := len(w.snapshots) - 1; last >= 0 && w.snapshots[last].Index >= s.Meta.Index {
		return nil
	}
	err := writeFileAtomic(w.fs, w.dir, snapshotName(s.Meta), func(f io.Writer) error {
		buffer, err := appendEncoded(nil, recordSnapshotMeta, s.Meta)
		if err != nil {
			return err
		}
		for rest := s.Data; len(rest) > 0; {
			n := min(len(rest), raft.SnapshotChunkBytes)
			if _, err := f.Write(buffer); err != nil {
				return err
			}
			if buffer, err = appendRecord(buffer[:0], recordSnapshotChunk, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
		}
		_, err = f.Write(buffer)
		return err
	})
	if err != nil {
		return err
	}
	w.snapshots = append(w.snapshots, s.Meta)
	for len(w.snapshots) > maxSnapshots {
		if err := w.fs.Remove(w.path(snapshotName(w.snapshots[0]))); err != nil {
			return err
		}
		w.snapshots = w.snapshots[1:]
	}
	return nil
}

// LoadSnapshot reads the newest snapshot with its data.
func (w *WAL) LoadSnapshot() (raft.Snapshot, error) {
	w.snapMu.Lock()
	defer w.snapMu.Unlock()
	if len(w.snapshots) == 0 {
		return raft.Snapshot{}, &fault.NotFound{Kind: "snapshot", Name: w.dir}
	}
	name := snapshotName(w.snapshots[len(w.snapshots)-1])
	data, err := w.fs.ReadFile(w.path(name))
	if err != nil {
		return raft.Snapshot{}, err
	}
	return decodeSnapshot(name, data, true)
}

// ReadChunk returns the chunk of a stored snapshot that starts at offset, a
// multiple of raft.SnapshotChunkBytes. It returns *fault.NotFound if the
// snapshot is no longer stored.
func (w *WAL) ReadChunk(meta raft.SnapshotMeta, offset uint64) ([]byte, error) {
	w.snapMu.Lock()
	defer w.snapMu.Unlock()
	i := slices.IndexFunc(w.snapshots, func(s raft.SnapshotMeta) bool {
		return s.Index == meta.Index && s.Term == meta.Term
	})
	if i < 0 {
		return nil, &fault.NotFound{Kind: "snapshot", Name: snapshotName(meta)}
	}
	meta = w.snapshots[i]
	if offset == meta.Size {
		return nil, nil
	}
	if offset > meta.Size || offset%raft.SnapshotChunkBytes != 0 {
		return nil, &fault.Invalid{Field: "snapshot offset", Reason: "not the start of a chunk of the snapshot"}
	}
	head, err := appendEncoded(nil, recordSnapshotMeta, meta)
	if err != nil {
		return nil, err
	}
	length := min(meta.Size-offset, raft.SnapshotChunkBytes)
	position := uint64(len(head)) + offset/raft.SnapshotChunkBytes*uint64(recordBytes(raft.SnapshotChunkBytes))
	buffer := make([]byte, recordBytes(int(length)))
	name := snapshotName(meta)
	if err := w.fs.ReadAt(w.path(name), buffer, int64(position)); err != nil {
		return nil, err
	}
	r := reader{name: name, data: buffer}
	kind, payload, err := nextComplete(&r)
	if err == nil && (kind != recordSnapshotChunk || uint64(len(payload)) != length) {
		err = r.corrupt("unexpected record in a snapshot")
	}
	return payload, err
}

// Identity identifies the replica that a data directory belongs to.
type Identity struct {
	Group       string `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
}

// MemberID returns the member id of the replica.
func (i Identity) MemberID() string { return raft.MemberID(i.Host, i.Incarnation) }

// LoadIdentity reads the identity file of a directory. It returns
// *fault.NotFound if there is none.
func LoadIdentity(fs FS, dir string) (Identity, error) {
	var id Identity
	if err := fs.MkdirAll(dir); err != nil {
		return id, err
	}
	names, err := fs.List(dir)
	if err != nil {
		return id, err
	}
	found := false
	for _, name := range names {
		found = found || name == identityName
	}
	if !found {
		return id, &fault.NotFound{Kind: "identity file", Name: strings.TrimSuffix(dir, "/")}
	}
	w := WAL{dir: dir}
	data, err := fs.ReadFile(w.path(identityName))
	if err != nil {
		return id, err
	}
	r := reader{name: identityName, data: data}
	kind, payload, err := nextComplete(&r)
	if err != nil {
		return id, err
	}
	if kind != recordIdentity || codec.Unmarshal(payload, &id) != nil {
		return id, r.corrupt("identity record has another type or cannot be decoded")
	}
	return id, nil
}

// SaveIdentity writes the identity file durably.
func SaveIdentity(fs FS, dir string, id Identity) error {
	if err := fs.MkdirAll(dir); err != nil {
		return err
	}
	content, err := appendEncoded(nil, recordIdentity, id)
	if err != nil {
		return err
	}
	return writeFileAtomic(fs, dir, identityName, func(f io.Writer) error {
		_, err := f.Write(content)
		return err
	})
}
