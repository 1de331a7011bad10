package control

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/placement"
)

// maxEntryHosts bounds the remembered entry hosts of open requests.
const maxEntryHosts = 100_000

// Submit claims a key in this data centre's ledger and waits for the outcome
// up to r.WaitMS.
func (c *Controller) Submit(ctx context.Context, r *peer.SubmitRequest) (*peer.RequestResponse, error) {
	if err := c.requireLeading(); err != nil {
		return nil, err
	}
	c.recordEntryHost(r.Key, r.Entry)
	_, err := c.proposeRequest(ctx, ledger.Command{Claim: &ledger.Claim{
		Key: r.Key, Kind: r.Kind, Team: r.Team, Payload: r.Payload, Deadline: r.Deadline,
	}})
	if err != nil {
		c.removeEntryHost(r.Key)
		return nil, err
	}
	return c.await(ctx, r.Key, time.Duration(r.WaitMS)*time.Millisecond)
}

// Await reads a request and waits for its outcome up to r.WaitMS.
func (c *Controller) Await(ctx context.Context, r *peer.AwaitRequest) (*peer.RequestResponse, error) {
	return c.await(ctx, r.Key, time.Duration(r.WaitMS)*time.Millisecond)
}

// CancelRequest cancels a request and returns it after the change.
func (c *Controller) CancelRequest(ctx context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	if _, err := c.proposeRequest(ctx, ledger.Command{Cancel: &ledger.Cancel{Key: r.Key, Actor: r.Actor}}); err != nil {
		return nil, err
	}
	return c.await(ctx, r.Key, 0)
}

// ReportAttempts commits results of attempts.
func (c *Controller) ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error) {
	for i := range r.Reports {
		c.recordReport(&r.Reports[i])
	}
	if _, err := c.proposeRequest(ctx, ledger.Command{Report: &ledger.Report{Reports: r.Reports}}); err != nil {
		return nil, err
	}
	return &peer.ReportAttemptsResponse{}, nil
}

// await waits until the request is finished or the wait has passed. A request
// that finished as unknown is returned at once; a later call may see it
// resolved.
func (c *Controller) await(ctx context.Context, key string, wait time.Duration) (*peer.RequestResponse, error) {
	deadline := c.cfg.Clock.After(wait)
	for {
		changed, stop := c.cfg.StateMachine.WatchRequest(key)
		r, ok := c.cfg.StateMachine.Request(key)
		if !ok {
			stop()
			return nil, &fault.NotFound{Kind: "request", Name: key}
		}
		if r.State == model.RequestFinished {
			stop()
			c.removeEntryHost(key)
			return responseWithoutPayload(r), nil
		}
		select {
		case <-changed:
			stop()
		case <-deadline:
			stop()
			return responseWithoutPayload(r), nil
		case <-ctx.Done():
			stop()
			return nil, ctx.Err()
		}
	}
}

// responseWithoutPayload copies a request without its payload, which the caller
// has, and without its checkpoint.
func responseWithoutPayload(r *model.Request) *peer.RequestResponse {
	out := *r
	out.Payload, out.Checkpoint = nil, nil
	return &peer.RequestResponse{Request: out}
}

func (c *Controller) recordEntryHost(key, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entryHosts) < maxEntryHosts {
		c.entryHosts[key] = entry
	}
}

func (c *Controller) removeEntryHost(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entryHosts, key)
}

// maintainLedger commits the ledger's periodic changes: new limits, expired
// entries, and parked requests that fit again.
func (c *Controller) maintainLedger(ctx context.Context) {
	c.applyLimits(ctx)
	c.expireRequests(ctx)
	c.unpark(ctx)
}

// expireRequests finishes requests whose deadline has passed and drops entries
// whose retention is over.
func (c *Controller) expireRequests(ctx context.Context) {
	now := c.now()
	due := false
	c.cfg.StateMachine.View(func(v datacentre.View) {
		at, ok := v.Requests.NextExpiry()
		due = ok && at.Before(now)
	})
	if due {
		_, _ = c.proposeRequest(ctx, ledger.Command{Expire: &ledger.Expire{}})
	}
}

// applyLimits commits the limits of this leader's settings if they differ from
// those in force.
func (c *Controller) applyLimits(ctx context.Context) {
	differ := false
	c.cfg.StateMachine.View(func(v datacentre.View) { differ = v.Requests.Limits() != c.cfg.Limits })
	if differ {
		_, _ = c.proposeRequest(ctx, ledger.Command{SetLimits: &c.cfg.Limits})
	}
}

// unpark queues parked requests again once a host of their pool fits them.
func (c *Controller) unpark(ctx context.Context) {
	var hosts []placement.Host
	var parked []*model.Request
	c.cfg.StateMachine.View(func(v datacentre.View) {
		if parked = v.Requests.Parked(); len(parked) == 0 {
			return
		}
		for _, h := range v.Hosts.Hosts() {
			hosts = append(hosts, placementHost(&h, v))
		}
	})
	for _, r := range parked {
		cpu, memory := c.reservedSize(r)
		if placement.Fits(&placement.Request{Pool: r.Pool, CPUMillis: cpu, MemoryMB: memory, Accelerators: r.Accelerators}, hosts) {
			_, _ = c.proposeRequest(ctx, ledger.Command{Park: &ledger.Park{Key: r.Key}})
		}
	}
}
