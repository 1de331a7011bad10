package experiment

import (
	"container/heap"
	"strconv"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Delays of the simulated region.
const (
	// spillCommit is the time of the additional commit that a spilled request
	// needs before it starts. A call through an entry host takes 7 ms longer
	// than a direct call and needs three commits.
	spillCommit = 3 * time.Millisecond
	// leaseTime is the time after which a failed host counts as lost.
	leaseTime = 5 * time.Second
	// refusalDelay is how long a refused request stays queued before it can be
	// placed or offered again.
	refusalDelay = 100 * time.Millisecond
)

// networkDelay returns the one-way delay between two data centres. The first
// two are close to each other, the third is farther away.
func networkDelay(a, b int) time.Duration {
	if a+b == 1 {
		return 500 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// region simulates the three data centres and the messages between them.
type region struct {
	demand   *Demand
	variant  Variant
	result   *Result
	tally    *tally
	centres  []*centre
	messages messageQueue
	seq      int
	audit    *audit
	now      time.Duration
	open     map[string]*arrival // by key of the home's ledger
}

func newRegion(d *Demand, v Variant, r *Result, t *tally) *region {
	reg := &region{demand: d, variant: v, result: r, tally: t, audit: newAudit(), open: map[string]*arrival{}}
	for i := range dataCentres {
		reg.centres = append(reg.centres, newCentre(i, reg))
	}
	return reg
}

// run replays the demand until every request has an outcome.
func (reg *region) run() error {
	for next := 0; len(reg.open) > 0 || next < len(reg.demand.arrivals); reg.now += step {
		if err := reg.deliver(); err != nil {
			return err
		}
		for ; next < len(reg.demand.arrivals) && reg.demand.arrivals[next].at <= reg.now; next++ {
			a := &reg.demand.arrivals[next]
			c := reg.centres[a.dataCentre]
			c.now = reg.now
			key := strconv.Itoa(next)
			reg.open[key] = a
			if reg.variant.SteerOnly && c.steer(key, a) {
				continue
			}
			if err := c.claim(key, a); err != nil {
				return err
			}
		}
		reg.plan()
		reg.countIdleSlots()
		if err := reg.audit.check(reg); err != nil {
			return err
		}
	}
	return nil
}

// plan advances each data centre by one step.
func (reg *region) plan() {
	for _, c := range reg.centres {
		c.now = reg.now
		c.finish()
		c.loseHosts()
		c.retry()
		if reg.variant.MoveSpares {
			c.moveSpares()
		}
		c.plan()
	}
	if reg.variant.Spill == nil {
		return
	}
	for _, c := range reg.centres {
		c.views = append(c.views, c.load())
	}
	for _, c := range reg.centres {
		if reg.variant.SteerOnly {
			c.steering = nil
		} else {
			c.spill()
		}
	}
}

// countIdleSlots adds the slots of this step that are idle while requests wait,
// and the overcommitted hosts.
func (reg *region) countIdleSlots() {
	idle, queued := 0, 0
	for _, c := range reg.centres {
		i, q := c.idle(), c.queued()
		reg.result.Buffer += float64(min(i, q)) * step.Seconds()
		idle, queued = idle+i, queued+q
		if reg.variant.UnequalSizes {
			reg.result.Overcommitted += time.Duration(c.overcommitted()) * step
		}
	}
	reg.result.RegionBuffer += float64(min(idle, queued)) * step.Seconds()
}

func (reg *region) send(m message) {
	reg.seq++
	m.seq = reg.seq
	heap.Push(&reg.messages, m)
}

// deliver handles the messages that have arrived, each at its arrival time.
func (reg *region) deliver() error {
	for len(reg.messages) > 0 && reg.messages[0].at <= reg.now {
		m := heap.Pop(&reg.messages).(message)
		c := reg.centres[m.to]
		c.now = m.at
		switch m.kind {
		case messageOffer:
			c.acceptSpilled(m.h)
		case messageRefusal:
			reg.result.SpillRefused++
			c.report(m.h.key, m.h.attempt, model.AttemptNotBegun, 0)
		case messageAnswer:
			c.report(m.h.key, m.h.attempt, model.AttemptSucceeded, m.h.request.run)
			reg.finished(c, m.h.key, m.h.request, m.h.started, m.answered)
		case messageLost:
			c.report(m.h.key, m.h.attempt, model.AttemptUnknown, 0)
			reg.unknown(c, m.h.key)
		case messageClaim:
			if err := c.claim(m.h.key, m.h.request); err != nil {
				return err
			}
		}
	}
	return nil
}

// finished counts a request whose result has reached its home.
func (reg *region) finished(home *centre, key string, a *arrival, started, answered time.Duration) {
	r, ok := home.ledger.Get(key)
	if ok && r.Outcome == model.OutcomeDone && r.Succeeded {
		reg.tally.done++
	}
	delete(reg.open, key)
	reg.tally.add(reg.result, a, started, answered)
}

// unknown counts a request whose only run was lost, so that its outcome is
// unknown.
func (reg *region) unknown(home *centre, key string) {
	if r, ok := home.ledger.Get(key); ok && r.Outcome == model.OutcomeUnknown {
		reg.result.Unknown++
	}
	delete(reg.open, key)
}

// otherPool is the pool of the placeholder hosts for other data centres in the
// home's ledger. A spilled request is an attempt on such a host, so that the
// ledger's rules for attempts apply to it.
const otherPool = "other-data-centre"

func otherName(dataCentre int) string { return otherPool + "-" + strconv.Itoa(dataCentre) }

// otherAsHost returns the placeholder host for another data centre. It has
// unlimited slots, because they are counted in that data centre.
func otherAsHost(name string) (model.Host, bool) {
	if !strings.HasPrefix(name, otherPool) {
		return model.Host{}, false
	}
	const unbounded = 1 << 30
	return model.Host{
		Info: model.HostInfo{Name: name, Incarnation: "1", Slots: unbounded, CPUMillis: unbounded * 1000, MemoryMB: unbounded * 1000},
		Pool: otherPool, State: model.HostReady,
	}, true
}
