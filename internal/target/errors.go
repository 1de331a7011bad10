package target

import (
	"fmt"

	"agatehaven.dev/agatehaven/internal/fault"
)

// Codes of the errors in this package.
const (
	CodeRefused fault.Code = "target_refused"
	CodeNotSent fault.Code = "target_not_sent"
	CodeStatus  fault.Code = "target_status"
)

// RefusedError reports that the target refused a call. A refused start has not
// begun and never will; a refused checkpoint leaves the task running.
type RefusedError struct{ Address, Reason string }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused: %s", e.Address, e.Reason)
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code { return CodeRefused }

// NotSentError reports that no byte of a request was sent to the target.
type NotSentError struct{ Address, Reason string }

func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to target %s: %s", e.Address, e.Reason)
}

// Code implements fault.Coded.
func (e *NotSentError) Code() fault.Code { return CodeNotSent }

// StatusError reports an HTTP status that the protocol does not define for the
// call. The effect of the call is unknown.
type StatusError struct {
	Address string
	Status  int
	Text    string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s answered with status %d: %s", e.Address, e.Status, e.Text)
}

// Code implements fault.Coded.
func (e *StatusError) Code() fault.Code { return CodeStatus }
