// Package target defines the interfaces to targets and to the platform, with an
// HTTP client for each, and the server that receives targets' announcements.
package target

import (
	"context"
	"time"
)

// Task is one attempt as it is sent to a target.
type Task struct {
	Key          string `json:"request"`
	Attempt      int    `json:"attempt"`
	Kind         string `json:"kind"`
	Payload      []byte `json:"payload"`
	CPUMillis    int    `json:"cpu_millis"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators,omitempty"`
	LeaseMS      int64  `json:"lease_ms"`
	// Checkpoint is the reference of the checkpoint from which the task
	// continues, or empty. Only for targets with model.CapabilityCheckpoint. A
	// target that cannot use it starts the task from the beginning, refuses the
	// start or fails the task.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// TaskState is the state of an attempt as its target reports it.
type TaskState string

// States of an attempt at its target.
const (
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	// TaskAbsent: the target does not know the attempt. This does not prove
	// that the attempt will not begin, since a start may still be in transit.
	TaskAbsent TaskState = "absent"
	// TaskRevoked: the attempt had not begun and never will.
	TaskRevoked TaskState = "revoked"
	// TaskStopped: the task ended at a checkpoint, without a result.
	TaskStopped TaskState = "stopped"
)

// TaskStatus is a target's answer about one attempt. Answer has been checked
// against its announced length and SHA-256.
type TaskStatus struct {
	Key      string
	Attempt  int
	State    TaskState
	Progress int64
	Answer   []byte
	Reason   string
	RunMS    int64
	// Incarnation is the target's incarnation that answered, or empty if the
	// answer does not state it. TaskAbsent and TaskRevoked prove nothing about
	// an attempt that was sent to an earlier incarnation.
	Incarnation string
	// Checkpoint is the reference of a stopped task's checkpoint. It is empty if
	// the target gave none, or one larger than model.MaxCheckpointBytes. The task
	// has ended in any case, so without it the work starts from the beginning.
	Checkpoint []byte
}

// Client calls targets. Every method returns *fault.SilentConnection if the
// target gives no response in time, after it has discarded the connection.
type Client interface {
	// Start sends an attempt once and never resends it by itself. A nil
	// error means that the attempt has begun; *RefusedError means that it has
	// not begun and never will; *NotSentError means that no byte was sent.
	// After any other error it is unknown whether the attempt has begun.
	Start(ctx context.Context, address string, t Task) error
	// Poll reads the state of an attempt and waits up to wait for a change.
	Poll(ctx context.Context, address, key string, attempt int, wait time.Duration) (TaskStatus, error)
	// Stop asks the target to end an attempt.
	Stop(ctx context.Context, address, key string, attempt int) error
	// Revoke asks the target to refuse an attempt permanently if it has not
	// begun. Only for targets with model.CapabilityRevoke.
	Revoke(ctx context.Context, address, key string, attempt int) (TaskStatus, error)
	// Checkpoint asks the target to save a task's progress and to end the task
	// as stopped. Only for targets with model.CapabilityCheckpoint. A task that
	// has ended keeps its state. *RefusedError means that the task goes on. The
	// call is idempotent.
	Checkpoint(ctx context.Context, address, key string, attempt int) (TaskStatus, error)
}

// Platform orders reboots.
type Platform interface {
	// Reboot restarts a host. It is idempotent for the same order id.
	Reboot(ctx context.Context, host, orderID string) error
}
