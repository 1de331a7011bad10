package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/load"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

const (
	// faultRounds is the number of rounds in one test. Two faults are active at
	// the same time in each round.
	faultRounds = 5
	// runsPerRound is the number of runs after which a round's faults end.
	runsPerRound = 40
	// callerWait is how long a caller waits for an answer before it sends its
	// next request, so that requests whose home is partitioned do not block all
	// callers.
	callerWait = 2 * time.Second
)

// injectedFault is a fault that is active until end is called.
type injectedFault struct {
	name string
	end  func()
}

// injector injects random faults. The seed determines the sequence of faults;
// which requests they affect depends on the timing of the processes.
type injector struct {
	region *region
	rng    *rand.Rand
	// usedHosts holds the hosts that a fault of the current round affects.
	usedHosts map[string]bool
}

// injectRandom injects one randomly chosen fault.
func (i *injector) injectRandom() injectedFault {
	switch i.rng.IntN(7) {
	case 0:
		return i.kill()
	case 1:
		return i.freeze()
	case 2:
		return i.isolate()
	case 3:
		return i.partition()
	case 4:
		i.region.silenceAll()
		return injectedFault{"all connections between entry hosts go silent", func() {}}
	case 5:
		return i.reboot()
	}
	return i.silentStarts()
}

// host chooses an entry host that no other fault of this round affects.
func (i *injector) host() *host {
	for {
		h := i.region.hosts[i.rng.IntN(len(i.region.hosts))]
		if !i.usedHosts[h.name] {
			i.usedHosts[h.name] = true
			return h
		}
	}
}

func (i *injector) target() *standin.Target {
	targets := i.region.fleets[i.dataCentre()].Targets()
	return targets[i.rng.IntN(len(targets))]
}

func (i *injector) dataCentre() string { return []string{"dc-a", "dc-b", "dc-c"}[i.rng.IntN(3)] }

func (i *injector) kill() injectedFault {
	h := i.host()
	i.region.kill(h)
	return injectedFault{"kill " + h.name, func() { i.region.start(h) }}
}

func (i *injector) freeze() injectedFault {
	h := i.host()
	i.region.signal(h, syscall.SIGSTOP)
	return injectedFault{"freeze " + h.name, func() { i.region.signal(h, syscall.SIGCONT) }}
}

func (i *injector) isolate() injectedFault {
	h := i.host()
	i.region.isolate(h.name, linkSilent)
	return injectedFault{"isolate " + h.name, func() { i.region.isolate(h.name, linkOpen) }}
}

func (i *injector) partition() injectedFault {
	dataCentre := i.dataCentre()
	i.region.partition(dataCentre, linkSilent)
	return injectedFault{"partition " + dataCentre, func() { i.region.partition(dataCentre, linkOpen) }}
}

func (i *injector) reboot() injectedFault {
	t := i.target()
	t.Reboot(time.Second)
	return injectedFault{"reboot " + t.Info().Name, func() {}}
}

func (i *injector) silentStarts() injectedFault {
	t := i.target()
	fault := standin.StartSilentAfterBegin
	if i.rng.IntN(2) == 0 {
		fault = standin.StartSilentBeforeBegin
	}
	t.SetFaults(standin.Faults{Start: fault})
	return injectedFault{"silent starts on " + t.Info().Name, func() { t.SetFaults(standin.Faults{}) }}
}

// runRound keeps two faults active until the targets have run runsPerRound
// more requests, or until settleTimeout if the faults prevent that.
func (i *injector) runRound(n int) {
	clear(i.usedHosts)
	first, second := i.injectRandom(), i.injectRandom()
	AddReportEntry(fmt.Sprintf("round %d: %s; %s", n, first.name, second.name))
	goal := i.region.totalRuns() + runsPerRound
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && i.region.totalRuns() < goal; {
		<-poll.C
	}
	second.end()
	first.end()
}

// saysNotRun reports whether the response says that the request did not run.
func saysNotRun(a *streamResult) bool {
	var refused *load.RefusedError
	if errors.As(a.err, &refused) {
		return refused.Failure.Effect == httpapi.EffectNone
	}
	return a.err == nil && a.response.Outcome == model.OutcomeNotRun
}

// expectResponsesMatchRuns checks the latest responses of non-idempotent
// requests against the runs on the targets.
func (r *region) expectResponsesMatchRuns(list []streamResult) {
	GinkgoHelper()
	for i := range list {
		a := &list[i]
		runCount := r.runCount(a.key)
		Expect(runCount).To(BeNumerically("<=", 1), "%s ran %d times", a.key, runCount)
		if saysNotRun(a) {
			Expect(runCount).To(BeZero(), "%s was refused as not run but ran: %v %s", a.key, a.err, a.response.Reason)
		}
		if a.err == nil && a.response.Outcome == model.OutcomeDone {
			Expect(runCount).To(Equal(1), "%s is done but did not run", a.key)
			if a.response.Succeeded {
				expectOwnAnswer(a.key, a.requestBody.Payload, a.response)
			}
		}
	}
}

// expectOutcomesOnResend sends every request again until it has an outcome, and
// checks that the outcome matches the runs and that none ran twice.
func (r *region) expectOutcomesOnResend(list []streamResult) {
	GinkgoHelper()
	for i := range list {
		a := &list[i]
		a.requestBody.WaitMS = 5000
		Eventually(func(g Gomega) {
			a.response, _, a.err = r.client.Send(context.Background(), r.client.Entry(i), a.key, a.requestBody)
			g.Expect(a.err).NotTo(HaveOccurred(), a.key)
			g.Expect(a.response.Outcome).NotTo(BeEmpty(), a.key)
		}).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(Succeed())
	}
	r.expectResponsesMatchRuns(list)
}

var _ = Describe("A region under random faults", func() {
	for _, seed := range []uint64{1, 2} {
		It(fmt.Sprintf("keeps its guarantees with two faults at a time, seed %d", seed), func() {
			// Guards against faults that are harmless alone but in combination or
			// in sequence make a request run twice, make a request run that was
			// refused as not run, revert the configuration or block the region.
			r := startRegion(nil)
			revisions := r.sampleRevisions()
			stop := make(chan struct{})
			finish := r.stream(fmt.Sprintf("faults-%d", seed), 16, []string{"plotter_order", "draw"}, 100*time.Millisecond, callerWait, stop)
			faults := &injector{region: r, rng: rand.New(rand.NewPCG(seed, 0)), usedHosts: map[string]bool{}}
			for n := range faultRounds {
				faults.runRound(n)
				// The operator does not wait for partitioned processes.
				_, _ = r.tryCtl("-timeout", "5s", "apply", "-no-wait", "-f", r.writeRecordFile("quota", fmt.Sprintf("team-%d", n), `{"max_running":5,"max_queued":5}`))
			}
			close(stop)
			list := finish()
			r.expectResponsesMatchRuns(list)

			r.waitAllReachable()
			r.expectOutcomesOnResend(list)
			out := r.ctl("-timeout", "60s", "apply", "-f", r.writeRecordFile("quota", "last", `{"max_running":5,"max_queued":5}`))
			Expect(strings.ToLower(out)).To(ContainSubstring("in force"))
			revisions.expectNoViolations(r.hostNames(), 20)
			GinkgoWriter.Printf("requests=%d runs=%d\n", len(list), r.totalRuns())
		})
	}
})
