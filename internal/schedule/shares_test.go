package schedule_test

import (
	"cmp"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// sharedPool is a simulated pool whose jobs belong to customers. Its hosts complete four jobs a
// second.
type sharedPool struct {
	*simulatedPool
	version   uint64
	customers map[string]work.Customer
	// jobsOf holds the ids of each customer's jobs.
	jobsOf map[string][]string
	// due is when each customer sends its next job, in ms.
	due map[string]float64
	r   *rand.Rand
	// refuses is set if jobs are refused as a leader does, and returning holds those that
	// their callers will hand in again, by the time in ms. sentMS is when each was first sent.
	refuses   bool
	returning map[int64][]sentJob
	sentMS    map[string]int64
	// acceptedMS is when each job was accepted.
	acceptedMS map[string]int64
	refused    int
}

// sentJob is a job that a caller hands in.
type sentJob struct{ customer, id string }

// newSharedPool returns a pool with customers of these weights.
func newSharedPool(weights map[string]float64) *sharedPool {
	GinkgoHelper()
	p := &sharedPool{simulatedPool: newPool(), version: 1, customers: map[string]work.Customer{}, jobsOf: map[string][]string{}, due: map[string]float64{}, r: rand.New(rand.NewPCG(1, 2)),
		returning: map[int64][]sentJob{}, sentMS: map[string]int64{}, acceptedMS: map[string]int64{}}
	for name, weight := range weights {
		p.customers[name] = work.Customer{Name: name, Weight: weight, Keys: []customer.KeyDigest{customer.Digest(name)}}
	}
	p.backlogs = map[string]schedule.Backlog{}
	p.accounts = func(v *work.View) map[string]*schedule.Account {
		out := map[string]*schedule.Account{}
		for i := range v.Config.Customers {
			c := &v.Config.Customers[i]
			out[c.Name] = &schedule.Account{Weight: c.Weight, Limit: c.Limit, Used: v.Usage(c.Name)}
		}
		return out
	}
	p.configure()
	return p
}

// configure makes the present customers take effect.
func (p *sharedPool) configure() {
	GinkgoHelper()
	p.version++
	c := &work.Configuration{Version: p.version, Pools: []work.Pool{{Name: "desk"}}}
	for _, name := range slices.Sorted(maps.Keys(p.customers)) {
		c.Customers = append(c.Customers, p.customers[name])
	}
	for priority, path := range []string{"/q/", "/patient/"} {
		c.Queues = append(c.Queues, work.Queue{Name: path, Domain: "d", Prefix: path, Pool: "desk", Priority: priority, Attempts: 2,
			Stretch: 1.6, SlackMS: 600, KeyRequired: true})
	}
	p.do(&work.Command{Configure: c})
}

// limit changes the limit of a customer.
func (p *sharedPool) limit(name string, milliCPU int64) {
	GinkgoHelper()
	c := p.customers[name]
	c.Limit = work.Demand{MilliCPU: milliCPU}
	p.customers[name] = c
	p.configure()
}

// send submits a job of a customer.
func (p *sharedPool) send(name, path string, steps ...work.Step) string {
	GinkgoHelper()
	id := name + strconv.Itoa(len(p.jobsOf[name]))
	p.jobsOf[name] = append(p.jobsOf[name], id)
	p.sentMS[id], p.acceptedMS[id] = p.nowMS, p.nowMS
	p.do(&work.Command{Submit: &work.Submission{ID: id, Domain: "d", Path: path, Key: customer.Digest(name), Spec: work.Spec{Steps: steps}}})
	return id
}

// twoSteps returns the steps of a usual job.
func twoSteps() []work.Step {
	second := step(4, 1000)
	second.After = []int{0}
	return []work.Step{step(4, 1000), second}
}

// advance has customers send jobs at these rates per second, at intervals that vary by a quarter.
func (p *sharedPool) advance(seconds int, rates map[string]float64) {
	GinkgoHelper()
	for range seconds * 1000 / simTickMS {
		for _, name := range slices.Sorted(maps.Keys(rates)) {
			for ; p.due[name] <= float64(p.nowMS); p.due[name] += (0.75 + p.r.Float64()/2) * 1000 / rates[name] {
				if p.due[name] == 0 {
					p.due[name] = float64(p.nowMS) - p.r.Float64()*1000/rates[name]
					continue
				}
				id := name + strconv.Itoa(len(p.jobsOf[name]))
				p.jobsOf[name] = append(p.jobsOf[name], id)
				p.sentMS[id] = p.nowMS
				p.handIn(sentJob{name, id})
			}
		}
		p.step()
	}
}

// rest lets time pass in which nobody sends new jobs.
func (p *sharedPool) rest(seconds int) {
	GinkgoHelper()
	for range seconds * 1000 / simTickMS {
		p.step()
	}
}

// step lets one tick pass.
func (p *sharedPool) step() {
	GinkgoHelper()
	for at, jobs := range p.returning {
		if at <= p.nowMS {
			delete(p.returning, at)
			slices.SortFunc(jobs, func(a, b sentJob) int { return cmp.Compare(a.id, b.id) })
			for _, j := range jobs {
				p.handIn(j)
			}
		}
	}
	p.tick(0)
}

// handIn submits a job unless the pool refuses it. Its caller returns then when it is told to,
// for as long as the result would count.
func (p *sharedPool) handIn(j sentJob) {
	GinkgoHelper()
	s := &work.Submission{ID: j.id, Domain: "d", Path: "/q/", Key: customer.Digest(j.customer), Spec: work.Spec{Steps: twoSteps()}}
	if p.refuses {
		job, err := p.stateMachine.Preview(s, p.nowMS)
		Expect(err).NotTo(HaveOccurred())
		var refused *admission.Refused
		if errors.As(p.admit(job), &refused) {
			p.refused++
			at := p.nowMS + refused.RetryAfter.Milliseconds()
			if at < p.sentMS[j.id]+admission.LateFactor*simObjectiveMS {
				p.returning[at] = append(p.returning[at], j)
			}
			return
		}
	}
	p.do(&work.Command{Submit: s})
	p.acceptedMS[j.id] = p.nowMS
}

// admit returns the refusal of a job by the pool, as the leader asks for it.
func (p *sharedPool) admit(j *work.Job) error {
	duration := func(*work.Job, int) int64 { return simTaskMS }
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	chain, objective := schedule.Objective(j, duration)
	backlog := p.backlogs[j.Pool]
	timeFor := func(work float64) time.Duration {
		return ms(int64(schedule.TimeFor(work, []schedule.Supply{{MilliCPU: simHosts * simSlots * 1000}})))
	}
	err := admission.Check(admission.Pool{InTime: timeFor(backlog.InTime), Counting: timeFor(backlog.Counting)},
		admission.Job{ID: j.ID, Chain: ms(chain), Objective: ms(objective), BeyondAllowance: j.BeyondAllowance})
	if err == nil {
		added := schedule.WorkOf(j, duration)
		p.backlogs[j.Pool] = schedule.Backlog{InTime: backlog.InTime + added, Counting: backlog.Counting + added}
	}
	return err
}

// inTimeShare returns the share of a customer's jobs from the first-th on that met their objective.
func (p *sharedPool) inTimeShare(name string, first int) float64 {
	n := 0
	jobs := p.jobsOf[name][first:]
	for _, id := range jobs {
		if f, ok := p.stateMachine.Finished(id); ok && p.acceptedMS[id]+f.TookMS-p.sentMS[id] <= simObjectiveMS {
			n++
		}
	}
	return float64(n) / float64(len(jobs))
}

// runningOf returns how many tasks of a customer run.
func (p *sharedPool) runningOf(name string) (n int64) {
	p.stateMachine.Read(func(v *work.View) { n = v.Usage(name).MilliCPU / 1000 })
	return n
}

// even returns the same number for each of n customers, named c0, c1 and so on.
func even(n int, value float64) map[string]float64 {
	out := map[string]float64{}
	for i := range n {
		out["c"+strconv.Itoa(i)] = value
	}
	return out
}

const (
	// simCustomers share the pool evenly: each is owed half a job a second, and usually
	// sends a little less.
	simCustomers, simWeight, simUsual = 8, 0.4, 0.3
	// hotFactor is how much more than usual a customer sends at times.
	hotFactor = 7
)

var _ = Describe("a pool that customers share", func() {
	// serve returns the share of jobs in time of each customer that sends its usual while
	// others send a multiple of theirs.
	serve := func(refuses bool, hot ...string) (worst float64, p *sharedPool) {
		p = newSharedPool(even(simCustomers, simWeight))
		p.refuses = refuses
		rates := even(simCustomers, simUsual)
		for _, name := range hot {
			rates[name] *= hotFactor
		}
		p.advance(40, rates)
		p.rest(20)
		worst = 1.0
		for name := range rates {
			if !slices.Contains(hot, name) {
				worst = min(worst, p.inTimeShare(name, 0))
			}
		}
		return worst, p
	}

	DescribeTable("serves those that send their usual as if the others did too", func(refuses bool, hot ...string) {
		// Guards against customers that pay for what others send: one, three or all but one of
		// them send seven times their usual.
		calm, _ := serve(refuses)
		Expect(calm).To(BeNumerically(">=", 0.9), "without any")
		loaded, p := serve(refuses, hot...)
		GinkgoWriter.Printf("in time: %.2f without, %.2f with %v; %d refusals\n", calm, loaded, hot, p.refused)
		Expect(loaded).To(BeNumerically(">=", calm-0.1), "at most one of ten jobs less")
		p.rest(140)
		p.stateMachine.Read(func(v *work.View) { Expect(v.Live).To(BeEmpty(), "accepted jobs end even if they are late") })
	},
		Entry("one large customer", true, "c3"),
		Entry("three hot ones", true, "c1", "c3", "c6"),
		Entry("all but one", true, "c0", "c1", "c2", "c3", "c4", "c5", "c6"),
		Entry("one large customer whose jobs are all taken", false, "c3"),
		Entry("three hot ones whose jobs are all taken", false, "c1", "c3", "c6"),
		Entry("all but one whose jobs are all taken", false, "c0", "c1", "c2", "c3", "c4", "c5", "c6"),
	)

	It("divides what there is evenly if all send too much at once", func() {
		// Guards against customers that get nothing while all press at the same time.
		p := newSharedPool(even(simCustomers, simWeight))
		p.advance(20, even(simCustomers, simUsual*hotFactor))
		p.rest(120)
		least, most := 1<<30, 0
		for name, jobs := range p.jobsOf {
			inTime := int(p.inTimeShare(name, 0)*float64(len(jobs)) + 0.5)
			least, most = min(least, inTime), max(most, inTime)
		}
		GinkgoWriter.Printf("in time: %d to %d of each customer's jobs\n", least, most)
		Expect(least).To(BeNumerically(">=", most/2))
		Expect(least*simCustomers).To(BeNumerically(">=", 20*4/2), "half of what the hosts can complete")
	})

	It("gives a customer that was idle its share at once, and no more", func() {
		// Guards against a customer that waits behind the backlog of others when it returns,
		// and against one that takes all for what it has not used.
		p := newSharedPool(even(2, 1.5))
		p.advance(15, map[string]float64{"c0": 8})
		before := len(p.jobsOf["c0"])
		p.advance(15, map[string]float64{"c0": 8, "c1": 1.2})
		p.rest(40)
		Expect(p.inTimeShare("c1", 0)).To(BeNumerically(">=", 0.9))
		Expect(p.inTimeShare("c0", before)).To(BeNumerically(">=", 0.1), "it has a share too")
	})

	It("serves a customer of weight 0 with what the others leave", func() {
		// Guards against a customer that gets nothing beside idle hosts, or as much as one
		// with a share.
		p := newSharedPool(map[string]float64{"c0": 4, "c1": 0})
		p.advance(10, map[string]float64{"c1": 2})
		p.rest(8)
		Expect(p.inTimeShare("c1", 0)).To(BeNumerically(">=", 0.9), "alone")
		from := len(p.jobsOf["c1"])
		p.advance(15, map[string]float64{"c0": 3.2, "c1": 4})
		p.rest(60)
		Expect(p.inTimeShare("c0", 0)).To(BeNumerically(">=", 0.85))
		Expect(p.inTimeShare("c1", from)).To(BeNumerically("<", 0.5))
	})

	It("serves an urgent queue first, whoever sends to it", func() {
		// Guards against shares that hold up urgent work.
		p := newSharedPool(map[string]float64{"c0": 0.1, "c1": 100})
		for range 20 {
			p.send("c1", "/patient/", twoSteps()...)
		}
		urgent := p.send("c0", "/q/", twoSteps()...)
		p.tick(0)
		Expect(p.runningOf("c0")).To(BeEquivalentTo(4))
		state, _ := p.stateMachine.JobState(urgent)
		Expect(state).To(Equal(work.Running))
	})

	It("counts a gang as a whole", func() {
		// Guards against a customer that gets more than its share with gangs, and against
		// gangs that never find room together.
		p := newSharedPool(even(2, 2))
		gang := step(8, 1000)
		gang.Gang = true
		for range 40 {
			p.send("c0", "/q/", gang)
			p.send("c1", "/q/", step(4, 1000), step(4, 1000))
		}
		p.rest(60)
		gangs, others := p.inTimeShare("c0", 0), p.inTimeShare("c1", 0)
		Expect(min(gangs, others)).To(BeNumerically(">", 0))
		Expect(max(gangs, others)).To(BeNumerically("<=", 2*min(gangs, others)))
	})
})

var _ = Describe("a plan with limits", func() {
	It("starts what waits in the same plan once a limit is raised, and nothing once it is lowered", func() {
		// Guards against limits that move while a pool is full of one customer's work.
		p := newSharedPool(even(1, 100))
		p.limit("c0", 5000)
		p.send("c0", "/q/", step(40, 1000))
		p.tick(0)
		Expect(p.runningOf("c0")).To(BeEquivalentTo(5))
		p.limit("c0", 9000)
		Expect(p.plan()).To(HaveLen(4))
		p.tick(0)
		Expect(p.runningOf("c0")).To(BeEquivalentTo(9))
		p.limit("c0", 2000)
		Expect(p.plan()).To(BeEmpty())
		before := int64(9)
		for range 60 * 1000 / simTickMS {
			p.tick(0)
			before = min(before, max(2, p.runningOf("c0")))
			Expect(p.runningOf("c0")).To(BeNumerically("<=", before), "it only falls until it fits")
		}
		state, _ := p.stateMachine.JobState("c00")
		Expect(state).To(Equal(work.Completed), "it goes on in parts")
	})

	It("starts no part of a gang that does not fit", func() {
		// Guards against a gang that is planned again and again, or whose planned part
		// keeps the customer's other work from starting.
		p := newSharedPool(even(1, 100))
		p.limit("c0", 5000)
		gang := step(4, 1000)
		gang.Gang = true
		p.send("c0", "/q/", step(2, 1000))
		p.tick(0)
		p.send("c0", "/q/", gang)
		p.send("c0", "/patient/", step(3, 1000))
		starts := p.plan()
		Expect(starts).To(HaveLen(3))
		for _, s := range starts {
			Expect(s.Task.Job).To(Equal("c02"))
		}
	})

	It("counts work that only its limit keeps from starting neither against others nor as backlog", func() {
		// Guards against a pool that is nearly idle and refuses or postpones the jobs of all
		// customers, because one of them has sent far more than its limit lets run.
		p := newSharedPool(map[string]float64{"c0": 1000, "c1": 1})
		p.limit("c0", 4000)
		p.refuses = true
		for range 60 {
			p.send("c0", "/q/", twoSteps()...)
		}
		p.step()
		for i := range 4 {
			id := "c1-" + strconv.Itoa(i)
			p.jobsOf["c1"] = append(p.jobsOf["c1"], id)
			p.sentMS[id] = p.nowMS
			p.handIn(sentJob{"c1", id})
			p.step()
		}
		Expect(p.refused).To(BeZero())
		p.rest(5)
		Expect(p.inTimeShare("c1", 0)).To(Equal(1.0))
	})

	DescribeTable("misses hosts only for work that its limit lets start", func(limit int64, hosts int) {
		// Guards against hosts that move to a pool, and stay there idle, for tasks that may not
		// start on them.
		p := newSharedPool(even(1, 100))
		p.limit("c0", limit)
		lasting := step(9, 1000)
		lasting.LongLived = true
		p.send("c0", "/q/", step(1, 1000))
		p.tick(0)
		p.send("c0", "/q/", lasting)
		p.stateMachine.Read(func(v *work.View) {
			r := &schedule.Request{
				NowMS: p.nowMS, MaxStarts: 10, MaxMissing: 10, Duration: func(*work.Job, int) int64 { return simTaskMS },
				Hosts: func(string) []*schedule.Host { return nil }, Jobs: slices.Collect(maps.Values(v.Live)), Accounts: p.accounts(v),
				HostTypes: func() []schedule.HostType { return []schedule.HostType{{Resources: work.Demand{MilliCPU: 2000}}} },
			}
			Expect(schedule.Plan(r)).To(BeEmpty())
			Expect(r.MissingHosts["desk"]).To(Equal(hosts))
		})
	},
		Entry("none of it", int64(1000), 0),
		Entry("a part", int64(5000), 2),
		Entry("all of it", int64(10_000), 5),
		Entry("without a limit", int64(0), 5),
	)
})
