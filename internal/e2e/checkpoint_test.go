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
	// conversionTime is well above the duration of a wave over idle hosts.
	conversionTime = 40 * time.Second
	// fastRolloutSettings holds policy weights that favour a fast rollout so far
	// over few moves that a wave moves work of priority "patient".
	fastRolloutSettings = "[policy]\nrollout_weight = 10.0\nmoves_weight = 1.0\nbuffer_weight = 1.0"
)

// submitConversions submits the conversions concurrently and returns a
// function that waits for their answers.
func (r *region) submitConversions() func() []caller.Response {
	var wg sync.WaitGroup
	out := make([]caller.Response, conversions)
	b := requestBody("archival_conversion", conversionTime)
	b.WaitMS = 10_000
	for i := range out {
		wg.Go(func() {
			for resend := range 30 {
				response, _, err := r.client.Send(context.Background(), r.client.Entry(i+resend), fmt.Sprintf("conversion-%d", i), b)
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

// conversionRuns returns the runs of all conversions by key, per data centre
// in the order in which they started.
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

// runConversionsWave waits until every conversion has started, runs a wave
// over the hosts of their pool and returns how long it took.
func (r *region) runConversionsWave() time.Duration {
	GinkgoHelper()
	Eventually(func() int { return len(r.conversionRuns()) }).
		WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Equal(conversions))
	startedAt := time.Now()
	r.ctl("waves", "start", "-pool", "conversions", "-return-limit", "30s", "-verify", "1s", "conversions")
	Eventually(func() []string { return r.unfinishedDataCentres("conversions") }).
		WithTimeout(2 * conversionTime).WithPolling(pollInterval).Should(BeEmpty())
	return time.Since(startedAt)
}

var _ = Describe("A maintenance wave over hosts with long patient work", func() {
	// expectDone checks that every conversion is done and succeeded.
	expectDone := func(answers []caller.Response) {
		GinkgoHelper()
		for _, a := range answers {
			Expect(a.Outcome).To(Equal(model.OutcomeDone), "%s: %s", a.Key, a.Reason)
			Expect(a.Succeeded).To(BeTrue(), "%s: %s", a.Key, a.Reason)
		}
	}

	It("moves the work by checkpoint, and each conversion resumes from its checkpoint", func() {
		// Guards against a wave that waits for long work, and against moved work
		// that restarts from the beginning, is lost or is interrupted by a reboot.
		r := startRegionWithSettings(fastRolloutSettings, nil)
		answers := r.submitConversions()
		took := r.runConversionsWave()
		expectDone(answers())
		moves := 0
		for key, runs := range r.conversionRuns() {
			for i, run := range runs[1:] {
				moves++
				Expect(run.FromMS).To(BeNumerically(">", runs[i].FromMS), "%s restarts from the beginning: %v", key, runs)
				Expect(run.FromMS-runs[i].FromMS).To(BeNumerically("<=", run.BeganMS-runs[i].BeganMS), "%s skips work: %v", key, runs)
			}
			Expect(len(runs)).To(BeNumerically(">", 1), "%s was not moved", key)
		}
		Expect(took).To(BeNumerically("<", conversionTime))
		GinkgoWriter.Printf("wave with checkpoints: %.1f s, %d conversions of %s, %d moves\n", took.Seconds(), conversions, conversionTime, moves)
	})

	It("waits for the work if the targets do not support checkpoint", func() {
		// Guards against a checkpoint call to a target that has not announced the
		// capability, and against a wave that interrupts the work instead.
		r := startRegionWithSettings(fastRolloutSettings, func(c *standin.Config) { c.NoCheckpoint = true })
		answers := r.submitConversions()
		took := r.runConversionsWave()
		expectDone(answers())
		for key, runs := range r.conversionRuns() {
			Expect(runs).To(HaveLen(1), key)
		}
		GinkgoWriter.Printf("wave without checkpoints: %.1f s, %d conversions of %s\n", took.Seconds(), conversions, conversionTime)
	})
})
