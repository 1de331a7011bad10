package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// probeTimeout bounds the probe of a host whose last call got no answer.
	probeTimeout = time.Second
	// probePause is the time for which a failed probe answers for the next
	// calls, so that a host that is cut off costs each caller little.
	probePause = time.Second
)

// doubt remembers that the last call to a host got no answer. While it lasts,
// a call is preceded by a probe without effect. A failed probe proves that the
// call itself was never sent, so its refusal is a plain "not run" instead of
// an unknown effect.
type doubt struct {
	mu       sync.Mutex
	raised   bool
	failedAt time.Time
}

func (d *doubt) raise() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raised = true
}

func (d *doubt) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raised, d.failedAt = false, time.Time{}
}

// state reports whether a probe is needed, and whether the last one failed
// so recently that it answers for this call.
func (d *doubt) state(now time.Time) (needed, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.raised, d.raised && now.Sub(d.failedAt) < probePause
}

func (d *doubt) probeFailed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = now
}

// ensureReachable returns *fault.Unavailable if the host is in doubt and does
// not answer a probe.
func (c *client) ensureReachable(ctx context.Context) error {
	needed, failed := c.doubt.state(c.clock.Now())
	if !needed {
		return nil
	}
	unreachable := &fault.Unavailable{What: "peer " + c.host, Reason: "it does not answer probes"}
	if failed {
		return unreachable
	}
	_, err := exchange[InForceResponse](ctx, c, "InForce", &InForceRequest{}, probeTimeout)
	if err == nil || answered(err) {
		c.doubt.clear()
		return nil
	}
	if ctx.Err() == nil {
		c.doubt.probeFailed(c.clock.Now())
	}
	return unreachable
}

// noAnswer reports whether err means that a call may have been delivered but
// got no answer.
func noAnswer(err error) bool {
	var silent *fault.SilentConnection
	var lost *fault.ConnectionLost
	return errors.As(err, &silent) || errors.As(err, &lost)
}
