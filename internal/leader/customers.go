package leader

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

// CustomerStatus is what operators see of a customer. It holds no key.
type CustomerStatus struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Removed is set if the configuration no longer holds the customer, which still has jobs.
	Removed bool    `cbor:"2,keyasint,omitempty" json:"removed,omitempty"`
	Keys    int     `cbor:"3,keyasint" json:"keys"`
	Weight  float64 `cbor:"4,keyasint" json:"weight"`
	// Limit bounds Running. A resource of 0 has no limit.
	Limit work.Demand `cbor:"5,keyasint" json:"limit"`
	// Running is what the runs that may be alive ask for.
	Running work.Demand `cbor:"6,keyasint" json:"running"`
	// Waiting is the number of jobs without a run that is known to have begun.
	Waiting int `cbor:"7,keyasint" json:"waiting"`
	// Refused counts the submissions that this leader has refused since its election.
	Refused Refusals `cbor:"8,keyasint" json:"refused"`
}

// Refusals counts refused submissions by reason. Attempts of one job count each.
type Refusals struct {
	// BeyondAllowance: the pool is full and the customer hands in more jobs than it is owed.
	BeyondAllowance uint64 `cbor:"1,keyasint,omitempty" json:"beyond_allowance"`
	// Hopeless: the job's result would not count any more when the pool could run it.
	Hopeless uint64 `cbor:"2,keyasint,omitempty" json:"hopeless"`
	// NeverFits: a task or gang alone exceeds the customer's limit.
	NeverFits uint64 `cbor:"3,keyasint,omitempty" json:"never_fits"`
	// RegionFull: the region holds as many jobs as it can.
	RegionFull uint64 `cbor:"4,keyasint,omitempty" json:"region_full"`
}

// Sum returns the number of all refusals.
func (r *Refusals) Sum() uint64 { return r.BeyondAllowance + r.Hopeless + r.NeverFits + r.RegionFull }

// count counts a refusal. Other errors do not count.
func (r *Refusals) count(err error) {
	var refused *admission.Refused
	var neverFits *customer.NeverFits
	var full *fault.LimitExceeded
	switch {
	case errors.As(err, &refused) && refused.Reason == admission.ReasonBeyondAllowance:
		r.BeyondAllowance++
	case errors.As(err, &refused):
		r.Hopeless++
	case errors.As(err, &neverFits):
		r.NeverFits++
	case errors.As(err, &full):
		r.RegionFull++
	}
}

// add adds the refusals of another customer.
func (r *Refusals) add(other *Refusals) {
	r.BeyondAllowance += other.BeyondAllowance
	r.Hopeless += other.Hopeless
	r.NeverFits += other.NeverFits
	r.RegionFull += other.RegionFull
}

// noteRefusal counts a refusal of a customer's job. The mutex is held.
func (l *Leader) noteRefusal(name string, err error) {
	if name == "" {
		return
	}
	known := l.admissions.refused[name]
	if known == nil {
		known = &Refusals{}
		l.admissions.refused[name] = known
	}
	known.count(err)
}

// Customers returns the customers of the configuration, and the others that still have jobs,
// sorted by name. It changes nothing.
func (l *Leader) Customers() []CustomerStatus {
	l.mu.Lock()
	refused := make(map[string]Refusals, len(l.admissions.refused))
	for name, r := range l.admissions.refused {
		refused[name] = *r
	}
	l.mu.Unlock()
	byName := map[string]*CustomerStatus{}
	l.cfg.StateMachine.Read(func(v *work.View) {
		if v.Config != nil {
			for i := range v.Config.Customers {
				c := &v.Config.Customers[i]
				byName[c.Name] = &CustomerStatus{Name: c.Name, Keys: len(c.Keys), Weight: c.Weight, Limit: c.Limit}
			}
		}
		for _, j := range v.Live {
			if j.Customer == "" {
				continue
			}
			c := byName[j.Customer]
			if c == nil {
				c = &CustomerStatus{Name: j.Customer, Removed: true}
				byName[j.Customer] = c
			}
			if !j.State.Final() && !j.Begun {
				c.Waiting++
			}
		}
		for name, c := range byName {
			c.Running, c.Refused = v.Usage(name), refused[name]
		}
	})
	out := make([]CustomerStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

const (
	// customerLogInterval is how often customers are logged, customerLogLines of them at most.
	customerLogInterval = 10 * time.Second
	customerLogLines    = 50
)

// customerLoop logs at intervals the customers that have jobs or were refused since their
// last line. If they are more than the lines of one interval, the others follow in the next.
func (l *Leader) customerLoop() {
	log := customerLog{logged: map[string]uint64{}}
	for l.sleep(customerLogInterval) {
		customers := l.Customers()
		l.forgetRefusals(customers)
		for _, c := range log.next(customers) {
			l.log.Info().Str("customer", c.Name).Bool("removed", c.Removed).Int("keys", c.Keys).Float64("weight", c.Weight).
				Int64("limit_mcpu", c.Limit.MilliCPU).Int64("limit_memory_mb", c.Limit.MemoryMB).Int64("limit_gpus", c.Limit.GPUs).
				Int64("mcpu", c.Running.MilliCPU).Int64("memory_mb", c.Running.MemoryMB).Int64("gpus", c.Running.GPUs).
				Int("waiting", c.Waiting).Uint64("beyond_allowance", c.Refused.BeyondAllowance).Uint64("hopeless", c.Refused.Hopeless).
				Uint64("never_fits", c.Refused.NeverFits).Uint64("region_full", c.Refused.RegionFull).Msg("customer")
		}
	}
}

// forgetRefusals removes the counts of customers that are neither in the configuration nor
// have jobs.
func (l *Leader) forgetRefusals(customers []CustomerStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.admissions.refused {
		if _, found := slices.BinarySearchFunc(customers, name, compareCustomer); !found {
			delete(l.admissions.refused, name)
		}
	}
}

func compareCustomer(c CustomerStatus, name string) int { return strings.Compare(c.Name, name) }

// customerLog chooses the customers that are logged.
type customerLog struct {
	// last is the last customer that was logged, and logged the refusals that the lines of
	// each customer have told.
	last   string
	logged map[string]uint64
}

// next returns the customers to log now: up to customerLogLines, from the one that follows
// the last on, and each at most once.
func (g *customerLog) next(customers []CustomerStatus) []*CustomerStatus {
	first, found := slices.BinarySearchFunc(customers, g.last, compareCustomer)
	if found {
		first++
	}
	var out []*CustomerStatus
	for i := range customers {
		c := &customers[(first+i)%len(customers)]
		refused := c.Refused.Sum()
		if c.Running == (work.Demand{}) && c.Waiting == 0 && refused == g.logged[c.Name] {
			continue
		}
		if out = append(out, c); len(out) == customerLogLines {
			break
		}
	}
	for _, c := range out {
		g.last, g.logged[c.Name] = c.Name, c.Refused.Sum()
	}
	for name := range g.logged {
		if _, found := slices.BinarySearchFunc(customers, name, compareCustomer); !found {
			delete(g.logged, name)
		}
	}
	return out
}
