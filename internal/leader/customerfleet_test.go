package leader_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// customerFleetSeeds is the number of random fleets that customers share.
const customerFleetSeeds = 80

// Guards against customers that have more running than their limit, or that wait although there is
// room and their limit allows more, in some kind of fleet and through any fault, while limits,
// weights and keys change: the fleets are those of TestRandomFleets.
func TestRandomFleetsWithCustomers(t *testing.T) {
	for seed := range uint64(customerFleetSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) {
				f := &fleetRun{w: w, r: rand.New(rand.NewPCG(seed, 3))}
				f.customers = &fleetCustomers{w: w, r: rand.New(rand.NewPCG(seed, 7))}
				f.run()
			})
		})
	}
}

// quota checks what customers have running on the targets against their limits. It knows nothing
// of the state that the leader keeps.
type quota struct {
	// owners and charges hold by job whose it is and what its tasks ask for.
	owners  map[string]string
	charges map[string][]work.Demand
	// limits holds the limits of each customer in the order in which they took effect.
	limits map[string][]limitChange
}

// limitChange is a limit from the time when it was committed on. The zero value is none.
type limitChange struct {
	at    time.Time
	limit work.Demand
}

// running returns what the live runs of a customer ask for.
func (q *quota) running(w *world, owner string) (sum work.Demand) {
	for task, n := range w.alive {
		if q.owners[task.Job] == owner {
			sum = sum.Add(q.charges[task.Job][task.Step].Times(int64(n)))
		}
	}
	return sum
}

// checkBegin checks that a run which begins does not bring its customer above the highest limit
// that was in force since the start was committed. The world's mutex is held.
func (q *quota) checkBegin(w *world, run work.RunRef) {
	if q == nil || q.owners[run.Task.Job] == "" {
		return
	}
	owner := q.owners[run.Task.Job]
	committed := time.Time{}
	w.stateMachine.Read(func(v *work.View) {
		if _, t := v.Find(run.Task); t != nil && t.Run == run.Run {
			committed = time.UnixMilli(t.StartedMS)
		}
	})
	sum := q.running(w, owner)
	changes := q.limits[owner]
	for i, c := range changes {
		ended := i+1 < len(changes) && changes[i+1].at.Before(committed)
		if !ended && c.limit.Allows(sum) {
			return
		}
	}
	w.violate("%s %v begins and brings %s to %+v, above %+v", time.Now().Format("05.000"), run, owner, sum, changes)
}

// allows reports whether a task that waits, with those that start with it, fits its customer's
// limit, of which less than half is in use.
func (q *quota) allows(w *world, j *work.Job, t *work.Task, together int64) bool {
	if q == nil || q.owners[j.ID] == "" {
		return true
	}
	changes := q.limits[q.owners[j.ID]]
	limit := changes[len(changes)-1].limit
	used := q.running(w, q.owners[j.ID])
	return limit.Allows(used.Times(2)) && limit.Allows(used.Add(q.charges[j.ID][t.Step].Times(together)))
}

// fleetCustomers are the customers of a random fleet.
type fleetCustomers struct {
	w *world
	r *rand.Rand
	// keys counts the keys that each customer has had. hasKey is set unless it has lost all.
	keys   map[string]int
	hasKey map[string]bool
	all    []work.Customer
}

// configure draws the first customers.
func (f *fleetCustomers) configure() {
	f.keys, f.hasKey = map[string]int{}, map[string]bool{}
	f.w.quota = &quota{owners: map[string]string{}, charges: map[string][]work.Demand{}, limits: map[string][]limitChange{}}
	for i := range 1 + f.r.IntN(4) {
		name := "customer" + strconv.Itoa(i)
		f.all = append(f.all, work.Customer{Name: name, Weight: f.weight(), Limit: f.limit()})
		f.exchangeKey(len(f.all) - 1)
	}
	f.apply()
}

func (f *fleetCustomers) weight() float64 { return []float64{0, 0.3, 1, 5, 100}[f.r.IntN(5)] }

// limit draws a limit of one or several resources, or none.
func (f *fleetCustomers) limit() (d work.Demand) {
	if f.r.IntN(3) > 0 {
		d.MilliCPU = int64(1000 + f.r.IntN(12_000))
	}
	if f.r.IntN(4) == 0 {
		d.MemoryMB = int64(1000 + f.r.IntN(10_000))
	}
	if f.r.IntN(4) == 0 {
		d.GPUs = int64(1 + f.r.IntN(4))
	}
	return d
}

// exchangeKey gives a customer a new key in place of the former one.
func (f *fleetCustomers) exchangeKey(i int) {
	c := &f.all[i]
	f.keys[c.Name]++
	c.Keys = []customer.KeyDigest{f.key(c.Name)}
	f.hasKey[c.Name] = true
}

func (f *fleetCustomers) key(name string) customer.KeyDigest {
	return customer.Digest(name + " " + strconv.Itoa(f.keys[name]))
}

// apply makes the customers take effect.
func (f *fleetCustomers) apply() {
	f.w.withCustomers(append([]work.Customer(nil), f.all...)...)
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	for _, c := range f.all {
		f.w.quota.limits[c.Name] = append(f.w.quota.limits[c.Name], limitChange{time.Now(), c.Limit})
	}
	f.w.disturbed("customers are %+v", f.all)
}

// change changes the limits, weights or keys of one customer, often enough that most of a run's
// disruptions meet limits that moved.
func (f *fleetCustomers) change() {
	if f.r.IntN(2) == 0 {
		return
	}
	i := f.r.IntN(len(f.all))
	c := &f.all[i]
	switch f.r.IntN(6) {
	case 0:
		c.Weight = f.weight()
	case 1:
		f.exchangeKey(i)
	case 2:
		c.Keys, f.hasKey[c.Name] = nil, false
	default:
		c.Limit = f.limit()
	}
	f.apply()
}

// submit has a customer hand in a job, and reports whether it was accepted. One that can never fit
// its limit is refused.
func (f *fleetCustomers) submit(id, path string, steps []work.Step) bool {
	c := f.all[f.r.IntN(len(f.all))]
	if !f.hasKey[c.Name] {
		return false
	}
	q := f.w.quota
	f.w.mu.Lock()
	q.owners[id], q.charges[id] = c.Name, nil
	for i := range steps {
		q.charges[id] = append(q.charges[id], steps[i].Demand)
	}
	f.w.mu.Unlock()
	l := leader.New(leader.Config{Group: f.w, StateMachine: f.w.stateMachine, Clock: clock.System{}, Log: zerolog.Nop()}, 1)
	result, err := l.Propose(context.Background(), &work.Command{Submit: &work.Submission{
		ID: id, Domain: "d", Path: path, Key: f.key(c.Name), Spec: work.Spec{Steps: steps},
	}})
	var neverFits *customer.NeverFits
	if err == nil {
		err = result.Err
	}
	if err != nil && !errors.As(err, &neverFits) {
		f.w.t.Errorf("job %s of %s: %v", id, c.Name, err)
	}
	return err == nil
}
