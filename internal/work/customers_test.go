package work_test

import (
	"errors"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

// Paths of the queues of a region with customers. Callers of the last one need no key.
const drawPath, cutPath, openPath = "/draw/", "/cut/", "/open/"

// customerRegion is a region whose callers have keys.
type customerRegion struct {
	*region
	version uint64
}

func newCustomerRegion(customers ...work.Customer) *customerRegion {
	r := &customerRegion{region: &region{StateMachine: work.New(), nowMS: 1_000_000}}
	r.configure(customers...)
	return r
}

// configure makes a new version with these customers take effect.
func (r *customerRegion) configure(customers ...work.Customer) {
	GinkgoHelper()
	r.version++
	queue := func(name, path, pool string, keyRequired bool) work.Queue {
		return work.Queue{Name: name, Domain: "a.example", Prefix: path, Pool: pool, Attempts: 2, Stretch: 1.6, SlackMS: 600,
			TimeoutMS: 3000, KeyRequired: keyRequired}
	}
	c := &work.Configuration{
		Version: r.version, Customers: customers, Pools: []work.Pool{{Name: "desk"}, {Name: "cuts"}},
		Queues: []work.Queue{queue("draw", drawPath, "desk", true), queue("cut", cutPath, "cuts", true), queue("open", openPath, "desk", false)},
	}
	Expect(c.Check()).To(Succeed())
	Expect(r.do(&work.Command{Configure: c}).Err).NotTo(HaveOccurred())
}

// owner returns a customer with some keys.
func owner(name string, limit work.Demand, keys ...string) work.Customer {
	c := work.Customer{Name: name, Weight: 100, Limit: limit}
	for _, key := range keys {
		c.Keys = append(c.Keys, customer.Digest(key))
	}
	return c
}

func submission(id, path, key string, steps ...work.Step) *work.Submission {
	return &work.Submission{ID: id, Domain: "a.example", Path: path, Key: customer.Digest(key), Spec: work.Spec{Steps: steps}}
}

// send submits a job with a key. Preview has to tell the same as the submission.
func (r *customerRegion) send(id, path, key string, steps ...work.Step) error {
	GinkgoHelper()
	s := submission(id, path, key, steps...)
	_, previewed := r.Preview(s, r.nowMS)
	err := r.do(&work.Command{Submit: s}).Err
	if err == nil {
		Expect(previewed).NotTo(HaveOccurred())
	} else {
		Expect(previewed).To(MatchError(err.Error()))
	}
	return err
}

// access returns the error of a caller who reads or cancels a job.
func (r *customerRegion) access(path, key, job string) error {
	return r.CheckAccess(&work.Caller{Domain: "a.example", Path: path, Key: customer.Digest(key)}, job)
}

// usage returns what the runs of a customer ask for.
func (r *customerRegion) usage(name string) (sum work.Demand) {
	r.Read(func(v *work.View) { sum = v.Usage(name) })
	return sum
}

// restart restores the state from a snapshot, as a process does that starts again.
func (r *customerRegion) restart() {
	GinkgoHelper()
	data, err := r.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Restore(data)).To(Succeed())
}

func (r *customerRegion) add(id, pool string, size work.Demand) string {
	GinkgoHelper()
	t := work.Target{ID: id, Born: 1, Host: "host-" + id, Pool: pool, Address: "10.1.0.1:" + strconv.Itoa(1000+len(id)+int(id[0])), Resources: size}
	Expect(r.do(&work.Command{Register: &t}).Err).NotTo(HaveOccurred())
	return t.Key()
}

// large is the size of a host that never limits what a customer runs.
var large = work.Demand{MilliCPU: 1_000_000, MemoryMB: 1_000_000, GPUs: 1000}

// run names the n-th run of a task.
func run(t work.TaskRef, n int) work.RunRef { return work.RunRef{Task: t, Run: n} }

// tasks returns the tasks of the first step of a job.
func tasks(job string, n int) (refs []work.TaskRef) {
	for i := range n {
		refs = append(refs, task(job, 0, i))
	}
	return refs
}

func steps(n int, d work.Demand) work.Step { return work.Step{Tasks: n, Demand: d} }

