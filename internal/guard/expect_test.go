package guard_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"agatehaven.dev/agatehaven/internal/guard"
)

const expects = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 50\r\n\r\n"

// The load: a client that sends its body only once it is asked to, and whose request is
// answered without it. The answer does not wait for the body.
func TestExpectedBodyIsNotNeeded(t *testing.T) {
	run(t, guard.Share{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	}), func(h *host) {
		c := h.connect()
		c.send(expects)
		if res := c.expect(http.StatusNotFound); !res.closes {
			h.Error("the client is not told that the connection is closed")
		}
	})
}

// The load: clients that are asked for their bodies and do not send them. They are closed before
// an answer that is being sent.
func TestExpectedBodiesDoNotCome(t *testing.T) {
	run(t, guard.Share{MaxConnections: 2, MaxBytes: 1000}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails once the connection is closed
		_, _ = w.Write(make([]byte, 1<<20))
	}), func(h *host) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		h.listener.connections <- far
		if _, err := io.WriteString(near, get); err != nil {
			h.Fatal(err)
		}
		<-time.After(time.Second)
		silent := h.connect()
		silent.send(expects)
		silent.expect(http.StatusContinue)
		next := h.connect()
		silent.expectOpen(false)
		next.expectOpen(true)
	})
}

// The load: a connection is closed for others as its body ends. What is not answered does not
// run.
func TestClosedConnectionsAreNotServed(t *testing.T) {
	whole := 0
	run(t, guard.Share{MaxConnections: 1, MaxBytes: 1000}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-time.After(time.Second) // the body is there, and has not been read
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole++
		}
	}), func(h *host) {
		c := h.connect()
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na")
		h.connect()
		c.expectOpen(false)
		<-time.After(2 * time.Second)
		synctest.Wait()
		if whole != 0 {
			h.Error("a request whose connection was closed was read to its end")
		}
	})
}
