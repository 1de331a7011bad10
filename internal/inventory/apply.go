package inventory

import (
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// Apply applies one command. It is deterministic and idempotent: a command
// that already took effect succeeds without a further change. A command that
// the state does not allow returns *fault.Precondition and changes nothing.
func (s *State) Apply(ctx ApplyContext, cmd *Command) (Result, []event.Event) {
	c := &change{State: s, ApplyContext: ctx}
	c.pruneWaves()
	name, err := c.apply(cmd)
	res := Result{Lost: c.lost, Err: err}
	if h := s.hosts[name]; h != nil {
		copied := *h
		res.Host = &copied
	}
	return res, c.events
}

// apply runs the command and returns the name of the host that it names, or "".
func (c *change) apply(cmd *Command) (string, error) {
	switch {
	case cmd.Register != nil:
		return cmd.Register.Info.Name, c.register(cmd.Register)
	case cmd.SetLeaving != nil:
		return c.withHost(cmd.SetLeaving.Host, func(h *model.Host) error { return c.setLeaving(h, cmd.SetLeaving.Reason) })
	case cmd.MarkLost != nil:
		return c.withHost(cmd.MarkLost.Host, func(h *model.Host) error { return c.markLost(h, cmd.MarkLost.Reason) })
	case cmd.Return != nil:
		return c.withHost(cmd.Return.Host, func(h *model.Host) error { return c.returnHost(h, cmd.Return.Reason) })
	case cmd.Drain != nil:
		return c.withHost(cmd.Drain.Host, func(h *model.Host) error { return c.drain(h, cmd.Drain) })
	case cmd.Maintain != nil:
		return c.withHost(cmd.Maintain.Host, func(h *model.Host) error { return c.maintain(h, cmd.Maintain.OrderID) })
	case cmd.Verify != nil:
		return c.withHost(cmd.Verify.Host, c.verify)
	case cmd.FinishStep != nil:
		return c.withHost(cmd.FinishStep.Host, c.finishStep)
	case cmd.FailStep != nil:
		return c.withHost(cmd.FailStep.Host, func(h *model.Host) error { return c.failStep(h, cmd.FailStep.Reason) })
	case cmd.CompleteDrain != nil:
		return c.withHost(cmd.CompleteDrain.Host, c.completeDrain)
	case cmd.Resume != nil:
		return c.withHost(cmd.Resume.Host, func(h *model.Host) error { return c.resume(h, cmd.Resume) })
	case cmd.SetAside != nil:
		return c.withHost(cmd.SetAside.Host, func(h *model.Host) error { return c.setAside(h, cmd.SetAside.Reason) })
	case cmd.PauseWave != nil:
		return "", c.pauseWave(cmd.PauseWave)
	case cmd.ResumeWave != nil:
		return "", c.resumeWave(cmd.ResumeWave)
	case cmd.FinishWave != nil:
		return "", c.finishWave(cmd.FinishWave)
	}
	return "", &fault.Invalid{Field: "command", Reason: "empty", Allowed: "one inventory command"}
}

func (c *change) withHost(name string, run func(*model.Host) error) (string, error) {
	h, err := c.host(name)
	if err != nil {
		return name, err
	}
	return name, run(h)
}

// register records what a target announces. It never changes the pool of a
// known host.
func (c *change) register(r *Register) error {
	info := r.Info
	switch {
	case info.Name == "":
		return &fault.Invalid{Field: "host", Reason: "missing", Allowed: "the name of the host"}
	case info.Incarnation == "":
		return &fault.Invalid{Field: "incarnation", Reason: "missing", Allowed: "a new value for each start"}
	case info.DataCentre != c.DataCentre:
		return &fault.Invalid{Field: "data_centre", Reason: fmt.Sprintf("%q is another data centre", info.DataCentre),
			Allowed: c.DataCentre}
	}
	h := c.hosts[info.Name]
	if h == nil {
		h = &model.Host{Info: info, Pool: info.Pool}
		c.hosts[info.Name] = h
		c.setHostState(h, model.HostReady, "first announcement")
		c.emit(HostRegistered, h, "", h.Reason)
	} else {
		c.reregister(h, info)
	}
	if info.Leaving {
		return c.setLeaving(h, "target announces that it is leaving")
	}
	return nil
}

// reregister updates a known host. A new incarnation means that the tasks of
// the former one have ended.
func (c *change) reregister(h *model.Host, info model.HostInfo) {
	restarted, wasLeaving := info.Incarnation != h.Info.Incarnation, h.Info.Leaving
	if restarted {
		c.recordLostTasks(h, "the target restarted as "+info.Incarnation)
		c.emit(HostRestarted, h, "", "incarnation changed from "+h.Info.Incarnation+" to "+info.Incarnation)
	}
	h.Info = info
	switch {
	case h.State == model.HostLost:
		c.endLoss(h)
	case h.State == model.HostMaintenance && restarted:
		c.setHostState(h, model.HostVerifying, "rebooted, verification pending")
		c.emit(HostVerifying, h, "", h.Reason)
	case h.State == model.HostDraining && wasLeaving && !info.Leaving &&
		h.Wave == "" && h.MoveTo == "" && !hasOperatorDrain(h):
		c.setHostState(h, model.HostVerifying, "the target is not leaving any more")
		c.emit(HostVerifying, h, "", h.Reason)
	}
}

// endLoss handles the return of a lost host. One that an operator drained or
// that was set aside goes back to that state; any other is verified first.
func (c *change) endLoss(h *model.Host) {
	to, reason := model.HostVerifying, "announces itself again, verification pending"
	if h.ReturnTo != "" {
		to, reason = h.ReturnTo, "announces itself again; "+string(h.ReturnTo)+" before its loss"
	}
	if to == model.HostSetAside {
		h.ReturnTo = ""
	}
	c.setHostState(h, to, reason)
	c.emit(HostReturned, h, "", reason)
}

// setLeaving drains a host even below the floor, since the inventory cannot
// prevent the target's shutdown.
func (c *change) setLeaving(h *model.Host, reason string) error {
	if h.Info.Leaving && h.State == model.HostDraining {
		return nil
	}
	h.Info.Leaving = true
	if h.State != model.HostReady && (h.State != model.HostVerifying || h.Wave != "") {
		return nil
	}
	c.setHostState(h, model.HostDraining, "leaving: "+reason)
	c.emit(HostLeaving, h, "", reason)
	return nil
}

// markLost records an expired lease. A host in maintenance is expected to be
// silent, so it is refused there; the wave's return limit applies instead. A
// step whose reboot was not ordered yet is dropped, so that the wave can choose
// the host again.
func (c *change) markLost(h *model.Host, reason string) error {
	switch h.State {
	case model.HostLost:
		return nil
	case model.HostMaintenance:
		return refusedState("loss", h)
	case model.HostSetAside:
		h.ReturnTo = model.HostSetAside
	}
	c.attributeLoss(h)
	c.recordLostTasks(h, reason)
	c.emit(HostLost, h, "", reason)
	if h.Wave != "" && h.OrderID == "" {
		c.emit(StepDropped, h, "", "lost before its reboot was ordered")
		c.endStep(h)
	}
	if h.MoveTo != "" {
		c.emit(HostMoveDropped, h, "", "lost before it could move to "+h.MoveTo)
		h.MoveTo = ""
	}
	c.setHostState(h, model.HostLost, reason)
	return nil
}

func (c *change) returnHost(h *model.Host, reason string) error {
	keepsState := h.State == model.HostSetAside || h.State == model.HostDraining && (h.Info.Leaving || hasOperatorDrain(h))
	if h.State == model.HostReady || keepsState && h.Wave == "" && h.MoveTo == "" {
		return nil // already returned, or kept out of service by a set-aside, a drain or its leaving
	}
	if h.State != model.HostVerifying && h.State != model.HostLost {
		return refusedState("return", h)
	}
	if h.Wave != "" {
		return refused("return", fmt.Sprintf("host %q is in a step of wave %q, which ends it", h.Info.Name, h.Wave))
	}
	if h.State == model.HostLost && h.ReturnTo != "" {
		c.endLoss(h)
		return nil
	}
	c.makeReady(h, reason)
	c.emit(HostReturned, h, "", reason)
	return nil
}

// makeReady makes a host available, or drains it if its target is leaving.
func (c *change) makeReady(h *model.Host, reason string) {
	if h.Info.Leaving {
		c.setHostState(h, model.HostDraining, "leaving; otherwise "+reason)
		return
	}
	c.setHostState(h, model.HostReady, reason)
}

// drain takes a host out of service. It checks the floor against the current
// state, since the proposer may have decided on an older one.
func (c *change) drain(h *model.Host, d *Drain) error {
	what := fmt.Sprintf("drain of host %q", h.Info.Name)
	step := d.Wave
	if d.MoveTo != "" {
		step = ""
	}
	sameRequest := h.Wave == step && h.MoveTo == d.MoveTo
	byOperator := d.Wave == "" && d.MoveTo == ""
	if h.State == model.HostDraining && sameRequest && (!byOperator || hasOperatorDrain(h)) {
		return nil
	}
	if d.MoveTo != "" && h.Pool == d.MoveTo {
		return nil // already moved
	}
	if byOperator && sameRequest && h.State == model.HostDraining {
		// The host drains because its target is leaving. The operator's drain
		// still holds if the target stays after all.
		h.ReturnTo = model.HostDraining
		h.Reason = drainReason(d)
		c.emit(HostDraining, h, d.Actor, d.Reason)
		return nil
	}
	if h.State != model.HostReady {
		return refusedState(what, h)
	}
	if err := c.checkRemoval(what, h); err != nil {
		return err
	}
	if d.MoveTo != "" && c.Catalogue.Pools[d.MoveTo] == nil {
		return &fault.NotFound{Kind: "pool", Name: d.MoveTo}
	}
	if d.Wave != "" {
		if err := c.checkStep(what, h, d); err != nil {
			return err
		}
		p := c.progress(d.Wave)
		if step != "" {
			p.Current = append(p.Current, h.Info.Name)
			p.Carried = slices.DeleteFunc(p.Carried, func(name string) bool { return name == h.Info.Name })
		} else if !slices.Contains(p.Skipped, h.Info.Name) {
			p.Skipped = append(p.Skipped, h.Info.Name)
		}
	}
	h.Wave, h.MoveTo = step, d.MoveTo
	if byOperator {
		h.ReturnTo = model.HostDraining
	}
	c.setHostState(h, model.HostDraining, drainReason(d))
	c.emit(HostDraining, h, d.Actor, d.Reason)
	return nil
}

func drainReason(d *Drain) string {
	switch {
	case d.MoveTo != "":
		return "move to pool " + d.MoveTo + ": " + d.Reason
	case d.Wave != "":
		return "step of wave " + d.Wave + ": " + d.Reason
	}
	return "drained by " + d.Actor + ": " + d.Reason
}

// checkStep refuses a new step, or the loan of a host to a wave, that the
// wave's record or progress does not allow. The wave may have been paused,
// cancelled or finished after the proposal was made.
func (c *change) checkStep(what string, h *model.Host, d *Drain) error {
	wave, pool := d.Wave, h.Pool
	if d.MoveTo != "" {
		pool = d.MoveTo
	}
	w := c.Catalogue.Waves[wave]
	if w == nil {
		return &fault.NotFound{Kind: "wave", Name: wave}
	}
	p := c.waves[wave]
	if p == nil {
		p = &model.WaveProgress{}
	}
	switch {
	case w.State != model.WaveRunning:
		return refused(what, fmt.Sprintf("wave %q is %s", wave, w.State))
	case p.Paused:
		return refused(what, fmt.Sprintf("wave %q is paused: %s", wave, p.Reason))
	case !p.Finished.IsZero():
		return refused(what, fmt.Sprintf("wave %q is finished", wave))
	case pool != w.Pool:
		return refused(what, fmt.Sprintf("wave %q maintains pool %q, not %q", wave, w.Pool, pool))
	case d.MoveTo != "":
		return nil
	case slices.Contains(p.Done, h.Info.Name) || slices.Contains(p.Failed, h.Info.Name):
		return refused(what, fmt.Sprintf("its step of wave %q has ended", wave))
	case w.MaxConcurrent > 0 && len(p.Current) >= w.MaxConcurrent:
		return refused(what, fmt.Sprintf("wave %q has %d open steps, as many as allowed", wave, len(p.Current)))
	}
	return nil
}

// maintain hands a drained host over to the platform for its reboot.
func (c *change) maintain(h *model.Host, orderID string) error {
	what := fmt.Sprintf("maintenance of host %q", h.Info.Name)
	if h.OrderID == orderID && orderID != "" && h.Wave != "" {
		return nil
	}
	switch {
	case orderID == "":
		return &fault.Invalid{Field: "order_id", Reason: "missing", Allowed: "the id of the reboot order"}
	case h.State != model.HostDraining || h.Wave == "":
		return refusedState(what, h)
	case c.waves[h.Wave].Paused:
		return refused(what, fmt.Sprintf("wave %q is paused: %s", h.Wave, c.waves[h.Wave].Reason))
	case !c.idle(h.Info.Name):
		return refused(what, "it has running work")
	}
	h.OrderID, h.Ordered = orderID, c.Time
	c.setHostState(h, model.HostMaintenance, "reboot order "+orderID)
	c.emit(HostMaintained, h, "", h.Reason)
	return nil
}

func (c *change) verify(h *model.Host) error {
	switch h.State {
	case model.HostVerifying:
		return nil
	case model.HostMaintenance:
		c.setHostState(h, model.HostVerifying, "rebooted, verification pending")
		c.emit(HostVerifying, h, "", h.Reason)
		return nil
	}
	return refusedState("verification", h)
}

func (c *change) finishStep(h *model.Host) error {
	if h.Wave == "" && c.stepEnded(h.Info.Name, false) {
		return nil
	}
	if h.State != model.HostVerifying || h.Wave == "" {
		return refusedState("end of the step", h)
	}
	c.emit(StepFinished, h, "", "verified after its reboot")
	tookMS := c.Time.WallMillis - h.Ordered.WallMillis
	p := c.endStep(h)
	p.StepsMS += tookMS
	p.TimedSteps++
	if !slices.Contains(p.Carried, h.Info.Name) {
		p.Done = append(p.Done, h.Info.Name)
	}
	c.makeReady(h, "maintained by wave "+p.Wave)
	return nil
}

// failStep ends a step as failed. A host that has not returned from its reboot
// becomes lost, a lost one stays lost, and any other is set aside.
func (c *change) failStep(h *model.Host, reason string) error {
	if h.Wave == "" {
		if c.stepEnded(h.Info.Name, true) {
			return nil
		}
		return refusedState("failure of the step", h)
	}
	c.emit(StepFailed, h, "", reason)
	state := h.State
	p := c.endStep(h)
	c.countFailure(p, h.Info.Name)
	reason = "step of wave " + p.Wave + " failed: " + reason
	switch state {
	case model.HostMaintenance:
		c.recordLostTasks(h, reason)
		c.setHostState(h, model.HostLost, reason)
	case model.HostLost:
		h.Reason = reason
	default:
		c.setHostState(h, model.HostSetAside, reason)
	}
	return nil
}

// countFailure counts a failed step once. A step carried over from an earlier
// record counts as a loss: it counts towards the failure threshold, but the
// wave may still maintain the host.
func (c *change) countFailure(p *model.WaveProgress, host string) {
	if !slices.Contains(p.Carried, host) {
		p.Failed = append(p.Failed, host)
		p.Lost = slices.DeleteFunc(p.Lost, func(name string) bool { return name == host })
		return
	}
	if !slices.Contains(p.Lost, host) {
		p.Lost = append(p.Lost, host)
	}
}

// stepEnded reports whether a step of the host has ended with the given
// outcome. A step carried over from an earlier record matches either outcome.
func (c *change) stepEnded(host string, failed bool) bool {
	for _, p := range c.waves {
		if failed && slices.Contains(p.Failed, host) || !failed && slices.Contains(p.Done, host) {
			return true
		}
		if _, ended := p.Steps[host]; ended && slices.Contains(p.Carried, host) {
			return true
		}
	}
	return false
}

// completeDrain ends the drain of an idle host. A move changes the pool and the
// state in one log entry, so that the host is in exactly one pool at any index.
func (c *change) completeDrain(h *model.Host) error {
	what := fmt.Sprintf("end of the drain of host %q", h.Info.Name)
	switch {
	case h.State == model.HostReady && h.MoveTo == "":
		return nil
	case h.State != model.HostDraining || h.Wave != "":
		return refusedState(what, h)
	case !c.idle(h.Info.Name):
		return refused(what, "it has running work")
	case h.MoveTo == "":
		if hasOperatorDrain(h) && h.Reason != drainedReason {
			h.Reason = drainedReason
			c.emit(HostDrained, h, "", h.Reason)
		}
		return nil
	case c.Catalogue == nil || c.Catalogue.Pools[h.MoveTo] == nil:
		c.emit(HostMoveDropped, h, "", fmt.Sprintf("pool %q has no record any more", h.MoveTo))
	default:
		from := h.Pool
		h.Pool = h.MoveTo
		c.emit(HostMoved, h, "", "moved from pool "+from)
	}
	h.MoveTo = ""
	c.makeReady(h, "in pool "+h.Pool)
	return nil
}

const drainedReason = "drained: no running work"

// resume returns a host that is drained or set aside to service. This also
// cancels a move, or a step whose reboot was not ordered yet.
func (c *change) resume(h *model.Host, r *Resume) error {
	what := fmt.Sprintf("resumption of host %q", h.Info.Name)
	switch h.State {
	case model.HostReady:
		return nil
	case model.HostLost:
		h.ReturnTo = ""
		return nil
	case model.HostDraining, model.HostSetAside:
	default:
		return refusedState(what, h)
	}
	if h.Info.Leaving {
		return refused(what, "the target is leaving")
	}
	if h.Wave != "" {
		c.emit(StepDropped, h, r.Actor, r.Reason)
		c.endStep(h)
	}
	h.MoveTo, h.ReturnTo = "", ""
	c.setHostState(h, model.HostReady, "resumed by "+r.Actor+": "+r.Reason)
	c.emit(HostResumed, h, r.Actor, r.Reason)
	return nil
}

func (c *change) setAside(h *model.Host, reason string) error {
	what := fmt.Sprintf("set-aside of host %q", h.Info.Name)
	switch h.State {
	case model.HostSetAside:
		return nil
	case model.HostReady:
		if err := c.checkRemoval(what, h); err != nil {
			return err
		}
	case model.HostVerifying:
		if h.Wave != "" {
			return refusedState(what, h)
		}
	default:
		return refusedState(what, h)
	}
	c.setHostState(h, model.HostSetAside, reason)
	c.emit(HostSetAside, h, "", reason)
	return nil
}

func (c *change) pauseWave(r *PauseWave) error {
	w, err := c.wave(r.Wave)
	if err != nil {
		return err
	}
	if err := c.checkWaveRecord("pause of wave "+r.Wave, r.Wave, r.Created); err != nil {
		return err
	}
	p := c.progress(r.Wave)
	switch {
	case p.Paused:
		return nil
	case r.Failures > 0 && (r.ResumeSeen != p.ResumeSeen || r.Failures <= p.FailuresSeen):
		return refused("pause of wave "+r.Wave, fmt.Sprintf("it was decided on %d failures at resume count %d, and the wave was resumed at %d with %d failures",
			r.Failures, r.ResumeSeen, p.ResumeSeen, p.FailuresSeen))
	}
	p.Paused, p.Reason, p.ResumeSeen = true, r.Reason, w.Resume
	c.emitWave(WavePaused, r.Wave, r.Reason)
	return nil
}

func (c *change) resumeWave(r *ResumeWave) error {
	w, err := c.wave(r.Wave)
	if err != nil {
		return err
	}
	p := c.progress(r.Wave)
	switch {
	case !p.Paused:
		return nil
	case r.Resume > w.Resume:
		return refused("resumption of wave "+r.Wave, fmt.Sprintf("the resume count of its record is %d", w.Resume))
	case r.Resume <= p.ResumeSeen:
		return refused("resumption of wave "+r.Wave, fmt.Sprintf("its resume count has not risen above %d", p.ResumeSeen))
	}
	p.Paused, p.Reason, p.ResumeSeen = false, "", r.Resume
	p.FailuresSeen = len(p.Failed) + len(p.Lost)
	c.emitWave(WaveResumed, r.Wave, fmt.Sprintf("resume count %d", r.Resume))
	return nil
}

func (c *change) finishWave(f *FinishWave) error {
	wave := f.Wave
	if err := c.checkWaveRecord("end of wave "+wave, wave, f.Created); err != nil {
		return err
	}
	p := c.waves[wave]
	if p == nil {
		if _, err := c.wave(wave); err != nil {
			return err
		}
		p = c.progress(wave)
	}
	switch {
	case !p.Finished.IsZero():
		return nil
	case len(p.Current) > 0:
		return refused("end of wave "+wave, fmt.Sprintf("%d steps are open", len(p.Current)))
	}
	p.Finished = laterOf(c.Time, p.Started)
	c.emitWave(WaveFinished, wave, fmt.Sprintf("%d hosts maintained, %d failed", len(p.Done), len(p.Failed)))
	return nil
}

func (c *change) wave(name string) (*model.Wave, error) {
	if c.Catalogue != nil && c.Catalogue.Waves[name] != nil {
		return c.Catalogue.Waves[name], nil
	}
	return nil, &fault.NotFound{Kind: "wave", Name: name}
}

func laterOf(a, b hlc.Time) hlc.Time {
	if a.Before(b) {
		return b
	}
	return a
}
