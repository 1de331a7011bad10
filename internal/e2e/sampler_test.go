package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

// sampleEvery is the pause between two samples. It is far below the time in
// which a process starts, so every restart is seen.
const sampleEvery = 20 * time.Millisecond

// sampler repeats an observation in the background until it is stopped.
type sampler struct {
	stop func()

	mu      sync.Mutex
	faults  []string
	samples map[string]int
}

// sample starts one goroutine for each name.
func sample(names []string, observe func(ctx context.Context, name string, s *sampler)) *sampler {
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
			tick := time.NewTicker(sampleEvery)
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

func (s *sampler) seen(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples[name]++
}

func (s *sampler) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// expectNone stops the sampler and checks that it saw every name at least the
// given number of times and found no fault.
func (s *sampler) expectNone(names []string, least int) {
	GinkgoHelper()
	s.stop()
	Expect(s.faults).To(BeEmpty())
	for _, name := range names {
		Expect(s.samples[name]).To(BeNumerically(">=", least), "samples of %s", name)
	}
}

func (r *region) names() []string {
	var out []string
	for _, h := range r.hosts {
		out = append(out, h.name)
	}
	return out
}

// directPeers calls the peer listeners directly, not through the links, so
// that it reaches hosts that are cut off from each other.
func (r *region) directPeers() peer.Dialer {
	addresses := map[string]string{}
	for _, h := range r.hosts {
		addresses[h.name] = h.peer
	}
	cfg := peer.DialerConfig{Addresses: addresses, Clock: clock.System{}}
	if r.authority != nil {
		cfg.TLS = r.authority.client("test")
	}
	return peer.NewDialer(cfg)
}

// sampleRevisions observes on every host, also across its restarts, that the
// revision in force never falls. A process that is not ready has not read the
// records yet and decides by none.
func (r *region) sampleRevisions() *revisions {
	w := &revisions{highest: map[string]uint64{}}
	w.sampler = sample(r.names(), func(ctx context.Context, name string, s *sampler) {
		process, err := r.peers.Dial(name)
		if err != nil {
			s.fault("%s: %v", name, err)
			return
		}
		force, err := process.InForce(ctx, &peer.InForceRequest{})
		if err != nil || !force.Ready && force.Revision == 0 {
			return
		}
		s.seen(name)
		w.mu.Lock()
		defer w.mu.Unlock()
		if force.Revision < w.highest[name] {
			s.fault("%s fell from revision %d to %d", name, w.highest[name], force.Revision)
		}
		w.highest[name] = max(w.highest[name], force.Revision)
	})
	return w
}

// revisions samples the revisions in force.
type revisions struct {
	*sampler
	mu      sync.Mutex
	highest map[string]uint64
}

// restart starts a host whose data centre has adopted a revision meanwhile.
// The host must not decide by an earlier one, which its own disk may hold.
func (w *revisions) restart(r *region, h *host, other string, revision uint64) {
	GinkgoHelper()
	Eventually(func() uint64 { return r.revisionOf(other) }).WithTimeout(settleLimit).WithPolling(pollEvery).
		Should(BeNumerically(">=", revision))
	w.mu.Lock()
	w.highest[h.name] = max(w.highest[h.name], revision)
	w.mu.Unlock()
	r.start(h)
}

// revisionOf returns the revision in force in one process, or 0.
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

// sampleFloors observes through every entry host that the hosts of a pool
// that accept work never fall below the floors.
func (r *region) sampleFloors(pool string, floors map[string]int) *sampler {
	return sample(r.names(), func(_ context.Context, name string, s *sampler) {
		hosts, err := get[query.Hosts](r.host(name), "/v1/hosts?pool="+pool)
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
				continue // its leader was not reached
			}
			s.seen(dataCentre)
			if ready[dataCentre] < floor {
				s.fault("%s: %d hosts of %s accept work, the floor is %d", dataCentre, ready[dataCentre], pool, floor)
			}
		}
	})
}
