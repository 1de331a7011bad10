package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/hlc"
)

const (
	// hlcHeader carries the sender's timestamp as "<wall ms>.<logical>".
	hlcHeader = "Agatehaven-Hlc"
	// wallHeader carries the sender's wall clock in ms since the Unix epoch.
	// Unlike its timestamp, it does not depend on what the sender observed.
	wallHeader = "Agatehaven-Wall"
)

// refusedTimestamps counts timestamps of peers too far ahead of the local clock.
var refusedTimestamps = metrics.GetOrCreateCounter("agatehaven_clock_refused_timestamps_total")

// timestampInterceptor returns an interceptor for clients and handlers that sends
// the local timestamp and observes the other side's. A client also records the
// offset of the clock of host from each response.
func timestampInterceptor(c *hlc.Clock, host string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				setTimestamp(c, req.Header())
			} else {
				observeTimestamp(c, req.Header())
			}
			sent := c.WallTime()
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
				observeTimestamp(c, header)
				recordPeerClock(c, host, header, sent)
			} else {
				setTimestamp(c, header)
			}
			return resp, err
		}
	}
}

func setTimestamp(c *hlc.Clock, h http.Header) {
	h.Set(hlcHeader, c.Now().String())
	h.Set(wallHeader, strconv.FormatInt(c.WallTime().UnixMilli(), 10))
}

// recordPeerClock ignores a response without a wall clock, such as one of a proxy.
func recordPeerClock(c *hlc.Clock, host string, h http.Header, sent time.Time) {
	if ms, err := strconv.ParseInt(h.Get(wallHeader), 10, 64); err == nil {
		c.RecordPeerClock(host, time.UnixMilli(ms), sent.Truncate(time.Millisecond), c.WallTime())
	}
}

// observeTimestamp ignores a missing or malformed timestamp, and one too far
// ahead: timestamps only order events for operators, and no decision depends on
// them.
func observeTimestamp(c *hlc.Clock, h http.Header) {
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
	if c.Observe(hlc.Time{WallMillis: w, Logical: uint32(l)}) != nil {
		refusedTimestamps.Inc()
	}
}
