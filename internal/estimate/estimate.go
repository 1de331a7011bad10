// Package estimate estimates the run time and size of job kinds from usage
// reports and finished runs. The declared values are a prior whose weight falls
// as runs accumulate. Memory is bounded; the state is soft, and a new leader
// starts from the declared values.
package estimate

import (
	"container/list"
	"math"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Bounds of the memory used.
const (
	maxKinds = 1024
	// maxOpenAttempts bounds the attempts whose usage is followed until they finish.
	maxOpenAttempts = 16384
	// buckets cover values from 1 to 2^24 in steps of 2^(1/4): run times up to
	// 4.6 hours in milliseconds, memory up to 16 TB in MB.
	buckets            = 96
	bucketsPerDoubling = 4
	// decayThreshold is the number of values at which all counts are halved, so
	// that the estimates follow a kind that changes.
	decayThreshold = 512
)

// Weight of the declared value: it counts as priorWeight runs at first, and not
// at all after priorVanishesAt runs. If its weight fell more slowly, a declared
// value a hundred times too large would stay the 95th percentile.
const (
	priorWeight     = 5.0
	priorVanishesAt = 20.0
)

// Declared is the declared size of a job kind.
type Declared struct {
	Run                 time.Duration
	CPUMillis, MemoryMB int
}

// Estimate is the expected run time and size of a run of a job kind.
type Estimate struct {
	// RunP50 and RunP95 are quantiles of the run time.
	RunP50, RunP95 time.Duration
	// CPUMillis and MemoryMB are 95th percentiles of the peak of a run.
	CPUMillis, MemoryMB int
	// Runs is the number of runs behind the run time, after decay.
	Runs int
}

// histogram counts values in buckets whose bounds grow by a constant ratio. It
// keeps the largest value of each bucket, since the bucket's bound could exceed
// the capacity of every host although the largest run fitted one.
type histogram struct {
	counts  [buckets]uint16
	largest [buckets]int64
	total   int
}

func bucketOf(v int64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(v))-1e-9)), buckets-1)
}

func (h *histogram) add(v int64) {
	b := bucketOf(v)
	h.counts[b]++
	h.largest[b] = max(h.largest[b], v)
	h.total++
	if h.total < decayThreshold {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the largest value of the bucket that holds the quantile. The
// declared value counts with its falling weight; without any values it is the
// result.
func (h *histogram) quantile(q float64, declared int64) int64 {
	if h.total == 0 {
		return declared
	}
	prior := priorWeight * max(0, 1-float64(h.total)/priorVanishesAt)
	rank := q * (float64(h.total) + prior)
	cumulative, value, declaredBucket := 0.0, int64(0), bucketOf(declared)
	for b := range h.counts {
		weight, largest := float64(h.counts[b]), h.largest[b]
		if prior > 0 && b == declaredBucket {
			weight += prior
			largest = max(largest, declared)
		}
		if weight == 0 {
			continue
		}
		cumulative, value = cumulative+weight, largest
		if cumulative >= rank {
			break
		}
	}
	return value
}

type kindStats struct {
	name             string
	run, cpu, memory histogram
}

type attemptID struct {
	key    string
	number int
}

// attemptPeak holds the peak usage of one running attempt. countedRunMS is the
// run time at which it was last counted as a run of that length.
type attemptPeak struct {
	id           attemptID
	cpu, memory  int
	countedRunMS int64
}

// Estimator collects usage and run times. It is not safe for concurrent use.
type Estimator struct {
	kinds       map[string]*list.Element
	recentKinds *list.List // of *kindStats, most recently used first
	open        map[attemptID]*list.Element
	openByAge   *list.List // of *attemptPeak, oldest first
}

// New returns an estimator without runs.
func New() *Estimator {
	return &Estimator{
		kinds: map[string]*list.Element{}, recentKinds: list.New(),
		open: map[attemptID]*list.Element{}, openByAge: list.New(),
	}
}

// stats returns the statistics of a kind and drops the least recently used
// kind if there are too many.
func (l *Estimator) stats(kind string) *kindStats {
	if e := l.kinds[kind]; e != nil {
		l.recentKinds.MoveToFront(e)
		return e.Value.(*kindStats)
	}
	if l.recentKinds.Len() >= maxKinds {
		oldest := l.recentKinds.Back()
		delete(l.kinds, oldest.Value.(*kindStats).name)
		l.recentKinds.Remove(oldest)
	}
	s := &kindStats{name: kind}
	l.kinds[kind] = l.recentKinds.PushFront(s)
	return s
}

// Usage records a target's report about a running attempt. A run longer than the
// 95th percentile counts as a run of its present length, and again each time that
// has doubled, since a kind whose long runs have not finished yet would otherwise
// look short.
func (l *Estimator) Usage(kind string, u model.Usage) {
	id := attemptID{u.Request, u.Attempt}
	e := l.open[id]
	if e == nil {
		if len(l.open) >= maxOpenAttempts {
			l.removeOpen(l.openByAge.Front())
		}
		e = l.openByAge.PushBack(&attemptPeak{id: id})
		l.open[id] = e
	}
	p := e.Value.(*attemptPeak)
	p.cpu, p.memory = max(p.cpu, u.CPUMillis), max(p.memory, u.MemoryMB)
	s := l.stats(kind)
	if s.run.total > 0 && u.RunMS > s.run.quantile(0.95, 0) && u.RunMS >= 2*p.countedRunMS {
		s.run.add(u.RunMS)
		p.countedRunMS = u.RunMS
	}
}

// RecordFinished records the run time of an attempt that ended by itself, and its
// peak usage if there was a usage report.
func (l *Estimator) RecordFinished(kind, key string, attempt int, run time.Duration) {
	s := l.stats(kind)
	if run > 0 {
		s.run.add(run.Milliseconds())
	}
	e := l.open[attemptID{key, attempt}]
	if e == nil {
		return
	}
	p := e.Value.(*attemptPeak)
	if p.cpu > 0 {
		s.cpu.add(int64(p.cpu))
	}
	if p.memory > 0 {
		s.memory.add(int64(p.memory))
	}
	l.removeOpen(e)
}

// Discard drops an attempt whose run must not count, such as a lost or stopped
// one.
func (l *Estimator) Discard(key string, attempt int) {
	if e := l.open[attemptID{key, attempt}]; e != nil {
		l.removeOpen(e)
	}
}

func (l *Estimator) removeOpen(e *list.Element) {
	delete(l.open, e.Value.(*attemptPeak).id)
	l.openByAge.Remove(e)
}

// Estimate returns the quantiles of a kind.
func (l *Estimator) Estimate(kind string, d Declared) Estimate {
	e := l.kinds[kind]
	if e == nil {
		return Estimate{RunP50: d.Run, RunP95: d.Run, CPUMillis: d.CPUMillis, MemoryMB: d.MemoryMB}
	}
	s := e.Value.(*kindStats)
	millis := d.Run.Milliseconds()
	return Estimate{
		RunP50:    time.Duration(s.run.quantile(0.5, millis)) * time.Millisecond,
		RunP95:    time.Duration(s.run.quantile(0.95, millis)) * time.Millisecond,
		CPUMillis: int(s.cpu.quantile(0.95, int64(d.CPUMillis))),
		MemoryMB:  int(s.memory.quantile(0.95, int64(d.MemoryMB))),
		Runs:      s.run.total,
	}
}

// Size returns the numbers of kinds and of open attempts held in memory.
func (l *Estimator) Size() (kinds, open int) { return len(l.kinds), len(l.open) }
