package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/hlc"
)

// hlcHeader carries the sender's timestamp as "<wall ms>.<logical>".
const hlcHeader = "Agatehaven-Hlc"

// timestamps returns an interceptor that sends the local timestamp and
// observes the other side's, on clients and handlers alike.
func timestamps(c *hlc.Clock) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				stamp(c, req.Header())
			} else {
				observe(c, req.Header())
			}
			resp, err := next(ctx, req)
			header := http.Header{}
			var ce *connect.Error
			switch {
			case err == nil:
				header = resp.Header()
			case errors.As(err, &ce):
				header = ce.Meta()
			}
			if req.Spec().IsClient {
				observe(c, header)
			} else {
				stamp(c, header)
			}
			return resp, err
		}
	}
}

func stamp(c *hlc.Clock, h http.Header) { h.Set(hlcHeader, c.Now().String()) }

// observe ignores a missing or malformed timestamp: it orders events for
// operators and no decision depends on it.
func observe(c *hlc.Clock, h http.Header) {
	wall, logical, ok := strings.Cut(h.Get(hlcHeader), ".")
	if !ok {
		return
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return
	}
	c.Observe(hlc.Time{WallMillis: w, Logical: uint32(l)})
}
