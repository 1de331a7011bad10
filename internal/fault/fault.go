// Package fault defines the error types that cross package and process
// boundaries. Every failure has a type and a stable code, so that code handles
// errors by type and never by text.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Code is the stable, machine-readable name of a failure. It is part of the
// HTTP and peer protocols.
type Code string

// Codes of the failures in this package.
const (
	CodeNotLeader        Code = "not_leader"
	CodeProposalUnknown  Code = "proposal_unknown"
	CodeUnavailable      Code = "unavailable"
	CodeLimitExceeded    Code = "limit_exceeded"
	CodeInvalid          Code = "invalid"
	CodeNotFound         Code = "not_found"
	CodeRevisionConflict Code = "revision_conflict"
	CodeKeyReused        Code = "key_reused"
	CodePrecondition     Code = "precondition_failed"
	CodeTimeout          Code = "timeout"
	CodeCorrupt          Code = "corrupt"
	CodeSilentConnection Code = "silent_connection"
	CodeShuttingDown     Code = "shutting_down"
	CodeClockSkew        Code = "clock_skew"
	CodeInternal         Code = "internal"
	CodeUnsupported      Code = "unsupported"
	CodeUnauthorised     Code = "unauthorised"
)

// Coded is implemented by every error type of this project.
type Coded interface {
	error
	Code() Code
}

// CodeOf returns the code of the first coded error in the chain of err, or
// CodeInternal if there is none.
func CodeOf(err error) Code {
	var c Coded
	if errors.As(err, &c) {
		return c.Code()
	}
	return CodeInternal
}

// NotLeader reports that this replica does not lead its group. Leader is the
// host name of the current leader, or empty if it is not known.
type NotLeader struct {
	Group  string
	Leader string
}

func (e *NotLeader) Error() string {
	return fmt.Sprintf("replica of group %q is not the leader (leader: %q)", e.Group, e.Leader)
}

// Code implements Coded.
func (e *NotLeader) Code() Code { return CodeNotLeader }

// ProposalUnknown reports that leadership was lost or the deadline passed while
// a proposal was pending: the entry may or may not be committed.
type ProposalUnknown struct{ Group string }

func (e *ProposalUnknown) Error() string {
	return fmt.Sprintf("outcome of the proposal to group %q is unknown", e.Group)
}

// Code implements Coded.
func (e *ProposalUnknown) Code() Code { return CodeProposalUnknown }

// Unavailable reports that a dependency cannot be reached or cannot serve
// now. The operation had no effect.
type Unavailable struct {
	What   string
	Reason string
}

func (e *Unavailable) Error() string { return fmt.Sprintf("%s is unavailable: %s", e.What, e.Reason) }

// Code implements Coded.
func (e *Unavailable) Code() Code { return CodeUnavailable }

// LimitExceeded reports that a bounded table or queue is full, or that a message
// is too large. The operation had no effect.
type LimitExceeded struct {
	What  string
	Limit int64
}

func (e *LimitExceeded) Error() string {
	return fmt.Sprintf("%s exceeds its limit of %d", e.What, e.Limit)
}

// Code implements Coded.
func (e *LimitExceeded) Code() Code { return CodeLimitExceeded }

// Invalid reports input that breaks a rule. Allowed names the accepted range
// or form.
type Invalid struct {
	Field   string
	Reason  string
	Allowed string
}

