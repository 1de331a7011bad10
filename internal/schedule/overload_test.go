package schedule_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// Durations and sizes of the simulated pool.
const (
	simTickMS = 50
	simTaskMS = 1000
	simHosts  = 4
	simSlots  = 8 // tasks that fit on a host
	// simObjectiveMS is 1.6 times the duration of the two steps, plus 600 ms.
	simObjectiveMS = 3800
)

// simulatedPool simulates hosts that run jobs, of two steps with four tasks each if tick submits
// them.
type simulatedPool struct {
	stateMachine *work.StateMachine
	index        uint64
	nowMS        int64
	jobs         int
	capacity     int64
	ends         map[work.RunRef]int64
	number       map[string]int64 // of the last ended run, by target
	// accounts, if set, returns the customers, and backlogs are those of the last plan.
	accounts func(v *work.View) map[string]*schedule.Account
	backlogs map[string]schedule.Backlog
	// duration returns the expected duration of a task, and took the true one of the i-th
	// start of a plan.
	duration func(j *work.Job, step int) int64
	took     func(i int, s work.StartedRun) int64
	// maxKept and adjust, if set, change the request of a plan.
	maxKept int
	adjust  func(r *schedule.Request)
	// kept and counts are results of the last plan and of all.
	kept         []schedule.Kept
	counts       schedule.PlaceCounts
	blockedSince map[work.TaskRef]int64
	// away holds the hosts that take no runs.
	away map[string]bool
	// check, if set, sees each plan with its hosts as the plan leaves them.
	check func(r *schedule.Request, hosts []*schedule.Host, starts []work.Start)
}

func newPool() *simulatedPool { return newPoolOf(simHosts, work.Demand{MilliCPU: simSlots * 1000}) }

// newPoolOf returns a pool of equal hosts.
func newPoolOf(hosts int, resources work.Demand) *simulatedPool {
	p := &simulatedPool{
		stateMachine: work.New(), nowMS: 1_000_000, ends: map[work.RunRef]int64{}, number: map[string]int64{},
		capacity: int64(hosts) * resources.MilliCPU,
		duration: func(*work.Job, int) int64 { return simTaskMS },
		// Every third task takes 1.4 times the expected duration, the others 0.8 times.
		took: func(i int, _ work.StartedRun) int64 {
			if i%3 == 0 {
				return simTaskMS * 14 / 10
			}
			return simTaskMS * 8 / 10
		},
	}
	p.do(&work.Command{Configure: &work.Configuration{
		Version: 1, Pools: []work.Pool{{Name: "desk"}},
		Queues: []work.Queue{
			{Name: "q", Domain: "d", Prefix: "/q/", Pool: "desk", Attempts: 2, Stretch: 1.6, SlackMS: 600},
			{Name: "patient", Domain: "d", Prefix: "/patient/", Pool: "desk", Priority: 1, Attempts: 2, Stretch: 1.6, SlackMS: 600},
		},
	}})
	for i := range hosts {
		n := strconv.Itoa(i)
		p.do(&work.Command{Register: &work.Target{ID: n, Born: 1, Host: n, Pool: "desk", Address: n, Resources: resources}})
	}
	return p
}

func (p *simulatedPool) do(c *work.Command) *work.Result {
	GinkgoHelper()
	p.index++
	c.NowMS = p.nowMS
	data, err := codec.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	result := p.stateMachine.Apply(replica.Entry{Index: p.index, Term: 1, Data: data}).(*work.Result)
	Expect(result.Err).NotTo(HaveOccurred())
	return result
}

// submit hands in a job.
func (p *simulatedPool) submit(id, path string, steps ...work.Step) {
	GinkgoHelper()
	p.do(&work.Command{Submit: &work.Submission{ID: id, Domain: "d", Path: path, Spec: work.Spec{Steps: steps}}})
}

// startedOn returns the target on which the first task of a job runs, empty if it has not
// started.
func (p *simulatedPool) startedOn(id string) (target string) {
	p.stateMachine.Read(func(v *work.View) {
		if j := v.Live[id]; j != nil {
			target = j.Tasks[0].Target
		}
	})
	return target
}

