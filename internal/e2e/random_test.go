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
	// faultRounds is the number of rounds of one schedule; in each of them two
	// faults are present at the same time.
	faultRounds = 5
	// runsPerRound is the number of runs after which a round's faults end.
	runsPerRound = 40
	// callerWait is how long a caller waits for an answer before it goes on to
	// its next request, so that requests whose home is cut off do not stop all
	// callers.
	callerWait = 2 * time.Second
)

// injected is a fault that is present until end is called.
type injected struct {
	name string
	end  func()
}

// injector chooses faults from a seed. The seed fixes the schedule of faults;
// what they meet depends on the timing of the processes.
type injector struct {
	region *region
	random *rand.Rand
	// busy holds the hosts that a fault of this round has taken.
	busy map[string]bool
}

// next injects one fault.
func (i *injector) next() injected {
	switch i.random.IntN(7) {
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
		return injected{"all connections between entry hosts go silent", func() {}}
	case 5:
		return i.reboot()
	}
	return i.silentStarts()
}

// host chooses an entry host that no other fault of this round has taken.
func (i *injector) host() *host {
	for {
		h := i.region.hosts[i.random.IntN(len(i.region.hosts))]
		if !i.busy[h.name] {
			i.busy[h.name] = true
			return h
		}
	}
}

func (i *injector) target() *standin.Target {
	targets := i.region.fleets[i.dataCentre()].Targets()
	return targets[i.random.IntN(len(targets))]
}

func (i *injector) dataCentre() string { return []string{"dc-a", "dc-b", "dc-c"}[i.random.IntN(3)] }

func (i *injector) kill() injected {
	h := i.host()
	i.region.kill(h)
	return injected{"kill " + h.name, func() { i.region.start(h) }}
}

func (i *injector) freeze() injected {
	h := i.host()
	i.region.signal(h, syscall.SIGSTOP)
	return injected{"freeze " + h.name, func() { i.region.signal(h, syscall.SIGCONT) }}
}

func (i *injector) isolate() injected {
	h := i.host()
	i.region.isolate(h.name, linkSilent)
	return injected{"isolate " + h.name, func() { i.region.isolate(h.name, linkOpen) }}
}

func (i *injector) partition() injected {
	dataCentre := i.dataCentre()
	i.region.partition(dataCentre, linkSilent)
	return injected{"cut off " + dataCentre, func() { i.region.partition(dataCentre, linkOpen) }}
}

func (i *injector) reboot() injected {
	t := i.target()
	t.Reboot(time.Second)
	return injected{"reboot " + t.Info().Name, func() {}}
}

func (i *injector) silentStarts() injected {
	t := i.target()
	fault := standin.StartSilentAfterBegin
	if i.random.IntN(2) == 0 {
		fault = standin.StartSilentBeforeBegin
	}
	t.SetFaults(standin.Faults{Start: fault})
	return injected{"silent starts on " + t.Info().Name, func() { t.SetFaults(standin.Faults{}) }}
}

// round keeps two faults present until the targets have run some more
// requests, or until settleLimit if the faults leave nothing that can run.
func (i *injector) round(n int) {
	clear(i.busy)
	first, second := i.next(), i.next()
	AddReportEntry(fmt.Sprintf("round %d: %s; %s", n, first.name, second.name))
	goal := i.region.totalRuns() + runsPerRound
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for end := time.Now().Add(settleLimit); time.Now().Before(end) && i.region.totalRuns() < goal; {
		<-poll.C
	}
	second.end()
	first.end()
}

// claimsNotRun reports whether the response says that the request did not run.
func claimsNotRun(a *answered) bool {
	var refused *load.RefusedError
	if errors.As(a.err, &refused) {
		return refused.Failure.Effect == httpapi.EffectNone
	}
	return a.err == nil && a.response.Outcome == model.OutcomeNotRun
}

// expectTrue checks the responses of non-idempotent requests against the runs
// of the targets, before any of them is sent again.
func (r *region) expectTrue(list []answered) {
	GinkgoHelper()
	for i := range list {
		a := &list[i]
		runs := r.runs(a.key)
		Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times", a.key, runs)
		if claimsNotRun(a) {
			Expect(runs).To(BeZero(), "%s was refused as not run but ran: %v %s", a.key, a.err, a.response.Reason)
		}
		if a.err == nil && a.response.Outcome == model.OutcomeDone {
			Expect(runs).To(Equal(1), "%s is done but did not run", a.key)
			if a.response.Succeeded {
				expectOwnAnswer(a.key, a.body.Payload, a.response)
			}
		}
	}
}

// expectSettled sends every request again until it has an outcome, and checks
// that the outcome is true and that none ran twice.
func (r *region) expectSettled(list []answered) {
	GinkgoHelper()
	for i := range list {
		a := &list[i]
		a.body.WaitMS = 5000
		Eventually(func(g Gomega) {
			a.response, _, a.err = r.client.Send(context.Background(), r.client.Entry(i), a.key, a.body)
			g.Expect(a.err).NotTo(HaveOccurred(), a.key)
			g.Expect(a.response.Outcome).NotTo(BeEmpty(), a.key)
		}).WithTimeout(readyLimit).WithPolling(pollEvery).Should(Succeed())
	}
	r.expectTrue(list)
}

var _ = Describe("A region under faults from a seed", func() {
	for _, seed := range []uint64{1, 2} {
		It(fmt.Sprintf("keeps its promises with two faults at a time, seed %d", seed), func() {
			// Guards against faults that are harmless alone but together, or
			// one after the other, run a request twice, make a refusal untrue,
			// turn the configuration back or leave the region stuck.
			r := startRegion(nil)
			revisions := r.sampleRevisions()
			stop := make(chan struct{})
			finish := r.stream(fmt.Sprintf("faults-%d", seed), 16, []string{"plotter_order", "draw"}, 100*time.Millisecond, callerWait, stop)
			faults := &injector{region: r, random: rand.New(rand.NewPCG(seed, 0)), busy: map[string]bool{}}
			for n := range faultRounds {
				faults.round(n)
				// The operator does not wait for processes that are cut off.
				_, _ = r.tryCtl("-timeout", "5s", "apply", "-no-wait", "-f", r.recordFile("quota", fmt.Sprintf("team-%d", n), `{"max_running":5,"max_queued":5}`))
			}
			close(stop)
			list := finish()
			r.expectTrue(list)

			r.waitReached()
			r.expectSettled(list)
			out := r.ctl("-timeout", "60s", "apply", "-f", r.recordFile("quota", "last", `{"max_running":5,"max_queued":5}`))
			Expect(strings.ToLower(out)).To(ContainSubstring("in force"))
			revisions.expectNone(r.names(), 20)
			GinkgoWriter.Printf("requests=%d runs=%d\n", len(list), r.totalRuns())
		})
	}
})
