// Package httpapi holds what the HTTP JSON APIs share: the encoding of typed
// failures and the bounded decoding of bodies.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

// retryAfterSeconds is the advice given with failures that pass by
// themselves; one election timeout is 1 s.
const retryAfterSeconds = 1

// bodyName is the What of the *fault.LimitExceeded for a large body.
const bodyName = "request body"

// Error is the body of every response that reports a failure.
type Error struct {
	Code fault.Code `json:"code"`
	Text string     `json:"error"`
}

// EncodeError writes err as its HTTP status and an Error body. It has the
// form of go-kit's ErrorEncoder.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	code, status := classify(err)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(status)
	// A failed write means that the client has gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(Error{Code: code, Text: err.Error()})
}

// Status returns the HTTP status of err.
func Status(err error) int {
	_, status := classify(err)
	return status
}

func classify(err error) (fault.Code, int) {
	var coded fault.Coded
	if !errors.As(err, &coded) {
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			return fault.CodeTimeout, http.StatusGatewayTimeout
		case errors.Is(err, context.Canceled):
			return fault.CodeUnavailable, http.StatusServiceUnavailable
		}
		return fault.CodeInternal, http.StatusInternalServerError
	}
	var limit *fault.LimitExceeded
	if errors.As(err, &limit) && limit.What == bodyName {
		return limit.Code(), http.StatusRequestEntityTooLarge
	}
	return coded.Code(), statusOf(coded.Code())
}

func statusOf(code fault.Code) int {
	switch code {
	case fault.CodeInvalid:
		return http.StatusBadRequest
	case fault.CodeNotFound:
		return http.StatusNotFound
	case fault.CodeRevisionConflict, fault.CodeKeyReused, fault.CodePrecondition:
		return http.StatusConflict
	case fault.CodeLimitExceeded:
		return http.StatusTooManyRequests
	case fault.CodeUnavailable, fault.CodeNotLeader, fault.CodeShuttingDown:
		return http.StatusServiceUnavailable
	case fault.CodeTimeout, fault.CodeSilentConnection, fault.CodeProposalUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// DecodeJSON reads one JSON document of at most limit bytes into v. Unknown
// fields and trailing data are refused, so that a misspelt field of a command
// is not silently ignored. It returns *fault.Invalid or *fault.LimitExceeded.
func DecodeJSON(r *http.Request, limit int64, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return bodyError(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return bodyError(err, limit)
		}
		return &fault.Invalid{Field: "body", Reason: "data after the JSON document", Allowed: "one JSON document"}
	}
	return nil
}

func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &fault.LimitExceeded{What: bodyName, Limit: limit}
	}
	return &fault.Invalid{Field: "body", Reason: err.Error(), Allowed: "one JSON document with known fields"}
}
