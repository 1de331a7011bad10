package leader

import (
	"math"
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// planDebounce batches changes within a few ms into one plan and one commit. It is
	// a hundredth of the duration of a short task.
	planDebounce = 10 * time.Millisecond
	// maxPlanInterval bounds the time between plans, for conditions that only depend on
	// time.
	maxPlanInterval = 100 * time.Millisecond
	// maxStarts bounds the starts of one plan and so its log entry.
	maxStarts = 256
)

// planLoop starts the tasks that fit, and stops runs that are no longer wanted.
func (l *Leader) planLoop() {
	for {
		changed := l.cfg.StateMachine.Changed()
		if l.Confirmed() {
			l.stopUnwanted()
			l.startPlanned()
		}
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		case <-l.wake:
		case <-l.cfg.Clock.After(maxPlanInterval):
		}
		if !l.sleep(planDebounce) {
			return
		}
	}
}

// startPlanned commits a plan and sends the starts that the state machine accepted.
func (l *Leader) startPlanned() {
	l.planning.lock()
	defer l.planning.unlock()
	starts := l.plan()
	if len(starts) == 0 {
		return
	}
	result, err := l.Propose(l.ctx, &work.Command{Start: starts})
	if err != nil {
		l.log.Warn().Err(err).Int("starts", len(starts)).Msg("plan not recorded")
		return
	}
	if len(result.Started) < len(starts) {
		l.log.Info().Int("planned", len(starts)).Int("accepted", len(result.Started)).Msg("plan was partly outdated")
	}
	for _, r := range result.Started {
		if r.Run == 1 && r.Task.Step == 0 && r.Task.Index == 0 {
			l.log.Info().Str("job", r.Task.Job).Str("target", r.Target).Int("planned", len(starts)).Msg("job starts")
		}
		if s := l.sessionOf(r.Target); s != nil {
			s.startRun(r, false)
		}
	}
}

// sessionOf returns the session with a target and opens it if needed.
func (l *Leader) sessionOf(key string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[key]; s != nil {
		return s
	}
	var s *session
	l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[key]; t != nil {
			s = l.openSession(key, Address{t.Address, t.ID}, l.hasRecentPredecessor(t))
		}
	})
	return s
}

func (l *Leader) plan() []work.Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var starts []work.Start
	l.cfg.StateMachine.Read(func(v *work.View) {
		r := &schedule.Request{
			NowMS: l.nowMS(), TimeOfDayMS: l.now().UnixMilli(), MaxStarts: maxStarts, Duration: l.estimates.expected,
			Permitted: func(j *work.Job, t *work.Task, target *work.Target, hosts []*schedule.Host) bool {
				return l.permitted(v, j, t, target, hosts)
			},
			Denied: func(j *work.Job, t *work.Task, target *work.Target) bool {
				return j.PolicyChecked && l.permits.denied(stepRef(j.Ref(t)), target.ID)
			},
			Capacity: l.capacity, HostTypes: l.fleet.hostTypes, MaxMissing: len(l.fleet.hosts),
			DemandMet: func(pool string) bool { return l.fleet.demandMet[pool] },
			Accounts:  accounts(v),
			MaxKept:   maxKeptPlaces, Held: l.places.kept, BlockedBefore: l.places.blockedSince,
		}
		l.prunePermits(v)
		l.interference = false
		for _, j := range v.Live {
			r.Jobs = append(r.Jobs, j)
			for i := range j.Spec.Steps {
				l.interference = l.interference || interferes(&j.Spec.Steps[i])
			}
		}
		l.noteWaitingSteps(v)
		r.MayUseLastResort = l.mayUseLastResort
		awaiting := hostsAwaitingMaintenance(v)
		r.Hosts = func(pool string) []*schedule.Host { return l.usable(v, pool, awaiting) }
		starts = schedule.Plan(r)
		l.admissions.backlogs = r.Backlogs
		l.notePlaces(r)
		l.noteMissingHosts(r)
		l.logStarved(v)
	})
	return starts
}

// missingHostsDelay is how long a task waits for a suitable host before its pool gets
// more hosts. Other tasks may end in that time.
const missingHostsDelay = 500 * time.Millisecond

// missingHosts is what a pool needs for the tasks that none of its hosts can take.
type missingHosts struct {
	since time.Time
	hosts int
	// longLived is how many of the hosts long-lived tasks need; needs is what these
	// tasks require, and shortNeeds what the others do.
	longLived         int
	needs, shortNeeds []schedule.Need
}

// noteMissingHosts records how many hosts the pools miss, and since when. The mutex is
// held.
func (l *Leader) noteMissingHosts(r *schedule.Request) {
	for name := range l.missingHosts {
		if r.MissingHosts[name] == 0 {
			delete(l.missingHosts, name)
		}
	}
	for name, hosts := range r.MissingHosts {
		since := l.now()
		if known, ok := l.missingHosts[name]; ok {
			since = known.since
		}
		l.missingHosts[name] = missingHosts{since, hosts, r.MissingLongLived[name], r.MissingNeeds[name], r.MissingShortNeeds[name]}
	}
}

// capacity returns the CPU that a pool can get. The mutex is held. Before the first
// check of the hosts it is unbounded.
func (l *Leader) capacity(pool string) int64 {
	if cpu, ok := l.fleet.attainableCPU[pool]; ok {
		return cpu
	}
	return math.MaxInt64
}

