package schedule

import (
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// UsableShare is the share of the hosts' CPU that tasks of mixed sizes can use.
	UsableShare = 0.9
	// reserveShare is the part of a job's remaining duration that is kept as a reserve,
	// since durations vary by a factor of about 1.6.
	reserveShare = 0.3
)

// postpone marks the jobs that cannot be in time beside the jobs accepted before them,
// even with all hosts that their pool can get, so that they are served after those that
// can. Otherwise all jobs of an overloaded pool would wait until they can only just be
// in time, and most would be late: each gets part of its work done, but few get all of
// it.
func (r *Request) postpone(order []urgency) {
	candidates := map[string][]*urgency{}
	for i := range order {
		if u := &order[i]; u.rank == InTime {
			candidates[u.job.Pool] = append(candidates[u.job.Pool], u)
		}
	}
	if len(candidates) == 0 || r.Capacity == nil {
		return
	}
	taken, byCustomer := r.running(func(pool string) bool { return candidates[pool] != nil })
	for name, jobs := range candidates {
		capacity := UsableShare * float64(r.Capacity(name))
		r.orderByShare(jobs, byCustomer[name])
		ahead := taken[name]
		for _, u := range jobs {
			reserve := reserveShare * float64(u.remainingMS)
			if !u.job.Started() && float64(r.NowMS)+reserve+ahead/max(1, capacity) > float64(u.latestStartMS) {
				u.rank = Postponed
				continue
			}
			ahead += r.waitingWork(u.job)
		}
		r.Backlogs[name] = Backlog{InTime: ahead, Counting: ahead}
	}
}

// running returns the remaining work of the runs in each pool, in thousandths of a core
// times ms, in all and by customer.
func (r *Request) running(counts func(pool string) bool) (sums map[string]float64, byCustomer map[string]map[string]float64) {
	sums, byCustomer = map[string]float64{}, map[string]map[string]float64{}
	for _, j := range r.Jobs {
		if !counts(j.Pool) || j.Spec.LongLived() || !j.Started() {
			continue
		}
		if byCustomer[j.Pool] == nil {
			byCustomer[j.Pool] = map[string]float64{}
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.Active() {
				d := r.Duration(j, t.Step)
				left := max(d-(r.NowMS-t.StartedMS), d/overrunDivisor)
				remaining := float64(left * j.Spec.Steps[t.Step].Reserved().MilliCPU)
				sums[j.Pool] += remaining
				byCustomer[j.Pool][j.Customer] += remaining
			}
		}
	}
	return sums, byCustomer
}

// Backlog is the work that is left of the jobs of a pool, except of long-lived ones, in
// thousandths of a core times ms.
type Backlog struct {
	// InTime is that of the runs, and of the jobs that will be in time.
	InTime float64
	// Counting includes that of the other jobs whose results can still count.
	Counting float64
}

// addBacklog adds the jobs that are not in time to the backlogs.
func (r *Request) addBacklog(order []urgency) {
	for i := range order {
		u := &order[i]
		if u.rank != Postponed && u.rank != Late {
			continue
		}
		b := r.Backlogs[u.job.Pool]
		b.Counting += r.waitingWork(u.job)
		r.Backlogs[u.job.Pool] = b
	}
}

// waitingWork returns the work of a job that was not started, in thousandths of a core
// times ms.
func (r *Request) waitingWork(j *work.Job) float64 {
	sum := 0.0
	for i := range j.Spec.Steps {
		waiting := j.Spec.Steps[i].Tasks
		if j.Started() {
			waiting = j.PendingTasks(0, i)
		}
		sum += float64(int64(waiting) * r.Duration(j, i) * j.Spec.Steps[i].Reserved().MilliCPU)
	}
	return sum
}

// startedOrder sorts jobs that have started before the others.
func (u *urgency) startedOrder() int {
	if u.job.Started() {
		return 0
	}
	return 1
}
