package leader_test

import (
	"context"
	"maps"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// target simulates a target: it runs tasks, holds leases and lists ended runs.
type target struct {
	w     *world
	state work.Target
	start time.Time

	fence   uint64
	until   time.Time
	runs    map[work.RunRef]*time.Timer
	stopped map[work.TaskRef]int // the highest run that was stopped or ended
	ended   []work.EndedRun
	endedAt map[int64]time.Time // by number
	// lapsed is when the lease was last found expired.
	lapsed  time.Time
	number  int64
	used    work.Demand
	steps   map[work.RunRef]*work.Step // of the runs
	percent map[work.RunRef]int        // share of their work that the runs do
	changed chan struct{}
	dead    bool

	// silent targets receive no orders; targets that drop replies carry them out
	// without an answer.
	silent, dropsReplies bool
	// late is set while an order is carried out late, and drainingSince once the announcement
	// that the target drains was confirmed.
	late          bool
	drainingSince time.Time
	// lag, if not 0, delays orders, which are then carried out without an answer.
	lag time.Duration
	// quiet targets do not announce themselves; deaf ones do, but receive no orders.
	quiet, deaf bool
	// fails is set if every run fails, unhealthy if every start is refused as
	// unhealthy.
	fails, unhealthy bool
	// duration of a run whose step has no estimate; 0 runs until it is stopped.
	duration time.Duration
}

// heal ends the target's faults. The world's mutex is held.
func (t *target) heal() {
	t.silent, t.deaf, t.dropsReplies, t.lag, t.fails, t.unhealthy = false, false, false, 0, false, false
}

// setDuration sets the duration of the target's runs.
func (t *target) setDuration(d time.Duration) {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	t.duration = d
}

// clockMS returns the target's monotonic clock.
func (t *target) clockMS() int64 { return time.Since(t.start).Milliseconds() + 1 }

// die ends a target. The world's mutex is held.
func (t *target) die() {
	t.dead = true
	for ref, timer := range t.runs {
		timer.Stop()
		t.w.alive[ref.Task]--
		t.w.lastEnds[ref.Task] = runEnd{time.Now(), ""}
	}
	t.runs, t.steps, t.percent, t.used = map[work.RunRef]*time.Timer{}, map[work.RunRef]*work.Step{}, map[work.RunRef]int{}, work.Demand{}
	t.wake()
}

func (t *target) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// expireLoop ends all runs when the lease has expired.
func (t *target) expireLoop() {
	for {
		<-time.After(20 * time.Millisecond)
		t.w.mu.Lock()
		if t.dead {
			t.w.mu.Unlock()
			return
		}
		if now := time.Now(); now.After(t.until) {
			t.lapsed = now
			for ref := range t.runs {
				t.finish(ref, work.OutcomeLeaseExpired)
			}
		}
		t.w.mu.Unlock()
	}
}

// finish adds a run to the list of ended runs. The world's mutex is held.
func (t *target) finish(ref work.RunRef, outcome work.Outcome) {
	timer, ok := t.runs[ref]
	if !ok {
		return
	}
	timer.Stop()
	delete(t.runs, ref)
	t.w.alive[ref.Task]--
	t.w.lastEnds[ref.Task] = runEnd{time.Now(), outcome}
	t.w.note("end %v at %s: %s", ref, t.state.Key(), outcome)
	t.number++
	t.ended = append(t.ended, work.EndedRun{Number: t.number, Run: ref, Outcome: outcome})
	t.endedAt[t.number] = time.Now()
	t.used = t.used.Sub(t.steps[ref].Reserved())
	delete(t.steps, ref)
	delete(t.percent, ref)
	t.stopped[ref.Task] = max(t.stopped[ref.Task], ref.Run)
	t.wake()
}

// deliver delivers an order to a target: f is called now, later or never, and the
// answer may be lost.
func (w *world) deliver(ctx context.Context, to leader.Address, f func(t *target) leader.Refusal) (leader.Reply, error) {
	w.mu.Lock()
	t := w.targets[to.Address]
	lost := &fault.ConnectionLost{Address: to.Address, Reason: "no answer"}
	carry := func() leader.Reply {
		if t.dead || t.state.ID != to.ID {
			return leader.Reply{Refusal: leader.RefusedOtherTarget}
		}
		return leader.Reply{ClockMS: t.clockMS(), Refusal: f(t)}
	}
	if t != nil && t.dead && !t.silent && w.refuseEnded {
		w.mu.Unlock()
		return leader.Reply{}, &fault.Unavailable{What: to.Address, Reason: "connection refused"}
	}
	dropsReplies := t != nil && (t.dropsReplies || t.state.DataCentre == w.dropsRepliesIn)
	if t == nil || t.silent || t.deaf || dropsReplies || t.lag > 0 {
		if dropsReplies {
			carry()
		}
		if t != nil && t.lag > 0 && !t.silent && !t.deaf {
			time.AfterFunc(t.lag, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				t.late = true
				carry()
				t.late = false
			})
		}
		w.mu.Unlock()
		<-ctx.Done()
		return leader.Reply{}, lost
	}
	defer w.mu.Unlock()
	return carry(), nil
}

