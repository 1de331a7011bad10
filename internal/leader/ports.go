// Package leader carries out the duties of the region's leader: it starts and
// watches runs on targets, renews their leases, moves hosts between pools and
// maintains them. What it decides is committed before it is ordered.
package leader

import (
	"context"
	"fmt"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

// Targets carries out orders at targets. Every order carries a fencing token:
// a target ignores orders with a lower one than it has seen. Errors:
// *fault.Unavailable if the target certainly did nothing, other errors if the
// order may still take effect.
type Targets interface {
	Start(ctx context.Context, to Address, o *StartOrder) (Reply, error)
	Stop(ctx context.Context, to Address, o *StopOrder) (Reply, error)
	Hold(ctx context.Context, to Address, o *HoldOrder) (*RunList, error)
	Pace(ctx context.Context, to Address, o *PaceOrder) (Reply, error)
}

// Address names a target for an order.
type Address struct {
	Address string // "IP:port"
	// ID is the target's id. Another target at the address refuses the order.
	ID string
}

// StartOrder starts a run.
type StartOrder struct {
	Run        work.RunRef
	Payload    string
	Checkpoint string
	// UntilMS is the end of the lease on the target's clock.
	UntilMS int64
	Fence   uint64
	// Ticket is the policy service's permission, empty if none is needed.
	Ticket string
}

// StopOrder stops a run, or prevents it if it has not begun.
type StopOrder struct {
	Run   work.RunRef
	Fence uint64
}

// HoldOrder renews the lease and asks for the runs.
type HoldOrder struct {
	Fence uint64
	// Acknowledged is the number of the last end that was recorded; the target
	// forgets the ends up to it.
	Acknowledged int64
	UntilMS      int64
	// WaitMS is how long the answer may wait for an end, at most 2000.
	WaitMS int64
}

// PaceOrder limits the share of a run's work, in percent.
type PaceOrder struct {
	Run     work.RunRef
	Percent int
	Fence   uint64
}

// Refusal tells why a target did not carry out an order.
type Refusal string

// Refusals of targets.
const (
	NotRefused       Refusal = ""
	RefusedFence     Refusal = "fence"
	RefusedEndedRun  Refusal = "old"
	RefusedExpired   Refusal = "late"
	RefusedCapacity  Refusal = "room"
	RefusedTicket    Refusal = "ticket"
	RefusedUnhealthy Refusal = "unhealthy"
	RefusedInvalid   Refusal = "invalid"
	// RefusedOtherTarget comes from another target at the address.
	RefusedOtherTarget Refusal = "other_target"
)

// Reply is the answer to an order.
type Reply struct {
	// ClockMS is the target's steady clock, 0 if it was not sent.
	ClockMS int64
	Refusal Refusal
}

// RunningRun is a run in the list of a target.
type RunningRun struct {
	Run        work.RunRef
	Checkpoint string
	// Percent is 100 once a lasting task is at work.
	Percent int
	// Load is the tail of the response times in ms of a serving task, and the
	// CPU in use in thousandths of a core of others.
	Load float64
}

// RunList is a target's list of its runs.
type RunList struct {
	Reply
	// Born is when the target started, Unix ms; 0 if it was not sent.
	Born    int64
	Running []RunningRun
	Ended   []work.EndedRun
	// Unreadable tells of rows that could not be read. The others hold.
	Unreadable UnreadableRows
}

// UnreadableRows reports rows of a list that could not be read, in whole or in
// part. It is an error if there are any.
type UnreadableRows struct {
	// Rows counts them, and LeftOut those of which nothing was taken.
	Rows, LeftOut int
	// First tells what is wrong with the first one.
	First string
}

// Add counts a row at a position if odd tells what cannot be read of it.
func (u *UnreadableRows) Add(position int, odd string, leftOut bool) {
	if odd == "" {
		return
	}
	if u.Rows++; u.Rows == 1 {
		u.First = "row " + strconv.Itoa(position) + ": " + odd
	}
	if leftOut {
		u.LeftOut++
	}
}

// Err returns the rows as an error, nil if there are none.
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

// Token is the right to order for a host. The platform refuses a lower one.
type Token struct {
	Holder string
	Number uint64
}

// PlatformAnswer tells what became of an order to the platform.
type PlatformAnswer string

// Answers of the platform.
const (
	PlatformDone   PlatformAnswer = "done"
	PlatformBusy   PlatformAnswer = "busy"
	PlatformFenced PlatformAnswer = "fenced"
	// PlatformRefused orders are not valid and never will be.
	PlatformRefused PlatformAnswer = "refused"
	// PlatformThrottled orders were not taken for their rate.
	PlatformThrottled PlatformAnswer = "throttled"
)

// Platform moves and maintains hosts. Everything that runs on the host ends at
// once. An error means that the order may have been carried out.
type Platform interface {
	// Hosts returns the hosts, with *UnreadableRows beside those that could be read
	// if the list has others.
	Hosts(ctx context.Context) ([]HostState, error)
	Move(ctx context.Context, host, pool string, t Token) (PlatformAnswer, error)
	Maintain(ctx context.Context, host string, wave int64, t Token) (PlatformAnswer, error)
}

// Policy is the outside service that knows which hosts may run a step.
type Policy interface {
	// Permit returns the tickets by target id, and how long they are valid, with
	// *UnreadableRows beside those that could be read if the answer has others.
	Permit(ctx context.Context, step work.TaskRef, targets []string) (map[string]string, int64, error)
}
