package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

// probeTimeout bounds the probe of a suspected host.
const probeTimeout = time.Second

// suspicion records that the last call to a host got no answer. While it is
// active, each call is preceded by a probe that has no effect. If the probe fails,
// the call itself is never sent, so that it is known not to have run, instead of
// having an unknown effect.
type suspicion struct {
	mu     sync.Mutex
	active bool
	// failUntil is until when calls fail without a new probe.
	failUntil time.Time
}

func (s *suspicion) activate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = true
}

func (s *suspicion) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.failUntil = false, time.Time{}
}

// state reports whether a probe is needed, and whether the last one failed
// so recently that the call fails without another.
func (s *suspicion) state(now time.Time) (needed, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active, s.active && now.Before(s.failUntil)
}

// probeFailed makes calls fail without a new probe for as long as the last probe
// took. Calls to a silent host then fail fast, while a host that refuses
// connections because it restarts is reached as soon as it accepts them.
func (s *suspicion) probeFailed(start, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failUntil = end.Add(end.Sub(start))
}

// ensureReachable returns *fault.Unavailable if the host is suspected and does
// not answer a probe.
func (c *client) ensureReachable(ctx context.Context) error {
	start := c.clock.Now()
	needed, failed := c.suspicion.state(start)
	if !needed {
		return nil
	}
	unreachable := &fault.Unavailable{What: "peer " + c.host, Reason: "it does not answer probes"}
	if failed {
		return unreachable
	}
	_, err := exchange[InForceResponse](ctx, c, "InForce", &InForceRequest{}, probeTimeout)
	if err == nil || answeredByHandler(err) {
		c.suspicion.clear()
		return nil
	}
	if ctx.Err() == nil {
		c.suspicion.probeFailed(start, c.clock.Now())
	}
	return unreachable
}

// maybeDelivered reports whether err means that a call may have been delivered
// but got no answer.
func maybeDelivered(err error) bool {
	var silent *fault.SilentConnection
	var lost *fault.ConnectionLost
	return errors.As(err, &silent) || errors.As(err, &lost)
}