var (
	unauthorised *fault.Unauthorised
	notFound     *fault.NotFound
	neverFits    *customer.NeverFits
)

var _ = Describe("the key of a call", func() {
	var r *customerRegion

	BeforeEach(func() {
		r = newCustomerRegion(owner("ann", work.Demand{}, "a1", "a2"), owner("bob", work.Demand{}, "b1"))
	})

	It("is needed to hand in a job unless the queue is open to all", func() {
		// Guards against work that runs for nobody, and against callers of open queues who
		// are refused for a key that they need not send.
		for _, key := range []string{"", "unknown"} {
			Expect(r.send("j", drawPath, key, oneTask(1))).To(BeAssignableToTypeOf(unauthorised))
		}
		Expect(r.state("j")).To(BeEmpty(), "nothing was accepted")
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(Succeed())
		for i, key := range []string{"", "unknown", "b1"} {
			Expect(r.send("open"+strconv.Itoa(i), openPath, key, oneTask(1))).To(Succeed())
		}
	})

	It("neither reads nor cancels a job of another customer, nor tells whether it exists", func() {
		// Guards against callers who find out, read or end what other customers run.
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(Succeed())
		Expect(r.access(drawPath, "a2", "j")).To(Succeed(), "another key of the same customer")
		for _, path := range []string{drawPath, cutPath, openPath, "/unknown/"} {
			Expect(r.access(path, "b1", "j")).To(BeAssignableToTypeOf(notFound), path)
		}
		for _, key := range []string{"", "unknown"} {
			for _, id := range []string{"j", "none"} {
				Expect(r.access(drawPath, key, id)).To(BeAssignableToTypeOf(unauthorised), id)
			}
			Expect(r.access(openPath, key, "j")).To(BeAssignableToTypeOf(notFound))
			Expect(r.access("/unknown/", key, "j")).To(BeAssignableToTypeOf(notFound))
		}
	})

	It("does not take over the id of a job of another customer", func() {
		// Guards against a caller that is told that its job was accepted although another
		// customer's job has its id, and against a job that changes its owner.
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(Succeed())
		for _, key := range []string{"b1", "", "unknown"} {
			for _, path := range []string{drawPath, cutPath, openPath} {
				Expect(r.send("j", path, key, oneTask(1))).To(BeAssignableToTypeOf(unauthorised), path)
			}
		}
		Expect(r.send("j", drawPath, "a2", oneTask(1))).To(Succeed(), "it is repeated by its owner")
		Expect(r.access(drawPath, "a1", "j")).To(Succeed())
		Expect(r.access(drawPath, "b1", "j")).To(BeAssignableToTypeOf(notFound))
	})

	It("ends with the version that lacks it, and works from the version that has it", func() {
		// Guards against keys that work after they were withdrawn, and against new keys that
		// are refused, also after a restart.
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(Succeed())
		r.configure(owner("ann", work.Demand{}, "a2", "a3"), owner("bob", work.Demand{}, "b1"))
		for range 2 {
			Expect(r.send("k", drawPath, "a1", oneTask(1))).To(BeAssignableToTypeOf(unauthorised))
			Expect(r.send("j", drawPath, "a1", oneTask(1))).To(BeAssignableToTypeOf(unauthorised), "repeated")
			Expect(r.access(drawPath, "a1", "j")).To(BeAssignableToTypeOf(unauthorised))
			Expect(r.access(drawPath, "a3", "j")).To(Succeed())
			r.restart()
		}
		Expect(r.send("k", drawPath, "a3", oneTask(1))).To(Succeed())
	})

	It("moves to another customer with the version that says so", func() {
		// Guards against jobs that follow a key to another customer.
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(Succeed())
		r.configure(owner("ann", work.Demand{}, "a2"), owner("bob", work.Demand{}, "a1", "b1"))
		Expect(r.access(drawPath, "a1", "j")).To(BeAssignableToTypeOf(notFound))
		Expect(r.access(drawPath, "a2", "j")).To(Succeed())
	})

	It("is not restored by an older version that arrives again", func() {
		// Guards against a withdrawn key that works again because a change that two operators
		// raced with is repeated late.
		older := &work.Configuration{Version: r.version, Pools: []work.Pool{{Name: "desk"}}, Customers: []work.Customer{owner("ann", work.Demand{}, "a1")}}
		r.configure(owner("ann", work.Demand{}, "a2"))
		Expect(r.do(&work.Command{Configure: older}).Err).NotTo(HaveOccurred())
		Expect(r.send("j", drawPath, "a1", oneTask(1))).To(BeAssignableToTypeOf(unauthorised))
		Expect(r.send("j", drawPath, "a2", oneTask(1))).To(Succeed())
	})
})

