package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

// BenchmarkKeys runs a ledger for two and a half days at a constant rate of
// non-idempotent requests, which fills it with the keys of a day. Finished
// requests are kept whole or reduced to their keys. An operation is one snapshot
// at the end; the metrics are the bytes of a key in memory and in the snapshot,
// and the time of a restore. Guards against keys that fill the memory of a host.
func BenchmarkKeys(b *testing.B) {
	for _, mode := range []struct {
		name    string
		maxKeys int
	}{{"whole", 0}, {"reduced", 1 << 30}} {
		for _, size := range []int{10_000, 50_000, 100_000, 200_000} {
			b.Run(fmt.Sprintf("%s/keys=%d", mode.name, size), func(b *testing.B) {
				limits := ledger.DefaultLimits()
				limits.MaxRequests, limits.MaxKeys = 1<<30, mode.maxKeys
				benchmarkKeys(b, limits, size)
			})
		}
	}
}

func benchmarkKeys(b *testing.B, limits ledger.Limits, size int) {
	f := newFixture(limits)
	empty := heapBytes()
	for i := range size * 5 / 2 {
		f.finishOrder(b, i)
		f.advance(limits.KeyRetention / time.Duration(size))
		f.expire()
		f.events = nil
	}
	kept := heapBytes()
	var data []byte
	for b.Loop() {
		var err error
		if data, err = f.state.Snapshot(); err != nil {
			b.Fatal(err)
		}
	}
	other := ledger.New(limits)
	start := time.Now()
	if err := other.Restore(data); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "restore-ms")
	b.ReportMetric(float64(kept-empty)/float64(size), "memory-B/key")
	b.ReportMetric(float64(len(data))/float64(size), "snapshot-B/key")
	runtime.KeepAlive(f)
}

// heapBytes returns the bytes of the live heap objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// finishOrder runs one order under a key of 36 bytes. Commands are decoded
// from their log form, since decoded strings share no memory.
func (f *fixture) finishOrder(b *testing.B, i int) {
	key := fmt.Sprintf("5f0c9a52-7c1e-4d0b-9a3e-%012d", i)
	f.applyDecoded(b, &ledger.Command{Claim: &ledger.Claim{Key: key, Kind: "order", Team: "shop", Payload: make([]byte, 1024), Deadline: f.now.Add(time.Minute)}})
	f.applyDecoded(b, &ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{{
		Key: key, Attempt: 1, Host: "h1", Owner: "entry-a1", OwnerIncarnation: "8f14e45f-ceea-467f-a4c3-2b1d9a7c0001", Reason: "most free slots of 12 hosts",
	}}}})
	f.applyDecoded(b, &ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{{
		Key: key, Attempt: 1, State: model.AttemptSucceeded, Reason: "finished in 180 ms",
	}}}})
}

func (f *fixture) applyDecoded(b *testing.B, cmd *ledger.Command) {
	data, err := codec.Marshal(cmd)
	if err != nil {
		b.Fatal(err)
	}
	var decoded ledger.Command
	if err := codec.Unmarshal(data, &decoded); err != nil {
		b.Fatal(err)
	}
	if res, _ := f.state.Apply(f.ctx(), &decoded); res.Err != nil {
		b.Fatal(res.Err)
	}
}
