package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func host(name, pool, rack string, slots, used int) placement.Host {
	return placement.Host{
		Name: name, Pool: pool, Rack: rack, Available: true, Slots: slots, UsedSlots: used,
		CPUMillis: slots * 1000, MemoryMB: slots * 1000, UsedCPUMillis: used * 1000, UsedMemoryMB: used * 1000,
	}
}

func request(key, pool string, p model.Priority) placement.Request {
	return placement.Request{Key: key, Pool: pool, Team: "t", Priority: p, CPUMillis: 1000, MemoryMB: 1000, RunTime: time.Second}
}

func placedOn(plan placement.Plan) map[string]string {
	out := map[string]string{}
	for _, d := range plan.Decisions {
		out[d.Key] = d.Host
	}
	return out
}

func requests(n int, pool string, p model.Priority) []placement.Request {
	var out []placement.Request
	for i := range n {
		out = append(out, request(fmt.Sprintf("%s-%s-%04d", pool, p, i), pool, p))
	}
	return out
}

var _ = Describe("Plan", func() {
	It("serves urgent before normal before patient requests", func() {
		// Guards against urgent work that waits behind patient work.
		plan := placement.Policy{AgeAfter: time.Hour}.Plan(placement.Input{
			Queued: []placement.Request{
				request("p", "a", model.Patient), request("n", "a", model.Normal), request("u", "a", model.Urgent),
			},
			Hosts: []placement.Host{host("h1", "a", "r1", 2, 0)},
		})
		Expect(placedOn(plan)).To(Equal(map[string]string{"u": "h1", "n": "h1"}))
		Expect(plan.Waits).To(Equal([]placement.WaitCount{{Pool: "a", Priority: model.Patient, Reason: "no free slot", Count: 1}}))
	})

	It("keeps the urgent reserve free of other work", func() {
		// Guards against urgent work that finds no free slot.
		in := placement.Input{
			Queued: requests(20, "a", model.Normal),
			Hosts:  []placement.Host{host("h1", "a", "r1", 8, 0), host("h2", "a", "r1", 8, 0)},
			Pools:  map[string]placement.Pool{"a": {ServesUrgent: true}},
		}
		p := placement.Policy{UrgentReserve: 0.25, AgeAfter: time.Hour}
		Expect(p.Plan(in).Decisions).To(HaveLen(12))
		in.Pools["a"] = placement.Pool{ServesUrgent: true, Running: map[model.Priority]int{model.Urgent: 3}}
		Expect(p.Plan(in).Decisions).To(HaveLen(15), "running urgent work uses up the reserve")
		in.Pools["a"] = placement.Pool{}
		Expect(p.Plan(in).Decisions).To(HaveLen(16), "no reserve without urgent kinds")
	})

	It("gives aged patient work its share under a steady urgent load", func() {
		// Guards against patient work that never finishes.
		in := placement.Input{
			Queued: append(requests(50, "a", model.Urgent), requests(3, "a", model.Patient)...),
			Hosts:  []placement.Host{host("h1", "a", "r1", 8, 7)},
		}
		p := placement.Policy{AgedShare: 0.1, AgeAfter: 30 * time.Second}
		Expect(placedOn(p.Plan(in))).To(HaveKey("a-urgent-0000"))
		in.Queued[51].Waiting = 30 * time.Second
		Expect(placedOn(p.Plan(in))).To(Equal(map[string]string{"a-patient-0001": "h1"}))
		in.Pools = map[string]placement.Pool{"a": {Running: map[model.Priority]int{model.Patient: 1}}}
		Expect(placedOn(p.Plan(in))).To(HaveKey("a-urgent-0000"), "the share is used up")
	})

	It("counts a request as aged when its deadline leaves little slack", func() {
		// Guards against patient work that starts too late for its deadline.
		in := placement.Input{
			Queued: append(requests(2, "a", model.Urgent), requests(1, "a", model.Patient)...),
			Hosts:  []placement.Host{host("h1", "a", "r1", 1, 0)},
		}
		in.Queued[2].Slack = 2 * time.Second
		p := placement.Policy{AgedShare: 0.1, AgeAfter: time.Hour}
		Expect(placedOn(p.Plan(in))).To(Equal(map[string]string{"a-patient-0000": "h1"}))
	})

	It("enforces the quota of a team and serves the other teams", func() {
		// Guards against one team that takes the whole pool.
		in := placement.Input{
			Queued: requests(4, "a", model.Normal), Hosts: []placement.Host{host("h1", "a", "r1", 8, 0)},
			TeamRunning: map[string]int{"t": 1}, TeamLimit: map[string]int{"t": 2},
		}
		in.Queued[3].Team = "other"
		plan := placement.Policy{AgeAfter: time.Hour}.Plan(in)
		Expect(placedOn(plan)).To(Equal(map[string]string{"a-normal-0000": "h1", "a-normal-0003": "h1"}))
		Expect(plan.Waits[0].Reason).To(Equal("quota of the team is used up"))
	})

	It("spreads over racks, then takes the least loaded host", func() {
		// Guards against a rack whose loss interrupts most of a pool.
		in := placement.Input{
			Queued: requests(5, "a", model.Normal),
			Hosts: []placement.Host{
				host("h1", "a", "r1", 8, 0), host("h2", "a", "r1", 8, 0), host("h3", "a", "r1", 8, 0), host("h4", "a", "r2", 8, 1),
			},
		}
		got := placedOn(placement.Policy{AgeAfter: time.Hour}.Plan(in))
		Expect(got).To(Equal(map[string]string{
			"a-normal-0000": "h1", "a-normal-0001": "h2", "a-normal-0002": "h3", "a-normal-0003": "h1", "a-normal-0004": "h4",
		}))
	})

	It("avoids the hosts of earlier attempts if another one fits", func() {
		// Guards against retries on the host that just failed the request.
		in := placement.Input{Queued: requests(2, "a", model.Normal), Hosts: []placement.Host{host("h1", "a", "r1", 1, 0), host("h2", "a", "r1", 8, 7)}}
		in.Queued[0].Avoid, in.Queued[1].Avoid = []string{"h1"}, []string{"h2"}
		Expect(placedOn(placement.Policy{AgeAfter: time.Hour}.Plan(in))).To(Equal(map[string]string{"a-normal-0000": "h2", "a-normal-0001": "h1"}))
		in.Hosts = in.Hosts[:1]
		Expect(placedOn(placement.Policy{AgeAfter: time.Hour}.Plan(in))).To(Equal(map[string]string{"a-normal-0000": "h1"}))
	})

	It("parks requests that fit no host of the pool even when idle", func() {
		// Guards against a job that can never run and blocks its queue.
		in := placement.Input{Queued: requests(3, "a", model.Normal), Hosts: []placement.Host{host("h1", "a", "r1", 1, 1), host("h2", "a", "r1", 8, 0)}}
		in.Queued[0].MemoryMB = 8001
		in.Queued[1].MemoryMB, in.Hosts[1].Available = 8000, false
		in.Queued[2].Pool = "empty"
		plan := placement.Policy{AgeAfter: time.Hour}.Plan(in)
		Expect(plan.Parked).To(HaveLen(1), "a draining host may return, an empty pool may get hosts")
		Expect(plan.Parked[0]).To(Equal(placement.Parked{Key: "a-normal-0000", Reason: "needs 1000 millicores, 8001 MB and 0 accelerators, more than any host of pool a has"}))
		Expect(placement.Fits(&in.Queued[0], in.Hosts)).To(BeFalse())
		Expect(placement.Fits(&in.Queued[1], in.Hosts)).To(BeTrue())
	})

	It("holds a host for a large request that has waited long", func() {
		// Guards against a large request that is starved by small ones.
		in := placement.Input{
			Queued: append(requests(8, "a", model.Normal), request("big", "a", model.Patient)),
			Hosts:  []placement.Host{host("h1", "a", "r1", 4, 1), host("h2", "a", "r2", 4, 2)},
		}
		in.Queued[8].MemoryMB, in.Queued[8].Waiting = 4000, time.Minute
		p := placement.Policy{AgeAfter: time.Hour, HoldAfter: time.Minute}
		Expect(placedOn(p.Plan(in))).To(HaveLen(2))
		Expect(placedOn(p.Plan(in))).NotTo(ContainElement("h1"))
		urgent := in
		urgent.Queued = append(requests(5, "a", model.Urgent), in.Queued...)
		Expect(placedOn(p.Plan(urgent))).To(HaveLen(5), "urgent work does not wait for the held host")
		in.Hosts[0] = host("h1", "a", "r1", 4, 0)
		Expect(placedOn(p.Plan(in))).To(HaveKeyWithValue("big", "h1"))
		in.Hosts[1], in.Queued = host("h2", "a", "r2", 4, 0), in.Queued[8:]
		Expect(p.Plan(in).Decisions).To(HaveLen(1), "a request is placed once")
	})

	It("does not place a small request first because of its long wait", func() {
		// Guards against HoldAfter also applying to small requests, which would
		// serve them in order of arrival instead of by priority.
		in := placement.Input{
			Queued: append(requests(2, "a", model.Urgent), requests(1, "a", model.Patient)...),
			Hosts:  []placement.Host{host("h1", "a", "r1", 4, 3)},
		}
		in.Queued[2].Waiting = time.Hour
		p := placement.Policy{AgeAfter: time.Minute, HoldAfter: time.Minute}
		Expect(placedOn(p.Plan(in))).To(HaveKey("a-urgent-0000"))
	})

	It("lends idle hosts of spare pools, then of other pools, within their reserve", func() {
		// Guards against a lending pool that cannot serve its own burst, and
		// against requests on lent slots that occupy them for long.
		in := placement.Input{
			Queued: append(requests(30, "a", model.Normal), request("large", "c", model.Normal)),
			Hosts: []placement.Host{
				host("a1", "a", "r1", 1, 0), host("b1", "b", "r1", 8, 6), host("c1", "c", "r1", 8, 1), host("s1", "spare", "r1", 8, 0), host("z1", "z", "r1", 16, 0),
			},
			Pools: map[string]placement.Pool{"spare": {Spare: true}},
		}
		in.Queued[1].RunTime = time.Minute
		in.Queued[30].MemoryMB = 8000 // waits in its own pool
		p := placement.Policy{AgeAfter: time.Hour, LendMaxRunTime: time.Second, LendReserve: 0.25}
		Expect(p.Plan(in).Decisions).To(HaveLen(1))
		p.LendSpare = true
		plan := p.Plan(in)
		Expect(plan.Decisions).To(HaveLen(1 + 6))
		Expect(plan.Decisions[1]).To(Equal(placement.Decision{
			Key: "a-normal-0002", Host: "s1", LentBy: "spare", Reason: "no free slot in its own pool; pool spare is idle",
		}))
		p.LendPools = true
		plan = p.Plan(in)
		Expect(plan.Decisions).To(HaveLen(1 + 6 + 12))
		Expect(plan.Decisions[1].LentBy).To(Equal("spare"))
		Expect(placedOn(plan)).NotTo(HaveKey("a-normal-0001"))
		Expect(placedOn(plan)).NotTo(ContainElement(BeElementOf("b1", "c1")))
		p.LendSpare = false
		Expect(placedOn(p.Plan(in))).NotTo(ContainElement("s1"))
	})

	It("places nothing on hosts that are not available", func() {
		// Guards against decisions that the ledger refuses when applied.
		in := placement.Input{Queued: requests(2, "a", model.Urgent), Hosts: []placement.Host{host("h1", "a", "r1", 8, 0)}}
		in.Hosts[0].Available = false
		plan := placement.DefaultPolicy().Plan(in)
		Expect(plan.Decisions).To(BeEmpty())
		Expect(plan.Waits).To(Equal([]placement.WaitCount{{Pool: "a", Priority: model.Urgent, Reason: "pool has no available host", Count: 2}}))
	})

	It("gives the same plan for the same input", func() {
		// Guards against decisions that depend on map order.
		in := fleet(31, 20, 2000)
		first := placement.DefaultPolicy().Plan(in)
		for range 5 {
			Expect(placement.DefaultPolicy().Plan(in)).To(Equal(first))
		}
		slices.Reverse(in.Hosts)
		Expect(placement.DefaultPolicy().Plan(in)).To(Equal(first), "hosts in another order")
	})
})

