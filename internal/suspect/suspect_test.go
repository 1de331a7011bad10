package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/suspect"
)

func TestSuspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspect")
}

var start = time.UnixMilli(1_000_000)

// runs records n runs of a kind, of which the first failed ones fail.
func runs(t *suspect.Tracker, host, kind string, n, failed int) {
	for i := range n {
		t.Record(suspect.Run{Host: host, Kind: kind, Idempotent: kind != "order", Failed: i < failed, At: start})
	}
}

func fleet(n int) []suspect.Host {
	var out []suspect.Host
	for i := range n {
		out = append(out, suspect.Host{Name: fmt.Sprintf("h%d", i), Pool: "a", Ready: true})
	}
	return out
}

var _ = Describe("attribution", func() {
	var t *suspect.Tracker
	BeforeEach(func() { t = suspect.New(suspect.DefaultSettings()) })

	It("sets aside the host that fails everything", func() {
		// Guards against a host that drains the queue by failing every job fast.
		runs(t, "h0", "proof", 10, 10)
		for _, h := range []string{"h1", "h2", "h3"} {
			runs(t, h, "proof", 20, 1)
		}
		Expect(t.Decide(start, fleet(4))).To(Equal([]suspect.Decision{{
			Host: "h0", Action: suspect.ActionSetAside,
			Reason: "10 of 10 runs failed here, 3 of 60 runs of the same job kinds failed elsewhere",
		}}))
		Expect(t.FaultyKinds(start)).To(BeEmpty())
	})

	It("finds the kind faulty, not the hosts, if it fails everywhere", func() {
		// Guards against a broken job kind that empties a pool host by host.
		for _, h := range []string{"h0", "h1", "h2", "h3"} {
			runs(t, h, "broken", 20, 20)
			runs(t, h, "proof", 20, 0)
		}
		runs(t, "h0", "broken", 60, 60)
		Expect(t.Decide(start, fleet(4))).To(BeEmpty())
		Expect(t.FaultyKinds(start)).To(Equal([]suspect.FaultyKind{{Kind: "broken", Reason: "140 of 140 runs failed on 4 hosts"}}))
	})

	It("needs enough runs here and elsewhere", func() {
		// Guards against a set-aside after a few unlucky runs, or without any
		// comparison.
		runs(t, "h0", "proof", 4, 4)
		runs(t, "h1", "proof", 30, 0)
		runs(t, "h2", "proof", 30, 0)
		runs(t, "h1", "alone", 30, 30)
		runs(t, "h1", "pair", 30, 30)
		runs(t, "h2", "pair", 30, 0)
		runs(t, "h0", "rare", 10, 10)
		runs(t, "h1", "rare", 2, 0)
		runs(t, "h2", "rare", 2, 0)
		Expect(t.Decide(start, fleet(3))).To(BeEmpty())
	})

	It("does not take few successes elsewhere for a failure rate of zero", func() {
		// Guards against a set-aside on the first failures of a new job kind.
		runs(t, "h0", "proof", 6, 4)
		runs(t, "h1", "proof", 3, 0)
		runs(t, "h2", "proof", 3, 0)
		Expect(t.Decide(start, fleet(3))).To(BeEmpty())
	})

	It("finds several failing hosts and sets them aside one at a time", func() {
		// Guards against failing hosts that make each other look normal, and against
		// a pool that loses several hosts at once for one cause.
		for limit := 1; limit <= 2; limit++ {
			s := suspect.DefaultSettings()
			s.MaxPerPool = limit
			t := suspect.New(s)
			runs(t, "h0", "proof", 30, 30)
			runs(t, "h1", "proof", 8, 8)
			for _, h := range []string{"h2", "h3", "h4", "h5"} {
				runs(t, h, "proof", 8, 0)
			}
			Expect(t.Decide(start, fleet(6))).To(HaveLen(limit))
		}
	})

	It("bounds the runs that it counts", func() {
		// Guards against memory that grows with job kinds and hosts.
		for i := range 40000 {
			runs(t, fmt.Sprintf("h%d", 1+i%8), fmt.Sprint("kind", i/8), 1, 0)
		}
		runs(t, "h1", "kind0", 30, 0)
		runs(t, "h2", "kind0", 30, 0)
		runs(t, "h0", "kind0", 30, 30)
		Expect(t.Decide(start, fleet(3))).To(BeEmpty(), "the table was full before the first run on h0")
	})

	It("does not suspect healthy hosts because of random failures", func() {
		// Guards against set-asides caused by testing random failures repeatedly.
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 0))
			t := suspect.New(suspect.DefaultSettings())
			for range 2000 {
				t.Record(suspect.Run{Host: fmt.Sprintf("h%d", rng.IntN(10)), Kind: "proof", Failed: rng.Float64() < 0.2, At: start})
			}
			Expect(t.Decide(start, fleet(10))).To(BeEmpty(), "seed %d", seed)
		}
	})

	It("drops runs after their window", func() {
		// Guards against a repaired host that is set aside for old failures.
		runs(t, "h0", "proof", 10, 10)
		runs(t, "h1", "proof", 30, 0)
		runs(t, "h2", "proof", 30, 0)
		Expect(t.Decide(start.Add(6*time.Minute), fleet(3))).To(HaveLen(1))
		Expect(t.Decide(start.Add(12*time.Minute), fleet(3))).To(BeEmpty())
	})
})

