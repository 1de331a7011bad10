package control_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

var _ = Describe("Controller", func() {
	It("grants every host one full lease at the start of a term", func() {
		// Guards against a new leader that marks all hosts lost because it has
		// not heard from them yet.
		env := newHarness(4, sampleRecords()...)
		env.clock.Advance(time.Hour)
		for name := range env.hosts {
			env.silent[name] = true
		}
		env.group.term = 2
		env.runFor(4500 * time.Millisecond)
		Expect(env.host("host-1").State).To(Equal(model.HostReady))
		env.runFor(2 * time.Second)
		Expect(env.host("host-1").State).To(Equal(model.HostLost))
	})

	It("reads the state machine for a usage report without the lock of the learned sizes", func() {
		// Guards against a deadlock: plans take that lock within a view of the
		// state machine, and a waiting writer blocks further readers.
		env := newHarness(1, sampleRecords()...)
		taken := make(chan struct{})
		go func() {
			defer close(taken)
			env.controller.RecordUsage([]model.Usage{{Request: "r", Attempt: 1}}, func(string) string {
				env.controller.Estimate("render")
				return "render"
			})
		}()
		Eventually(taken).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	It("retries idempotent work of a lost host elsewhere and leaves other work unknown", func() {
		// Guards against lost work, and against a second run of work that may
		// have run.
		env := newHarness(3, sampleRecords()...)
		env.submit("r", "render")
		env.submit("o", "order")
		for _, key := range []string{"r", "o"} {
			env.silent[env.request(key).Attempts[0].Host] = true
		}
		first := env.request("r").Attempts[0].Host
		env.runFor(8 * time.Second)
		Expect(env.request("o").Outcome).To(Equal(model.OutcomeUnknown))
		Expect(env.request("o").Attempts).To(HaveLen(1))
		Expect(env.request("r").State).To(Equal(model.RequestDispatched))
		Expect(env.request("r").Attempts).To(HaveLen(2))
		Expect(env.request("r").Attempts[1].Host).NotTo(Equal(first))
	})

	It("reads the result of an attempt whose owner is gone", func() {
		// Guards against a result that is lost with the entry host that waited
		// for it, and against reading it while the owner is still alive.
		env := newHarness(3, sampleRecords()...)
		env.submit("o", "order")
		env.resolver.answer = func(a ledger.OpenAttempt, _ bool) (model.AttemptReport, bool) {
			return model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptSucceeded, Answer: []byte("done")}, true
		}
		env.runFor(3 * time.Second)
		Expect(env.request("o").State).To(Equal(model.RequestDispatched))
		env.ownerStopped = true
		env.runFor(6 * time.Second)
		Expect(env.request("o").Outcome).To(Equal(model.OutcomeDone))
		Expect(string(env.request("o").Answer)).To(Equal("done"))
	})

	It("takes an attempt from a suspected owner only if its target can revoke it", func() {
		// Guards against urgent work that waits until the lease of a killed entry
		// host expires, and against an outcome that becomes unknown although the
		// owner may be alive.
		env := newHarness(0, sampleRecords()...)
		for name, capabilities := range map[string][]model.Capability{"host-1": {model.CapabilityRevoke}, "host-2": nil} {
			env.hosts[name] = &model.HostInfo{
				Name: name, DataCentre: "dc-a", Rack: name, Address: "127.0.0.1:1", Incarnation: "1", CPUMillis: 32_000,
				MemoryMB: 64_000, Slots: 8, Connections: 64, Pool: "work", Capabilities: capabilities,
			}
		}
		env.tick()
		for i := range 4 {
			env.submit(fmt.Sprintf("r-%d", i), "render")
		}
		var taken []string
		env.resolver.answer = func(a ledger.OpenAttempt, _ bool) (model.AttemptReport, bool) {
			taken = append(taken, a.Host)
			return model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptNotBegun}, true
		}
		env.runFor(2 * time.Second)
		Expect(taken).To(BeEmpty(), "the owner pulls")
		env.ownerStopped = true
		env.runFor(1500 * time.Millisecond)
		Expect(taken).NotTo(BeEmpty())
		Expect(taken).To(HaveEach("host-1"))
	})

	It("tells the owner how long a stop waits and whether the target can revoke", func() {
		// Guards against a graceful stop that does not wait for running attempts,
		// and against outcomes that stay unknown although the target could prove them.
		env := newHarness(0, sampleRecords()...)
		env.hosts["host-1"] = &model.HostInfo{
			Name: "host-1", DataCentre: "dc-a", Rack: "r", Address: "127.0.0.1:1", Incarnation: "1", CPUMillis: 32_000,
			MemoryMB: 64_000, Slots: 8, Connections: 64, Pool: "work", Capabilities: []model.Capability{model.CapabilityRevoke},
		}
		env.tick()
		env.submit("o", "order")
		list := env.pull()
		Expect(list).To(HaveLen(1))
		Expect(list[0].CanRevoke).To(BeTrue())
		Expect(list[0].StopLimitMS).To(Equal(7000))
		Expect(list[0].HostDraining).To(BeFalse())
	})

	It("releases the slot of an unknown attempt that its target does not run", func() {
		// Guards against a host that can never drain because of one unknown
		// attempt; the outcome itself stays unknown.
		env := newHarness(3, sampleRecords()...)
		env.submit("o", "order")
		host := env.request("o").Attempts[0].Host
		absent := model.AttemptReport{Key: "o", Attempt: 1, State: model.AttemptUnknown, Reason: "not known to the target"}
		env.resolver.answer = func(ledger.OpenAttempt, bool) (model.AttemptReport, bool) { return absent, true }
		env.report(absent)
		env.running[host] = []peer.AttemptRef{{Key: "o", Attempt: 1}}
		env.runFor(40 * time.Second)
		Expect(env.heldSlots(host)).To(Equal(1), "the target lists the attempt as running")
		env.running[host] = nil
		env.runFor(2 * time.Second)
		Expect(env.heldSlots(host)).To(BeZero())
		Expect(env.request("o").Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("sets a host aside that fails everything, probes it and returns it to service", func() {
		// Guards against a host that keeps failing work, and against one that
		// never returns after its repair.
		env := newHarness(4, sampleRecords()...)
		broken := "host-2"
		for range 12 {
			env.runRenders(8, broken)
		}
		Expect(env.host(broken).State).To(Equal(model.HostSetAside), env.host(broken).Reason)
		broken = ""
		for range 200 {
			env.runRenders(1, broken)
		}
		Expect(env.host("host-2").State).To(Equal(model.HostReady), env.host("host-2").Reason)
	})

	It("keeps failing hosts in service rather than break the floor", func() {
		// Guards against a pool that falls below its floor by set-asides.
		env := newHarness(4, sampleRecords()...)
		env.records.current = &model.Records{
			Revision: 1, FloorRevision: 2, Items: env.records.current.Items, Floors: map[string]map[string]int{"work": {"dc-a": 4}},
		}
		env.tick()
		for range 12 {
			env.runRenders(8, "host-2")
		}
		Expect(env.host("host-2").State).To(Equal(model.HostReady))
	})

	It("queues a parked request once a host fits it", func() {
		// Guards against a request that stays parked for ever.
		env := newHarness(3, append(sampleRecords(), record(model.KindJobKind, "large", model.JobKind{
			Pool: "work", Priority: model.Normal, Idempotent: true, MaxAttempts: 1, CPUMillis: 48_000, MemoryMB: 512, RunTimeMS: 100,
		}))...)
		env.submit("l", "large")
		Expect(env.request("l").State).To(Equal(model.RequestParked))
		Expect(env.request("l").Reason).NotTo(BeEmpty())
		env.hosts["host-3"].CPUMillis = 64_000
		env.runFor(2 * time.Second)
		Expect(env.request("l").State).To(Equal(model.RequestDispatched))
		Expect(env.request("l").Attempts[0].Host).To(Equal("host-3"))
	})

	It("commits the limits of its settings through the log", func() {
		// Guards against replicas with different settings that compute different
		// states, and against a ledger whose payloads outgrow the memory.
		env := newHarness(3, sampleRecords()...)
		env.limits.MaxStoredBytes = 10
		env.restart()
		env.runFor(time.Second)
		_, err := env.controller.Submit(context.Background(), &peer.SubmitRequest{Key: "x", Kind: "render", Payload: make([]byte, 11)})
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeLimitExceeded))
		_, err = env.controller.Submit(context.Background(), &peer.SubmitRequest{Key: "y", Kind: "render", Payload: make([]byte, 10)})
		Expect(err).NotTo(HaveOccurred())
	})

	It("repeats a reboot order under the same id until the host returns", func() {
		// Guards against an order lost on the way to the platform, and against a
		// second reboot.
		env := newHarness(3, append(sampleRecords(), record(model.KindWave, "w1", model.Wave{
			Pool: "work", State: model.WaveRunning, FailureThreshold: 2, ReturnLimitMS: 60_000, VerifyMS: 1000,
		}))...)
		env.runFor(20 * time.Second)
		Expect(len(env.platform.orders)).To(BeNumerically(">=", 3))
		for _, order := range env.platform.orders {
			Expect(order).To(Equal(env.platform.orders[0]))
		}
	})

	It("does not decide without leadership", func() {
		// Guards against two controllers that make decisions at the same time.
		env := newHarness(3, sampleRecords()...)
		env.group.role = "follower"
		_, err := env.controller.Submit(context.Background(), &peer.SubmitRequest{Key: "x", Kind: "render"})
		Expect(err).To(MatchError(ContainSubstring("not the leader")))
	})
})

// runRenders submits n idempotent requests at once and ends them all.
func (env *harness) runRenders(n int, broken string) {
	GinkgoHelper()
	var keys []string
	for i := range n {
		key := fmt.Sprintf("r-%d-%d", env.clock.Now().UnixMilli(), i)
		env.submit(key, "render")
		keys = append(keys, key)
	}
	for _, key := range keys {
		env.finish(key, broken)
	}
	env.tick()
}

// finish ends the current attempt of a request: in failure on the broken host.
func (env *harness) finish(key, broken string) {
	GinkgoHelper()
	for range 4 {
		r := env.request(key)
		if r.State != model.RequestDispatched {
			return
		}
		last := r.Attempts[len(r.Attempts)-1]
		report := model.AttemptReport{Key: key, Attempt: last.Number, State: model.AttemptSucceeded, RunMS: 100}
		if last.Host == broken {
			report.State, report.Reason = model.AttemptFailed, "exit status 1"
		}
		env.report(report)
		env.tick()
	}
}
