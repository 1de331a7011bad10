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

// conversions is a world in which a wave has to pass long conversions. It
// plays the owner and the targets.
type conversions struct {
	*world
	// refuse makes the targets refuse checkpoints, loseAll makes every start
	// from a checkpoint fail.
	refuse, loseAll bool
	rebooted        int
	started         []model.Assignment
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

func newConversions(weights wave.Settings, kind model.Record, caps ...model.Capability) *conversions {
	c := &conversions{world: newWorld(3, append(sampleRecords(), kind)...)}
	c.policy.Waves = weights
	c.policy.Retries = func() retry.Policy { return noRetries{} }
	c.restart()
	for _, h := range c.hosts {
		h.Capabilities = caps
	}
	c.pass(time.Second)
	for i := range 24 { // every host has patient work
		c.submit(fmt.Sprintf("c%d", i), "convert")
	}
	c.live(time.Second)
	return c
}

// setWave gives the records a wave in the given state.
func (c *conversions) setWave(state model.WaveState) {
	revision := c.records.current.Revision + 1
	items := slices.DeleteFunc(slices.Clone(c.records.current.Items), func(r model.Record) bool { return r.Kind == model.KindWave })
	c.records.current = &model.Records{
		Revision: revision, FloorRevision: 1, Items: append(items, waveRecord(state)), Floors: c.records.current.Floors,
	}
}

// live lets time pass while the owner and the targets do what they are told.
func (c *conversions) live(d time.Duration) {
	GinkgoHelper()
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.tick()
		for _, a := range c.pulled {
			c.obey(a)
		}
		for _, order := range c.platform.orders[c.rebooted:] {
			c.rebooted++
			host := strings.Split(order, "/")[1]
			Expect(c.running[host]).To(BeEmpty(), "a reboot cuts running work")
			c.hosts[host].Incarnation = fmt.Sprint(c.rebooted + 1)
		}
	}
}

func (c *conversions) obey(a model.Assignment) {
	GinkgoHelper()
	ref := peer.AttemptRef{Key: a.Key, Attempt: a.Attempt}
	end := func(r model.AttemptReport) {
		c.report(r)
		c.known = slices.DeleteFunc(c.known, func(k peer.AttemptRef) bool { return k == ref })
		c.running[a.Host] = slices.DeleteFunc(c.running[a.Host], func(k peer.AttemptRef) bool { return k == ref })
	}
	switch {
	case !slices.Contains(c.known, ref):
		c.known = append(c.known, ref)
		c.running[a.Host] = append(c.running[a.Host], ref)
		c.started = append(c.started, a)
		if c.loseAll && len(a.Checkpoint) > 0 {
			end(model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptFailed, Reason: "lost"})
		}
	case a.CheckpointRequested && !c.refuse:
		end(model.AttemptReport{
			Key: a.Key, Attempt: a.Attempt, State: model.AttemptCheckpointed, Checkpoint: []byte(fmt.Sprintf("%s/%d", a.Key, a.Attempt)),
		})
	}
}

func (c *conversions) progress() (p model.WaveProgress) {
	c.machine.View(func(v datacentre.View) { p, _ = v.Hosts.Wave("w") })
	return p
}

