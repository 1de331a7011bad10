package work_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

func TestWork(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "work")
}

// region drives a state machine as a leader does.
type region struct {
	*work.StateMachine
	index uint64
	nowMS int64
}

func newRegion() *region {
	r := &region{StateMachine: work.New(), nowMS: 1_000_000}
	r.do(&work.Command{Configure: &work.Configuration{
		Version: 1,
		Queues: []work.Queue{{Name: "draw", Domain: "a.example", Prefix: "/draw/", Pool: "desk", Attempts: 2,
			Stretch: 1.6, SlackMS: 600, TimeoutMS: 3000}},
		Pools: []work.Pool{{Name: "desk"}, {Name: "off", Standby: true}},
	}})
	return r
}

func (r *region) do(c *work.Command) *work.Result {
	GinkgoHelper()
	r.index++
	c.NowMS = r.nowMS
	data, err := codec.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	result, ok := r.Apply(replica.Entry{Index: r.index, Term: 1, Data: data}).(*work.Result)
	Expect(ok).To(BeTrue())
	return result
}

func (r *region) target(id string, born int64) string {
	t := work.Target{
		ID: id, Born: born, Host: "host-" + id, Pool: "desk", Address: "10.0.0." + strconv.FormatInt(born%200, 10) + ":80",
		Resources: work.Demand{MilliCPU: 4000, MemoryMB: 4000},
	}
	Expect(r.do(&work.Command{Register: &t}).Err).NotTo(HaveOccurred())
	return t.Key()
}

func (r *region) submit(id string, steps ...work.Step) {
	GinkgoHelper()
	Expect(r.do(&work.Command{Submit: &work.Submission{
		ID: id, Domain: "a.example", Path: "/draw/", Spec: work.Spec{Payload: "p", Steps: steps},
	}}).Err).NotTo(HaveOccurred())
}

// start starts tasks on a target and returns the accepted runs.
func (r *region) start(target string, tasks ...work.TaskRef) []work.StartedRun {
	var starts []work.Start
	for _, t := range tasks {
		starts = append(starts, work.Start{Task: t, Target: target})
	}
	return r.do(&work.Command{Start: starts}).Started
}

// end reports the end of a run.
func (r *region) end(target string, number int64, run work.RunRef, outcome work.Outcome) {
	r.do(&work.Command{Reports: []work.Report{{Target: target, EndedRuns: []work.EndedRun{{Number: number, Run: run, Outcome: outcome}}}}})
}

func (r *region) state(job string) work.JobState {
	s, _ := r.JobState(job)
	return s
}

func (r *region) runs(target string) int {
	n := -1
	r.Read(func(v *work.View) {
		if t := v.Targets[target]; t != nil {
			n = t.Runs()
		}
	})
	return n
}

func task(job string, step, index int) work.TaskRef {
	return work.TaskRef{Job: job, Step: step, Index: index}
}

func oneTask(cpu int64) work.Step { return work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: cpu}} }

