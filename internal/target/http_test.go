package target_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var ctx = context.Background()

func code(err error) fault.Code { return fault.CodeOf(err) }

// listen returns a listener on loopback that is closed after the test.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	return l
}

// closingServer answers every GET with the state "running" and keeps the
// connection open. It closes the connection after a POST without a response.
func closingServer(posts *atomic.Int64) string {
	l := listen()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.Method == http.MethodPost {
						posts.Add(1)
						return
					}
					body := `{"request":"k","attempt":1,"state":"running"}`
					resp := http.Response{
						StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
						ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
					}
					if resp.Write(c) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

var _ = Describe("Start", func() {
	It("is sent once when the connection closes before the response", func() {
		// Guards against net/http resending a start on a new connection, also
		// when idle connections exist.
		var posts atomic.Int64
		address := closingServer(&posts)
		c := target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}})
		for i := range 5 {
			_, err := c.Poll(ctx, address, "k", 1, 0)
			Expect(err).NotTo(HaveOccurred())
			err = c.Start(ctx, address, target.Task{Key: "k", Attempt: 1})
			Expect(code(err)).To(Equal(fault.CodeConnectionLost))
			Expect(posts.Load()).To(Equal(int64(i + 1)))
		}
	})

	It("distinguishes starts that were not sent, refused or answered in an undefined way", func() {
		// Guards against a start that is counted as never run without proof.
		status := http.StatusConflict
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(`{"reason":"no free slot"}`))
		}))
		address := strings.TrimPrefix(s.URL, "http://")
		c := target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}})
		err := c.Start(ctx, address, target.Task{Key: "k", Attempt: 1})
		Expect(err).To(Equal(&target.RefusedError{Address: address, Reason: "no free slot"}))
		for _, status = range []int{200, 307, 400, 404, 500, 503} {
			Expect(code(c.Start(ctx, address, target.Task{Key: "k", Attempt: 1}))).To(Equal(target.CodeStatus))
		}
		s.Close()
		Expect(code(c.Start(ctx, address, target.Task{Key: "k", Attempt: 1}))).To(Equal(target.CodeNotSent))
	})
})

var _ = Describe("Silent connections", func() {
	It("are discarded, and the next call uses a new one", func() {
		// Guards against polls that keep using a connection that went silent,
		// and against a start that is sent again.
		var starts atomic.Int64
		listener := silent.NewListener(listen())
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				starts.Add(1)
				listener.Silence()
			}
			_, _ = w.Write([]byte(`{"request":"k","attempt":1,"state":"running"}`))
		})}
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		address := listener.Addr().String()
		manual := clock.NewManual(time.UnixMilli(0))
		c := target.NewHTTPClient(target.HTTPConfig{Clock: manual})
		poll := func() error {
			_, err := c.Poll(ctx, address, "k", 1, time.Second)
			return err
		}
		silently := func(call func() error, sent func() bool) error {
			done := make(chan error, 1)
			go func() { done <- call() }()
			Eventually(sent).Should(BeTrue())
			Consistently(done, "20ms").ShouldNot(Receive())
			manual.Advance(3 * time.Second)
			return <-done
		}
		// Open two connections, so that one of them is left in the pool.
		kept := make(chan error, 2)
		for range 2 {
			go func() { kept <- poll() }()
		}
		Expect(<-kept).To(Succeed())
		Expect(<-kept).To(Succeed())
		listener.Silence()
		Expect(code(silently(poll, func() bool { return listener.Dropped() > 0 }))).To(Equal(fault.CodeSilentConnection))
		Expect(poll()).To(Succeed())
		err := silently(func() error { return c.Start(ctx, address, target.Task{Key: "k", Attempt: 1}) },
			func() bool { return starts.Load() > 0 })
		Expect(code(err)).To(Equal(fault.CodeSilentConnection))
		again := make(chan error, 1)
		go func() { again <- poll() }()
		Eventually(again).Should(Receive(BeNil()), "the state is read on a new connection")
		Expect(starts.Load()).To(Equal(int64(1)))
		Eventually(listener.Open).Should(Equal(1), "silent connections are closed")
	})

	It("do not affect a start, which dials its own connection", func() {
		// Guards against a start without a response, whose effect is unknown,
		// although new connections work.
		listener := silent.NewListener(listen())
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusAccepted)
				return
			}
			_, _ = w.Write([]byte(`{"request":"k","attempt":1,"state":"running"}`))
		})}
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		address := listener.Addr().String()
		c := target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}, MaxConns: 1})
		_, err := c.Poll(ctx, address, "k", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		listener.Silence()
		Expect(c.Start(ctx, address, target.Task{Key: "k", Attempt: 1})).To(Succeed())
	})
})

