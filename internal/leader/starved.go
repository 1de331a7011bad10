package leader

import (
	"cmp"
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// starvedAfter is how long a long-lived task may have no run that is up before it
	// is logged: twice the lease duration, within which most lost runs are replaced.
	starvedAfter = 2 * leaseDuration
	// starvedLogInterval is how often such tasks are looked for and logged.
	starvedLogInterval = 2 * time.Second
	// maxStarvedLines bounds the log lines of one check.
	maxStarvedLines = 8
)

// starved holds since when long-lived tasks have had no run that is up.
type starved struct {
	checkedAt time.Time
	since     map[work.TaskRef]time.Time
}

// logStarved logs the long-lived tasks that have been down for starvedAfter, with the
// state of their last run and the reasons for which the hosts of their pool take no
// runs. The mutex is held.
func (l *Leader) logStarved(v *work.View) {
	now := l.now()
	if now.Sub(l.starved.checkedAt) < starvedLogInterval {
		return
	}
	l.starved.checkedAt = now
	since := map[work.TaskRef]time.Time{}
	lines := 0
	for _, j := range v.Live {
		if j.State.Final() || !j.Spec.LongLived() {
			continue
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if l.isUp(j, t) {
				continue
			}
			ref := j.Ref(t)
			since[ref] = now
			if before, known := l.starved.since[ref]; known {
				since[ref] = before
			}
			if waited := now.Sub(since[ref]); waited >= starvedAfter && lines < maxStarvedLines {
				lines++
				l.logStarvedTask(v, j, t, waited)
			}
		}
	}
	l.starved.since = since
}

func (l *Leader) logStarvedTask(v *work.View, j *work.Job, t *work.Task, waited time.Duration) {
	line := l.log.Warn().Str("job", j.ID).Int("step", t.Step).Int("index", t.Index).Int("run", t.Run).Dur("waited", waited)
	if t.Active() {
		line.Str("target", t.Target)
		if s := l.sessions[t.Target]; s != nil {
			o := s.orders[work.RunRef{Task: j.Ref(t), Run: t.Run}]
			line.Bool("silent", s.silent).Bool("replaced", s.superseded).Dur("answered_before", l.now().Sub(s.answered)).
				Dur("lease_left", s.leaseEnd.Sub(l.now()))
			if o != nil {
				line.Bool("confirmed", !o.startedAt.IsZero()).Bool("stopped", !o.stoppedAt.IsZero()).
					Bool("starting", o.starting).Bool("stopping", o.stopping)
			}
		}
		line.Msg("lasting task is not at work")
		return
	}
	hosts := map[string]int{}
	step := &j.Spec.Steps[t.Step]
	away := l.awayDataCentres(v)
	for key, target := range v.Targets {
		if target.Pool == j.Pool {
			reason := l.exclusionReason(v, key, target, away)
			if reason == "" {
				h := &schedule.Host{Target: target, Free: v.Free(target), SetAside: l.isSetAside(key)}
				noteCoLocated(v, h)
				reason = cmp.Or(string(h.Obstacle(j, t, step, 0)), "free")
			}
			hosts[reason]++
		}
	}
	line.Str("pool", j.Pool).Int64("mcpu", step.Reserved().MilliCPU).Int64("memory_mb", step.Reserved().MemoryMB).
		Int("most_per_host", step.MaxPerHost).Bool("fill_in", step.FillIn).Bool("serves", step.TailLatencyTargetMS > 0).
		Bool("policy", j.PolicyChecked).Interface("hosts", hosts).Msg("lasting task has no host")
}

// exclusionReason returns why a target takes no new runs, or "". The mutex is held.
func (l *Leader) exclusionReason(v *work.View, key string, t *work.Target, away map[string]bool) string {
	switch {
	case t.Ended:
		return "ended"
	case t.Draining:
		return "drains"
	case v.PredecessorMayRun(t):
		return "follows an earlier incarnation"
	case away[t.DataCentre]:
		return "data centre is away"
	case !l.heard(t):
		return "silent"
	case l.now().Before(l.statuses[key].avoidUntil):
		return "refused or did not answer an order"
	case l.fleet.reserved(t.Host):
		return l.fleet.host(t.Host).reserved
	}
	return ""
}
