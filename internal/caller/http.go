package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/model"
)

// Limits of the callers' API.
const (
	DefaultMaxPayloadBytes = 256 << 10
	// MaxKeyBytes bounds a key, MaxNameBytes the name of a job kind or team.
	MaxKeyBytes  = 256
	MaxNameBytes = 128
	// MaxDeadline bounds how long a request may stay queued. It equals the
	// retention of finished keys.
	MaxDeadline = 24 * time.Hour
	// MaxWait bounds one long poll, below the idle limits of common load
	// balancers.
	MaxWait = 55 * time.Second
	// bodyOverhead is the size in bytes that a body may have in addition to its
	// payload.
	bodyOverhead = 4 << 10
	// Timeouts of the listener. Reading the largest allowed body takes a
	// fraction of readTimeout on any usable connection.
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Options configures the API.
type Options struct {
	// MaxPayloadBytes is DefaultMaxPayloadBytes if zero.
	MaxPayloadBytes int
}

// Body is the JSON body of POST /v1/requests. Payload is base64 in JSON.
type Body struct {
	Kind       string `json:"kind"`
	Team       string `json:"team"`
	Payload    []byte `json:"payload"`
	DeadlineMS int64  `json:"deadline_ms"`
	WaitMS     int64  `json:"wait_ms"`
}

// Response is the JSON response about a request. Answer is base64 in JSON.
type Response struct {
	Key       string             `json:"key"`
	State     model.RequestState `json:"state"`
	Outcome   model.Outcome      `json:"outcome"`
	Succeeded bool               `json:"succeeded"`
	Reason    string             `json:"reason"`
	Answer    []byte             `json:"answer"`
	Attempt   int                `json:"attempt"`

	status int
}

// StatusCode implements kithttp.StatusCoder.
func (r Response) StatusCode() int { return r.status }

// Ticket is the JSON response of POST /v1/tickets.
type Ticket struct {
	Key string `json:"key"`
}

// StatusCode implements kithttp.StatusCoder.
func (Ticket) StatusCode() int { return http.StatusCreated }

// NewHandler returns the HTTP handler of the callers' listener.
func NewHandler(svc Service, opts Options) http.Handler {
	if opts.MaxPayloadBytes == 0 {
		opts.MaxPayloadBytes = DefaultMaxPayloadBytes
	}
	mux := http.NewServeMux()
	httpapi.Handle(mux, "POST /v1/tickets", ready(svc)(ticketEndpoint(svc)), kithttp.NopRequestDecoder)
	httpapi.Handle(mux, "POST /v1/requests", ready(svc)(submitEndpoint(svc)), decodeSubmission(opts))
	httpapi.Handle(mux, "GET /v1/requests/{key}", awaitEndpoint(svc), decodeAwait)
	httpapi.Handle(mux, "DELETE /v1/requests/{key}", cancelEndpoint(svc), decodeAwait)
	return mux
}

// NewHTTPServer returns the HTTP server of the callers' listener. It has no
// write timeout, since long polls write late.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// ready refuses calls while the process takes no new requests.
func ready(svc Service) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			if err := svc.Ready(); err != nil {
				return nil, err
			}
			return next(ctx, request)
		}
	}
}

func ticketEndpoint(svc Service) endpoint.Endpoint {
	return func(ctx context.Context, _ any) (any, error) {
		key, err := svc.NewTicket(ctx)
		if err != nil {
			return nil, err
		}
		return Ticket{Key: key}, nil
	}
}

func submitEndpoint(svc Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		s := request.(Submission)
		return respond(s.Key)(svc.Submit(ctx, s))
	}
}

// awaitRequest names a request and how long to wait for its outcome.
type awaitRequest struct {
	key  string
	wait time.Duration
}

func awaitEndpoint(svc Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		a := request.(awaitRequest)
		return respond(a.key)(svc.Await(ctx, a.key, a.wait))
	}
}

