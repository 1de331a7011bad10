package leader

import (
	"agatehaven.dev/agatehaven/internal/forecast"
	"agatehaven.dev/agatehaven/internal/work"
)

// firstArrivalsMS is how far the first look at the jobs goes back.
const firstArrivalsMS = 500

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
	first, seen, fromMS := a.sampledMS == 0, a.sequence, a.sampledMS
	if first {
		fromMS = nowMS - firstArrivalsMS
	}
	pools := map[string]forecast.Work{}
	for _, j := range v.Live {
		a.sequence = max(a.sequence, j.Sequence)
		if j.Sequence <= seen || (first && j.SubmittedMS <= fromMS) || j.Spec.LongLived() {
			continue
		}
		sum := pools[j.Pool]
		sum.Jobs++
		for i := range j.Tasks {
			step := j.Tasks[i].Step
			sum.CPU += float64(j.Spec.Steps[step].Reserved().MilliCPU) * float64(expect(j, step)) / 1000
		}
		pools[j.Pool] = sum
	}
	a.seen.Add(fromMS, nowMS, pools)
	a.sampledMS = nowMS
}

// rate returns the work that arrives per second, in thousandths of a core-second, and
// by how much it rises per second.
func (a *arrivals) rate(pool string) (perSecond, rise float64) { return a.seen.Rate(pool) }
