// Package inventory is the part of a data centre's replicated state that
// describes its hosts: pool, lifecycle state and steps of maintenance waves. It
// checks every planned removal against the pool's availability floor when the
// command is applied.
package inventory

import "agatehaven.dev/agatehaven/internal/model"

// Command changes the inventory. Exactly one field is set.
type Command struct {
	Register      *Register      `cbor:"1,keyasint,omitempty"`
	SetLeaving    *SetLeaving    `cbor:"2,keyasint,omitempty"`
	MarkLost      *MarkLost      `cbor:"3,keyasint,omitempty"`
	Return        *Return        `cbor:"4,keyasint,omitempty"`
	Drain         *Drain         `cbor:"5,keyasint,omitempty"`
	Maintain      *Maintain      `cbor:"6,keyasint,omitempty"`
	Verify        *Verify        `cbor:"7,keyasint,omitempty"`
	FinishStep    *FinishStep    `cbor:"8,keyasint,omitempty"`
	FailStep      *FailStep      `cbor:"9,keyasint,omitempty"`
	CompleteDrain *CompleteDrain `cbor:"10,keyasint,omitempty"`
	Resume        *Resume        `cbor:"11,keyasint,omitempty"`
	PauseWave     *PauseWave     `cbor:"12,keyasint,omitempty"`
	ResumeWave    *ResumeWave    `cbor:"13,keyasint,omitempty"`
	FinishWave    *FinishWave    `cbor:"14,keyasint,omitempty"`
	SetAside      *SetAside      `cbor:"15,keyasint,omitempty"`
}

// Register records a host that announces itself for the first time, with a
// new incarnation or with changed properties. It never changes the pool of a
// known host. A known host in HostMaintenance with a new incarnation goes to
// HostVerifying; a lost host goes to its ReturnTo state if that is set, and to
// HostVerifying otherwise.
type Register struct {
	Info model.HostInfo `cbor:"1,keyasint"`
}

// SetLeaving records that a target announces its shutdown. The host drains
// even below the floor, since the inventory cannot prevent the shutdown.
type SetLeaving struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// MarkLost records that a host's lease expired.
type MarkLost struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Return makes a verifying or lost host available again.
type Return struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Drain takes a ready host out of service: with Wave for a wave step, with
// MoveTo for a move to another pool, with neither on an operator's order. With
// both, the host is lent to the pool that the wave maintains; the wave does not
// maintain the host itself. Drain is refused with *fault.Precondition if the
// host is not ready or the pool's available hosts would fall below its floor.
type Drain struct {
	Host   string `cbor:"1,keyasint"`
	Wave   string `cbor:"2,keyasint,omitempty"`
	MoveTo string `cbor:"3,keyasint,omitempty"`
	Actor  string `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint"`
}

// Maintain records that the platform takes over a drained host without running
// work under a reboot order.
type Maintain struct {
	Host    string `cbor:"1,keyasint"`
	OrderID string `cbor:"2,keyasint"`
}

// Verify records that a rebooted host announced itself again; the host then
// has to announce itself steadily before its step ends.
type Verify struct {
	Host string `cbor:"1,keyasint"`
}

// FinishStep ends a host's wave step: the host is ready again.
type FinishStep struct {
	Host string `cbor:"1,keyasint"`
}

// FailStep ends a host's wave step as failed: the host is lost if it has not
// returned from its reboot or was lost already, and set aside otherwise.
type FailStep struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// CompleteDrain records that a draining host has no running work left. A host
// with MoveTo changes its pool and becomes ready in the same log entry.
type CompleteDrain struct {
	Host string `cbor:"1,keyasint"`
}

// Resume returns a draining or set-aside host to service.
type Resume struct {
	Host   string `cbor:"1,keyasint"`
	Actor  string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// PauseWave pauses a wave in this data centre because of failures; an operator
// pauses a wave by its record instead.
type PauseWave struct {
	Wave   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// Created is model.Wave.Created of the record that the pause was decided for.
	Created uint64 `cbor:"3,keyasint,omitempty"`
	// ResumeSeen and Failures are the progress's resume count and its number of
	// failures and losses when the pause was decided. The pause is refused if a
	// resumption was applied in the meantime. Entries of earlier versions have no
	// number of failures and are not checked.
	ResumeSeen int `cbor:"4,keyasint,omitempty"`
	Failures   int `cbor:"5,keyasint,omitempty"`
}

// ResumeWave ends a pause after the operator raised model.Wave.Resume.
type ResumeWave struct {
	Wave   string `cbor:"1,keyasint"`
	Resume int    `cbor:"2,keyasint"`
}

// FinishWave records that no host of the wave remains in this data centre.
type FinishWave struct {
	Wave string `cbor:"1,keyasint"`
	// Created is model.Wave.Created of the record that the end was decided for.
	Created uint64 `cbor:"2,keyasint,omitempty"`
}

// SetAside takes a suspect host out of service if the floor allows it.
type SetAside struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}
