package leader

import (
	"math"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// arrivalWindowMS is the window over which arriving work is measured: long enough
	// for several jobs, and short against a demand peak of 4 s. A rise is detected by
	// comparing two such windows.
	arrivalWindowMS = 500
	// riseDeviations is how many standard deviations of the job count a rise has to
	// exceed. Chance alone exceeds two of them once in 40 times.
	riseDeviations = 2
)

// arrivals measures the work that arrives for each pool.
type arrivals struct {
	// sampledMS is the time of the last sample, in Unix ms, and sequence the highest
	// sequence number of a job in it.
	sampledMS int64
	sequence  uint64
	samples   []arrivalSample
}

// arrivalSample is the work that arrived between two samples.
type arrivalSample struct {
	fromMS int64
	pools  map[string]arrivedWork
}

type arrivedWork struct {
	jobs int
	work float64 // in thousandths of a core-second
}

// add samples the work that arrived since the last call. expect returns the expected
// duration in ms of a task of a step.
func (a *arrivals) add(v *work.View, nowMS int64, expect func(j *work.Job, step int) int64) {
	first, seen := a.sampledMS == 0, a.sequence
	sample := arrivalSample{fromMS: a.sampledMS, pools: map[string]arrivedWork{}}
	if first {
		sample.fromMS = nowMS - arrivalWindowMS
	}
	for _, j := range v.Live {
		a.sequence = max(a.sequence, j.Sequence)
		if j.Sequence <= seen || (first && j.SubmittedMS <= sample.fromMS) || j.Spec.LongLived() {
			continue
		}
		sum := sample.pools[j.Pool]
		sum.jobs++
		for i := range j.Tasks {
			step := j.Tasks[i].Step
			sum.work += float64(j.Spec.Steps[step].Reserved().MilliCPU) * float64(expect(j, step)) / 1000
		}
		sample.pools[j.Pool] = sum
	}
	a.samples = append(a.samples, sample)
	a.sampledMS = nowMS
	a.samples = slices.DeleteFunc(a.samples, func(sample arrivalSample) bool { return sample.fromMS < nowMS-2*arrivalWindowMS-arrivalWindowMS/2 })
}

// rate returns the work that arrives per second, in thousandths of a core-second, and
// by how much it rises per second. The rise is 0 unless it is statistically
// significant.
func (a *arrivals) rate(pool string) (perSecond, rise float64) {
	var recent, before arrivedWork
	for _, sample := range a.samples {
		into := &before
		if sample.fromMS >= a.sampledMS-arrivalWindowMS {
			into = &recent
		}
		into.jobs += sample.pools[pool].jobs
		into.work += sample.pools[pool].work
	}
	const seconds = arrivalWindowMS / 1000.0
	perSecond = recent.work / seconds
	if more := float64(recent.jobs - before.jobs); more > riseDeviations*math.Sqrt(float64(recent.jobs+before.jobs)) {
		rise = max(0, perSecond-before.work/seconds) / seconds
	}
	return perSecond, rise
}
