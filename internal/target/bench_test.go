package target_test

import (
	"strconv"
	"testing"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

func benchTarget(b *testing.B) (target.Client, string) {
	b.Helper()
	fleet, err := standin.Start(standin.Config{Targets: 1, Slots: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Close)
	return target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}}), fleet.Targets()[0].Info().Address
}

// BenchmarkStart measures a start, which dials its own connection.
func BenchmarkStart(b *testing.B) {
	c, address := benchTarget(b)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%100 == 0 {
			// Use a new target for every 100 starts, since the stand-in counts
			// its running tasks at each start.
			b.StopTimer()
			c, address = benchTarget(b)
			b.StartTimer()
		}
		if err := c.Start(ctx, address, target.Task{Key: strconv.Itoa(n), Attempt: 1, Payload: []byte(`{"run_ms":0}`)}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPoll measures a poll on a reused connection.
func BenchmarkPoll(b *testing.B) {
	c, address := benchTarget(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Poll(ctx, address, "k", 1, 0); err != nil {
			b.Fatal(err)
		}
	}
}
