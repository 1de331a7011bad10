package control

import (
	"context"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/estimate"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
	"agatehaven.dev/agatehaven/internal/retry"
	"agatehaven.dev/agatehaven/internal/suspect"
)

// actorSuspect names the failing-host policy as the actor of events.
const actorSuspect = "suspect"

// eventFaultyKind records that a job kind became faulty, see
// suspect.Tracker.FaultyKinds.
const eventFaultyKind event.Kind = "job_kind_faulty"

// runStats holds what is learned from attempts: run times and sizes, failing
// hosts and kinds, retry tokens. It is soft state, and a new leader starts
// without it. It is safe for concurrent use. Its lock is taken within views of
// the state machine, so no method may read the state machine while it holds
// the lock.
type runStats struct {
	clock  clock.Clock
	policy Policy

	mu            sync.Mutex
	estimator     *estimate.Estimator
	hosts         *suspect.Tracker
	retryPolicy   retry.Policy
	backoff       retry.Backoff
	faultyKinds   map[string]string // job kind -> reason
	pendingProbes map[string]bool   // hosts that wait for a probe
}

func newRunStats(p Policy, c clock.Clock) *runStats {
	e := &runStats{clock: c, policy: p}
	e.reset()
	return e
}

// reset drops all statistics at the start of a term.
func (e *runStats) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimator, e.hosts = estimate.New(), suspect.New(e.policy.Suspects)
	e.retryPolicy, e.backoff = e.policy.Retries(), retry.DefaultBackoff(0)
	e.faultyKinds, e.pendingProbes = make(map[string]string), make(map[string]bool)
}

// estimate returns the learned size and run time of a request's kind.
func (e *runStats) estimate(kind string, declared estimate.Declared) estimate.Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimator.Estimate(kind, declared)
}

// usage adds a target's report of the resources that its tasks use. kindOf
// returns the job kind of a request, or empty if it is not known; it reads the
// state machine, so it is called without the lock.
func (e *runStats) usage(list []model.Usage, kindOf func(key string) string) {
	kinds := make([]string, len(list))
	for i := range list {
		kinds[i] = kindOf(list[i].Request)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, u := range list {
		if kinds[i] != "" {
			e.estimator.Usage(kinds[i], u)
		}
	}
}

// recordFinished counts the result of an attempt that is still open in the
// ledger. Attempts that did not begin, were stopped or moved, or whose outcome
// is unknown are not counted.
func (e *runStats) recordFinished(r *model.Request, a *model.Attempt, report *model.AttemptReport, setAside bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	failed := report.State == model.AttemptFailed
	if r.CancelRequested || (!failed && report.State != model.AttemptSucceeded) {
		e.estimator.Discard(r.Key, a.Number)
		return
	}
	now := e.clock.Now()
	if failed && (a.FromCheckpoint || a.CheckpointOrdered) {
		e.estimator.Discard(r.Key, a.Number) // the move may have caused the failure
		return
	}
	if a.FromCheckpoint {
		e.estimator.Discard(r.Key, a.Number) // its run time covers only the part after the checkpoint
	} else {
		e.estimator.RecordFinished(r.Kind, r.Key, a.Number, time.Duration(report.RunMS)*time.Millisecond)
	}
	if setAside {
		e.hosts.RecordProbe(a.Host, failed, now)
	} else {
		e.hosts.Record(suspect.Run{Host: a.Host, Kind: r.Kind, Idempotent: r.Idempotent, Failed: failed, At: now})
	}
	if !failed {
		e.retryPolicy.Succeeded(a.Owner)
	}
}

// retry decides whether an idempotent request gets another attempt, and after
// which delay.
func (e *runStats) retry(r *model.Request) (delay time.Duration, verdict retry.Decision) {
	last := &r.Attempts[len(r.Attempts)-1]
	e.mu.Lock()
	defer e.mu.Unlock()
	delay = e.backoff.Delay(r.Key, last.Number)
	if last.State == model.AttemptNotBegun {
		// It put no load on a target, so it costs no retry token.
		return delay, retry.Decision{Retry: true, Reason: "the attempt did not begin"}
	}
	if reason := e.faultyKinds[r.Kind]; reason != "" {
		return 0, retry.Decision{Reason: "job kind " + r.Kind + " fails on all hosts: " + reason}
	}
	return delay, e.retryPolicy.Decide(retry.Attempt{Key: r.Key, Used: ledger.AttemptsUsed(r), MaxAttempts: r.MaxAttempts, Instance: last.Owner})
}

// evaluate returns the due decisions about hosts and the job kinds that became
// faulty since the last call.
func (e *runStats) evaluate(hosts []suspect.Host) (decisions []suspect.Decision, faultyKinds []suspect.FaultyKind) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.faultyKinds
	e.faultyKinds = make(map[string]string)
	for _, k := range e.hosts.FaultyKinds(now) {
		e.faultyKinds[k.Kind] = k.Reason
		if known[k.Kind] == "" {
			faultyKinds = append(faultyKinds, k)
		}
	}
	decisions = e.hosts.Decide(now, hosts)
	for _, d := range decisions {
		if d.Action == suspect.ActionProbe {
			e.pendingProbes[d.Host] = true
		}
	}
	return decisions, faultyKinds
}

