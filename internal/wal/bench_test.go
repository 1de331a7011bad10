package wal_test

import (
	"fmt"
	"testing"

	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/wal"
)

// BenchmarkSave writes and syncs entries of 1 KiB to a real file system, in
// batches of the size that concurrent proposals produce.
func BenchmarkSave(b *testing.B) {
	for _, batch := range []uint64{1, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", batch), func(b *testing.B) {
			w, _, err := wal.Open(wal.Options{Dir: b.TempDir()})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = w.Close() }()
			next := uint64(1)
			for b.Loop() {
				hard := raft.HardState{Term: 1, Commit: next - 1}
				if err := w.Save(&hard, entries(1, next, next+batch-1, 1024)); err != nil {
					b.Fatal(err)
				}
				next += batch
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
		})
	}
}