// usable returns the targets of a pool that may take new runs. Their runs are inspected
// only if some tasks interfere with others. awaiting holds the hosts that await maintenance.
func (l *Leader) usable(v *work.View, pool string, awaiting map[string]bool) []*schedule.Host {
	var hosts []*schedule.Host
	away := l.awayDataCentres(v)
	for key, t := range v.Targets {
		if t.Pool != pool || l.exclusionReason(v, key, t, away) != "" {
			continue
		}
		h := &schedule.Host{
			Target: t, Free: v.Free(t), Penalty: l.statuses[key].failures, SetAside: l.isSetAside(key), AwaitsMaintenance: awaiting[t.Host],
		}
		if l.interference {
			noteCoLocated(v, h)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// hostsAwaitingMaintenance returns the hosts of waves whose maintenance has not begun.
func hostsAwaitingMaintenance(v *work.View) map[string]bool {
	hosts := map[string]bool{}
	for _, w := range v.Waves {
		if w.Complete() {
			continue
		}
		for _, host := range w.Hosts {
			if _, begun := w.Begun[host]; !begun {
				hosts[host] = true
			}
		}
	}
	return hosts
}

// isSetAside reports whether runs have failed on a target, so that others avoid it. The mutex is
// held.
func (l *Leader) isSetAside(key string) bool {
	st := l.statuses[key]
	return st != nil && l.now().Before(st.asideUntil)
}

// noteCoLocated records the CPU of the fill-in tasks on a host and whether a serving
// task runs there.
func noteCoLocated(v *work.View, h *schedule.Host) {
	h.Target.EachRun(func(r work.RunRef) {
		if j, task := v.Find(r.Task); j != nil {
			step := &j.Spec.Steps[task.Step]
			h.HasServing = h.HasServing || step.TailLatencyTargetMS > 0
			if step.FillIn {
				h.FillInCPU += step.Demand.MilliCPU
			}
		}
	})
}

// stopUnwanted stops the runs of jobs that have ended.
func (l *Leader) stopUnwanted() {
	unwanted := map[string][]work.RunRef{}
	l.cfg.StateMachine.Read(func(v *work.View) {
		for _, j := range v.Live {
			if !j.State.Final() {
				continue
			}
			for i := range j.Tasks {
				if t := &j.Tasks[i]; t.Active() {
					unwanted[t.Target] = append(unwanted[t.Target], work.RunRef{Task: j.Ref(t), Run: t.Run})
				}
			}
		}
	})
	for key, runs := range unwanted {
		s := l.sessionOf(key)
		if s == nil {
			continue
		}
		for _, r := range runs {
			s.stop(r)
		}
	}
}

const (
	// suspectFailures failures in a row of suspectJobs different jobs set a target
	// aside.
	suspectFailures = 3
	suspectJobs     = 2
	// setAsideDuration is for how long; it doubles each time up to maxSetAsideDuration.
	setAsideDuration    = 2 * time.Second
	maxSetAsideDuration = 16 * time.Second
)

// logEnds logs the runs that did not succeed, and the jobs that these ended runs
// finished.
func (l *Leader) logEnds(key string, ends []work.EndedRun) {
	finished := map[string]bool{}
	for _, e := range ends {
		if e.Outcome != work.OutcomeDone {
			l.logRun(key, e.Run).Str("outcome", string(e.Outcome)).Msg("run ended")
		}
		finished[e.Run.Task.Job] = true
	}
	for id := range finished {
		if o, ok := l.cfg.StateMachine.Finished(id); ok {
			l.log.Info().Str("job", id).Str("state", string(o.State)).Str("reason", o.Reason).
				Int64("took_ms", o.TookMS).Msg("job finished")
		}
	}
}

// soundAfter is how long a long-lived run has to be up for its target to count as sound. Such
// runs never end as done, and may fail at any time for reasons of their own.
const soundAfter = 5 * time.Second

// provesSound reports whether a run that has ended shows that its target is sound. The mutex is
// held.
func (l *Leader) provesSound(key string, e *work.EndedRun) bool {
	if e.Outcome == work.OutcomeDone {
		return true
	}
	s := l.sessions[key]
	if s == nil || s.orders[e.Run] == nil {
		return false
	}
	up := s.orders[e.Run].upSince
	return !up.IsZero() && l.now().Sub(up) >= soundAfter && l.isLongLived(e.Run)
}

// isLongLived reports whether a run is one of a long-lived task.
func (l *Leader) isLongLived(run work.RunRef) (longLived bool) {
	l.cfg.StateMachine.Read(func(v *work.View) {
		j, t := v.Find(run.Task)
		longLived = j != nil && j.Spec.Steps[t.Step].LongLived
	})
	return longLived
}

// noteOutcomes sets a target aside for some time if runs of several jobs fail on it and
// none succeeds. After that time, a single failure sets it aside again.
func (l *Leader) noteOutcomes(key string, ends []work.EndedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.statuses[key]
	if st == nil {
		return
	}
	for _, e := range ends {
		switch {
		case l.provesSound(key, &e):
			st.failures, st.suspected, st.failedJobs = 0, 0, nil
		case e.Outcome == work.OutcomeFailed:
			st.failures++
			if st.failedJobs == nil {
				st.failedJobs = map[string]bool{}
			}
			if len(st.failedJobs) < suspectJobs {
				st.failedJobs[e.Run.Task.Job] = true
			}
		}
	}
	if st.failures < suspectFailures || len(st.failedJobs) < suspectJobs || l.now().Before(st.asideUntil) {
		return
	}
	st.asideUntil = l.now().Add(min(setAsideDuration<<min(st.suspected, 8), maxSetAsideDuration))
	st.suspected++
	l.log.Warn().Str("target", key).Int("failures", st.failures).Int("suspected", st.suspected).
		Time("until", st.asideUntil).Msg("target is set aside")
}