// fenced checks the token of an order. The world's mutex is held.
func (t *target) fenced(fence uint64) bool {
	if fence < t.fence {
		return true
	}
	t.fence = fence
	return false
}

// extendLease extends the lease by at most the longest duration. The world's mutex is
// held.
func (t *target) extendLease(untilMS int64) {
	until := t.start.Add(time.Duration(untilMS) * time.Millisecond)
	if longest := time.Now().Add(worldLease); until.After(longest) {
		until = longest
	}
	if untilMS > 0 && until.After(t.until) {
		t.until = until
	}
}

// Start implements leader.Targets.
func (w *world) Start(ctx context.Context, to leader.Address, o *leader.StartOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(t *target) leader.Refusal {
		if w.onStart != nil {
			w.onStart(o)
		}
		switch {
		case t.fenced(o.Fence):
			return leader.RefusedFence
		case t.runs[o.Run] != nil:
			t.extendLease(o.UntilMS)
			return leader.NotRefused
		case o.Run.Run <= t.stopped[o.Run.Task]:
			return leader.RefusedEndedRun
		case t.unhealthy:
			return leader.RefusedUnhealthy
		case !t.hasValidTicket(o):
			w.violate("start of %v without a valid ticket", o.Run)
			return leader.RefusedTicket
		}
		// A start whose own lease has expired still begins if the target holds a later
		// one.
		if t.extendLease(o.UntilMS); !time.Now().Before(t.until) {
			return leader.RefusedExpired
		}
		t.begin(o.Run)
		return leader.NotRefused
	})
}

// begin starts a run and checks the invariants. The world's mutex is held.
func (t *target) begin(ref work.RunRef) {
	w := t.w
	w.alive[ref.Task]++
	if w.jobsBegun[ref.Task.Job].IsZero() {
		w.jobsBegun[ref.Task.Job] = time.Now()
	}
	w.note("begin %v at %s", ref, t.state.Key())
	if w.alive[ref.Task] > 1 {
		w.violate("two runs of %v at the same time", ref.Task)
	}
	w.checkNotDone(ref.Task)
	w.quota.checkBegin(w, ref)
	if !t.late && !t.drainingSince.IsZero() && time.Since(t.drainingSince) > drainBound {
		w.violate("%v begins on %s %v after it was confirmed that it drains", ref, t.state.Key(), time.Since(t.drainingSince))
	}
	t.steps[ref], t.percent[ref] = w.stepOf(ref.Task), 100
	t.used = t.used.Add(t.steps[ref].Reserved())
	if !t.used.Within(t.state.Resources) {
		w.violate("%s is over its capacity", t.state.ID)
	}
	t.runs[ref] = time.AfterFunc(time.Hour, func() {})
	duration := t.duration
	if estimate := t.steps[ref].EstimateMS; estimate > 0 {
		duration = time.Duration(estimate) * time.Millisecond
	}
	if duration > 0 {
		t.runs[ref] = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			outcome := work.OutcomeDone
			if t.fails {
				outcome = work.OutcomeFailed
			}
			t.finish(ref, outcome)
		})
	}
}

// stepOf returns the step of a task, a zero one if its job has ended.
func (w *world) stepOf(task work.TaskRef) *work.Step {
	step := &work.Step{}
	w.stateMachine.Read(func(v *work.View) {
		if j, t := v.Find(task); j != nil {
			*step = j.Spec.Steps[t.Step]
		}
	})
	return step
}

// drainBound is how long after the confirmation that a target drains a run may begin on it.
const drainBound = 2 * time.Second

// checkNotDone checks that a task whose run begins has not been done. The world's mutex is
// held.
func (w *world) checkNotDone(task work.TaskRef) {
	w.stateMachine.Read(func(v *work.View) {
		if j, t := v.Find(task); j != nil {
			w.lasting[task] = j.Spec.Steps[t.Step].LongLived
		}
	})
	if w.doneNoted[task] {
		w.violate("%v begins again after it was done", task)
	}
	w.begun[task] = time.Now()
}

