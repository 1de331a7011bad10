// Package forecast estimates the work that arrives for pools, and how fast it grows. It is
// pure: the caller passes the time and what has arrived.
package forecast

import (
	"math"
	"slices"
)

const (
	// rateWindowMS is the window over which the rate of arrivals is measured: long enough
	// for several jobs, and short against a demand peak of 4 s.
	rateWindowMS = 500
	// trendWindowMS is the window for a peak that builds up over seconds. Between two
	// windows of rateWindowMS it grows by less than chance may.
	trendWindowMS = 1000
	// highMS is for how long a high rate is remembered. A return to it is not a rise.
	highMS = 3000
	// riseDeviations is how many standard deviations of the job count a rise has to
	// exceed. Chance alone exceeds two of them once in 40 times.
	riseDeviations = 2
)

// Work is work that has arrived for a pool.
type Work struct {
	Jobs int
	// CPU is their work in thousandths of a core-second.
	CPU float64
}

func (w *Work) add(other Work) {
	w.Jobs += other.Jobs
	w.CPU += other.CPU
}

// sample is the work that arrived since the sample before, from fromMS on.
type sample struct {
	fromMS int64
	pools  map[string]Work
}

// Arrivals measures the work that arrives. The zero value is ready to use.
type Arrivals struct {
	nowMS int64
	// sinceMS is from when on arrivals are known, 0 before the first sample.
	sinceMS int64
	samples []sample
}

// Add records the work that arrived from one time to another, in Unix ms.
func (a *Arrivals) Add(fromMS, nowMS int64, pools map[string]Work) {
	a.nowMS = nowMS
	if a.sinceMS == 0 {
		a.sinceMS = fromMS
	}
	a.samples = append(a.samples, sample{fromMS, pools})
	oldest := nowMS - max(highMS+rateWindowMS, 2*trendWindowMS)
	a.samples = slices.DeleteFunc(a.samples, func(s sample) bool { return s.fromMS < oldest })
}

// between returns the work for a pool that arrived between two ages in ms.
func (a *Arrivals) between(pool string, olderMS, newerMS int64) (sum Work) {
	for _, s := range a.samples {
		if age := a.nowMS - s.fromMS; age <= olderMS && age > newerMS {
			sum.add(s.pools[pool])
		}
	}
	return sum
}

// Rate returns the work that arrives for a pool per second, in thousandths of a core-second,
// and by how much it rises per second. The rise is 0 unless it is statistically significant.
func (a *Arrivals) Rate(pool string) (perSecond, rise float64) {
	perSecond = a.between(pool, rateWindowMS, 0).CPU * 1000 / rateWindowMS
	if a.rises(pool, rateWindowMS) {
		rise = max(0, perSecond-a.high(pool)) * 1000 / rateWindowMS
	}
	if a.rises(pool, trendWindowMS) {
		const seconds = trendWindowMS / 1000.0
		more := a.between(pool, trendWindowMS, 0).CPU - a.between(pool, 2*trendWindowMS, trendWindowMS).CPU
		rise = max(rise, more/seconds/seconds)
	}
	return perSecond, rise
}

// rises reports whether more jobs arrived in the last window than in the one before, by
// more than chance. It does not know before it has seen both.
func (a *Arrivals) rises(pool string, windowMS int64) bool {
	last, before := a.between(pool, windowMS, 0).Jobs, a.between(pool, 2*windowMS, windowMS).Jobs
	return a.nowMS-a.sinceMS >= 2*windowMS && float64(last-before) > riseDeviations*math.Sqrt(float64(last+before))
}

// high returns the highest rate of a pool in the windows before the last one.
func (a *Arrivals) high(pool string) (high float64) {
	for _, s := range a.samples {
		if age := a.nowMS - s.fromMS; age >= 2*rateWindowMS {
			high = max(high, a.between(pool, age, age-rateWindowMS).CPU*1000/rateWindowMS)
		}
	}
	return high
}
