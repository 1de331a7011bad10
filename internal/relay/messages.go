// Package relay spreads the calls to targets over the core hosts: the leader decides, and
// the other hosts make the calls for it. They ask the leader for orders in exchanges,
// which also carry their replies, so that the leader's cost of an order is a row in a
// batch.
//
// An order that was handed out can take effect late, as every order to a target can. A
// worker makes no call later than orderValidity after it asked for orders, on its own
// clocks. A host that was frozen, suspended or cut off therefore does nothing with the
// orders that it finds when it is back, and the orders of a former leader end before the
// next one can be elected.
package relay

import (
	"errors"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
)

const (
	// pollWait is how long the leader holds back an exchange without orders.
	pollWait = 200 * time.Millisecond
	// orderValidity is how long after it asked for orders a worker makes calls for them.
	// It is longer than pollWait, and shorter than the shortest election timeout.
	orderValidity = 500 * time.Millisecond
	// exchangeInterval separates the exchanges of a worker with calls in progress, so that
	// each carries many orders and replies. It is a fiftieth of the duration of a short
	// task.
	exchangeInterval = 20 * time.Millisecond
	// maxBatch bounds the orders and the replies of one exchange.
	maxBatch = 512
)

// Order is an order for a target. Exactly one of Start and Hold is set.
type Order struct {
	ID uint64         `cbor:"1,keyasint"`
	To leader.Address `cbor:"2,keyasint"`
	// Start has no payload here: it is Payloads[Payload] of the answer.
	Start   *leader.StartOrder `cbor:"3,keyasint,omitempty"`
	Payload int                `cbor:"4,keyasint,omitempty"`
	Hold    *leader.HoldOrder  `cbor:"5,keyasint,omitempty"`
	// TimeoutMS bounds the call.
	TimeoutMS int64 `cbor:"6,keyasint"`
}

// Failure is why a call has no answer.
type Failure string

// Failures of calls.
const (
	NotFailed Failure = ""
	// NotTried means that the worker did not make the call.
	NotTried Failure = "not_tried"
	// NotSent means that the target could not be reached, so that the call had no effect.
	NotSent Failure = "not_sent"
	// Lost means that the call may have taken effect.
	Lost Failure = "lost"
	// Unreadable means that the answer cannot be read; the call may have taken effect.
	Unreadable Failure = "unreadable"
)

// Reply is the outcome of an order.
type Reply struct {
	ID      uint64          `cbor:"1,keyasint"`
	Failure Failure         `cbor:"2,keyasint,omitempty"`
	Reason  string          `cbor:"3,keyasint,omitempty"`
	Start   *leader.Reply   `cbor:"4,keyasint,omitempty"`
	List    *leader.RunList `cbor:"5,keyasint,omitempty"`
}

// Request is a worker's side of an exchange.
type Request struct {
	Host string `cbor:"1,keyasint"`
	// Term is the term of the leader that handed out the orders of the replies.
	Term    uint64  `cbor:"2,keyasint,omitempty"`
	Replies []Reply `cbor:"3,keyasint,omitempty"`
	// Heartbeats are those of targets that announced themselves at the worker's host.
	Heartbeats []leader.Heartbeat `cbor:"5,keyasint,omitempty"`
	// Poll is set if the answer may wait for orders.
	Poll bool `cbor:"4,keyasint,omitempty"`
}

// Answer is the leader's side of an exchange.
type Answer struct {
	// Term is the term of the leader, 0 if the host does not lead.
	Term   uint64  `cbor:"1,keyasint,omitempty"`
	Orders []Order `cbor:"2,keyasint,omitempty"`
	// Payloads are those of the starts, each one once.
	Payloads []string `cbor:"3,keyasint,omitempty"`
}

// failureOf classifies the error of a call.
func failureOf(err error) Failure {
	var unavailable *fault.Unavailable
	var corrupt *fault.Corrupt
	switch {
	case err == nil:
		return NotFailed
	case errors.As(err, &unavailable):
		return NotSent
	case errors.As(err, &corrupt):
		return Unreadable
	}
	return Lost
}

// err is the inverse of failureOf.
func (r *Reply) err(to leader.Address) error {
	switch r.Failure {
	case NotFailed:
		return nil
	case NotTried, NotSent:
		return &fault.Unavailable{What: to.Address, Reason: r.Reason}
	case Unreadable:
		return &fault.Corrupt{What: "answer of " + to.Address, Reason: r.Reason}
	case Lost:
	}
	return &fault.ConnectionLost{Address: to.Address, Reason: r.Reason}
}
