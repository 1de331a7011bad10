// Package model defines the operators' records and the domain types that
// several packages share.
package model

import (
	"cmp"
	"encoding/json"
)

// RecordKind names the type of an operator's record.
type RecordKind string

// Kinds of records.
const (
	KindPool    RecordKind = "pool"
	KindJobKind RecordKind = "job_kind"
	KindWave    RecordKind = "wave"
	KindQuota   RecordKind = "quota"
)

// Schema versions that this build supports. Newer records are kept unchanged
// but not interpreted.
const (
	SchemaMin = 1
	SchemaMax = 2
)

// Record is one operator's record. Spec is the raw JSON document, so that a
// process preserves fields and schemas that it does not support.
type Record struct {
	Schema int             `cbor:"1,keyasint" json:"schema"`
	Kind   RecordKind      `cbor:"2,keyasint" json:"kind"`
	Name   string          `cbor:"3,keyasint" json:"name"`
	Spec   json.RawMessage `cbor:"4,keyasint" json:"spec"`
	// Deleted marks a record that the operator removes.
	Deleted bool `cbor:"5,keyasint,omitempty" json:"deleted,omitempty"`
}

// RecordKey identifies a record among all records.
type RecordKey struct {
	Kind RecordKind `cbor:"1,keyasint"`
	Name string     `cbor:"2,keyasint"`
}

// Compare orders keys by kind, then name.
func (k RecordKey) Compare(o RecordKey) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Key returns the key of the record.
func (r Record) Key() RecordKey { return RecordKey{r.Kind, r.Name} }

// CompareRecords orders records by their keys.
func CompareRecords(a, b Record) int { return a.Key().Compare(b.Key()) }

// Records is the full set of records at one revision.
type Records struct {
	Revision uint64   `cbor:"1,keyasint" json:"revision"`
	Items    []Record `cbor:"2,keyasint" json:"items"` // ordered by kind, then name
	// Floors in force: pool -> data centre -> minimum number of available hosts.
	Floors map[string]map[string]int `cbor:"3,keyasint" json:"floors"`
	// FloorRevision increases with every change of Floors, even if the records
	// do not change.
	FloorRevision uint64 `cbor:"4,keyasint" json:"floor_revision"`
	// Homes are the homes of each pool as fixed when the pool was created. They
	// are kept apart from the specs because a pool record may omit them.
	Homes map[string][]string `cbor:"5,keyasint,omitempty" json:"homes,omitempty"`
	// WaveCreated is the revision at which each wave's record was created. It
	// distinguishes a record that was deleted and created again from a changed
	// one.
	WaveCreated map[string]uint64 `cbor:"6,keyasint,omitempty" json:"wave_created,omitempty"`
}

// Newer reports whether r is newer than o.
func (r *Records) Newer(o *Records) bool {
	if r.Revision != o.Revision {
		return r.Revision > o.Revision
	}
	return r.FloorRevision > o.FloorRevision
}

// Pool is the spec of a pool record.
type Pool struct {
	Name string `json:"-"`
	// MinAvailable is the minimum number of available hosts in the region.
	MinAvailable int `json:"min_available"`
	// Floors splits MinAvailable over data centres (schema 2). If empty, the
	// region group splits it evenly over Homes.
	Floors map[string]int `json:"floors,omitempty"`
	// Homes are the data centres whose ledgers hold the keys that are not
	// tickets. The list cannot change after creation, since a key that moves to
	// another ledger could run twice.
	Homes []string `json:"homes"`
	// Spare marks the pool whose hosts replace missing hosts of other pools
	// (schema 2).
	Spare bool `json:"spare,omitempty"`
	// Desired is the number of hosts per data centre that repair restores.
	Desired map[string]int `json:"desired,omitempty"`
}

// Priority is the scheduling class of a job kind.
type Priority string

// Scheduling classes.
const (
	Urgent  Priority = "urgent"
	Normal  Priority = "normal"
	Patient Priority = "patient"
)

// JobKind is the spec of a job kind record.
type JobKind struct {
	Name       string   `json:"-"`
	Pool       string   `json:"pool"`
	Priority   Priority `json:"priority"`
	Idempotent bool     `json:"idempotent"`
	// Declared resources of one run; only an initial estimate.
	CPUMillis    int `json:"cpu_millis"`
	MemoryMB     int `json:"memory_mb"`
	Accelerators int `json:"accelerators,omitempty"`
	// RunTimeMS is the declared run time in milliseconds; only an initial
	// estimate.
	RunTimeMS int `json:"run_time_ms"`
	// StopLimitMS is how long a graceful stop waits for a run, in milliseconds.
	StopLimitMS int `json:"stop_limit_ms"`
	// MaxAttempts bounds the attempts of an idempotent request.
	MaxAttempts int `json:"max_attempts"`
	// Checkpointable allows a run to be ended at a checkpoint and continued on
	// another host (schema 2). Only idempotent job kinds may be.
	Checkpointable bool `json:"checkpointable,omitempty"`
}

// WaveState is the operator's desired state of a wave.
type WaveState string

// Desired states of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
)

// Wave is the spec of a maintenance wave record.
type Wave struct {
	Name  string    `json:"-"`
	Pool  string    `json:"pool"`
	State WaveState `json:"state"`
	// MaxConcurrent bounds the hosts in maintenance per data centre; 0 leaves
	// the bound to the floors.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// FailureThreshold is the number of hosts per data centre that may fail
	// to return, or be lost shortly after their step, before the wave pauses.
	FailureThreshold int `json:"failure_threshold"`
	// ReturnLimitMS is how long a rebooted host may take to announce itself.
	ReturnLimitMS int `json:"return_limit_ms"`
	// VerifyMS is how long a host must announce itself steadily after its
	// reboot before it counts as available again.
	VerifyMS int `json:"verify_ms"`
	// Resume counts the operator's resumptions: a pause by the system ends when
	// Resume increases.
	Resume int `json:"resume,omitempty"`
	// Created is the revision at which the record was created, from
	// Records.WaveCreated; 0 for records older than that field.
	Created uint64 `json:"-"`
}

// Quota is the spec of a team's quota record; the record's name is the team.
type Quota struct {
	Team string `json:"-"`
	// MaxRunning bounds the team's running requests per data centre.
	MaxRunning int `json:"max_running"`
	// MaxQueued bounds the team's queued requests per data centre.
	MaxQueued int `json:"max_queued"`
}

// Catalogue is the decoded form of Records. It is immutable after parsing.
type Catalogue struct {
	Revision uint64
	Pools    map[string]*Pool
	JobKinds map[string]*JobKind
	Waves    map[string]*Wave
	Quotas   map[string]*Quota
	// Floors in force: pool -> data centre -> hosts.
	Floors map[string]map[string]int
	// Skipped lists records with a schema that this build does not support.
	Skipped []Record
}
