package guard_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
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

// The load: clients that begin bodies of unknown length and send little, where long bodies are
// permitted. Each holds what it has sent, and those that send on are refused once there is no room.
func TestBodiesOfUnknownLength(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\n"
	chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("a", n)) }
	var release chan struct{}
	run(t, guard.Share{MaxConnections: 100, MaxBytes: 1 << 20}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var unavailable *fault.Unavailable
		n, err := io.Copy(io.Discard, r.Body)
		if errors.As(err, &unavailable) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if n == 1_000_000 {
			<-release
		}
		w.Header().Set("Bytes", strconv.FormatInt(n, 10))
	}), func(h *host) {
		h.limits.Store(&guard.Limits{MaxHeadBytes: 5000, MaxBodyBytes: 1 << 30, HeadTimeout: time.Second, IdleTimeout: time.Second})
		release = make(chan struct{})
		calm := h.connect()
		calm.send(post + "Content-Length: 100\r\n\r\naaa")
		silent := h.connect()
		silent.send(post + "Transfer-Encoding: chunked\r\n\r\n" + chunk(1))
		calm.expectOpen(true)
		calm.send(strings.Repeat("a", 97))
		calm.expect(http.StatusOK)
		long := h.connect()
		long.send(post + "Transfer-Encoding: chunked\r\n\r\n" + chunk(500_000) + "0\r\n\r\n")
		if res := long.expect(http.StatusOK); res.header.Get("Bytes") != "500000" {
			h.Errorf("answered %v", res.header)
		}
		busy := h.connect()
		busy.send(post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("a", 1_000_000))
		silent.send(chunk(100_000))
		silent.expect(http.StatusServiceUnavailable)
		close(release)
		busy.expect(http.StatusOK)
	})
}

// The load: a request with the beginning of the next one, the rest of which does not come.
func TestPipelinedHeadIsSlow(t *testing.T) {
	run(t, guard.Share{}, nil, func(h *host) {
		h.limits.Store(&guard.Limits{MaxHeadBytes: 5000, MaxBodyBytes: 100, HeadTimeout: 3 * time.Second, IdleTimeout: 90 * time.Second})
		c := h.connect()
		c.send(get + "GET / HT")
		c.expect(http.StatusOK)
		<-time.After(2900 * time.Millisecond)
		c.expectOpen(true)
		<-time.After(time.Second)
		c.expectOpen(false)
	})
}
