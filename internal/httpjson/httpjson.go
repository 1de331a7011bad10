// Package httpjson holds what the HTTP JSON APIs share: bounded and strict
// decoding, complete responses with their length, and the mapping of typed
// errors to status codes. Its functions fit go-kit's http transport.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

// retryAfterSeconds is sent with refusals that may pass soon. A new leader is
// elected within about one second.
const retryAfterSeconds = 1

// Effect tells what a failed call did.
type Effect string

// Effects of a failed call. EffectNone says nothing about earlier calls with
// the same key.
const (
	EffectNone    Effect = "none"
	EffectUnknown Effect = "unknown"
)

// Failure is the JSON body of every error response.
type Failure struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Effect  Effect     `json:"effect"`
}

// Status is implemented by responses that choose their status code.
type Status interface{ HTTPStatus() int }

// bodyTooLarge is a *fault.LimitExceeded of the request body.
type bodyTooLarge struct{ fault.LimitExceeded }

// Decode reads the body of r into v. It returns *fault.Invalid for anything
// but exactly one JSON document without unknown fields, and a LimitExceeded
// for a body above limit bytes.
func Decode(r *http.Request, limit int64, v any) error { return decode(r, limit, v, true) }

// DecodeTolerant is Decode for messages of other programs, which may be newer
// than this one: it ignores unknown fields.
func DecodeTolerant(r *http.Request, limit int64, v any) error { return decode(r, limit, v, false) }

func decode(r *http.Request, limit int64, v any, strict bool) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &fault.Invalid{Field: "body", Reason: err.Error()}
	}
	if int64(len(data)) > limit {
		return &bodyTooLarge{fault.LimitExceeded{What: "request body", Limit: limit}}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(v); err != nil {
		return &fault.Invalid{Field: "body", Reason: err.Error()}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &fault.Invalid{Field: "body", Reason: "data after the JSON document"}
	}
	return nil
}

// EncodeResponse writes v as a complete JSON response with Content-Length.
func EncodeResponse(_ context.Context, w http.ResponseWriter, v any) error {
	status := http.StatusOK
	if s, ok := v.(Status); ok {
		status = s.HTTPStatus()
	}
	write(w, status, v)
	return nil
}

// EncodeError writes err as a Failure with the status code of its type.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	status := StatusOf(err)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	write(w, status, Failure{Code: fault.CodeOf(err), Message: err.Error(), Effect: effectOf(status)})
}

// StatusOf returns the HTTP status code for an error.
func StatusOf(err error) int {
	var large *bodyTooLarge
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	switch fault.CodeOf(err) {
	case fault.CodeInvalid:
		return http.StatusBadRequest
	case fault.CodeNotFound:
		return http.StatusNotFound
	case fault.CodeKeyReused, fault.CodeRevisionConflict, fault.CodePrecondition:
		return http.StatusConflict
	case fault.CodeLimitExceeded:
		return http.StatusTooManyRequests
	case fault.CodeUnavailable, fault.CodeShuttingDown, fault.CodeNotLeader:
		return http.StatusServiceUnavailable
	case fault.CodeCorrupt:
		return http.StatusInternalServerError
	case fault.CodeProposalUnknown, fault.CodeTimeout, fault.CodeSilentConnection, fault.CodeConnectionLost:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// effectOf is EffectNone only for errors whose type proves it.
func effectOf(status int) Effect {
	if status == http.StatusGatewayTimeout || status == http.StatusInternalServerError {
		return EffectUnknown
	}
	return EffectNone
}

func write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data, _ = json.Marshal(Failure{Code: fault.CodeInternal, Message: err.Error(), Effect: EffectUnknown})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
