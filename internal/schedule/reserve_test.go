package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// maxKept is the bound on the kept places of a pool in these specs.
const maxKept = 4

// timed returns a step whose tasks are expected to take ms.
func timed(tasks int, cpu, ms int64) work.Step {
	s := step(tasks, cpu)
	s.EstimateMS = ms
	return s
}

// poolWithPlaces returns a pool of hosts with 8 cores that keeps places. Tasks take the
// estimate, or what took holds for their job.
func poolWithPlaces(hosts int, took map[string]int64) *simulatedPool {
	p := newPoolOf(hosts, work.Demand{MilliCPU: 8000})
	p.maxKept = maxKept
	p.duration = func(j *work.Job, step int) int64 { return j.Spec.Steps[step].EstimateMS }
	p.took = func(_ int, s work.StartedRun) (ms int64) {
		if ms, known := took[s.Task.Job]; known {
			return ms
		}
		p.stateMachine.Read(func(v *work.View) { ms = v.Live[s.Task.Job].Spec.Steps[s.Task.Step].EstimateMS })
		return ms
	}
	return p
}

// advance lets the time pass in steps of tickMS, with a plan after each.
func (p *simulatedPool) advance(ms int64) {
	GinkgoHelper()
	for end := p.nowMS + ms; p.nowMS < end; {
		p.nowMS += simTickMS
		p.run()
	}
}

// waitLong makes a plan, after which the steps without room count as having waited for long.
func (p *simulatedPool) waitLong() {
	GinkgoHelper()
	p.advance(simTickMS)
	Expect(p.blockedSince).NotTo(BeEmpty())
	for step := range p.blockedSince {
		p.blockedSince[step] = 0
	}
}

// poolWithBlockedTask returns a pool of one host with a run of 5 cores, and a large task that
// has waited for long.
func poolWithBlockedTask(runMS int64, path string, cpu int64) *simulatedPool {
	GinkgoHelper()
	p := poolWithPlaces(1, nil)
	p.submit("runs", "/q/", timed(1, 5000, runMS))
	p.advance(simTickMS)
	p.submit("large", path, timed(1, cpu, 1000))
	p.waitLong()
	return p
}