// acknowledge drops the ended runs up to a number. One that is done counts unless the
// lease has expired since: its task must not have begun again. The world's mutex is held.
func (t *target) acknowledge(number int64) {
	t.ended = slices.DeleteFunc(t.ended, func(e work.EndedRun) bool {
		if e.Number > number {
			return false
		}
		at, task := t.endedAt[e.Number], e.Run.Task
		if e.Outcome == work.OutcomeDone && !t.lapsed.After(at) && !t.w.lasting[task] {
			if t.w.begun[task].After(at) {
				t.w.violate("%v began again after it was done at %s", task, t.state.Key())
			}
			t.w.doneNoted[task] = true
		}
		return true
	})
}

// Stop implements leader.Targets.
func (w *world) Stop(ctx context.Context, to leader.Address, o *leader.StopOrder) (leader.Reply, error) {
	w.mu.Lock()
	delay := w.stopDelay
	w.mu.Unlock()
	if delay > 0 {
		return w.delayedStop(ctx, to, o, delay)
	}
	return w.stop(ctx, to, o)
}

// delayedStop delivers a stop after a delay, even if the sender gives up meanwhile.
func (w *world) delayedStop(ctx context.Context, to leader.Address, o *leader.StopOrder, delay time.Duration) (leader.Reply, error) {
	type result struct {
		reply leader.Reply
		err   error
	}
	done := make(chan result, 1)
	time.AfterFunc(delay, func() {
		reply, err := w.stop(context.WithoutCancel(ctx), to, o)
		done <- result{reply, err}
	})
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return leader.Reply{}, &fault.ConnectionLost{Address: to.Address, Reason: "no answer"}
	}
}

func (w *world) stop(ctx context.Context, to leader.Address, o *leader.StopOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(t *target) leader.Refusal {
		if t.fenced(o.Fence) {
			return leader.RefusedFence
		}
		if w.refuse != nil {
			if refusal := w.refuse(o); refusal != leader.NotRefused {
				return refusal
			}
		}
		if n := w.running(); n < w.minRunning && t.stopped[o.Run.Task] < o.Run.Run && !t.state.Draining {
			w.violate("%v is stopped while %d tasks are away", o.Run, w.minRunning-n)
		}
		t.stopped[o.Run.Task] = max(t.stopped[o.Run.Task], o.Run.Run)
		time.AfterFunc(w.stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.promises != nil {
				w.promises.checkStop(t, o.Run)
			}
			t.finish(o.Run, work.OutcomeStopped)
		})
		return leader.NotRefused
	})
}

// Pace implements leader.Targets.
func (w *world) Pace(ctx context.Context, to leader.Address, o *leader.PaceOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(t *target) leader.Refusal {
		switch {
		case t.fenced(o.Fence):
			return leader.RefusedFence
		case t.runs[o.Run] == nil:
			return leader.RefusedInvalid
		}
		t.percent[o.Run] = o.Percent
		return leader.NotRefused
	})
}

// servingLoad is the tail latency of serving runs as a share of their target if nothing
// disturbs them.
const servingLoad = 0.3

// fillInLoad returns what the fill-in runs add to it. The world's mutex is held.
func (t *target) fillInLoad() (load float64) {
	for ref, step := range t.steps {
		if step.FillIn {
			load += t.w.disturbance * float64(t.percent[ref]) / 100
		}
	}
	return load
}

// Hold implements leader.Targets.
func (w *world) Hold(ctx context.Context, to leader.Address, o *leader.HoldOrder) (*leader.RunList, error) {
	var out *leader.RunList
	var changed chan struct{}
	list := func(t *target) leader.Refusal {
		if t.fenced(o.Fence) {
			return leader.RefusedFence
		}
		t.extendLease(o.UntilMS)
		if out == nil { // not while the target waits for a run to end
			t.acknowledge(o.Acknowledged)
		}
		listed := min(len(t.ended), t.w.endsPerList)
		out = &leader.RunList{Born: t.state.Born, Ended: slices.Clone(t.ended[:listed]), Truncated: listed == t.w.endsPerList}
		for ref := range maps.Keys(t.runs) {
			row := leader.RunningRun{Run: ref, Percent: 100}
			if target := t.steps[ref].TailLatencyTargetMS; target > 0 {
				row.Load = (servingLoad + t.fillInLoad()) * float64(target)
			}
			out.Running = append(out.Running, row)
		}
		if t.w.editList != nil {
			t.w.editList(t, out)
		}
		changed = t.changed
		return leader.NotRefused
	}
	reply, err := w.deliver(ctx, to, list)
	if err == nil && reply.Refusal == leader.NotRefused && len(out.Ended) == 0 && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
		reply, err = w.deliver(ctx, to, list)
	}
	if err != nil {
		return nil, err
	}
	if out == nil {
		out = &leader.RunList{}
	}
	out.Reply = reply
	return out, nil
}