func cancelEndpoint(svc Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		a := request.(awaitRequest)
		return respond(a.key)(svc.Cancel(ctx, a.key))
	}
}

// respond returns a function that converts a request into the response to its
// caller. A request with another key is refused as *fault.Corrupt.
func respond(key string) func(model.Request, error) (any, error) {
	return func(r model.Request, err error) (any, error) {
		if err != nil {
			return nil, err
		}
		if r.Key != key {
			return nil, &fault.Corrupt{What: "answer for key " + key, Reason: "it belongs to another key"}
		}
		out := Response{
			Key: r.Key, State: r.State, Outcome: r.Outcome, Succeeded: r.Succeeded,
			Reason: r.Reason, Answer: r.Answer, status: http.StatusAccepted,
		}
		if r.State == model.RequestFinished {
			out.status = http.StatusOK
		}
		if n := len(r.Attempts); n > 0 {
			out.Attempt = r.Attempts[n-1].Number
		}
		return out, nil
	}
}

func decodeSubmission(opts Options) kithttp.DecodeRequestFunc {
	limit := int64(opts.MaxPayloadBytes)/3*4 + bodyOverhead
	return func(_ context.Context, r *http.Request) (any, error) {
		var b Body
		if err := httpapi.Decode(r, limit, &b); err != nil {
			return nil, err
		}
		key, err := checkKey(r.Header.Get("Idempotency-Key"))
		if err != nil {
			return nil, err
		}
		if len(b.Payload) > opts.MaxPayloadBytes {
			return nil, &fault.Invalid{Field: "payload", Reason: "too large", Allowed: "at most " + strconv.Itoa(opts.MaxPayloadBytes) + " bytes"}
		}
		for _, f := range [][2]string{{"kind", b.Kind}, {"team", b.Team}} {
			if f[1] == "" || len(f[1]) > MaxNameBytes {
				return nil, &fault.Invalid{Field: f[0], Reason: "missing or too long", Allowed: "1 to " + strconv.Itoa(MaxNameBytes) + " bytes"}
			}
		}
		deadline, err := millisInRange("deadline_ms", b.DeadlineMS, 1, MaxDeadline)
		if err != nil {
			return nil, err
		}
		wait, err := millisInRange("wait_ms", b.WaitMS, 0, MaxWait)
		if err != nil {
			return nil, err
		}
		return Submission{Key: key, Kind: b.Kind, Team: b.Team, Payload: b.Payload, Deadline: deadline, Wait: wait}, nil
	}
}

func decodeAwait(_ context.Context, r *http.Request) (any, error) {
	key, err := checkKey(r.PathValue("key"))
	if err != nil {
		return nil, err
	}
	a := awaitRequest{key: key}
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := json.Number(text).Int64()
		if err != nil {
			return nil, &fault.Invalid{Field: "wait_ms", Reason: "not an integer"}
		}
		if a.wait, err = millisInRange("wait_ms", ms, 0, MaxWait); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// checkKey accepts visible ASCII characters, since the key travels in a header
// and in paths.
func checkKey(key string) (string, error) {
	invisible := func(r rune) bool { return r <= ' ' || r > '~' }
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsFunc(key, invisible) {
		return "", &fault.Invalid{
			Field: "Idempotency-Key", Reason: "missing or malformed",
			Allowed: "1 to " + strconv.Itoa(MaxKeyBytes) + " visible ASCII characters",
		}
	}
	return key, nil
}

// millisInRange converts a field in milliseconds to a duration, or returns
// *fault.Invalid if it is out of range.
func millisInRange(field string, ms, minimum int64, maximum time.Duration) (time.Duration, error) {
	if ms < minimum || ms > maximum.Milliseconds() {
		return 0, &fault.Invalid{
			Field: field, Reason: "out of range",
			Allowed: strconv.FormatInt(minimum, 10) + " to " + strconv.FormatInt(maximum.Milliseconds(), 10),
		}
	}
	return time.Duration(ms) * time.Millisecond, nil
}
