package control

import (
	"cmp"
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/liveness"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/repair"
	"agatehaven.dev/agatehaven/internal/wave"
)

// rebootResendInterval is the time after which a reboot order without effect is
// sent again under the same id.
const rebootResendInterval = 5 * time.Second

// eventWaiting records a change of the reason for which a policy waits.
const eventWaiting event.Kind = "policy_waiting"

// fleetSnapshot is the input of the wave and repair policies.
type fleetSnapshot struct {
	catalogue *model.Catalogue
	views     []liveness.View
	patient   map[string]patientWork // by host
	waves     []model.WaveProgress
}

// patientWork is the running work of patient priority on a host.
type patientWork struct {
	tasks            int
	remainingSeconds float64
	// unmovable is the number of tasks that no checkpoint can end.
	unmovable int
	// movable lists the tasks whose checkpoint is not yet ordered.
	movable []ledger.CheckpointItem
}

// add counts an open attempt on a host.
func (w *patientWork) add(a *ledger.OpenAttempt, host *model.Host, remaining time.Duration) {
	w.tasks++
	w.remainingSeconds = max(w.remainingSeconds, remaining.Seconds())
	switch {
	case !a.Checkpointable || !host.Info.Can(model.CapabilityCheckpoint) || a.State != model.AttemptAssigned || a.StopRequested:
		w.unmovable++
	case !a.CheckpointOrdered && host.State == model.HostDraining:
		w.movable = append(w.movable, ledger.CheckpointItem{Key: a.Key, Attempt: a.Attempt})
	}
}

// snapshot joins the committed state of hosts with the leader's contacts.
func (c *Controller) snapshot() fleetSnapshot {
	f := fleetSnapshot{patient: make(map[string]patientWork)}
	c.cfg.StateMachine.View(func(v datacentre.View) {
		f.catalogue = v.Catalogue
		f.waves = v.Hosts.Waves()
		for _, h := range v.Hosts.Hosts() {
			f.views = append(f.views, liveness.View{Host: h, Idle: v.Requests.HeldSlots(h.Info.Name) == 0})
		}
		for _, a := range v.Requests.OpenAttempts() {
			if k := v.Catalogue.JobKinds[a.Kind]; k != nil && k.Priority == model.Patient {
				host, _ := v.Hosts.Host(a.Host)
				work := f.patient[a.Host]
				work.add(&a, &host, c.remaining(a.Kind, a.At, v.Catalogue))
				f.patient[a.Host] = work
			}
		}
	})
	now := c.cfg.Clock.Now()
	for i := range f.views {
		k := c.contactOf(f.views[i].Host.Info.Name)
		if k.announced && k.incarnation == f.views[i].Host.Info.Incarnation {
			f.views[i].LastAnnounced = hlcOf(sameAge(k.lastSeen, now))
			f.views[i].SteadySince = hlcOf(sameAge(k.steadySince, now))
		}
		// The target may still run attempts of requests that have expired from
		// the ledger; its own list of running attempts covers them.
		f.views[i].Idle = f.views[i].Idle && len(k.running) == 0
	}
	return f
}

// remaining returns the expected remaining time of a run that began at the
// given time.
func (c *Controller) remaining(kind string, at hlc.Time, catalogue *model.Catalogue) time.Duration {
	return max(0, c.expectedRunTime(kind, catalogue)-c.now().Sub(at))
}

// sameAge returns the time on the wall clock of now that lies as far back as a time does on
// the monotonic clock: the wall clock may have jumped in between.
func sameAge(at, now time.Time) time.Time { return now.Add(-now.Sub(at)) }

func (c *Controller) now() hlc.Time { return hlcOf(c.cfg.Clock.Now()) }

func hlcOf(t time.Time) hlc.Time { return hlc.Time{WallMillis: t.UnixMilli()} }

// localFloors returns the floors of this data centre by pool.
func (c *Controller) localFloors(catalogue *model.Catalogue) map[string]int {
	floors := make(map[string]int, len(catalogue.Floors))
	for pool, byCentre := range catalogue.Floors {
		floors[pool] = byCentre[c.cfg.DataCentre]
	}
	return floors
}