var _ = Describe("Kept places", func() {
	// waitOfLarge submits small patient jobs all the time and a large one, and returns how long
	// the large one waits.
	waitOfLarge := func(kept int, large work.Step, smallMS, estimateMS int64) int64 {
		p := poolWithPlaces(2, nil)
		p.maxKept = kept
		p.took = func(_ int, s work.StartedRun) int64 {
			if s.Task.Job == "large" {
				return 1000
			}
			return smallMS
		}
		const untilMS = 20_000
		begin := p.nowMS
		for n := 0; p.nowMS < begin+untilMS; n++ {
			if p.nowMS == begin+1000 {
				p.submit("large", "/q/", large)
			}
			p.submit("s"+strconv.Itoa(n), "/patient/", timed(1, 1000, estimateMS))
			p.advance(simTickMS)
			if p.startedOn("large") != "" {
				return p.nowMS - begin - 1000
			}
		}
		return untilMS
	}

	It("let a large task start that small ones would starve", func() {
		// Load: small tasks arrive all the time and take each core that comes free, so that no
		// host ever has room for a large one.
		large := timed(1, 8000, 1000)
		Expect(waitOfLarge(0, large, 900, 900)).To(BeNumerically(">=", 19_000), "it starves without a place")
		Expect(waitOfLarge(maxKept, large, 900, 900)).To(BeNumerically("<=", 2000+simTickMS), "a place is kept after 1 s, and the runs before it end within another")
	})

	It("let a gang start that needs several hosts", func() {
		// Load: a gang needs all hosts at the same time, while small tasks take each core that
		// comes free.
		gang := timed(4, 4000, 1000)
		gang.Gang = true
		Expect(waitOfLarge(0, gang, 900, 900)).To(BeNumerically(">=", 19_000), "it starves without places")
		Expect(waitOfLarge(maxKept, gang, 900, 900)).To(BeNumerically("<=", 2000+simTickMS))
	})

	It("let a large task start if all estimates are off by half", func() {
		// Load: small tasks take twice or half as long as expected.
		large := timed(1, 8000, 1000)
		Expect(waitOfLarge(maxKept, large, 900, 450)).To(BeNumerically("<=", 1000+2*900))
		Expect(waitOfLarge(maxKept, large, 900, 1800)).To(BeNumerically("<=", 1000+2*900))
	})

	It("are filled by tasks that end in time or fit beside", func() {
		// Load: a large task waits for the end of a long run, and short tasks could use the
		// cores until then.
		p := poolWithBlockedTask(2000, "/q/", 7000)
		p.submit("short", "/patient/", timed(1, 1000, 1000))
		p.submit("long", "/patient/", timed(2, 1000, 5000))
		p.advance(simTickMS)
		Expect(p.kept).To(HaveLen(1))
		Expect(p.kept[0].Job).To(Equal("large"))
		Expect(p.kept[0].FreeAtMS).To(Equal(p.nowMS-2*simTickMS+2000), "the run's expected end")
		Expect(p.startedOn("short")).NotTo(BeEmpty(), "it ends in time")
		running := 0
		p.stateMachine.Read(func(v *work.View) { running = 2 - v.Live["long"].PendingTasks(0, 0) })
		Expect(running).To(Equal(1), "one fits beside the large task, the other would delay it")
		p.advance(2000)
		Expect(p.startedOn("large")).NotTo(BeEmpty())
		Expect(p.counts.Used).To(Equal(1))
	})

	It("do not bind tasks that are more urgent", func() {
		// Load: urgent tasks arrive while a patient large one waits.
		p := poolWithBlockedTask(1000, "/patient/", 8000)
		p.submit("small", "/patient/", timed(1, 1000, 5000))
		p.advance(simTickMS)
		Expect(p.kept).To(HaveLen(1))
		Expect(p.startedOn("small")).To(BeEmpty())
		p.submit("urgent", "/q/", timed(1, 1000, 5000))
		p.advance(simTickMS)
		Expect(p.startedOn("urgent")).NotTo(BeEmpty())
	})

	It("do not bind long-lived tasks", func() {
		// Load: a long-lived task of the same urgency lost its host and has to be up at once.
		p := poolWithBlockedTask(1000, "/q/", 8000)
		lasting := timed(1, 1000, 5000)
		lasting.LongLived = true
		p.submit("small", "/q/", timed(1, 1000, 5000))
		p.submit("lasting", "/patient/", lasting)
		p.advance(simTickMS)
		Expect(p.startedOn("lasting")).NotTo(BeEmpty())
		Expect(p.startedOn("small")).To(BeEmpty())
	})

	It("are given up if a straggler holds the host", func() {
		// Load: one in thirty runs takes seven times as long as expected.
		p := poolWithPlaces(2, map[string]int64{"straggler": 7000})
		p.submit("straggler", "/q/", timed(1, 6000, 1000))
		p.submit("runs", "/q/", timed(1, 8000, 2500))
		p.advance(simTickMS)
		p.submit("large", "/q/", timed(1, 7000, 1000))
		p.waitLong()
		p.submit("small", "/patient/", timed(1, 2000, 9000))
		p.advance(simTickMS)
		first := p.kept[0]
		Expect(first.Target).To(Equal(p.startedOn("straggler")))
		p.advance(first.PromisedMS + 400 - p.nowMS)
		Expect(p.kept[0].FreeAtMS).To(Equal(p.nowMS+400), "it is late by 400 ms, and taken to be for as long again")
		p.advance(600)
		Expect(p.counts.GivenUp).To(Equal(1), "the place is late by as much as the task would take")
		second := p.kept[0].Target
		Expect(second).To(Equal(p.startedOn("runs")))
		Expect(p.startedOn("small")).To(Equal(first.Target), "others may use the host again")
		p.advance(1000)
		Expect(p.startedOn("large")).To(Equal(second))
	})

	It("are given up with their host, and others are kept", func() {
		// Load: the host that keeps a place dies, drains, is set aside or is taken for a move.
		for name, lose := range map[string]func(p *simulatedPool, k schedule.Kept){
			"not usable": func(p *simulatedPool, k schedule.Kept) { p.away = map[string]bool{k.Host: true} },
			"set aside": func(p *simulatedPool, k schedule.Kept) {
				p.adjust = func(r *schedule.Request) {
					all := r.Hosts
					r.Hosts = func(pool string) []*schedule.Host {
						hosts := all(pool)
						for _, h := range hosts {
							h.SetAside = h.Target.Key() == k.Target
						}
						return hosts
					}
				}
			},
		} {
			p := poolWithPlaces(2, nil)
			p.submit("a", "/q/", timed(1, 6000, 1000))
			p.submit("b", "/q/", timed(1, 7500, 2000))
			p.advance(simTickMS)
			p.submit("large", "/q/", timed(1, 8000, 1000))
			p.waitLong()
			p.submit("small", "/patient/", timed(1, 2000, 9000))
			p.advance(simTickMS)
			first := p.kept[0]
			Expect(first.Target).To(Equal(p.startedOn("a")), name)
			lose(p, first)
			p.submit("tiny", "/patient/", timed(1, 500, 9000))
			p.advance(simTickMS)
			Expect(p.counts.GivenUp).To(Equal(1), name)
			Expect(p.kept).To(HaveLen(1), name)
			Expect(p.startedOn("tiny")).To(BeEmpty(), name)
			Expect(p.kept[0].Target).To(Equal(p.startedOn("b")), name)
		}
	})

	It("are not kept for a customer at its limit, nor for a task that waits for the policy", func() {
		// Load: what a large task waits for is not room, and no host may stand empty for it.
		for _, adjust := range []func(r *schedule.Request){
			func(r *schedule.Request) {
				r.Accounts = map[string]*schedule.Account{"": {Limit: work.Demand{MilliCPU: 1}}}
			},
			func(r *schedule.Request) {
				r.Permitted = func(j *work.Job, _ *work.Task, _ *work.Target, _ []*schedule.Host) bool { return j.ID != "large" }
				r.Denied = func(j *work.Job, _ *work.Task, _ *work.Target) bool { return j.ID == "large" }
			},
		} {
			p := poolWithBlockedTask(1000, "/q/", 7000)
			p.submit("small", "/patient/", timed(1, 2000, 9000))
			p.adjust = adjust
			p.advance(simTickMS)
			Expect(p.kept).To(BeEmpty())
		}
	})

	It("are kept across plans that end before their step", func() {
		// Load: a burst of urgent tasks takes all the starts of a plan.
		p := poolWithBlockedTask(9000, "/q/", 7000)
		p.submit("small", "/patient/", timed(1, 2000, 60_000))
		p.advance(simTickMS)
		Expect(p.kept).To(HaveLen(1))
		p.submit("urgent", "/q/", timed(3, 100, 5000))
		p.adjust = func(r *schedule.Request) { r.MaxStarts = 3 }
		p.advance(simTickMS)
		Expect(p.startedOn("urgent")).NotTo(BeEmpty())
		p.adjust = nil
		p.advance(simTickMS)
		Expect(p.kept).To(HaveLen(1))
		Expect(p.startedOn("small")).To(BeEmpty())
	})

	It("are kept behind steps that no host of the pool can take", func() {
		// Load: urgent jobs for which hosts have yet to come.
		p := poolWithPlaces(1, nil)
		p.submit("runs", "/q/", timed(1, 5000, 5000))
		p.advance(simTickMS)
		for i := range 10 {
			p.submit("huge"+strconv.Itoa(i), "/q/", timed(1, 9000, 1000))
			gang := timed(3, 7000, 1000)
			gang.Gang = true
			p.submit("gang"+strconv.Itoa(i), "/q/", gang)
		}
		p.submit("large", "/q/", timed(1, 7000, 1000))
		p.waitLong()
		p.submit("small", "/patient/", timed(1, 2000, 60_000))
		p.advance(simTickMS)
		Expect(p.kept).To(HaveLen(1))
		Expect(p.startedOn("small")).To(BeEmpty())
	})

	It("are not kept where there is room", func() {
		// Load: the policy service has not answered yet for a task that has room.
		p := poolWithPlaces(1, nil)
		p.adjust = func(r *schedule.Request) {
			r.Permitted = func(j *work.Job, _ *work.Task, _ *work.Target, _ []*schedule.Host) bool { return j.ID != "large" }
		}
		p.submit("large", "/q/", timed(1, 7000, 1000))
		p.waitLong()
		p.submit("small", "/patient/", timed(1, 2000, 9000))
		p.advance(simTickMS)
		Expect(p.startedOn("small")).NotTo(BeEmpty())
	})

	It("are kept for large tasks only, and once these have waited", func() {
		// Load: a pool is full for a moment, and tasks of which several fit on a host find room
		// as others end.
		for name, cpu := range map[string]int64{"large": 5000, "half of a host": 4000} {
			p := poolWithPlaces(1, nil)
			p.submit("runs", "/q/", timed(1, 5000, 1000))
			p.advance(simTickMS)
			p.submit("waits", "/q/", timed(1, cpu, 400))
			p.submit("small", "/patient/", timed(9, 100, 5000))
			p.advance(8 * simTickMS)
			Expect(p.kept).To(BeEmpty(), name)
			p.submit("small2", "/patient/", timed(1, 100, 5000))
			p.advance(simTickMS)
			Expect(p.kept).To(HaveLen(map[string]int{"large": 1}[name]), name)
		}
	})

	It("change no plan in which nothing smaller waits behind a task without room", func() {
		// Load: pools that are full of equal tasks, and pools with room for all.
		rng := rand.New(rand.NewPCG(1, 1))
		for range 50 {
			cpu, tasks := 1000+rng.Int64N(5)*1000, 1+rng.IntN(40)
			plans := [2][]work.Start{}
			for i, kept := range []int{0, maxKept} {
				p := poolWithPlaces(4, nil)
				p.maxKept = kept
				p.submit("a", "/q/", timed(tasks, cpu, 1000))
				p.submit("b", "/q/", timed(tasks, cpu, 700))
				p.submit("c", "/patient/", timed(tasks, cpu, 300))
				p.advance(simTickMS)
				plans[i] = p.plan()
				Expect(p.kept).To(BeEmpty())
				Expect(p.counts).To(BeZero())
			}
			Expect(plans[1]).To(Equal(plans[0]))
		}
	})

	It("never lead to a start that the rules refuse, nor to idle room for work that would end in time", func() {
		// Load: random pools with tasks of all sizes, gangs, labels and limits per host, some of
		// which overrun their expected duration.
		var counts schedule.PlaceCounts
		for seed := range uint64(40) {
			counts.Add(playRandomPool(rand.New(rand.NewPCG(seed, 7)), fmt.Sprintf("seed %d", seed)))
		}
		Expect(counts.Kept).To(BeNumerically(">", 0))
		Expect(counts.GivenUp).To(BeNumerically(">", 0))
		Expect(counts.Used).To(BeNumerically(">", 0))
		Expect(counts.Backfilled).To(BeNumerically(">", 0))
		Expect(counts.HeldBack).To(BeNumerically(">", 0))
	})
})

