package drain_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/drain"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

// fleet returns n hosts with equal runs.
func fleet(prefix string, n, longLived, short int) []drain.Host {
	var out []drain.Host
	for i := range n {
		h := drain.Host{Name: prefix + strconv.Itoa(i), ShortRuns: short}
		for k := range longLived {
			h.LongLived = append(h.LongLived, prefix+"-job"+strconv.Itoa(k))
		}
		out = append(out, h)
	}
	return out
}

var _ = Describe("Choose", func() {
	It("drains no more hosts at a time than the due time requires", func() {
		// Guards against a demand peak that lacks capacity because all hosts that may
		// be down are drained, while half of the fleet is due for maintenance.
		w := &drain.Wave{Hosts: fleet("a", 24, 0, 6), DownBudget: 10, RemainingMS: 40000, HostDownMS: 2000}
		Expect(drain.Choose(w)).To(HaveLen(4)) // 24 x 4 s in 0.6 x 40 s
	})

	It("leaves out hosts that cannot be emptied, also those that it chose before", func() {
		// Guards against a host that stays reserved for ever, and against a wave that stands
		// still because its first host cannot be emptied.
		hosts := fleet("a", 3, 1, 0)
		hosts[0].Draining = true
		w := &drain.Wave{
			Hosts: hosts, DownBudget: 1, RemainingMS: 40000, HostDownMS: 2000,
			CanEmpty: func(host string) bool { return host != "a0" },
		}
		Expect(drain.Choose(w)).To(Equal([]string{"a1"}))
	})

	It("takes all spare hosts that may be down", func() {
		// Between two demand peaks half of the hosts are idle.
		spare := fleet("b", 12, 0, 0)
		for i := range spare {
			spare[i].Spare = true
		}
		w := &drain.Wave{Hosts: append(fleet("a", 12, 0, 6), spare...), DownBudget: 10, RemainingMS: 60000, HostDownMS: 2000}
		Expect(drain.Choose(w)).To(HaveLen(10))
		Expect(drain.Choose(w)).To(HaveEach(HavePrefix("b")))
	})

	It("takes all hosts that may be down once the wave is late", func() {
		w := &drain.Wave{Hosts: fleet("a", 24, 2, 6), DownBudget: 10, RemainingMS: -1, HostDownMS: 2000}
		Expect(drain.Choose(w)).To(HaveLen(10))
	})

	It("keeps draining what it chose before, then takes the hosts with the least work", func() {
		hosts := fleet("a", 6, 0, 6)
		hosts[4].Draining = true
		w := &drain.Wave{Hosts: append(hosts, fleet("b", 8, 0, 1)...), DownBudget: 3, RemainingMS: 60000, HostDownMS: 2000}
		Expect(drain.Choose(w)).To(Equal([]string{"a4", "b0"})) // 56 s in 36 s
	})

	It("begins early with the hosts that long-lived runs leave one by one", func() {
		// A step has 24 long-lived runs on as many hosts, half of which are due, among
		// many hosts with short runs. Moving the runs one by one takes half the time.
		w := &drain.Wave{Hosts: append(fleet("a", 100, 0, 6), fleet("b", 13, 1, 6)...), DownBudget: 70, RemainingMS: 24000, HostDownMS: 2000}
		chosen := drain.Choose(w)
		Expect(chosen[:2]).To(HaveEach(HavePrefix("b")))
		Expect(chosen[2:]).To(HaveEach(HavePrefix("a")), "more would only wait")
	})

	It("moves the runs of several long-lived jobs in parallel, the job with the most hosts first", func() {
		// Guards against a job whose runs begin to move only after those of another
		// job.
		hosts := append(fleet("a", 4, 1, 6), append(fleet("b", 17, 1, 6), fleet("c", 100, 0, 6)...)...)
		w := &drain.Wave{Hosts: hosts, DownBudget: 70, RemainingMS: 24000, HostDownMS: 2000}
		chosen := drain.Choose(w)
		Expect(chosen[:2]).To(HaveEach(HavePrefix("b")))
		Expect(chosen[2]).To(HavePrefix("a"))
		Expect(chosen[3:]).To(HaveEach(HavePrefix("c")))
	})

	It("keeps most hosts of a pool with long-lived runs while there is time", func() {
		// Guards against a pool of four hosts that loses all of them at once.
		w := &drain.Wave{Hosts: fleet("b", 4, 2, 2), DownBudget: 4, RemainingMS: 60000, HostDownMS: 2000}
		Expect(drain.Choose(w)).To(HaveLen(1))
	})
})
