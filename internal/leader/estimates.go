package leader

import (
	"math"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// defaultDurationMS is the assumed duration of a task of a queue before any has
	// ended.
	defaultDurationMS = 1000
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.05
	// estimateWeight is the weight of a caller's estimate against the mean of its
	// queue, both as logarithms. Estimates are off by a factor of 2.5 and durations
	// vary by a factor of 1.6, which gives 0.25/(0.25+0.81).
	estimateWeight = 0.24
)

// durationEstimates holds, by queue, the moving average of the logarithms of task
// durations. The leader's mutex guards it.
type durationEstimates map[string]float64

func newDurationEstimates() durationEstimates { return durationEstimates{} }

// add includes the duration of a finished task.
func (d durationEstimates) add(queue string, ms int64) {
	value := math.Log(float64(max(1, ms)))
	if mean, ok := d[queue]; ok {
		value = mean + sampleWeight*(value-mean)
	}
	d[queue] = value
}

// expected returns the expected duration in ms of a task of a step.
func (d durationEstimates) expected(j *work.Job, step int) int64 {
	mean, ok := d[j.Queue]
	if !ok {
		mean = math.Log(defaultDurationMS)
	}
	if estimate := j.Spec.Steps[step].EstimateMS; estimate > 0 {
		mean += estimateWeight * (math.Log(float64(estimate)) - mean)
	}
	return int64(math.Exp(mean))
}
