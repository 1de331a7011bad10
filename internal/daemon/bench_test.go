package daemon

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/peer"
)

// countingPeer counts the message sets that it receives.
type countingPeer struct {
	peer.Handler
	sets atomic.Int64
}

func (p *countingPeer) Step(_ context.Context, r *peer.StepRequest) (*peer.StepResponse, error) {
	p.sets.Add(int64(1 + len(r.More)))
	return &peer.StepResponse{}, nil
}

// BenchmarkSender delivers message sets of 1 KiB to one host over real
// connections.
func BenchmarkSender(b *testing.B) {
	p := &countingPeer{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewHTTPServer(peer.NewServer(p, peer.ServerOptions{}), nil)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	s := newSender(peer.NewDialer(peer.DialerConfig{
		Addresses: map[string]string{"a2": l.Addr().String()}, Clock: clock.System{},
	}), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { defer close(stopped); s.Run(ctx) }()
	defer func() { cancel(); <-stopped }()
	data := make([]byte, 1024)
	sent := int64(0)
	for b.Loop() {
		for s.TrySend("a2", "dc-a", data) != nil {
			runtime.Gosched()
		}
		sent++
	}
	for p.sets.Load() < sent {
		runtime.Gosched()
	}
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "sets/s")
}
