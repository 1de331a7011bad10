package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

// benchHosts is the two-year number of hosts in one of nine data centres.
const benchHosts = 622

// BenchmarkApplyRequest applies the three entries of one request: claim,
// dispatch and report.
func BenchmarkApplyRequest(b *testing.B) {
	f := newFixture(ledger.Limits{
		MaxRequests: 1 << 30, MaxQueuedPerPool: 10_000, MaxPayloadBytes: 256 << 10, MaxAnswerBytes: 256 << 10,
		AnswerRetention: 10 * time.Second, KeyRetention: 20 * time.Second,
	})
	for i := range benchHosts {
		name := fmt.Sprintf("b%03d", i)
		f.hosts[name] = newHost(name, "plot", "i1", 8)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.advance(time.Millisecond)
		key := fmt.Sprintf("k%d", i)
		if err := f.claim(key, "order", "team", time.Minute).Err; err != nil {
			b.Fatal(err)
		}
		if !f.dispatch(key, 1, fmt.Sprintf("b%03d", i%benchHosts)) {
			b.Fatal("not dispatched")
		}
		f.report(key, 1, model.AttemptSucceeded, "answer")
		if i%1000 == 0 {
			f.expire()
		}
		f.events = f.events[:0]
	}
}
