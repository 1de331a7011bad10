package bootstrap_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
)

func TestBootstrap(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bootstrap")
}

// fastClock is a clock that runs a hundred times as fast as the system's.
type fastClock struct{ start time.Time }

const speedup = 100

func (c fastClock) Now() time.Time { return c.start.Add(speedup * time.Since(c.start)) }

func (c fastClock) After(d time.Duration) <-chan time.Time { return clock.System{}.After(d / speedup) }

// seeds are acceptors by host. Calls to unknown hosts fail. Requests and answers are
// each lost with probability lost.
type seeds struct {
	acceptors map[string]*bootstrap.Acceptor
	exists    bool
	lost      float64

	mu     sync.Mutex
	random *rand.Rand
}

func (s *seeds) drop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < s.lost
}

func (s *seeds) call(_ context.Context, seed string, r *bootstrap.Request) (*bootstrap.Answer, error) {
	a := s.acceptors[seed]
	if a == nil || s.drop() {
		return nil, &fault.Unavailable{What: seed, Reason: "it is away"}
	}
	answer := a.Handle(r)
	answer.GroupExists = s.exists
	if s.drop() {
		return nil, &fault.ConnectionLost{Address: seed, Reason: "the answer is lost"}
	}
	return answer, nil
}

func newSeeds(hosts ...string) *seeds {
	s := &seeds{acceptors: map[string]*bootstrap.Acceptor{}, random: rand.New(rand.NewPCG(1, 1))}
	for _, h := range hosts {
		s.acceptors[h] = bootstrap.NewAcceptor(true)
	}
	return s
}

// agree runs all candidates at once, and returns the members that each of them learns.
func agree(s *seeds, names []string, candidates ...bootstrap.Candidate) [][]string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out := make([][]string, len(candidates))
	var wg sync.WaitGroup
	for i, c := range candidates {
		wg.Go(func() {
			out[i] = bootstrap.Agree(ctx, bootstrap.Config{
				Self: c, Seeds: names, Call: s.call, Clock: fastClock{time.Now()}, Log: zerolog.Nop(),
			})
		})
	}
	wg.Wait()
	Expect(ctx.Err()).NotTo(HaveOccurred(), "no agreement")
	return out
}

func coreCandidates(n, dataCentres int) (out []bootstrap.Candidate) {
	for i := range n {
		out = append(out, bootstrap.Candidate{Host: fmt.Sprintf("core%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	return out
}

var names = []string{"entry1", "entry2", "core1"}

var _ = Describe("the initial members of the core", func() {
	It("are agreed on although no seed is a host of the core", func() {
		// Guards against a region that never starts, because the core hosts assume
		// that the seeds are the members although they are entry hosts.
		members := agree(newSeeds("entry1", "entry2", "entry3"), []string{"entry1", "entry2", "entry3"}, coreCandidates(3, 3)...)
		Expect(members).To(HaveEach([]string{"core0", "core1", "core2"}))
	})

	It("are three, of different data centres, though more hosts start", func() {
		// Guards against an initial group that loses its quorum with one data centre.
		members := agree(newSeeds(names...), names, coreCandidates(8, 4)...)
		Expect(members).To(HaveEach([]string{"core0", "core1", "core2"}))
		twoEach := []bootstrap.Candidate{{"a", "1"}, {"b", "1"}, {"c", "2"}, {"d", "2"}, {"e", "3"}}
		Expect(agree(newSeeds(names...), names, twoEach...)).To(HaveEach([]string{"a", "c", "e"}))
	})

	It("are agreed on with one host, with two, and with a seed that is down", func() {
		// Guards against a first start that waits for hosts that do not exist.
		Expect(agree(newSeeds("core0"), []string{"core0"}, coreCandidates(1, 1)...)).To(HaveEach([]string{"core0"}))
		Expect(agree(newSeeds("entry1", "core1"), names, coreCandidates(2, 2)...)).To(HaveEach([]string{"core0", "core1"}))
	})

	It("are the same for all candidates despite lost messages", func() {
		// Guards against two groups that are formed side by side for one region.
		for seed := range uint64(30) {
			s := newSeeds(names...)
			s.lost, s.random = 0.4, rand.New(rand.NewPCG(seed, 7))
			members := agree(s, names, coreCandidates(5, 3)...)
			Expect(members).To(HaveEach(members[0]), "seed %d", seed)
		}
	})

	It("are not decided again if the region exists", func() {
		// Guards against a second group: a host that starts late must join the first.
		s := newSeeds(names...)
		s.exists = true
		Expect(agree(s, names, coreCandidates(1, 1)...)).To(HaveEach(BeNil()))
	})

	It("are not decided by seeds that have restarted", func() {
		// Guards against a second decision by a seed that has lost its promises.
		s := newSeeds(names...)
		first := agree(s, names, coreCandidates(3, 3)...)
		s.acceptors["entry1"], s.acceptors["entry2"] = bootstrap.NewAcceptor(false), bootstrap.NewAcceptor(false)
		Expect(agree(s, names, bootstrap.Candidate{Host: "late"})).To(HaveEach(first[0]))
		s.acceptors["core1"] = bootstrap.NewAcceptor(false)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		Expect(bootstrap.Agree(ctx, bootstrap.Config{
			Self: bootstrap.Candidate{Host: "late"}, Seeds: names, Call: s.call, Clock: fastClock{time.Now()}, Log: zerolog.Nop(),
		})).To(BeNil())
	})
})
