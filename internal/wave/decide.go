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
	// PatientTasks is the number of running tasks of patient work and PatientMS
	// the expected time until the last of them ends, in milliseconds.
	PatientTasks int
	PatientMS    int64
	// Checkpointable is set when all these tasks can be checkpointed and are
	// idempotent, so that they may continue elsewhere.
	Checkpointable bool
}

// Input is everything that a decision depends on.
type Input struct {
	Now      hlc.Time
	Wave     *model.Wave
	Progress model.WaveProgress // zero before the first step
	// Hosts are all hosts of the data centre, of every pool, by name.
	Hosts []HostView
	// Floor is the floor in force of the wave's pool in this data centre.
	Floor int
	// Desired is the desired number of hosts of the pool in this data centre.
	// Without it no spare host is borrowed, since repair would not return it.
	Desired int
	// SpareFloors are the floors in force of the spare pools.
	SpareFloors map[string]int
	// StepMS is the measured time of a step, or 0 for the setting's.
	StepMS   int64
	Settings Settings
}

// decision is one call of Decide under way.
type decision struct {
	Input
	actions []Action
	// out holds the hosts of the pool that are not available, counting those
	// that become so or return by the actions of this decision.
	out      map[string]bool
	open     int // open steps after the actions of this decision
	failures int
}

// Decide returns the actions to take now, in the order in which they have to
// be committed. It expects to be called again after every change and at least
// once a second. A step that ends makes room for the next one in the same
// decision, so no step waits for a batch.
func Decide(in Input) []Action {
	d := &decision{Input: in, out: make(map[string]bool)}
	if !d.Progress.Finished.IsZero() {
		return nil
	}
	views := make([]liveness.View, len(in.Hosts))
	for i, h := range in.Hosts {
		views[i] = h.View
	}
	if !liveness.Trusted(views, in.Now, in.Settings.LeaseMS) {
		d.add(Wait, "", "more than half of the data centre's hosts are silent: this observer may be the isolated one")
		return d.actions
	}
	for _, h := range in.Hosts {
		if h.Host.Pool == in.Wave.Pool && !d.available(h) {
			d.out[h.Host.Info.Name] = true
		}
	}
	d.open = len(d.Progress.Current)
	d.failures = len(d.Progress.Failed) + len(d.Progress.Lost) - d.Progress.FailuresSeen
	if d.Progress.Paused && in.Wave.Resume > d.Progress.ResumeSeen {
		d.actions = append(d.actions, Action{Kind: Resume, Wave: in.Wave.Name, Resume: in.Wave.Resume,
			Reason: fmt.Sprintf("the operator raised the resume count to %d", in.Wave.Resume)})
		return d.actions
	}
	d.endSteps()
	paused := d.pause()
	d.advanceSteps(paused)
	switch {
	case in.Wave.State == model.WaveCancelled:
		d.end("cancelled")
	case !paused:
		d.startSteps()
	}
	return d.actions
}

func (d *decision) add(kind Kind, host, reason string) {
	d.actions = append(d.actions, Action{Kind: kind, Wave: d.Wave.Name, Host: host, Reason: reason, Created: d.created()})
}

// created names the record by the progress seen, since the record may be gone.
func (d *decision) created() uint64 {
	if d.Progress.Wave != "" {
		return d.Progress.Created
	}
	return d.Wave.Created
}

// available reports whether a host counts as available on fresh evidence. A
// silent host counts as gone before its lease expires in the inventory.
func (d *decision) available(h HostView) bool {
	return h.Host.State == model.HostReady && h.Fresh(d.Now, d.Settings.LeaseMS)
}

// inStep visits the hosts whose step is open.
func (d *decision) inStep(visit func(h HostView)) {
	for _, h := range d.Hosts {
		if h.Host.Wave == d.Wave.Name {
			visit(h)
		}
	}
}

