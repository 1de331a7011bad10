package retry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

// recordedRequest is generated once and replayed against each policy: attempt n
// of a request fails if its draw is below the failure rate.
type recordedRequest struct {
	instance string
	draws    [4]float64
}

func recordDemand(seed uint64, n int) []recordedRequest {
	rng := rand.New(rand.NewPCG(seed, 0))
	out := make([]recordedRequest, n)
	for i := range out {
		out[i].instance = fmt.Sprintf("entry%d", rng.IntN(7))
		for j := range out[i].draws {
			out[i].draws[j] = rng.Float64()
		}
	}
	return out
}

type outcome struct{ requests, attempts, succeeded int }

func (o outcome) extraLoad() float64 {
	return 100 * float64(o.attempts-o.requests) / float64(o.requests)
}
func (o outcome) successRate() float64 { return 100 * float64(o.succeeded) / float64(o.requests) }

// replay keeps 50 requests open at a time, so that retries interleave with later
// requests.
func replay(p retry.Policy, requests []recordedRequest, failure func(instance string) float64) outcome {
	type open struct{ request, begun int }
	o := outcome{requests: len(requests)}
	var window []open
	next := 0
	for next < len(requests) || len(window) > 0 {
		for len(window) < 50 && next < len(requests) {
			window = append(window, open{request: next})
			next++
		}
		w := window[0]
		window = window[1:]
		d := requests[w.request]
		o.attempts++
		w.begun++
		if d.draws[w.begun-1] >= failure(d.instance) {
			o.succeeded++
			p.Succeeded(d.instance)
		} else if p.Decide(retry.Attempt{Used: w.begun, MaxAttempts: 4, Instance: d.instance}).Retry {
			window = append(window, w)
		}
	}
	return o
}

var _ = Describe("policies", func() {
	It("compares extra load and success on the same recorded demand", func() {
		// Guards against retries that multiply the load when everything fails,
		// and against a limit that costs success under rare failures.
		requests := recordDemand(1, 20000)
		perInstance := retry.DefaultTokenBucket()
		perInstance.Capacity /= 7 // equal total capacity
		policies := []struct {
			name string
			make func() retry.Policy
		}{
			{"fixed limit", func() retry.Policy { return retry.Fixed{} }},
			{"tokens per instance", func() retry.Policy { return retry.NewPerInstance(perInstance) }},
			{"tokens per data centre", func() retry.Policy { return retry.NewShared(retry.DefaultTokenBucket()) }},
		}
		got := map[string]map[string]outcome{}
		var table strings.Builder
		fmt.Fprintf(&table, "%-24s %-22s %12s %10s\n", "policy", "failure", "extra load %", "success %")
		run := func(name string, p retry.Policy, label string, failure func(string) float64) {
			o := replay(p, requests, failure)
			if got[name] == nil {
				got[name] = map[string]outcome{}
			}
			got[name][label] = o
			fmt.Fprintf(&table, "%-24s %-22s %12.2f %10.2f\n", name, label, o.extraLoad(), o.successRate())
		}
		for _, p := range policies {
			for _, rate := range []float64{0, 0.1, 0.6, 1} {
				run(p.name, p.make(), fmt.Sprintf("%.0f%%", rate*100), func(string) float64 { return rate })
			}
			run(p.name, p.make(), "90% for one instance", func(instance string) float64 {
				if instance == "entry0" {
					return 0.9
				}
				return 0.02
			})
		}
		fmt.Println(table.String())
		for name, o := range got {
			Expect(o["0%"].extraLoad()).To(BeZero(), name)
			Expect(o["10%"].successRate()).To(BeNumerically(">", 99.8), name)
			if name != "fixed limit" {
				Expect(o["60%"].extraLoad()).To(BeNumerically("<", 15), name)
				Expect(o["100%"].attempts-o["100%"].requests).To(BeNumerically("<=", 100), name)
			}
		}
		Expect(got["fixed limit"]["100%"].extraLoad()).To(BeNumerically("==", 300))
	})

	It("keeps the request's own limit of attempts", func() {
		// Guards against a full bucket that retries one request for ever.
		for _, p := range []retry.Policy{retry.Fixed{}, retry.NewShared(retry.DefaultTokenBucket()), retry.NewPerInstance(retry.DefaultTokenBucket())} {
			Expect(p.Decide(retry.Attempt{Used: 2, MaxAttempts: 3}).Retry).To(BeTrue())
			Expect(p.Decide(retry.Attempt{Used: 3, MaxAttempts: 3})).To(Equal(retry.Decision{Reason: "all 3 attempts are used"}))
			Expect(p.Decide(retry.Attempt{Used: 1}).Retry).To(BeFalse())
		}
	})

	It("bounds the number of buckets", func() {
		// Guards against memory that grows with every restarted instance.
		p := retry.NewPerInstance(retry.TokenBucketSettings{Capacity: 1, Cost: 1})
		for i := range 2000 {
			allowed := p.Decide(retry.Attempt{Used: 1, MaxAttempts: 3, Instance: fmt.Sprint(i)}).Retry
			Expect(allowed).To(Equal(i <= 1024), "instance %d", i)
		}
	})

	It("refills only by success and never above its capacity", func() {
		// Guards against tokens that refill with time and feed a retry storm.
		p := retry.NewShared(retry.TokenBucketSettings{Capacity: 2, Cost: 1, Refill: 0.5})
		a := retry.Attempt{Used: 1, MaxAttempts: 9}
		for range 9 {
			p.Succeeded("")
		}
		Expect([]bool{p.Decide(a).Retry, p.Decide(a).Retry, p.Decide(a).Retry}).To(Equal([]bool{true, true, false}))
		p.Succeeded("")
		Expect(p.Decide(a)).To(Equal(retry.Decision{Reason: "the data centre has 0.5 retry tokens, 1.0 are needed"}))
		p.Succeeded("")
		Expect(p.Decide(a).Retry).To(BeTrue())
	})
})

var _ = Describe("Backoff", func() {
	It("doubles up to its maximum with reproducible jitter", func() {
		// Guards against requests that failed together and are retried together.
		b := retry.DefaultBackoff(7)
		delays := map[time.Duration]bool{}
		for i := range 100 {
			key := fmt.Sprint(i)
			for attempt, full := range map[int]time.Duration{1: 100 * time.Millisecond, 2: 200 * time.Millisecond, 40: 10 * time.Second} {
				d := b.Delay(key, attempt)
				Expect(d).To(And(BeNumerically(">", full/2), BeNumerically("<=", full)))
				Expect(b.Delay(key, attempt)).To(Equal(d))
			}
			delays[b.Delay(key, 1)] = true
		}
		Expect(len(delays)).To(BeNumerically(">", 90))
	})
})