var _ = Describe("a customer without keys", func() {
	It("keeps what runs and what waits", func() {
		// Guards against accepted work that is stopped, or never started, because the keys
		// or the customer are gone from the configuration.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 2000}, "a1"))
		a := r.add("a", "desk", large)
		Expect(r.send("j", drawPath, "a1", steps(3, work.Demand{MilliCPU: 1000}))).To(Succeed())
		Expect(r.start(a, tasks("j", 3)...)).To(HaveLen(2))
		r.configure(owner("ann", work.Demand{MilliCPU: 2000}))
		Expect(r.runs(a)).To(Equal(2))
		r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeDone)
		Expect(r.start(a, tasks("j", 3)...)).To(HaveLen(1))
		r.configure()
		r.restart()
		Expect(r.usage("ann")).To(Equal(work.Demand{MilliCPU: 2000}))
		r.end(a, 2, run(task("j", 0, 1), 1), work.OutcomeDone)
		r.end(a, 3, run(task("j", 0, 2), 1), work.OutcomeDone)
		Expect(r.state("j")).To(Equal(work.Completed))
		Expect(r.access(drawPath, "a1", "j")).To(BeAssignableToTypeOf(unauthorised))
	})
})

var _ = Describe("the limit of a customer", func() {
	DescribeTable("holds for each resource", func(limit, demand work.Demand) {
		// Guards against a resource that is not limited, and against a limit of 0 that is
		// taken for nothing instead of for none.
		r := newCustomerRegion(owner("ann", limit, "a1"), owner("bob", work.Demand{}, "b1"))
		a := r.add("a", "desk", large)
		Expect(r.send("j", drawPath, "a1", steps(5, demand))).To(Succeed())
		Expect(r.start(a, tasks("j", 5)...)).To(HaveLen(3))
		Expect(r.usage("ann")).To(Equal(demand.Times(3)))
		Expect(r.send("k", drawPath, "b1", steps(5, demand))).To(Succeed())
		Expect(r.start(a, tasks("k", 5)...)).To(HaveLen(5), "another customer")
		Expect(r.send("o", openPath, "a1", steps(5, demand))).To(Succeed())
		Expect(r.start(a, tasks("o", 5)...)).To(HaveLen(5), "a queue that is open to all")
	},
		Entry("CPU", work.Demand{MilliCPU: 3999}, work.Demand{MilliCPU: 1000, MemoryMB: 1000, GPUs: 1}),
		Entry("memory", work.Demand{MemoryMB: 3000}, work.Demand{MilliCPU: 1000, MemoryMB: 1000, GPUs: 1}),
		Entry("GPUs", work.Demand{GPUs: 3}, work.Demand{MilliCPU: 1000, MemoryMB: 1000, GPUs: 1}),
		Entry("the scarcest of several", work.Demand{MilliCPU: 1 << 40, MemoryMB: 3000, GPUs: 100}, work.Demand{MilliCPU: 1000, MemoryMB: 1000, GPUs: 1}),
	)

	It("holds over all pools, jobs and targets together", func() {
		// Guards against a customer with work in several queues that gets its limit in each.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 3000}, "a1", "a2"))
		a, b, c := r.add("a", "desk", large), r.add("b", "desk", large), r.add("c", "cuts", large)
		one := work.Demand{MilliCPU: 1000}
		Expect(r.send("j", drawPath, "a1", steps(2, one))).To(Succeed())
		Expect(r.send("k", cutPath, "a2", steps(2, one))).To(Succeed())
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		Expect(r.start(b, task("j", 0, 1))).To(HaveLen(1))
		Expect(r.start(c, tasks("k", 2)...)).To(HaveLen(1))
	})

	It("counts the CPU of fill-in tasks, which no host reserves", func() {
		// Guards against a customer that gets past its limit with work of another kind.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 2000}, "a1"))
		a := r.add("a", "desk", large)
		fill := steps(3, work.Demand{MilliCPU: 1000})
		fill.FillIn, fill.LongLived = true, true
		Expect(r.send("j", drawPath, "a1", fill)).To(Succeed())
		Expect(r.start(a, tasks("j", 3)...)).To(HaveLen(2))
	})

	It("admits a gang as a whole or not at all", func() {
		// Guards against a part of a gang that holds the customer's limit and waits for the
		// rest, and against members that are counted twice.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 3000}, "a1"))
		a := r.add("a", "desk", large)
		gang := steps(3, work.Demand{MilliCPU: 1000})
		gang.Gang = true
		Expect(r.send("j", drawPath, "a1", oneTask(1000))).To(Succeed())
		Expect(r.send("g", drawPath, "a1", gang)).To(Succeed())
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		Expect(r.start(a, tasks("g", 3)...)).To(BeEmpty())
		Expect(r.usage("ann")).To(Equal(work.Demand{MilliCPU: 1000}), "a refused gang counts for nothing")
		r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeDone)
		Expect(r.start(a, tasks("g", 3)...)).To(HaveLen(3))
		Expect(r.usage("ann")).To(Equal(work.Demand{MilliCPU: 3000}))
	})

	It("has no second run of a task that allows copies", func() {
		// Guards against copies of a task that are not counted.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 1500}, "a1"))
		a, b := r.add("a", "desk", large), r.add("b", "desk", large)
		copies := steps(2, work.Demand{MilliCPU: 1000})
		copies.SpeculativeRuns = true
		Expect(r.send("j", drawPath, "a1", copies)).To(Succeed())
		started := len(r.start(a, tasks("j", 2)...)) + len(r.start(b, tasks("j", 2)...))
		Expect(started).To(Equal(1))
	})

	DescribeTable("counts a run until its end is recorded", func(lasting bool, end func(r *customerRegion, target string)) {
		// Guards against starts beyond the limit while a former run may be alive: it is being
		// stopped, its target is silent, or its start is still on its way.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 1000}, "a1"))
		a, b := r.add("a", "desk", large), r.add("bb", "desk", large)
		s := oneTask(1000)
		s.LongLived = lasting
		Expect(r.send("j", drawPath, "a1", s)).To(Succeed())
		Expect(r.send("k", drawPath, "a1", oneTask(1000))).To(Succeed())
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		r.do(&work.Command{Cancel: "j"})
		Expect(r.start(b, task("k", 0, 0))).To(BeEmpty(), "it is being stopped")
		r.restart()
		Expect(r.start(b, task("k", 0, 0))).To(BeEmpty(), "after a restart")
		end(r, a)
		Expect(r.usage("ann")).To(Equal(work.Demand{}))
		Expect(r.start(b, task("k", 0, 0))).To(HaveLen(1))
	},
		Entry("stopped", false, func(r *customerRegion, a string) { r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeStopped) }),
		Entry("long-lived", true, func(r *customerRegion, a string) { r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeStopped) }),
		Entry("never begun", false, func(r *customerRegion, a string) {
			r.do(&work.Command{Reports: []work.Report{{Target: a, Closed: []work.RunRef{run(task("j", 0, 0), 1)}}}})
		}),
		Entry("on a target whose lease has ended", false, func(r *customerRegion, a string) { r.do(&work.Command{CloseRuns: a}) }),
		Entry("on a target that has ended", true, func(r *customerRegion, a string) { r.do(&work.Command{CloseRuns: a, TargetEnded: true}) }),
	)

	It("counts a retried task once", func() {
		// Guards against a limit that fills up, or is undone, by runs that fail or by reports
		// that arrive twice.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 1000}, "a1"))
		a := r.add("a", "desk", large)
		lasting := oneTask(1000)
		lasting.LongLived = true
		Expect(r.send("j", drawPath, "a1", lasting)).To(Succeed())
		for n := range 5 {
			Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
			Expect(r.usage("ann")).To(Equal(work.Demand{MilliCPU: 1000}))
			for range 2 {
				r.end(a, int64(n+1), run(task("j", 0, 0), n+1), work.OutcomeFailed)
			}
			r.do(&work.Command{Reports: []work.Report{{Target: a, Closed: []work.RunRef{run(task("j", 0, 0), n+1)}}}})
			Expect(r.usage("ann")).To(Equal(work.Demand{}))
		}
	})

	It("counts a run on a target that is back under its id until it is settled", func() {
		// Guards against a late start on a target's next life beside a run that took its
		// place within the limit.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 1000}, "a1"))
		a, b := r.add("a", "desk", large), r.add("bb", "desk", large)
		Expect(r.send("j", drawPath, "a1", steps(2, work.Demand{MilliCPU: 1000}))).To(Succeed())
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		var later work.Target
		r.Read(func(v *work.View) { later = *v.Targets[a] })
		later.Born++
		Expect(r.do(&work.Command{Register: &later}).Err).NotTo(HaveOccurred())
		Expect(r.start(b, task("j", 0, 1))).To(BeEmpty())
		r.do(&work.Command{CloseRuns: a, TargetEnded: true})
		Expect(r.start(b, task("j", 0, 1))).To(HaveLen(1))
	})

	It("starts and stops nothing when it is lowered below what runs, and work goes on once it fits", func() {
		// Guards against a change of a limit that throws work away or lets it stand still.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 6000}, "a1"))
		a := r.add("a", "desk", large)
		Expect(r.send("j", drawPath, "a1", steps(9, work.Demand{MilliCPU: 1000}))).To(Succeed())
		Expect(r.start(a, tasks("j", 9)...)).To(HaveLen(6))
		r.configure(owner("ann", work.Demand{MilliCPU: 1000}, "a1"))
		Expect(r.runs(a)).To(Equal(6))
		for i := range 5 {
			Expect(r.start(a, tasks("j", 9)...)).To(BeEmpty())
			r.end(a, int64(i+1), run(task("j", 0, i), 1), work.OutcomeDone)
		}
		Expect(r.start(a, tasks("j", 9)...)).To(BeEmpty(), "one still runs")
		r.end(a, 6, run(task("j", 0, 5), 1), work.OutcomeDone)
		for i := 6; i < 9; i++ {
			Expect(r.start(a, tasks("j", 9)...)).To(HaveLen(1))
			r.end(a, int64(i+1), run(task("j", 0, i), 1), work.OutcomeDone)
		}
		Expect(r.state("j")).To(Equal(work.Completed))
	})

	It("admits what waits as soon as it is raised", func() {
		// Guards against a limit that is read from an earlier version.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 1000}, "a1"))
		a := r.add("a", "desk", large)
		Expect(r.send("j", drawPath, "a1", steps(9, work.Demand{MilliCPU: 1000}))).To(Succeed())
		Expect(r.start(a, tasks("j", 9)...)).To(HaveLen(1))
		r.configure(owner("ann", work.Demand{MilliCPU: 4000}, "a1"))
		Expect(r.start(a, tasks("j", 9)...)).To(HaveLen(3))
		r.configure(owner("ann", work.Demand{}, "a1"))
		Expect(r.start(a, tasks("j", 9)...)).To(HaveLen(5))
	})

	It("refuses at once what can never fit it, and runs a wide step in parts", func() {
		// Guards against a job that waits for ever, and against one that is refused although
		// its tasks fit one after the other.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 2000, MemoryMB: 500, GPUs: 1}, "a1"))
		a := r.add("a", "desk", large)
		gang := steps(3, work.Demand{MilliCPU: 700})
		gang.Gang = true
		for i, tooLarge := range []work.Step{
			oneTask(2001), steps(1, work.Demand{MemoryMB: 501}), steps(1, work.Demand{GPUs: 2}), gang,
		} {
			err := r.send("no"+strconv.Itoa(i), drawPath, "a1", oneTask(1), tooLarge)
			Expect(err).To(BeAssignableToTypeOf(neverFits))
			Expect(err).To(MatchError(And(ContainSubstring("step 1"), ContainSubstring("ann"))))
			Expect(r.state("no" + strconv.Itoa(i))).To(BeEmpty())
		}
		gang.Tasks = 2
		Expect(r.send("gang", drawPath, "a1", gang)).To(Succeed())
		Expect(r.send("wide", drawPath, "a1", steps(4, work.Demand{MilliCPU: 2000}))).To(Succeed())
		for i := range 4 {
			Expect(r.start(a, tasks("wide", 4)...)).To(HaveLen(1))
			r.end(a, int64(i+1), run(task("wide", 0, i), 1), work.OutcomeDone)
		}
		Expect(r.state("wide")).To(Equal(work.Completed))
	})
})

