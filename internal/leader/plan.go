package leader

import (
	"math"
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// planPace gathers what changes within a few ms into one plan and one
	// commit, at a hundredth of the duration of a short task.
	planPace = 10 * time.Millisecond
	// planEvery bounds the time without a plan, for what only time changes.
	planEvery = 100 * time.Millisecond
	// maxStarts bounds the starts of one plan and so its log entry.
	maxStarts = 256
)

// planLoop starts what fits, and stops what is no longer wanted.
func (l *Leader) planLoop() {
	for {
		changed := l.cfg.StateMachine.Changed()
		if l.Confirmed() {
			l.stopUnwanted()
			l.startWanted()
		}
		select {
		case <-l.ctx.Done():
			return
		case <-changed:
		case <-l.wake:
		case <-l.cfg.Clock.After(planEvery):
		}
		if !l.sleep(planPace) {
			return
		}
	}
}

// startWanted plans, commits the plan and orders what was accepted.
func (l *Leader) startWanted() {
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
		l.log.Info().Int("planned", len(starts)).Int("accepted", len(result.Started)).Msg("plan was partly out of date")
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

// sessionOf returns the session with a target, which it opens if needed.
func (l *Leader) sessionOf(key string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[key]; s != nil {
		return s
	}
	var s *session
	l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[key]; t != nil {
			s = l.openSession(key, Address{t.Address, t.ID}, l.succeededLately(t))
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
			NowMS: l.now().UnixMilli(), MaxStarts: maxStarts, Duration: l.learned.expect,
			Permitted: l.permitted, Capacity: l.capacity, HostTypes: l.fleet.kinds, MaxMissing: len(l.fleet.hosts),
		}
		l.forgetPermits(v)
		disturbs := false // some task may disturb, or be disturbed by, others on its host
		for _, j := range v.Live {
			r.Jobs = append(r.Jobs, j)
			for i := range j.Spec.Steps {
				disturbs = disturbs || j.Spec.Steps[i].FillIn || j.Spec.Steps[i].TailLatencyTargetMS > 0
			}
		}
		r.Hosts = func(pool string) []*schedule.Host { return l.usable(v, pool, disturbs) }
		starts = schedule.Plan(r)
		l.noteLacking(r)
		l.logStarved(v)
	})
	return starts
}

// lackingPause is how long a task waits for a host that takes it before
// its pool gets more hosts: other tasks end meanwhile.
const lackingPause = 500 * time.Millisecond

// lacking is what a pool needs for the tasks that no host takes.
type lacking struct {
	since time.Time
	hosts int
	// lasting is the part of hosts that lasting tasks need, and needs what these need.
	lasting int
	needs   []schedule.Need
}

// noteLacking notes since when pools lack how many hosts. The mutex is held.
func (l *Leader) noteLacking(r *schedule.Request) {
	for name := range l.lacking {
		if r.MissingHosts[name] == 0 {
			delete(l.lacking, name)
		}
	}
	for name, hosts := range r.MissingHosts {
		since := l.now()
		if known, ok := l.lacking[name]; ok {
			since = known.since
		}
		l.lacking[name] = lacking{since, hosts, r.MissingLongLived[name], r.MissingNeeds[name]}
	}
}

// capacity returns the CPU that a pool can have. The mutex is held. Before the
// first look at the hosts nothing is known to be out of reach.
func (l *Leader) capacity(pool string) int64 {
	if cpu, ok := l.fleet.potential[pool]; ok {
		return cpu
	}
	return math.MaxInt64
}

// usable returns the targets of a pool that may take new runs. What runs on
// them is looked at if some tasks disturb others.
func (l *Leader) usable(v *work.View, pool string, disturbs bool) []*schedule.Host {
	var hosts []*schedule.Host
	away := l.awayDataCentres(v)
	for key, t := range v.Targets {
		if t.Pool != pool || l.exclusion(v, key, t, away) != "" {
			continue
		}
		h := &schedule.Host{Target: t, Free: v.Free(t), Penalty: l.contacts[key].failures}
		if disturbs {
			noteSharing(v, h)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// noteSharing notes the fill-in tasks on a host and whether a task serves there.
func noteSharing(v *work.View, h *schedule.Host) {
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
	// suspectFailures failures in a row of suspectJobs jobs set a target aside.
	suspectFailures = 3
	suspectJobs     = 2
	// suspectPause is for how long, doubled each time up to maxSuspectPause.
	suspectPause    = 2 * time.Second
	maxSuspectPause = 16 * time.Second
)

// logEnds logs the runs that ended otherwise than done, and the jobs that are
// finished by these ends.
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

// noteEnds learns from ends: a target on which the runs of several jobs fail
// and none is done is set aside for a while. After it, one more failure sets
// it aside again.
func (l *Leader) noteEnds(key string, ends []work.EndedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contacts[key]
	if c == nil {
		return
	}
	for _, e := range ends {
		switch e.Outcome {
		case work.OutcomeDone:
			c.failures, c.suspected, c.failedJobs = 0, 0, nil
		case work.OutcomeFailed:
			c.failures++
			if c.failedJobs == nil {
				c.failedJobs = map[string]bool{}
			}
			if len(c.failedJobs) < suspectJobs {
				c.failedJobs[e.Run.Task.Job] = true
			}
		}
	}
	if c.failures < suspectFailures || len(c.failedJobs) < suspectJobs || l.now().Before(c.avoidUntil) {
		return
	}
	c.avoidUntil = l.now().Add(min(suspectPause<<min(c.suspected, 8), maxSuspectPause))
	c.suspected++
	l.log.Warn().Str("target", key).Int("failures", c.failures).Int("suspected", c.suspected).
		Time("until", c.avoidUntil).Msg("target is set aside")
}
