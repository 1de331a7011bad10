package schedule_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// BenchmarkPlanBlocked plans for a pool of 120 full hosts and 2,000 waiting jobs, of which the most
// urgent ones are too large for what comes free.
func BenchmarkPlanBlocked(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	p := newPoolOf(120, work.Demand{MilliCPU: 64_000, MemoryMB: 131_072})
	p.duration = expectedDuration(600)
	for i := range 120 {
		p.submit("r"+strconv.Itoa(i), "/q/", timed(9, 7000, 600))
	}
	p.run()
	for i := range 2000 {
		path, s := "/patient/", timed(8, 500+int64(i%40)*100, 400+int64(i%7)*200)
		if i%100 == 0 {
			path, s = "/q/", timed(4, 40_000, 600)
		}
		p.submit("w"+strconv.Itoa(i), path, s)
	}
	for _, c := range []struct {
		name string
		set  func(r *schedule.Request)
	}{
		{"plain", func(*schedule.Request) {}},
		{"places", func(r *schedule.Request) { r.MaxKept = maxKept }},
	} {
		b.Run(c.name, func(b *testing.B) {
			p.adjust, p.kept = c.set, nil
			p.plan()
			for step := range p.blockedSince {
				p.blockedSince[step] = 0 // it has waited for long
			}
			since := p.blockedSince
			p.adjust = func(r *schedule.Request) {
				c.set(r)
				r.BlockedBefore = since
			}
			for b.Loop() {
				p.plan()
			}
		})
	}
}
