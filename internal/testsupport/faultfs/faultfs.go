// Package faultfs is an in-memory file system for tests that injects failed
// writes and syncs and crashes that lose unsynced data.
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

// Op names an operation that can be made to fail.
type Op string

// Operations that can be made to fail.
const (
	OpWrite  Op = "write"
	OpSync   Op = "sync"
	OpRename Op = "rename"
)

// FS is an in-memory wal.FS. Data survives Crash only up to the last Sync of
// its file, and names only up to the last SyncDir. It is safe for concurrent
// use.
type FS struct {
	mu      sync.Mutex
	files   map[string]*node
	durable map[string]*node // names as of the last SyncDir of their directory
	failIn  map[Op]int
	syncs   int
	full    bool
	open    int // files
	// generation invalidates files that were open at a crash.
	generation int
}

type node struct {
	data   []byte
	synced int
}

var _ wal.FS = (*FS)(nil)

// New returns an empty file system.
func New() *FS {
	return &FS{files: map[string]*node{}, durable: map[string]*node{}, failIn: map[Op]int{}}
}

// FailAfter makes the operation fail once after n more successful calls. A
// failing write stores half of its data.
func (f *FS) FailAfter(op Op, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failIn[op] = n + 1
}

// SetFull makes every write fail until it is called with false. A failing
// write stores half of its data.
func (f *FS) SetFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

// OpenFileCount returns how many files are open.
func (f *FS) OpenFileCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// SyncCount returns the number of file syncs.
func (f *FS) SyncCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crash forgets names that were not synced, and of every file a random part
// of its unsynced data: what remains is cut short, and sectors that were never
// written read as zeros.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.failIn = map[Op]int{}
	f.files = map[string]*node{}
	for _, path := range sortedPaths(f.durable) {
		old := f.durable[path]
		n := &node{data: slices.Clone(old.data)}
		if unsynced := len(n.data) - old.synced; unsynced > 0 {
			n.data = n.data[:old.synced+random.IntN(unsynced+1)]
			dropSectors(n.data, old.synced, random)
		}
		n.synced = len(n.data)
		f.files[path], f.durable[path] = n, n
	}
}

// dropSectors zeroes about a quarter of the sectors after the synced part.
func dropSectors(data []byte, synced int, random *rand.Rand) {
	const sector = 512
	for at := synced; at < len(data); {
		end := min(len(data), (at/sector+1)*sector)
		if random.IntN(4) == 0 {
			clear(data[at:end])
		}
		at = end
	}
}

func sortedPaths(files map[string]*node) []string {
	paths := make([]string, 0, len(files))
	for path := range files {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

// Wipe removes everything, like a replaced disk.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.failIn = map[Op]int{}
	f.files, f.durable = map[string]*node{}, map[string]*node{}
}

// Edit changes the content of a file, as damage would.
func (f *FS) Edit(path string, change func(data []byte) []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[path]
	n.data = change(n.data)
	n.synced = len(n.data)
}

func (f *FS) fail(op Op) error {
	left, ok := f.failIn[op]
	if !ok {
		return nil
	}
	if left--; left > 0 {
		f.failIn[op] = left
		return nil
	}
	delete(f.failIn, op)
	return &fault.Unavailable{What: "disk", Reason: fmt.Sprintf("injected %s failure", op)}
}

func missing(path string) error { return &fault.NotFound{Kind: "file", Name: path} }

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
	n := &node{}
	f.files[path] = n
	return f.opened(n), nil
}

// OpenAppend implements wal.FS.
func (f *FS) OpenAppend(path string) (wal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		return nil, missing(path)
	}
	return f.opened(n), nil
}

func (f *FS) opened(n *node) *file {
	f.open++
	return &file{fs: f, node: n, generation: f.generation}
}

// ReadFile implements wal.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		return nil, missing(path)
	}
	return slices.Clone(n.data), nil
}

// ReadAt implements wal.FS.
func (f *FS) ReadAt(path string, buffer []byte, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok || offset+int64(len(buffer)) > int64(len(n.data)) {
		return missing(path)
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
		return missing(path)
	}
	n.data = n.data[:size:size]
	n.synced = min(n.synced, int(size))
	return nil
}

// Rename implements wal.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail(OpRename); err != nil {
		return err
	}
	n, ok := f.files[from]
	if !ok {
		return missing(from)
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
		return missing(path)
	}
	delete(f.files, path)
	return nil
}

// SyncDir implements wal.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path := range f.durable {
		if filepath.Dir(path) == filepath.Clean(dir) {
			delete(f.durable, path)
		}
	}
	for path, n := range f.files {
		if filepath.Dir(path) == filepath.Clean(dir) {
			f.durable[path] = n
		}
	}
	return nil
}

type file struct {
	fs         *FS
	node       *node
	generation int
}

func (h *file) stale() error {
	if h.generation != h.fs.generation {
		return &fault.Unavailable{What: "disk", Reason: "the process that opened the file has crashed"}
	}
	return nil
}

// Write implements io.Writer.
func (h *file) Write(p []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.stale(); err != nil {
		return 0, err
	}
	err := h.fs.fail(OpWrite)
	if h.fs.full {
		err = &fault.Unavailable{What: "disk", Reason: "it is full"}
	}
	if err != nil {
		h.node.data = append(h.node.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	h.node.data = append(h.node.data, p...)
	return len(p), nil
}

// Sync implements wal.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.stale(); err != nil {
		return err
	}
	if err := h.fs.fail(OpSync); err != nil {
		return err
	}
	h.fs.syncs++
	h.node.synced = len(h.node.data)
	return nil
}

// Close implements wal.File.
func (h *file) Close() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.fs.open--
	return nil
}
