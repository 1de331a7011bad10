package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/model"
)

var _ = Describe("Waves loop", func() {
	It("repeats a reboot order of a host in maintenance after the wave's record is gone", func() {
		// Guards against a check for idle waves that overlooks hosts in
		// maintenance for a deleted wave: they would stay out of service.
		wave := record(model.KindWave, "w", model.Wave{Pool: "work", State: model.WaveRunning, FailureThreshold: 2, ReturnLimitMS: 60_000, MaxConcurrent: 1, VerifyMS: 1000})
		env := newHarness(4, append(sampleRecords(), wave)...)
		env.runFor(3 * time.Second)
		Expect(env.platform.orders).NotTo(BeEmpty())
		order := env.platform.orders[0]
		env.records.current = &model.Records{Revision: 2, FloorRevision: 1, Items: sampleRecords(), Floors: env.records.current.Floors}
		env.tick()
		env.platform.orders = nil
		env.runFor(7 * time.Second)
		Expect(env.platform.orders).To(ContainElement(order))
	})

	It("verifies a host for the whole time although the time of day jumps", func() {
		// Guards against a host that counts as available early: the time since its first
		// announcement was the difference of two wall-clock times.
		wave := record(model.KindWave, "w", model.Wave{Pool: "work", State: model.WaveRunning, FailureThreshold: 2, ReturnLimitMS: 60_000, MaxConcurrent: 1, VerifyMS: 8000})
		env := newHarness(4, append(sampleRecords(), wave)...)
		env.runFor(3 * time.Second)
		Expect(env.platform.orders).NotTo(BeEmpty())
		var name string
		for n := range env.hosts {
			if env.host(n).State == model.HostMaintenance {
				name = n
			}
		}
		Expect(name).NotTo(BeEmpty())
		env.hosts[name].Incarnation = "2"
		env.runFor(2 * time.Second)
		Expect(env.host(name).State).To(Equal(model.HostVerifying))
		env.wall.Jump(10 * time.Second)
		env.runFor(3 * time.Second)
		Expect(env.host(name).State).To(Equal(model.HostVerifying), "5 s of 8 s")
		env.runFor(5 * time.Second)
		Expect(env.host(name).State).To(Equal(model.HostReady))
	})
})
