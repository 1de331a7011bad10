// Package httpapi holds what the HTTP JSON APIs share: bounded decoding of
// bodies, complete responses with their length, and the mapping of typed
// errors to status codes and failure bodies. Its functions fit go-kit's HTTP
// transport.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

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

// bodyTooLarge is a *fault.LimitExceeded of the request body.
type bodyTooLarge struct{ fault.LimitExceeded }

// Decode reads the body of r into v. It returns *fault.Invalid for anything
// but exactly one JSON document without unknown fields, so that a misspelt
// field of a command is not silently ignored. An error with the code
// fault.CodeLimitExceeded reports a body above limit bytes.
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
	allowed := "one JSON document"
	if strict {
		d.DisallowUnknownFields()
		allowed = "one JSON document with known fields"
	}
	if err := d.Decode(v); err != nil {
		return &fault.Invalid{Field: "body", Reason: err.Error(), Allowed: allowed}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &fault.Invalid{Field: "body", Reason: "data after the JSON document", Allowed: allowed}
	}
	return nil
}

// Handle adds a route to mux that decodes its requests by decode, answers by
// EncodeResponse and reports failures by EncodeError.
func Handle(mux *http.ServeMux, pattern string, e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
	mux.Handle(pattern, kithttp.NewServer(e, decode, EncodeResponse, kithttp.ServerErrorEncoder(EncodeError)))
}

// EncodeResponse writes v as a complete JSON response with Content-Length.
// The status is 200 unless v implements kithttp.StatusCoder.
func EncodeResponse(_ context.Context, w http.ResponseWriter, v any) error {
	status := http.StatusOK
	if s, ok := v.(kithttp.StatusCoder); ok {
		status = s.StatusCode()
	}
	write(w, status, v)
	return nil
}

// EncodeError writes err as a Failure with the status of its code. It is a
// kithttp.ErrorEncoder.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	status := Status(err)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	write(w, status, Failure{Code: codeOf(err), Message: err.Error(), Effect: effectOf(status)})
}

// Status returns the HTTP status code of err.
func Status(err error) int {
	var large *bodyTooLarge
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	switch codeOf(err) {
	case fault.CodeInvalid:
		return http.StatusBadRequest
	case fault.CodeNotFound:
		return http.StatusNotFound
	case fault.CodeKeyReused, fault.CodeRevisionConflict, fault.CodePrecondition:
		return http.StatusConflict
	case fault.CodeLimitExceeded:
		return http.StatusTooManyRequests
	case fault.CodeUnavailable, fault.CodeShuttingDown, fault.CodeNotLeader, fault.CodeClockSkew:
		return http.StatusServiceUnavailable
	case fault.CodeProposalUnknown, fault.CodeTimeout, fault.CodeSilentConnection, fault.CodeConnectionLost:
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

// codeOf is fault.CodeOf that also knows the deadline of a context. A
// cancelled context stays fault.CodeInternal: fault.CodeUnavailable would
// promise that the call had no effect.
func codeOf(err error) fault.Code {
	var coded fault.Coded
	if !errors.As(err, &coded) && errors.Is(err, context.DeadlineExceeded) {
		return fault.CodeTimeout
	}
	return fault.CodeOf(err)
}

// effectOf is EffectNone only for statuses of errors whose type proves it.
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
		// A Failure holds only strings, which always encode.
		data, _ = json.Marshal(Failure{Code: fault.CodeInternal, Message: err.Error(), Effect: EffectUnknown})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the client has gone; nobody is left to tell.
	_, _ = w.Write(data)
}
