package guard_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/guard"
)

// pipes is a listener whose connections are pipes.
type pipes struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipes) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// host is a guarded server with its clients.
type host struct {
	*testing.T
	listener *pipes
	limits   atomic.Pointer[guard.Limits]
	served   atomic.Int64
	log      bytes.Buffer
}

// run runs a test of a guarded server of h, nil for one that reads the body and answers 200.
func run(t *testing.T, share guard.Share, h http.Handler, test func(h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &host{T: t, listener: &pipes{connections: make(chan net.Conn), closed: make(chan struct{})}}
		limits := guard.DefaultLimits
		r.limits.Store(&limits)
		server := guard.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			r.served.Add(1)
			if h != nil {
				h.ServeHTTP(w, req)
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil && guard.BodyTooLong(req) {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
			}
		}), guard.Config{Name: t.Name(), Share: share, Limits: func() guard.Limits { return *r.limits.Load() }, Log: zerolog.New(&r.log)})
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(r.listener) // returns an error once the server is closed
		}()
		test(r)
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		<-served
	})
}

// answer is what a client needs of an answer.
type answer struct {
	status int
	header http.Header
	closes bool
}

// client is a connection of a client, which reads answers in the background.
type client struct {
	*host
	net.Conn
	answers chan answer
	// ended is closed when the host has closed the connection.
	ended chan struct{}
}

// connect opens a connection.
func (h *host) connect() *client {
	near, far := net.Pipe()
	c := &client{host: h, Conn: near, answers: make(chan answer, 100), ended: make(chan struct{})}
	h.listener.connections <- far
	h.Cleanup(func() { _ = near.Close() })
	go func() {
		defer close(c.ended)
		for r := bufio.NewReader(near); ; {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, res.Body) // the connection may have been closed meanwhile
			_ = res.Body.Close()
			c.answers <- answer{res.StatusCode, res.Header, res.Close}
		}
	}()
	return c
}

// send sends text as far as the host reads it.
func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }() // fails once the connection is closed
	synctest.Wait()
}

// expect checks the status of the next answer, 0 for none so far, and returns the answer.
func (c *client) expect(status int) answer {
	c.Helper()
	synctest.Wait()
	select {
	case res := <-c.answers:
		if res.status != status {
			c.Errorf("answer %d, want %d", res.status, status)
		}
		return res
	default:
		if status != 0 {
			c.Errorf("no answer, want %d", status)
		}
		return answer{}
	}
}

// expectOpen checks whether the connection is open.
func (c *client) expectOpen(open bool) {
	c.Helper()
	synctest.Wait()
	select {
	case <-c.ended:
		if open {
			c.Error("the connection is closed")
		}
	default:
		if !open {
			c.Error("the connection is open")
		}
	}
}

