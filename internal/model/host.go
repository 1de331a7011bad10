package model

import (
	"slices"

	"agatehaven.dev/agatehaven/internal/hlc"
)

// HostState is the lifecycle state of a host.
type HostState string

// Lifecycle states. Only HostReady counts as available and takes new work.
const (
	HostReady       HostState = "ready"
	HostDraining    HostState = "draining"
	HostMaintenance HostState = "maintenance"
	HostVerifying   HostState = "verifying"
	HostLost        HostState = "lost"
	HostSetAside    HostState = "set_aside"
)

// Capability is an optional ability that a target announces.
type Capability string

// Capabilities of targets.
const (
	// CapabilityRevoke: the target can refuse an attempt permanently and report
	// whether it had begun.
	CapabilityRevoke Capability = "revoke"
	// CapabilityCheckpoint: the target can end a task at a checkpoint and start
	// one from the reference of a checkpoint.
	CapabilityCheckpoint Capability = "checkpoint"
	CapabilityThrottle   Capability = "throttle"
)

// HostInfo is what a target announces about its host.
type HostInfo struct {
	Name         string       `cbor:"1,keyasint" json:"host"`
	DataCentre   string       `cbor:"2,keyasint" json:"data_centre"`
	Rack         string       `cbor:"3,keyasint" json:"rack"`
	Address      string       `cbor:"4,keyasint" json:"address"` // IP:port
	Incarnation  string       `cbor:"5,keyasint" json:"incarnation"`
	CPUMillis    int          `cbor:"6,keyasint" json:"cpu_millis"`
	MemoryMB     int          `cbor:"7,keyasint" json:"memory_mb"`
	Accelerators int          `cbor:"8,keyasint,omitempty" json:"accelerators,omitempty"`
	Slots        int          `cbor:"9,keyasint" json:"slots"`
	Connections  int          `cbor:"10,keyasint" json:"connections"`
	Pool         string       `cbor:"11,keyasint,omitempty" json:"pool,omitempty"` // used only at the host's first announcement
	Capabilities []Capability `cbor:"12,keyasint,omitempty" json:"capabilities,omitempty"`
	// Leaving is set when the target is about to stop.
	Leaving bool `cbor:"13,keyasint,omitempty" json:"leaving,omitempty"`
}

// Can reports whether the target has announced a capability.
func (h *HostInfo) Can(c Capability) bool { return slices.Contains(h.Capabilities, c) }

// Usage is a target's report of one running task's resource usage. It may be
// several seconds old.
type Usage struct {
	Request   string `cbor:"1,keyasint" json:"request"`
	Attempt   int    `cbor:"2,keyasint" json:"attempt"`
	CPUMillis int    `cbor:"3,keyasint" json:"cpu_millis"`
	MemoryMB  int    `cbor:"4,keyasint" json:"memory_mb"`
	RunMS     int64  `cbor:"5,keyasint" json:"run_ms"`
}

// Host is the state of a host in its data centre group.
type Host struct {
	Info   HostInfo  `cbor:"1,keyasint" json:"info"`
	Pool   string    `cbor:"2,keyasint" json:"pool"`
	State  HostState `cbor:"3,keyasint" json:"state"`
	Reason string    `cbor:"4,keyasint" json:"reason"`
	Since  hlc.Time  `cbor:"5,keyasint" json:"since"`
	// Wave is the maintenance wave whose step the host is in, or empty.
	Wave string `cbor:"6,keyasint,omitempty" json:"wave,omitempty"`
	// OrderID names the reboot order of the current step.
	OrderID string `cbor:"7,keyasint,omitempty" json:"order_id,omitempty"`
	// MoveTo is the pool that a draining host moves to, or empty.
	MoveTo string `cbor:"8,keyasint,omitempty" json:"move_to,omitempty"`
	// ReturnTo is the state that the host returns to after a loss, or empty. An
	// operator's drain sets it to HostDraining, and the loss of a host that is
	// set aside to HostSetAside, so that both states survive a loss or a restart.
	ReturnTo HostState `cbor:"9,keyasint,omitempty" json:"return_to,omitempty"`
	// Ordered is when the reboot of the current step was ordered. Unlike Since,
	// it does not change when the host is lost and returns within the step.
	Ordered hlc.Time `cbor:"10,keyasint" json:"ordered"`
}