var _ = Describe("the allowance of a customer", func() {
	It("marks the jobs beyond its rate, and goes on after a restart", func() {
		// Guards against a customer whose jobs beyond its rate count as owed after a change
		// of leader, and against replicas that differ in what they mark.
		r := newCustomerRegion(owner("ann", work.Demand{}, "a1"))
		limited := owner("ann", work.Demand{}, "a1")
		limited.Weight = 2
		r.configure(limited)
		beyond := func(id string) (marked bool) {
			Expect(r.send(id, drawPath, "a1", oneTask(1))).To(Succeed())
			r.Read(func(v *work.View) { marked = v.Live[id].BeyondAllowance })
			return marked
		}
		Expect([]bool{beyond("1"), beyond("2"), beyond("3")}).To(Equal([]bool{false, false, true}))
		r.restart()
		Expect(beyond("4")).To(BeTrue())
		r.nowMS += 500
		Expect([]bool{beyond("5"), beyond("6")}).To(Equal([]bool{false, true}))
		r.nowMS += 3_600_000
		Expect([]bool{beyond("7"), beyond("8"), beyond("9")}).To(Equal([]bool{false, false, true}), "no more for its past")
	})

	It("is previewed without being used", func() {
		// Guards against a refused job that costs its customer one that it is owed.
		slow := owner("ann", work.Demand{}, "a1")
		slow.Weight = 1
		r := newCustomerRegion(slow)
		for range 5 {
			j, err := r.Preview(submission("j", drawPath, "a1", oneTask(1)), r.nowMS)
			Expect(err).NotTo(HaveOccurred())
			Expect(j.BeyondAllowance).To(BeFalse())
			Expect(j.Customer).To(Equal("ann"))
		}
	})
})