// fleet returns pools of hosts with half of their slots used, and queued
// requests spread over the pools.
func fleet(pools, hosts, queued int) placement.Input {
	in := placement.Input{Pools: map[string]placement.Pool{}}
	classes := []model.Priority{model.Urgent, model.Normal, model.Patient}
	for p := range pools {
		pool := fmt.Sprintf("pool%02d", p)
		in.Pools[pool] = placement.Pool{ServesUrgent: true}
		for h := range hosts {
			in.Hosts = append(in.Hosts, host(fmt.Sprintf("%s-h%03d", pool, h), pool, fmt.Sprintf("r%d", h/4), 8, h%8))
		}
	}
	for i := range queued {
		r := request(fmt.Sprintf("q%05d", i), fmt.Sprintf("pool%02d", i%pools), classes[i%3])
		in.Queued = append(in.Queued, r)
	}
	return in
}

func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		pools, hosts, queued int
		saturated            bool
	}{{31, 20, 5000, false}, {1, 622, 5000, false}, {5, 124, 10000, false}, {31, 20, 5000, true}} {
		b.Run(fmt.Sprintf("pools=%d/hosts=%d/queued=%d/saturated=%t", c.pools, c.pools*c.hosts, c.queued, c.saturated), func(b *testing.B) {
			in := fleet(c.pools, c.hosts, c.queued)
			for i := range in.Hosts {
				if c.saturated && i%10 > 0 {
					in.Hosts[i].UsedSlots = in.Hosts[i].Slots
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				placement.DefaultPolicy().Plan(in)
			}
		})
	}
}
