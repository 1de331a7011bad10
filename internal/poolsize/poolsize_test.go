package poolsize_test

import (
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/poolsize"
)

func TestPoolsize(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poolsize")
}

const core = 1000

// hosts returns n hosts of 32 cores in a pool.
func hosts(pool string, n int, change func(i int, h *poolsize.Host)) []poolsize.Host {
	var out []poolsize.Host
	for i := range n {
		h := poolsize.Host{Name: pool + strconv.Itoa(i), Pool: pool, CPU: 32 * core, Movable: true}
		if change != nil {
			change(i, &h)
		}
		out = append(out, h)
	}
	return out
}

func busy(_ int, h *poolsize.Host) { h.Movable, h.Load = false, 20*core }

func movesTo(d poolsize.Decision, pool string) (n int) {
	for _, m := range d.Moves {
		if m.To == pool {
			n++
		}
	}
	return n
}

var _ = Describe("Plan", func() {
	pools := func(desk, cuts poolsize.Pool) []poolsize.Pool {
		desk.Name, cuts.Name = "desk", "cuts"
		return []poolsize.Pool{desk, cuts, {Name: "off", Standby: true}}
	}

	It("serves a demand peak with idle hosts of other pools first, then with those on standby", func() {
		// The demand of one queue rises to five times its mean while the others idle.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Running: 80 * core, Waiting: 200 * core}, poolsize.Pool{}),
			append(append(hosts("desk", 3, busy), hosts("cuts", 4, nil)...), hosts("off", 9, nil)...))
		Expect(movesTo(d, "desk")).To(Equal(7)) // 280 cores need 10 hosts of 32 cores with a usable share of 0.9
		from := map[string]int{}
		for _, m := range d.Moves {
			from[m.From]++
		}
		Expect(from["cuts"]).To(Equal(3), "one host stays in the idle pool")
	})

	It("moves hosts before a backlog builds up", func() {
		// A demand peak begins: little waits yet, but much arrives each second.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Running: 10 * core, ArrivalRate: 250 * core}, poolsize.Pool{}),
			append(hosts("desk", 1, busy), hosts("off", 20, nil)...))
		Expect(movesTo(d, "desk")).To(Equal(7)) // 10 running cores and 200 that arrive until then need 8 hosts
	})

	It("keeps no more hosts than steady arrivals need", func() {
		// Guards against a pool that holds twice the hosts it uses throughout its
		// demand peak, so that the next queue's peak finds none.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Running: 575 * core, ArrivalRate: 575 * core, DurationS: 2}, poolsize.Pool{}),
			append(hosts("desk", 20, busy), hosts("off", 20, nil)...))
		Expect(movesTo(d, "desk")).To(BeZero()) // 20 hosts of 32 cores with a usable share of 0.9 offer 576 cores
	})

	It("never moves a host on which something runs", func() {
		// Guards against moves that end running work.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Waiting: 900 * core}, poolsize.Pool{}),
			append(hosts("desk", 1, busy), hosts("cuts", 6, busy)...))
		Expect(d.Moves).To(BeEmpty())
	})

	It("cordons the least loaded hosts of a pool with too many, but none with long-lived work", func() {
		// Guards against surplus hosts that never become idle because each gets a task
		// now and then.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Running: 50 * core}, poolsize.Pool{}),
			hosts("desk", 5, func(i int, h *poolsize.Host) {
				h.Movable, h.Load, h.LongLived = false, int64(i+1)*core, i == 0
			}))
		Expect(d.Cordoned).To(HaveKeyWithValue("desk1", true))
		Expect(d.Cordoned["desk0"]).To(BeFalse())
		Expect(d.Cordoned["desk4"]).To(BeFalse())
	})

	It("moves hosts to standby only after some idle time", func() {
		// Guards against moves back and forth, which cost more than idling.
		policy := poolsize.Default()
		idle := func(ms int64) poolsize.Decision {
			return poolsize.Plan(policy, pools(poolsize.Pool{}, poolsize.Pool{}),
				append(hosts("cuts", 1, busy), hosts("desk", 4, func(_ int, h *poolsize.Host) { h.IdleMS = ms })...))
		}
		Expect(movesTo(idle(policy.IdleMS-1), "off")).To(BeZero())
		Expect(movesTo(idle(policy.IdleMS), "off")).To(Equal(3))
	})

	It("has the hosts for a steep rise of the arrivals when these come", func() {
		// 100 cores of short work run. The arrivals rise by 60 cores a second, and a host is
		// there after 1.7 s.
		rising := poolsize.Pool{Running: 100 * core, ArrivalRate: 100 * core, ArrivalRise: 60 * core, DurationS: 0.5}
		d := poolsize.Plan(poolsize.Default(), pools(rising, poolsize.Pool{}), append(hosts("desk", 4, busy), hosts("off", 9, nil)...))
		Expect(d.Wanted).To(HaveKeyWithValue("desk", 7)) // 199 cores of 32 with a usable share of 0.9
		Expect(movesTo(d, "desk")).To(Equal(3))
	})

	It("reports the hosts that no pool needs", func() {
		// Maintenance prefers these hosts.
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Waiting: 60 * core}, poolsize.Pool{}),
			append(append(hosts("desk", 1, busy), hosts("cuts", 4, nil)...), hosts("off", 2, nil)...))
		Expect(movesTo(d, "desk")).To(Equal(2)) // 60 cores need 3 hosts of 32 cores with a usable share of 0.9
		Expect(d.Spare).To(HaveLen(3), "one of two idle hosts stays in the idle pool")
		Expect(d.Spare).To(HaveKey("off0"))
	})

	It("gives hosts to the pool that lacks the largest share", func() {
		// Two queues together ask for more hosts than exist.
		d := poolsize.Plan(poolsize.Default(),
			pools(poolsize.Pool{Waiting: 288 * core}, poolsize.Pool{Waiting: 288 * core}),
			append(hosts("desk", 4, busy), hosts("off", 6, nil)...))
		Expect(movesTo(d, "desk")).To(Equal(1))
		Expect(movesTo(d, "cuts")).To(Equal(5))
	})

	It("takes hosts from a backlog that is late in any case for a demand peak that can be in time", func() {
		// Guards against a burst whose backlog keeps all hosts until it is done, while
		// the work of the next queue's peak becomes late as well.
		backlog := poolsize.Pool{Running: 1200 * core, Waiting: 8000 * core, LateRunning: 1100 * core, LateWaiting: 7800 * core}
		peak := poolsize.Pool{Running: 60 * core, Waiting: 500 * core}
		full := append(hosts("desk", 42, busy), hosts("cuts", 3, busy)...)
		d := poolsize.Plan(poolsize.Default(), pools(backlog, peak), full)
		Expect(d.Moves).To(BeEmpty(), "no host is idle yet")
		Expect(d.Cordoned).To(HaveLen(17)) // 560 cores need 20 hosts of 32 cores with a usable share of 0.9
		for i := range full {
			if d.Cordoned[full[i].Name] {
				full[i].Movable, full[i].Load = true, 0
			}
		}
		d = poolsize.Plan(poolsize.Default(), pools(backlog, peak), full)
		Expect(movesTo(d, "cuts")).To(Equal(17))
		Expect(movesTo(d, "desk")).To(BeZero())
	})

	It("leaves a backlog its hosts while no other pool lacks them", func() {
		// Guards against hosts that idle while accepted work waits.
		backlog := poolsize.Pool{Running: 600 * core, Waiting: 8000 * core, LateRunning: 600 * core, LateWaiting: 8000 * core}
		d := poolsize.Plan(poolsize.Default(), pools(backlog, poolsize.Pool{Running: 20 * core}),
			append(append(hosts("desk", 20, busy), hosts("cuts", 1, busy)...), hosts("off", 5, nil)...))
		Expect(d.Cordoned).To(BeEmpty())
		Expect(movesTo(d, "desk")).To(Equal(5))
	})

	It("gives the last hosts on standby to work that can be in time", func() {
		// Guards against a large backlog that precedes a small demand peak because it
		// lacks the larger share.
		backlog := poolsize.Pool{Running: 600 * core, Waiting: 8000 * core, LateRunning: 600 * core, LateWaiting: 8000 * core}
		d := poolsize.Plan(poolsize.Default(), pools(backlog, poolsize.Pool{Running: 60 * core, Waiting: 100 * core}),
			append(append(hosts("desk", 20, busy), hosts("cuts", 3, busy)...), hosts("off", 3, nil)...))
		Expect(movesTo(d, "cuts")).To(Equal(3))
	})

	It("adds empty hosts for tasks that no host takes although CPU is free", func() {
		// Guards against a long-lived task that never runs again because its pool has
		// enough CPU, but no host with the memory or without work that disturbs it.
		one := poolsize.Pool{Running: 14 * core, Waiting: 2 * core, MissingHosts: 1}
		used := hosts("desk", 2, func(_ int, h *poolsize.Host) { h.Movable, h.Load, h.LongLived = false, 7*core, true })
		Expect(movesTo(poolsize.Plan(poolsize.Default(), pools(one, poolsize.Pool{}), append(slices.Clone(used), hosts("off", 3, nil)...)), "desk")).To(Equal(1))
		three := poolsize.Pool{Running: 14 * core, Waiting: 2 * core, MissingHosts: 3}
		Expect(movesTo(poolsize.Plan(poolsize.Default(), pools(three, poolsize.Pool{}), append(slices.Clone(used), hosts("off", 4, nil)...)), "desk")).To(Equal(3), "one of four goes to the other pool")
		coming := append(slices.Clone(used), hosts("desk", 1, func(_ int, h *poolsize.Host) { h.Name, h.Movable = "new", false })...)
		d := poolsize.Plan(poolsize.Default(), pools(one, poolsize.Pool{}), append(coming, hosts("off", 3, nil)...))
		Expect(movesTo(d, "desk")).To(BeZero(), "one is moving there already")
		Expect(d.Cordoned["new"]).To(BeFalse())
	})

	It("opens and keeps the host that a waiting task needs", func() {
		// Guards against a task that waits for ever because its pool has as many hosts as it
		// wants, and the only one that suits the task is not open, or leaves the pool.
		waiting := poolsize.Pool{Waiting: core, MissingHosts: 1, SuitsShort: func(host string) bool { return host == "desk3" || host == "off1" }}
		idle := func(_ int, h *poolsize.Host) { h.IdleMS = 60_000 }
		d := poolsize.Plan(poolsize.Default(), pools(waiting, poolsize.Pool{}), append(hosts("desk", 5, idle), hosts("cuts", 1, idle)...))
		Expect(d.Cordoned["desk3"]).To(BeFalse())
		Expect(d.Cordoned).To(HaveLen(4))
		for _, m := range d.Moves {
			Expect(m.Host).NotTo(Equal("desk3"))
		}
		d = poolsize.Plan(poolsize.Default(), pools(waiting, poolsize.Pool{}), append(hosts("desk", 2, idle), hosts("off", 3, idle)...))
		Expect(d.Moves).To(ContainElement(poolsize.Move{Host: "off1", From: "off", To: "desk", Reason: "pool lacks hosts"}))
		for range 3 { // it is there
			there := append(hosts("desk", 1, idle), hosts("desk", 1, func(_ int, h *poolsize.Host) { h.Name, h.IdleMS = "off1", 60_000 })...)
			d = poolsize.Plan(poolsize.Default(), pools(waiting, poolsize.Pool{}), append(there, hosts("off", 2, idle)...))
			Expect(d.Cordoned).To(Equal(map[string]bool{"desk0": true}))
			Expect(d.Moves).NotTo(ContainElement(HaveField("Host", "off1")))
		}
	})

	It("keeps an idle host for the long-lived tasks of a host that is emptied", func() {
		// Guards against tasks that are stopped for maintenance and then wait for a host to
		// move in, while their pool closes an idle one or lets it go.
		pool := poolsize.Pool{Running: 14 * core}
		used := hosts("desk", 2, func(i int, h *poolsize.Host) {
			h.Movable, h.Load, h.LongLived, h.Reserved = false, 7*core, true, i == 0
		})
		idle := func(n int) []poolsize.Host {
			return append(slices.Clone(used), hosts("desk", n, func(i int, h *poolsize.Host) { h.Name, h.IdleMS = "idle"+strconv.Itoa(i), 60_000 })...)
		}
		d := poolsize.Plan(poolsize.Default(), pools(pool, poolsize.Pool{}), append(idle(3), hosts("cuts", 1, busy)...))
		Expect(d.Cordoned).To(Equal(map[string]bool{"idle1": true, "idle2": true}))
		Expect(movesTo(d, "off")).To(Equal(2))
		d = poolsize.Plan(poolsize.Default(), pools(pool, poolsize.Pool{}), append(idle(0), hosts("off", 2, nil)...))
		Expect(movesTo(d, "desk")).To(BeZero(), "their tasks may have room on other hosts")
		used[0].LongLived, used[0].Load = false, 0
		stopped := poolsize.Pool{Running: 7 * core, Waiting: 7 * core, WaitingLongLived: 1}
		d = poolsize.Plan(poolsize.Default(), pools(stopped, poolsize.Pool{}), append(idle(3), hosts("cuts", 1, busy)...))
		Expect(d.Cordoned).To(HaveLen(2))
		Expect(movesTo(d, "off")).To(Equal(2))
		d = poolsize.Plan(poolsize.Default(), pools(stopped, poolsize.Pool{}), append(idle(0), hosts("off", 2, nil)...))
		Expect(movesTo(d, "desk")).To(BeZero(), "a task on a host may end at once")
	})

	It("gives hosts to long-lived tasks that no host takes before it serves larger backlogs", func() {
		// Guards against an accepted long-lived task that waits as long as another pool
		// has a backlog: a pool that lacks one of many hosts lacks the smallest share.
		used := hosts("desk", 21, func(_ int, h *poolsize.Host) { h.Movable, h.Load, h.LongLived = false, 7*core, true })
		peak := poolsize.Pool{Running: 2000 * core, Waiting: 5000 * core}
		d := poolsize.Plan(poolsize.Default(), pools(poolsize.Pool{Running: 147 * core, Waiting: 5 * core, MissingHosts: 2, MissingLongLived: 2}, peak),
			append(append(used, hosts("cuts", 80, busy)...), hosts("off", 3, nil)...))
		Expect(movesTo(d, "desk")).To(Equal(2))
		Expect(movesTo(d, "cuts")).To(Equal(1))
	})

	It("takes hosts from a late backlog that lacks memory for a demand peak that can be in time", func() {
		// Guards against a late backlog that counts as in time because its short tasks
		// lack hosts for a reason other than CPU.
		backlog := poolsize.Pool{Running: 600 * core, Waiting: 100 * core, LateRunning: 600 * core, LateWaiting: 100 * core, MissingHosts: 30}
		d := poolsize.Plan(poolsize.Default(), pools(backlog, poolsize.Pool{Running: 60 * core, Waiting: 100 * core}),
			append(append(hosts("desk", 20, busy), hosts("cuts", 3, busy)...), hosts("off", 3, nil)...))
		Expect(movesTo(d, "cuts")).To(Equal(3))
	})
})
