// Package faultfs provides an in-memory file system for tests that injects
// operation failures, full disks, and crashes that lose unsynced data.
package faultfs

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sort"
	"sync"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/wal"
)

// Op is a type of operation that can be made to fail.
type Op string

// Operations that can be made to fail.
const (
	OpWrite  Op = "write"
	OpSync   Op = "sync"
	OpRename Op = "rename"
)

// FS is an in-memory wal.FS. A Crash keeps the data of a file up to its last
// Sync, and created, renamed and removed names up to the last SyncDir. It is
// safe for concurrent use.
type FS struct {
	mu                sync.Mutex
	files             map[string]*inode
	durableFiles      map[string]*inode // names as of the last SyncDir of their directory
	callsUntilFailure map[Op]int
	syncs             int
	full              bool
	openFiles         int
	// generation counts crashes and wipes. It invalidates the files that were
	// open before.
	generation int
}

type inode struct {
	data   []byte
	synced int
}

var _ wal.FS = (*FS)(nil)

// New returns an empty file system.
func New() *FS {
	return &FS{files: map[string]*inode{}, durableFiles: map[string]*inode{}, callsUntilFailure: map[Op]int{}}
}

// FailAfter makes the operation op fail once after n more successful calls. A
// failed write stores half of its data.
func (f *FS) FailAfter(op Op, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callsUntilFailure[op] = n + 1
}

// SetFull makes every write fail until it is called with false. A failed write
// stores half of its data.
func (f *FS) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// OpenFileCount returns the number of open files.
func (f *FS) OpenFileCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openFiles
}

// SyncCount returns the number of successful file syncs.
func (f *FS) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crash undoes changes of names that were not synced, and loses a random part
// of the unsynced data of every file: its end is truncated, and random sectors
// of the rest read as zeros, as if they had never been written.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.callsUntilFailure = map[Op]int{}
	f.files = map[string]*inode{}
	for _, path := range sortedPaths(f.durableFiles) {
		old := f.durableFiles[path]
		n := &inode{data: slices.Clone(old.data)}
		if unsynced := len(n.data) - old.synced; unsynced > 0 {
			n.data = n.data[:old.synced+random.IntN(unsynced+1)]
			zeroSectors(n.data, old.synced, random)
		}
		n.synced = len(n.data)
		f.files[path], f.durableFiles[path] = n, n
	}
}

// zeroSectors zeroes each sector after the synced part with a probability of 1/4.
func zeroSectors(data []byte, synced int, random *rand.Rand) {
	const sector = 512
	for at := synced; at < len(data); {
		end := min(len(data), (at/sector+1)*sector)
		if random.IntN(4) == 0 {
			clear(data[at:end])
		}
		at = end
	}
}

func sortedPaths(files map[string]*inode) []string {
	paths := make([]string, 0, len(files))
	for path := range files {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// Wipe removes all files, like the replacement of the disk.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.callsUntilFailure = map[Op]int{}
	f.files, f.durableFiles = map[string]*inode{}, map[string]*inode{}
}

// Edit replaces the content of a file durably with the result of change, for
// example to simulate damage.
func (f *FS) Edit(path string, change func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[path]
	n.data = change(n.data)
	n.synced = len(n.data)
}

// injectedError returns the error to be injected into the current call of op, or
// nil.
func (f *FS) injectedError(op Op) error {
	left, ok := f.callsUntilFailure[op]
	if !ok {
		return nil
	}
	if left--; left > 0 {
		f.callsUntilFailure[op] = left
		return nil
	}
	delete(f.callsUntilFailure, op)
	return &fault.Unavailable{What: "disk", Reason: fmt.Sprintf("injected %s failure", op)}
}

func notFound(path string) error { return &fault.NotFound{Kind: "file", Name: path} }

// MkdirAll implements wal.FS.
func (*FS) MkdirAll(string) error { return nil }

// List implements wal.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, path := range sortedPaths(f.files) {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

// Create implements wal.FS.
func (f *FS) Create(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{}
	f.files[path] = n
	return f.newHandle(n), nil
}

// OpenAppend implements wal.FS.
func (f *FS) OpenAppend(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		return nil, notFound(path)
	}
	return f.newHandle(n), nil
}

func (f *FS) newHandle(n *inode) *file {
	f.openFiles++
	return &file{fs: f, inode: n, generation: f.generation}
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		return nil, notFound(path)
	}
	return slices.Clone(n.data), nil
}

// ReadAt implements wal.FS.
func (f *FS) ReadAt(path string, buffer []byte, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok || offset+int64(len(buffer)) > int64(len(n.data)) {
		return notFound(path)
	}
	copy(buffer, n.data[offset:])
	return nil
}

// Truncate implements wal.FS.
func (f *FS) Truncate(path string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		return notFound(path)
	}
	n.data = n.data[:size:size]
	n.synced = min(n.synced, int(size))
	return nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.injectedError(OpRename); err != nil {
		return err
	}
	n, ok := f.files[from]
	if !ok {
		return notFound(from)
	}
	delete(f.files, from)
	f.files[to] = n
	return nil
}

// Remove implements wal.FS.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.files[path]; !ok {
		return notFound(path)
	}
	delete(f.files, path)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path := range f.durableFiles {
		if filepath.Dir(path) == filepath.Clean(dir) {
			delete(f.durableFiles, path)
		}
	}
	for path, n := range f.files {
		if filepath.Dir(path) == filepath.Clean(dir) {
			f.durableFiles[path] = n
		}
	}
	return nil
}

type file struct {
	fs         *FS
	inode      *inode
	generation int
}

func (h *file) checkOpen() error {
	if h.generation != h.fs.generation {
		return &fault.Unavailable{What: "disk", Reason: "the process that opened the file has crashed"}
	}
	return nil
}

// Write implements io.Writer.
func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	err := h.fs.injectedError(OpWrite)
	if h.fs.full {
		err = &fault.Unavailable{What: "disk", Reason: "it is full"}
	}
	if err != nil {
		h.inode.data = append(h.inode.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.inode.data = append(h.inode.data, p...)
	return len(p), nil
}

// Sync implements wal.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	if err := h.fs.injectedError(OpSync); err != nil {
		return err
	}
	h.fs.syncs++
	h.inode.synced = len(h.inode.data)
	return nil
}

// Close implements wal.File.
func (h *file) Close() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.fs.openFiles--
	return nil
}