// endSteps finishes the steps of verified hosts and fails those that take too
// long. The limit runs from the reboot order, so that a host which returns and
// is lost again and again fails as well.
func (d *decision) endSteps() {
	verifyMS, returnMS := int64(d.Wave.VerifyMS), int64(d.Wave.ReturnLimitMS)
	d.inStep(func(h HostView) {
		name, waited := h.Host.Info.Name, d.Now.WallMillis-h.Host.Ordered.WallMillis
		switch h.Host.State {
		case model.HostVerifying:
			if h.Steady(d.Now, d.Settings.LeaseMS, verifyMS) {
				d.add(Finish, name, fmt.Sprintf("announced itself steadily for %d ms after its reboot", verifyMS))
				delete(d.out, name)
				d.open--
				return
			}
			if waited > returnMS+verifyMS {
				d.fail(name, fmt.Sprintf("returned but did not announce itself steadily within %d ms", returnMS+verifyMS))
			}
		case model.HostMaintenance:
			if waited > returnMS {
				d.fail(name, fmt.Sprintf("did not return within %d ms of its reboot order", returnMS))
			}
		case model.HostLost:
			if waited > returnMS+verifyMS {
				d.fail(name, fmt.Sprintf("was lost and did not return within %d ms", returnMS+verifyMS))
			}
		}
	})
}

func (d *decision) fail(host, reason string) {
	d.add(Fail, host, reason)
	d.open--
	if !slices.Contains(d.Progress.Lost, host) {
		d.failures++
	}
}

// pause pauses the wave when failures reach the threshold. It reports whether
// the wave is paused, by the system or by its record.
func (d *decision) pause() bool {
	if d.Progress.Paused || d.Wave.State == model.WavePaused {
		return true
	}
	if d.failures < d.Wave.FailureThreshold {
		return false
	}
	d.add(Pause, "", fmt.Sprintf("%d hosts failed to return or were lost within their step or 60 s after it, the threshold is %d",
		d.failures, d.Wave.FailureThreshold))
	pause := &d.actions[len(d.actions)-1]
	pause.ResumeSeen, pause.Failures = d.Progress.ResumeSeen, d.failures+d.Progress.FailuresSeen
	return true
}

// advanceSteps hands idle drained hosts to the platform. While the wave is
// paused it takes hosts back whose reboot has not been ordered: a reboot that
// breaks hosts must not reach more of them.
func (d *decision) advanceSteps(paused bool) {
	d.inStep(func(h HostView) {
		if h.Host.State != model.HostDraining {
			return
		}
		name := h.Host.Info.Name
		switch {
		case paused && h.Host.Info.Leaving:
			d.add(Wait, name, "the wave is paused and the target is leaving")
		case paused:
			d.add(Release, name, "the wave is paused and the reboot was not ordered")
		case h.Idle:
			d.add(Maintain, name, "drained without running work")
			d.actions[len(d.actions)-1].OrderID = fmt.Sprintf("%s/%s/%s", d.Wave.Name, name, h.Host.Since)
		case d.Settings.movesWork(h, d.concurrent()):
			d.add(Checkpoint, name, fmt.Sprintf("moving %d patient tasks costs less than waiting %d ms for them", h.PatientTasks, h.PatientMS))
		default:
			d.add(Wait, name, "drains until its running work ends")
		}
	})
}

// concurrent returns how many hosts of the pool may be out of service for the
// wave at once.
func (d *decision) concurrent() int {
	n := d.readyHosts() + d.open - d.Floor
	if d.Wave.MaxConcurrent > 0 {
		n = min(n, d.Wave.MaxConcurrent)
	}
	return n
}

// readyHosts counts the available hosts of the pool.
func (d *decision) readyHosts() int {
	n := 0
	for _, h := range d.Hosts {
		if h.Host.Pool == d.Wave.Pool && !d.out[h.Host.Info.Name] {
			n++
		}
	}
	return n
}

// end finishes the wave once no step is open.
func (d *decision) end(reason string) {
	if d.open == 0 {
		d.add(End, "", reason)
	}
}