var _ = Describe("the state of a region with customers", func() {
	It("is the same after a restart", func() {
		// Guards against a replica that restores usage, keys or allowances that differ from
		// those of the replicas that applied the log.
		r := newCustomerRegion(owner("ann", work.Demand{MilliCPU: 2500, MemoryMB: 9}, "a1"), owner("bob", work.Demand{GPUs: 2}, "b1"))
		a, c := r.add("a", "desk", large), r.add("c", "cuts", large)
		Expect(r.send("j", drawPath, "a1", steps(4, work.Demand{MilliCPU: 1000, MemoryMB: 2}))).To(Succeed())
		Expect(r.send("k", cutPath, "b1", steps(4, work.Demand{GPUs: 1, MilliCPU: 5}))).To(Succeed())
		Expect(r.send("o", openPath, "", oneTask(1000))).To(Succeed())
		Expect(r.start(a, append(tasks("j", 4), task("o", 0, 0))...)).To(HaveLen(3))
		Expect(r.start(c, tasks("k", 4)...)).To(HaveLen(2))
		r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeFailed)
		ann, bob := r.usage("ann"), r.usage("bob")
		Expect(ann).To(Equal(work.Demand{MilliCPU: 1000, MemoryMB: 2}))
		Expect(bob).To(Equal(work.Demand{GPUs: 2, MilliCPU: 10}))
		before, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		r.restart()
		Expect([]work.Demand{r.usage("ann"), r.usage("bob"), r.usage("")}).To(Equal([]work.Demand{ann, bob, {}}))
		after, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
		Expect(r.start(c, tasks("k", 4)...)).To(BeEmpty())
	})

	It("is read from the commands and snapshots of versions without customers", func() {
		// Guards against a core host that ends, or loses the region's work, when it is
		// upgraded beside hosts of the former version.
		type formerQueue struct {
			Name      string `cbor:"1,keyasint"`
			Domain    string `cbor:"2,keyasint"`
			Prefix    string `cbor:"3,keyasint"`
			Pool      string `cbor:"4,keyasint"`
			Priority  int    `cbor:"5,keyasint"`
			Attempts  int    `cbor:"6,keyasint"`
			TimeoutMS int64  `cbor:"10,keyasint,omitempty"`
		}
		type formerConfiguration struct {
			Version  uint64        `cbor:"1,keyasint"`
			Document []byte        `cbor:"2,keyasint"`
			Queues   []formerQueue `cbor:"3,keyasint"`
			Pools    []work.Pool   `cbor:"4,keyasint"`
		}
		type formerState struct {
			NowMS    int64                `cbor:"1,keyasint"`
			Sequence uint64               `cbor:"2,keyasint"`
			Config   *formerConfiguration `cbor:"3,keyasint,omitempty"`
		}
		data, err := codec.Marshal(&formerState{NowMS: 5, Config: &formerConfiguration{Version: 3, Pools: []work.Pool{{Name: "desk"}},
			Queues: []formerQueue{{Name: "draw", Domain: "a.example", Prefix: drawPath, Pool: "desk", Attempts: 1, TimeoutMS: 1000}}}})
		Expect(err).NotTo(HaveOccurred())
		r := &customerRegion{region: &region{StateMachine: work.New(), nowMS: 1_000_000}, version: 3}
		Expect(r.Restore(data)).To(Succeed())
		a := r.add("a", "desk", large)
		Expect(r.send("j", drawPath, "", oneTask(1))).To(Succeed(), "its queues are open to all")
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		r.configure(owner("ann", work.Demand{MilliCPU: 1}, "a1"))
		Expect(r.usage("ann")).To(Equal(work.Demand{}))
		Expect(r.access(drawPath, "a1", "j")).To(Succeed(), "a job of nobody")
		r.end(a, 1, run(task("j", 0, 0), 1), work.OutcomeDone)
		Expect(r.state("j")).To(Equal(work.Completed))
	})
})

