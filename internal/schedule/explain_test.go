package schedule_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// named returns a host with its id as its name.
func named(id string, free int64, labels ...string) *schedule.Host {
	h := host(id, "", free, labels...)
	h.Target.Host = id
	return h
}

// explained holds a request for an explanation, which a case may edit.
type explained struct {
	schedule.Request
	jobs  []*work.Job
	hosts []*schedule.Host
}

// of explains a job of these.
func (e *explained) of(id string) *schedule.Explanation {
	GinkgoHelper()
	i := slices.IndexFunc(e.jobs, func(j *work.Job) bool { return j.ID == id })
	Expect(i).To(BeNumerically(">=", 0))
	r := e.Request
	r.NowMS, r.TimeOfDayMS, r.Jobs = 2000, 2000, e.jobs
	r.Hosts = func(pool string) []*schedule.Host {
		if pool != "desk" {
			return nil
		}
		return e.hosts
	}
	r.Duration = func(*work.Job, int) int64 { return 1000 }
	if r.MaxStarts == 0 {
		r.MaxStarts = 100
	}
	return schedule.Explain(&r, e.jobs[i])
}

// ruledOut returns the names of the hosts that are ruled out for a step, by reason.
func ruledOut(s *schedule.StepExplanation) map[string][]string {
	out := map[string][]string{}
	for _, g := range s.Hosts {
		out[g.Reason] = g.Hosts
	}
	return out
}

