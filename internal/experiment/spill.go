package experiment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/placement"
)

// SpillPolicy decides which waiting requests are spilled, that is sent from
// their home to another data centre, and which of them that data centre
// accepts. All its methods are pure functions.
type SpillPolicy struct {
	// After is the expected wait at home above which a request is spilled; 0
	// spills every request that waits.
	After time.Duration
	// Reserve is the fraction of a pool's slots that a data centre keeps free
	// of spilled requests.
	Reserve float64
	// MaxTries limits how often a request is offered to other data centres, so
	// that stale views do not send it back and forth.
	MaxTries int
	// LendMaxRunTime is the longest estimated run time of a request that may take a
	// slot of another pool; 0 allows slots of its own pool only.
	LendMaxRunTime time.Duration
}

// SpillRequest is a request that waits in its home data centre.
type SpillRequest struct {
	Key, Pool string
	// RunTime is the estimated run time.
	RunTime time.Duration
	// Tries counts the earlier offers that were refused.
	Tries int
}

// Load is the state, by pool, that a data centre publishes to the others.
type Load struct {
	// Free holds the slots free for spilled requests.
	Free map[string]int
	// Slots holds the available slots.
	Slots map[string]int
	// Ahead is the estimated run time of the queued requests.
	Ahead map[string]time.Duration
}

func (l Load) clone() Load {
	return Load{Free: maps.Clone(l.Free), Slots: maps.Clone(l.Slots), Ahead: maps.Clone(l.Ahead)}
}

// add updates the load for a request that was sent to the data centre: it takes
// a free slot of the pool, or waits in the queue of its own pool.
func (l Load) add(pool string, r SpillRequest) {
	if l.Free[pool] > 0 {
		l.Free[pool]--
		return
	}
	l.Ahead[r.Pool] += r.RunTime
}

// OtherDataCentre is the home's view of another data centre, which may be
// stale. Delay is the one-way network delay.
type OtherDataCentre struct {
	DataCentre int
	Delay      time.Duration
	Load
}

// SpillInput is the state that spill decisions are based on.
type SpillInput struct {
	// Waiting holds the requests that placement left queued, in queue order,
	// urgent ones first.
	Waiting []SpillRequest
	// Slots holds the available slots at home by pool, and RunningMean the
	// mean estimated run time of the requests that hold them.
	Slots       map[string]int
	RunningMean map[string]time.Duration
	// Ahead is the estimated run time of requests that wait before these, by
	// pool.
	Ahead  map[string]time.Duration
	Others []OtherDataCentre
}

// Spill is the decision to send a request to another data centre.
type Spill struct {
	Key        string
	DataCentre int
	// Pool is the pool whose free slot the request is expected to take.
	Pool string
}

// Choose decides which requests to spill. A spilled request shortens the
// expected wait of those behind it.
func (p SpillPolicy) Choose(in SpillInput) []Spill {
	others := slices.Clone(in.Others)
	for i := range others {
		others[i].Load = others[i].clone()
	}
	ahead := make(map[string]time.Duration, len(in.Ahead))
	maps.Copy(ahead, in.Ahead)
	var out []Spill
	for _, r := range in.Waiting {
		if r.Tries < p.MaxTries && p.expectedWait(in, r, ahead[r.Pool]) > p.After {
			if o, pool := p.best(others, r); o != nil {
				o.Free[pool]--
				out = append(out, Spill{Key: r.Key, DataCentre: o.DataCentre, Pool: pool})
				continue
			}
		}
		ahead[r.Pool] += r.RunTime
	}
	return out
}

// Steer chooses the home of a request that has not been claimed: a data centre
// with a free slot, or else the one with the shortest expected wait if that is
// shorter than at home. It returns false if the request stays.
func (p SpillPolicy) Steer(in SpillInput, r SpillRequest) (Spill, bool) {
	in.Waiting = []SpillRequest{r}
	if chosen := p.Choose(in); len(chosen) > 0 {
		return chosen[0], true
	}
	best, shortest := -1, p.expectedWait(in, r, in.Ahead[r.Pool])
	if shortest <= p.After {
		return Spill{}, false
	}
	for _, o := range in.Others {
		if o.Slots[r.Pool] == 0 {
			continue
		}
		wait := o.Delay + (o.Ahead[r.Pool]+max(in.RunningMean[r.Pool], time.Millisecond))/time.Duration(o.Slots[r.Pool])
		if wait < shortest {
			best, shortest = o.DataCentre, wait
		}
	}
	return Spill{Key: r.Key, DataCentre: best, Pool: r.Pool}, best >= 0
}

// expectedWait estimates the wait at home. All slots of the pool share the run
// time of the requests ahead, and on average a slot becomes free after the mean
// run time divided by the number of slots.
func (p SpillPolicy) expectedWait(in SpillInput, r SpillRequest, ahead time.Duration) time.Duration {
	slots := in.Slots[r.Pool]
	if slots == 0 {
		return math.MaxInt64
	}
	return (ahead + max(in.RunningMean[r.Pool], time.Millisecond)) / time.Duration(slots)
}

// best returns the data centre with the most free slots in the request's pool,
// then in all pools, then with the shortest delay. It returns nil if none
// accepts the request.
func (p SpillPolicy) best(others []OtherDataCentre, r SpillRequest) (*OtherDataCentre, string) {
	var best *OtherDataCentre
	var bestPool string
	bestOwn, bestAll := 0, 0
	for i := range others {
		o := &others[i]
		pool, ok := p.Accept(o.Free, r)
		if !ok {
			continue
		}
		own, all := max(o.Free[r.Pool], 0), 0
		for _, n := range o.Free {
			all += max(n, 0)
		}
		order := cmp.Or(cmp.Compare(own, bestOwn), cmp.Compare(all, bestAll))
		if best == nil || order > 0 || order == 0 && o.Delay < best.Delay {
			best, bestPool, bestOwn, bestAll = o, pool, own, all
		}
	}
	return best, bestPool
}

// Accept returns the pool whose free slot a spilled request takes: its own pool
// or, if its run time allows lending, the spare pool or else the pool with the
// most free slots.
func (p SpillPolicy) Accept(free map[string]int, r SpillRequest) (pool string, ok bool) {
	if free[r.Pool] > 0 {
		return r.Pool, true
	}
	if r.RunTime == 0 || r.RunTime > p.LendMaxRunTime {
		return "", false
	}
	if free[sparePool] > 0 {
		return sparePool, true
	}
	for name, n := range free {
		if n > 0 && (pool == "" || n > free[pool] || n == free[pool] && name < pool) {
			pool = name
		}
	}
	return pool, pool != ""
}

// FreeForSpill returns the slots that spilled requests may take, by pool: free
// slots beyond the reserve, and none where requests of the pool itself wait.
func (p SpillPolicy) FreeForSpill(hosts []placement.Host, waiting map[string]int) map[string]int {
	slots, free := map[string]int{}, map[string]int{}
	for i := range hosts {
		if h := &hosts[i]; h.Available {
			slots[h.Pool] += h.Slots
			free[h.Pool] += max(h.Slots-h.UsedSlots, 0)
		}
	}
	for pool, n := range free {
		n -= int(math.Ceil(p.Reserve * float64(slots[pool])))
		if waiting[pool] > 0 {
			n = 0
		}
		free[pool] = max(n, 0)
	}
	return free
}
