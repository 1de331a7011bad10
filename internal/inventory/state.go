package inventory

import (
	"fmt"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// LossWindowMS is the time after the end of a host's step, in milliseconds,
// within which its loss still counts as a failure of the wave.
const LossWindowMS = 60_000

// ApplyContext holds what applying a command needs besides the inventory: the
// position of its log entry and the data centre's other state.
type ApplyContext struct {
	DataCentre string
	Group      string
	Index      uint64
	Time       hlc.Time
	// Catalogue holds the records in force. It is nil before the first
	// adoption; planned removals are refused then, since no floor is known.
	Catalogue *model.Catalogue
	// Idle reports whether no attempt holds a slot on the host.
	Idle func(host string) bool
}

// Result is the result of a command. Host is a copy of the host after the
// command, or nil if the command names no known host. If Err, a type of
// package fault, is set, the command changed nothing.
type Result struct {
	Host *model.Host
	Lost []LostIncarnation
	Err  error
}

// LostIncarnation names an incarnation of a host whose tasks have ended or can
// no longer be reached.
type LostIncarnation struct {
	Name        string
	Incarnation string
	Reason      string
}

// Kinds of the inventory's events. HostMaintained marks the reboot order of a
// drained host, not the end of its maintenance, which is StepFinished.
const (
	HostRegistered  event.Kind = "host_registered"
	HostRestarted   event.Kind = "host_restarted"
	HostLeaving     event.Kind = "host_leaving"
	HostLost        event.Kind = "host_lost"
	HostReturned    event.Kind = "host_returned"
	HostVerifying   event.Kind = "host_verifying"
	HostDrained     event.Kind = "host_drained"
	HostDraining    event.Kind = "host_draining"
	HostMaintained  event.Kind = "host_maintained"
	HostMoved       event.Kind = "host_moved"
	HostMoveDropped event.Kind = "host_move_dropped"
	HostResumed     event.Kind = "host_resumed"
	HostSetAside    event.Kind = "host_set_aside"
	StepFinished    event.Kind = "step_finished"
	StepFailed      event.Kind = "step_failed"
	StepDropped     event.Kind = "step_dropped"
	WavePaused      event.Kind = "wave_paused"
	WaveResumed     event.Kind = "wave_resumed"
	WaveFinished    event.Kind = "wave_finished"
	WaveRenewed     event.Kind = "wave_renewed"
)

// State is the inventory of one data centre. It is not safe for concurrent
// use; the data centre's state machine serialises access to it.
type State struct {
	hosts map[string]*model.Host
	waves map[string]*model.WaveProgress
}

// New returns an empty inventory.
func New() *State {
	return &State{hosts: make(map[string]*model.Host), waves: make(map[string]*model.WaveProgress)}
}

// change applies one command and collects its events and lost incarnations.
type change struct {
	*State
	ApplyContext
	events []event.Event
	lost   []LostIncarnation
}

func (c *change) emit(kind event.Kind, h *model.Host, actor, reason string) {
	ev := event.Event{
		ID: event.ID{Group: c.Group, Index: c.Index, Seq: len(c.events)}, Time: c.Time, Kind: kind,
		DataCentre: c.DataCentre, Actor: actor, Reason: reason,
	}
	if h != nil {
		ev.Host, ev.Pool, ev.Wave = h.Info.Name, h.Pool, h.Wave
	}
	c.events = append(c.events, ev)
}

func (c *change) emitWave(kind event.Kind, wave, reason string) {
	c.emit(kind, nil, "", reason)
	c.events[len(c.events)-1].Wave = wave
}

func (c *change) setHostState(h *model.Host, state model.HostState, reason string) {
	h.State, h.Reason, h.Since = state, reason, c.Time
}

// recordLostTasks reports the host's current incarnation as lost.
func (c *change) recordLostTasks(h *model.Host, reason string) {
	c.lost = append(c.lost, LostIncarnation{Name: h.Info.Name, Incarnation: h.Info.Incarnation, Reason: reason})
}

// host returns a known host or *fault.NotFound.
func (c *change) host(name string) (*model.Host, error) {
	if h := c.hosts[name]; h != nil {
		return h, nil
	}
	return nil, &fault.NotFound{Kind: "host", Name: name}
}

// floor returns the floor in force of a pool in this data centre. It is 0 for
// a pool without a record. A pool whose record has a newer schema keeps the
// floor that was in force.
func (c *change) floor(pool string) int { return c.Catalogue.Floors[pool][c.DataCentre] }

// checkRemoval refuses a planned removal that would bring the pool's available
// hosts below the floor in force. Every planned removal passes this check.
func (c *change) checkRemoval(what string, h *model.Host) error {
	if c.Catalogue == nil {
		return refused(what, "no records have been adopted, so no floor is known")
	}
	available, floor := c.Available(h.Pool), c.floor(h.Pool)
	if available-1 >= floor {
		return nil
	}
	return refused(what, fmt.Sprintf("pool %q has %d available hosts and its floor is %d", h.Pool, available, floor))
}

// progress returns the progress of a wave and creates it on first use.
func (c *change) progress(wave string) *model.WaveProgress {
	p := c.waves[wave]
	if p == nil {
		p = &model.WaveProgress{Wave: wave, DataCentre: c.DataCentre, Started: c.Time}
		if w, err := c.wave(wave); err == nil {
			p.Created = w.Created
		}
		c.waves[wave] = p
	}
	return p
}

// endStep closes the wave step of a host and returns the wave's progress.
func (c *change) endStep(h *model.Host) *model.WaveProgress {
	p := c.progress(h.Wave)
	p.Current = slices.DeleteFunc(p.Current, func(name string) bool { return name == h.Info.Name })
	if p.Steps == nil {
		p.Steps = make(map[string]hlc.Time)
	}
	p.Steps[h.Info.Name] = c.Time
	h.Wave, h.OrderID, h.Ordered = "", "", hlc.Time{}
	return p
}

// attributeLoss counts the loss of a host as a failure of each wave whose step
// the host is in or has ended within the loss window. A host counts at most
// once per wave.
func (c *change) attributeLoss(h *model.Host) {
	for name, p := range c.waves {
		ended, ok := p.Steps[h.Info.Name]
		recent := ok && c.Time.WallMillis-ended.WallMillis <= LossWindowMS
		if (h.Wave == name || recent) && !slices.Contains(p.Lost, h.Info.Name) &&
			!slices.Contains(p.Failed, h.Info.Name) {
			p.Lost = append(p.Lost, h.Info.Name)
		}
	}
}

// pruneWaves deletes the progress of waves that have neither a record nor an
// open step.
func (c *change) pruneWaves() {
	if c.Catalogue == nil {
		return
	}
	for name, p := range c.waves {
		if c.Catalogue.Waves[name] == nil && len(p.Current) == 0 && !hasNewerSchema(c.Catalogue, name) {
			delete(c.waves, name)
		}
	}
}

// RenewWaves restarts each wave whose record was deleted and created again
// since the previous adoption. It must be called when records are adopted.
func (s *State) RenewWaves(ctx ApplyContext) []event.Event {
	c := &change{State: s, ApplyContext: ctx}
	c.pruneWaves()
	for _, name := range slices.Sorted(maps.Keys(c.waves)) {
		if w, err := c.wave(name); err == nil && w.Created != c.waves[name].Created {
			c.renewWave(w)
		}
	}
	return c.events
}

// renewWave replaces the progress of the earlier record by an empty one. A
// reboot order cannot be withdrawn, so a step whose reboot was ordered is
// carried over: it ends normally, but the new wave does not count it as done.
// Hosts in other steps return to service, and the new wave decides about them.
func (c *change) renewWave(w *model.Wave) {
	progress := &model.WaveProgress{Wave: w.Name, DataCentre: c.DataCentre, Started: c.Time, Created: w.Created}
	for _, host := range slices.Sorted(slices.Values(c.waves[w.Name].Current)) {
		h := c.hosts[host]
		if h.OrderID != "" {
			progress.Current, progress.Carried = append(progress.Current, host), append(progress.Carried, host)
			continue
		}
		c.emit(StepDropped, h, "", "the wave's record was deleted and created again")
		c.endStep(h)
		c.makeReady(h, "step of an earlier wave "+w.Name+" dropped before its reboot was ordered")
	}
	c.waves[w.Name] = progress
	c.emitWave(WaveRenewed, w.Name, fmt.Sprintf("its record was created again at revision %d; %d ordered reboots of the earlier one are open",
		w.Created, len(progress.Current)))
}

// checkWaveRecord refuses a command that was decided for another creation of
// the wave's record than the present one.
func (c *change) checkWaveRecord(what, wave string, created uint64) error {
	have := uint64(0)
	if p := c.waves[wave]; p != nil {
		have = p.Created
	} else if w, err := c.wave(wave); err == nil {
		have = w.Created
	}
	if created != have {
		return refused(what, fmt.Sprintf("it was decided for the record created at revision %d, not %d", created, have))
	}
	return nil
}

// hasNewerSchema reports whether the wave has a record with a newer schema,
// which this version does not read.
func hasNewerSchema(c *model.Catalogue, wave string) bool {
	return slices.ContainsFunc(c.Skipped, func(r model.Record) bool { return r.Kind == model.KindWave && r.Name == wave })
}

func (c *change) idle(host string) bool { return c.Idle != nil && c.Idle(host) }

// hasOperatorDrain reports whether an operator has drained the host and not
// resumed it.
func hasOperatorDrain(h *model.Host) bool { return h.ReturnTo == model.HostDraining }

func refused(what, reason string) error { return &fault.Precondition{What: what, Reason: reason} }

func refusedState(what string, h *model.Host) error {
	return refused(what, fmt.Sprintf("host %q is in state %s (%s)", h.Info.Name, h.State, h.Reason))
}
