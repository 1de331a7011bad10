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

// plotterFloors are the floors of pool plotters in examples/records.toml.
var plotterFloors = map[string]int{"dc-a": 2, "dc-b": 2, "dc-c": 1}

// persist sends plotter orders until stop is closed. A caller sends an order
// again under its key, through another entry host, until it is done.
func (r *region) persist(prefix string, callers int, stop <-chan struct{}) func() map[string]caller.Response {
	var (
		mu  sync.Mutex
		n   atomic.Int64
		wg  sync.WaitGroup
		out = map[string]caller.Response{}
	)
	b := body("plotter_order", 250*time.Millisecond)
	order := func(i int) {
		key := fmt.Sprintf("%s-%d", prefix, i)
		var last caller.Response
		for turn := i; ; turn++ {
			response, _, err := r.client.Send(context.Background(), r.client.Entry(turn), key, b)
			if err == nil {
				last = response
			}
			if last.Outcome == model.OutcomeDone || last.Outcome == model.OutcomeNotRun || turn > i+200 {
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
					order(int(n.Add(1)))
				}
			}
		})
	}
	return func() map[string]caller.Response {
		wg.Wait()
		return out
	}
}

// progress returns the progress of a wave by data centre.
func (r *region) progress(wave string) map[string]model.WaveProgress {
	out := map[string]model.WaveProgress{}
	for _, h := range []string{"entry-b2", "entry-c2"} {
		waves, err := get[query.Waves](r.host(h), "/v1/waves")
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

// unfinished lists the data centres in which a wave has not finished.
func (r *region) unfinished(wave string) []string {
	var out []string
	all := r.progress(wave)
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
	It("keeps the floors and cuts no request, also when a leader is killed and targets do not return", func() {
		// Guards against a wave that takes hosts below the floor, reboots hosts
		// with running work, is lost with its leader, or goes on breaking hosts.
		r := startRegion(nil)
		watch := r.sampleFloors("plotters", plotterFloors)
		stop := make(chan struct{})
		finish := r.persist("wave", 16, stop)

		r.startWave("first")
		Eventually(func() int { return len(r.progress("first")["dc-a"].Done) }).
			WithTimeout(readyLimit).WithPolling(pollEvery).Should(BeNumerically(">=", 1))
		leader := r.leader("dc-a")
		r.kill(leader)
		Eventually(func() []string { return r.unfinished("first") }).
			WithTimeout(readyLimit).WithPolling(pollEvery).Should(BeEmpty())
		r.start(leader)
		r.waitReached()

		for i, t := range r.fleets["dc-a"].Targets() {
			if i%6 == 1 { // pool plotters
				t.SetFaults(standin.Faults{MuteAfterReboot: true})
			}
		}
		r.startWave("second")
		Eventually(func() bool { return r.progress("second")["dc-a"].Paused }).
			WithTimeout(readyLimit).WithPolling(pollEvery).Should(BeTrue())
		paused := r.progress("second")["dc-a"]
		Expect(paused.Reason).To(ContainSubstring("failed to return or were lost"))
		for _, t := range r.fleets["dc-a"].Targets() {
			t.SetFaults(standin.Faults{})
		}
		// A second host may have been rebooted before the pause. If its step fails
		// after the resumption, the wave rightly pauses again.
		Eventually(func() bool {
			p := r.progress("second")["dc-a"]
			return p.Paused && len(p.Current) == 0
		}).WithTimeout(readyLimit).WithPolling(pollEvery).Should(BeTrue())
		r.ctl("waves", "resume", "second")
		Eventually(func() []string { return r.unfinished("second") }).
			WithTimeout(readyLimit).WithPolling(pollEvery).Should(BeEmpty())

		close(stop)
		orders := finish()
		for key, response := range orders {
			Expect(response.Outcome).To(Equal(model.OutcomeDone), "%s: %s", key, response.Reason)
			Expect(response.Succeeded).To(BeTrue(), "%s: %s", key, response.Reason)
			Expect(r.runs(key)).To(Equal(1), key)
		}
		Expect(len(orders)).To(BeNumerically(">", 200))
		watch.expectNone([]string{"dc-a", "dc-b", "dc-c"}, 50)
		GinkgoWriter.Printf("orders=%d samples=%v\n", len(orders), watch.samples)
	})
})
