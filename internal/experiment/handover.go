package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

// sentSpill is an offer that the other data centre's view may not show yet.
type sentSpill struct {
	at         time.Duration
	dataCentre int
	pool       string // whose free slot was counted on
	request    SpillRequest
}

// load is what the data centre tells the others.
func (c *centre) load() Load {
	return Load{
		Free:  c.variant.Spill.FreeForSpill(c.placementHosts(), c.waiting()),
		Slots: c.slots(), Ahead: c.ahead(),
	}
}

// ahead returns the expected run time of the requests that the plan left
// queued, by pool.
func (c *centre) ahead() map[string]time.Duration {
	ahead := map[string]time.Duration{}
	for _, r := range c.left {
		ahead[r.Pool] += r.RunTime
	}
	return ahead
}

// slots returns the available slots by pool.
func (c *centre) slots() map[string]int {
	slots := map[string]int{}
	for _, name := range c.names {
		if h := c.hosts[name]; h.State == model.HostReady && !c.failed[name] {
			slots[h.Pool] += h.Info.Slots
		}
	}
	return slots
}

// others returns the views of the other data centres as they were SpillLag
// ago, less the offers sent since.
func (c *centre) others() []OtherDataCentre {
	at := len(c.views) - 1 - int(c.variant.SpillLag/step)
	if at < 0 {
		return nil
	}
	viewTime := c.now - c.variant.SpillLag
	for len(c.sent) > 0 && c.sent[0].at < viewTime {
		c.sent = c.sent[1:]
	}
	var out []OtherDataCentre
	for _, o := range c.region.centres {
		if o == c {
			continue
		}
		l := o.views[at].clone()
		for _, s := range c.sent {
			if s.dataCentre == o.number {
				l.add(s.pool, s.request)
			}
		}
		out = append(out, OtherDataCentre{DataCentre: o.number, Delay: networkDelay(c.number, o.number), Load: l})
	}
	return out
}

// steering is what arrivals of one step are steered by.
type steering struct {
	estimates map[string]estimate.Estimate
	own, lent map[string]int // free slots at home for own and for lent work
	in        SpillInput
}

// newSteering returns the state of this step before its arrivals.
func (c *centre) newSteering() *steering {
	st := &steering{estimates: c.estimates()}
	st.in = c.spillInput(st.estimates)
	st.in.Waiting, st.in.Ahead = nil, c.ahead()
	hosts, waiting := c.placementHosts(), c.waiting()
	own, lent := *c.variant.Spill, *c.variant.Spill
	own.Reserve, lent.Reserve = c.variant.Policy.UrgentReserve, c.variant.Policy.LendReserve
	st.own, st.lent = own.FreeForSpill(hosts, waiting), lent.FreeForSpill(hosts, waiting)
	return st
}

// steer sends an arrival to another data centre, which becomes its home, if
// its own one has no free slot for it and the expected wait is above the
// threshold.
func (c *centre) steer(key string, a *arrival) bool {
	if len(c.views) == 0 {
		return false
	}
	if c.steering == nil {
		c.steering = c.newSteering()
	}
	p, st := c.variant.Spill, c.steering
	r := SpillRequest{Key: key, Pool: a.pool, Run: st.estimates[kindName(a.pool, a.class)].RunP50}
	if st.own[a.pool] > 0 {
		st.own[a.pool]--
		st.lent[a.pool]--
		return false
	}
	if pool, ok := p.Accept(st.lent, r); ok {
		st.own[pool]--
		st.lent[pool]--
		return false
	}
	chosen, ok := p.Steer(st.in, r)
	if !ok {
		st.in.Ahead[a.pool] += r.Run
		return false
	}
	to := chosen.DataCentre
	for _, o := range st.in.Others {
		if o.DataCentre == to {
			o.add(chosen.Pool, r)
		}
	}
	c.sent = append(c.sent, sentSpill{c.now, to, chosen.Pool, r})
	c.result.Spilled++
	c.region.send(message{
		at: c.now + networkDelay(c.number, to), kind: messageClaim, to: to, from: c.number,
		h: &handover{home: to, key: key, request: a},
	})
	return true
}

// waiting returns the queued requests by pool.
func (c *centre) waiting() map[string]int {
	waiting := map[string]int{}
	for _, svc := range services {
		waiting[svc.name] = c.ledger.QueuedCount(svc.name)
	}
	return waiting
}

// spillInput translates the requests that the plan left queued. Requests that
// came from another data centre are not sent on.
func (c *centre) spillInput(estimates map[string]estimate.Estimate) SpillInput {
	in := SpillInput{Slots: c.slots(), RunningMean: map[string]time.Duration{}, Others: c.others()}
	for _, p := range []model.Priority{model.Urgent, model.Normal, model.Patient} {
		for _, r := range c.left {
			if r.Priority == p && c.guests[r.Key] == nil {
				in.Waiting = append(in.Waiting, SpillRequest{Key: r.Key, Pool: r.Pool, Run: r.RunTime, Tries: c.tries[r.Key]})
			}
		}
	}
	runs := map[string]int{}
	for i := range c.executors {
		a := c.executors[i].request
		runs[a.pool]++
		in.RunningMean[a.pool] += estimates[kindName(a.pool, a.class)].RunP50
	}
	for pool, n := range runs {
		in.RunningMean[pool] /= time.Duration(n)
	}
	return in
}