var _ = Describe("a job", func() {
	var r *region
	var a string

	BeforeEach(func() {
		r = newRegion()
		a = r.target("a", 1)
	})

	It("runs its steps in order and is completed", func() {
		// Guards against a task that starts before the steps that it waits for are
		// done.
		second := oneTask(1000)
		second.After = []int{0}
		r.submit("j", oneTask(1000), second)
		Expect(r.state("j")).To(Equal(work.Queued))
		Expect(r.start(a, task("j", 1, 0))).To(BeEmpty())
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		Expect(r.state("j")).To(Equal(work.Running))
		Expect(r.start(a, task("j", 1, 0))).To(BeEmpty())
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeDone)
		Expect(r.start(a, task("j", 1, 0))).To(HaveLen(1))
		r.end(a, 2, work.RunRef{Task: task("j", 1, 0), Run: 1}, work.OutcomeDone)
		Expect(r.state("j")).To(Equal(work.Completed))
	})

	It("is pending until a run of it has begun", func() {
		// Guards against a committed start, which may never be carried out, that counts as the
		// begin of a job.
		r.submit("a", oneTask(1000))
		r.submit("b", oneTask(1000))
		first, second := work.RunRef{Task: task("a", 0, 0), Run: 1}, work.RunRef{Task: task("b", 0, 0), Run: 1}
		Expect(r.start(a, first.Task, second.Task)).To(HaveLen(2))
		Expect(r.Waiting("draw")).To(Equal(2))
		r.do(&work.Command{Reports: []work.Report{{Target: a, Closed: []work.RunRef{first}}}})
		Expect(r.Waiting("draw")).To(Equal(2))
		r.do(&work.Command{Reports: []work.Report{{Target: a, Begun: []work.RunRef{second}}}})
		Expect(r.Waiting("draw")).To(Equal(1))
		Expect(r.start(a, first.Task)).To(HaveLen(1))
		r.end(a, 1, work.RunRef{Task: first.Task, Run: 2}, work.OutcomeFailed)
		Expect(r.Waiting("draw")).To(BeZero())
		data, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Restore(data)).To(Succeed())
		Expect(r.Waiting("draw")).To(BeZero(), "after a restart")
	})

	It("never has two live runs of a task", func() {
		// Guards against a task that is carried out twice.
		b := r.target("b", 2)
		r.submit("j", oneTask(1000))
		Expect(r.start(a, task("j", 0, 0), task("j", 0, 0))).To(HaveLen(1))
		Expect(r.start(b, task("j", 0, 0))).To(BeEmpty())
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeLeaseExpired)
		Expect(r.start(b, task("j", 0, 0))).To(HaveLen(1))
	})

	It("ignores the end of a run that was closed before", func() {
		// Guards against an ended run that a target lists after its lease expired,
		// while the task runs elsewhere.
		b := r.target("b", 2)
		r.submit("j", oneTask(1000))
		r.start(a, task("j", 0, 0))
		r.do(&work.Command{CloseRuns: a})
		Expect(r.start(b, task("j", 0, 0))).To(HaveLen(1))
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeDone)
		Expect(r.state("j")).To(Equal(work.Running))
		Expect(r.runs(b)).To(Equal(1))
	})

	It("fails once the attempts of a task are used up, and counts only failures", func() {
		// Guards against a job that can never succeed and holds capacity for ever.
		r.submit("j", oneTask(1000))
		for run, outcome := range []work.Outcome{work.OutcomeFailed, work.OutcomeLeaseExpired, work.OutcomeStopped, work.OutcomeFailed} {
			Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
			r.end(a, int64(run+1), work.RunRef{Task: task("j", 0, 0), Run: run + 1}, outcome)
		}
		Expect(r.state("j")).To(Equal(work.Failed))
		Expect(r.start(a, task("j", 0, 0))).To(BeEmpty())
	})

	It("reserves the capacity of a run until its end is recorded", func() {
		// Guards against a start beyond the capacity of a target that does not check
		// it, including while a cancelled run is being stopped.
		r.submit("j", oneTask(3000))
		r.submit("k", oneTask(3000))
		Expect(r.start(a, task("j", 0, 0))).To(HaveLen(1))
		Expect(r.start(a, task("k", 0, 0))).To(BeEmpty())
		r.do(&work.Command{Cancel: "j"})
		Expect(r.state("j")).To(Equal(work.Cancelled))
		Expect(r.start(a, task("k", 0, 0))).To(BeEmpty())
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeStopped)
		Expect(r.start(a, task("k", 0, 0))).To(HaveLen(1))
	})

	It("is one job however often it is submitted", func() {
		// Guards against a repeated submission that runs again, including after the job
		// has ended.
		r.submit("j", oneTask(1000))
		r.start(a, task("j", 0, 0))
		r.submit("j", oneTask(1000))
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeDone)
		r.submit("j", oneTask(1000))
		Expect(r.state("j")).To(Equal(work.Completed))
		Expect(r.start(a, task("j", 0, 0))).To(BeEmpty())
	})

	It("is deleted only after its retention", func() {
		// Guards against a caller that asks late and is told that the job is unknown.
		r.submit("j", oneTask(1000))
		r.do(&work.Command{Cancel: "j"})
		r.nowMS += work.RetentionMS - 1
		r.submit("k", oneTask(1000))
		Expect(r.state("j")).To(Equal(work.Cancelled))
		r.nowMS += 2
		r.submit("l", oneTask(1000))
		Expect(r.state("j")).To(BeEmpty())
	})

	It("refuses labels, hosts per step and draining targets", func() {
		// Guards against runs that the job or the target does not allow.
		labelled, spread := oneTask(100), work.Step{Tasks: 3, MaxPerHost: 2}
		labelled.Label = "gpu"
		r.submit("j", labelled, spread)
		Expect(r.start(a, task("j", 0, 0))).To(BeEmpty())
		Expect(r.start(a, task("j", 1, 0), task("j", 1, 1), task("j", 1, 2))).To(HaveLen(2))
		r.do(&work.Command{Register: &work.Target{
			ID: "a", Born: 1, Host: "host-a", Pool: "desk", Address: "10.0.0.1:80", Draining: true,
			Resources: work.Demand{MilliCPU: 4000, MemoryMB: 4000},
		}})
		r.submit("k", oneTask(100))
		Expect(r.start(a, task("k", 0, 0))).To(BeEmpty())
	})

	It("starts a gang again only after all members have ended, with the same run number", func() {
		// Guards against members of different runs that wait for each other.
		gang := work.Step{Tasks: 2, Gang: true}
		r.submit("j", gang)
		first := r.start(a, task("j", 0, 0), task("j", 0, 1))
		Expect(first).To(HaveLen(2))
		Expect(first[0].Run).To(Equal(first[1].Run))
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeFailed)
		startable := func() (n int) {
			r.Read(func(v *work.View) { n = len(v.Live["j"].Startable(0, 0)) })
			return n
		}
		Expect(startable()).To(BeZero())
		r.end(a, 2, work.RunRef{Task: task("j", 0, 1), Run: 1}, work.OutcomeGangBroken)
		Expect(startable()).To(Equal(2))
		again := r.start(a, task("j", 0, 0), task("j", 0, 1))
		Expect([]int{again[0].Run, again[1].Run}).To(Equal([]int{2, 2}))
		r.end(a, 3, work.RunRef{Task: task("j", 0, 0), Run: 2}, work.OutcomeDone)
		Expect(r.state("j")).To(Equal(work.Completed))
	})
})

