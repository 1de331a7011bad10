package experiment_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/experiment"
	"agatehaven.dev/agatehaven/internal/placement"
)

func waiting(n int, pool string, run time.Duration) []experiment.SpillRequest {
	var out []experiment.SpillRequest
	for i := range n {
		out = append(out, experiment.SpillRequest{Key: fmt.Sprintf("%s-%d", pool, i), Pool: pool, RunTime: run})
	}
	return out
}

func other(dataCentre int, delay time.Duration, free map[string]int) experiment.OtherDataCentre {
	return experiment.OtherDataCentre{DataCentre: dataCentre, Delay: delay, Load: experiment.Load{
		Free: free, Slots: map[string]int{"a": 8}, Ahead: map[string]time.Duration{},
	}}
}

// randomInput generates any state that the policy may see, including negative
// numbers of free slots: the offers sent since a stale view are subtracted from
// it.
func randomInput(rng *rand.Rand) experiment.SpillInput {
	in := experiment.SpillInput{
		Slots: map[string]int{}, RunningMean: map[string]time.Duration{}, Ahead: map[string]time.Duration{},
	}
	pools := []string{"a", "b", "spare"}
	for _, pool := range pools {
		in.Slots[pool] = rng.IntN(17)
		in.RunningMean[pool] = time.Duration(rng.IntN(5000)) * time.Millisecond
		in.Ahead[pool] = time.Duration(rng.IntN(5000)) * time.Millisecond
	}
	for i := range rng.IntN(40) {
		in.Waiting = append(in.Waiting, experiment.SpillRequest{
			Key: fmt.Sprint(i), Pool: pools[rng.IntN(2)], RunTime: time.Duration(rng.IntN(4)) * 5 * time.Second, Tries: rng.IntN(3),
		})
	}
	for i := range rng.IntN(3) {
		free := map[string]int{}
		for _, pool := range pools {
			free[pool] = rng.IntN(12) - 2
		}
		in.Others = append(in.Others, other(i+1, time.Duration(rng.IntN(3))*time.Millisecond, free))
	}
	return in
}

