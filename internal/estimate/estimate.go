// Package estimate learns the run time and size of job kinds from usage
// reports and finished runs. The declared values are a prior that fades as
// evidence accumulates. Memory is bounded; the state is soft and a new leader
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
	// maxOpen bounds the attempts whose usage is followed until they finish.
	maxOpen = 16384
	// buckets cover values from 1 to 2^24 in steps of 2^(1/4): run times up to
	// 4.6 hours in milliseconds, memory up to 16 TB in MB.
	buckets        = 96
	bucketsPerStep = 4
	// decayAt halves all counts, so that a changed kind is learned anew.
	decayAt = 512
)

// Evidence needed to replace the declared value: it weighs as priorWeight
// runs at first and nothing after fadedAt runs. A slower fade would leave a
// declared value that is a hundred times too large in the 95th percentile.
const (
	priorWeight = 5.0
	fadedAt     = 20.0
)

// Declared is the declared size of a job kind.
type Declared struct {
	Run                 time.Duration
	CPUMillis, MemoryMB int
}

// Estimate is what is known about one run of a job kind.
type Estimate struct {
	// RunP50 and RunP95 are quantiles of the run time.
	RunP50, RunP95 time.Duration
	// CPUMillis and MemoryMB are 95th percentiles of the peak of a run.
	CPUMillis, MemoryMB int
	// Runs is the number of runs behind the run time, after decay.
	Runs int
}

// histogram counts values in buckets of equal ratio. It keeps the largest value
// of each bucket, since a bucket's bound could exceed every host that the
// largest run did fit.
type histogram struct {
	counts  [buckets]uint16
	largest [buckets]int64
	total   int
}

func bucketOf(v int64) int {
	if v <= 1 {
		return 0
	}
	return min(int(math.Ceil(bucketsPerStep*math.Log2(float64(v))-1e-9)), buckets-1)
}

func (h *histogram) add(v int64) {
	b := bucketOf(v)
	h.counts[b]++
	h.largest[b] = max(h.largest[b], v)
	h.total++
	if h.total < decayAt {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the largest value of the bucket that holds the quantile. The
// declared value takes part with its fading weight; without evidence it is the
// result.
func (h *histogram) quantile(q float64, declared int64) int64 {
	if h.total == 0 {
		return declared
	}
	prior := priorWeight * max(0, 1-float64(h.total)/fadedAt)
	rank := q * (float64(h.total) + prior)
	sum, value, declaredBucket := 0.0, int64(0), bucketOf(declared)
	for b := range h.counts {
		weight, largest := float64(h.counts[b]), h.largest[b]
		if prior > 0 && b == declaredBucket {
			weight += prior
			largest = max(largest, declared)
		}
		if weight == 0 {
			continue
		}
		sum, value = sum+weight, largest
		if sum >= rank {
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

// peak follows one running attempt. censored is the run time at which it was
// last counted as a run that takes at least that long.
type peak struct {
	id          attemptID
	cpu, memory int
	censored    int64
}

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	kinds   map[string]*list.Element
	recent  *list.List // of *kindStats, most recently used first
	open    map[attemptID]*list.Element
	started *list.List // of *peak, oldest first
}

// New returns a learner without evidence.
func New() *Estimator {
	return &Estimator{
		kinds: map[string]*list.Element{}, recent: list.New(),
		open: map[attemptID]*list.Element{}, started: list.New(),
	}
}

// stats returns the statistics of a kind and drops the least recently used
// kind if there are too many.
func (l *Estimator) stats(kind string) *kindStats {
	if e := l.kinds[kind]; e != nil {
		l.recent.MoveToFront(e)
		return e.Value.(*kindStats)
	}
	if l.recent.Len() >= maxKinds {
		oldest := l.recent.Back()
		delete(l.kinds, oldest.Value.(*kindStats).name)
		l.recent.Remove(oldest)
	}
	s := &kindStats{name: kind}
	l.kinds[kind] = l.recent.PushFront(s)
	return s
}

// Usage takes a target's report about a running attempt. A run that has passed
// the 95th percentile counts as a run of that length, once per doubling, since
// a kind whose long runs have not finished yet would otherwise look short.
func (l *Estimator) Usage(kind string, u model.Usage) {
	id := attemptID{u.Request, u.Attempt}
	e := l.open[id]
	if e == nil {
		if len(l.open) >= maxOpen {
			l.drop(l.started.Front())
		}
		e = l.started.PushBack(&peak{id: id})
		l.open[id] = e
	}
	p := e.Value.(*peak)
	p.cpu, p.memory = max(p.cpu, u.CPUMillis), max(p.memory, u.MemoryMB)
	s := l.stats(kind)
	if s.run.total > 0 && u.RunMS > s.run.quantile(0.95, 0) && u.RunMS >= 2*p.censored {
		s.run.add(u.RunMS)
		p.censored = u.RunMS
	}
}

// RecordFinished takes the run time of an attempt that ended by itself. Attempts
// without a usage report teach only the run time.
func (l *Estimator) RecordFinished(kind, key string, attempt int, run time.Duration) {
	s := l.stats(kind)
	if run > 0 {
		s.run.add(run.Milliseconds())
	}
	e := l.open[attemptID{key, attempt}]
	if e == nil {
		return
	}
	p := e.Value.(*peak)
	if p.cpu > 0 {
		s.cpu.add(int64(p.cpu))
	}
	if p.memory > 0 {
		s.memory.add(int64(p.memory))
	}
	l.drop(e)
}

// Discard forgets an attempt whose run tells nothing, such as a lost or stopped
// one.
func (l *Estimator) Discard(key string, attempt int) {
	if e := l.open[attemptID{key, attempt}]; e != nil {
		l.drop(e)
	}
}

func (l *Estimator) drop(e *list.Element) {
	delete(l.open, e.Value.(*peak).id)
	l.started.Remove(e)
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
