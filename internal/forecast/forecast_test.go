package forecast_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/forecast"
)

const (
	tickMS = 100
	// jobCPU is the work of a job in thousandths of a core-second.
	jobCPU = 50_000.0
)

// load feeds arrivals, a tick at a time.
type load struct {
	forecast.Arrivals
	nowMS int64
	rnd   *rand.Rand
}

func newLoad() *load {
	return &load{nowMS: 1_000_000, rnd: rand.New(rand.NewPCG(1, 2))}
}

// tick adds the jobs of a tick. They arrive at random, perSecond in the mean.
func (l *load) tick(perSecond float64) {
	jobs := 0
	// A second of a hundred parts, in each of which a job arrives or not.
	for range 100 {
		if l.rnd.Float64() < perSecond*tickMS/1000/100 {
			jobs++
		}
	}
	l.exactly(jobs)
}

func (l *load) exactly(jobs int) {
	l.Add(l.nowMS, l.nowMS+tickMS, map[string]forecast.Work{"desk": {Jobs: jobs, CPU: float64(jobs) * jobCPU}})
	l.nowMS += tickMS
}

// A queue's demand builds up from next to nothing to a hundred jobs a second within four
// seconds. Each half second brings only a few jobs more than the one before, which may be
// chance; each second brings clearly more.
func TestAPeakThatBuildsUpOverSecondsIsForeseen(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 30 {
		l.tick(1)
	}
	foreseen := 0
	for i := range 40 {
		l.tick(2.5 * float64(i+1))
		if _, rise := l.Rate("desk"); rise > 0 {
			foreseen++
			g.Expect(rise).To(BeNumerically("<", 100*jobCPU), "the demand rises by 25 jobs a second each second")
		}
	}
	g.Expect(foreseen).To(BeNumerically(">=", 28), "the rise is seen in most of the build-up")
}

// Steady demand of thirty jobs a second that arrive at random, for ten minutes.
func TestSteadyRandomDemandIsSeldomTakenForARise(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	rises, ticks := 0, 10*60*1000/tickMS
	for range ticks {
		l.tick(30)
		if _, rise := l.Rate("desk"); rise > 0 {
			rises++
		}
	}
	g.Expect(float64(rises) / float64(ticks)).To(BeNumerically("<", 0.06))
}

// Demand that pauses for half a second within a peak, and returns to its former height.
func TestAReturnToARecentRateIsNoRise(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 30 {
		l.exactly(6)
	}
	for range 5 {
		l.exactly(0)
	}
	for range 5 {
		l.exactly(6)
		_, rise := l.Rate("desk")
		g.Expect(rise).To(BeZero())
	}
	for range 5 {
		l.exactly(20)
	}
	_, rise := l.Rate("desk")
	g.Expect(rise).To(BeNumerically(">", 0), "more than before is a rise")
}

// A peak that ends at once: the foreseen rise is gone within a second.
func TestTheRiseEndsWithThePeak(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 30 {
		l.exactly(0)
	}
	for i := range 20 {
		l.exactly(i)
	}
	_, rise := l.Rate("desk")
	g.Expect(rise).To(BeNumerically(">", 0))
	for range 10 {
		l.exactly(0)
	}
	rate, rise := l.Rate("desk")
	g.Expect(rate).To(BeZero())
	g.Expect(rise).To(BeZero())
}

// A new leader that takes over in the middle of steady demand has seen nothing before it.
func TestDemandBeforeTheFirstSampleIsUnknown(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for range 19 {
		l.exactly(5)
		_, rise := l.Rate("desk")
		g.Expect(rise).To(BeZero())
	}
	rate, _ := l.Rate("desk")
	g.Expect(rate).To(BeNumerically("~", 50*jobCPU))
	rate, _ = l.Rate("cuts")
	g.Expect(rate).To(BeZero())
}

// A queue's demand that rises to twenty times its height at once.
func TestASuddenPeakIsSeenWithinHalfASecond(t *testing.T) {
	g := NewWithT(t)
	l := newLoad()
	for i := range 30 {
		l.exactly(i % 2)
	}
	for range 3 {
		l.exactly(10)
	}
	_, rise := l.Rate("desk")
	g.Expect(rise).To(BeNumerically(">", 60*jobCPU))
}
