package ledger_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

var _ = Describe("checkpoints", func() {
	var f *fixture
	setHost := func(name string, state model.HostState, caps ...model.Capability) {
		h := f.hosts[name]
		h.State, h.Info.Capabilities = state, caps
		f.hosts[name] = h
	}
	order := func(key string, attempt int) bool {
		f.apply(ledger.Command{Checkpoint: &ledger.Checkpoint{Attempts: []ledger.CheckpointItem{{Key: key, Attempt: attempt}}, Reason: "wave"}})
		return f.get(key).Attempts[attempt-1].CheckpointOrdered
	}
	stopped := func(key string, attempt int, reference string) {
		f.apply(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{{
			Key: key, Attempt: attempt, State: model.AttemptCheckpointed, Reason: "stopped", Checkpoint: []byte(reference),
		}}}})
	}
	// run dispatches the next attempt of a request to a ready host.
	run := func(key, host string) {
		GinkgoHelper()
		setHost(host, model.HostReady, model.CapabilityCheckpoint)
		Expect(f.dispatch(key, ledger.NextAttempt(f.get(key)), host)).To(BeTrue())
	}
	// move moves the running attempt of a request off its host.
	move := func(key, host, reference string) {
		GinkgoHelper()
		n := ledger.NextAttempt(f.get(key)) - 1
		setHost(host, model.HostDraining, model.CapabilityCheckpoint)
		f.apply(ledger.Command{Checkpoint: &ledger.Checkpoint{Attempts: []ledger.CheckpointItem{{Key: key, Attempt: n}}}})
		stopped(key, n, reference)
		Expect(f.get(key).State).To(Equal(model.RequestQueued))
	}
	assigned := func() model.Assignment {
		GinkgoHelper()
		list := f.state.Assignments("e1", "p1")
		Expect(list).To(HaveLen(1))
		return list[0]
	}
	BeforeEach(func() {
		f = newFixture(ledger.DefaultLimits())
		f.claim("c", "convert", "shop", time.Minute)
	})

	It("puts a moved request back into the queue at once and starts it from the reference", func() {
		// Guards against a move that waits for or counts as a retry, that loses the
		// checkpoint reference, or that keeps the slot of the stopped attempt.
		run("c", "h1")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		Expect(order("c", 1)).To(BeTrue())
		Expect(assigned().CheckpointRequested).To(BeTrue())
		stopped("c", 1, "ref")
		r := f.get("c")
		Expect(r.State).To(Equal(model.RequestQueued))
		Expect(r.NotBefore.IsZero()).To(BeTrue())
		Expect(f.state.AwaitingRetry()).To(BeEmpty())
		Expect(f.state.HeldSlots("h1")).To(BeZero())
		run("c", "h2")
		Expect(assigned().Checkpoint).To(Equal([]byte("ref")))
		f.report("c", 2, model.AttemptSucceeded, "answer")
		Expect(f.get("c").Succeeded).To(BeTrue())
		Expect(f.get("c").Checkpoint).To(BeEmpty())
	})

	It("survives a change of leader and of owner as part of the state", func() {
		// Guards against a checkpoint order or reference that is lost with the
		// process that held it.
		run("c", "h1")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		Expect(order("c", 1)).To(BeTrue())
		data, err := f.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		f.state = restored(data)
		Expect(assigned().CheckpointRequested).To(BeTrue())
		Expect(f.state.OpenAttempts()[0].CheckpointOrdered).To(BeTrue())
		stopped("c", 1, "ref")
		data, err = f.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		f.state = restored(data)
		run("c", "h2")
		Expect(assigned().Checkpoint).To(Equal([]byte("ref")))
	})

	It("orders only what job kind, target and state of the host allow", func() {
		// Guards against moving work that must not run twice, against orders to
		// targets that have not announced the capability, and against moves off
		// hosts that stay in service.
		f.claim("a", "archive", "shop", 0)
		Expect(f.dispatch("a", 1, "h2")).To(BeTrue())
		f.claim("o", "order", "shop", 0)
		Expect(f.dispatch("o", 1, "h2")).To(BeTrue())
		setHost("h2", model.HostDraining, model.CapabilityCheckpoint)
		Expect(order("a", 1)).To(BeFalse(), "not declared checkpointable")
		Expect(order("o", 1)).To(BeFalse(), "not idempotent")
		run("c", "h1")
		Expect(order("c", 1)).To(BeFalse(), "its host is ready")
		setHost("h1", model.HostDraining)
		Expect(order("c", 1)).To(BeFalse(), "its target does not announce the capability")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		f.cancel("c")
		Expect(order("c", 1)).To(BeFalse(), "cancelled")
	})

	It("treats a stop without an order as a failure", func() {
		// Guards against a target that stops its tasks repeatedly and gets them
		// again outside of the retry limits, and against a second run of work
		// that is not idempotent.
		run("c", "h1")
		stopped("c", 1, "ref")
		Expect(f.get("c").Attempts[0].State).To(Equal(model.AttemptFailed))
		Expect(f.get("c").Checkpoint).To(BeEmpty())
		Expect(f.state.AwaitingRetry()).To(HaveLen(1))
		f.claim("o", "order", "shop", 0)
		Expect(f.dispatch("o", 1, "h2")).To(BeTrue())
		stopped("o", 1, "ref")
		Expect(f.get("o").Outcome).To(Equal(model.OutcomeDone))
		Expect(f.get("o").Succeeded).To(BeFalse())
	})

	It("gives no reference to a target that does not announce the capability", func() {
		// Guards against a start request that such a target cannot decode.
		run("c", "h1")
		move("c", "h1", "ref")
		setHost("h2", model.HostReady)
		Expect(f.dispatch("c", 2, "h2")).To(BeTrue())
		Expect(assigned().Checkpoint).To(BeEmpty())
	})

	It("costs only the work since the start when a checkpoint is lost", func() {
		// Guards against a lost or oversized reference that ends the request or
		// counts as one of its attempts.
		run("c", "h1")
		move("c", "h1", string(make([]byte, model.MaxCheckpointBytes+1)))
		Expect(f.get("c").Checkpoint).To(BeEmpty())
		run("c", "h2")
		move("c", "h2", "ref")
		for i := range 5 {
			run("c", "h1")
			Expect(assigned().Checkpoint).To(Equal([]byte("ref")), "round %d", i)
			f.report("c", ledger.NextAttempt(f.get("c"))-1, model.AttemptFailed, "")
			Expect(f.get("c").State).To(Equal(model.RequestQueued), "round %d", i)
			run("c", "h1")
			Expect(assigned().Checkpoint).To(BeEmpty(), "round %d", i)
			move("c", "h1", "ref")
		}
		run("c", "h1")
		f.report("c", ledger.NextAttempt(f.get("c"))-1, model.AttemptSucceeded, "answer")
		Expect(f.get("c").Succeeded).To(BeTrue())
	})

	DescribeTable("costs only the work since the start when the target ends the task and has no checkpoint",
		// Guards against a checkpoint order that ends the request because its
		// target lost the task and the checkpoint; the kind allows one attempt.
		func(state model.AttemptState) {
			f.cat.JobKinds["convert"].MaxAttempts = 1
			f.claim("d", "convert", "shop", 0)
			run("d", "h1")
			setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
			Expect(order("d", 1)).To(BeTrue())
			f.report("d", 1, state, "")
			Expect(f.get("d").State).To(Equal(model.RequestQueued))
			run("d", "h2")
			f.report("d", 2, model.AttemptSucceeded, "answer")
			Expect(f.get("d").Succeeded).To(BeTrue())
			Expect(f.get("d").Answer).To(Equal([]byte("answer")))
		},
		Entry("it reports a failure", model.AttemptFailed),
		Entry("it no longer knows the task", model.AttemptUnknown),
	)

	It("drops a checkpoint after repeatedly refused starts", func() {
		// Guards against a request that no target takes because of its reference.
		run("c", "h1")
		move("c", "h1", "ref")
		for range 3 {
			run("c", "h2")
			Expect(assigned().Checkpoint).NotTo(BeEmpty())
			n := ledger.NextAttempt(f.get("c")) - 1
			f.report("c", n, model.AttemptNotBegun, "")
			f.apply(ledger.Command{Retry: &ledger.Retry{Key: "c", Attempt: n}})
		}
		run("c", "h2")
		Expect(assigned().Checkpoint).To(BeEmpty())
	})

	It("does not end a moved request at its deadline or by its number of attempts", func() {
		// Guards against a move that ends a run which would have finished without
		// it.
		for i := range 40 {
			run("c", "h1")
			move("c", "h1", fmt.Sprint(i))
		}
		Expect(len(f.get("c").Attempts)).To(BeNumerically("<=", 16))
		f.advance(time.Hour)
		f.apply(ledger.Command{Expire: &ledger.Expire{}})
		Expect(f.get("c").State).To(Equal(model.RequestQueued))
		run("c", "h2")
		Expect(assigned().Checkpoint).To(Equal([]byte("39")))
	})

	It("never reports a moved request as not run", func() {
		// Guards against a caller that cancels a moved request and is told that
		// nothing ran.
		for range 20 {
			run("c", "h1")
			move("c", "h1", "ref")
		}
		for range 20 {
			run("c", "h1")
			n := ledger.NextAttempt(f.get("c")) - 1
			f.report("c", n, model.AttemptNotBegun, "")
			f.apply(ledger.Command{Retry: &ledger.Retry{Key: "c", Attempt: n}})
		}
		f.cancel("c")
		Expect(f.get("c").Outcome).To(Equal(model.OutcomeDone))
		Expect(f.get("c").Succeeded).To(BeFalse())
	})

	It("ignores the late checkpoint of an unknown attempt while a later one runs", func() {
		// Guards against a late report that puts a request into the queue while
		// its next attempt runs.
		run("c", "h1")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		Expect(order("c", 1)).To(BeTrue())
		f.report("c", 1, model.AttemptUnknown, "")
		f.apply(ledger.Command{Retry: &ledger.Retry{Key: "c", Attempt: 1}})
		run("c", "h2")
		stopped("c", 1, "late")
		Expect(f.get("c").State).To(Equal(model.RequestDispatched))
		Expect(f.get("c").Checkpoint).To(BeEmpty())
	})

	It("still requires a retry for a later attempt when an earlier one reports late", func() {
		// Guards against a failed attempt that is repeated outside of the retry
		// limits.
		f.cat.JobKinds["convert"].MaxAttempts = 3
		f.claim("d", "convert", "shop", 0)
		run("d", "h1")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		Expect(order("d", 1)).To(BeTrue())
		f.report("d", 1, model.AttemptUnknown, "")
		f.apply(ledger.Command{Retry: &ledger.Retry{Key: "d", Attempt: 1}})
		run("d", "h2")
		f.report("d", 2, model.AttemptFailed, "")
		stopped("d", 1, "late")
		Expect(f.get("d").State).To(Equal(model.RequestDispatched))
		Expect(f.state.AwaitingRetry()).To(HaveLen(1))
	})

	It("records a repeated order once", func() {
		// Guards against events that grow with every decision of the wave policy.
		run("c", "h1")
		setHost("h1", model.HostDraining, model.CapabilityCheckpoint)
		order("c", 1)
		before := len(f.events)
		order("c", 1)
		Expect(f.events).To(HaveLen(before))
	})
})
