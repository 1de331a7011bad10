// Package silent provides a listener whose established connections can be
// made silent: they stay open, but data in both directions is discarded. New
// connections work normally.
package silent

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection that can be made silent.
type Conn struct {
	net.Conn
	silent    atomic.Bool
	closeOnce sync.Once
	listener  *Listener
}

// Silence makes the connection silent until it is closed.
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

// Close implements net.Conn. A silent connection sends no FIN or RST to the
// peer: the socket stays open until the peer closes it or the listener is
// closed.
func (c *Conn) Close() error {
	if !c.silent.Load() {
		return c.closeNow()
	}
	c.closeOnce.Do(func() {
		go func() {
			_ = c.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.closeNow()
		}()
	})
	return nil
}

func (c *Conn) closeNow() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Listener tracks its open connections and can make them silent.
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

// Silence makes all connections that are currently open silent.
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
		_ = c.closeNow()
	}
	return l.Listener.Close()
}

// Counts returns the peak number of open connections and the total number of
// accepted ones.
func (l *Listener) Counts() (peak, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.total
}

// Open returns the number of connections that are currently open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Dropped returns how many reads were discarded on silent connections. Tests
// poll it to learn that a request has reached the silent connection.
func (l *Listener) Dropped() int64 { return l.dropped.Load() }
