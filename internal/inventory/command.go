// Package inventory is the part of a data centre's state that describes its
// hosts: pool, lifecycle state and wave steps. It checks every planned
// removal against the pool's floor when the command is applied.
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
// new incarnation or with changed properties. The pool of a known host never
// changes by it. A known host in HostMaintenance with a new incarnation goes
// to HostVerifying; a lost host returns through HostVerifying.
type Register struct {
	Info model.HostInfo `cbor:"1,keyasint"`
}

// SetLeaving records that a target says it is leaving: the host drains,
// whatever the floor, because the target decides it.
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

// Drain plans the removal of a ready host: for a wave step, for a move or by
// an operator. With Wave and MoveTo, the host is lent to the pool of the wave,
// which does not maintain it. It is refused with *fault.Precondition if the pool's available
// hosts less one would fall below its floor, or if the host is not ready.
type Drain struct {
	Host   string `cbor:"1,keyasint"`
	Wave   string `cbor:"2,keyasint,omitempty"`
	MoveTo string `cbor:"3,keyasint,omitempty"`
	Actor  string `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint"`
}

// Maintain records that a drained host without running work is given to the
// platform under a reboot order.
type Maintain struct {
	Host    string `cbor:"1,keyasint"`
	OrderID string `cbor:"2,keyasint"`
}

// Verify records that a rebooted host announced itself again.
type Verify struct {
	Host string `cbor:"1,keyasint"`
}

// FinishStep ends a host's wave step: the host is ready again.
type FinishStep struct {
	Host string `cbor:"1,keyasint"`
}

// FailStep ends a host's wave step in failure: the host is set aside or lost.
type FailStep struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// CompleteDrain ends the drain of a host without running work: a host with
// MoveTo changes its pool and becomes ready in this one entry.
type CompleteDrain struct {
	Host string `cbor:"1,keyasint"`
}

// Resume ends an operator's drain or a set-aside.
type Resume struct {
	Host   string `cbor:"1,keyasint"`
	Actor  string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}

// PauseWave records that the system pauses a wave in this data centre.
type PauseWave struct {
	Wave   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	// Created names the wave's record by model.Wave.Created.
	Created uint64 `cbor:"3,keyasint,omitempty"`
	// ResumeSeen and Failures are the resume count of the wave's progress and
	// the number of its failures and losses on which the pause was decided. It
	// is refused if a resumption has been applied since. Entries of earlier
	// versions have no number of failures and are not checked.
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
	// Created names the wave's record by model.Wave.Created.
	Created uint64 `cbor:"2,keyasint,omitempty"`
}

// SetAside takes a suspect host out of service within the floor.
type SetAside struct {
	Host   string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}
