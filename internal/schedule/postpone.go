package schedule

import (
	"cmp"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// usableShare is the share of the hosts' CPU that tasks of mixed sizes can use.
	usableShare = 0.9
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
	taken := r.running(candidates)
	for name, jobs := range candidates {
		capacity := usableShare * float64(r.Capacity(name))
		slices.SortFunc(jobs, func(a, b *urgency) int {
			return cmp.Or(cmp.Compare(a.startedOrder(), b.startedOrder()), cmp.Compare(a.job.Sequence, b.job.Sequence))
		})
		ahead := taken[name]
		for _, u := range jobs {
			reserve := reserveShare * float64(u.remainingMS)
			if !u.job.Started() && float64(r.NowMS)+reserve+ahead/max(1, capacity) > float64(u.latestStartMS) {
				u.rank = Postponed
				continue
			}
			ahead += r.waitingWork(u.job)
		}
	}
}

// running returns the remaining work of the runs in each pool, in thousandths of a core
// times ms.
func (r *Request) running(pools map[string][]*urgency) map[string]float64 {
	sums := map[string]float64{}
	for _, j := range r.Jobs {
		if pools[j.Pool] == nil || j.Spec.LongLived() || !j.Started() {
			continue
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if t.Active() {
				d := r.Duration(j, t.Step)
				left := max(d-(r.NowMS-t.StartedMS), d/overrunDivisor)
				sums[j.Pool] += float64(left * j.Spec.Steps[t.Step].Reserved().MilliCPU)
			}
		}
	}
	return sums
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