// removePendingProbe removes a host from the pending probes and reports whether
// it was one of them.
func (e *runStats) removePendingProbe(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.pendingProbes[host]
	delete(e.pendingProbes, host)
	return due
}

func (e *runStats) hostsToProbe() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for host := range e.pendingProbes {
		out = append(out, host)
	}
	return out
}

// recordReport adds a report to the statistics, once for each attempt.
func (c *Controller) recordReport(report *model.AttemptReport) {
	r, ok := c.cfg.StateMachine.Request(report.Key)
	if !ok {
		return
	}
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.Number != report.Attempt || (a.State != model.AttemptAssigned && a.State != model.AttemptUnknown) {
			continue
		}
		var host model.Host
		c.cfg.StateMachine.View(func(v datacentre.View) { host, _ = v.Hosts.Host(a.Host) })
		c.runStats.recordFinished(r, a, report, host.State == model.HostSetAside)
	}
}

// decideRetries commits whether idempotent requests whose last attempt did not
// succeed are retried.
func (c *Controller) decideRetries(ctx context.Context) {
	var ended []*model.Request
	c.cfg.StateMachine.View(func(v datacentre.View) { ended = v.Requests.AwaitingRetry() })
	for _, r := range ended {
		delay, verdict := c.runStats.retry(r)
		_, err := c.proposeRequest(ctx, ledger.Command{Retry: &ledger.Retry{
			Key: r.Key, Attempt: r.Attempts[len(r.Attempts)-1].Number,
			NotBefore: hlcOf(c.cfg.Clock.Now().Add(delay)),
			Refused:   !verdict.Retry, Reason: verdict.Reason,
		}})
		if err != nil {
			return
		}
	}
}

// evaluateHosts sets failing hosts aside as far as the floor allows, requests
// probes, and returns hosts to service whose probes succeeded.
func (c *Controller) evaluateHosts(ctx context.Context) {
	var hosts []suspect.Host
	for _, h := range c.hosts() {
		hosts = append(hosts, suspect.Host{
			Name: h.Info.Name, Pool: h.Pool,
			Ready: h.State == model.HostReady, SetAside: h.State == model.HostSetAside,
		})
	}
	decisions, faulty := c.runStats.evaluate(hosts)
	for _, k := range faulty {
		if c.cfg.Events != nil {
			c.cfg.Events.Record(event.Event{Kind: eventFaultyKind, DataCentre: c.cfg.DataCentre, Actor: actorSuspect, Reason: k.Kind + ": " + k.Reason})
		}
	}
	for _, d := range decisions {
		switch d.Action {
		case suspect.ActionSetAside:
			_ = c.proposeHost(ctx, inventory.Command{SetAside: &inventory.SetAside{Host: d.Host, Reason: d.Reason}})
		case suspect.ActionResume:
			_ = c.proposeHost(ctx, inventory.Command{Resume: &inventory.Resume{Host: d.Host, Actor: actorSuspect, Reason: d.Reason}})
		}
	}
}

// dispatchProbes sends one queued idempotent request to each host that is set
// aside and due for a probe. A real request serves as the probe, since only
// callers know valid payloads; if it fails, it is retried on another host.
// Urgent requests are used only if nothing else is queued.
func (c *Controller) dispatchProbes(ctx context.Context, queued []placement.Request) {
	for _, name := range c.runStats.hostsToProbe() {
		var host model.Host
		c.cfg.StateMachine.View(func(v datacentre.View) { host, _ = v.Hosts.Host(name) })
		if host.State != model.HostSetAside {
			c.runStats.removePendingProbe(name)
			continue
		}
		r := probeRequest(c.cfg.StateMachine, host.Pool, queued)
		if r == nil {
			continue
		}
		owner, incarnation, ok := c.ownerFor(r.Key, 0)
		if !ok || !c.runStats.removePendingProbe(name) {
			continue
		}
		_, _ = c.proposeRequest(ctx, ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{{
			Key: r.Key, Attempt: ledger.NextAttempt(r), Host: name, Probe: true,
			Owner: owner, OwnerIncarnation: incarnation, Reason: "probe of a host that is set aside",
		}}}})
	}
}

// probeRequest chooses the queued request that probes a host of the pool.
func probeRequest(m *datacentre.StateMachine, pool string, queued []placement.Request) *model.Request {
	var urgent *model.Request
	for i := range queued {
		if queued[i].Pool != pool {
			continue
		}
		r, ok := m.Request(queued[i].Key)
		switch {
		case !ok || !r.Idempotent || r.State != model.RequestQueued || len(r.Attempts) > 0:
		case r.Priority != model.Urgent:
			return r
		case urgent == nil:
			urgent = r
		}
	}
	return urgent
}
