package founding_test

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

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/founding"
)

func TestFounding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "founding")
}

// hurried is a clock on which time passes a hundred times as fast.
type hurried struct{ start time.Time }

const haste = 100

func (h hurried) Now() time.Time { return h.start.Add(haste * time.Since(h.start)) }

func (h hurried) After(d time.Duration) <-chan time.Time { return clock.System{}.After(d / haste) }

// seeds are acceptors by host. Calls to hosts that are not there fail, and so
// does the share lost of the answers.
type seeds struct {
	acceptors map[string]*founding.Acceptor
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

func (s *seeds) call(_ context.Context, seed string, r *founding.Request) (*founding.Answer, error) {
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
	s := &seeds{acceptors: map[string]*founding.Acceptor{}, random: rand.New(rand.NewPCG(1, 1))}
	for _, h := range hosts {
		s.acceptors[h] = founding.NewAcceptor(true)
	}
	return s
}

// agree lets the candidates agree, and returns what each of them was told.
func agree(s *seeds, names []string, candidates ...founding.Candidate) [][]string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out := make([][]string, len(candidates))
	var wg sync.WaitGroup
	for i, c := range candidates {
		wg.Go(func() {
			out[i] = founding.Agree(ctx, founding.Config{
				Self: c, Seeds: names, Call: s.call, Clock: hurried{time.Now()}, Log: zerolog.Nop(),
			})
		})
	}
	wg.Wait()
	Expect(ctx.Err()).NotTo(HaveOccurred(), "no agreement")
	return out
}

func core(n, dataCentres int) (out []founding.Candidate) {
	for i := range n {
		out = append(out, founding.Candidate{Host: fmt.Sprintf("core%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	return out
}

var names = []string{"entry1", "entry2", "core1"}

var _ = Describe("the first members of the core", func() {
	It("are agreed on although no seed is a host of the core", func() {
		// Guards against a region that never starts, since its core takes the
		// seeds for its members while they are entry hosts.
		told := agree(newSeeds("entry1", "entry2", "entry3"), []string{"entry1", "entry2", "entry3"}, core(3, 3)...)
		Expect(told).To(HaveEach([]string{"core0", "core1", "core2"}))
	})

	It("are three, of different data centres, though more hosts start", func() {
		// Guards against a first group that one data centre can take down.
		told := agree(newSeeds(names...), names, core(8, 4)...)
		Expect(told).To(HaveEach([]string{"core0", "core1", "core2"}))
		twoEach := []founding.Candidate{{"a", "1"}, {"b", "1"}, {"c", "2"}, {"d", "2"}, {"e", "3"}}
		Expect(agree(newSeeds(names...), names, twoEach...)).To(HaveEach([]string{"a", "c", "e"}))
	})

	It("are agreed on with one host, with two, and with a seed that is away", func() {
		// Guards against a start that waits for hosts that do not exist.
		Expect(agree(newSeeds("core0"), []string{"core0"}, core(1, 1)...)).To(HaveEach([]string{"core0"}))
		Expect(agree(newSeeds("entry1", "core1"), names, core(2, 2)...)).To(HaveEach([]string{"core0", "core1"}))
	})

	It("are the same for all, whatever is lost on the way", func() {
		// Guards against two groups that each take themselves for the region.
		for seed := range uint64(30) {
			s := newSeeds(names...)
			s.lost, s.random = 0.4, rand.New(rand.NewPCG(seed, 7))
			told := agree(s, names, core(5, 3)...)
			Expect(told).To(HaveEach(told[0]), "seed %d", seed)
		}
	})

	It("are not decided anew where the region exists", func() {
		// Guards against a second region beside the one that a late host could join.
		s := newSeeds(names...)
		s.exists = true
		Expect(agree(s, names, core(1, 1)...)).To(HaveEach(BeNil()))
	})

	It("are not decided by seeds that were started again", func() {
		// Guards against a seed that forgot its promise, and a second decision.
		s := newSeeds(names...)
		first := agree(s, names, core(3, 3)...)
		s.acceptors["entry1"], s.acceptors["entry2"] = founding.NewAcceptor(false), founding.NewAcceptor(false)
		Expect(agree(s, names, founding.Candidate{Host: "late"})).To(HaveEach(first[0]))
		s.acceptors["core1"] = founding.NewAcceptor(false)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		Expect(founding.Agree(ctx, founding.Config{
			Self: founding.Candidate{Host: "late"}, Seeds: names, Call: s.call, Clock: hurried{time.Now()}, Log: zerolog.Nop(),
		})).To(BeNil())
	})
})
