package leader

import (
	"math"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// arrivalWindowMS is the time over which arriving work is measured: long
	// enough for several jobs, short against a turn of the demand of 4 s. A rise
	// is seen by comparing two such windows.
	arrivalWindowMS = 500
	// riseDeviations is how many standard deviations of the number of jobs a rise
	// has to exceed, since chance alone exceeds two of them once in 40 times.
	riseDeviations = 2
)

// arrivals measures the work that arrives for each pool.
type arrivals struct {
	// untilMS is the time of the last look, in Unix ms, and sequence the number of
	// the last job that was seen.
	untilMS  int64
	sequence uint64
	looks    []look
}

// look is what arrived between two looks at the state.
type look struct {
	fromMS int64
	pools  map[string]arrived
}

type arrived struct {
	jobs int
	work float64 // thousandths of a core-second
}

// add notes what arrived since the last look. The expected duration of a task
// of a step is in ms.
func (a *arrivals) add(v *work.View, nowMS int64, expect func(j *work.Job, step int) int64) {
	first, seen := a.untilMS == 0, a.sequence
	l := look{fromMS: a.untilMS, pools: map[string]arrived{}}
	if first {
		l.fromMS = nowMS - arrivalWindowMS
	}
	for _, j := range v.Live {
		a.sequence = max(a.sequence, j.Sequence)
		if j.Sequence <= seen || (first && j.SubmittedMS <= l.fromMS) || j.Spec.LongLived() {
			continue
		}
		sum := l.pools[j.Pool]
		sum.jobs++
		for i := range j.Tasks {
			step := j.Tasks[i].Step
			sum.work += float64(j.Spec.Steps[step].Reserved().MilliCPU) * float64(expect(j, step)) / 1000
		}
		l.pools[j.Pool] = sum
	}
	a.looks = append(a.looks, l)
	a.untilMS = nowMS
	a.looks = slices.DeleteFunc(a.looks, func(l look) bool { return l.fromMS < nowMS-2*arrivalWindowMS-arrivalWindowMS/2 })
}

// rate returns the work that arrives each second in thousandths of a
// core-second, and by how much it rises each second: 0 unless the rise is more
// than chance.
func (a *arrivals) rate(pool string) (perSecond, rise float64) {
	var recent, before arrived
	for _, l := range a.looks {
		into := &before
		if l.fromMS >= a.untilMS-arrivalWindowMS {
			into = &recent
		}
		into.jobs += l.pools[pool].jobs
		into.work += l.pools[pool].work
	}
	const seconds = arrivalWindowMS / 1000.0
	perSecond = recent.work / seconds
	if more := float64(recent.jobs - before.jobs); more > riseDeviations*math.Sqrt(float64(recent.jobs+before.jobs)) {
		rise = max(0, perSecond-before.work/seconds) / seconds
	}
	return perSecond, rise
}
