// Package event stores, merges and explains the events of the timeline: what
// happened, when, by whom and why.
package event

import "agatehaven.dev/agatehaven/internal/hlc"

// Kind names what happened, in the form "<object>_<past participle>".
type Kind string

// ID identifies an event over all processes. Events of a replicated group
// carry the group, log index and position within the entry, so that every
// replica produces the same ID and merging removes copies. Local events carry
// the host and incarnation of the process in Group and a counter in Index.
type ID struct {
	Group string `cbor:"1,keyasint" json:"group"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
	Seq   int    `cbor:"3,keyasint,omitempty" json:"seq,omitempty"`
}

// Event is one entry of the timeline.
type Event struct {
	ID         ID       `cbor:"1,keyasint" json:"id"`
	Time       hlc.Time `cbor:"2,keyasint" json:"time"`
	Kind       Kind     `cbor:"3,keyasint" json:"kind"`
	DataCentre string   `cbor:"4,keyasint,omitempty" json:"data_centre,omitempty"`
	Host       string   `cbor:"5,keyasint,omitempty" json:"host,omitempty"`
	Pool       string   `cbor:"6,keyasint,omitempty" json:"pool,omitempty"`
	Request    string   `cbor:"7,keyasint,omitempty" json:"request,omitempty"`
	Attempt    int      `cbor:"8,keyasint,omitempty" json:"attempt,omitempty"`
	Wave       string   `cbor:"9,keyasint,omitempty" json:"wave,omitempty"`
	// Actor is the process, policy or operator that caused the event.
	Actor string `cbor:"10,keyasint,omitempty" json:"actor,omitempty"`
	// Reason says why, in one short sentence.
	Reason string `cbor:"11,keyasint,omitempty" json:"reason,omitempty"`
}