// spill commits the spills as attempts in the home's ledger, then sends them.
func (c *centre) spill() {
	if len(c.left) == 0 {
		return
	}
	in := c.spillInput(c.estimates())
	requests := make(map[string]SpillRequest, len(in.Waiting))
	for _, r := range in.Waiting {
		requests[r.Key] = r
	}
	for _, s := range c.variant.Spill.Choose(in) {
		r, _ := c.ledger.Get(s.Key)
		item := ledger.DispatchItem{
			Key: s.Key, Attempt: ledger.NextAttempt(r), Host: otherName(s.DataCentre), Owner: "entry", LentBy: otherPool,
		}
		if len(c.apply(ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{item}}}).Dispatched) == 0 {
			c.result.Refused++
			continue
		}
		c.result.Spilled++
		c.tries[s.Key]++
		c.sent = append(c.sent, sentSpill{c.now, s.DataCentre, s.Pool, requests[s.Key]})
		c.region.send(message{
			at: c.now + spillCommit + networkDelay(c.number, s.DataCentre), kind: messageOffer, to: s.DataCentre, from: c.number,
			h: &handover{home: c.number, key: s.Key, attempt: item.Attempt, request: c.requests[s.Key]},
		})
	}
}

// accept claims and dispatches a spilled request at once, or sends it back.
// The refused claim is finished as not run, which proves to the home that
// nothing began.
func (c *centre) accept(h *handover) {
	key := fmt.Sprintf("%d/%s/%d", h.home, h.key, h.attempt)
	c.guests[key] = h
	err := c.claim(key, h.request)
	if err == nil && c.startGuest(key, h) {
		return
	}
	c.apply(ledger.Command{Cancel: &ledger.Cancel{Key: key, Actor: "spill"}})
	delete(c.guests, key)
	c.region.send(message{at: c.now + networkDelay(c.number, h.home), kind: messageRefusal, to: h.home, from: c.number, h: h})
}

// startGuest places a spilled request by the present state of the data centre.
func (c *centre) startGuest(key string, h *handover) bool {
	a := h.request
	estimates := c.estimates()
	e := estimates[kindName(a.pool, a.class)]
	pool, ok := c.variant.Spill.Accept(c.freeForSpillWithout(a.pool), SpillRequest{Key: key, Pool: a.pool, Run: e.RunP50})
	if !ok {
		return false
	}
	var hosts []placement.Host
	for _, host := range c.placementHosts() {
		if host.Pool == pool {
			hosts = append(hosts, host)
		}
	}
	plan := placement.Policy{AgeAfter: time.Hour}.Plan(placement.Input{Hosts: hosts, Queued: []placement.Request{{
		Key: key, Pool: pool, Priority: classes[a.class].priority, CPUMillis: e.CPUMillis, MemoryMB: e.MemoryMB,
	}}})
	if len(plan.Decisions) == 0 {
		return false
	}
	item := c.item(plan.Decisions[0], estimates)
	if pool != a.pool {
		item.LentBy = pool
	}
	return len(c.start([]ledger.DispatchItem{item})) == 1
}

// freeForSpillWithout is freeForSpill while one claimed spilled request of a
// pool is itself queued.
func (c *centre) freeForSpillWithout(pool string) map[string]int {
	waiting := c.waiting()
	waiting[pool]--
	return c.variant.Spill.FreeForSpill(c.placementHosts(), waiting)
}

// answer sends the result of a spilled request to its home.
func (c *centre) answer(e running) {
	h := e.spilled
	h.started = e.started
	delete(c.guests, e.key)
	delay := networkDelay(c.number, h.home)
	c.region.send(message{at: c.now + delay, kind: messageAnswer, to: h.home, from: c.number, h: h, answered: e.ends + delay})
}

// homeKey returns the key of a request in the ledger of its home.
func (c *centre) homeKey(key string) string {
	if h := c.guests[key]; h != nil {
		return h.key
	}
	return key
}

// loseHosts fails the hosts when a third of the demand has passed; the ledger
// learns it when their leases expire.
func (c *centre) loseHosts() {
	if !c.variant.LoseHosts || c.number != 0 {
		return
	}
	at := (c.demand.length / 3).Truncate(step)
	switch c.now {
	case at:
		for i := 0; i < len(c.names); i += 3 {
			c.failed[c.names[i]] = true
		}
		kept := c.executors[:0:0]
		for _, e := range c.executors {
			if !c.failed[e.host] {
				kept = append(kept, e)
				continue
			}
			c.cut = append(c.cut, e)
			c.result.LostRuns++
			if e.spilled != nil {
				c.result.LostSpilled++
			}
			if !c.variant.AtMostOnce {
				c.region.audit.cut(c.homeKey(e.key))
			}
		}
		c.executors = kept
		heap.Init(&c.executors)
	case at + leaseTime:
		for name := range c.failed {
			c.hosts[name].State = model.HostLost
			c.ledger.HostLost(c.context(), name, "1", "lease expired")
		}
		if c.variant.AtMostOnce {
			c.closeCut()
		}
		c.cut = nil
	}
}

// closeCut tells the homes of the lost runs that will not be repeated.
func (c *centre) closeCut() {
	for _, e := range c.cut {
		if e.spilled == nil {
			c.region.unknown(c, e.key)
			continue
		}
		delete(c.guests, e.key)
		c.region.send(message{
			at: c.now + networkDelay(c.number, e.spilled.home), kind: messageLost, to: e.spilled.home, from: c.number, h: e.spilled,
		})
	}
}

// retry queues requests again whose attempt was lost, or was refused by
// another data centre.
func (c *centre) retry() {
	for _, r := range c.ledger.AwaitingRetry() {
		last := r.Attempts[len(r.Attempts)-1]
		notBefore := c.time()
		if last.State == model.AttemptNotBegun {
			notBefore = notBefore.Add(refusalPause)
		}
		c.apply(ledger.Command{Retry: &ledger.Retry{Key: r.Key, Attempt: last.Number, NotBefore: notBefore}})
	}
}
