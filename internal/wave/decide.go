package wave

import (
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/liveness"
	"agatehaven.dev/agatehaven/internal/model"
)

// HostView is a host as the policy sees it.
type HostView struct {
	liveness.View
	// PatientTasks is the number of running tasks with patient priority, and
	// PatientMS the expected time until the last of them ends, in milliseconds.
	PatientTasks int
	PatientMS    int64
	// Checkpointable is set when all these tasks can be checkpointed and are
	// idempotent, so that they may continue on another host.
	Checkpointable bool
}

// Input holds everything that a decision depends on.
type Input struct {
	Now      hlc.Time
	Wave     *model.Wave
	Progress model.WaveProgress // zero before the first step
	// Hosts holds all hosts of the data centre, of every pool, sorted by name.
	Hosts []HostView
	// Floor is the floor in force of the wave's pool in this data centre.
	Floor int
	// Desired is the desired number of hosts of the pool in this data centre. If
	// it is 0, no spare host is borrowed, since repair would not return it.
	Desired int
	// SpareFloors holds the floors in force of the spare pools in this data centre.
	SpareFloors map[string]int
	// StepMS is the measured mean time of a step, or 0 to use Settings.StepMS.
	StepMS   int64
	Settings Settings
}

// decision is the working state of one call of Decide.
type decision struct {
	Input
	actions []Action
	// unavailable holds the hosts of the pool that are not available. It takes
	// into account the actions of this decision.
	unavailable map[string]bool
	openSteps   int // open steps after the actions of this decision
	failures    int // since the last resumption, counting those of this decision
}

// Decide returns the actions to take now, in the order in which they must be
// committed. It must be called again after every change and at least once a
// second. When a step ends, the next one can start in the same decision, so
// steps do not proceed in batches.
func Decide(in Input) []Action {
	d := &decision{Input: in, unavailable: make(map[string]bool)}
	if !d.Progress.Finished.IsZero() {
		return nil
	}
	views := make([]liveness.View, len(in.Hosts))
	for i, h := range in.Hosts {
		views[i] = h.View
	}
	if !liveness.AnnouncementsReliable(views, in.Now, in.Settings.LeaseMS) {
		d.addAction(Wait, "", "more than half of the data centre's hosts are silent: this observer may be the isolated one")
		return d.actions
	}
	for _, h := range in.Hosts {
		if h.Host.Pool == in.Wave.Pool && !d.isAvailable(h) {
			d.unavailable[h.Host.Info.Name] = true
		}
	}
	d.openSteps = len(d.Progress.Current)
	d.failures = len(d.Progress.Failed) + len(d.Progress.Lost) - d.Progress.FailuresSeen
	if d.Progress.Paused && in.Wave.Resume > d.Progress.ResumeSeen {
		d.actions = append(d.actions, Action{Kind: Resume, Wave: in.Wave.Name, Resume: in.Wave.Resume,
			Reason: fmt.Sprintf("the operator raised the resume count to %d", in.Wave.Resume)})
		return d.actions
	}
	d.endSteps()
	paused := d.pauseOnFailures()
	d.advanceSteps(paused)
	switch {
	case in.Wave.State == model.WaveCancelled:
		d.finishWave("cancelled")
	case !paused:
		d.startSteps()
	}
	return d.actions
}

func (d *decision) addAction(kind Kind, host, reason string) {
	d.actions = append(d.actions, Action{Kind: kind, Wave: d.Wave.Name, Host: host, Reason: reason, Created: d.recordCreated()})
}

// recordCreated returns the creation revision of the wave's record. It prefers
// the progress's value, since the record may have been deleted.
func (d *decision) recordCreated() uint64 {
	if d.Progress.Wave != "" {
		return d.Progress.Created
	}
	return d.Wave.Created
}

// isAvailable reports whether a host is ready and its last announcement is within
// the lease. A silent host thus counts as unavailable before the inventory
// records its loss.
func (d *decision) isAvailable(h HostView) bool {
	return h.Host.State == model.HostReady && h.Fresh(d.Now, d.Settings.LeaseMS)
}

// forEachInStep calls fn with each host that is in a step of the wave.
func (d *decision) forEachInStep(fn func(h HostView)) {
	for _, h := range d.Hosts {
		if h.Host.Wave == d.Wave.Name {
			fn(h)
		}
	}
}

