package entry_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/entry"
	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

// coreHost is a fake core host, which leads while leads is set.
type coreHost struct {
	link.Handler
	leads atomic.Bool
	// hangs is set while it takes jobs without an answer.
	hangs atomic.Bool
	// configuration is what it says of the one in force, nil if it knows none.
	configuration atomic.Pointer[link.Members]
}

const address = "127.0.0.1"

func (h *coreHost) answer() *link.Answer {
	if h.leads.Load() {
		return &link.Answer{Code: link.Done}
	}
	return &link.Answer{Code: link.NotLeader, Term: 1}
}

func (h *coreHost) Submit(ctx context.Context, _ *link.SubmitRequest) (*link.Answer, error) {
	if h.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h.answer(), nil
}

func (h *coreHost) Members(context.Context, *link.Empty) (*link.Members, error) {
	m := &link.Members{Hosts: []string{address}, Term: 1}
	if h.leads.Load() {
		m.Leader = address
	}
	if c := h.configuration.Load(); c != nil {
		m.Limits, m.Version = c.Limits, c.Version
	}
	return m, nil
}

var _ = Describe("an entry host", func() {
	var (
		core *coreHost
		e    *entry.Entry
	)

	BeforeEach(func() {
		core = &coreHost{}
		listener, err := net.Listen("tcp", net.JoinHostPort(address, "0"))
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(core, guard.Share{}, zerolog.Nop())
		go func() { _ = server.Serve(listener) }() // returns an error once the server is closed
		DeferCleanup(server.Close)
		_, port, err := net.SplitHostPort(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		e = entry.New(entry.Config{Port: port, Seeds: []string{address}, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go e.Run(ctx)
	})

	submit := func() (link.Code, time.Duration) {
		started := time.Now()
		a := e.Submit(context.Background(), &link.SubmitRequest{JobRef: link.JobRef{Job: "j"}})
		return a.Code, time.Since(started)
	}

	It("keeps requests while a new leader is elected", func() {
		// Guards against requests that fail when a leader is killed under load: its
		// successor is ready 1.2 s later.
		core.leads.Store(true)
		Eventually(e.Ready).Should(BeTrue())
		core.leads.Store(false)
		time.AfterFunc(1200*time.Millisecond, func() { core.leads.Store(true) })
		code, _ := submit()
		Expect(code).To(Equal(link.Done))
	})

	It("repeats a request that a silent leader may have taken until the next one answers", func() {
		// Guards against a caller that is told after a moment that nobody knows whether its
		// job was accepted, and cannot hand it in again, although the next leader could tell.
		core.leads.Store(true)
		Eventually(e.Ready).Should(BeTrue())
		core.leads.Store(false)
		core.hangs.Store(true)
		<-time.After(1900 * time.Millisecond)
		time.AfterFunc(1200*time.Millisecond, func() { core.hangs.Store(false); core.leads.Store(true) })
		code, _ := submit()
		Expect(code).To(Equal(link.Done))
	})

	It("takes the limits of the newest configuration of which a core host tells", func() {
		// Guards against limits that a change does not reach, or that a core host undoes which
		// has not heard of it yet.
		tell := func(version uint64, limits *work.RequestLimits) {
			core.configuration.Store(&link.Members{Version: version, Limits: limits})
		}
		Expect(e.RequestLimits()).To(BeNil())
		first, second := work.RequestLimits{HeadBytes: 1}, work.RequestLimits{HeadBytes: 2}
		tell(3, &first)
		Eventually(e.RequestLimits, "3s").Should(Equal(&first))
		tell(2, &second)
		Consistently(e.RequestLimits, "1200ms").Should(Equal(&first))
		tell(4, &second)
		Eventually(e.RequestLimits, "3s").Should(Equal(&second))
		tell(5, nil)
		Eventually(e.RequestLimits, "3s").Should(BeNil())
	})

	It("refuses requests at once when the outage lasts longer than an election", func() {
		// Guards against callers that wait in vain while the core is partitioned into two
		// halves for seconds, although they could have asked another host.
		core.leads.Store(true)
		Eventually(e.Ready).Should(BeTrue())
		core.leads.Store(false)
		Eventually(e.Ready, "3s").Should(BeFalse())
		<-time.After(500 * time.Millisecond) // until two seconds have passed
		code, took := submit()
		Expect(code).To(Equal(link.NotReady))
		Expect(took).To(BeNumerically("<", 600*time.Millisecond)) // a fifth of the callers' time limit
	})
})
