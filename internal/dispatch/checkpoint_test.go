package dispatch_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/dispatch"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
)

var _ = Describe("Checkpoints", func() {
	var (
		l    *fakeLeader
		t    *fakeTarget
		move model.Assignment
	)
	BeforeEach(func() {
		l, t = &fakeLeader{}, newFakeTarget(target.TaskRunning)
		t.checkpoint = target.TaskStatus{State: target.TaskStopped, Incarnation: "t1", Checkpoint: []byte("ref"), Reason: "stopped"}
		move = assignment("k")
		move.HostDraining, move.CheckpointRequested = true, true
	})
	asked := func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.checkpoints }
	checkpoint := func() []byte {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.reports[len(l.reports)-1].Checkpoint
	}
	begin := func() {
		GinkgoHelper()
		l.assign(assignment("k"))
		run(l, t)
		Eventually(func() int { return t.started("k") }).Should(Equal(1))
	}

	DescribeTable("end a running attempt and report its reference",
		// Guards against an order that is not carried out, against a checkpoint
		// without an order, and against a reference that is lost because only the
		// state is read.
		func(forgets bool) {
			t.forgets = forgets
			begin()
			l.waitForPulls()
			Expect(asked()).To(BeZero())
			l.assign(move)
			Eventually(l.states("k"), "5s").Should(ContainElement(model.AttemptCheckpointed))
			Expect(checkpoint()).To(Equal([]byte("ref")))
			Expect(l.answer("k")).To(BeEmpty())
			Expect(asked()).To(Equal(1))
		},
		Entry("by a target that remembers the task", false),
		Entry("by a target that forgets it", true),
	)

	It("are read from the state if the answer was lost", func() {
		// Guards against an attempt whose result is lost with the answer to the
		// checkpoint request.
		t.checkpointErr = &fault.SilentConnection{}
		begin()
		l.assign(move)
		Eventually(asked).Should(Equal(1))
		t.set(func(t *fakeTarget) { t.status = t.checkpoint })
		Eventually(l.states("k")).Should(Equal([]model.AttemptState{model.AttemptCheckpointed}))
		Expect(checkpoint()).To(Equal([]byte("ref")))
	})

	DescribeTable("leave the attempt running when the target does not do it",
		// Guards against losing work because its target refuses the checkpoint, and
		// against asking the target again with every pull.
		func(failure error) {
			t.checkpointErr = failure
			begin()
			l.assign(move)
			Eventually(asked).Should(Equal(1))
			l.waitForPulls()
			l.waitForPulls()
			Expect(asked()).To(Equal(1))
			Expect(l.states("k")()).To(BeEmpty())
			t.set(func(t *fakeTarget) { t.status.State = target.TaskSucceeded })
			Eventually(l.states("k")).Should(Equal([]model.AttemptState{model.AttemptSucceeded}))
		},
		Entry("refused", &target.RefusedError{Reason: "not now"}),
		Entry("not known", &target.StatusError{Status: 404}),
		Entry("silent", &fault.SilentConnection{}),
	)

	It("give the reference to the next attempt", func() {
		// Guards against a continued attempt that starts from the beginning.
		a := assignment("k")
		a.Checkpoint = []byte("ref")
		l.assign(a)
		run(l, t)
		Eventually(func() int { return t.started("k") }).Should(Equal(1))
		t.mu.Lock()
		defer t.mu.Unlock()
		Expect(t.last.Checkpoint).To(Equal([]byte("ref")))
	})

	It("are carried out by the resolver when the owner is gone, only on request", func() {
		// Guards against a wave that waits for the work of a lost owner, and
		// against work that is moved without an order.
		r := dispatch.NewResolver(t)
		open := dispatch.OpenAttempt{Key: "k", Attempt: 1, Address: "h:1", TargetIncarnation: "t1"}
		report, err := r.Resolve(context.Background(), open)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(BeNil())
		Expect(asked()).To(BeZero())
		open.CheckpointRequested = true
		t.checkpointErr = &target.RefusedError{}
		report, err = r.Resolve(context.Background(), open)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).To(BeNil(), "a refusal leaves it running")
		t.checkpointErr = nil
		report, err = r.Resolve(context.Background(), open)
		Expect(err).NotTo(HaveOccurred())
		Expect(report).NotTo(BeNil())
		Expect(report.State).To(Equal(model.AttemptCheckpointed))
		Expect(report.Checkpoint).To(Equal([]byte("ref")))
	})
})
