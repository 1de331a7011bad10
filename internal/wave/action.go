// Package wave is the policy of maintenance waves: it decides which host to
// drain, reboot or fail next, and when a wave pauses, resumes and ends. It is a
// pure function of its input; the inventory checks every decision again when it
// is applied.
package wave

import (
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/model"
)

// Kind names what an action does.
type Kind string

// Kinds of actions.
const (
	// Drain starts the step of a host.
	Drain Kind = "drain"
	// Checkpoint moves the patient tasks of a draining host elsewhere: they are
	// checkpointed, stopped and queued again.
	Checkpoint Kind = "checkpoint"
	// Maintain orders the reboot of a drained host.
	Maintain Kind = "maintain"
	// Finish ends the step of a host that has passed verification.
	Finish Kind = "finish_step"
	// Fail ends the step of a host that did not return or verify in time.
	Fail Kind = "fail_step"
	// Release takes a draining host back into service because the wave is
	// paused.
	Release Kind = "release"
	// Borrow moves a spare host into the pool so that more steps can be open at
	// once. The wave does not maintain the borrowed host.
	Borrow Kind = "borrow"
	// Pause pauses the wave because its failures have reached the threshold.
	Pause Kind = "pause"
	// Resume ends such a pause after an operator raised the resume count.
	Resume Kind = "resume"
	// End finishes the wave in this data centre.
	End Kind = "end"
	// Wait changes nothing; its reason tells what the wave waits for.
	Wait Kind = "wait"
)

// Action is one decision with its reason.
type Action struct {
	Kind   Kind
	Wave   string
	Host   string
	Reason string
	// OrderID identifies the reboot order of Maintain. It is the same each time
	// the action is repeated within a step.
	OrderID string
	// Pool is the pool that a borrowed host moves to.
	Pool string
	// Resume is the operator's resume count to which Resume responds.
	Resume int
	// ResumeSeen and Failures are the state on which Pause was decided, see
	// inventory.PauseWave.
	ResumeSeen, Failures int
	// Created is model.Wave.Created of the record that the action was decided for.
	Created uint64
}

// Actor is the name under which the policy's commands appear in events.
const Actor = "wave"

// Command returns the inventory command of the action, or nil for Wait and
// Checkpoint, which do not change the inventory.
func (a Action) Command() *inventory.Command {
	switch a.Kind {
	case Drain:
		return &inventory.Command{Drain: &inventory.Drain{Host: a.Host, Wave: a.Wave, Actor: Actor, Reason: a.Reason}}
	case Borrow:
		return &inventory.Command{Drain: &inventory.Drain{Host: a.Host, Wave: a.Wave, MoveTo: a.Pool, Actor: Actor, Reason: a.Reason}}
	case Maintain:
		return &inventory.Command{Maintain: &inventory.Maintain{Host: a.Host, OrderID: a.OrderID}}
	case Finish:
		return &inventory.Command{FinishStep: &inventory.FinishStep{Host: a.Host}}
	case Fail:
		return &inventory.Command{FailStep: &inventory.FailStep{Host: a.Host, Reason: a.Reason}}
	case Release:
		return &inventory.Command{Resume: &inventory.Resume{Host: a.Host, Actor: Actor, Reason: a.Reason}}
	case Pause:
		return &inventory.Command{PauseWave: &inventory.PauseWave{
			Wave: a.Wave, Reason: a.Reason, Created: a.Created, ResumeSeen: a.ResumeSeen, Failures: a.Failures,
		}}
	case Resume:
		return &inventory.Command{ResumeWave: &inventory.ResumeWave{Wave: a.Wave, Resume: a.Resume}}
	case End:
		return &inventory.Command{FinishWave: &inventory.FinishWave{Wave: a.Wave, Created: a.Created}}
	}
	return nil
}

// OrphanedWave returns a substitute for the record of a wave that was deleted
// while steps were open. With it, the open steps finish and no new ones start.
func OrphanedWave(name, pool string) *model.Wave {
	return &model.Wave{
		Name: name, Pool: pool, State: model.WaveCancelled, FailureThreshold: 1 << 30,
		ReturnLimitMS: model.DefaultReturnLimitMS, VerifyMS: model.DefaultVerifyMS,
	}
}
