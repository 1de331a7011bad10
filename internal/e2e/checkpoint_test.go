package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

const (
	conversions = 24
	// conversionTime is well above the time of a wave whose hosts are idle.
	conversionTime = 40 * time.Second
	// rolloutFirst are the weights with which a wave moves patient work.
	rolloutFirst = "[policy]\nrollout_weight = 10.0\nmoves_weight = 1.0\nbuffer_weight = 1.0"
)

// convert submits the conversions and returns a function that waits for their
// answers.
func (r *region) convert() func() []caller.Response {
	var wg sync.WaitGroup
	out := make([]caller.Response, conversions)
	b := body("archival_conversion", conversionTime)
	b.WaitMS = 10_000
	for i := range out {
		wg.Go(func() {
			for turn := range 30 {
				response, _, err := r.client.Send(context.Background(), r.client.Entry(i+turn), fmt.Sprintf("conversion-%d", i), b)
				if err == nil {
					out[i] = response
				}
				if out[i].State == model.RequestFinished {
					return
				}
			}
		})
	}
	return func() []caller.Response {
		wg.Wait()
		return out
	}
}

// conversionRuns returns the runs of all conversions in the order of their
// begin, by key.
func (r *region) conversionRuns() map[string][]standin.Run {
	out := map[string][]standin.Run{}
	for _, f := range r.fleets {
		for _, run := range f.Runs() {
			if run.Kind == "archival_conversion" {
				out[run.Request] = append(out[run.Request], run)
			}
		}
	}
	return out
}

// passWave runs a wave over the hosts of the conversions while all of them have
// work, and returns how long it took.
func (r *region) passWave() time.Duration {
	GinkgoHelper()
	Eventually(func() int { return len(r.conversionRuns()) }).
		WithTimeout(settleLimit).WithPolling(pollEvery).Should(Equal(conversions))
	began := time.Now()
	r.ctl("waves", "start", "-pool", "conversions", "-return-limit", "30s", "-verify", "1s", "conversions")
	Eventually(func() []string { return r.unfinished("conversions") }).
		WithTimeout(2 * conversionTime).WithPolling(pollEvery).Should(BeEmpty())
	return time.Since(began)
}

var _ = Describe("A maintenance wave over hosts with long patient work", func() {
	// expectDone checks that every conversion was done, once for each start.
	expectDone := func(answers []caller.Response) {
		GinkgoHelper()
		for _, a := range answers {
			Expect(a.Outcome).To(Equal(model.OutcomeDone), "%s: %s", a.Key, a.Reason)
			Expect(a.Succeeded).To(BeTrue(), "%s: %s", a.Key, a.Reason)
		}
	}

	It("moves the work by checkpoint, and each conversion goes on from there", func() {
		// Guards against a wave that waits for long work, and against moved work
		// that begins anew, is lost or is cut by a reboot.
		r := startRegionWith(rolloutFirst, nil)
		answers := r.convert()
		took := r.passWave()
		expectDone(answers())
		moves := 0
		for key, runs := range r.conversionRuns() {
			for i, run := range runs[1:] {
				moves++
				Expect(run.FromMS).To(BeNumerically(">", runs[i].FromMS), "%s begins anew: %v", key, runs)
				Expect(run.FromMS-runs[i].FromMS).To(BeNumerically("<=", run.BeganMS-runs[i].BeganMS), "%s skips work: %v", key, runs)
			}
			Expect(len(runs)).To(BeNumerically(">", 1), "%s was not moved", key)
		}
		Expect(took).To(BeNumerically("<", conversionTime))
		GinkgoWriter.Printf("wave with checkpoints: %.1f s, %d conversions of %s, %d moves\n", took.Seconds(), conversions, conversionTime, moves)
	})

	It("waits for the work where the targets announce no checkpoints", func() {
		// Guards against a demand that a target has not announced, and against
		// work that is cut instead.
		r := startRegionWith(rolloutFirst, func(c *standin.Config) { c.NoCheckpoint = true })
		answers := r.convert()
		took := r.passWave()
		expectDone(answers())
		for key, runs := range r.conversionRuns() {
			Expect(runs).To(HaveLen(1), key)
		}
		GinkgoWriter.Printf("wave without checkpoints: %.1f s, %d conversions of %s\n", took.Seconds(), conversions, conversionTime)
	})
})
