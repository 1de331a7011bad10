package estimate_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/model"
)

func TestEstimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimate")
}

var declared = estimate.Declared{Run: 100 * time.Second, CPUMillis: 16000, MemoryMB: 64000}

func run(l *estimate.Estimator, i int, d time.Duration, cpu, memory int) {
	key := fmt.Sprint(i)
	l.Usage("k", model.Usage{Request: key, Attempt: 1, CPUMillis: cpu / 2, MemoryMB: memory})
	l.Usage("k", model.Usage{Request: key, Attempt: 1, CPUMillis: cpu, MemoryMB: memory / 2})
	l.RecordFinished("k", key, 1, d)
}

var _ = Describe("Estimator", func() {
	It("starts from the declared values", func() {
		// Guards against kinds without any run that are estimated as zero.
		l := estimate.New()
		want := estimate.Estimate{RunP50: declared.Run, RunP95: declared.Run, CPUMillis: 16000, MemoryMB: 64000}
		Expect(l.Estimate("k", declared)).To(Equal(want))
		l.Usage("k", model.Usage{Request: "a", Attempt: 1, CPUMillis: 5, MemoryMB: 5, RunMS: 10})
		Expect(l.Estimate("k", declared)).To(Equal(want), "an unfinished run does not count towards the size")
	})

	It("replaces declared values that are a hundred times wrong, step by step", func() {
		// Guards against a wrong declaration that delays jobs, or overcommits their
		// hosts, for ever.
		l := estimate.New()
		for i := range 3 {
			run(l, i, time.Second, 160, 640)
		}
		early := l.Estimate("k", declared)
		Expect(early.RunP95).To(BeNumerically(">=", 100*time.Second), "three runs are not enough for the tail")
		for i := 3; i < 20; i++ {
			run(l, i, time.Second, 160, 640)
		}
		late := l.Estimate("k", declared)
		Expect(late.RunP95).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 1200*time.Millisecond)))
		Expect(late.CPUMillis).To(And(BeNumerically(">=", 160), BeNumerically("<", 195)))
		Expect(late.MemoryMB).To(And(BeNumerically(">=", 640), BeNumerically("<", 770)))
		Expect(late.Runs).To(Equal(20))
	})

	It("keeps the tail apart from the median", func() {
		// Guards against an estimate that is the mean of short and long runs.
		l := estimate.New()
		for i := range 100 {
			d := time.Second
			if i%10 == 0 {
				d = time.Minute
			}
			run(l, i, d, 100, 100)
		}
		e := l.Estimate("k", declared)
		Expect(e.RunP50).To(BeNumerically("<", 1200*time.Millisecond))
		Expect(e.RunP95).To(BeNumerically(">=", time.Minute))
	})

	It("never exceeds the largest value seen or declared", func() {
		// Guards against a kind that exactly fits a host and is then parked
		// because its estimate was rounded up.
		l := estimate.New()
		for i := range 30 {
			Expect(l.Estimate("k", declared).CPUMillis).To(Equal(16000))
			run(l, i, time.Second, 16000, 100)
		}
	})

	It("counts long runs that have not finished yet", func() {
		// Guards against a kind whose long runs count only once they end.
		l := estimate.New()
		for i := range 20 {
			run(l, i, time.Second, 100, 100)
		}
		for i := range 10 {
			l.Usage("k", model.Usage{Request: fmt.Sprint("long", i), Attempt: 1, RunMS: 60_000})
		}
		Expect(l.Estimate("k", declared).RunP95).To(BeNumerically(">=", time.Minute))
	})

	It("follows a kind that changes", func() {
		// Guards against old runs that never lose their weight.
		l := estimate.New()
		for i := range 5000 {
			run(l, i, time.Minute, 100, 100)
		}
		for i := range 1000 {
			run(l, i, time.Second, 100, 100)
		}
		Expect(l.Estimate("k", declared).RunP50).To(BeNumerically("<", 1200*time.Millisecond))
	})

	It("bounds its memory", func() {
		// Guards against growth with kinds and with attempts that never end.
		l := estimate.New()
		for i := range 20000 {
			l.Usage(fmt.Sprint("kind", i%3000), model.Usage{Request: fmt.Sprint(i), Attempt: 1})
		}
		kinds, open := l.Size()
		Expect([]int{kinds, open}).To(Equal([]int{1024, 16384}))
		l.Discard("19999", 1)
		_, open = l.Size()
		Expect(open).To(Equal(16383))
	})
})
