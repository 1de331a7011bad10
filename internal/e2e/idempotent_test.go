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

// longDowntime is above the announcement lease of 5 s, so that the target is
// marked as lost before it returns.
const longDowntime = 7 * time.Second

func idempotentCases(shared func() *region) {
	It("are retried when their target is killed or rebooted while they run", func() {
		// Guards against idempotent work that is lost with its target.
		r := shared()
		b := requestBody("proof", 1500*time.Millisecond)
		before := r.totalRuns()
		list := r.sendMany(24, "rebooted", b, r.callerAddresses(), func() {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", before+24))
			for dc, f := range r.fleets {
				target := f.Targets()[0] // pool proofs
				if dc == "dc-b" {
					target.Reboot(longDowntime)
					continue
				}
				Expect(f.Reboot(target.Info().Name, "under-"+dc)).To(Succeed())
			}
		})
		retried := 0
		for _, s := range list {
			Expect(s.err).NotTo(HaveOccurred(), s.key)
			expectOwnAnswer(s.key, b.Payload, s.response)
			if r.runCount(s.key) > 1 {
				retried++
			}
		}
		Expect(retried).To(BeNumerically(">", 0), "no run was interrupted")
		Eventually(r.countReadyTargets).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Equal(54))
	})

	It("leave a target that fails everything, which is set aside within the floor", func() {
		// Guards against a host that fails every task quickly, so that it always
		// has free slots and attracts the work of its pool.
		r := shared()
		failing := r.fleets["dc-a"].Targets()[0]
		failing.SetFaults(standin.Faults{FailTasks: true})
		DeferCleanup(func() { failing.SetFaults(standin.Faults{}) })
		watch := r.sampleFloors("proofs", map[string]int{"dc-a": 2, "dc-b": 2, "dc-c": 2})
		round := 0
		Eventually(func() model.HostState {
			round++
			b := requestBody("proof", 20*time.Millisecond)
			for _, s := range r.sendMany(60, fmt.Sprintf("failing-%d", round), b, r.callerAddresses(), nil) {
				Expect(s.err).NotTo(HaveOccurred(), s.key)
				expectOwnAnswer(s.key, b.Payload, s.response)
			}
			hosts, err := getJSON[query.Hosts](r.hosts[1], "/v1/hosts?name="+failing.Info().Name)
			if err != nil || len(hosts.Hosts) != 1 {
				return ""
			}
			return hosts.Hosts[0].State
		}).WithTimeout(readyTimeout).Should(Equal(model.HostSetAside))
		watch.expectNoViolations([]string{"dc-a", "dc-b", "dc-c"}, 5)
		failing.SetFaults(standin.Faults{})
		r.ctl("resume", "-reason", "repaired", failing.Info().Name)
		Eventually(r.countReadyTargets).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Equal(54))
	})
}
