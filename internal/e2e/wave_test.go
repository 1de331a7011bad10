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
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// plotterFloors holds the floors of pool plotters in examples/records.toml by
// data centre.
var plotterFloors = map[string]int{"dc-a": 2, "dc-b": 2, "dc-c": 1}

// resendUntilDone starts callers that send plotter orders until stop is closed.
// A caller resends each order with the same key, through the next entry host,
// until the order is done or not run, at most about 200 times. The
// returned function waits for the callers and returns the last responses by
// key.
func (r *region) resendUntilDone(prefix string, callers int, stop <-chan struct{}) func() map[string]caller.Response {
	var (
		mu  sync.Mutex
		n   atomic.Int64
		wg  sync.WaitGroup
		out = map[string]caller.Response{}
	)
	b := requestBody("plotter_order", 250*time.Millisecond)
	sendOrder := func(i int) {
		key := fmt.Sprintf("%s-%d", prefix, i)
		var last caller.Response
		for entryIndex := i; ; entryIndex++ {
			response, _, err := r.client.Send(context.Background(), r.client.Entry(entryIndex), key, b)
			if err == nil {
				last = response
			}
			if last.Outcome == model.OutcomeDone || last.Outcome == model.OutcomeNotRun || entryIndex > i+200 {
				break
			}
		}
		mu.Lock()
		defer mu.Unlock()
		out[key] = last
	}
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					sendOrder(int(n.Add(1)))
				}
			}
		})
	}
	return func() map[string]caller.Response {
		wg.Wait()
		return out
	}
}

// waveProgress returns the progress of a wave by data centre.
func (r *region) waveProgress(wave string) map[string]model.WaveProgress {
	out := map[string]model.WaveProgress{}
	for _, h := range []string{"entry-b2", "entry-c2"} {
		waves, err := getJSON[query.Waves](r.host(h), "/v1/waves")
		if err != nil {
			continue
		}
		for i := range waves.Waves {
			if waves.Waves[i].Name != wave {
				continue
			}
			for _, p := range waves.Waves[i].Progress {
				out[p.DataCentre] = p
			}
		}
	}
	return out
}

// unfinishedDataCentres lists the data centres in which a wave has not finished.
func (r *region) unfinishedDataCentres(wave string) []string {
	var out []string
	all := r.waveProgress(wave)
	for dataCentre := range plotterFloors {
		if p, ok := all[dataCentre]; !ok || p.Finished.IsZero() {
			out = append(out, fmt.Sprintf("%s: done %v, current %v, %s", dataCentre, p.Done, p.Current, p.Reason))
		}
	}
	return out
}

func (r *region) startWave(name string) {
	GinkgoHelper()
	r.ctl("waves", "start", "-pool", "plotters", "-return-limit", "6s", "-verify", "1s", name)
}

var _ = Describe("A maintenance wave", func() {
	It("keeps the floors and interrupts no request, also when a leader is killed and targets do not return", func() {
		// Guards against a wave that takes a pool below its floor, reboots hosts
		// with running work, is lost with its leader, or continues although hosts
		// do not return.
		r := startRegion(nil)
		watch := r.sampleFloors("plotters", plotterFloors)
		stop := make(chan struct{})
		finish := r.resendUntilDone("wave", 16, stop)

		r.startWave("first")
		Eventually(func() int { return len(r.waveProgress("first")["dc-a"].Done) }).
			WithTimeout(readyTimeout).WithPolling(pollInterval).Should(BeNumerically(">=", 1))
		leader := r.leader("dc-a")
		r.kill(leader)
		Eventually(func() []string { return r.unfinishedDataCentres("first") }).
			WithTimeout(readyTimeout).WithPolling(pollInterval).Should(BeEmpty())
		r.start(leader)
		r.waitAllReachable()

		for i, t := range r.fleets["dc-a"].Targets() {
			if i%6 == 1 { // pool plotters
				t.SetFaults(standin.Faults{MuteAfterReboot: true})
			}
		}
		r.startWave("second")
		Eventually(func() bool { return r.waveProgress("second")["dc-a"].Paused }).
			WithTimeout(readyTimeout).WithPolling(pollInterval).Should(BeTrue())
		paused := r.waveProgress("second")["dc-a"]
		Expect(paused.Reason).To(ContainSubstring("failed to return or were lost"))
		for _, t := range r.fleets["dc-a"].Targets() {
			t.SetFaults(standin.Faults{})
		}
		// A second host may have been rebooted before the pause. Wait until no step
		// is open: if that step failed after the resumption, the wave would pause
		// again, which is correct.
		Eventually(func() bool {
			p := r.waveProgress("second")["dc-a"]
			return p.Paused && len(p.Current) == 0
		}).WithTimeout(readyTimeout).WithPolling(pollInterval).Should(BeTrue())
		r.ctl("waves", "resume", "second")
		Eventually(func() []string { return r.unfinishedDataCentres("second") }).
			WithTimeout(readyTimeout).WithPolling(pollInterval).Should(BeEmpty())

		close(stop)
		orders := finish()
		for key, response := range orders {
			Expect(response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", key, response.Reason)
			Expect(response.Succeeded).To(BeTrue(), "%s: %s", key, response.Reason)
			Expect(r.runCount(key)).To(Equal(1), key)
		}
		Expect(len(orders)).To(BeNumerically(">", 200))
		watch.expectNoViolations([]string{"dc-a", "dc-b", "dc-c"}, 50)
		GinkgoWriter.Printf("orders=%d samples=%v\n", len(orders), watch.samples)
	})
})
