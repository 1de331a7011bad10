package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// fakeHandler answers the calls that the tests use; the others panic.
type fakeHandler struct {
	peer.Handler
	mu    sync.Mutex
	calls int
	fail  error
	// hold blocks GroupStatus until it is closed.
	hold chan struct{}
}

// InForce answers the probes of suspected hosts.
func (f *fakeHandler) InForce(context.Context, *peer.InForceRequest) (*peer.InForceResponse, error) {
	return &peer.InForceResponse{}, nil
}

func (f *fakeHandler) GroupStatus(ctx context.Context, _ *peer.GroupStatusRequest) (*peer.GroupStatusResponse, error) {
	f.mu.Lock()
	f.calls++
	fail, hold := f.fail, f.hold
	f.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
		}
	}
	if fail != nil {
		return nil, fail
	}
	return &peer.GroupStatusResponse{Host: "h1"}, nil
}

func (f *fakeHandler) Step(_ context.Context, r *peer.StepRequest) (*peer.StepResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return &peer.StepResponse{}, nil
}

func (f *fakeHandler) PullAssignments(ctx context.Context, _ *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	<-ctx.Done()
	return nil, ctx.Err()
}

func (f *fakeHandler) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// serve starts a peer server and returns its address.
func serve(h peer.Handler, clocks ...*hlc.Clock) string {
	opts := peer.ServerOptions{}
	if len(clocks) > 0 {
		opts.HLC = clocks[0]
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := peer.NewHTTPServer(peer.NewServer(h, opts), nil)
	go func() { _ = s.Serve(l) }()
	DeferCleanup(s.Close)
	return l.Addr().String()
}

func dial(cfg peer.DialerConfig, address string) peer.Handler {
	cfg.Addresses = map[string]string{"h1": address}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	h, err := peer.NewDialer(cfg).Dial("h1")
	Expect(err).NotTo(HaveOccurred())
	return h
}

// receivedBytes collects what a listener that never answers receives.
type receivedBytes struct {
	mu   sync.Mutex
	data []byte
}

func (r *receivedBytes) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.read(conn)
	}
}

