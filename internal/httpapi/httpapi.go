// Package httpapi contains the shared code of the HTTP JSON APIs: size-limited
// decoding of bodies, responses with Content-Length, and the mapping of typed
// errors to status codes and failure bodies. Its functions are made for go-kit's
// HTTP transport.
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

// retryAfterSeconds is sent with refusals that are likely to be temporary. A new
// leader is elected within about one second.
const retryAfterSeconds = 1

// Effect says whether a failed call may have had an effect.
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

// bodyTooLarge is a fault.LimitExceeded for a request body. Its type selects
// status 413 instead of 429.
type bodyTooLarge struct{ fault.LimitExceeded }

// Decode reads the body of r into v. It returns *fault.Invalid for anything
// but exactly one JSON document without unknown fields, so that a misspelt
// field of a command is not silently ignored. An error with the code
// fault.CodeLimitExceeded reports a body above limit bytes.
func Decode(r *http.Request, limit int64, v any) error { return decode(r, limit, v, true) }

// DecodeTolerant is Decode for messages of other programs, which may be newer
// than this one. It ignores unknown fields.
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

// Handle adds a route to mux that decodes requests with decode, writes responses
// with EncodeResponse and errors with EncodeError.
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
	writeJSON(w, status, v)
	return nil
}

// EncodeError writes err as a Failure with the status of its code. It is a
// kithttp.ErrorEncoder.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	status := Status(err)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	writeJSON(w, status, Failure{Code: codeOf(err), Message: err.Error(), Effect: effectOf(status)})
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

// codeOf is like fault.CodeOf, but returns fault.CodeTimeout for a context's
// exceeded deadline. A cancelled context stays fault.CodeInternal, because
// fault.CodeUnavailable would mean that the call had no effect.
func codeOf(err error) fault.Code {
	var coded fault.Coded
	if !errors.As(err, &coded) && errors.Is(err, context.DeadlineExceeded) {
		return fault.CodeTimeout
	}
	return fault.CodeOf(err)
}

// effectOf returns EffectNone only for statuses of errors whose type proves that
// there was no effect.
func effectOf(status int) Effect {
	if status == http.StatusGatewayTimeout || status == http.StatusInternalServerError {
		return EffectUnknown
	}
	return EffectNone
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		// A Failure holds only strings, which always encode.
		data, _ = json.Marshal(Failure{Code: fault.CodeInternal, Message: err.Error(), Effect: EffectUnknown})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the other side has closed the connection, so
	// there is nobody to report it to.
	_, _ = w.Write(data)
}
