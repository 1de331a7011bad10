package query

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

// Bounds of lists, in items.
const (
	defaultLimit = 100
	maxLimit     = 10_000
)

// Register adds the routes of the queries to mux.
func Register(mux *http.ServeMux, b Backend) {
	handle := func(pattern string, decode kithttp.DecodeRequestFunc, e endpoint.Endpoint) {
		httpapi.Handle(mux, pattern, e, decode)
	}
	handle("GET /v1/records", decodeNoParameters, func(ctx context.Context, _ any) (any, error) { return b.Records(ctx) })
	handle("GET /v1/pools", decodeNoParameters, func(ctx context.Context, _ any) (any, error) { return pools(ctx, b) })
	handle("GET /v1/waves", decodeNoParameters, func(ctx context.Context, _ any) (any, error) { return waves(ctx, b) })
	handle("GET /v1/replicas", decodeNoParameters, func(ctx context.Context, _ any) (any, error) { return groupStatuses(ctx, b) })
	handle("GET /v1/status", decodeNoParameters, func(ctx context.Context, _ any) (any, error) { return status(ctx, b) })
	handle("GET /v1/hosts", decodeHosts, func(ctx context.Context, r any) (any, error) {
		return hosts(ctx, b, r.(*hostFilter))
	})
	handle("GET /v1/requests", decodeRequests, func(ctx context.Context, r any) (any, error) {
		return requests(ctx, b, r.(*requestFilter))
	})
	handle("GET /v1/requests/{key}", decodeKey, func(ctx context.Context, r any) (any, error) {
		return request(ctx, b, r.(string))
	})
	handle("GET /v1/events", decodeEvents, func(ctx context.Context, r any) (any, error) {
		return events(ctx, b, r.(*event.Filter))
	})
	handle("GET /v1/explain", decodeExplain, func(ctx context.Context, r any) (any, error) {
		q := r.(*explainQuery)
		return explain(ctx, b, q.kind, q.name)
	})
}

type explainQuery struct{ kind, name string }

// checkParameters refuses unknown parameters, since a misspelt filter would
// return everything.
func checkParameters(r *http.Request, names ...string) error {
	for name := range r.URL.Query() {
		found := false
		for _, n := range names {
			found = found || n == name
		}
		if !found {
			return &fault.Invalid{Field: name, Reason: "unknown parameter"}
		}
	}
	return nil
}

func decodeNoParameters(_ context.Context, r *http.Request) (any, error) {
	return nil, checkParameters(r)
}

func decodeKey(_ context.Context, r *http.Request) (any, error) {
	return r.PathValue("key"), checkParameters(r)
}

func decodeHosts(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	f := &hostFilter{name: q.Get("name"), pool: q.Get("pool"), dataCentre: q.Get("data_centre"), state: q.Get("state")}
	return f, checkParameters(r, "name", "pool", "data_centre", "state")
}

func decodeRequests(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	limit, err := limitOf(r)
	if err != nil {
		return nil, err
	}
	f := &requestFilter{
		pool: q.Get("pool"), kind: q.Get("kind"), team: q.Get("team"),
		state: q.Get("state"), outcome: q.Get("outcome"), limit: limit,
	}
	return f, checkParameters(r, "pool", "kind", "team", "state", "outcome", "limit")
}

func decodeExplain(_ context.Context, r *http.Request) (any, error) {
	q := &explainQuery{kind: r.URL.Query().Get("kind"), name: r.URL.Query().Get("name")}
	if q.name == "" {
		return nil, &fault.Invalid{Field: "name", Reason: "is missing", Allowed: "the name of a host, wave or request"}
	}
	return q, checkParameters(r, "kind", "name")
}

// decodeEvents reads after and until as "<wall ms>.<logical>", the form of
// hlc.Time, or as RFC 3339.
func decodeEvents(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	limit, err := limitOf(r)
	if err != nil {
		return nil, err
	}
	f := &event.Filter{Host: q.Get("host"), Pool: q.Get("pool"), Request: q.Get("request"), Wave: q.Get("wave"), Limit: limit}
	if f.After, err = timeOf(q.Get("after"), "after"); err != nil {
		return nil, err
	}
	if f.Until, err = timeOf(q.Get("until"), "until"); err != nil {
		return nil, err
	}
	return f, checkParameters(r, "host", "pool", "request", "wave", "after", "until", "limit")
}

func limitOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, &fault.Invalid{Field: "limit", Reason: strconv.Quote(text) + " is out of range", Allowed: "1 to 10000"}
	}
	return n, nil
}

func timeOf(text, field string) (hlc.Time, error) {
	if text == "" {
		return hlc.Time{}, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return hlc.Time{WallMillis: t.UnixMilli()}, nil
	}
	wall, logical, _ := strings.Cut(text, ".")
	if ms, err := strconv.ParseInt(wall, 10, 64); err == nil {
		if n, err := strconv.ParseUint(logical, 10, 32); err == nil {
			return hlc.Time{WallMillis: ms, Logical: uint32(n)}, nil
		}
	}
	return hlc.Time{}, &fault.Invalid{
		Field: field, Reason: strconv.Quote(text) + " is not a time", Allowed: "RFC 3339, or milliseconds.counter",
	}
}