var _ = Describe("Answers", func() {
	sum := func(s string) string {
		h := sha256.Sum256([]byte(s))
		return hex.EncodeToString(h[:])
	}
	complete := target.StatusMessage{
		Request: "k", Attempt: 1, State: target.TaskSucceeded,
		Answer: []byte("answer"), AnswerLength: 6, AnswerSHA256: sum("answer"),
	}
	large := strings.Repeat("x", target.MaxAnswerBytes+1)
	change := func(f func(m *target.StatusMessage)) target.StatusMessage {
		m := complete
		f(&m)
		return m
	}

	DescribeTable("that fail a check are never passed on",
		// Guards against a caller that gets part of an answer or that of
		// another request.
		func(m target.StatusMessage, missingBytes int, want fault.Code) {
			var answers atomic.Pointer[target.StatusMessage]
			answers.Store(&m)
			missing := missingBytes
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body, _ := json.Marshal(answers.Load())
				if missing > 0 {
					w.Header().Set("Content-Length", "1000")
				}
				_, _ = w.Write(body[:len(body)-missing])
			}))
			DeferCleanup(s.Close)
			address := strings.TrimPrefix(s.URL, "http://")
			c := target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}})
			st, err := c.Poll(ctx, address, "k", 1, 0)
			Expect(code(err)).To(Equal(want))
			Expect(st).To(Equal(target.TaskStatus{}))
			answers.Store(&complete)
			missing = 0
			st, err = c.Poll(ctx, address, "k", 1, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.Answer).To(Equal([]byte("answer")))
		},
		Entry("another request", change(func(m *target.StatusMessage) { m.Request = "l" }), 0, fault.CodeCorrupt),
		Entry("another attempt", change(func(m *target.StatusMessage) { m.Attempt = 2 }), 0, fault.CodeCorrupt),
		Entry("truncated answer", change(func(m *target.StatusMessage) { m.Answer = []byte("answ") }), 0, fault.CodeCorrupt),
		Entry("changed answer", change(func(m *target.StatusMessage) { m.Answer = []byte("Answer") }), 0, fault.CodeCorrupt),
		Entry("another length", change(func(m *target.StatusMessage) { m.AnswerLength = 7 }), 0, fault.CodeCorrupt),
		Entry("missing digest", change(func(m *target.StatusMessage) { m.AnswerSHA256 = "" }), 0, fault.CodeCorrupt),
		Entry("unknown state", change(func(m *target.StatusMessage) { m.State = "odd" }), 0, fault.CodeCorrupt),
		Entry("too large an answer", change(func(m *target.StatusMessage) {
			m.Answer, m.AnswerLength, m.AnswerSHA256 = []byte(large), len(large), sum(large)
		}), 0, fault.CodeCorrupt),
		Entry("truncated response", complete, 3, fault.CodeConnectionLost),
	)
})

// announceFunc implements target.AnnounceService.
type announceFunc func(a target.Announcement) (time.Duration, error)

func (f announceFunc) Announce(_ context.Context, a target.Announcement) (time.Duration, error) {
	return f(a)
}

var _ = Describe("Announce server", func() {
	It("takes announcements of newer targets and refuses malformed ones", func() {
		// Guards against a host that is lost because its target was updated, and
		// against a host without an address.
		var got target.Announcement
		s := httptest.NewServer(target.NewAnnounceServer(announceFunc(func(a target.Announcement) (time.Duration, error) {
			got = a
			return 5 * time.Second, nil
		})))
		DeferCleanup(s.Close)
		post := func(body string) (int, string) {
			resp, err := http.Post(s.URL+"/v1/announce", "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			data, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode, string(data)
		}
		status, reply := post(`{"host":"h","data_centre":"d","incarnation":"i","address":"127.0.0.1:1","slots":8,"new":1,
			"running":[{"request":"k","attempt":2}]}`)
		Expect(status).To(Equal(http.StatusOK))
		Expect(reply).To(Equal(`{"lease_ms":5000}`))
		Expect(got.Slots).To(Equal(8))
		Expect(got.Running).To(Equal([]target.RunningTask{{Request: "k", Attempt: 2}}))
		for _, body := range []string{
			`{`, `{}`, `{"host":"h","data_centre":"d","incarnation":"i","address":"name:1"}`,
			`{"host":"h","data_centre":"d","incarnation":"i","address":"127.0.0.1:1","slots":-1}`,
		} {
			status, _ = post(body)
			Expect(status).To(Equal(http.StatusBadRequest))
		}
	})
})
