package schedule_test

import (
	"math"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

func TestSchedule(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "schedule")
}

// jobs submits jobs to a state machine and returns them with their tasks.
func jobs(submissions ...work.Submission) []*work.Job {
	GinkgoHelper()
	m := work.New()
	apply := func(nowMS int64, c work.Command) {
		c.NowMS = nowMS
		data, err := codec.Marshal(&c)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Apply(replica.Entry{Data: data}).(*work.Result).Err).NotTo(HaveOccurred())
	}
	apply(1, work.Command{Configure: &work.Configuration{
		Version: 1, Pools: []work.Pool{{Name: "desk"}},
		Queues: []work.Queue{
			{Name: "urgent", Domain: "d", Prefix: "/urgent/", Pool: "desk", Attempts: 2, Stretch: 1.6, SlackMS: 600},
			{Name: "patient", Domain: "d", Prefix: "/patient/", Pool: "desk", Priority: 1, Attempts: 2, Stretch: 1.6, SlackMS: 600},
			{Name: "policy", Domain: "d", Prefix: "/policy/", Pool: "desk", Attempts: 2, Stretch: 1.6, SlackMS: 600, PolicyChecked: true},
		},
	}})
	for i := range submissions {
		s := submissions[i]
		s.Domain = "d"
		apply(1000+int64(i), work.Command{Submit: &s})
	}
	var out []*work.Job
	m.Read(func(v *work.View) {
		for _, j := range v.Live {
			out = append(out, j)
		}
	})
	return out
}

func step(tasks int, cpu int64) work.Step {
	return work.Step{Tasks: tasks, Demand: work.Demand{MilliCPU: cpu}}
}

func job(id, path string, steps ...work.Step) work.Submission {
	return work.Submission{ID: id, Path: path, Spec: work.Spec{Steps: steps}}
}

func host(id, rack string, free int64, labels ...string) *schedule.Host {
	return &schedule.Host{
		Target: &work.Target{ID: id, Born: 1, Pool: "desk", Rack: rack, Labels: labels},
		Free:   work.Demand{MilliCPU: free},
	}
}

func plan(nowMS int64, js []*work.Job, hosts ...*schedule.Host) []work.Start {
	return schedule.Plan(&schedule.Request{
		NowMS: nowMS, TimeOfDayMS: nowMS, Jobs: js, Hosts: func(string) []*schedule.Host { return hosts }, MaxStarts: 100,
		Duration: func(*work.Job, int) int64 { return 1000 },
	})
}

// jobIDs returns the job ids of the starts.
func jobIDs(starts []work.Start) (ids []string) {
	for _, s := range starts {
		ids = append(ids, s.Task.Job)
	}
	return ids
}

