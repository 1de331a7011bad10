package control_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/retry"
	"agatehaven.dev/agatehaven/internal/wave"
)

// noRetries refuses every retry.
type noRetries struct{}

func (noRetries) Decide(retry.Attempt) retry.Decision { return retry.Decision{Reason: "no tokens"} }
func (noRetries) Succeeded(string)                    {}

// conversionHarness is a harness whose hosts run long conversions that a wave
// has to wait for or move. It acts as the owner and the targets.
type conversionHarness struct {
	*harness
	// refuseCheckpoints makes the targets refuse checkpoints; failContinuations
	// makes every attempt fail that starts from a checkpoint.
	refuseCheckpoints, failContinuations bool
	rebootsDone                          int
	started                              []model.Assignment
}

func convertKind(checkpointable bool) model.Record {
	return record(model.KindJobKind, "convert", model.JobKind{
		Pool: "work", Priority: model.Patient, Idempotent: true, MaxAttempts: 1, CPUMillis: 1000, MemoryMB: 512,
		RunTimeMS: 3_600_000, Checkpointable: checkpointable,
	})
}

func waveRecord(state model.WaveState) model.Record {
	return record(model.KindWave, "w", model.Wave{
		Pool: "work", State: state, FailureThreshold: 2, ReturnLimitMS: 60_000, VerifyMS: 1000, MaxConcurrent: 1,
	})
}

func newConversionHarness(weights wave.Settings, kind model.Record, caps ...model.Capability) *conversionHarness {
	c := &conversionHarness{harness: newHarness(3, append(sampleRecords(), kind)...)}
	c.policy.Waves = weights
	c.policy.Retries = func() retry.Policy { return noRetries{} }
	c.restart()
	for _, h := range c.hosts {
		h.Capabilities = caps
	}
	c.runFor(time.Second)
	for i := range 24 { // every host has patient work
		c.submit(fmt.Sprintf("c%d", i), "convert")
	}
	c.simulate(time.Second)
	return c
}

// setWave commits records with a wave in the given state.
func (c *conversionHarness) setWave(state model.WaveState) {
	revision := c.records.current.Revision + 1
	items := slices.DeleteFunc(slices.Clone(c.records.current.Items), func(r model.Record) bool { return r.Kind == model.KindWave })
	c.records.current = &model.Records{
		Revision: revision, FloorRevision: 1, Items: append(items, waveRecord(state)), Floors: c.records.current.Floors,
	}
}

// simulate lets time pass while the owner and the targets carry out the
// assignments and the hosts reboot when ordered.
func (c *conversionHarness) simulate(d time.Duration) {
	GinkgoHelper()
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.tick()
		for _, a := range c.pulled {
			c.execute(a)
		}
		for _, order := range c.platform.orders[c.rebootsDone:] {
			c.rebootsDone++
			host := strings.Split(order, "/")[1]
			Expect(c.running[host]).To(BeEmpty(), "a reboot cuts running work")
			c.hosts[host].Incarnation = fmt.Sprint(c.rebootsDone + 1)
		}
	}
}

func (c *conversionHarness) execute(a model.Assignment) {
	GinkgoHelper()
	ref := peer.AttemptRef{Key: a.Key, Attempt: a.Attempt}
	end := func(r model.AttemptReport) {
		c.report(r)
		c.knownAttempts = slices.DeleteFunc(c.knownAttempts, func(k peer.AttemptRef) bool { return k == ref })
		c.running[a.Host] = slices.DeleteFunc(c.running[a.Host], func(k peer.AttemptRef) bool { return k == ref })
	}
	switch {
	case !slices.Contains(c.knownAttempts, ref):
		c.knownAttempts = append(c.knownAttempts, ref)
		c.running[a.Host] = append(c.running[a.Host], ref)
		c.started = append(c.started, a)
		if c.failContinuations && len(a.Checkpoint) > 0 {
			end(model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptFailed, Reason: "lost"})
		}
	case a.CheckpointRequested && !c.refuseCheckpoints:
		end(model.AttemptReport{
			Key: a.Key, Attempt: a.Attempt, State: model.AttemptCheckpointed, Checkpoint: []byte(fmt.Sprintf("%s/%d", a.Key, a.Attempt)),
		})
	}
}

func (c *conversionHarness) progress() (p model.WaveProgress) {
	c.stateMachine.View(func(v datacentre.View) { p, _ = v.Hosts.Wave("w") })
	return p
}

// countOrdered counts the attempts that were ever ordered to end at a
// checkpoint.
func (c *conversionHarness) countOrdered() (n int) {
	for i := range 24 {
		for _, a := range c.request(fmt.Sprintf("c%d", i)).Attempts {
			if a.CheckpointOrdered {
				n++
			}
		}
	}
	return n
}

