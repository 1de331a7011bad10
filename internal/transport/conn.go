package transport

import (
	"net"
	"sync"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Conn is a network connection that counts its writes and can be sealed. With
// HTTP/1.1 a connection carries one request at a time, so an unchanged count
// proves that no byte of a request was sent.
type Conn struct {
	net.Conn
	onClose func()

	mu     sync.Mutex
	writes int64
	sealed bool
	closed sync.Once
}

// Write implements net.Conn. A sealed connection returns *fault.Unavailable.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, &fault.Unavailable{What: "connection", Reason: "it has been sealed"}
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

// Writes returns the number of writes started so far.
func (c *Conn) Writes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Seal makes all later writes fail and returns the number of writes started so
// far, which is then final.
func (c *Conn) Seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}
