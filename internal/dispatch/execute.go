package dispatch

import (
	"context"
	"errors"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
)

// execute starts an attempt and follows it to its result.
func (d *Dispatcher) execute(ctx context.Context, e *entry) {
	a := e.assignment
	if e.followOnly {
		d.follow(ctx, e, false)
		return
	}
	if refusal := d.table.claimStart(e); refusal != "" {
		d.report(ctx, e, notBegun(a, refusal), true)
		return
	}
	err := d.cfg.Targets.Start(ctx, a.Address, target.Task{
		Key: a.Key, Attempt: a.Attempt, Kind: a.Kind, Payload: a.Payload, CPUMillis: a.CPUMillis,
		MemoryMB: a.MemoryMB, Accelerators: a.Accelerators, LeaseMS: d.cfg.TaskLease.Milliseconds(),
		Checkpoint: a.Checkpoint,
	})
	var refused *target.RefusedError
	var notSent *target.NotSentError
	switch {
	case err == nil:
		d.recordAttempt(EventStarted, a, "")
		d.follow(ctx, e, true)
	case errors.As(err, &refused):
		d.report(ctx, e, notBegun(a, refused.Error()), true)
	case errors.As(err, &notSent):
		d.report(ctx, e, notBegun(a, notSent.Error()), true)
	case ctx.Err() != nil:
		return // this process is stopping; the leader resolves the attempt
	default:
		d.recordAttempt(EventStartUnconfirmed, a, err.Error())
		d.follow(ctx, e, false)
	}
}

// follow polls an attempt until its result is known. begun is set if the target
// has confirmed the start.
func (d *Dispatcher) follow(ctx context.Context, e *entry, begun bool) {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.stopOnRequest(followCtx, e)
	go d.checkpointOnRequest(followCtx, e)
	go func() {
		select {
		case <-e.dropped:
			cancel()
		case <-followCtx.Done():
		}
	}()
	f := &follower{d: d, e: e, reportCtx: ctx, begun: begun, lastContact: d.cfg.Clock.Now()}
	for followCtx.Err() == nil {
		if f.step(followCtx) {
			return
		}
	}
}

// follower is the state of one call of follow.
type follower struct {
	d *Dispatcher
	e *entry
	// reportCtx is the context of the dispatcher: a result that was read is
	// reported even if the attempt is no longer followed.
	reportCtx context.Context
	begun     bool
	// lastContact is the time of the last usable answer.
	lastContact time.Time
	// unknownAt is when the attempt was reported as unknown.
	unknownAt time.Time
}

// step makes one poll and reports whether the attempt has ended.
func (f *follower) step(ctx context.Context) bool {
	a := f.e.assignment
	wait := f.d.cfg.PollWait
	if !f.begun && f.unknownAt.IsZero() {
		wait = 0
	}
	o, err := observe(ctx, f.d.cfg.Targets, openAttempt(a), f.begun, wait)
	if ctx.Err() != nil {
		return true
	}
	select {
	case st := <-f.e.checkpointResult:
		// The answer to a checkpoint counts even if the target no longer knows the
		// task.
		o, err = interpretStatus(st, openAttempt(a), f.begun), nil
	default:
	}
	now := f.d.cfg.Clock.Now()
	if err == nil {
		f.lastContact = now
	}
	switch {
	case err != nil && now.Sub(f.lastContact) < f.d.cfg.ContactTimeout:
		f.d.wait(ctx, retryDelay)
		return false
	case err != nil:
		return f.unknown(ctx, "no usable answer from the target: "+err.Error())
	case o.running:
		f.begun = true
		return false
	case o.report.State == model.AttemptUnknown:
		return f.unknown(ctx, o.report.Reason)
	}
	f.d.report(f.reportCtx, f.e, o.report, true)
	return true
}

// unknown reports once that the outcome cannot be proven, and then keeps polling
// for a late result until LateResultTimeout has passed.
func (f *follower) unknown(ctx context.Context, reason string) bool {
	now := f.d.cfg.Clock.Now()
	if f.unknownAt.IsZero() {
		f.unknownAt = now
		f.d.table.markReportedUnknown(f.e)
		f.d.report(f.reportCtx, f.e, unknown(f.e.assignment.Key, f.e.assignment.Attempt, reason), false)
	}
	if now.Sub(f.unknownAt) >= f.d.cfg.LateResultTimeout {
		f.d.table.end(f.e)
		return true
	}
	f.d.wait(ctx, latePollInterval)
	return false
}

// stopOnRequest waits for a stop request, then asks the target to stop the
// attempt until the target confirms it or the attempt ends.
func (d *Dispatcher) stopOnRequest(ctx context.Context, e *entry) {
	select {
	case <-e.stop:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if d.cfg.Targets.Stop(ctx, e.assignment.Address, e.assignment.Key, e.assignment.Attempt) == nil {
			return
		}
		d.wait(ctx, retryDelay)
	}
}

// checkpointOnRequest asks the target to end the attempt at a checkpoint, once
// for each request of the leader and at most once per checkpointInterval. If the
// target refuses or does not answer, the attempt keeps running, and the target
// is asked again only if the leader repeats the request. The follower reports
// the result.
func (d *Dispatcher) checkpointOnRequest(ctx context.Context, e *entry) {
	for {
		select {
		case <-e.checkpointRequest:
		case <-ctx.Done():
			return
		}
		a := e.assignment
		st, err := d.cfg.Targets.Checkpoint(ctx, a.Address, a.Key, a.Attempt)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			d.recordAttempt(EventCheckpointFailed, a, err.Error())
		case st.State == target.TaskStopped:
			e.checkpointResult <- st
			return
		}
		d.wait(ctx, checkpointInterval)
	}
}

func notBegun(a model.Assignment, reason string) model.AttemptReport {
	return model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptNotBegun, Reason: reason}
}

func unknown(key string, attempt int, reason string) model.AttemptReport {
	return model.AttemptReport{Key: key, Attempt: attempt, State: model.AttemptUnknown, Reason: reason}
}
