package load

import (
	"math"
	"slices"
	"time"
)

// Latency summarises durations, in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summarise returns the nearest-rank percentiles of durations.
func Summarise(d []time.Duration) Latency {
	if len(d) == 0 {
		return Latency{}
	}
	sorted := slices.Sorted(slices.Values(d))
	rank := func(q float64) float64 {
		i := int(math.Ceil(q*float64(len(sorted)))) - 1
		return milliseconds(sorted[max(i, 0)])
	}
	return Latency{Count: len(sorted), P50: rank(0.5), P99: rank(0.99), Max: rank(1)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
