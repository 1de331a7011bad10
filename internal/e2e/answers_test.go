package e2e_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// expectOwnAnswer checks that the response has a complete answer that belongs
// to the key and the payload.
func expectOwnAnswer(key string, payload []byte, response caller.Response) {
	GinkgoHelper()
	Expect(response.Key).To(Equal(key))
	Expect(response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", key, response.Reason)
	Expect(response.Succeeded).To(BeTrue(), "%s: %s", key, response.Reason)
	var answer standin.Answer
	Expect(json.Unmarshal(response.Answer, &answer)).To(Succeed(), key)
	sum := sha256.Sum256(payload)
	Expect(answer.Request).To(Equal(key))
	Expect(answer.PayloadSHA256).To(Equal(hex.EncodeToString(sum[:])), key)
}

func answerCases(shared func() *region) {
	It("are the same for ten copies of a key sent at once to all data centres", func() {
		// Guards against a second claim or run of a key that reaches several
		// entry hosts concurrently, before any of them has claimed it.
		r := shared()
		for _, kind := range []string{"plotter_order", "draw", "proof"} {
			b := requestBody(kind, 0)
			b.Payload = []byte(`{"run_ms":300}`)
			for round := range 5 {
				key := fmt.Sprintf("copies-%s-%d", kind, round)
				responses := make([]caller.Response, 10)
				errs := make([]error, len(responses))
				start := make(chan struct{})
				var wg sync.WaitGroup
				for i := range responses {
					wg.Go(func() {
						<-start
						// Hosts 0, 3 and 5 are in different data centres.
						entry := r.hosts[[]int{0, 3, 5}[i%3]].caller
						responses[i], _, errs[i] = r.client.Send(context.Background(), entry, key, b)
					})
				}
				close(start)
				wg.Wait()
				for i := range responses {
					Expect(errs[i]).NotTo(HaveOccurred(), key)
					expectOwnAnswer(key, b.Payload, responses[i])
					Expect(responses[i]).To(Equal(responses[0]), key)
				}
				Expect(r.runCount(key)).To(Equal(1), key)
			}
		}
	})

	It("belong to their own request among 200 at once with different payloads", func() {
		// Guards against an answer that is delivered to the caller of another
		// key, even if a target first responds with the result of another task.
		r := shared()
		for _, f := range r.fleets {
			for _, t := range f.Targets() {
				t.SetFaults(standin.Faults{ForeignAnswers: true})
				DeferCleanup(func() { t.SetFaults(standin.Faults{}) })
			}
		}
		responses := make([]caller.Response, 200)
		errs := make([]error, len(responses))
		bodies := make([]caller.Body, len(responses))
		kinds := []string{"plotter_order", "draw", "proof", "fee_charge"}
		var wg sync.WaitGroup
		for i := range responses {
			bodies[i] = requestBody(kinds[i%len(kinds)], 0)
			bodies[i].Payload = fmt.Appendf(nil, `{"run_ms":%d,"part":"%d"}`, i*37%150, i)
			wg.Go(func() {
				responses[i], _, errs[i] = r.client.Send(context.Background(), r.client.Entry(i), fmt.Sprintf("mixed-%d", i), bodies[i])
			})
		}
		wg.Wait()
		for i := range responses {
			key := fmt.Sprintf("mixed-%d", i)
			Expect(errs[i]).NotTo(HaveOccurred(), key)
			expectOwnAnswer(key, bodies[i].Payload, responses[i])
			Expect(r.runCount(key)).To(Equal(1), key)
		}
	})
}