// runWaves decides and commits the next actions of every wave, including waves
// whose record was deleted while steps were open.
func (c *Controller) runWaves(ctx context.Context) {
	if c.wavesIdle() {
		return
	}
	f := c.snapshot()
	floors := c.localFloors(f.catalogue)
	progress := make(map[string]model.WaveProgress, len(f.waves))
	for _, p := range f.waves {
		progress[p.Wave] = p
	}
	for _, w := range wavesToRun(&f, progress) {
		for _, a := range wave.Decide(c.waveInput(&f, w, progress[w.Name], floors)) {
			if a.Kind == wave.Wait {
				c.recordWaitReason(event.Event{Wave: a.Wave, Host: a.Host, Pool: w.Pool, Actor: wave.Actor, Reason: a.Reason})
				continue
			}
			if a.Kind == wave.Checkpoint {
				c.orderCheckpoints(ctx, &a, f.patient[a.Host].movable)
				continue
			}
			if cmd := a.Command(); cmd != nil && c.proposeHost(ctx, *cmd) != nil {
				break // the state has changed since; the next round decides again
			}
		}
	}
	c.orderReboots(ctx, f.views)
}

// waveInput returns the input of the wave policy.
func (c *Controller) waveInput(f *fleetSnapshot, w *model.Wave, progress model.WaveProgress, floors map[string]int) wave.Input {
	in := wave.Input{
		Now: c.now(), Wave: w, Progress: progress, Hosts: f.hostViews(), Floor: floors[w.Pool],
		SpareFloors: make(map[string]int), StepMS: f.stepMS(w), Settings: c.cfg.Policy.Waves,
	}
	for name, pool := range f.catalogue.Pools {
		if pool.Spare {
			in.SpareFloors[name] = floors[name]
		}
	}
	if pool := f.catalogue.Pools[w.Pool]; pool != nil {
		in.Desired = pool.Desired[c.cfg.DataCentre]
	}
	return in
}

// orderCheckpoints commits the order to end patient work on a draining host at a
// checkpoint. Each attempt is ordered once; its owner gets the order with its
// assignments for as long as the host is draining.
func (c *Controller) orderCheckpoints(ctx context.Context, a *wave.Action, attempts []ledger.CheckpointItem) {
	if len(attempts) == 0 {
		return
	}
	_, _ = c.proposeRequest(ctx, ledger.Command{Checkpoint: &ledger.Checkpoint{
		Attempts: attempts, Actor: wave.Actor, Reason: "wave " + a.Wave + ": " + a.Reason,
	}})
}

// stepMS returns the mean measured time of a step of a wave. Until a step of
// this wave has succeeded it is that of the latest wave of the same pool, or 0.
func (f *fleetSnapshot) stepMS(w *model.Wave) int64 {
	var latest model.WaveProgress
	for _, p := range f.waves {
		known := f.catalogue.Waves[p.Wave]
		switch {
		case p.TimedSteps == 0:
		case p.Wave == w.Name:
			return p.MeanStepMS()
		case known != nil && known.Pool == w.Pool && latest.Started.Before(p.Started):
			latest = p
		}
	}
	return latest.MeanStepMS()
}

// wavesIdle reports whether every wave has finished and no host is out of service
// for one. The loop runs after every applied entry, so it must not copy the state
// of all hosts when there is nothing to decide.
func (c *Controller) wavesIdle() bool {
	idle := true
	c.cfg.StateMachine.View(func(v datacentre.View) {
		for name := range v.Catalogue.Waves {
			progress, begun := v.Hosts.Wave(name)
			idle = idle && begun && !progress.Finished.IsZero()
		}
		v.Hosts.Each(func(h *model.Host) {
			idle = idle && h.State != model.HostMaintenance && h.Wave == ""
		})
	})
	return idle
}

// wavesToRun lists the waves of the records and those whose record was
// deleted while steps are open.
func wavesToRun(f *fleetSnapshot, progress map[string]model.WaveProgress) []*model.Wave {
	var out []*model.Wave
	for _, w := range f.catalogue.Waves {
		out = append(out, w)
	}
	for name, p := range progress {
		if f.catalogue.Waves[name] != nil || !p.Finished.IsZero() {
			continue
		}
		for _, v := range f.views {
			if v.Host.Wave == name {
				out = append(out, wave.OrphanedWave(name, v.Host.Pool))
				break
			}
		}
	}
	return out
}

