package wal

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/rotisserie/eris"
)

// FS is the part of a file system that this package uses. Tests inject faults
// with package faultfs.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in dir in ascending order.
	List(dir string) ([]string, error)
	// Create creates an empty file, replacing an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writes at its end.
	OpenAppend(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadAt fills buffer from the given offset. It returns an error if the file
	// ends before the buffer is full.
	ReadAt(path string, buffer []byte, offset int64) error
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed directory entries durable.
	SyncDir(dir string) error
}

// File is a file open for appending. Its data is durable only after Sync.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

const (
	// Only the owner may read the files: configurations in them hold the keys of callers.
	dirMode  = 0o700
	fileMode = 0o600
)

// OSFS is the file system of the operating system.
type OSFS struct{}

// MkdirAll implements FS. It bars others from a directory that exists: files of earlier versions
// in it may be readable by them.
func (OSFS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create directory")
	}
	err := os.Chmod(dir, dirMode)
	if errors.Is(err, os.ErrPermission) || errors.Is(err, errors.ErrUnsupported) {
		// It belongs to somebody else, or the file system has no modes to change. New files
		// in it are still the owner's alone.
		return nil
	}
	return eris.Wrap(err, "restrict directory")
}

// List implements FS.
func (OSFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "list directory")
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Create implements FS.
func (OSFS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	return f, eris.Wrap(err, "create file")
}

// OpenAppend implements FS.
func (OSFS) OpenAppend(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	return f, eris.Wrap(err, "open file")
}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, eris.Wrap(err, "read file")
}

// ReadAt implements FS.
func (OSFS) ReadAt(path string, buffer []byte, offset int64) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open file")
	}
	_, err = f.ReadAt(buffer, offset)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "read file")
}

// Truncate implements FS.
func (OSFS) Truncate(path string, size int64) error {
	return eris.Wrap(os.Truncate(path, size), "truncate file")
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return eris.Wrap(os.Rename(from, to), "rename file") }

// Remove implements FS.
func (OSFS) Remove(path string) error { return eris.Wrap(os.Remove(path), "remove file") }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open directory")
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return eris.Wrap(err, "sync directory")
}

// writeFileAtomic writes a temporary file, syncs it and renames it, so that a
// file of the given name is always complete.
func writeFileAtomic(fs FS, dir, name string, content func(io.Writer) error) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	f, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	err = content(f)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := fs.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}
