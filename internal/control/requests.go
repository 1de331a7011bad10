package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/placement"
)

const (
	// maxEntries bounds the memory of which entry host took which request.
	maxEntries = 100_000
	// resolveEvery is short beside ownerGrace, so that urgent work of a killed
	// entry host starts elsewhere within 1.6 s.
	resolveEvery = 250 * time.Millisecond
	// resolveRepeat is the least time between two reads of one attempt.
	resolveRepeat = time.Second
	// resolveParallel bounds the orphaned attempts read from targets at once.
	resolveParallel = 16
)

// Submit claims a key in this data centre's ledger and waits for the outcome
// up to r.WaitMS.
func (c *Controller) Submit(ctx context.Context, r *peer.SubmitRequest) (*peer.RequestResponse, error) {
	if err := c.requireLeading(); err != nil {
		return nil, err
	}
	c.rememberEntry(r.Key, r.Entry)
	_, err := c.proposeRequest(ctx, ledger.Command{Claim: &ledger.Claim{
		Key: r.Key, Kind: r.Kind, Team: r.Team, Payload: r.Payload, Deadline: r.Deadline,
	}})
	if err != nil {
		c.forgetEntry(r.Key)
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
		c.observeReport(&r.Reports[i])
	}
	if _, err := c.proposeRequest(ctx, ledger.Command{Report: &ledger.Report{Reports: r.Reports}}); err != nil {
		return nil, err
	}
	return &peer.ReportAttemptsResponse{}, nil
}

// await waits until the request is finished or the time is over. A request
// that finished as unknown is returned at once; a later call may see it
// resolved.
func (c *Controller) await(ctx context.Context, key string, wait time.Duration) (*peer.RequestResponse, error) {
	deadline := c.cfg.Clock.After(wait)
	for {
		changed, stop := c.cfg.Machine.WatchRequest(key)
		r, ok := c.cfg.Machine.Request(key)
		if !ok {
			stop()
			return nil, &fault.NotFound{Kind: "request", Name: key}
		}
		if r.State == model.RequestFinished {
			stop()
			c.forgetEntry(key)
			return response(r), nil
		}
		select {
		case <-changed:
			stop()
		case <-deadline:
			stop()
			return response(r), nil
		case <-ctx.Done():
			stop()
			return nil, ctx.Err()
		}
	}
}

// response copies a request without its payload, which the caller knows.
func response(r *model.Request) *peer.RequestResponse {
	out := *r
	out.Payload, out.Checkpoint = nil, nil
	return &peer.RequestResponse{Request: out}
}

func (c *Controller) rememberEntry(key, entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) < maxEntries {
		c.entries[key] = entry
	}
}

func (c *Controller) forgetEntry(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, key)
}

// maintainLedger does what the passing of time asks of the ledger.
func (c *Controller) maintainLedger(ctx context.Context) {
	c.applyLimits(ctx)
	c.expireRequests(ctx)
	c.unpark(ctx)
}

// expireRequests finishes requests whose deadline has passed and drops what
// its retention allows.
func (c *Controller) expireRequests(ctx context.Context) {
	now := c.now()
	due := false
	c.cfg.Machine.View(func(v datacentre.View) {
		at, ok := v.Requests.NextDeadline()
		due = ok && at.Before(now)
	})
	if due {
		_, _ = c.proposeRequest(ctx, ledger.Command{Expire: &ledger.Expire{}})
	}
}

// applyLimits brings the limits of this leader's settings into force.
func (c *Controller) applyLimits(ctx context.Context) {
	differ := false
	c.cfg.Machine.View(func(v datacentre.View) { differ = v.Requests.Limits() != c.cfg.Limits })
	if differ {
		_, _ = c.proposeRequest(ctx, ledger.Command{SetLimits: &c.cfg.Limits})
	}
}

// unpark queues parked requests again once a host of their pool fits them.
func (c *Controller) unpark(ctx context.Context) {
	var hosts []placement.Host
	var parked []*model.Request
	c.cfg.Machine.View(func(v datacentre.View) {
		if parked = v.Requests.Parked(); len(parked) == 0 {
			return
		}
		for _, h := range v.Hosts.Hosts() {
			hosts = append(hosts, placementHost(&h, v))
		}
	})
	for _, r := range parked {
		cpu, memory := c.size(r)
		if placement.Fits(&placement.Request{Pool: r.Pool, CPUMillis: cpu, MemoryMB: memory, Accelerators: r.Accelerators}, hosts) {
			_, _ = c.proposeRequest(ctx, ledger.Command{Park: &ledger.Park{Key: r.Key}})
		}
	}
}

