// Package leader carries out the duties of the region's leader: it starts and monitors
// runs on targets, renews their leases, moves hosts between pools and has them
// maintained. Every decision is committed before the order is sent.
package leader

import (
	"context"
	"fmt"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

// Targets sends orders to targets. Every order carries a fencing token: a target
// refuses an order whose token is lower than one it has seen. A *fault.Unavailable
// proves that the order had no effect; after any other error it may still take effect.
type Targets interface {
	Start(ctx context.Context, to Address, o *StartOrder) (Reply, error)
	Stop(ctx context.Context, to Address, o *StopOrder) (Reply, error)
	Hold(ctx context.Context, to Address, o *HoldOrder) (*RunList, error)
	Pace(ctx context.Context, to Address, o *PaceOrder) (Reply, error)
}

// Address names a target for an order.
type Address struct {
	Address string `cbor:"1,keyasint"` // "IP:port"
	// ID is the target's id. A different target at the address refuses the order.
	ID string `cbor:"2,keyasint"`
}

// StartOrder starts a run.
type StartOrder struct {
	Run        work.RunRef `cbor:"1,keyasint"`
	Payload    string      `cbor:"2,keyasint,omitempty"`
	Checkpoint string      `cbor:"3,keyasint,omitempty"`
	// UntilMS is the end of the lease on the target's clock.
	UntilMS int64  `cbor:"4,keyasint"`
	Fence   uint64 `cbor:"5,keyasint"`
	// Ticket is the policy service's permission, empty if none is needed.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// StopOrder stops a run, or prevents it from starting.
type StopOrder struct {
	Run   work.RunRef
	Fence uint64
}

// HoldOrder renews the lease of a target's runs and asks for the list of runs.
type HoldOrder struct {
	Fence uint64 `cbor:"1,keyasint"`
	// Acknowledged is the number of the last recorded ended run. The target drops the
	// ended runs up to it.
	Acknowledged int64 `cbor:"2,keyasint,omitempty"`
	UntilMS      int64 `cbor:"3,keyasint,omitempty"`
	// WaitMS is how long the target may wait for a run to end before it answers, at
	// most 2000.
	WaitMS int64 `cbor:"4,keyasint,omitempty"`
}

// PaceOrder throttles a run to a share of its work, in percent.
type PaceOrder struct {
	Run     work.RunRef
	Percent int
	Fence   uint64
}

// Refusal is why a target did not carry out an order.
type Refusal string

// Refusals of targets. RefusedEndedRun is for a run that has ended or was stopped, and
// RefusedExpired for a start that arrived after the end of its lease.
const (
	NotRefused       Refusal = ""
	RefusedFence     Refusal = "fence"
	RefusedEndedRun  Refusal = "old"
	RefusedExpired   Refusal = "late"
	RefusedCapacity  Refusal = "room"
	RefusedTicket    Refusal = "ticket"
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedInvalid   Refusal = "invalid"
	// RefusedOtherTarget is the refusal of a different target at the address.
	RefusedOtherTarget Refusal = "other_target"
)

// Reply is the answer to an order.
type Reply struct {
	// ClockMS is the target's monotonic clock, 0 if it was not sent.
	ClockMS int64   `cbor:"1,keyasint,omitempty"`
	Refusal Refusal `cbor:"2,keyasint,omitempty"`
}

// RunningRun is a running row in the list of a target.
type RunningRun struct {
	Run        work.RunRef `cbor:"1,keyasint"`
	Checkpoint string      `cbor:"2,keyasint,omitempty"`
	// Percent is 100 once a long-lived task is up.
	Percent int `cbor:"3,keyasint,omitempty"`
	// Load is the tail latency in ms of a serving task, and the CPU in use in
	// thousandths of a core of other tasks.
	Load float64 `cbor:"4,keyasint,omitempty"`
}

// RunList is a target's answer to a HoldOrder.
type RunList struct {
	Reply `cbor:"1,keyasint"`
	// Born is the start time of the target, in Unix ms; 0 if it was not sent.
	Born    int64           `cbor:"2,keyasint,omitempty"`
	Running []RunningRun    `cbor:"3,keyasint,omitempty"`
	Ended   []work.EndedRun `cbor:"4,keyasint,omitempty"`
	// Unreadable reports the rows that could not be read. The others are valid.
	Unreadable UnreadableRows `cbor:"5,keyasint"`
	// Truncated is set if the target may have more ended runs than Ended holds. It lists
	// them in the order of their numbers, so those that it has left out follow once these
	// are acknowledged.
	Truncated bool `cbor:"6,keyasint,omitempty"`
	// HasGap is set if an ended run could not be read. BeforeGap is how many of Ended were
	// listed before the first such row.
	HasGap    bool `cbor:"7,keyasint,omitempty"`
	BeforeGap int  `cbor:"8,keyasint,omitempty"`
	// NotAcknowledged is set if the target was not sent the order's acknowledgement.
	NotAcknowledged bool `cbor:"9,keyasint,omitempty"`
}

// UnreadableRows reports the rows of a list that could not be read, in whole or in
// part. It is used as an error if there are any.
type UnreadableRows struct {
	// Rows is the number of these rows; LeftOut counts those that were skipped
	// entirely.
	Rows    int `cbor:"1,keyasint,omitempty"`
	LeftOut int `cbor:"2,keyasint,omitempty"`
	// First describes the fault of the first one.
	First string `cbor:"3,keyasint,omitempty"`
}

// Add counts the row at a position if problem, the description of its fault, is not empty.
func (u *UnreadableRows) Add(position int, problem string, leftOut bool) {
	if problem == "" {
		return
	}
	if u.Rows++; u.Rows == 1 {
		u.First = "row " + strconv.Itoa(position) + ": " + problem
	}
	if leftOut {
		u.LeftOut++
	}
}

// Err returns the rows as an error, or nil if there are none.
func (u *UnreadableRows) Err() error {
	if u.Rows == 0 {
		return nil
	}
	return u
}

func (u *UnreadableRows) Error() string {
	return fmt.Sprintf("%d rows cannot be read, %d of them are left out: %s", u.Rows, u.LeftOut, u.First)
}

// Code implements fault.Coded.
func (u *UnreadableRows) Code() fault.Code { return fault.CodeCorrupt }

// HostState is the platform's view of a host.
type HostState struct {
	Host       string
	Pool       string
	Up         bool
	DataCentre string
	Labels     []string
	Resources  work.Demand
	TargetID   string
}

// Token authorises an order for a host. The platform refuses a lower one than it has
// seen.
type Token struct {
	Holder string
	Number uint64
}

// PlatformAnswer is the platform's answer to an order.
type PlatformAnswer string

// Answers of the platform.
const (
	PlatformDone   PlatformAnswer = "done"
	PlatformBusy   PlatformAnswer = "busy"
	PlatformFenced PlatformAnswer = "fenced"
	// PlatformRefused orders are invalid, and would be refused again if repeated.
	PlatformRefused PlatformAnswer = "refused"
	// PlatformThrottled orders exceeded the platform's rate limit.
	PlatformThrottled PlatformAnswer = "throttled"
)

// Platform moves and maintains hosts. An order ends everything that runs on the host at
// once. After an error the order may have been carried out.
type Platform interface {
	// Hosts returns the hosts. If some rows of the list cannot be read, it returns the
	// others together with an *UnreadableRows.
	Hosts(ctx context.Context) ([]HostState, error)
	Move(ctx context.Context, host, pool string, t Token) (PlatformAnswer, error)
	Maintain(ctx context.Context, host string, wave int64, t Token) (PlatformAnswer, error)
}

// Policy is the external policy service, which decides which hosts may run a step.
type Policy interface {
	// Permit returns the tickets by target id and how long they are valid, in ms. If
	// some rows of the answer cannot be read, it returns the others together with an
	// *UnreadableRows.
	Permit(ctx context.Context, step work.TaskRef, targets []string) (map[string]string, int64, error)
}
