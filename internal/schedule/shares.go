package schedule

import (
	"cmp"
	"slices"
	"sort"

	"agatehaven.dev/agatehaven/internal/work"
)

// Account is what a plan knows of a customer whose jobs compete for hosts.
type Account struct {
	// Weight is its share of a full pool relative to those of the others.
	Weight float64
	// Limit bounds what its runs ask for over all pools, and Used is what they ask for. A
	// resource of 0 has no limit.
	Limit, Used work.Demand
}

// account returns the account of a job's customer, nil if the job has none.
func (r *Request) account(j *work.Job) *Account { return r.Accounts[j.Customer] }

// MayRun returns how many of up to n more tasks of a step the customer may run.
func (a *Account) MayRun(s *work.Step, n int) int {
	if a == nil {
		return n
	}
	return sort.Search(n, func(i int) bool { return !a.Limit.Allows(a.Used.Add(s.Charge().Times(int64(i) + 1))) })
}

// Add accounts for n more tasks of a step, or fewer if n is negative.
func (a *Account) Add(s *work.Step, n int) {
	if a != nil {
		a.Used = a.Used.Add(s.Charge().Times(int64(n)))
	}
}

// minWeight stands for a weight of 0: such a customer gets what the others leave.
const minWeight = 1e-6

// orderByShare orders the jobs of a pool as its capacity is to be divided: first those that
// their customers are owed, then those that have started, which keep their hosts, then by
// priority, then by weighted max-min fairness. The order is that of progressive filling
// (Bertsekas and Gallager, Data Networks, 6.5.2): the customer whose running and already
// admitted work is the least for its weight comes next. Only what runs and waits now
// counts, so that a customer that was idle has its share at once and no more than that for
// its past. What is left of a started job beyond its customer's rate yields to what others are
// owed: a pool that is full of such jobs would otherwise have no room for any other in time.
// The work of a gang counts as a whole, and long-lived tasks do not count: they hold their
// hosts whatever waits. Jobs without a customer are served in the order of their acceptance.
func (r *Request) orderByShare(jobs []*urgency, running map[string]float64) {
	if len(r.Accounts) == 0 {
		slices.SortFunc(jobs, func(a, b *urgency) int {
			return cmp.Or(cmp.Compare(a.startedOrder(), b.startedOrder()), cmp.Compare(a.job.Sequence, b.job.Sequence))
		})
		return
	}
	slices.SortFunc(jobs, func(a, b *urgency) int { return cmp.Compare(a.job.Sequence, b.job.Sequence) })
	filled := map[string]float64{}
	for _, u := range jobs {
		if u.job.Started() {
			continue
		}
		name := u.job.Customer
		if _, seen := filled[name]; !seen {
			filled[name] = running[name]
		}
		filled[name] += r.waitingWork(u.job)
		u.share = filled[name] / r.weightOf(name)
	}
	slices.SortFunc(jobs, func(a, b *urgency) int {
		return cmp.Or(compareBool(a.job.BeyondAllowance, b.job.BeyondAllowance), cmp.Compare(a.startedOrder(), b.startedOrder()),
			cmp.Compare(a.priority, b.priority), cmp.Compare(a.share, b.share), cmp.Compare(a.job.Sequence, b.job.Sequence))
	})
}

// weightOf returns the weight of a customer. Jobs without a customer share one of their own.
func (r *Request) weightOf(name string) float64 {
	if a := r.Accounts[name]; a != nil {
		return max(a.Weight, minWeight)
	}
	return 1
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