// tick submits jobs, and advances the time.
func (p *simulatedPool) tick(jobs int) {
	GinkgoHelper()
	p.nowMS += simTickMS
	for range jobs {
		p.jobs++
		second := step(4, 1000)
		second.After = []int{0}
		p.submit(strconv.Itoa(p.jobs), "/q/", step(4, 1000), second)
	}
	p.run()
}

// run ends the runs whose duration has passed, and starts what is planned.
func (p *simulatedPool) run() {
	GinkgoHelper()
	reports := map[string]*work.Report{}
	p.stateMachine.Read(func(v *work.View) {
		for r, at := range p.ends {
			if at > p.nowMS {
				continue
			}
			delete(p.ends, r)
			_, t := v.Find(r.Task)
			if reports[t.Target] == nil {
				reports[t.Target] = &work.Report{Target: t.Target}
			}
			p.number[t.Target]++
			reports[t.Target].EndedRuns = append(reports[t.Target].EndedRuns, work.EndedRun{Number: p.number[t.Target], Run: r, Outcome: work.OutcomeDone})
		}
	})
	for _, r := range reports {
		p.do(&work.Command{Reports: []work.Report{*r}})
	}
	if starts := p.plan(); len(starts) > 0 {
		started := p.do(&work.Command{Start: starts}).Started
		Expect(started).To(HaveLen(len(starts)), "the rules allow all planned starts")
		for i, s := range started {
			p.ends[work.RunRef{Task: s.Task, Run: s.Run}] = p.nowMS + p.took(i, s)
		}
	}
}

func (p *simulatedPool) plan() (starts []work.Start) {
	p.stateMachine.Read(func(v *work.View) {
		var hosts []*schedule.Host
		r := &schedule.Request{
			NowMS: p.nowMS, MaxStarts: 1000, Duration: p.duration,
			Capacity: func(string) int64 { return p.capacity },
			Hosts: func(string) []*schedule.Host {
				for _, t := range v.Targets {
					if !p.away[t.Host] {
						hosts = append(hosts, &schedule.Host{Target: t, Free: v.Free(t)})
					}
				}
				return hosts
			},
		}
		for _, j := range v.Live {
			r.Jobs = append(r.Jobs, j)
		}
		if p.accounts != nil {
			r.Accounts = p.accounts(v)
		}
		r.MaxKept, r.Held, r.BlockedBefore = p.maxKept, p.kept, p.blockedSince
		if p.adjust != nil {
			p.adjust(r)
		}
		starts = schedule.Plan(r)
		p.kept, p.blockedSince, p.backlogs = r.Kept, r.BlockedSince, r.Backlogs
		p.counts.Add(r.PlaceCounts)
		if p.check != nil {
			p.check(r, hosts, starts)
		}
	})
	return starts
}

// inTime returns the number of jobs that met their objective.
func (p *simulatedPool) inTime() (n int) {
	for i := range p.jobs {
		if f, ok := p.stateMachine.Finished(strconv.Itoa(i + 1)); ok && f.TookMS <= simObjectiveMS {
			n++
		}
	}
	return n
}

var _ = Describe("a pool", func() {
	It("completes in time most of the jobs that fit its capacity during a burst of twice that", func() {
		// Guards against a burst in which the hosts are busy all the time and nearly
		// every job is late.
		p := newPool()
		const seconds, jobsPerSecond = 15, 8 // the hosts can complete 4 jobs a second
		for range seconds {
			for tick := range 1000 / simTickMS {
				jobs := 0
				if tick%2 == 0 && tick < 2*jobsPerSecond {
					jobs = 1
				}
				p.tick(jobs)
			}
		}
		for range 40 * 1000 / simTickMS {
			p.tick(0)
		}
		Expect(p.jobs).To(Equal(seconds * jobsPerSecond))
		Expect(p.inTime()).To(BeNumerically(">=", 7*seconds*4/10), "seven tenths of what the hosts can complete")
		for i := range p.jobs {
			state, _ := p.stateMachine.JobState(strconv.Itoa(i + 1))
			Expect(state).To(Equal(work.Completed), "accepted jobs are completed even if they are late")
		}
	})
})
