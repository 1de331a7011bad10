package load

import (
	"fmt"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

// RefusedError is an error answer of an entry host.
type RefusedError struct {
	Status  int
	Failure httpapi.Failure
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d, %s: %s", e.Status, e.Failure.Code, e.Failure.Message)
}

// Code implements fault.Coded.
func (e *RefusedError) Code() fault.Code { return e.Failure.Code }
