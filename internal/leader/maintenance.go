package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/drain"
	"agatehaven.dev/agatehaven/internal/work"
)

// waveStep names the maintenance of one host of a wave.
type waveStep struct {
	wave int64
	host string
}

func (r waveStep) withKind(kind work.WaveStepKind) work.WaveStep {
	return work.WaveStep{Wave: r.wave, Host: r.host, Kind: kind}
}

// maintain drains the hosts of waves and orders their maintenance.
func (l *Leader) maintain() {
	l.planning.lock()
	ready, evacuate := l.chooseMaintenance()
	l.planning.unlock()
	for _, r := range ready {
		l.wg.Go(func() { l.maintainHost(r) })
	}
	for key, runs := range evacuate {
		if s := l.sessionOf(key); s != nil {
			for _, r := range runs {
				l.logRun(key, r).Msg("lasting task evacuated")
				s.stop(r)
			}
		}
	}
	l.noteReturnedHosts()
}

// chooseMaintenance reserves hosts of waves. It returns those that are empty, and the
// long-lived runs that can be stopped.
func (l *Leader) chooseMaintenance() (ready []waveStep, evacuate map[string][]work.RunRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	evacuate = map[string][]work.RunRef{}
	l.cfg.StateMachine.Read(func(v *work.View) {
		byHost := map[string]*work.Target{}
		for _, t := range v.Targets {
			if !t.Ended {
				byHost[t.Host] = t
			}
		}
		budget := newBudget(l, v)
		for key, t := range v.Targets {
			if t.Draining && !t.Ended {
				evacuate[key] = append(evacuate[key], budget.leaving(t)...)
			}
		}
		relocation, chosen := newRelocation(l, v), map[string]bool{}
		for _, w := range v.Waves {
			for _, name := range l.nextHosts(v, w, byHost, relocation) {
				h := l.fleet.host(name)
				h.reserved, h.stuckSince, chosen[name] = reservedMaintenance, time.Time{}, true
				t := byHost[name]
				if t == nil || (t.Runs() == 0 && !v.PredecessorMayRun(t)) {
					h.orderPending = true
					ready = append(ready, waveStep{w.ID, name})
					continue
				}
				for _, r := range budget.interruptible(t, relocation.inPlace) {
					evacuate[t.Key()] = append(evacuate[t.Key()], r)
				}
			}
		}
		l.reopenHosts(v, byHost, chosen, relocation)
	})
	return ready, evacuate
}

// drainPause is how long a host is not emptied again after it had to take runs again, so that
// its tasks are not interrupted over and over.
const drainPause = 5 * time.Second

// stuckGrace is how long a host may be impossible to empty before it takes runs again. Room
// comes and goes while hosts join a pool or do not answer a call.
const stuckGrace = time.Second

// reopenHosts lets the hosts take new runs again that cannot be emptied, or on which a task
// could run that no other host can take. Hosts that may go down for maintenance stay
// reserved.
func (l *Leader) reopenHosts(v *work.View, byHost map[string]*work.Target, chosen map[string]bool, relocation *relocation) {
	for name, h := range l.fleet.hosts {
		if h.reserved != reservedMaintenance || h.orderPending || l.mayBeDown(v, name) {
			continue
		}
		t := byHost[name]
		stuck := relocation.stuck[name] && l.now().Sub(h.stuckSince) >= stuckGrace
		if stuck || (t != nil && !chosen[name] && relocation.needed(t)) {
			h.reserved, h.drainAgainAt, h.stuckSince = "", l.now().Add(drainPause), time.Time{}
			l.log.Info().Str("host", name).Int("tasks_without_room", len(relocation.unplaced)).Msg("host takes runs again before its maintenance")
		}
	}
}

// mayBeDown reports whether the maintenance of a host was ordered and the host is not known
// to be back.
func (l *Leader) mayBeDown(v *work.View, host string) bool {
	for _, w := range v.Waves {
		if _, ordered := w.Ordered[host]; ordered && !w.Returned[host] {
			return true
		}
	}
	return false
}