var _ = Describe("a target", func() {
	It("closes its runs when a later incarnation with another id replaces it", func() {
		// Guards against tasks that are never started again after a crash.
		r := newRegion()
		a := r.target("a", 1)
		r.submit("j", oneTask(1000))
		r.start(a, task("j", 0, 0))
		r.do(&work.Command{Register: &work.Target{
			ID: "b", Born: 5, Host: "host-a", Pool: "desk", Address: "10.0.0.9:80", Resources: work.Demand{MilliCPU: 4000},
		}})
		Expect(r.runs(a)).To(Equal(-1))
		Expect(r.start("b@5", task("j", 0, 0))).To(HaveLen(1))
	})

	It("keeps its runs when its id registers again, until they are known to have ended", func() {
		// Guards against a second run beside one that a delayed order begins in the
		// later incarnation.
		r := newRegion()
		a := r.target("a", 1)
		r.submit("j", oneTask(1000))
		r.start(a, task("j", 0, 0))
		later := r.target("a", 201) // at the same address
		Expect(r.runs(a)).To(Equal(1))
		Expect(r.start(later, task("j", 0, 0))).To(BeEmpty())
		r.submit("k", oneTask(1000))
		Expect(r.start(later, task("k", 0, 0))).To(BeEmpty(), "no capacity is reserved for what a delayed order begins")
		r.do(&work.Command{CloseRuns: a, TargetEnded: true})
		Expect(r.start(later, task("j", 0, 0))).To(HaveLen(1))
	})

	It("closes its runs when its id registers at another address", func() {
		// Guards against tasks that wait for delayed orders which can no longer arrive.
		r := newRegion()
		a := r.target("a", 1)
		r.submit("j", oneTask(1000))
		r.start(a, task("j", 0, 0))
		later := r.target("a", 5)
		Expect(r.runs(a)).To(Equal(-1))
		Expect(r.start(later, task("j", 0, 0))).To(HaveLen(1))
	})

	It("is refused beyond the maximum, until another has ended", func() {
		// Guards against memory that grows with the names under which targets register.
		r := newRegion()
		register := func(i int) *work.Result {
			return r.do(&work.Command{Register: &work.Target{
				ID: "t" + strconv.Itoa(i), Born: 1, Host: "h" + strconv.Itoa(i), Pool: "desk", Address: "a" + strconv.Itoa(i),
				Resources: work.Demand{MilliCPU: 4000, MemoryMB: 4000},
			}})
		}
		// Each registration compares with all targets, so a full state is restored
		// instead.
		s := map[int]map[string]*work.Target{5: {}}
		for i := range work.MaxTargets - 1 {
			t := &work.Target{ID: "s" + strconv.Itoa(i), Born: 1, Host: "s" + strconv.Itoa(i), Pool: "desk", Address: "s" + strconv.Itoa(i)}
			s[5][t.Key()] = t
		}
		data, err := codec.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Restore(data)).To(Succeed())
		Expect(register(1).Err).NotTo(HaveOccurred())
		var limit *fault.LimitExceeded
		Expect(register(2).Err).To(BeAssignableToTypeOf(limit))
		Expect(register(1).Err).NotTo(HaveOccurred(), "a known target announces itself")
		r.do(&work.Command{CloseRuns: "s7@1", TargetEnded: true})
		Expect(register(2).Err).NotTo(HaveOccurred())
		Expect(register(3).Err).To(BeAssignableToTypeOf(limit))
		Expect(r.do(&work.Command{Register: &work.Target{
			ID: "later", Born: 2, Host: "h1", Pool: "desk", Address: "later", Resources: work.Demand{MilliCPU: 4000},
		}}).Err).NotTo(HaveOccurred(), "a later incarnation replaces the earlier one")
	})

	It("is not replaced by an earlier incarnation that announces itself late", func() {
		// Guards against a delayed announcement.
		r := newRegion()
		r.target("a", 5)
		t := work.Target{ID: "a", Born: 1, Host: "host-a", Pool: "desk", Address: "10.0.0.1:80"}
		var refused *fault.Precondition
		Expect(r.do(&work.Command{Register: &t}).Err).To(BeAssignableToTypeOf(refused))
	})
})

