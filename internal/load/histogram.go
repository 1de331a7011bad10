package load

import (
	"maps"
	"regexp"
	"slices"
	"strconv"
)

// Histogram counts durations by the upper bound of their bucket, in seconds.
// The buckets are those of VictoriaMetrics histograms, each about 14 % wide.
type Histogram map[float64]float64

var rangeLabel = regexp.MustCompile(`vmrange="[^"]*\.\.\.([^"]*)"`)

// add counts n durations in the bucket that the labels name.
func (h Histogram) add(labels string, n float64) {
	m := rangeLabel.FindStringSubmatch(labels)
	if m == nil {
		return
	}
	bound, err := strconv.ParseFloat(m[1], 64)
	if err == nil {
		h[bound] += n
	}
}

// since returns the counts added since an earlier reading.
func (h Histogram) since(earlier Histogram) Histogram {
	out := Histogram{}
	for bound, n := range h {
		if added := n - earlier[bound]; added > 0 {
			out[bound] = added
		}
	}
	return out
}

// quantileMS returns the upper bound of the bucket that holds the quantile, in
// milliseconds, or 0 for an empty histogram.
func (h Histogram) quantileMS(quantile float64) float64 {
	total := 0.0
	for _, n := range h {
		total += n
	}
	if total == 0 {
		return 0
	}
	seen, bound := 0.0, 0.0
	for _, bound = range slices.Sorted(maps.Keys(h)) {
		if seen += h[bound]; seen >= quantile*total {
			break
		}
	}
	return 1000 * bound
}