func (f *fleetSnapshot) hostViews() []wave.HostView {
	out := make([]wave.HostView, len(f.views))
	for i, v := range f.views {
		work := f.patient[v.Host.Info.Name]
		out[i] = wave.HostView{
			View: v, PatientTasks: work.tasks, PatientMS: int64(work.remainingSeconds * 1000),
			Checkpointable: work.tasks > 0 && work.unmovable == 0,
		}
	}
	return out
}

// orderReboots sends the reboot orders of hosts in maintenance to the
// platform until they take effect. The order id makes repetitions harmless.
func (c *Controller) orderReboots(ctx context.Context, views []liveness.View) {
	now := c.cfg.Clock.Now()
	for _, v := range views {
		h := &v.Host
		if h.State != model.HostMaintenance || now.Sub(c.rebootOrderSentAt(h.OrderID)) < rebootResendInterval {
			continue
		}
		c.recordRebootOrder(h.OrderID, now)
		if err := c.cfg.Platform.Reboot(ctx, h.Info.Name, h.OrderID); err != nil {
			c.cfg.Log.Warn().Str("target", h.Info.Name).Str("order", h.OrderID).Err(err).Msg("reboot order failed")
			continue
		}
		c.cfg.Log.Info().Str("target", h.Info.Name).Str("order", h.OrderID).Msg("reboot ordered")
	}
}

func (c *Controller) rebootOrderSentAt(order string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rebootOrders[order]
}

func (c *Controller) recordRebootOrder(order string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.rebootOrders {
		if at.Sub(t) > 2*rebootResendInterval {
			delete(c.rebootOrders, id) // its host has left maintenance, or it is sent again
		}
	}
	c.rebootOrders[order] = at
}

// repair decides and commits moves between the spare pools and the others,
// completes moves and returns verified hosts.
func (c *Controller) repair(ctx context.Context) {
	f := c.snapshot()
	floors := c.localFloors(f.catalogue)
	in := repair.Input{Now: c.now(), Hosts: f.views, Timers: c.repairTimers, Settings: c.cfg.Policy.Repair}
	for name, pool := range f.catalogue.Pools {
		in.Pools = append(in.Pools, repair.Pool{
			Name: name, Floor: floors[name], Desired: pool.Desired[c.cfg.DataCentre],
			Spare: pool.Spare, InWave: f.hasUnfinishedWave(name),
		})
	}
	var actions []repair.Action
	actions, c.repairTimers = repair.Decide(in)
	for _, a := range actions {
		if a.Kind == repair.Wait {
			// A wait names the pool that lacks a host or the one with too many.
			pool := cmp.Or(a.To, a.From)
			c.recordWaitReason(event.Event{Host: a.Host, Pool: pool, Actor: repair.Actor, Reason: a.Reason})
			continue
		}
		if cmd := a.Command(); cmd != nil {
			_ = c.proposeHost(ctx, *cmd) // refusals are logged; the next round decides again
		}
	}
}

func (f *fleetSnapshot) hasUnfinishedWave(pool string) bool {
	finished := make(map[string]bool, len(f.waves))
	for _, p := range f.waves {
		finished[p.Wave] = !p.Finished.IsZero()
	}
	for name, w := range f.catalogue.Waves {
		if w.Pool == pool && w.State != model.WaveCancelled && !finished[name] {
			return true
		}
	}
	return false
}

// recordWaitReason records an event when the reason for which a policy waits
// changes.
func (c *Controller) recordWaitReason(e event.Event) {
	key := e.Actor + "/" + e.Wave + "/" + e.Pool + "/" + e.Host
	c.mu.Lock()
	known := c.waitReasons[key] == e.Reason
	if len(c.waitReasons) > maxWaitReasons {
		clear(c.waitReasons)
	}
	c.waitReasons[key] = e.Reason
	c.mu.Unlock()
	if known || c.cfg.Events == nil {
		return
	}
	e.Kind, e.DataCentre = eventWaiting, c.cfg.DataCentre
	c.cfg.Events.Record(e)
}