// nextHosts returns the hosts of a wave to drain now. Hosts whose maintenance was
// ordered without a known outcome, for example by a former leader, already count as
// down and are ordered again.
func (l *Leader) nextHosts(v *work.View, w *work.Wave, byHost map[string]*work.Target, relocation *relocation) []string {
	now := l.now()
	choice := &drain.Wave{
		DownBudget: w.MaxDown - w.Down(), RemainingMS: w.StartedMS + w.DurationMS - l.nowMS(),
		HostDownMS: l.cfg.Timing.Maintenance.Milliseconds(),
		CanEmpty:   func(host string) bool { return relocation.canEmpty(host, byHost[host]) },
	}
	for _, name := range w.Hosts {
		h := l.fleet.host(name)
		if _, begun := w.Begun[name]; begun || h.orderPending || h.reserved == reservedMove || !l.mayOrder(name) || now.Before(h.retryAt) {
			continue
		}
		_, ordered := w.Ordered[name]
		if ordered {
			choice.DownBudget++
		} else if now.Before(h.drainAgainAt) {
			continue
		}
		open := drain.Host{Name: name, Draining: ordered || h.reserved == reservedMaintenance, Spare: l.fleet.spare[name]}
		if t := byHost[name]; t != nil {
			for _, r := range longLivedRuns(v, t) {
				open.LongLived = append(open.LongLived, r.Task.Job)
			}
			open.ShortRuns = t.Runs() - len(open.LongLived)
		}
		choice.Hosts = append(choice.Hosts, open)
	}
	return drain.Choose(choice)
}

// longLivedRuns returns the runs of long-lived tasks on a target.
func longLivedRuns(v *work.View, target *work.Target) []work.RunRef {
	var out []work.RunRef
	target.EachRun(func(r work.RunRef) {
		if j, t := v.Find(r.Task); j != nil && !j.State.Final() && j.Spec.Steps[t.Step].LongLived {
			out = append(out, r)
		}
	})
	slices.SortFunc(out, func(a, b work.RunRef) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return out
}

// maintainHost orders the maintenance of a host that runs nothing.
func (l *Leader) maintainHost(r waveStep) {
	outcome := PlatformBusy
	repeated := l.wasOrdered(r)
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		h := l.fleet.host(r.host)
		h.orderPending = false
		if outcome == PlatformDone {
			h.refusals = 0
			return
		}
		h.noteRefusal(l.now())
		l.fleet.stale = l.fleet.stale || h.refusals >= refusalsBeforeRelist
	}()
	if !l.proposeOrLog(&work.Command{
		WaveSteps: []work.WaveStep{r.withKind(work.MaintenanceOrdered)}, Orders: []work.HostOrder{{Host: r.host, Holder: l.cfg.Host}},
	}, "maintenance") {
		return
	}
	if !l.Confirmed() {
		l.log.Info().Str("host", r.host).Int64("wave", r.wave).Msg("maintenance order not sent: leadership is not confirmed")
		return
	}
	l.mu.Lock()
	token := l.token()
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	answer, err := l.cfg.Platform.Maintain(ctx, r.host, r.wave, token)
	cancel()
	if err != nil {
		l.log.Warn().Err(err).Str("host", r.host).Int64("wave", r.wave).Msg("maintenance order not answered")
		return
	}
	l.log.Info().Str("host", r.host).Int64("wave", r.wave).Str("outcome", string(answer)).Bool("repeated", repeated).
		Msg("maintenance ordered")
	outcome = answer
	if answer != PlatformDone {
		l.noteRefusedMaintenance(r, answer, repeated)
		return
	}
	l.noteHostDown(r.host, "", l.cfg.Timing.Maintenance)
	l.proposeOrLog(&work.Command{WaveSteps: []work.WaveStep{r.withKind(work.MaintenanceBegun)}}, "begun maintenance")
}

// wasOrdered reports whether the maintenance of a host was ordered before, with an outcome
// that is not known.
func (l *Leader) wasOrdered(r waveStep) (ordered bool) {
	l.cfg.StateMachine.Read(func(v *work.View) {
		if w := v.Waves[r.wave]; w != nil {
			_, ordered = w.Ordered[r.host]
		}
	})
	return ordered
}

// noteRefusedMaintenance records a refused order. The refusal of a repeated order proves
// nothing about the earlier ones: one of them may have taken the host down, or may yet do
// so, and the host keeps its place among those that are down.
func (l *Leader) noteRefusedMaintenance(r waveStep, answer PlatformAnswer, repeated bool) {
	kind := work.MaintenanceRefused
	switch {
	case l.isGone(r.host, answer):
		kind = work.MaintenanceGone
		l.log.Info().Str("host", r.host).Int64("wave", r.wave).Msg("host of a wave is gone")
	case repeated:
		return
	}
	l.proposeOrLog(&work.Command{WaveSteps: []work.WaveStep{r.withKind(kind)}}, "refused maintenance")
}

