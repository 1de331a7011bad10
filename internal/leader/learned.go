package leader

import (
	"math"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// firstDurationMS stands for the duration of a task before any has ended.
	firstDurationMS = 1000
	// learnWeight is the weight of one more duration in the mean.
	learnWeight = 0.05
	// estimateWeight is the weight of a caller's estimate against the mean of
	// its queue, both as logarithms. Estimates are off by a factor of 2.5 and
	// durations vary by one of 1.6, which gives 0.25/(0.25+0.81).
	estimateWeight = 0.24
)

// durations holds the mean of the logarithms of durations by queue. It is
// guarded by the leader's mutex.
type durations map[string]float64

func newDurations() durations { return durations{} }

// note learns the duration of a finished task.
func (d durations) note(queue string, ms int64) {
	value := math.Log(float64(max(1, ms)))
	if mean, ok := d[queue]; ok {
		value = mean + learnWeight*(value-mean)
	}
	d[queue] = value
}

// expect returns the expected duration of a task of a step in ms.
func (d durations) expect(j *work.Job, step int) int64 {
	mean, ok := d[j.Queue]
	if !ok {
		mean = math.Log(firstDurationMS)
	}
	if estimate := j.Spec.Steps[step].EstimateMS; estimate > 0 {
		mean += estimateWeight * (math.Log(float64(estimate)) - mean)
	}
	return int64(math.Exp(mean))
}