// head returns a head of a length.
func head(length int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: a\r\nLong: ", "\r\n\r\n"
	return begin + strings.Repeat("x", length-len(begin)-len(end)) + end
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// The load: heads over the limit and without end, also empty lines without end.
func TestHeadsOverTheLimit(t *testing.T) {
	run(t, guard.Share{}, nil, func(h *host) {
		h.limits.Store(&guard.Limits{MaxHeadBytes: 5000, MaxBodyBytes: 100, HeadTimeout: time.Second, IdleTimeout: time.Second})
		c := h.connect()
		for range 5 {
			c.send(head(5000))
			c.expect(http.StatusOK)
		}
		c.send(head(5001))
		if res := c.expect(http.StatusRequestHeaderFieldsTooLarge); !res.closes {
			h.Error("the client is not told that the connection is closed")
		}
		<-time.After(time.Second)
		c.expectOpen(false)
		for _, endless := range []string{"GET /", "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 200), "GET / HTTP/1.1\r\nLong: "} {
			c := h.connect()
			c.send(endless + strings.Repeat("a", 10_000))
			c.expect(http.StatusRequestHeaderFieldsTooLarge)
		}
		empty := h.connect()
		empty.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		empty.expect(http.StatusOK)
		empty.send(strings.Repeat("\r\n", 10_000))
		empty.expect(http.StatusBadRequest)
		empty.expectOpen(false)
		if n := h.served.Load(); n != 6 {
			h.Errorf("%d requests served, want 6", n)
		}
		// The limits may change at run time.
		h.limits.Store(&guard.Limits{MaxHeadBytes: 20_000, MaxBodyBytes: 100, HeadTimeout: time.Second, IdleTimeout: time.Second})
		long := h.connect()
		long.send(head(20_000))
		long.expect(http.StatusOK)
	})
}

// The load: heads and idle connections that are kept open, a byte now and then.
func TestSlowClients(t *testing.T) {
	run(t, guard.Share{}, nil, func(h *host) {
		h.limits.Store(&guard.Limits{MaxHeadBytes: 5000, MaxBodyBytes: 100, HeadTimeout: 3 * time.Second, IdleTimeout: 90 * time.Second})
		slow, silent, calm := h.connect(), h.connect(), h.connect()
		calm.send(get)
		calm.expect(http.StatusOK)
		for _, b := range "GET" {
			slow.send(string(b))
			<-time.After(900 * time.Millisecond)
		}
		slow.expectOpen(true)
		silent.expectOpen(true)
		<-time.After(time.Second)
		slow.expectOpen(false)
		silent.expectOpen(false)
		<-time.After(80 * time.Second)
		calm.expectOpen(true)
		calm.send(get)
		calm.expect(http.StatusOK)
		<-time.After(89 * time.Second)
		calm.send("GET / HT")
		<-time.After(2900 * time.Millisecond)
		calm.expectOpen(true)
		<-time.After(time.Second)
		calm.expectOpen(false)
		idle := h.connect()
		idle.send(get)
		idle.expect(http.StatusOK)
		<-time.After(91 * time.Second)
		idle.expectOpen(false)
	})
}

// The load: bodies over the limit, and bodies of which the rest does not come.
func TestBodies(t *testing.T) {
	run(t, guard.Share{}, nil, func(h *host) {
		h.limits.Store(&guard.Limits{MaxHeadBytes: 5000, MaxBodyBytes: 100, HeadTimeout: time.Second, IdleTimeout: time.Second})
		const post = "POST / HTTP/1.1\r\nHost: a\r\n"
		c := h.connect()
		c.send(post + "Content-Length: 100\r\n\r\n" + strings.Repeat("a", 100))
		c.expect(http.StatusOK)
		c.send(post + "Content-Length: 101\r\n\r\n")
		if res := c.expect(http.StatusRequestEntityTooLarge); !res.closes {
			h.Error("the client is not told that the connection is closed")
		}
		if n := h.served.Load(); n != 1 {
			h.Errorf("%d requests served, want 1", n)
		}
		chunked := h.connect()
		chunked.send(post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 101))
		chunked.expect(http.StatusRequestEntityTooLarge)
		silent := h.connect()
		silent.send(post + "Content-Length: 100\r\n\r\naaa")
		<-time.After(29 * time.Second)
		silent.expectOpen(true)
		<-time.After(2 * time.Second)
		silent.expectOpen(false)
	})
}

// The load: more bodies at once than there is room for. What is refused was not served.
func TestBodiesWithoutRoom(t *testing.T) {
	var release chan struct{}
	run(t, guard.Share{MaxConnections: 100, MaxBytes: 1000}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // whole bodies only
		<-release
	}), func(h *host) {
		release = make(chan struct{})
		body := func(n int) string {
			return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("a", n))
		}
		first, second := h.connect(), h.connect()
		first.send(body(600))
		second.send(body(600))
		if res := second.expect(http.StatusServiceUnavailable); !res.closes || res.header.Get("Retry-After") != "1" {
			h.Errorf("refused with %v", res.header)
		}
		if n := h.served.Load(); n != 1 {
			h.Errorf("%d requests served, want 1", n)
		}
		close(release)
		first.expect(http.StatusOK)
		third := h.connect()
		third.send(body(600))
		third.expect(http.StatusOK)
	})
}

// The load: connections up to the limit, all of which wait for an answer or none.
func TestConnectionsWithoutRoom(t *testing.T) {
	var release chan struct{}
	run(t, guard.Share{MaxConnections: 2, MaxBytes: 1000}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }), func(h *host) {
		release = make(chan struct{})
		silent, first, second := h.connect(), h.connect(), (*client)(nil)
		first.send(get)
		second = h.connect()
		silent.expectOpen(false)
		second.send(get)
		third := h.connect()
		third.expect(http.StatusServiceUnavailable)
		third.expectOpen(false)
		close(release)
		first.expect(http.StatusOK)
		second.expect(http.StatusOK)
		next := h.connect()
		next.send(get)
		next.expect(http.StatusOK)
		<-time.After(2 * time.Second)
		synctest.Wait()
		if lines := strings.Count(h.log.String(), "\n"); lines != 1 || !strings.Contains(h.log.String(), `"connections":1`) {
			h.Errorf("log: %s", h.log.String())
		}
	})
}

// The load: a client that does not read its answer.
func TestAnswerThatIsNotRead(t *testing.T) {
	run(t, guard.Share{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 1<<20)) // fails once the connection is closed
	}), func(h *host) {
		near, far := net.Pipe()
		h.listener.connections <- far
		if _, err := io.WriteString(near, get); err != nil {
			h.Fatal(err)
		}
		<-time.After(31 * time.Second)
		synctest.Wait()
		_ = near.SetReadDeadline(time.Now().Add(time.Second))
		n, err := io.Copy(io.Discard, near)
		if n >= 1<<20 || err != nil {
			h.Errorf("%d bytes read, %v; want a connection that was closed", n, err)
		}
	})
}
