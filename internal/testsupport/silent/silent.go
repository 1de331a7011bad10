// Package silent provides a listener whose established connections can go
// silent while new ones work: what they receive is dropped and what they send
// is swallowed, and they stay open.
package silent

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection that can go silent.
type Conn struct {
	net.Conn
	silent   atomic.Bool
	lingers  sync.Once
	listener *Listener
}

// Silence makes the connection silent for ever.
func (c *Conn) Silence() { c.silent.Store(true) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
		c.listener.dropped.Add(1)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other side is not told that a silent
// connection was closed: it stays open until that side or the listener closes.
func (c *Conn) Close() error {
	if !c.silent.Load() {
		return c.end()
	}
	c.lingers.Do(func() {
		go func() {
			_ = c.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.end()
		}()
	})
	return nil
}

func (c *Conn) end() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Listener tracks its open connections.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	open  map[*Conn]struct{}
	peak  int
	total int

	dropped atomic.Int64
}

// NewListener wraps l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, open: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	l.total++
	l.peak = max(l.peak, len(l.open))
	return c, nil
}

// Silence makes all connections that are open now silent.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Silence()
	}
}

// Close implements net.Listener. It also closes silent connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	var silent []*Conn
	for c := range l.open {
		if c.silent.Load() {
			silent = append(silent, c)
		}
	}
	l.mu.Unlock()
	for _, c := range silent {
		_ = c.end()
	}
	return l.Listener.Close()
}

// Counts returns the largest number of connections open at once and the
// number accepted.
func (l *Listener) Counts() (peak, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.total
}

// Open returns the number of connections open now.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Dropped returns how many reads of silent connections were dropped. Tests
// wait on it to know that a request has been sent.
func (l *Listener) Dropped() int64 { return l.dropped.Load() }