var _ = Describe("Checkpoints", func() {
	It("let a wave go on without waiting for long work, which continues where it was", func() {
		// Guards against a wave that waits an hour for each host, against work
		// that starts from the beginning, and against moves that count as
		// retries or attempts: the kind allows one attempt and no retry.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.setWave(model.WaveRunning)
		c.simulate(2 * time.Minute)
		Expect(c.progress().Done).To(HaveLen(3))
		Expect(c.countOrdered()).To(BeNumerically(">=", 24))
		continued := 0
		for _, a := range c.started {
			if a.Attempt > 1 {
				continued++
				Expect(string(a.Checkpoint)).To(Equal(fmt.Sprintf("%s/%d", a.Key, a.Attempt-1)))
			}
		}
		Expect(continued).To(BeNumerically(">=", 24))
		for i := range 24 {
			r := c.request(fmt.Sprintf("c%d", i))
			Expect(r.State).To(Equal(model.RequestDispatched), r.Reason)
			c.report(model.AttemptReport{Key: r.Key, Attempt: r.Attempts[len(r.Attempts)-1].Number, State: model.AttemptSucceeded})
			Expect(c.request(r.Key).Succeeded).To(BeTrue())
		}
	})

	It("cost only the work since the start when they are lost", func() {
		// Guards against a lost checkpoint that ends the request, counts as one
		// of its attempts, sets a healthy host aside or marks the job kind faulty.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.failContinuations = true
		c.setWave(model.WaveRunning)
		c.simulate(3 * time.Minute)
		Expect(c.progress().Done).To(HaveLen(3))
		for i := range 24 {
			Expect(c.request(fmt.Sprintf("c%d", i)).State).To(Equal(model.RequestDispatched))
		}
		for name := range c.hosts {
			Expect(c.host(name).State).To(Equal(model.HostReady))
		}
		Expect(c.controller.Faulty("convert")).To(BeFalse())
	})

	It("that are refused leave the work and the wave waiting", func() {
		// Guards against work that is interrupted because its target refuses the
		// checkpoint, and against a log that grows with every decision.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuseCheckpoints = true
		c.setWave(model.WaveRunning)
		c.simulate(10 * time.Second)
		Expect(c.countOrdered()).To(Equal(8))
		before := c.group.index
		c.simulate(time.Minute)
		Expect(c.group.index).To(Equal(before))
		Expect(c.platform.orders).To(BeEmpty())
		for i := range 24 {
			Expect(c.request(fmt.Sprintf("c%d", i)).Attempts).To(HaveLen(1))
		}
	})

	DescribeTable("are ordered only where weights, job kind and target allow it",
		// Guards against moves that the weights do not justify, and against orders
		// that the job kind or the target does not allow.
		func(weights wave.Settings, checkpointable bool, caps ...model.Capability) {
			c := newConversionHarness(weights, convertKind(checkpointable), caps...)
			c.setWave(model.WaveRunning)
			c.simulate(20 * time.Second)
			Expect(c.progress().Current).To(HaveLen(1))
			Expect(c.countOrdered()).To(BeZero())
			before := c.group.index
			c.simulate(5 * time.Second)
			Expect(c.group.index).To(Equal(before), "no order is proposed only to be refused")
		},
		Entry("weights that favour few moves", wave.FavourFewMoves(), true, model.CapabilityCheckpoint),
		Entry("a job kind that is not checkpointable", wave.FavourFastRollout(), false, model.CapabilityCheckpoint),
		Entry("a target without the capability", wave.FavourFastRollout(), true, model.CapabilityRevoke),
	)

	It("are not ordered on a host whose other patient work has to be waited for", func() {
		// Guards against moves that do not drain the host any sooner.
		fixed := record(model.KindJobKind, "fixed", model.JobKind{
			Pool: "work", Priority: model.Patient, Idempotent: true, MaxAttempts: 1, CPUMillis: 1000, MemoryMB: 512, RunTimeMS: 3_600_000,
		})
		c := &conversionHarness{harness: newHarness(3, append(sampleRecords(), convertKind(true), fixed)...)}
		c.policy.Waves = wave.FavourFastRollout()
		c.restart()
		for _, h := range c.hosts {
			h.Capabilities = []model.Capability{model.CapabilityCheckpoint}
		}
		c.runFor(time.Second)
		waiting := map[string]bool{}
		for i := range 24 {
			kind := []string{"convert", "fixed"}[i%2]
			c.submit(fmt.Sprintf("c%d", i), kind)
			if kind == "fixed" {
				waiting[c.request(fmt.Sprintf("c%d", i)).Attempts[0].Host] = true
			}
		}
		Expect(waiting).To(HaveLen(3))
		c.setWave(model.WaveRunning)
		c.simulate(10 * time.Second)
		Expect(c.progress().Current).To(HaveLen(1))
		Expect(c.countOrdered()).To(BeZero())
	})

	It("reach the owner also from a new leader, and no longer once the host is released", func() {
		// Guards against an order that is lost with the leader, and against work
		// that is moved although its wave was paused.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuseCheckpoints = true
		c.setWave(model.WaveRunning)
		c.simulate(5 * time.Second)
		wanted := func() (n int) {
			for _, a := range c.pulled {
				if a.CheckpointRequested {
					n++
				}
			}
			return n
		}
		Expect(wanted()).To(Equal(8))
		c.group.term++
		c.restart()
		c.simulate(time.Second)
		Expect(wanted()).To(Equal(8))
		c.setWave(model.WavePaused)
		c.simulate(3 * time.Second)
		Expect(wanted()).To(BeZero())
		for i := range 24 { // the next update of these attempts must not carry the order
			_, err := c.controller.CancelRequest(GinkgoT().Context(), &peer.CancelRequestRequest{Key: fmt.Sprintf("c%d", i)})
			Expect(err).NotTo(HaveOccurred())
		}
		c.simulate(500 * time.Millisecond)
		Expect(c.pulled).To(HaveLen(24))
		Expect(wanted()).To(BeZero())
	})

	It("reach the resolver when the owner is gone", func() {
		// Guards against a wave that waits for the work of a lost owner.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuseCheckpoints = true
		c.setWave(model.WaveRunning)
		c.simulate(5 * time.Second)
		c.ownerStopped = true
		c.pulled = nil
		var mu sync.Mutex
		asked := map[bool]int{}
		c.resolver.answer = func(a ledger.OpenAttempt, _ bool) (model.AttemptReport, bool) {
			mu.Lock()
			defer mu.Unlock()
			asked[a.CheckpointOrdered]++
			return model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptCheckpointed, Checkpoint: []byte("r")}, a.CheckpointOrdered
		}
		c.runFor(6 * time.Second)
		Expect(asked[true]).To(Equal(8))
		Expect(asked[false]).To(BeNumerically(">=", 16))
	})

	It("show no reference to callers", func() {
		// Guards against a checkpoint reference, which is internal to the
		// targets, that appears in a caller's answer.
		c := newConversionHarness(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.setWave(model.WaveRunning)
		c.simulate(time.Minute)
		held := 0
		for i := range 24 {
			key := fmt.Sprintf("c%d", i)
			if len(c.request(key).Checkpoint) > 0 {
				held++
			}
			response, err := c.controller.Await(GinkgoT().Context(), &peer.AwaitRequest{Key: key})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Request.Checkpoint).To(BeEmpty())
		}
		Expect(held).To(BeNumerically(">", 0))
	})

	It("steps of a wave are measured from the reboot order to the end of the verification", func() {
		// Guards against a policy that never replaces the assumed step time of
		// five minutes, and against a measured time that includes the wait for
		// running work.
		c := &conversionHarness{harness: newHarness(3, sampleRecords()...)}
		c.setWave(model.WaveRunning)
		c.tick()
		Expect(c.controller.StepMS("w")).To(BeZero())
		c.simulate(30 * time.Second)
		Expect(c.progress().Done).To(HaveLen(3))
		Expect(c.controller.StepMS("w")).To(BeNumerically("~", 2000, 1000))
		p := c.progress()
		Expect(p.MeanStepMS()).To(Equal(c.controller.StepMS("w")))

		longer := record(model.KindWave, "w2", model.Wave{
			Pool: "work", State: model.WaveRunning, FailureThreshold: 2, ReturnLimitMS: 60_000, VerifyMS: 8000, MaxConcurrent: 1,
		})
		c.records.current = &model.Records{
			Revision: 9, FloorRevision: 1, Items: append(slices.Clone(c.records.current.Items), longer), Floors: c.records.current.Floors,
		}
		c.tick()
		Expect(c.controller.StepMS("w2")).To(Equal(c.controller.StepMS("w")), "the pool's last wave serves until a step has ended")
		c.simulate(time.Minute)
		Expect(c.controller.StepMS("w2")).To(BeNumerically("~", 9000, 1000))
		Expect(c.controller.StepMS("w")).To(BeNumerically("~", 2000, 1000))
	})
})