var _ = Describe("the configuration", func() {
	It("keeps the highest version", func() {
		// Guards against a late or repeated change that reverts a newer one.
		r := newRegion()
		r.do(&work.Command{Configure: &work.Configuration{Version: 7, Document: []byte("seven")}})
		r.do(&work.Command{Configure: &work.Configuration{Version: 7, Document: []byte("other")}})
		r.do(&work.Command{Configure: &work.Configuration{Version: 3, Document: []byte("three")}})
		Expect(string(r.Configuration().Document)).To(Equal("seven"))
	})

	DescribeTable("is refused if it must not take effect",
		func(change func(c *work.Configuration)) {
			// Guards against a configuration that is acknowledged but cannot work.
			c := &work.Configuration{
				Version: 1, Pools: []work.Pool{{Name: "p"}},
				Queues: []work.Queue{{Name: "q", Domain: "d", Prefix: "/q/", Pool: "p", TimeoutMS: 1}},
			}
			Expect(c.Check()).To(Succeed())
			change(c)
			var invalid *fault.Invalid
			Expect(c.Check()).To(BeAssignableToTypeOf(invalid))
		},
		Entry("no version", func(c *work.Configuration) { c.Version = 0 }),
		Entry("an unknown pool", func(c *work.Configuration) { c.Queues[0].Pool = "x" }),
		Entry("no timeout", func(c *work.Configuration) { c.Queues[0].TimeoutMS = 0 }),
		Entry("two queues with the same domain and prefix", func(c *work.Configuration) {
			c.Queues = append(c.Queues, work.Queue{Name: "r", Domain: "d", Prefix: "/q/", Pool: "p", TimeoutMS: 1})
		}),
	)

	It("routes by the longest prefix", func() {
		// Guards against a queue that gets the jobs of another one.
		c := &work.Configuration{Queues: []work.Queue{
			{Name: "short", Domain: "d", Prefix: "/a/"}, {Name: "long", Domain: "d", Prefix: "/a/b/"}, {Name: "other", Domain: "e", Prefix: "/a/b/c/"},
		}}
		q, ok := c.Route("d", "/a/b/c/")
		Expect(ok).To(BeTrue())
		Expect(q.Name).To(Equal("long"))
		_, ok = c.Route("d", "/x/")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a command in parts", func() {
	whole := func(version uint64) []byte {
		data, err := codec.Marshal(&work.Command{Configure: &work.Configuration{Version: version}})
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	// part proposes a part in a term.
	part := func(r *region, term, upload uint64, data []byte, from, to int) error {
		GinkgoHelper()
		r.index++
		encoded, err := codec.Marshal(&work.Command{Part: &work.Part{Upload: upload, Offset: from, TotalBytes: len(data), Data: data[from:to]}})
		Expect(err).NotTo(HaveOccurred())
		return r.Apply(replica.Entry{Index: r.index, Term: term, Data: encoded}).(*work.Result).Err
	}

	It("takes effect with its last part, also with a snapshot in between", func() {
		// Guards against a long configuration that is lost if a process restarts
		// between its parts.
		r, data := newRegion(), whole(7)
		Expect(part(r, 1, 1, data, 0, 5)).To(Succeed())
		Expect(part(r, 1, 2, whole(8), 0, 3)).To(Succeed(), "another one in between")
		Expect(r.Configuration().Version).To(Equal(uint64(1)))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		again := newRegion()
		Expect(again.Restore(snapshot)).To(Succeed())
		for _, replica := range []*region{r, again} {
			Expect(part(replica, 1, 1, data, 5, len(data))).To(Succeed())
			Expect(replica.Configuration().Version).To(Equal(uint64(7)))
		}
	})

	It("is not continued by a later leader, nor without its first part", func() {
		// Guards against a command that is assembled from parts of two leaders.
		r, data := newRegion(), whole(7)
		Expect(part(r, 1, 1, data, 0, 5)).To(Succeed())
		Expect(part(r, 2, 1, data, 5, len(data))).NotTo(Succeed())
		Expect(part(r, 2, 3, data, 5, len(data))).NotTo(Succeed())
		Expect(r.Configuration().Version).To(Equal(uint64(1)))
	})

	It("is dropped for newer ones if it is never completed", func() {
		// Guards against incomplete commands that fill the memory of every replica.
		r, data := newRegion(), whole(7)
		for n := range uint64(work.MaxUploads + 1) {
			Expect(part(r, 1, n+1, data, 0, 5)).To(Succeed())
		}
		Expect(part(r, 1, 1, data, 5, len(data))).NotTo(Succeed())
		Expect(part(r, 1, 2, data, 5, len(data))).To(Succeed())
	})
})

var _ = Describe("a wave", func() {
	It("never has more hosts down than allowed, and is complete only once all have begun", func() {
		// Guards against maintenance that takes more hosts down than allowed.
		r := newRegion()
		r.do(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"a", "b"}, MaxDown: 1}})
		step := func(host string, kind work.WaveStepKind) error {
			return r.do(&work.Command{WaveSteps: []work.WaveStep{{Wave: 1, Host: host, Kind: kind}}}).Err
		}
		complete := func() bool { c, _ := r.WaveComplete(1); return c }
		Expect(step("a", work.MaintenanceOrdered)).To(Succeed())
		Expect(step("a", work.MaintenanceOrdered)).To(Succeed()) // a repeated order
		Expect(step("b", work.MaintenanceOrdered)).NotTo(Succeed())
		Expect(step("a", work.MaintenanceBegun)).To(Succeed())
		Expect(step("b", work.MaintenanceOrdered)).NotTo(Succeed())
		Expect(step("a", work.MaintenanceReturned)).To(Succeed())
		Expect(step("b", work.MaintenanceOrdered)).To(Succeed())
		Expect(complete()).To(BeFalse())
		Expect(step("b", work.MaintenanceBegun)).To(Succeed())
		Expect(complete()).To(BeTrue())
	})
})

