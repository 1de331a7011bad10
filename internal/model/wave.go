package model

import "agatehaven.dev/agatehaven/internal/hlc"

// WaveProgress is the progress of one wave in one data centre.
type WaveProgress struct {
	Wave       string `cbor:"1,keyasint" json:"wave"`
	DataCentre string `cbor:"2,keyasint" json:"data_centre"`
	// Done and Failed list hosts by name, in the order in which their steps
	// ended; Current lists the hosts whose step is open.
	Done    []string `cbor:"3,keyasint" json:"done"`
	Failed  []string `cbor:"4,keyasint" json:"failed"`
	Current []string `cbor:"5,keyasint" json:"current"`
	// Paused is set if the system, not the operator, paused the wave.
	Paused bool   `cbor:"6,keyasint" json:"paused"`
	Reason string `cbor:"7,keyasint" json:"reason"`
	// ResumeSeen is the value of Wave.Resume at the last pause.
	ResumeSeen int      `cbor:"8,keyasint" json:"resume_seen"`
	Started    hlc.Time `cbor:"9,keyasint" json:"started"`
	Finished   hlc.Time `cbor:"10,keyasint,omitempty" json:"finished"`
	// Steps maps each finished host to the end of its step, so that later losses
	// can be attributed to the wave.
	Steps map[string]hlc.Time `cbor:"11,keyasint" json:"steps,omitempty"`
	// Lost lists the hosts that were lost during their step or shortly after
	// it. A later return does not remove them.
	Lost []string `cbor:"12,keyasint,omitempty" json:"lost,omitempty"`
	// Skipped lists the hosts that were borrowed for the wave and return after
	// it, so the wave does not maintain them.
	Skipped []string `cbor:"14,keyasint,omitempty" json:"skipped,omitempty"`
	// StepsMS is the total time in milliseconds of the steps that succeeded,
	// each from its reboot order to the end of its verification. TimedSteps is
	// the number of these steps.
	StepsMS    int64 `cbor:"17,keyasint,omitempty" json:"steps_ms,omitempty"`
	TimedSteps int   `cbor:"18,keyasint,omitempty" json:"timed,omitempty"`
	// FailuresSeen is the number of failures and losses at the last
	// resumption; only later ones count towards the next pause.
	FailuresSeen int `cbor:"13,keyasint,omitempty" json:"failures_seen,omitempty"`
	// Created is Wave.Created of the record that this progress belongs to.
	Created uint64 `cbor:"15,keyasint,omitempty" json:"created,omitempty"`
	// Carried lists the hosts whose last step belongs to an earlier record of
	// the same name. Such a step ends normally but does not count for this wave.
	Carried []string `cbor:"16,keyasint,omitempty" json:"carried,omitempty"`
}

// MeanStepMS returns the mean time of a step that ended well in milliseconds,
// or 0 if there was none. The wait for running work before the reboot order is
// not part of it.
func (p *WaveProgress) MeanStepMS() int64 {
	if p.TimedSteps == 0 {
		return 0
	}
	return p.StepsMS / int64(p.TimedSteps)
}