// endSteps finishes the steps of verified hosts and fails steps that take too
// long. The limit counts from the reboot order, so that a host that repeatedly
// returns and is lost again fails too.
func (d *decision) endSteps() {
	verifyMS, returnMS := int64(d.Wave.VerifyMS), int64(d.Wave.ReturnLimitMS)
	d.forEachInStep(func(h HostView) {
		name, waited := h.Host.Info.Name, d.Now.WallMillis-h.Host.Ordered.WallMillis
		switch h.Host.State {
		case model.HostVerifying:
			if h.Steady(d.Now, d.Settings.LeaseMS, verifyMS) {
				d.addAction(Finish, name, fmt.Sprintf("announced itself steadily for %d ms after its reboot", verifyMS))
				delete(d.unavailable, name)
				d.openSteps--
				return
			}
			if waited > returnMS+verifyMS {
				d.failStep(name, fmt.Sprintf("returned but did not announce itself steadily within %d ms", returnMS+verifyMS))
			}
		case model.HostMaintenance:
			if waited > returnMS {
				d.failStep(name, fmt.Sprintf("did not return within %d ms of its reboot order", returnMS))
			}
		case model.HostLost:
			if waited > returnMS+verifyMS {
				d.failStep(name, fmt.Sprintf("was lost and did not return within %d ms", returnMS+verifyMS))
			}
		}
	})
}

func (d *decision) failStep(host, reason string) {
	d.addAction(Fail, host, reason)
	d.openSteps--
	if !slices.Contains(d.Progress.Lost, host) {
		d.failures++
	}
}

// pauseOnFailures pauses the wave when its failures reach the threshold. It
// reports whether the wave is paused, by the system or by its record.
func (d *decision) pauseOnFailures() bool {
	if d.Progress.Paused || d.Wave.State == model.WavePaused {
		return true
	}
	if d.failures < d.Wave.FailureThreshold {
		return false
	}
	d.addAction(Pause, "", fmt.Sprintf("%d hosts failed to return or were lost within their step or 60 s after it, the threshold is %d",
		d.failures, d.Wave.FailureThreshold))
	pause := &d.actions[len(d.actions)-1]
	pause.ResumeSeen, pause.Failures = d.Progress.ResumeSeen, d.failures+d.Progress.FailuresSeen
	return true
}

// advanceSteps orders the reboot of hosts that have drained. While the wave is
// paused, it instead returns hosts whose reboot was not ordered yet to service,
// so that a reboot that breaks hosts does not reach more of them.
func (d *decision) advanceSteps(paused bool) {
	d.forEachInStep(func(h HostView) {
		if h.Host.State != model.HostDraining {
			return
		}
		name := h.Host.Info.Name
		switch {
		case paused && h.Host.Info.Leaving:
			d.addAction(Wait, name, "the wave is paused and the target is leaving")
		case paused:
			d.addAction(Release, name, "the wave is paused and the reboot was not ordered")
		case h.Idle:
			d.addAction(Maintain, name, "drained without running work")
			d.actions[len(d.actions)-1].OrderID = fmt.Sprintf("%s/%s/%s", d.Wave.Name, name, h.Host.Since)
		case d.Settings.shouldMoveWork(h, d.maxConcurrent()):
			d.addAction(Checkpoint, name, fmt.Sprintf("moving %d patient tasks costs less than waiting %d ms for them", h.PatientTasks, h.PatientMS))
		default:
			d.addAction(Wait, name, "drains until its running work ends")
		}
	})
}

// maxConcurrent returns the number of steps of the wave that may be open at
// once.
func (d *decision) maxConcurrent() int {
	n := d.availableHosts() + d.openSteps - d.Floor
	if d.Wave.MaxConcurrent > 0 {
		n = min(n, d.Wave.MaxConcurrent)
	}
	return n
}

// availableHosts counts the available hosts of the wave's pool.
func (d *decision) availableHosts() int {
	n := 0
	for _, h := range d.Hosts {
		if h.Host.Pool == d.Wave.Pool && !d.unavailable[h.Host.Info.Name] {
			n++
		}
	}
	return n
}

// finishWave ends the wave if no step is open.
func (d *decision) finishWave(reason string) {
	if d.openSteps == 0 {
		d.addAction(End, "", reason)
	}
}
