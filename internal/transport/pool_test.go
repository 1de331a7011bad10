package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
	"agatehaven.dev/agatehaven/internal/transport"
)

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}

var _ = Describe("Pool", func() {
	var (
		listener *silent.Listener
		hold     chan struct{}
		pool     *transport.Pool
	)
	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener, hold = silent.NewListener(l), make(chan struct{})
		release := hold
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-release
			}
		})}
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		DeferCleanup(func() {
			select {
			case <-release:
			default:
				close(release)
			}
		})
		pool = transport.NewPool(transport.Config{
			Address: l.Addr().String(), MaxConns: 1, Clock: clock.NewManual(time.UnixMilli(0)),
		})
	})
	get := func(l *transport.Lease, path string) error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+listener.Addr().String()+path, nil)
		if err != nil {
			return err
		}
		resp, err := l.RoundTrip(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		l.Release()
		return err
	}

	It("keeps to MaxConns over all generations", func() {
		// Guards against replacements of silent connections that use up the
		// connections allowed to a target.
		first := pool.Acquire()
		done := make(chan error, 2)
		go func() { done <- get(first, "/hold") }()
		Eventually(listener.Open).Should(Equal(1))
		first.Discard()
		go func() { done <- get(pool.Acquire(), "/") }()
		Consistently(func() int { _, total := listener.Counts(); return total }, "50ms").Should(Equal(1))
		close(hold)
		Eventually(done).Should(Receive(BeNil()))
		Eventually(done).Should(Receive(BeNil()))
		_, total := listener.Counts()
		Expect(total).To(Equal(2))
	})

	It("closes an idle connection to free its slot for a fresh one", func() {
		// Guards against a start that waits while an idle connection holds the
		// last slot.
		Expect(get(pool.Acquire(), "/")).To(Succeed())
		done := make(chan error, 1)
		go func() { done <- get(pool.AcquireFresh(), "/") }()
		Eventually(done).Should(Receive(BeNil()))
		Eventually(listener.Open).Should(BeZero())
		Expect(get(pool.Acquire(), "/")).To(Succeed())
	})

	It("reports after sealing whether anything was written", func() {
		// Guards against a write after Seal has reported that there was none.
		raw, other := net.Pipe()
		DeferCleanup(raw.Close)
		go func() { _, _ = io.Copy(io.Discard, other) }()
		c := &transport.Conn{Conn: raw}
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Seal()).To(Equal(int64(1)))
		_, err = c.Write([]byte("y"))
		Expect(err).To(HaveOccurred())
		Expect(c.Writes()).To(Equal(int64(1)))
	})
})
