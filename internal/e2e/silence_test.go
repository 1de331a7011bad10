package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
)

// silenceAll makes every open connection between entry hosts permanently
// silent.
func (r *region) silenceAll() {
	for _, l := range r.links {
		l.silence()
	}
}

// streamResult is one request of a stream with its response and latency.
type streamResult struct {
	key         string
	requestBody caller.Body
	response    caller.Response
	err         error
	took        time.Duration
}

// stream starts several callers, each of which sends requests one after the
// other, through all entry hosts in turn, until stop is closed. A request waits
// for its answer up to wait. The returned function waits for the callers and
// returns all results.
func (r *region) stream(prefix string, callers int, kinds []string, runTime, wait time.Duration, stop <-chan struct{}) func() []streamResult {
	var (
		mu  sync.Mutex
		out []streamResult
		n   atomic.Int64
		wg  sync.WaitGroup
	)
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				i := int(n.Add(1))
				a := streamResult{key: fmt.Sprintf("%s-%d", prefix, i), requestBody: requestBody(kinds[i%len(kinds)], runTime)}
				a.requestBody.Payload = fmt.Appendf(nil, `{"run_ms":%d,"part":"%d"}`, runTime.Milliseconds(), i)
				a.requestBody.WaitMS = wait.Milliseconds()
				sentAt := time.Now()
				a.response, _, a.err = r.client.Send(context.Background(), r.client.Entry(i), a.key, a.requestBody)
				a.took = time.Since(sentAt)
				mu.Lock()
				out = append(out, a)
				mu.Unlock()
			}
		})
	}
	return func() []streamResult {
		wg.Wait()
		return out
	}
}

func silenceCases(shared func() *region) {
	It("delay no answer beyond 10 s and repeat no run", func() {
		// Guards against a call, a long poll or log replication that waits
		// indefinitely on an established connection that no longer delivers data,
		// and against a second run after such a wait.
		r := shared()
		stop := make(chan struct{})
		finish := r.stream("quiet", 24, []string{"plotter_order", "proof", "draw"}, 100*time.Millisecond, 30*time.Second, stop)
		before := r.totalRuns()
		for range 2 {
			Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", before+60))
			r.silenceAll()
			// Wait until requests complete again, so that the next round silences
			// new connections.
			before = r.totalRuns() + 60
		}
		Eventually(r.totalRuns).WithTimeout(settleTimeout).Should(BeNumerically(">=", before+60))
		close(stop)
		slowest := time.Duration(0)
		list := finish()
		for _, a := range list {
			Expect(a.err).NotTo(HaveOccurred(), a.key)
			expectOwnAnswer(a.key, a.requestBody.Payload, a.response)
			Expect(a.took).To(BeNumerically("<", 10*time.Second), a.key)
			if a.requestBody.Kind != "proof" {
				Expect(r.runCount(a.key)).To(Equal(1), a.key)
			}
			slowest = max(slowest, a.took)
		}
		GinkgoWriter.Printf("requests=%d slowest=%s\n", len(list), slowest)
		Expect(slowest).To(BeNumerically(">", time.Second), "no request was delayed by a silent connection")
	})
}
