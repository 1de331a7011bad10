package leader

import (
	"agatehaven.dev/agatehaven/internal/forecast"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// firstArrivalsMS is how far the first look at the jobs goes back, in parts of
	// arrivalPartMS. A new leader finds the jobs that have not ended, so it may take steady
	// demand for a rise at first, and orders hosts too many rather than too few.
	firstArrivalsMS = 1000
	arrivalPartMS   = 100
)

// arrivals measures the work that arrives for each pool.
type arrivals struct {
	// sampledMS is the time of the last sample, in Unix ms, and sequence the highest
	// sequence number of a job in it.
	sampledMS int64
	sequence  uint64
	seen      forecast.Arrivals
}

// add samples the work that arrived since the last call. expect returns the expected
// duration in ms of a task of a step.
func (a *arrivals) add(v *work.View, nowMS int64, expect func(j *work.Job, step int) int64) {
	fromMS, partMS, seen := a.sampledMS, nowMS-a.sampledMS, a.sequence
	first := fromMS == 0
	if first {
		fromMS, partMS = nowMS-firstArrivalsMS, arrivalPartMS
	}
	parts := make([]map[string]forecast.Work, max(1, (nowMS-fromMS)/max(1, partMS)))
	for i := range parts {
		parts[i] = map[string]forecast.Work{}
	}
	for _, j := range v.Live {
		a.sequence = max(a.sequence, j.Sequence)
		if j.Sequence <= seen || (first && j.SubmittedMS <= fromMS) || j.Spec.LongLived() {
			continue
		}
		part := parts[len(parts)-1]
		if first && j.SubmittedMS < nowMS {
			part = parts[(j.SubmittedMS-fromMS)/partMS]
		}
		sum := part[j.Pool]
		sum.Jobs++
		for i := range j.Tasks {
			step := j.Tasks[i].Step
			sum.CPU += float64(j.Spec.Steps[step].Reserved().MilliCPU) * float64(expect(j, step)) / 1000
		}
		part[j.Pool] = sum
	}
	for i, pools := range parts {
		from := fromMS + int64(i)*partMS
		a.seen.Add(from, from+partMS, pools)
	}
	a.sampledMS = nowMS
}

// rate returns the work that arrives per second, in thousandths of a core-second, and
// by how much it rises per second.
func (a *arrivals) rate(pool string) (perSecond, rise float64) { return a.seen.Rate(pool) }