// playRandomPool lets random jobs run on a pool and checks each plan.
func playRandomPool(rng *rand.Rand, name string) schedule.PlaceCounts {
	GinkgoHelper()
	p := poolWithPlaces(4, nil)
	p.took = func(_ int, _ work.StartedRun) int64 { return 200 + rng.Int64N(2500) }
	p.check = func(r *schedule.Request, hosts []*schedule.Host, starts []work.Start) {
		Expect(len(r.Kept)).To(BeNumerically("<=", maxKept), name)
		for _, j := range r.Jobs {
			for i := range j.Spec.Steps {
				expectNoIdleRoom(r, hosts, starts, j, i, name)
			}
		}
	}
	for n := range 120 {
		if rng.IntN(3) > 0 {
			s := timed(1+rng.IntN(4), 500+rng.Int64N(7500), 200+rng.Int64N(2000))
			s.Gang, s.MaxPerHost = rng.IntN(5) == 0, rng.IntN(3)
			p.submit(strconv.Itoa(n), []string{"/q/", "/patient/"}[rng.IntN(2)], s)
		}
		p.advance(simTickMS)
		for step := range p.blockedSince {
			p.blockedSince[step] = 0 // it has waited for long
		}
	}
	return p.counts
}

// expectNoIdleRoom checks that no host has room for a waiting task which neither a place nor a
// rule keeps from it.
func expectNoIdleRoom(r *schedule.Request, hosts []*schedule.Host, starts []work.Start, j *work.Job, step int, name string) {
	GinkgoHelper()
	s := &j.Spec.Steps[step]
	for _, t := range j.Startable(0, step) {
		if s.Gang || slices.ContainsFunc(starts, func(st work.Start) bool { return st.Task == j.Ref(t) }) {
			continue
		}
		for _, h := range hosts {
			placed := 0
			for _, st := range starts {
				if st.Task.Job == j.ID && st.Target == h.Target.Key() {
					placed++
				}
			}
			if h.Obstacle(j, t, s, placed) != "" {
				continue
			}
			i := slices.IndexFunc(r.Kept, func(k schedule.Kept) bool { return k.Target == h.Target.Key() })
			Expect(i).To(BeNumerically(">=", 0), "%s: %s idles beside job %s", name, h.Target.ID, j.ID)
			Expect(r.NowMS+r.Duration(j, step)*8/5).To(BeNumerically(">", r.Kept[i].FreeAtMS), "%s: job %s would end in time", name, j.ID)
		}
	}
}
