package work_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("a gang", func() {
	It("starts a gang as a whole or not at all", func() {
		// Guards against a part of a gang that waits for members which were refused, because
		// the plan was outdated or had been cut off.
		r := newRegion()
		a, b := r.target("a", 1), r.target("b", 2)
		free := func() (cpu int64, runs int) {
			r.Read(func(v *work.View) {
				for _, t := range v.Targets {
					cpu, runs = cpu+v.Free(t).MilliCPU, runs+t.Runs()
				}
			})
			return cpu, runs
		}
		s := work.Step{Tasks: 3, Gang: true, Demand: work.Demand{MilliCPU: 2000}}
		r.submit("j", s)
		start := func(targets ...string) int {
			var starts []work.Start
			for i, t := range targets {
				starts = append(starts, work.Start{Task: task("j", 0, i), Target: t})
			}
			return len(r.do(&work.Command{Start: starts}).Started)
		}
		for _, targets := range [][]string{{a}, {a, b}, {a, a, a}, {a, b, "gone"}} {
			Expect(start(targets...)).To(BeZero(), "%v", targets)
			Expect(r.state("j")).To(Equal(work.Queued))
			cpu, runs := free()
			Expect([]int64{cpu, int64(runs)}).To(Equal([]int64{8000, 0}))
		}
		twice := work.Start{Task: task("j", 0, 0), Target: a}
		Expect(r.do(&work.Command{Start: []work.Start{twice, twice, twice}}).Started).To(BeEmpty())
		Expect(start(a, b, a)).To(Equal(3))
		cpu, runs := free()
		Expect([]int64{cpu, int64(runs)}).To(Equal([]int64{2000, 3}))
		Expect(start(a, b, a)).To(BeZero(), "they have begun")
	})

	It("resumes all members of a gang at one checkpoint", func() {
		// Guards against a gang that never works again: after the loss of a target before it
		// listed the newest checkpoint, its member resumed at an older one than the others.
		r := newRegion()
		var targets []string
		for i := range int64(3) {
			targets = append(targets, r.target("t"+strconv.FormatInt(i, 10), i+1))
		}
		r.submit("j", work.Step{Tasks: 3, Gang: true, Checkpoints: true})
		start := func() (checkpoints []string, run int) {
			var starts []work.Start
			for i, t := range targets {
				starts = append(starts, work.Start{Task: task("j", 0, i), Target: t})
			}
			for _, started := range r.do(&work.Command{Start: starts}).Started {
				checkpoints = append(checkpoints, started.Checkpoint)
				run = started.Run
			}
			return checkpoints, run
		}
		save := func(run, member int, value string) {
			r.nowMS += 100
			r.do(&work.Command{Reports: []work.Report{{Target: targets[member], Checkpoints: []work.Checkpoint{
				{Run: work.RunRef{Task: task("j", 0, member), Run: run}, Value: value},
			}}}})
		}
		closeAll := func(run int) {
			for i, t := range targets {
				r.do(&work.Command{Reports: []work.Report{{Target: t, Closed: []work.RunRef{{Task: task("j", 0, i), Run: run}}}}})
			}
		}
		checkpoints, run := start()
		Expect(checkpoints).To(Equal([]string{"", "", ""}))
		save(run, 0, "two")
		save(run, 1, "two")
		save(run, 2, "two")
		save(run, 1, "four")
		save(run, 2, "four") // the target of the first member is lost before it lists this one
		closeAll(run)
		checkpoints, run = start()
		Expect(checkpoints).To(Equal([]string{"four", "four", "four"}))
		save(run, 2, "six") // the only one that was listed
		closeAll(run)
		checkpoints, run = start()
		Expect(checkpoints).To(Equal([]string{"six", "six", "six"}))
		closeAll(run)
		checkpoints, _ = start()
		Expect(checkpoints).To(Equal([]string{"six", "six", "six"}))
	})
})
