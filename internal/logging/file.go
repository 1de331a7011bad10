package logging

import (
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// File is a log file that rotates at a size limit. When it is full it is renamed
// to "<path>.1", replacing the previous one, so that the log uses at most twice
// the limit. It is safe for concurrent use.
type File struct {
	mu    sync.Mutex
	path  string
	limit int64
	file  *os.File
	size  int64
}

// OpenFile opens or creates the log file at path with a size limit in bytes.
func OpenFile(path string, limit int64) (*File, error) {
	f := &File{path: path, limit: limit}
	return f, f.open()
}

func (f *File) open() error {
	file, err := os.OpenFile(f.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	info, err := file.Stat()
	if err != nil {
		return eris.Wrap(err, "read size of log file")
	}
	f.file, f.size = file, info.Size()
	return nil
}

// Write implements io.Writer. Each call must write one whole log line, which is
// never split over two files.
func (f *File) Write(line []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.size > 0 && f.size+int64(len(line)) > f.limit {
		if err := f.rotate(); err != nil {
			return 0, err
		}
	}
	n, err := f.file.Write(line)
	f.size += int64(n)
	return n, eris.Wrap(err, "write log file")
}

func (f *File) rotate() error {
	if err := f.file.Close(); err != nil {
		return eris.Wrap(err, "close log file")
	}
	if err := os.Rename(f.path, f.path+".1"); err != nil {
		return eris.Wrap(err, "rename log file")
	}
	return f.open()
}

// Close implements io.Closer.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return eris.Wrap(f.file.Close(), "close log file")
}