var _ = Describe("a snapshot", func() {
	It("preserves a wave at each of its steps", func() {
		// Guards against a process that crashes at every start: the snapshot on its
		// disk holds a wave of which no host has returned, begun or been ordered yet.
		r := newRegion()
		Expect(r.do(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h1", "h2"}, MaxDown: 1, DurationMS: 9000}}).Err).NotTo(HaveOccurred())
		for _, host := range []string{"h1", "h2"} {
			for _, kind := range []work.WaveStepKind{work.MaintenanceOrdered, work.MaintenanceBegun, work.MaintenanceReturned} {
				data, err := r.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				r.StateMachine = work.New()
				Expect(r.Restore(data)).To(Succeed())
				Expect(r.do(&work.Command{WaveSteps: []work.WaveStep{{Wave: 1, Host: host, Kind: kind}}}).Err).NotTo(HaveOccurred())
			}
		}
		complete, found := r.WaveComplete(1)
		Expect(found && complete).To(BeTrue())
	})

	It("restores the same state", func() {
		// Guards against fields that a snapshot omits, and against indexes that do not
		// match after a restart.
		r := newRegion()
		a := r.target("a", 1)
		r.submit("j", work.Step{Tasks: 2, Demand: work.Demand{MilliCPU: 1000}})
		r.submit("k", oneTask(3500))
		r.start(a, task("j", 0, 0), task("j", 0, 1))
		r.end(a, 1, work.RunRef{Task: task("j", 0, 0), Run: 1}, work.OutcomeDone)
		data, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := &region{StateMachine: work.New(), nowMS: r.nowMS}
		Expect(restored.Restore(data)).To(Succeed())
		again, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data))
		Expect(restored.start(a, task("k", 0, 0))).To(BeEmpty(), "the capacity of the active run is not reserved")
		restored.end(a, 2, work.RunRef{Task: task("j", 0, 1), Run: 1}, work.OutcomeDone)
		Expect(restored.state("j")).To(Equal(work.Completed))
		Expect(restored.start(a, task("k", 0, 0))).To(HaveLen(1))
	})
})