func (r *receivedBytes) read(conn net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		r.mu.Lock()
		r.data = append(r.data, buffer[:n]...)
		r.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (r *receivedBytes) contain(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Contains(r.data, []byte(text))
}

var _ = Describe("Calls", func() {
	ctx := context.Background()

	It("carries messages and refuses a request above the limit before it is sent", func() {
		// Guards against an oversized message that breaks the receiver.
		h := &fakeHandler{}
		c := dial(peer.DialerConfig{}, serve(h))
		_, err := c.Step(ctx, &peer.StepRequest{Group: "g", Messages: make([]byte, 1<<20)})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Step(ctx, &peer.StepRequest{Group: "g", Messages: make([]byte, peer.MaxMessageBytes+1)})
		Expect(err).To(BeAssignableToTypeOf(&fault.LimitExceeded{}))
		Expect(h.count()).To(Equal(1))
	})

	DescribeTable("rebuilds typed errors",
		// Guards against a caller that cannot tell a refusal from an unknown
		// effect.
		func(sent, want error) {
			c := dial(peer.DialerConfig{}, serve(&fakeHandler{fail: sent}))
			_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
			Expect(err).To(Equal(want))
		},
		func(errs ...error) []TableEntry {
			var out []TableEntry
			for _, e := range errs {
				out = append(out, Entry(nil, e, e))
			}
			return append(out, Entry(nil, &fault.Corrupt{What: "x"},
				&fault.Remote{RemoteCode: fault.CodeCorrupt, Text: (&fault.Corrupt{What: "x"}).Error()}))
		}(
			&fault.NotLeader{Group: "g", Leader: "h2"}, &fault.RevisionConflict{Expected: 1, Current: 2},
			&fault.KeyReused{Key: "k"}, &fault.LimitExceeded{What: "queue", Limit: 10},
			&fault.Precondition{What: "drain", Reason: "floor"}, &fault.NotFound{Kind: "host", Name: "é\n"},
			&fault.Invalid{Field: "f", Reason: "r", Allowed: "a"}, &fault.ProposalUnknown{Group: "g"},
			&fault.Unavailable{What: "w", Reason: "r"}, &fault.ShuttingDown{},
			&fault.ClockSkew{What: "w", Skew: -time.Hour, Limit: time.Second},
		),
	)

	It("compresses nothing, whatever the other side accepts", func() {
		// Guards against the cost of a compressor for each small answer, which
		// took a fifth of a leader's CPU time and half of its memory.
		accepted := make(chan string, 1)
		inner := peer.NewServer(&fakeHandler{}, peer.ServerOptions{})
		outer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			accepted <- r.Header.Get("Accept-Encoding")
			r.Header.Set("Accept-Encoding", "gzip")
			inner.ServeHTTP(w, r)
			Expect(w.Header().Get("Content-Encoding")).To(BeEmpty())
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := peer.NewHTTPServer(outer, nil)
		go func() { _ = s.Serve(l) }()
		DeferCleanup(s.Close)
		_, err = dial(peer.DialerConfig{}, l.Addr().String()).GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(<-accepted).NotTo(ContainSubstring("gzip"))
	})

	It("observes timestamps both ways, also on errors", func() {
		// Guards against a timeline that shows an effect before its cause.
		fast := hlc.NewClock(clock.NewManual(time.UnixMilli(1_900)))
		slow := hlc.NewClock(clock.NewManual(time.UnixMilli(1_000)))
		c := dial(peer.DialerConfig{HLC: slow}, serve(&fakeHandler{fail: &fault.ShuttingDown{}}, fast))
		_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).To(HaveOccurred())
		Expect(slow.Now().WallMillis).To(Equal(int64(1_900)))

		other := hlc.NewClock(clock.NewManual(time.UnixMilli(1_000)))
		c = dial(peer.DialerConfig{HLC: fast}, serve(&fakeHandler{}, other))
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Now().WallMillis).To(Equal(int64(1_900)))
	})

	It("ignores a timestamp that is too far ahead and measures the clock", func() {
		// Guards against one host with a clock far ahead, which would advance the
		// timestamps of every host that it talks to.
		source := clock.NewManual(time.UnixMilli(1_000))
		local := hlc.NewClock(source)
		for _, host := range []string{"h1", "h2"} {
			fast := hlc.NewClock(clock.NewManual(time.UnixMilli(9_000_000)))
			c, err := peer.NewDialer(peer.DialerConfig{
				HLC: local, Clock: clock.System{}, Addresses: map[string]string{host: serve(&fakeHandler{}, fast)},
			}).Dial(host)
			Expect(err).NotTo(HaveOccurred())
			_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(local.Now().WallMillis).To(Equal(int64(1_000)))
		Expect(local.Skew()).To(Equal(&fault.ClockSkew{
			What: "the clock of this host", Skew: -8_999 * time.Second, Limit: hlc.MaxSkew,
		}))
	})

	It("reports an unreachable host as unavailable and an unknown one as not found", func() {
		// Guards against an unknown effect reported for a call never sent.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = dial(peer.DialerConfig{}, l.Addr().String()).GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).To(BeAssignableToTypeOf(&fault.Unavailable{}))
		_, err = peer.NewDialer(peer.DialerConfig{}).Dial("h9")
		Expect(err).To(BeAssignableToTypeOf(&fault.NotFound{}))
	})

	It("reports a call that was sent, but not answered, as lost", func() {
		// Guards against a call that is repeated as if it had no effect, also
		// on the first use of a connection.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, c, 2048)
				_ = c.Close()
			}
		}()
		_, err = dial(peer.DialerConfig{}, l.Addr().String()).Step(ctx, &peer.StepRequest{Messages: make([]byte, 4096)})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeConnectionLost))
	})

	It("calls with TLS", func() {
		// Guards against a TLS setting with which HTTP/2 is not negotiated.
		s := httptest.NewUnstartedServer(peer.NewServer(&fakeHandler{}, peer.ServerOptions{}))
		s.EnableHTTP2 = true
		s.StartTLS()
		DeferCleanup(s.Close)
		settings := s.Client().Transport.(*http.Transport).TLSClientConfig
		c := dial(peer.DialerConfig{TLS: settings}, s.Listener.Addr().String())
		_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, err = dial(peer.DialerConfig{TLS: &tls.Config{MinVersion: tls.VersionTLS12}}, s.Listener.Addr().String()).
			GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeUnavailable))
	})

	It("reports the caller's own cancellation as such", func() {
		// Guards against a cancelled long poll that discards a working connection.
		c := dial(peer.DialerConfig{}, serve(&fakeHandler{}))
		cctx, cancel := context.WithCancel(ctx)
		cancel()
		_, err := c.PullAssignments(cctx, &peer.PullAssignmentsRequest{WaitMS: 1000})
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	})
})

