package entry_test

import (
	"context"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/entry"
	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/link"
)

// scriptedCore is a fake core host that leads and gives its answers one after the other, the last
// one for ever.
type scriptedCore struct {
	link.Handler
	mu      sync.Mutex
	answers []link.Answer
}

func (h *scriptedCore) next() *link.Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.answers[0]
	if len(h.answers) > 1 {
		h.answers = h.answers[1:]
	}
	return &a
}

func (h *scriptedCore) Submit(context.Context, *link.SubmitRequest) (*link.Answer, error) {
	return h.next(), nil
}

func (h *scriptedCore) ReadJobState(context.Context, *link.JobRef) (*link.Answer, error) {
	return h.next(), nil
}

func (h *scriptedCore) Members(context.Context, *link.Empty) (*link.Members, error) {
	return &link.Members{Hosts: []string{address}, Leader: address, Term: 1}, nil
}

var _ = Describe("a job that the core refuses", func() {
	var core *scriptedCore
	var e *entry.Entry

	BeforeEach(func() {
		core = &scriptedCore{}
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
		Eventually(e.Ready).Should(BeTrue())
	})

	refused := link.Answer{Code: link.Refused, RetryAfterMS: 1000}
	unauthorised := link.Answer{Code: link.Unauthorised}

	DescribeTable("is answered", func(ctx SpecContext, want link.Code, answers ...link.Answer) {
		// Guards against a caller that is told that its job never runs while an earlier
		// attempt of the entry host may still be accepted: the leader's commit took too long,
		// and then the pool was full or the key was withdrawn.
		core.answers = answers
		a := e.Submit(ctx, &link.SubmitRequest{JobRef: link.JobRef{Job: "j"}})
		Expect(a.Code).To(Equal(want))
	},
		Entry("as refused at the first attempt", link.Refused, refused),
		Entry("as refused after attempts that had no effect", link.Refused, link.Answer{Code: link.NotReady}, refused),
		Entry("as unauthorised at the first attempt", link.Unauthorised, unauthorised),
		Entry("as accepted if a later attempt is", link.Done, link.Answer{Code: link.Unknown}, refused, link.Answer{Code: link.Done}),
		Entry("as unknown after an attempt that may be accepted", link.Unknown, link.Answer{Code: link.Unknown}, refused),
		Entry("as unknown if the key was withdrawn after such an attempt", link.Unknown, link.Answer{Code: link.Unknown}, unauthorised),
	)

	It("is read with a key that does not work as such, whatever the attempts before", func(ctx SpecContext) {
		// Guards against callers without a valid key who wait for an answer that cannot change.
		core.answers = []link.Answer{{Code: link.Unknown}, unauthorised}
		Expect(e.ReadJobState(ctx, &link.JobRef{Job: "j"}).Code).To(Equal(link.Unauthorised))
	})
})
