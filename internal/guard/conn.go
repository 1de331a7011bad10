package guard

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// conn is a connection of a guarded listener. Its fields are used by the goroutine that
// serves it, and by the server's read in the background, which it waits for.
type conn struct {
	net.Conn
	guard  *guard
	holder holder

	// inBody is set from the end of a head to the answer.
	inBody bool
	// waits is set from an answer until the next request begins.
	waits bool
	// idleSet is set once the time until the next request has been set.
	idleSet bool
	// headBytes and headLines count the head that is being read.
	headBytes, headLines int
	// headHeld is what the head holds.
	headHeld int64
}

const (
	// lingerTime and lingerBytes bound what is read from a client after its head was refused:
	// a connection that is closed with unread data is reset, and the client may lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Read implements net.Conn. While a head is being read it returns io.EOF at the limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.inBody {
		return c.Conn.Read(p)
	}
	room := c.guard.limits().MaxHeadBytes - c.headBytes
	if room <= 0 {
		c.guard.refused.count(reasonHead)
		c.refuse(p, http.StatusRequestHeaderFieldsTooLarge)
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), room)])
	c.headBytes += n
	c.headLines += bytes.Count(p[:n], []byte{'\n'})
	if cost := headCost(c.headBytes, c.headLines); cost > c.headHeld {
		if !c.guard.hold(c, cost-c.headHeld) {
			c.refuse(p, http.StatusServiceUnavailable)
			return 0, io.EOF
		}
		c.headHeld = cost
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.waits {
		c.guard.refused.count(reasonSlowHead)
	}
	return n, err
}

// Write implements net.Conn. A client that does not read keeps it waiting.
func (c *conn) Write(p []byte) (int, error) {
	c.guard.answer(c)
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn. The server sets a deadline for a head, none for a body,
// and one for the time until the next request; the times are those of the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero() || c.inBody:
		return c.Conn.SetReadDeadline(t)
	case c.waits && !c.idleSet:
		c.idleSet = true // the next time is for a head, a part of which may have been read already
		return c.Conn.SetReadDeadline(time.Now().Add(c.guard.limits().IdleTimeout))
	}
	c.waits = false
	return c.Conn.SetReadDeadline(time.Now().Add(c.guard.limits().HeadTimeout))
}

// headRead is called when the head of a request has been read or refused.
func (c *conn) headRead() {
	c.inBody, c.waits = true, false
	_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails on closed connections only
}

// answered is called when a request has been answered.
func (c *conn) answered() {
	c.inBody, c.waits, c.idleSet = false, true, false
	c.headBytes, c.headLines, c.headHeld = 0, 0, 0
	c.guard.move(c, idle)
}

// refuse answers a request whose head is not read any further, and reads a part of what the
// client still sends.
func (c *conn) refuse(p []byte, status int) {
	_ = c.SetDeadline(time.Now().Add(lingerTime)) // as below
	if _, err := c.Conn.Write(refusal(status)); err != nil {
		return // the client has closed the connection
	}
	closeWrite(c.Conn)
	for n := 0; n < lingerBytes; {
		m, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		n += m
	}
}

// refusal returns an answer that closes the connection. Nothing has been done for the request.
func refusal(status int) []byte {
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + strconv.Itoa(retryAfterSeconds) + "\r\n"
	}
	return []byte("HTTP/1.1 " + text + "\r\n" + retry + "Connection: close\r\nContent-Length: 0\r\n\r\n")
}

// retryAfterSeconds is the delay after which a client that was refused may try again.
const retryAfterSeconds = 1

// answerAndClose refuses a connection of which nothing was read. The answer fits into the
// empty buffer of the connection.
func answerAndClose(raw net.Conn, status int) {
	_ = raw.SetDeadline(time.Now().Add(lingerTime)) // fails on closed connections only
	_, _ = raw.Write(refusal(status))               // as above
	closeWrite(raw)
	_ = raw.Close()
}

// closeWrite tells the client that nothing follows.
func closeWrite(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // fails on closed connections only
	}
}