// isGone reports whether the platform no longer knows a host.
func (l *Leader) isGone(name string, answer PlatformAnswer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.host(name).unlisted && (answer == PlatformRefused || answer == PlatformBusy)
}

// returnedHost is a host that is back from maintenance.
type returnedHost struct {
	waveStep
	// waited is for how long the leader knew that the maintenance had begun; answered is
	// set if a target on the host proves that it is back.
	waited   time.Duration
	answered bool
}

// noteReturnedHosts records which hosts are back from maintenance.
func (l *Leader) noteReturnedHosts() {
	returned := l.findReturnedHosts()
	if len(returned) == 0 {
		return
	}
	steps := make([]work.WaveStep, len(returned))
	for i, r := range returned {
		steps[i] = r.withKind(work.MaintenanceReturned)
	}
	if !l.proposeOrLog(&work.Command{WaveSteps: steps}, "returned hosts") {
		return // repeated in the next iteration
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range returned {
		delete(l.fleet.inMaintenance, r.waveStep)
		// A host that already has another order, for another pool or wave, stays
		// reserved.
		if h := l.fleet.host(r.host); h.reserved == reservedMaintenance && !h.orderPending {
			h.reserved = ""
		}
		l.log.Info().Str("host", r.host).Int64("wave", r.wave).Dur("waited", r.waited).Bool("answered", r.answered).
			Msg("host is back from maintenance")
	}
}

// findReturnedHosts returns the hosts whose maintenance has ended. Either a target on the
// host has answered a call that was made after the maintenance had begun, which ends all
// that ran before, or twice its duration has passed on this process's monotonic clock. A
// new leader measures that time from its own beginning. Neither the times in the log nor
// the start times of targets count, since they are read from wall clocks.
func (l *Leader) findReturnedHosts() []returnedHost {
	var returned []returnedHost
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for step := range l.fleet.inMaintenance {
			if w := v.Waves[step.wave]; w == nil || w.Returned[step.host] {
				delete(l.fleet.inMaintenance, step)
			}
		}
		candidates := l.targetsInMaintenance(v)
		for _, w := range v.Waves {
			for name := range w.Begun {
				step := waveStep{w.ID, name}
				since, known := l.fleet.inMaintenance[step]
				switch {
				case w.Returned[name]:
				case !known:
					l.fleet.inMaintenance[step] = now
				default:
					r := returnedHost{step, now.Sub(since), l.hasAnswered(candidates[name], since)}
					if r.answered || r.waited > 2*l.cfg.Timing.Maintenance {
						returned = append(returned, r)
					}
				}
			}
		}
	})
	return returned
}

// targetsInMaintenance returns the targets on hosts in maintenance, by host. The mutex is held.
func (l *Leader) targetsInMaintenance(v *work.View) map[string][]*work.Target {
	targets := map[string][]*work.Target{}
	for host := range l.fleet.hostsInMaintenance() {
		targets[host] = nil
	}
	if len(targets) == 0 {
		return nil
	}
	for _, t := range v.Targets {
		if _, known := targets[t.Host]; known && !t.Ended {
			targets[t.Host] = append(targets[t.Host], t)
		}
	}
	return targets
}

// hasAnswered reports whether one of the targets on a host has answered a call that was
// made after a time. It calls those that were not called since. The mutex is held.
func (l *Leader) hasAnswered(targets []*work.Target, after time.Time) bool {
	for _, t := range targets {
		key := t.Key()
		if s := l.sessions[key]; s != nil && s.listedAt.After(after) {
			return true
		}
		if st := l.statuses[key]; st != nil && l.now().Sub(st.probed) >= probeInterval {
			l.probe(t)
		}
	}
	return false
}

// StartWave records a maintenance wave. It returns the errors of Propose, or a refusal
// by the state machine.
func (l *Leader) StartWave(ctx context.Context, w *work.Wave) error {
	result, err := l.Propose(ctx, &work.Command{Wave: w})
	if err != nil {
		return err
	}
	return result.Err
}
