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

// sentSpill is an offer that the view of the other data centre may not include
// yet.
type sentSpill struct {
	at         time.Duration
	dataCentre int
	pool       string // whose free slot the request is expected to take
	request    SpillRequest
}

// load returns the state that the data centre publishes to the others.
func (c *centre) load() Load {
	return Load{
		Free:  c.variant.Spill.FreeForSpill(c.placementHosts(), c.waiting()),
		Slots: c.slots(), Ahead: c.ahead(),
	}
}

// ahead returns the estimated run time of the requests that placement left
// queued, by pool.
func (c *centre) ahead() map[string]time.Duration {
	ahead := map[string]time.Duration{}
	for _, r := range c.unplaced {
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

// steering is the state that steers the arrivals of one step.
type steering struct {
	estimates map[string]estimate.Estimate
	own, lent map[string]int // free slots at home for own and for lent work
	in        SpillInput
}

// newSteering returns the steering state before the arrivals of this step.
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

// steer sends an arrival to another data centre, which becomes its home, if this
// one has no free slot for it and the expected wait is above the threshold. It
// reports whether it did.
func (c *centre) steer(key string, a *arrival) bool {
	if len(c.views) == 0 {
		return false
	}
	if c.steering == nil {
		c.steering = c.newSteering()
	}
	p, st := c.variant.Spill, c.steering
	r := SpillRequest{Key: key, Pool: a.pool, RunTime: st.estimates[kindName(a.pool, a.class)].RunP50}
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
		st.in.Ahead[a.pool] += r.RunTime
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
		h: &spilledRequest{home: to, key: key, request: a},
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

// spillInput returns the input of the spill policy. Requests that were spilled
// from another data centre are not spilled again.
func (c *centre) spillInput(estimates map[string]estimate.Estimate) SpillInput {
	in := SpillInput{Slots: c.slots(), RunningMean: map[string]time.Duration{}, Others: c.others()}
	for _, p := range []model.Priority{model.Urgent, model.Normal, model.Patient} {
		for _, r := range c.unplaced {
			if r.Priority == p && c.spilledIn[r.Key] == nil {
				in.Waiting = append(in.Waiting, SpillRequest{Key: r.Key, Pool: r.Pool, RunTime: r.RunTime, Tries: c.tries[r.Key]})
			}
		}
	}
	runs := map[string]int{}
	for i := range c.activeRuns {
		a := c.activeRuns[i].request
		runs[a.pool]++
		in.RunningMean[a.pool] += estimates[kindName(a.pool, a.class)].RunP50
	}
	for pool, n := range runs {
		in.RunningMean[pool] /= time.Duration(n)
	}
	return in
}

// spill commits each chosen spill as an attempt in the home's ledger, then
// sends the request.
func (c *centre) spill() {
	if len(c.unplaced) == 0 {
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
			h: &spilledRequest{home: c.number, key: s.Key, attempt: item.Attempt, request: c.requests[s.Key]},
		})
	}
}

// acceptSpilled claims and dispatches a spilled request at once, or sends it
// back. A refused claim is cancelled and so finished as not run, which proves to
// the home that no attempt began.
func (c *centre) acceptSpilled(h *spilledRequest) {
	key := fmt.Sprintf("%d/%s/%d", h.home, h.key, h.attempt)
	c.spilledIn[key] = h
	err := c.claim(key, h.request)
	if err == nil && c.startSpilled(key, h) {
		return
	}
	c.apply(ledger.Command{Cancel: &ledger.Cancel{Key: key, Actor: "spill"}})
	delete(c.spilledIn, key)
	c.region.send(message{at: c.now + networkDelay(c.number, h.home), kind: messageRefusal, to: h.home, from: c.number, h: h})
}

// startSpilled places and starts a spilled request if the data centre has a
// free slot for it now.
func (c *centre) startSpilled(key string, h *spilledRequest) bool {
	a := h.request
	estimates := c.estimates()
	e := estimates[kindName(a.pool, a.class)]
	pool, ok := c.variant.Spill.Accept(c.freeForSpillWithout(a.pool), SpillRequest{Key: key, Pool: a.pool, RunTime: e.RunP50})
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

// freeForSpillWithout returns the slots free for spilled requests without
// counting one queued request of the pool, the claimed spilled request itself.
func (c *centre) freeForSpillWithout(pool string) map[string]int {
	waiting := c.waiting()
	waiting[pool]--
	return c.variant.Spill.FreeForSpill(c.placementHosts(), waiting)
}

// sendAnswer sends the result of a spilled request to its home.
func (c *centre) sendAnswer(e running) {
	h := e.spilled
	h.started = e.started
	delete(c.spilledIn, e.key)
	delay := networkDelay(c.number, h.home)
	c.region.send(message{at: c.now + delay, kind: messageAnswer, to: h.home, from: c.number, h: h, answered: e.ends + delay})
}

// homeKey returns the key of a request in the ledger of its home.
func (c *centre) homeKey(key string) string {
	if h := c.spilledIn[key]; h != nil {
		return h.key
	}
	return key
}

// loseHosts fails every third host of the first data centre after a third of the
// demand. The ledger marks them lost when their leases expire.
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
		kept := c.activeRuns[:0:0]
		for _, e := range c.activeRuns {
			if !c.failed[e.host] {
				kept = append(kept, e)
				continue
			}
			c.lost = append(c.lost, e)
			c.result.LostRuns++
			if e.spilled != nil {
				c.result.LostSpilled++
			}
			if !c.variant.AtMostOnce {
				c.region.audit.lost(c.homeKey(e.key))
			}
		}
		c.activeRuns = kept
		heap.Init(&c.activeRuns)
	case at + leaseTime:
		for name := range c.failed {
			c.hosts[name].State = model.HostLost
			c.ledger.HostLost(c.context(), name, "1", "lease expired")
		}
		if c.variant.AtMostOnce {
			c.reportLostRuns()
		}
		c.lost = nil
	}
}

// reportLostRuns informs the homes of lost runs that will not be repeated.
func (c *centre) reportLostRuns() {
	for _, e := range c.lost {
		if e.spilled == nil {
			c.region.unknown(c, e.key)
			continue
		}
		delete(c.spilledIn, e.key)
		c.region.send(message{
			at: c.now + networkDelay(c.number, e.spilled.home), kind: messageLost, to: e.spilled.home, from: c.number, h: e.spilled,
		})
	}
}

// retry queues requests again whose attempt was lost or was refused by another
// data centre. Refused ones wait for refusalDelay.
func (c *centre) retry() {
	for _, r := range c.ledger.AwaitingRetry() {
		last := r.Attempts[len(r.Attempts)-1]
		notBefore := c.time()
		if last.State == model.AttemptNotBegun {
			notBefore = notBefore.Add(refusalDelay)
		}
		c.apply(ledger.Command{Retry: &ledger.Retry{Key: r.Key, Attempt: last.Number, NotBefore: notBefore}})
	}
}
