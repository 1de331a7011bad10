package e2e_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// longAway is above the lease of 5 s: the target counts as lost meanwhile.
const longAway = 7 * time.Second

func retryCases(shared func() *region) {
	It("are retried when their target is killed or rebooted under them", func() {
		// Guards against idempotent work that is lost with its target.
		r := shared()
		b := body("proof", 1500*time.Millisecond)
		before := r.totalRuns()
		list := r.sendMany(24, "rebooted", b, r.callers(), func() {
			Eventually(r.totalRuns).WithTimeout(settleLimit).Should(BeNumerically(">=", before+24))
			for dc, f := range r.fleets {
				target := f.Targets()[0] // pool proofs
				if dc == "dc-b" {
					target.Reboot(longAway)
					continue
				}
				Expect(f.Reboot(target.Info().Name, "under-"+dc)).To(Succeed())
			}
		})
		retried := 0
		for _, s := range list {
			Expect(s.err).NotTo(HaveOccurred(), s.key)
			expectOwnAnswer(s.key, b.Payload, s.response)
			if r.runs(s.key) > 1 {
				retried++
			}
		}
		Expect(retried).To(BeNumerically(">", 0), "no run was interrupted")
		Eventually(r.readyTargets).WithTimeout(readyLimit).WithPolling(pollEvery).Should(Equal(54))
	})

	It("leave a target that fails everything, which is set aside within the floor", func() {
		// Guards against a host that fails everything fast and so attracts the
		// work of its pool.
		r := shared()
		failing := r.fleets["dc-a"].Targets()[0]
		failing.SetFaults(standin.Faults{FailTasks: true})
		DeferCleanup(func() { failing.SetFaults(standin.Faults{}) })
		watch := r.sampleFloors("proofs", map[string]int{"dc-a": 2, "dc-b": 2, "dc-c": 2})
		round := 0
		Eventually(func() model.HostState {
			round++
			b := body("proof", 20*time.Millisecond)
			for _, s := range r.sendMany(60, fmt.Sprintf("failing-%d", round), b, r.callers(), nil) {
				Expect(s.err).NotTo(HaveOccurred(), s.key)
				expectOwnAnswer(s.key, b.Payload, s.response)
			}
			hosts, err := get[query.Hosts](r.hosts[1], "/v1/hosts?name="+failing.Info().Name)
			if err != nil || len(hosts.Hosts) != 1 {
				return ""
			}
			return hosts.Hosts[0].State
		}).WithTimeout(readyLimit).Should(Equal(model.HostSetAside))
		watch.expectNone([]string{"dc-a", "dc-b", "dc-c"}, 5)
		failing.SetFaults(standin.Faults{})
		r.ctl("resume", "-reason", "repaired", failing.Info().Name)
		Eventually(r.readyTargets).WithTimeout(readyLimit).WithPolling(pollEvery).Should(Equal(54))
	})
}
