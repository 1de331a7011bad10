package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// DefaultLeaderAttempts bounds the calls of one Do. In a region of seven
	// hosts there is one delay for every eight calls, so the attempts cover 5 s:
	// the time in which a group detects that all its connections are silent and
	// elects a leader. Most callers set a shorter time limit.
	DefaultLeaderAttempts = 200
	// leaderRetryDelay separates rounds over all hosts. It is a fifth of the
	// election timeout of 1 s, so that a new leader is found soon.
	leaderRetryDelay = 200 * time.Millisecond
)

// LeaderConfig configures a LeaderClient.
type LeaderConfig struct {
	Dialer Dialer
	// Hosts are the hosts of the group's replicas, in the order to try.
	Hosts []string
	Clock clock.Clock
	// Attempts is DefaultLeaderAttempts if zero.
	Attempts int
}

// LeaderClient calls the leader of one group. It caches the leader's name
// between calls and is safe for concurrent use.
type LeaderClient struct {
	cfg LeaderConfig

	mu     sync.Mutex
	leader string
}

// NewLeaderClient returns a client for the group on the given hosts.
func NewLeaderClient(cfg LeaderConfig) *LeaderClient {
	if cfg.Attempts == 0 {
		cfg.Attempts = DefaultLeaderAttempts
	}
	return &LeaderClient{cfg: cfg}
}

// Do runs call against the group's leader. It follows the leader hints of
// *fault.NotLeader, tries the other hosts in turn, and repeats a call only
// after an error that proves that it had no effect.
func (c *LeaderClient) Do(ctx context.Context, call func(Handler) error) error {
	return c.do(ctx, call, false)
}

// DoIdempotent is Do for an idempotent call: it is also repeated when its effect
// is unknown.
func (c *LeaderClient) DoIdempotent(ctx context.Context, call func(Handler) error) error {
	return c.do(ctx, call, true)
}

// IdempotentDoer is the part of a LeaderClient that CallIdempotent needs.
type IdempotentDoer interface {
	DoIdempotent(ctx context.Context, call func(Handler) error) error
}

// CallIdempotent calls one method of the group's leader through DoIdempotent
// and returns its response.
func CallIdempotent[Req, Res any](
	ctx context.Context, leader IdempotentDoer, method func(Handler, context.Context, *Req) (*Res, error), r *Req,
) (*Res, error) {
	var out *Res
	err := leader.DoIdempotent(ctx, func(h Handler) error {
		var err error
		out, err = method(h, ctx, r)
		return err
	})
	return out, err
}

func (c *LeaderClient) do(ctx context.Context, call func(Handler) error, idempotent bool) error {
	host, nextHost, sinceDelay := c.cachedLeader(), 0, 0
	var last error = &fault.Unavailable{What: "group", Reason: "it has no hosts"}
	for range c.cfg.Attempts {
		if ctx.Err() != nil {
			// Do not start a call after ctx has ended: its error would look like
			// that of a call that was sent and got no answer.
			return eris.Wrap(ctx.Err(), last.Error())
		}
		if host == "" {
			if len(c.cfg.Hosts) == 0 {
				return last
			}
			host = c.cfg.Hosts[nextHost%len(c.cfg.Hosts)]
			nextHost++
		}
		err := c.callHost(host, call)
		if err == nil || answeredByHandler(err) {
			c.cacheLeader(host)
			return err
		}
		c.dropCachedLeader(host)
		if !retryable(err, idempotent) {
			return err
		}
		last = err
		next := ""
		var nl *fault.NotLeader
		if errors.As(err, &nl) && nl.Leader != host {
			next = nl.Leader
		}
		host = next
		if sinceDelay++; sinceDelay > len(c.cfg.Hosts) {
			sinceDelay = 0
			if err := c.waitRetryDelay(ctx); err != nil {
				return eris.Wrap(err, last.Error())
			}
		}
	}
	return last
}

func (c *LeaderClient) callHost(host string, call func(Handler) error) error {
	h, err := c.cfg.Dialer.Dial(host)
	if err != nil {
		return &fault.Unavailable{What: "peer " + host, Reason: err.Error()}
	}
	return call(h)
}

func (c *LeaderClient) waitRetryDelay(ctx context.Context) error {
	select {
	case <-c.cfg.Clock.After(leaderRetryDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *LeaderClient) cachedLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *LeaderClient) cacheLeader(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = host
}

func (c *LeaderClient) dropCachedLeader(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == host {
		c.leader = ""
	}
}

// noEffect reports whether err proves that the call did nothing and that
// another host may serve it.
func noEffect(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeNotLeader, fault.CodeUnavailable, fault.CodeShuttingDown, fault.CodeClockSkew:
		return true
	}
	return false
}

// effectUnknown reports whether the call may have taken effect.
func effectUnknown(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeSilentConnection, fault.CodeTimeout, fault.CodeProposalUnknown, fault.CodeConnectionLost:
		return true
	}
	return false
}

func retryable(err error, idempotent bool) bool {
	return noEffect(err) || idempotent && effectUnknown(err)
}

// answeredByHandler reports whether err is an answer of the handler that was
// called. For a call to the leader of a group it is the leader's own answer.
func answeredByHandler(err error) bool {
	var coded fault.Coded
	return errors.As(err, &coded) && !noEffect(err) && !effectUnknown(err)
}

// HadNoEffect reports whether err proves that the failed call had no effect: the
// called host refused it or was not reached.
func HadNoEffect(err error) bool { return noEffect(err) || answeredByHandler(err) }

// IsAnswer reports whether err is the leader's own answer to the call.
func IsAnswer(err error) bool { return answeredByHandler(err) }