// resolveOrphans reads the state of attempts whose owner is gone, and of
// attempts with an unknown outcome, from their targets.
func (c *Controller) resolveOrphans(ctx context.Context) {
	type orphan struct {
		attempt   ledger.OpenAttempt
		canRevoke bool
	}
	var orphans []orphan
	c.cfg.Machine.View(func(v datacentre.View) {
		for _, a := range v.Requests.OpenAttempts() {
			h, ok := v.Hosts.Host(a.Host)
			if !ok || h.State == model.HostLost || h.Info.Incarnation != a.TargetIncarnation {
				continue
			}
			a.CheckpointOrdered = a.CheckpointOrdered && h.State == model.HostDraining
			orphans = append(orphans, orphan{a, h.Info.Can(model.CapabilityRevoke)})
		}
	})
	// The owners are looked up outside the view: leading reads the view while
	// it holds the controller's lock, and the opposite order could block both.
	orphans = slices.DeleteFunc(orphans, func(o orphan) bool {
		return c.leaveToOwner(&o.attempt, o.canRevoke)
	})
	now, resolved := c.cfg.Clock.Now(), make(map[peer.AttemptRef]time.Time, len(orphans))
	orphans = slices.DeleteFunc(orphans, func(o orphan) bool {
		ref := peer.AttemptRef{Key: o.attempt.Key, Attempt: o.attempt.Attempt}
		last, known := c.resolved[ref]
		recent := known && now.Sub(last) < resolveRepeat
		if !recent {
			last = now
		}
		resolved[ref] = last
		return recent
	})
	c.resolved = resolved
	var (
		wg      sync.WaitGroup
		limit   = make(chan struct{}, resolveParallel)
		mu      sync.Mutex
		reports []model.AttemptReport
	)
	for _, o := range orphans {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			report, ok := c.cfg.Resolver.Resolve(ctx, o.attempt, o.canRevoke)
			if ok && c.worthReporting(&o.attempt, &report) {
				mu.Lock()
				reports = append(reports, report)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(reports) > 0 {
		_, _ = c.ReportAttempts(ctx, &peer.ReportAttemptsRequest{DataCentre: c.cfg.DataCentre, Reports: reports})
	}
}

// releaseAfter is how long after its dispatch an attempt that its target does
// not know may still begin. It is ten times the limit of a start request.
const releaseAfter = 30 * time.Second

// worthReporting filters reports that would change nothing. An unknown attempt
// that its target neither knows nor runs gives its slot back after
// releaseAfter, so that the target can drain.
func (c *Controller) worthReporting(a *ledger.OpenAttempt, report *model.AttemptReport) bool {
	if a.State != model.AttemptUnknown || report.State != model.AttemptUnknown {
		return true
	}
	k := c.contactOf(a.Host)
	if a.Released || c.now().Sub(a.At) < releaseAfter || !k.announced || k.incarnation != a.TargetIncarnation {
		return false
	}
	for _, ref := range k.running {
		if ref.Key == a.Key && ref.Attempt == a.Attempt {
			return false
		}
	}
	report.Released = true
	return true
}

// adopt pulls newer records from the region group into this data centre's
// group and acknowledges them, so that floors may be lowered elsewhere.
func (c *Controller) adopt(ctx context.Context) {
	have := c.cfg.Machine.RecordsState()
	request := &peer.PullRecordsRequest{
		Revision:      have.Revision,
		FloorRevision: have.FloorRevision,
		WaitMS:        c.cfg.Timing.RecordsWait.Milliseconds(),
	}
	if !c.pullWhole {
		request.Digest = &have.Digest
	}
	resp, err := c.cfg.Records.PullRecords(ctx, request)
	if err != nil {
		c.cfg.Log.Debug().Err(err).Msg("records not pulled")
		return
	}
	if cmd, to, ok := adoption(resp, have); ok {
		result, err := c.propose(ctx, cmd)
		// A delta that the group refuses is followed by the whole set. Without
		// a result the entry may still commit, and the next pull shows it.
		c.pullWhole = cmd.AdoptDelta != nil && result.Err != nil
		if err != nil {
			c.cfg.Log.Warn().Err(err).Uint64("revision", to.Revision).Bool("delta", cmd.AdoptDelta != nil).Msg("records not adopted")
			return
		}
		c.cfg.Log.Info().Uint64("revision", to.Revision).Bool("delta", cmd.AdoptDelta != nil).Msg("records adopted")
	}
	c.acknowledge(ctx)
}

// adoption returns the command that commits pulled records and the state that
// it leads to; the third result is false if there are none newer than have.
func adoption(resp *peer.PullRecordsResponse, have delta.State) (datacentre.Command, delta.State, bool) {
	switch {
	case resp.Delta != nil:
		return datacentre.Command{AdoptDelta: resp.Delta}, resp.Delta.To, true
	case resp.Records != nil:
		to := delta.State{Revision: resp.Records.Revision, FloorRevision: resp.Records.FloorRevision}
		return datacentre.Command{Adopt: resp.Records}, to, to.Newer(have)
	}
	return datacentre.Command{}, delta.State{}, false
}

// acknowledge tells the region group what is in force here, once for each
// change and once for each term.
func (c *Controller) acknowledge(ctx context.Context) {
	have := c.cfg.Machine.Records()
	if have.Revision == 0 {
		return
	}
	c.mu.Lock()
	mark := ackMark{term: c.term, revision: have.Revision, floors: have.FloorRevision}
	done := c.acked == mark
	c.mu.Unlock()
	if done {
		return
	}
	_, err := c.cfg.Records.AckAdoption(ctx, &peer.AckAdoptionRequest{
		DataCentre: c.cfg.DataCentre, Revision: have.Revision, FloorRevision: have.FloorRevision,
	})
	if err != nil {
		return
	}
	c.mu.Lock()
	c.acked = mark
	c.mu.Unlock()
}

// ackMark identifies the last acknowledgement.
type ackMark struct {
	term, revision, floors uint64
}
