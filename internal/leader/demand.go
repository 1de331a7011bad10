package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/poolsize"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// logSizes logs the demand and the hosts of the pools, at most once a second.
func (l *Leader) logSizes(demand []poolsize.Pool, hosts []poolsize.Host, decision *poolsize.Decision, moves int) {
	if l.now().Sub(l.fleet.sizesLoggedAt) < time.Second {
		return
	}
	l.fleet.sizesLoggedAt = l.now()
	count, movable, used, cordoned := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for _, h := range hosts {
		count[h.Pool]++
		if h.Movable {
			movable[h.Pool]++
		}
		if h.Load > 0 || h.LongLived {
			used[h.Pool]++
		}
		if decision.Cordoned[h.Name] {
			cordoned[h.Pool]++
		}
	}
	for _, p := range demand {
		l.log.Info().Str("pool", p.Name).Int("hosts", count[p.Name]).Int("wanted", decision.Wanted[p.Name]).
			Int("used", used[p.Name]).Int("cordoned", cordoned[p.Name]).Int("movable", movable[p.Name]).
			Int64("running_mcpu", p.Running).Int64("waiting_mcpu", p.Waiting).
			Int64("missed_running_mcpu", p.LateRunning).Int64("missed_waiting_mcpu", p.LateWaiting).Float64("arriving_mcpu", p.ArrivalRate).Float64("rising_mcpu", p.ArrivalRise).
			Int("spread", p.MinHosts).Int("lacking", p.MissingHosts).Int("moves", moves).Msg("pool size")
	}
}

// demand measures the demand of the pools. The mutex is held.
func (l *Leader) demand(v *work.View) []poolsize.Pool {
	pools := make([]poolsize.Pool, len(v.Config.Pools))
	index := map[string]*poolDemand{}
	for i, p := range v.Config.Pools {
		pools[i] = poolsize.Pool{Name: p.Name, Standby: p.Standby}
		index[p.Name] = &poolDemand{Pool: &pools[i]}
	}
	now := l.nowMS()
	away := l.awayDataCentres(v)
	l.arrivals.add(v, now, l.estimates.expected)
	owners := accounts(v)
	for _, j := range liveJobs(v, len(owners) > 0) {
		if d := index[j.Pool]; d != nil && !j.State.Final() {
			d.missed = j.BeyondAllowance || schedule.DeadlineStatusOf(j, now, l.estimates.expected) > schedule.InTime
			for i := range j.Tasks {
				d.add(l, v, j, &j.Tasks[i], away, owners[j.Customer])
			}
		}
	}
	for name, d := range index {
		d.ArrivalRate, d.ArrivalRise = l.arrivals.rate(name)
		d.DurationS = d.durations.value()
		missing, ok := l.missingHosts[name]
		d.WaitingLongLived = missing.longLived
		if ok && l.now().Sub(missing.since) >= missingHostsDelay {
			d.MissingHosts, d.MissingLongLived = missing.hosts, missing.longLived
			d.Suits = func(host string) bool { return l.meetsAny(host, missing.needs) }
			d.SuitsShort = func(host string) bool { return l.meetsAny(host, missing.shortNeeds) }
		}
	}
	return pools
}

// liveJobs returns the jobs with unfinished or running tasks, in the order of their acceptance if
// it matters.
func liveJobs(v *work.View, ordered bool) []*work.Job {
	jobs := slices.Collect(maps.Values(v.Live))
	if ordered {
		slices.SortFunc(jobs, func(a, b *work.Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
	}
	return jobs
}

// poolDemand sums up the demand of a pool.
type poolDemand struct {
	*poolsize.Pool
	durations mean
	// missed is set while the tasks of a job are added that will miss its objective, or that
	// its customer is not owed.
	missed bool
}

// add includes a task, unless it has to wait for others of its customer, nil if it has none. The
// leader's mutex is held.
func (d *poolDemand) add(l *Leader, v *work.View, j *work.Job, t *work.Task, away map[string]bool, owner *schedule.Account) {
	step := &j.Spec.Steps[t.Step]
	cpu := step.Reserved().MilliCPU
	switch {
	case t.Active():
		// Runs on silent hosts need no capacity on other hosts until their leases end.
		if on := v.Targets[t.Target]; on != nil && l.heard(on) && !away[on.DataCentre] {
			d.Running += cpu
			d.LateRunning += d.ifMissed(cpu)
		}
	case !t.Done && j.Ready(t) && owner.MayRun(step, 1) > 0:
		owner.Add(step, 1)
		d.Waiting += cpu
		d.LateWaiting += d.ifMissed(cpu)
	}
	if !step.LongLived && !t.Done {
		d.durations.add(float64(l.estimates.expected(j, t.Step))/1000, float64(cpu))
	}
	if step.LongLived && step.MaxPerHost > 0 {
		d.MinHosts = max(d.MinHosts, (step.Tasks+step.MaxPerHost-1)/step.MaxPerHost)
	}
}

// ifMissed returns the demand if it belongs to a job that will miss its objective, and
// 0 otherwise.
func (d *poolDemand) ifMissed(cpu int64) int64 {
	if d.missed {
		return cpu
	}
	return 0
}

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

// value returns the mean, 0 if nothing was added.
func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