var _ = Describe("SpillPolicy", func() {
	It("sends each request once and counts on each free slot once", func() {
		// Guards against two requests on one slot, against a request in two
		// data centres, and against decisions that change or depend on anything
		// but their input.
		for seed := range uint64(500) {
			in := randomInput(rand.New(rand.NewPCG(seed, 0)))
			same := randomInput(rand.New(rand.NewPCG(seed, 0)))
			p := experiment.SpillPolicy{MaxTries: 2, LendMaxRunTime: time.Duration(seed%3) * 5 * time.Second, After: time.Duration(seed%2) * time.Second}
			out := p.Choose(in)
			Expect(in).To(Equal(same), "seed %d: the input is unchanged", seed)
			Expect(p.Choose(in)).To(Equal(out), "seed %d", seed)
			byKey := map[string]experiment.SpillRequest{}
			for _, r := range in.Waiting {
				byKey[r.Key] = r
			}
			used := map[string]int{}
			for _, s := range out {
				r, ok := byKey[s.Key]
				Expect(ok).To(BeTrue(), "seed %d: request %s is sent twice or does not wait", seed, s.Key)
				delete(byKey, s.Key)
				Expect(r.Tries).To(BeNumerically("<", p.MaxTries), "seed %d", seed)
				Expect(s.Pool == r.Pool || r.RunTime > 0 && r.RunTime <= p.LendMaxRunTime).To(BeTrue(), "seed %d: a lent slot needs a short run", seed)
				place := fmt.Sprintf("%d/%s", s.DataCentre, s.Pool)
				used[place]++
				Expect(used[place]).To(BeNumerically("<=", in.Others[s.DataCentre-1].Free[s.Pool]), "seed %d: %s", seed, place)
			}
		}
	})

	It("sends only requests whose expected wait is above the threshold", func() {
		// Guards against a spill that costs more than the wait that it saves.
		in := experiment.SpillInput{
			Waiting: waiting(6, "a", 4*time.Second), Slots: map[string]int{"a": 8},
			RunningMean: map[string]time.Duration{"a": 4 * time.Second},
			Others:      []experiment.OtherDataCentre{other(1, time.Millisecond, map[string]int{"a": 2})},
		}
		p := experiment.SpillPolicy{MaxTries: 1, After: time.Second}
		Expect(p.Choose(in)).To(Equal([]experiment.Spill{{Key: "a-2", DataCentre: 1, Pool: "a"}, {Key: "a-3", DataCentre: 1, Pool: "a"}}))
		in.Slots["a"] = 0
		Expect(p.Choose(in)[0].Key).To(Equal("a-0"), "without hosts at home the wait has no bound")
		for i := range in.Waiting {
			in.Waiting[i].Tries = 1
		}
		Expect(p.Choose(in)).To(BeEmpty(), "a refused request stays")
	})

	It("prefers the most free slots, then the nearer data centre, then lent slots", func() {
		// Guards against needless network delay, and against lent slots while
		// slots of the request's own pool are idle.
		in := experiment.SpillInput{Waiting: waiting(1, "a", time.Second), Slots: map[string]int{"a": 8}}
		p := experiment.SpillPolicy{MaxTries: 1, LendMaxRunTime: time.Second}
		for _, c := range []struct {
			near, far map[string]int
			want      experiment.Spill
		}{
			{map[string]int{"a": 1}, map[string]int{"a": 2}, experiment.Spill{Key: "a-0", DataCentre: 2, Pool: "a"}},
			{map[string]int{"a": 2}, map[string]int{"a": 2}, experiment.Spill{Key: "a-0", DataCentre: 1, Pool: "a"}},
			{map[string]int{"b": 9, "spare": 9}, map[string]int{"a": 1}, experiment.Spill{Key: "a-0", DataCentre: 2, Pool: "a"}},
			{map[string]int{"b": 9, "spare": 1}, map[string]int{}, experiment.Spill{Key: "a-0", DataCentre: 1, Pool: "spare"}},
			{map[string]int{"b": 3, "c": 4}, map[string]int{}, experiment.Spill{Key: "a-0", DataCentre: 1, Pool: "c"}},
		} {
			in.Others = []experiment.OtherDataCentre{other(1, time.Millisecond, c.near), other(2, 2*time.Millisecond, c.far)}
			Expect(p.Choose(in)).To(Equal([]experiment.Spill{c.want}))
		}
	})

	It("steers to the shortest expected wait only if that is shorter than at home", func() {
		// Guards against requests that leave for a longer queue.
		in := experiment.SpillInput{
			Slots: map[string]int{"a": 8}, Ahead: map[string]time.Duration{"a": 16 * time.Second},
			Others: []experiment.OtherDataCentre{other(1, time.Millisecond, nil), other(2, time.Millisecond, nil)},
		}
		in.Others[0].Ahead["a"], in.Others[1].Ahead["a"] = 10*time.Second, 8*time.Second
		r, p := waiting(1, "a", time.Second)[0], experiment.SpillPolicy{MaxTries: 1}
		to, ok := p.Steer(in, r)
		Expect(ok).To(BeTrue())
		Expect(to.DataCentre).To(Equal(2))
		p.After = 3 * time.Second
		_, ok = p.Steer(in, r)
		Expect(ok).To(BeFalse(), "the wait at home is below the threshold")
		p.After = 0
		in.Others[0].Ahead["a"], in.Others[1].Ahead["a"] = 16*time.Second, 20*time.Second
		_, ok = p.Steer(in, r)
		Expect(ok).To(BeFalse(), "an equal wait does not pay for the delay")
	})

	It("offers no slot of the reserve, of a pool with waiting requests or of a lost host", func() {
		// Guards against spilled work that takes slots which the other data
		// centre needs itself.
		hosts := []placement.Host{
			{Name: "1", Pool: "a", Available: true, Slots: 8, UsedSlots: 2}, {Name: "2", Pool: "a", Slots: 8},
			{Name: "3", Pool: "b", Available: true, Slots: 8}, {Name: "4", Pool: "c", Available: true, Slots: 8, UsedSlots: 7},
		}
		p := experiment.SpillPolicy{Reserve: 0.25}
		Expect(p.FreeForSpill(hosts, map[string]int{"b": 1})).To(Equal(map[string]int{"a": 4, "b": 0, "c": 0}))
	})
})
