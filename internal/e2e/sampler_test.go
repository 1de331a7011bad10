package e2e_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

// sampleInterval is the time between two samples. It is far below the time
// that a process takes to start, so that every restart is observed.
const sampleInterval = 20 * time.Millisecond

// sampler repeats observations in the background until it is stopped, and
// records violations.
type sampler struct {
	stop func()

	mu         sync.Mutex
	violations []string
	samples    map[string]int
}

// startSampler starts one goroutine per name, which calls observe at every
// sampleInterval. The sampler is stopped at the latest when the test ends.
func startSampler(names []string, observe func(ctx context.Context, name string, s *sampler)) *sampler {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s := &sampler{samples: map[string]int{}}
	s.stop = func() {
		cancel()
		wg.Wait()
	}
	DeferCleanup(s.stop)
	for _, name := range names {
		wg.Go(func() {
			tick := time.NewTicker(sampleInterval)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					observe(ctx, name, s)
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return s
}

func (s *sampler) countSample(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples[name]++
}

func (s *sampler) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// fewest returns the smallest number of samples of a name.
func (s *sampler) fewest(names []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	fewest := math.MaxInt
	for _, name := range names {
		fewest = min(fewest, s.samples[name])
	}
	return fewest
}

// expectNoViolations goes on until the sampler has minSamples samples of every name, since
// what it watches can be over sooner on an idle machine. It then stops the sampler and
// checks that it recorded no violation.
func (s *sampler) expectNoViolations(names []string, minSamples int) {
	GinkgoHelper()
	Eventually(func() int { return s.fewest(names) }).WithTimeout(settleTimeout).WithPolling(sampleInterval).
		Should(BeNumerically(">=", minSamples), "samples of every name")
	s.stop()
	Expect(s.violations).To(BeEmpty())
	for _, name := range names {
		Expect(s.samples[name]).To(BeNumerically(">=", minSamples), "samples of %s", name)
	}
}

func (r *region) hostNames() []string {
	var out []string
	for _, h := range r.hosts {
		out = append(out, h.name)
	}
	return out
}

// directPeerDialer returns a dialer that connects to the peer listeners
// directly, not through the links, so that it reaches partitioned hosts.
func (r *region) directPeerDialer() peer.Dialer {
	addresses := map[string]string{}
	for _, h := range r.hosts {
		addresses[h.name] = h.peer
	}
	cfg := peer.DialerConfig{Addresses: addresses, Clock: clock.System{}}
	if r.authority != nil {
		cfg.TLS = r.authority.clientConfig("test")
	}
	return peer.NewDialer(cfg)
}

// sampleRevisions checks on every host, also across restarts, that the revision
// in force never decreases. It skips a process that is not ready and reports no
// revision: such a process has not read the records yet and makes no decisions.
func (r *region) sampleRevisions() *revisionSampler {
	w := &revisionSampler{highest: map[string]uint64{}}
	w.sampler = startSampler(r.hostNames(), func(ctx context.Context, name string, s *sampler) {
		process, err := r.peers.Dial(name)
		if err != nil {
			s.addViolation("%s: %v", name, err)
			return
		}
		inForce, err := process.InForce(ctx, &peer.InForceRequest{})
		if err != nil || !inForce.Ready && inForce.Revision == 0 {
			return
		}
		s.countSample(name)
		w.mu.Lock()
		defer w.mu.Unlock()
		if inForce.Revision < w.highest[name] {
			s.addViolation("%s fell from revision %d to %d", name, w.highest[name], inForce.Revision)
		}
		w.highest[name] = max(w.highest[name], inForce.Revision)
	})
	return w
}

// revisionSampler samples the revision in force in each process. The field
// highest holds the highest one by host.
type revisionSampler struct {
	*sampler
	mu      sync.Mutex
	highest map[string]uint64
}

// startHostExpecting starts a host after another host of its data centre has
// adopted the given revision. From then on an earlier revision in force on the
// started host, for example from its own disk, is a violation.
func (w *revisionSampler) startHostExpecting(r *region, h *host, other string, revision uint64) {
	GinkgoHelper()
	Eventually(func() uint64 { return r.revisionOf(other) }).WithTimeout(settleTimeout).WithPolling(pollInterval).
		Should(BeNumerically(">=", revision))
	w.mu.Lock()
	w.highest[h.name] = max(w.highest[h.name], revision)
	w.mu.Unlock()
	r.start(h)
}

// revisionOf returns the revision in force in one process, or 0 if the process
// is not reachable or not ready.
func (r *region) revisionOf(name string) uint64 {
	process, err := r.peers.Dial(name)
	if err != nil {
		return 0
	}
	force, err := process.InForce(context.Background(), &peer.InForceRequest{})
	if err != nil || !force.Ready {
		return 0
	}
	return force.Revision
}

// sampleFloors checks through every entry host that the number of hosts of a
// pool that accept work never falls below the floor of any data centre.
func (r *region) sampleFloors(pool string, floors map[string]int) *sampler {
	return startSampler(r.hostNames(), func(_ context.Context, name string, s *sampler) {
		hosts, err := getJSON[query.Hosts](r.host(name), "/v1/hosts?pool="+pool)
		if err != nil {
			return
		}
		known, ready := map[string]int{}, map[string]int{}
		for i := range hosts.Hosts {
			h := &hosts.Hosts[i]
			known[h.Info.DataCentre]++
			if h.State == model.HostReady && !h.Info.Leaving {
				ready[h.Info.DataCentre]++
			}
		}
		for dataCentre, floor := range floors {
			if known[dataCentre] == 0 {
				continue // the leader of this data centre was not reached
			}
			s.countSample(dataCentre)
			if ready[dataCentre] < floor {
				s.addViolation("%s: %d hosts of %s accept work, the floor is %d", dataCentre, ready[dataCentre], pool, floor)
			}
		}
	})
}