// ordered counts the attempts that were ever ordered to end at a checkpoint.
func (c *conversions) ordered() (n int) {
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
	It("let a wave pass long work, which goes on from where it was", func() {
		// Guards against a wave that waits an hour for each host, against work
		// that begins anew, and against moves that spend retries or attempts:
		// the kind allows one attempt and no retry is granted.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.setWave(model.WaveRunning)
		c.live(2 * time.Minute)
		Expect(c.progress().Done).To(HaveLen(3))
		Expect(c.ordered()).To(BeNumerically(">=", 24))
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
		// Guards against a lost checkpoint that ends the request, spends its
		// attempts, sets a good host aside or brands the job kind.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.loseAll = true
		c.setWave(model.WaveRunning)
		c.live(3 * time.Minute)
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
		// Guards against work that is cut because its target does not obey, and
		// against a log that grows with every decision.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuse = true
		c.setWave(model.WaveRunning)
		c.live(10 * time.Second)
		Expect(c.ordered()).To(Equal(8))
		before := c.group.index
		c.live(time.Minute)
		Expect(c.group.index).To(Equal(before))
		Expect(c.platform.orders).To(BeEmpty())
		for i := range 24 {
			Expect(c.request(fmt.Sprintf("c%d", i)).Attempts).To(HaveLen(1))
		}
	})

	DescribeTable("are ordered only where weights, job kind and target allow it",
		// Guards against moves that the weights do not pay for, and against a
		// demand that the job kind or the target does not allow.
		func(weights wave.Settings, checkpointable bool, caps ...model.Capability) {
			c := newConversions(weights, convertKind(checkpointable), caps...)
			c.setWave(model.WaveRunning)
			c.live(20 * time.Second)
			Expect(c.progress().Current).To(HaveLen(1))
			Expect(c.ordered()).To(BeZero())
			before := c.group.index
			c.live(5 * time.Second)
			Expect(c.group.index).To(Equal(before), "no order is proposed only to be refused")
		},
		Entry("weights that favour few moves", wave.FavourFewMoves(), true, model.CapabilityCheckpoint),
		Entry("a job kind that is not checkpointable", wave.FavourFastRollout(), false, model.CapabilityCheckpoint),
		Entry("a target without the capability", wave.FavourFastRollout(), true, model.CapabilityRevoke),
	)

	It("are not ordered on a host whose other patient work has to be waited for", func() {
		// Guards against moves that do not make a host free any sooner.
		fixed := record(model.KindJobKind, "fixed", model.JobKind{
			Pool: "work", Priority: model.Patient, Idempotent: true, MaxAttempts: 1, CPUMillis: 1000, MemoryMB: 512, RunTimeMS: 3_600_000,
		})
		c := &conversions{world: newWorld(3, append(sampleRecords(), convertKind(true), fixed)...)}
		c.policy.Waves = wave.FavourFastRollout()
		c.restart()
		for _, h := range c.hosts {
			h.Capabilities = []model.Capability{model.CapabilityCheckpoint}
		}
		c.pass(time.Second)
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
		c.live(10 * time.Second)
		Expect(c.progress().Current).To(HaveLen(1))
		Expect(c.ordered()).To(BeZero())
	})

	It("reach the owner also from a new leader, and no longer once the host is released", func() {
		// Guards against an order that is lost with the leader, and against work
		// that is moved although its wave was paused.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuse = true
		c.setWave(model.WaveRunning)
		c.live(5 * time.Second)
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
		c.live(time.Second)
		Expect(wanted()).To(Equal(8))
		c.setWave(model.WavePaused)
		c.live(3 * time.Second)
		Expect(wanted()).To(BeZero())
		for i := range 24 { // the next update of these attempts must not carry the order
			_, err := c.controller.CancelRequest(GinkgoT().Context(), &peer.CancelRequestRequest{Key: fmt.Sprintf("c%d", i)})
			Expect(err).NotTo(HaveOccurred())
		}
		c.live(500 * time.Millisecond)
		Expect(c.pulled).To(HaveLen(24))
		Expect(wanted()).To(BeZero())
	})

	It("reach the resolver when the owner is gone", func() {
		// Guards against a wave that waits for the work of a lost owner.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.refuse = true
		c.setWave(model.WaveRunning)
		c.live(5 * time.Second)
		c.ownerDead = true
		c.pulled = nil
		var mu sync.Mutex
		asked := map[bool]int{}
		c.resolver.answer = func(a ledger.OpenAttempt, _ bool) (model.AttemptReport, bool) {
			mu.Lock()
			defer mu.Unlock()
			asked[a.CheckpointOrdered]++
			return model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptCheckpointed, Checkpoint: []byte("r")}, a.CheckpointOrdered
		}
		c.pass(6 * time.Second)
		Expect(asked[true]).To(Equal(8))
		Expect(asked[false]).To(BeNumerically(">=", 16))
	})

	It("show no reference to callers", func() {
		// Guards against a reference that leaks from the targets' side.
		c := newConversions(wave.FavourFastRollout(), convertKind(true), model.CapabilityCheckpoint)
		c.setWave(model.WaveRunning)
		c.live(time.Minute)
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
		// Guards against a policy that plans with an assumed time of five minutes
		// for ever, and against one that counts the wait for running work.
		c := &conversions{world: newWorld(3, sampleRecords()...)}
		c.setWave(model.WaveRunning)
		c.tick()
		Expect(c.controller.StepMS("w")).To(BeZero())
		c.live(30 * time.Second)
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
		c.live(time.Minute)
		Expect(c.controller.StepMS("w2")).To(BeNumerically("~", 9000, 1000))
		Expect(c.controller.StepMS("w")).To(BeNumerically("~", 2000, 1000))
	})
})