func (e *Invalid) Error() string {
	if e.Allowed == "" {
		return fmt.Sprintf("%s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%s: %s (allowed: %s)", e.Field, e.Reason, e.Allowed)
}

// Code implements Coded.
func (e *Invalid) Code() Code { return CodeInvalid }

// NotFound reports that the named object does not exist.
type NotFound struct{ Kind, Name string }

func (e *NotFound) Error() string { return fmt.Sprintf("%s %q not found", e.Kind, e.Name) }

// Code implements Coded.
func (e *NotFound) Code() Code { return CodeNotFound }

// Unauthorised reports a call whose key is missing or belongs to nobody who may make it.
type Unauthorised struct{}

func (*Unauthorised) Error() string { return "the call carries no valid key" }

// Code implements Coded.
func (*Unauthorised) Code() Code { return CodeUnauthorised }

// RevisionConflict reports that the records changed since the revision that
// the operator saw. The operation had no effect.
type RevisionConflict struct{ Expected, Current uint64 }

func (e *RevisionConflict) Error() string {
	return fmt.Sprintf("expected revision %d, but the current revision is %d", e.Expected, e.Current)
}

// Code implements Coded.
func (e *RevisionConflict) Code() Code { return CodeRevisionConflict }

// KeyReused reports that an idempotency key was already used with another
// body.
type KeyReused struct{ Key string }

func (e *KeyReused) Error() string {
	return fmt.Sprintf("idempotency key %q was already used with another body", e.Key)
}

// Code implements Coded.
func (e *KeyReused) Code() Code { return CodeKeyReused }

// Precondition reports that a command was refused because the state does not
// allow it. Reason says which rule refused it.
type Precondition struct{ What, Reason string }

func (e *Precondition) Error() string { return fmt.Sprintf("%s refused: %s", e.What, e.Reason) }

// Code implements Coded.
func (e *Precondition) Code() Code { return CodePrecondition }

// Timeout reports that an operation did not finish in time. Its effect is
// unknown unless the operation is a query.
type Timeout struct {
	What  string
	After time.Duration
}

func (e *Timeout) Error() string { return fmt.Sprintf("%s timed out after %s", e.What, e.After) }

// Code implements Coded.
func (e *Timeout) Code() Code { return CodeTimeout }

// Corrupt reports stored or received data that fails its integrity check.
type Corrupt struct {
	What   string
	Offset int64
	Reason string
}

func (e *Corrupt) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.What, e.Offset, e.Reason)
}

// Code implements Coded.
func (e *Corrupt) Code() Code { return CodeCorrupt }

// Unsupported reports data of a newer version that this build does not
// support.
type Unsupported struct {
	What   string
	Reason string
}

func (e *Unsupported) Error() string {
	return fmt.Sprintf("%s of a newer version: %s; upgrade this host", e.What, e.Reason)
}

// Code implements Coded.
func (e *Unsupported) Code() Code { return CodeUnsupported }

// SilentConnection reports a connection without progress within its limit.
type SilentConnection struct {
	Address string
	Limit   time.Duration
}

func (e *SilentConnection) Error() string {
	return fmt.Sprintf("no response from %s within %s", e.Address, e.Limit)
}

// Code implements Coded.
func (e *SilentConnection) Code() Code { return CodeSilentConnection }

// ShuttingDown reports that the process accepts no new work because it is
// stopping. The operation had no effect.
type ShuttingDown struct{}

func (e *ShuttingDown) Error() string { return "the process is shutting down" }

// Code implements Coded.
func (e *ShuttingDown) Code() Code { return CodeShuttingDown }

// ClockSkew reports a clock or a timestamp that deviates by more than Limit from
// the clock that it is compared with. The operation had no effect.
type ClockSkew struct {
	// What names the clock or the timestamp.
	What string
	// Skew is positive if it is ahead and negative if it is behind.
	Skew  time.Duration
	Limit time.Duration
}

func (e *ClockSkew) Error() string {
	side := "ahead"
	if e.Skew < 0 {
		side = "behind"
	}
	return fmt.Sprintf("%s is %s %s, the limit is %s", e.What, e.Skew.Abs(), side, e.Limit)
}

// Code implements Coded.
func (e *ClockSkew) Code() Code { return CodeClockSkew }

// Remote carries a failure of another process: its code and text, as received.
type Remote struct {
	RemoteCode Code
	Text       string
}

func (e *Remote) Error() string { return e.Text }

// Code implements Coded.
func (e *Remote) Code() Code { return e.RemoteCode }
