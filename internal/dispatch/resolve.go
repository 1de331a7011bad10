package dispatch

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
)

// OpenAttempt identifies an attempt without a result and its target.
type OpenAttempt struct {
	Key     string
	Attempt int
	Host    string
	Address string
	// TargetIncarnation is the incarnation that the attempt was assigned to.
	TargetIncarnation string
	// CanRevoke is set if the target has announced model.CapabilityRevoke.
	CanRevoke bool
	// CheckpointRequested asks to end the attempt at a checkpoint.
	CheckpointRequested bool
}

func openAttempt(a model.Assignment) OpenAttempt {
	return OpenAttempt{
		Key: a.Key, Attempt: a.Attempt, Host: a.Host, Address: a.Address,
		TargetIncarnation: a.TargetIncarnation, CanRevoke: a.CanRevoke,
	}
}

// Resolver reads the results of attempts whose owner is gone. The leader uses
// it.
type Resolver struct{ targets target.Client }

// NewResolver returns a resolver that reads from the given targets.
func NewResolver(targets target.Client) *Resolver { return &Resolver{targets: targets} }

// Resolve reads the state of an attempt from its target. It returns nil while
// the attempt is running. An attempt that the target does not know is revoked
// if the target can do that, which proves that it never ran; otherwise the
// report says that the outcome is unknown. A running attempt is ended at a
// checkpoint if that is requested. An error means that the target gave no usable
// answer, and the caller may try again.
func (r *Resolver) Resolve(ctx context.Context, a OpenAttempt) (*model.AttemptReport, error) {
	o, err := observe(ctx, r.targets, a, false, 0)
	if err == nil && o.running && a.CheckpointRequested {
		// A refusal or no answer leaves the attempt running.
		if st, failed := r.targets.Checkpoint(ctx, a.Address, a.Key, a.Attempt); failed == nil {
			o = interpretStatus(st, a, true)
		}
	}
	if err != nil || o.running {
		return nil, err
	}
	return &o.report, nil
}

// observation is the result of one poll of an attempt.
type observation struct {
	running bool
	report  model.AttemptReport // if not running
}

// observe polls an attempt once and revokes it if the target does not know it
// and its start was not confirmed.
func observe(ctx context.Context, targets target.Client, a OpenAttempt, begun bool, wait time.Duration) (observation, error) {
	st, err := targets.Poll(ctx, a.Address, a.Key, a.Attempt, wait)
	if err != nil {
		return observation{}, err
	}
	if st.State == target.TaskAbsent && !begun && a.CanRevoke && sameIncarnation(st, a) {
		if st, err = targets.Revoke(ctx, a.Address, a.Key, a.Attempt); err != nil {
			return observation{}, err
		}
	}
	return interpretStatus(st, a, begun), nil
}

// interpretStatus turns a target's answer into a report. Only the incarnation
// that the attempt was assigned to can prove that it did not begin: a later one
// does not know what ran before it started.
func interpretStatus(st target.TaskStatus, a OpenAttempt, begun bool) observation {
	report := model.AttemptReport{
		Key: a.Key, Attempt: a.Attempt, Reason: st.Reason, Answer: st.Answer, RunMS: st.RunMS,
	}
	switch {
	case st.State == target.TaskRunning:
		return observation{running: true}
	case st.State == target.TaskSucceeded:
		report.State = model.AttemptSucceeded
	case st.State == target.TaskFailed:
		report.State = model.AttemptFailed
	case st.State == target.TaskStopped:
		report.State, report.Answer, report.Checkpoint = model.AttemptCheckpointed, nil, st.Checkpoint
	case st.State == target.TaskRevoked && !begun && sameIncarnation(st, a):
		report = model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptNotBegun, Reason: "revoked before it began"}
	case st.Incarnation == "":
		report = unknown(a.Key, a.Attempt, "the target neither knows the attempt nor reports its incarnation")
	case !sameIncarnation(st, a):
		report = unknown(a.Key, a.Attempt, "the target has restarted since the attempt was assigned")
	case begun:
		report = unknown(a.Key, a.Attempt, "the target no longer knows the attempt")
	default:
		report = unknown(a.Key, a.Attempt, "the start was not confirmed and the target does not know the attempt")
	}
	return observation{report: report}
}

func sameIncarnation(st target.TaskStatus, a OpenAttempt) bool {
	return st.Incarnation != "" && st.Incarnation == a.TargetIncarnation
}