var _ = Describe("Plan", func() {
	It("serves urgent jobs first, and patient ones with the remaining capacity", func() {
		// Guards against urgent jobs that wait behind patient ones.
		starts := plan(2000, jobs(job("p", "/patient/", step(1, 1000)), job("u", "/urgent/", step(1, 1000))), host("a", "", 2000))
		Expect(jobIDs(starts)).To(Equal([]string{"u", "p"}))
	})

	It("puts jobs that can no longer be in time behind those that can", func() {
		// Under overload, serving in the order of arrival would make every job late.
		js := jobs(job("late", "/urgent/", step(1, 1000)), job("new", "/urgent/", step(1, 1000)))
		for _, j := range js {
			if j.ID == "new" {
				j.SubmittedMS = 4000
			}
		}
		Expect(jobIDs(plan(4100, js, host("a", "", 1000)))).To(Equal([]string{"new"}))
	})

	It("fills the host with the least sufficient free CPU", func() {
		// Guards against tasks that are spread so that no host becomes idle.
		starts := plan(2000, jobs(job("j", "/urgent/", step(2, 1000))), host("a", "", 9000), host("b", "", 2000), host("c", "", 500))
		Expect(starts).To(HaveLen(2))
		for _, s := range starts {
			Expect(s.Target).To(Equal("b@1"))
		}
	})

	It("prefers hosts that no wave empties for long-lived tasks, and for these only", func() {
		// Guards against tasks that move from host to host ahead of a wave, one by one, so that
		// it ends late.
		awaiting := host("a", "", 2000)
		awaiting.AwaitsMaintenance = true
		lasting := step(1, 1000)
		lasting.LongLived = true
		Expect(plan(2000, jobs(job("j", "/urgent/", lasting)), awaiting, host("b", "", 9000))[0].Target).To(Equal("b@1"))
		Expect(plan(2000, jobs(job("j", "/urgent/", step(1, 1000))), awaiting, host("b", "", 9000))[0].Target).To(Equal("a@1"))
		Expect(plan(2000, jobs(job("j", "/urgent/", lasting)), awaiting)[0].Target).To(Equal("a@1"))
	})

	It("respects labels and the limit per host, and prefers the rack of the data", func() {
		// Guards against starts that the state machine refuses, and against slow runs.
		s := step(3, 100)
		s.Label, s.MaxPerHost, s.DataRack = "x", 1, "r2"
		starts := plan(2000, jobs(job("j", "/urgent/", s)), host("a", "r1", 900, "x"), host("b", "r2", 9000, "x"), host("c", "r2", 900))
		Expect(starts).To(HaveLen(2))
		Expect(starts[0].Target).To(Equal("b@1"))
		Expect(starts[1].Target).To(Equal("a@1"))
	})

	It("repeats a failed task on another host, and prefers hosts without failures", func() {
		// Guards against a host that fails every run and uses up the attempts of jobs.
		js := jobs(job("j", "/urgent/", step(1, 100)))
		js[0].Tasks[0].FailedOn = "ha"
		a, b, c := host("a", "", 500), host("b", "", 9000), host("c", "", 900)
		a.Target.Host, c.Penalty = "ha", 3
		starts := plan(2000, js, a, b, c)
		Expect(starts[0].Target).To(Equal("b@1"))
		Expect(plan(2000, js, host("a", "", 500))).To(HaveLen(1))
	})

	It("repeats a failed task on the same host once no other has capacity", func() {
		// Guards against a task that never runs again because the other hosts of its
		// pool stay full.
		js := jobs(job("j", "/urgent/", step(1, 100)))
		js[0].Tasks[0].FailedOn, js[0].Tasks[0].StartedMS = "ha", 10_000
		at := func(nowMS int64, failures int) []work.Start {
			a, b := host("a", "", 500), host("b", "", 50)
			a.Target.Host, a.Penalty = "ha", failures
			return plan(nowMS, js, a, b)
		}
		Expect(at(12_000, 1)).To(BeEmpty())
		Expect(at(12_000, 0)).To(HaveLen(1), "other runs have succeeded there since")
		Expect(at(13_000, 1)).To(HaveLen(1))
	})

	It("starts all tasks of a gang or none", func() {
		// Guards against members that hold capacity while they wait for the others.
		g := step(3, 1000)
		g.Gang = true
		js := jobs(job("g", "/urgent/", g), job("k", "/patient/", step(1, 1000)))
		Expect(jobIDs(plan(2000, js, host("a", "", 2000)))).To(Equal([]string{"k"}))
		Expect(plan(2000, js, host("a", "", 4000))).To(HaveLen(4))
	})

	It("keeps fill-in work away from serving tasks, and within the free CPU", func() {
		// Guards against serving tasks that are slowed down by patient work beside
		// them, and against fill-in work that gets no CPU.
		serve, fill := step(1, 1000), step(4, 1000)
		serve.TailLatencyTargetMS, fill.FillIn = 40, true
		a, b := host("a", "", 3000), host("b", "", 9000)
		starts := plan(2000, jobs(job("s", "/urgent/", serve), job("f", "/patient/", fill)), a, b)
		targets := map[string]int{}
		for _, s := range starts {
			targets[s.Task.Job+" "+s.Target]++
		}
		Expect(targets).To(Equal(map[string]int{"s a@1": 1, "f b@1": 4}))
		Expect(plan(2000, jobs(job("f", "/patient/", fill)), host("a", "", 2500))).To(HaveLen(2))
	})

	It("skips large tasks without skipping small ones, and takes capacity back from incomplete gangs", func() {
		// Guards against a demand that is known to fit nowhere and hides capacity for a
		// smaller task, or the capacity that an undone gang releases.
		g := step(2, 1500)
		g.Gang = true
		js := jobs(job("g", "/urgent/", g), job("l", "/urgent/", step(1, 3000)), job("s", "/urgent/", step(1, 2000)))
		Expect(jobIDs(plan(2000, js, host("a", "", 2000)))).To(Equal([]string{"s"}))
	})

	It("reports how many empty hosts are needed by long-lived tasks that no host takes", func() {
		// Guards against pools that get these hosts one after another, or none if each
		// host has part of its CPU left.
		longLived := func(tasks int, cpu, memory int64) work.Step {
			return work.Step{Tasks: tasks, LongLived: true, Demand: work.Demand{MilliCPU: cpu, MemoryMB: memory}}
		}
		apart := longLived(4, 400, 10)
		apart.MaxPerHost = 1
		r := &schedule.Request{
			NowMS: 2000, MaxStarts: 100, Duration: func(*work.Job, int) int64 { return 1000 },
			Jobs: jobs(job("parts", "/urgent/", longLived(3, 3000, 10)), job("memory", "/urgent/", longLived(3, 500, 60)),
				job("apart", "/urgent/", apart), job("large", "/urgent/", longLived(1, 9000, 10)), job("short", "/urgent/", step(9, 4000))),
			Hosts: func(string) []*schedule.Host { return []*schedule.Host{host("a", "", 2500)} },
			HostTypes: func() []schedule.HostType {
				return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000, MemoryMB: 100}}}
			},
		}
		Expect(schedule.Plan(r)).To(BeEmpty())
		Expect(r.MissingHosts).To(Equal(map[string]int{"desk": 4}), "three hosts with one task of each job, and a fourth for the limit per host")
	})

	It("misses no host for a task with a label that no host has", func() {
		// Guards against a pool that keeps a host for each such task for ever.
		known, unknown := step(3, 4000), step(5, 4000)
		known.LongLived, unknown.LongLived = true, true
		known.Label, unknown.Label = "fast", "none"
		r := &schedule.Request{
			NowMS: 2000, MaxStarts: 256, Duration: func(*work.Job, int) int64 { return 1000 },
			Jobs:  jobs(job("known", "/urgent/", known), job("unknown", "/urgent/", unknown)),
			Hosts: func(string) []*schedule.Host { return nil }, Capacity: func(string) int64 { return math.MaxInt64 },
			HostTypes: func() []schedule.HostType {
				return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}, {Resources: work.Demand{MilliCPU: 4000}, Labels: []string{"fast"}}}
			},
		}
		Expect(schedule.Plan(r)).To(BeEmpty())
		Expect(r.MissingHosts).To(Equal(map[string]int{"desk": 3}))
	})

	It("ends before a gang that exceeds the number of starts", func() {
		// Guards against a gang that is cut apart, so that its members wait for each other,
		// and against one that is larger than a plan and never starts.
		gang := func(tasks int) work.Step {
			s := step(tasks, 100)
			s.Gang = true
			return s
		}
		large := func() []*schedule.Host { return []*schedule.Host{host("a", "", 100_000)} }
		size := func(js []*work.Job) (sizes []int) {
			r := &schedule.Request{
				NowMS: 2000, Jobs: js, MaxStarts: 50, Hosts: func(string) []*schedule.Host { return large() },
				Duration: func(*work.Job, int) int64 { return 1000 },
			}
			count := map[string]int{}
			for _, s := range schedule.Plan(r) {
				count[s.Task.Job]++
			}
			for _, id := range []string{"a", "b", "c"} {
				sizes = append(sizes, count[id])
			}
			return sizes
		}
		Expect(size(jobs(job("a", "/urgent/", gang(24)), job("b", "/urgent/", gang(24)), job("c", "/urgent/", gang(24))))).To(Equal([]int{24, 24, 0}))
		Expect(size(jobs(job("a", "/urgent/", gang(300)), job("b", "/urgent/", gang(24)), job("c", "/urgent/", step(1, 100))))).To(Equal([]int{300, 0, 0}))
		Expect(size(jobs(job("a", "/urgent/", step(40, 100)), job("b", "/urgent/", gang(24)), job("c", "/urgent/", step(1, 100))))).To(Equal([]int{40, 0, 0}), "nothing takes its place")
		Expect(size(jobs(job("a", "/urgent/", gang(24)), job("b", "/urgent/", step(60, 100))))).To(Equal([]int{24, 26, 0}))
	})

	It("misses all hosts of a gang, and none for one that can never start", func() {
		// Guards against a gang that waits while its pool has too few hosts open, and
		// against a pool that takes hosts for a gang that not even all of them hold.
		gang := func(tasks int) work.Step {
			s := step(tasks, 3000)
			s.Gang = true
			return s
		}
		for tasks, missing := range map[int]int{4: 4, 10: 10, 11: 0} {
			r := &schedule.Request{
				NowMS: 2000, MaxStarts: 256, Duration: func(*work.Job, int) int64 { return 1000 }, Jobs: jobs(job("j", "/urgent/", gang(tasks))),
				Hosts:    func(string) []*schedule.Host { return []*schedule.Host{host("a", "", 4000), host("b", "", 4000)} },
				Capacity: func(string) int64 { return math.MaxInt64 }, MaxMissing: 8,
				HostTypes: func() []schedule.HostType { return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}} },
			}
			Expect(schedule.Plan(r)).To(BeEmpty())
			Expect(r.MissingHosts["desk"]).To(Equal(missing), "%d tasks", tasks)
		}
	})

	It("misses no host while empty ones wait for a permission", func() {
		// Guards against a pool that takes hosts from others for as long as the policy
		// service does not answer.
		s := step(5, 4000)
		s.LongLived = true
		r := &schedule.Request{
			NowMS: 2000, MaxStarts: 256, Duration: func(*work.Job, int) int64 { return 1000 }, Jobs: jobs(job("j", "/policy/", s)),
			Hosts:     func(string) []*schedule.Host { return []*schedule.Host{host("a", "", 4000)} },
			Permitted: func(*work.Job, *work.Task, *work.Target, []*schedule.Host) bool { return false },
			Capacity:  func(string) int64 { return math.MaxInt64 },
			HostTypes: func() []schedule.HostType { return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}} },
		}
		Expect(schedule.Plan(r)).To(BeEmpty())
		Expect(r.MissingHosts).To(Equal(map[string]int{"desk": 4}))
	})

	It("looks for no more empty hosts than exist", func() {
		// Guards against plans that take seconds while thousands of long-lived tasks
		// wait that need a host each: every one was tried on the hosts of all before
		// it.
		var waiting []work.Submission
		for i := range 200 {
			s := step(1, 4000)
			s.LongLived = true
			waiting = append(waiting, job("j"+strconv.Itoa(i), "/urgent/", s))
		}
		asked := 0
		r := &schedule.Request{
			NowMS: 2000, MaxStarts: 256, Duration: func(*work.Job, int) int64 { return 1000 }, Jobs: jobs(waiting...),
			Hosts: func(string) []*schedule.Host { return nil }, Capacity: func(string) int64 { return math.MaxInt64 },
			HostTypes: func() []schedule.HostType {
				asked++
				return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}}
			}, MaxMissing: 20,
		}
		Expect(schedule.Plan(r)).To(BeEmpty())
		Expect(r.MissingHosts).To(Equal(map[string]int{"desk": 20}))
		Expect(r.MissingLongLived).To(Equal(map[string]int{"desk": 20}))
		Expect(asked).To(Equal(1))
	})

	It("misses a host for a task without CPU in one piece only if the demand asks for none", func() {
		// Guards against a job that waits beside closed hosts because the free CPU of the open
		// ones is in pieces, and against a pool that asks for hosts twice in a demand peak.
		for met, missing := range map[bool]int{true: 1, false: 0} {
			r := &schedule.Request{
				NowMS: 2000, MaxStarts: 256, Duration: func(*work.Job, int) int64 { return 1000 }, Jobs: jobs(job("j", "/urgent/", step(1, 2500))),
				Hosts:     func(string) []*schedule.Host { return []*schedule.Host{host("a", "", 1900), host("b", "", 1900)} },
				DemandMet: func(string) bool { return met }, Capacity: func(string) int64 { return math.MaxInt64 }, MaxMissing: 8,
				HostTypes: func() []schedule.HostType { return []schedule.HostType{{Resources: work.Demand{MilliCPU: 4000}}} },
			}
			Expect(schedule.Plan(r)).To(BeEmpty())
			Expect(r.MissingHosts["desk"]).To(Equal(missing))
		}
	})

	It("starts occurrences at their times", func() {
		// Guards against a start before the occurrence is due.
		s := job("j", "/urgent/", step(1, 100))
		s.Spec.Occurrences, s.Spec.FirstMS, s.Spec.IntervalMS = 3, 10_000, 1000
		Expect(plan(9_999, jobs(s), host("a", "", 1000))).To(BeEmpty())
		Expect(plan(11_000, jobs(s), host("a", "", 1000))).To(HaveLen(2))
	})

	It("tells the time of day from the clock of the log", func() {
		// Guards against an occurrence whose time depends on a clock that does not follow the
		// time of day.
		s := job("j", "/urgent/", step(1, 100))
		s.Spec.Occurrences, s.Spec.FirstMS = 1, 10_000
		for _, c := range []struct {
			now, timeOfDay int64
			starts         int
		}{{9_000, 10_000, 1}, {11_000, 9_999, 0}} {
			starts := schedule.Plan(&schedule.Request{
				NowMS: c.now, TimeOfDayMS: c.timeOfDay, Jobs: jobs(s), MaxStarts: 100,
				Hosts:    func(string) []*schedule.Host { return []*schedule.Host{host("a", "", 1000)} },
				Duration: func(*work.Job, int) int64 { return 1000 },
			})
			Expect(starts).To(HaveLen(c.starts))
		}
	})
})
