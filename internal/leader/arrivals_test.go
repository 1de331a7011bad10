package leader

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against a pool that is sized for past demand at the start of a peak, when each
// tenth of a second brings more work than the last, and against a rise that is reported
// for steady arrivals whose number varies by chance.
func TestArrivalsReportOnlyASignificantRise(t *testing.T) {
	g := NewWithT(t)
	var a arrivals
	v := &work.View{Live: map[string]*work.Job{}}
	now, n := int64(10_000), 0
	tick := func(jobs int) {
		now += 100
		for range jobs {
			n++
			id := strconv.Itoa(n)
			v.Live[id] = &work.Job{
				ID: id, Pool: "desk", SubmittedMS: now, Sequence: uint64(n),
				Spec:  work.Spec{Steps: []work.Step{{Tasks: 1, Demand: work.Demand{MilliCPU: 2000}}}},
				Tasks: []work.Task{{}},
			}
		}
		a.add(v, now, func(*work.Job, int) int64 { return 500 })
	}
	for _, jobs := range []int{3, 1, 2, 4, 2, 3, 2, 1, 4, 2} {
		tick(jobs)
	}
	rate, rise := a.rate("desk")
	g.Expect(rate).To(BeNumerically("~", 24_000, 6_000)) // 24 jobs a second of one core-second each
	g.Expect(rise).To(BeZero())
	for _, jobs := range []int{4, 6, 8, 10, 12} {
		tick(jobs)
	}
	rate, rise = a.rate("desk")
	g.Expect(rate).To(BeNumerically("~", 80_000, 20_000))
	g.Expect(rise).To(BeNumerically(">", 50_000))
	rate, _ = a.rate("cuts")
	g.Expect(rate).To(BeZero())
}

// Guards against a new leader that takes over while a peak builds up and orders no hosts for it
// until it has seen two windows of its own.
func TestANewLeaderSeesTheRiseOfTheJobsThatItFinds(t *testing.T) {
	g := NewWithT(t)
	const now = 10_000
	found := func(submitted ...int64) *work.View {
		v := &work.View{Live: map[string]*work.Job{}}
		for i, at := range submitted {
			id := strconv.Itoa(i)
			v.Live[id] = &work.Job{
				ID: id, Pool: "desk", SubmittedMS: at, Sequence: uint64(i + 1),
				Spec:  work.Spec{Steps: []work.Step{{Tasks: 1, Demand: work.Demand{MilliCPU: 2000}}}},
				Tasks: []work.Task{{}},
			}
		}
		return v
	}
	second := func(*work.Job, int) int64 { return 1000 }
	var peak, steady arrivals
	peak.add(found(9050, 9450, 9510, 9550, 9600, 9650, 9700, 9750, 9800, 9850, 9900, 9950, 10_000), now, second)
	rate, rise := peak.rate("desk")
	g.Expect(rate).To(BeNumerically("~", 44_000)) // 11 jobs in half a second
	g.Expect(rise).To(BeNumerically("~", 72_000)) // 9 more than in the half second before
	steady.add(found(8000, 9050, 9150, 9250, 9350, 9450, 9550, 9650, 9750, 9850, 9950), now, second)
	_, rise = steady.rate("desk")
	g.Expect(rise).To(BeZero())
}