var _ = Describe("Explain", func() {
	It("names the hosts on which tasks start, and for each other host what rules it out", func() {
		// Guards against an explanation that differs from the plan, and against a reason that is
		// not told.
		s := work.Step{Tasks: 2, Demand: work.Demand{MilliCPU: 1000, MemoryMB: 10, GPUs: 1}, Label: "fast", MaxPerHost: 1, FillIn: false}
		fits := func(id string, edit func(h *schedule.Host)) *schedule.Host {
			h := named(id, 2000, "fast")
			h.Free.MemoryMB, h.Free.GPUs = 100, 4
			edit(h)
			return h
		}
		e := explained{jobs: jobs(job("j", "/policy/", s)), hosts: []*schedule.Host{
			fits("best", func(h *schedule.Host) { h.Free.MilliCPU = 1500 }),
			fits("second", func(*schedule.Host) {}), fits("third", func(h *schedule.Host) { h.Free.MilliCPU = 4000 }),
			fits("cpu", func(h *schedule.Host) { h.Free.MilliCPU = 999 }), fits("memory", func(h *schedule.Host) { h.Free.MemoryMB = 9 }),
			fits("gpu", func(h *schedule.Host) { h.Free.GPUs = 0 }), fits("label", func(h *schedule.Host) { h.Target.Labels = nil }),
			fits("aside", func(h *schedule.Host) { h.SetAside = true }), fits("denied", func(*schedule.Host) {}),
			fits("unasked", func(*schedule.Host) {}),
		}}
		e.Denied = func(_ *work.Job, _ *work.Task, t *work.Target) bool { return t.ID == "denied" }
		e.Permitted = func(_ *work.Job, _ *work.Task, t *work.Target, _ []*schedule.Host) bool {
			return t.ID != "denied" && t.ID != "unasked"
		}
		x := e.of("j").Steps[0]
		Expect(x.Starts).To(Equal([]schedule.HostTasks{{Host: "best", Tasks: 1}, {Host: "second", Tasks: 1}}))
		Expect(x.Waiting).To(BeZero())
		Expect(x.Why).To(BeEmpty())
		Expect(ruledOut(&x)).To(Equal(map[string][]string{
			schedule.ReasonSuitsLess: {"third"}, string(schedule.NoCPU): {"cpu"}, string(schedule.NoMemory): {"memory"},
			string(schedule.NoGPU): {"gpu"}, string(schedule.NoLabel): {"label"}, string(schedule.SetAside): {"aside"},
			schedule.ReasonDenied: {"denied"}, schedule.ReasonNotPermitted: {"unasked"},
		}))
	})

	It("names hosts with work that would interfere, that are full of the step, or where the task failed", func() {
		// Guards against hosts that seem to have room.
		fill := work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: 1000}, FillIn: true}
		serving, filled := named("serving", 5000), named("filled", 5000)
		serving.HasServing, filled.FillInCPU = true, 4500
		e := explained{jobs: jobs(job("f", "/urgent/", fill)), hosts: []*schedule.Host{serving, filled}}
		x := e.of("f").Steps[0]
		Expect(x.Why).To(Equal(schedule.WaitsForRoom))
		Expect(ruledOut(&x)).To(Equal(map[string][]string{
			string(schedule.ServingWork): {"serving"}, string(schedule.FillInCPU): {"filled"},
		}))

		one := step(1, 1000)
		one.MaxPerHost = 1
		e = explained{jobs: jobs(job("j", "/urgent/", one)), hosts: []*schedule.Host{named("bad", 5000), named("full", 500)}}
		e.jobs[0].Tasks[0].FailedOn, e.jobs[0].Tasks[0].StartedMS = "bad", 1900
		e.hosts[0].Penalty = 1
		x = e.of("j").Steps[0]
		Expect(ruledOut(&x)).To(Equal(map[string][]string{schedule.ReasonFailedThere: {"bad"}, string(schedule.NoCPU): {"full"}}))
	})

	It("tells of the hosts as they are when it is the job's turn", func() {
		// Guards, with more urgent and less urgent jobs, against capacity that others get first
		// and that seems free, and against capacity that those behind it get and that seems taken.
		var all []work.Submission
		for i := range 3 {
			all = append(all, job("u"+strconv.Itoa(i), "/urgent/", step(1, 1000)))
		}
		all = append(all, job("other", "/urgent/", step(1, 1000)),
			job("j", "/patient/", step(2, 1500), step(1, 600)), job("p", "/patient/", step(1, 1000)))
		e := explained{jobs: jobs(all...), hosts: []*schedule.Host{named("a", 3000), named("b", 2500)}}
		for _, j := range e.jobs {
			if j.ID == "other" {
				j.Pool = "cuts"
			}
		}
		out := e.of("j")
		Expect(out.Ahead).To(Equal(3))
		Expect(out.StartsAhead).To(Equal(3))
		Expect(out.Status).To(Equal("in time"))
		x := out.Steps[0]
		Expect(x.Starts).To(Equal([]schedule.HostTasks{{Host: "a", Tasks: 1}}))
		Expect(x.Waiting).To(Equal(1))
		Expect(x.Hosts).To(Equal([]schedule.HostGroup{{
			Reason: string(schedule.NoCPU), Count: 1, Hosts: []string{"b"}, MostFree: &work.Demand{MilliCPU: 500},
		}}))
		Expect(out.Steps[1].Hosts).To(Equal([]schedule.HostGroup{{
			Reason: string(schedule.NoCPU), Count: 2, Hosts: []string{"a", "b"}, MostFree: &work.Demand{MilliCPU: 500},
		}}), "the first step has taken the rest")
	})

	It("places what the plan places", func() {
		// Guards, with jobs of mixed sizes beside each other, against an explanation for which a
		// plan of its own was made up.
		var all []work.Submission
		for i := range 40 {
			s := step(1+i%4, int64(300+i%7*400))
			s.Gang = i%5 == 0
			all = append(all, job("j"+strconv.Itoa(i), []string{"/urgent/", "/patient/"}[i%2], s))
		}
		pool := func() (hosts []*schedule.Host) {
			for i := range 12 {
				hosts = append(hosts, named(fmt.Sprintf("h%02d", i), int64(2000+i*150)))
			}
			return hosts
		}
		js := jobs(all...)
		starts := plan(2000, js, pool()...)
		for _, j := range js {
			want := map[string]int{}
			for _, s := range starts {
				if s.Task.Job == j.ID {
					want[s.Target]++
				}
			}
			e := explained{jobs: js, hosts: pool()}
			x := e.of(j.ID).Steps[0]
			got, n := map[string]int{}, 0
			for _, h := range x.Starts {
				got[h.Host+"@1"] = h.Tasks
				n += h.Tasks
			}
			Expect(got).To(Equal(want), j.ID)
			Expect(x.Waiting+n).To(Equal(x.Tasks), j.ID)
		}
	})

	DescribeTable("tells why tasks wait", func(edit func(e *explained), s work.Step, want schedule.WaitReason) {
		// Guards against a wait for something else that is taken for a lack of hosts.
		second := step(1, 1)
		second.After = []int{0}
		e := explained{jobs: jobs(job("j", "/policy/", s, second)), hosts: []*schedule.Host{named("a", 2000), named("b", 2000)}}
		edit(&e)
		out := e.of("j")
		Expect(out.Steps[0].Why).To(Equal(want))
		Expect(out.Steps[1].Why).To(Equal(schedule.WaitsForSteps))
		Expect(out.Steps[1].Hosts).To(BeEmpty())
	},
		Entry("for a host", func(*explained) {}, step(3, 2000), schedule.WaitsForRoom),
		Entry("for its time", func(e *explained) {
			e.jobs[0].Spec.Occurrences, e.jobs[0].Spec.FirstMS = 1, 5000
		}, step(1, 1000), schedule.WaitsForTime),
		Entry("for the other members of a gang", func(*explained) {},
			work.Step{Tasks: 3, Gang: true, Demand: work.Demand{MilliCPU: 1500}}, schedule.WaitsForAll),
		Entry("for members of a gang that still run", func(e *explained) {
			e.jobs[0].Tasks[0].Target = "a@1"
		}, work.Step{Tasks: 2, Gang: true, Demand: work.Demand{MilliCPU: 1500}}, schedule.WaitsForGang),
		Entry("for its customer's limit", func(e *explained) {
			e.jobs[0].Customer = "ann"
			e.Accounts = map[string]*schedule.Account{"ann": {
				Weight: 1, Limit: work.Demand{MilliCPU: 5000}, Used: work.Demand{MilliCPU: 4500},
			}}
		}, step(1, 1000), schedule.WaitsForLimit),
		Entry("for the rest of its customer's limit", func(e *explained) {
			e.jobs[0].Customer = "ann"
			e.Accounts = map[string]*schedule.Account{"ann": {
				Weight: 1, Limit: work.Demand{MilliCPU: 5000}, Used: work.Demand{MilliCPU: 3500},
			}}
		}, step(2, 1000), schedule.WaitsForLimit),
		Entry("for the policy service", func(e *explained) {
			e.Permitted = func(*work.Job, *work.Task, *work.Target, []*schedule.Host) bool { return false }
		}, step(1, 1000), schedule.WaitsForPolicy),
		Entry("behind a full plan", func(e *explained) {
			e.jobs = append(e.jobs, jobs(job("u", "/urgent/", step(1, 1)))...)
			e.MaxStarts = 1
			e.jobs[0].Priority = 1
		}, step(1, 1000), schedule.WaitsForPlan),
		Entry("behind a plan that ends with its own tasks", func(e *explained) { e.MaxStarts = 1 }, step(2, 1000), schedule.WaitsForPlan),
	)

	It("names the places that are kept, and the hosts that keep them for others", func() {
		// Guards, with a large task that has waited for long beside small ones, against a host
		// that seems to have room while it keeps a place, and against a place that is not told.
		p := poolWithBlockedTask(2000, "/q/", 6000)
		p.advance(simTickMS)
		p.submit("short", "/patient/", timed(1, 1000, 100))
		p.submit("long", "/patient/", timed(1, 3000, 9000))
		var asked map[string]*schedule.Explanation
		p.adjust = func(r *schedule.Request) {
			asked = map[string]*schedule.Explanation{}
			hosts := r.Hosts("desk")
			r.Hosts = func(string) (copies []*schedule.Host) {
				for _, h := range hosts {
					c := *h
					copies = append(copies, &c)
				}
				return copies
			}
			for _, j := range r.Jobs {
				other := *r
				asked[j.ID] = schedule.Explain(&other, j)
			}
		}
		p.advance(simTickMS)
		place := And(HaveField("Job", "large"), HaveField("Tasks", 1), HaveField("FreeInMS", BeNumerically(">", 0)))
		Expect(asked["large"].Places).To(ConsistOf(place))
		Expect(asked["large"].Steps[0].Why).To(Equal(schedule.WaitsForRoom))
		Expect(asked["short"].Steps[0].Waiting).To(BeZero())
		Expect(asked["long"].Places).To(ConsistOf(place))
		Expect(asked["long"].Steps[0].Why).To(Equal(schedule.WaitsForPlaces))
		Expect(ruledOut(&asked["long"].Steps[0])).To(HaveKey(schedule.ReasonKeepsPlace))
	})

	It("bounds what it names", func() {
		// Guards, with 2,000 hosts and 100 steps, against an answer that grows with them.
		steps := make([]work.Step, 100)
		for i := range steps {
			steps[i] = step(1, 9000)
		}
		e := explained{jobs: jobs(job("j", "/urgent/", steps...))}
		for i := range 2000 {
			e.hosts = append(e.hosts, named(fmt.Sprintf("h%04d", i), 1000))
		}
		out := e.of("j")
		Expect(len(out.Steps)).To(BeNumerically("<=", 32))
		Expect(len(out.Steps) + out.MoreSteps).To(Equal(100))
		Expect(out.Steps[0].Hosts).To(HaveLen(1))
		Expect(out.Steps[0].Hosts[0].Count).To(Equal(2000))
		Expect(len(out.Steps[0].Hosts[0].Hosts)).To(BeNumerically("<=", 20))
		Expect(out.Steps[0].Hosts[0].Hosts[0]).To(Equal("h0000"))
	})

	It("names the steps that no host of the region can take", func() {
		// Guards against a job that is said to wait for room and can never run.
		j := jobs(job("j", "/urgent/", step(1, 1000), step(1, 9000), work.Step{Tasks: 1, Label: "gpu"}))[0]
		types := []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}}
		Expect(schedule.FitsNoHost(j, types)).To(Equal([]int{1, 2}))
		Expect(schedule.FitsNoHost(j, nil)).To(BeEmpty())
	})
})

// BenchmarkExplain measures an explanation in the pool of BenchmarkPlan. The leader makes no plan
// meanwhile, so it should take about as long as one.
func BenchmarkExplain(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	r := fullPool(benchCustomers)
	j := r.Jobs[benchJobs/2]
	for b.Loop() {
		schedule.Explain(r, j)
	}
}
