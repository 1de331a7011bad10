package peer_test

import (
	"context"
	"net"
	"testing"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/peer"
)

// benchClient returns a client of a handler on loopback.
func benchClient(b *testing.B) peer.Handler {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := peer.NewHTTPServer(peer.NewServer(&fakeHandler{}, peer.ServerOptions{HLC: hlc.NewClock(clock.System{})}), nil)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	h, err := peer.NewDialer(peer.DialerConfig{
		Addresses: map[string]string{"h1": l.Addr().String()}, Clock: clock.System{}, HLC: hlc.NewClock(clock.System{}),
	}).Dial("h1")
	if err != nil {
		b.Fatal(err)
	}
	return h
}

// BenchmarkCall measures the latency of one Step call of 1 KiB.
func BenchmarkCall(b *testing.B) {
	h := benchClient(b)
	req := &peer.StepRequest{Group: "dc1", Messages: make([]byte, 1024)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.Step(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCallParallel measures the throughput of Step calls on the one
// connection that they share.
func BenchmarkCallParallel(b *testing.B) {
	h := benchClient(b)
	req := &peer.StepRequest{Group: "dc1", Messages: make([]byte, 1024)}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := h.Step(context.Background(), req); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