var _ = Describe("a configuration with customers", func() {
	check := func(customers ...work.Customer) error {
		c := &work.Configuration{Version: 1, Customers: customers}
		c.Clamp()
		return c.Check()
	}

	DescribeTable("is refused", func(field string, customers ...work.Customer) {
		// Guards against a key that identifies two customers, and against limits that no sum
		// can be compared with.
		err := check(customers...)
		var invalid *fault.Invalid
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Field).To(ContainSubstring(field))
		Expect(err.Error()).NotTo(ContainSubstring(string(customer.Digest("a1"))))
	},
		Entry("shared key", "keys of customer 1", owner("a", work.Demand{}, "a1"), owner("b", work.Demand{}, "b1", "a1")),
		Entry("empty name", "customer 0", owner("", work.Demand{}, "a1")),
		Entry("duplicate name", "customer 1", owner("a", work.Demand{}, "a1"), owner("a", work.Demand{}, "b1")),
		Entry("empty key", "keys of customer 0", work.Customer{Name: "a", Keys: []customer.KeyDigest{""}}),
		Entry("negative weight", "weight of customer 0", work.Customer{Name: "a", Weight: -1}),
		Entry("negative CPU", "limit of customer 0", owner("a", work.Demand{MilliCPU: -1})),
		Entry("negative memory", "limit of customer 0", owner("a", work.Demand{MemoryMB: -1})),
		Entry("negative GPUs", "limit of customer 0", owner("a", work.Demand{GPUs: -1})),
	)

	It("may have the largest limits and many keys", func() {
		// Guards against a valid configuration that is refused for its size.
		huge := owner("a", work.Demand{MilliCPU: 1 << 62, MemoryMB: 1 << 62, GPUs: 1 << 62}, "a1", "a1")
		Expect(check(huge, owner("b", work.Demand{}))).To(Succeed())
	})
})
