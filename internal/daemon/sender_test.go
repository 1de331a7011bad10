package daemon

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/outbound"
	"agatehaven.dev/agatehaven/internal/peer"
)

// slowPeer blocks every call until a value is sent to release.
type slowPeer struct {
	peer.Handler
	called  chan struct{}
	release chan struct{}

	mu    sync.Mutex
	calls [][]byte // messages of each call, joined
}

func (p *slowPeer) Dial(string) (peer.Handler, error) { return p, nil }

func (p *slowPeer) Step(_ context.Context, r *peer.StepRequest) (*peer.StepResponse, error) {
	joined := append([]byte{}, r.Messages...)
	for _, more := range r.More {
		joined = append(joined, more...)
	}
	p.mu.Lock()
	p.calls = append(p.calls, joined)
	p.mu.Unlock()
	p.called <- struct{}{}
	<-p.release
	return &peer.StepResponse{}, nil
}

func (p *slowPeer) sizes() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []int
	for _, c := range p.calls {
		out = append(out, len(c))
	}
	return out
}

var _ = Describe("sender", func() {
	It("delivers messages queued during a call in the next one, in order and up to the size limit", func() {
		// Guards against one message set per round trip, which makes commits
		// wait for each other, and against a call above the size limit.
		p := &slowPeer{called: make(chan struct{}, 10), release: make(chan struct{}, 10)}
		s := newSender(p, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); s.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-stopped })
		s.Send("a2", "dc-a", []byte{0})
		Eventually(p.called).Should(Receive())
		for i := byte(1); i <= 3; i++ {
			s.Send("a2", "dc-a", []byte{i})
		}
		s.Send("a2", "dc-a", make([]byte, outbound.BatchBytes))
		s.Send("a2", "dc-a", []byte{5})
		for range 3 {
			p.release <- struct{}{}
		}
		Eventually(p.sizes).Should(Equal([]int{1, 3 + outbound.BatchBytes, 1}))
		Expect(p.calls[1][:3]).To(Equal([]byte{1, 2, 3}))
		Expect(p.calls[2]).To(Equal([]byte{5}))
	})
})