var _ = Describe("probes", func() {
	It("probes with a healthy idempotent kind and resumes after successes", func() {
		// Guards against a probe that runs a non-idempotent job, and against a
		// host that stays set aside for ever.
		t := suspect.New(suspect.DefaultSettings())
		for _, h := range []string{"h1", "h2", "h3"} {
			runs(t, h, "order", 30, 0)
			runs(t, h, "proof", 30, 3)
			runs(t, h, "broken", 30, 30)
		}
		runs(t, "h0", "proof", 30, 30)
		hosts := fleet(4)
		hosts[0].Ready, hosts[0].SetAside = false, true
		now := start
		decide := func(after time.Duration) []suspect.Decision {
			now = now.Add(after)
			return t.Decide(now, hosts)
		}
		Expect(decide(0)).To(BeEmpty())
		probe := decide(30 * time.Second)
		Expect(probe).To(HaveLen(1))
		Expect(probe[0]).To(And(HaveField("Action", suspect.ActionProbe), HaveField("Kind", "proof")))
		t.RecordProbe("h0", true, now)
		Expect(decide(30*time.Second)).To(BeEmpty(), "the wait doubles after a failed probe")
		Expect(decide(30 * time.Second)).To(HaveLen(1))
		t.RecordProbe("h0", false, now)
		Expect(decide(time.Minute)).To(HaveLen(1))
		t.RecordProbe("h0", false, now)
		Expect(decide(0)).To(Equal([]suspect.Decision{{Host: "h0", Action: suspect.ActionResume, Reason: "2 probes in a row succeeded"}}))
		Expect(t.Decide(now, fleet(4))).To(BeEmpty(), "the old failures do not count again")
	})

	It("keeps a host in service that an operator resumed, and probes across windows", func() {
		// Guards against a set-aside that an operator cannot end, and against
		// probes that stop when a new window begins.
		t := suspect.New(suspect.DefaultSettings())
		for _, h := range []string{"h1", "h2", "h3"} {
			runs(t, h, "proof", 30, 0)
		}
		runs(t, "h0", "proof", 30, 30)
		hosts := fleet(4)
		hosts[0].Ready, hosts[0].SetAside = false, true
		Expect(t.Decide(start, hosts)).To(BeEmpty())
		Expect(t.Decide(start.Add(6*time.Minute), hosts)).To(HaveLen(1), "probe")
		now := start.Add(6 * time.Minute)
		t.Decide(now, []suspect.Host{hosts[1], hosts[2], hosts[3]})
		Expect(t.Decide(now, fleet(4))).To(BeEmpty())
	})
})