var _ = Describe("Silent connections", func() {
	ctx := context.Background()

	It("discards a silent connection and dials a new one", func() {
		// Guards against calls that hang on a connection that went silent. With
		// HTTP/2 one connection carries all calls to a host.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := silent.NewListener(l)
		s := peer.NewHTTPServer(peer.NewServer(&fakeHandler{}, peer.ServerOptions{}), nil)
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		manual := clock.NewManual(time.UnixMilli(0))
		c := dial(peer.DialerConfig{Clock: manual}, l.Addr().String())
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, total := listener.Counts()
		Expect(total).To(Equal(1), "calls share one connection")

		listener.Silence()
		failed := make(chan error, 1)
		go func() {
			_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
			failed <- err
		}()
		Eventually(listener.Dropped).Should(BeNumerically(">", 0))
		manual.Advance(peer.DefaultCallTimeout)
		Expect(fault.CodeOf(<-failed)).To(Equal(fault.CodeSilentConnection))
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, total = listener.Counts()
		Expect(total).To(Equal(2))
		Eventually(listener.Open).Should(Equal(1), "the silent connection is closed")
	})

	It("refuses calls to a host that answers no probe, without sending them", func() {
		// Guards against an unknown effect for every call to an unreachable host:
		// only the first one may have been delivered.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		received := &receivedBytes{}
		go received.accept(l)
		manual := clock.NewManual(time.UnixMilli(0))
		c := dial(peer.DialerConfig{Clock: manual}, l.Addr().String())
		submit := func() chan error {
			done := make(chan error, 1)
			go func() {
				_, err := c.Submit(ctx, &peer.SubmitRequest{Key: "key-of-the-call"})
				done <- err
			}()
			return done
		}
		first := submit()
		// A call that ends before its connection is open is known not to have been
		// sent, so the host is not suspected.
		Eventually(func() bool { return received.contain("key-of-the-call") }).WithTimeout(10 * time.Second).Should(BeTrue())
		Eventually(func() error {
			manual.Advance(peer.DefaultCallTimeout)
			select {
			case err := <-first:
				return err
			default:
				return nil
			}
		}).Should(HaveOccurred())
		before := manual.Waiters()
		second := submit()
		Eventually(manual.Waiters).Should(BeNumerically(">", before))
		manual.Advance(time.Second)
		var refused error
		Eventually(second).Should(Receive(&refused))
		Expect(fault.CodeOf(refused)).To(Equal(fault.CodeUnavailable))
		Expect(peer.HadNoEffect(refused)).To(BeTrue())
		var third error
		Eventually(submit()).Should(Receive(&third), "a failed probe counts for a second")
		Expect(fault.CodeOf(third)).To(Equal(fault.CodeUnavailable))
	})

	It("reaches a host that restarted right after it refused a probe", func() {
		// Guards against an operator's query that lists a host as not reached
		// although it has been back for some time.
		handler := &fakeHandler{hold: make(chan struct{})}
		server := peer.NewHTTPServer(peer.NewServer(handler, peer.ServerOptions{}), nil)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		go func() { _ = server.Serve(l) }()
		c := dial(peer.DialerConfig{}, address)
		lost := make(chan error, 1)
		go func() {
			_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
			lost <- err
		}()
		Eventually(handler.count).Should(Equal(1))
		Expect(server.Close()).To(Succeed())
		var cause error
		Eventually(lost).Should(Receive(&cause))
		Expect(fault.CodeOf(cause)).To(Equal(fault.CodeConnectionLost), "the host is suspected")
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeUnavailable), "nothing listens")

		restarted := peer.NewHTTPServer(peer.NewServer(&fakeHandler{}, peer.ServerOptions{}), nil)
		l, err = net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(restarted.Close)
		go func() { _ = restarted.Serve(l) }()
		// A pause as long as the refused probe took is allowed.
		Eventually(func() error {
			_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
			return err
		}).WithTimeout(200 * time.Millisecond).Should(Succeed())
	})

	It("end a long poll by the health check of the connection", func() {
		// Guards against a long poll that waits for its whole time on a
		// connection that went silent. The health check uses the system clock.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener, h := silent.NewListener(l), &fakeHandler{}
		s := peer.NewHTTPServer(peer.NewServer(h, peer.ServerOptions{}), nil)
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		c := dial(peer.DialerConfig{Clock: clock.NewManual(time.UnixMilli(0))}, l.Addr().String())
		done := make(chan error, 1)
		go func() {
			_, err := c.PullAssignments(ctx, &peer.PullAssignmentsRequest{WaitMS: 60_000})
			done <- err
		}()
		Eventually(h.count).Should(Equal(1))
		listener.Silence()
		Eventually(done, "20s").Should(Receive(BeAssignableToTypeOf(&fault.ConnectionLost{})))
		_, err = c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
	})

	It("allows a long poll its wait before the connection counts as silent", func() {
		// Guards against long polls that are ended early as silent.
		manual := clock.NewManual(time.UnixMilli(0))
		h := &fakeHandler{}
		c := dial(peer.DialerConfig{Clock: manual}, serve(h))
		_, err := c.GroupStatus(ctx, &peer.GroupStatusRequest{})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := c.PullAssignments(ctx, &peer.PullAssignmentsRequest{WaitMS: 10_000})
			done <- err
		}()
		Eventually(h.count).Should(Equal(2))
		manual.Advance(10 * time.Second)
		Consistently(done, "20ms").ShouldNot(Receive())
		manual.Advance(peer.DefaultCallTimeout)
		Eventually(done).Should(Receive(BeAssignableToTypeOf(&fault.SilentConnection{})))
	})
})
