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

// actorSuspect is the name of the policy for failing hosts in events.
const actorSuspect = "suspect"

// eventFaultyKind records that a job kind fails on every host that runs it.
const eventFaultyKind event.Kind = "job_kind_faulty"

// evidence is the soft state that is learned from finished attempts: run
// times and sizes, failing hosts and kinds, retry tokens. A new leader starts
// without it. It is safe for concurrent use. Its lock is taken within views of
// the state machine, so no method may call the machine while it holds the lock.
type evidence struct {
	clock  clock.Clock
	policy Policies

	mu      sync.Mutex
	learner *estimate.Estimator
	hosts   *suspect.Tracker
	retries retry.Policy
	backoff retry.Backoff
	faulty  map[string]string // job kind -> reason
	probes  map[string]bool   // hosts that wait for a probe
}

func newEvidence(p Policies, c clock.Clock) *evidence {
	e := &evidence{clock: c, policy: p}
	e.reset()
	return e
}

// reset drops everything learned, at the start of a term.
func (e *evidence) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learner, e.hosts = estimate.New(), suspect.New(e.policy.Suspects)
	e.retries, e.backoff = e.policy.Retries(), retry.DefaultBackoff(0)
	e.faulty, e.probes = make(map[string]string), make(map[string]bool)
}

// estimate returns the learned size and run time of a request's kind.
func (e *evidence) estimate(kind string, declared estimate.Declared) estimate.Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.learner.Estimate(kind, declared)
}

// usage takes a target's report of the resources that its tasks use. kindOf
// returns the job kind of a request, or empty if it is not known; it reads the
// state machine, so it is called without the lock.
func (e *evidence) usage(list []model.Usage, kindOf func(key string) string) {
	kinds := make([]string, len(list))
	for i := range list {
		kinds[i] = kindOf(list[i].Request)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, u := range list {
		if kinds[i] != "" {
			e.learner.RecordUsage(kinds[i], u)
		}
	}
}

// finished takes the result of an attempt that is still open in the ledger.
// Attempts that did not begin, were stopped or moved, or ended unknown teach
// nothing.
func (e *evidence) finished(r *model.Request, a *model.Attempt, report *model.AttemptReport, setAside bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	failed := report.State == model.AttemptFailed
	if r.CancelRequested || (!failed && report.State != model.AttemptSucceeded) {
		e.learner.Discard(r.Key, a.Number)
		return
	}
	now := e.clock.Now()
	if failed && (a.FromCheckpoint || a.CheckpointOrdered) {
		e.learner.Discard(r.Key, a.Number) // its move may be why it failed
		return
	}
	if a.FromCheckpoint {
		e.learner.Discard(r.Key, a.Number) // it ran only for the rest
	} else {
		e.learner.RecordFinished(r.Kind, r.Key, a.Number, time.Duration(report.RunMS)*time.Millisecond)
	}
	if setAside {
		e.hosts.RecordProbe(a.Host, failed, now)
	} else {
		e.hosts.Record(suspect.Run{Host: a.Host, Kind: r.Kind, Idempotent: r.Idempotent, Failed: failed, At: now})
	}
	if !failed {
		e.retries.Succeeded(a.Owner)
	}
}

// retry decides about another attempt of an idempotent request.
func (e *evidence) retry(r *model.Request) (delay time.Duration, verdict retry.Decision) {
	last := &r.Attempts[len(r.Attempts)-1]
	e.mu.Lock()
	defer e.mu.Unlock()
	delay = e.backoff.Delay(r.Key, last.Number)
	if last.State == model.AttemptNotBegun {
		// It added no load to a target, so it costs no token.
		return delay, retry.Decision{Retry: true, Reason: "the attempt did not begin"}
	}
	if reason := e.faulty[r.Kind]; reason != "" {
		return 0, retry.Decision{Reason: "job kind " + r.Kind + " fails everywhere: " + reason}
	}
	return delay, e.retries.Decide(retry.Attempt{Key: r.Key, Used: ledger.AttemptsUsed(r), MaxAttempts: r.MaxAttempts, Instance: last.Owner})
}

// judge returns the decisions about hosts and the job kinds that became
// faulty since the last call.
func (e *evidence) judge(hosts []suspect.Host) (decisions []suspect.Decision, faulty []suspect.FaultyKind) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.faulty
	e.faulty = make(map[string]string)
	for _, k := range e.hosts.FaultyKinds(now) {
		e.faulty[k.Kind] = k.Reason
		if known[k.Kind] == "" {
			faulty = append(faulty, k)
		}
	}
	decisions = e.hosts.Decide(now, hosts)
	for _, d := range decisions {
		if d.Action == suspect.ActionProbe {
			e.probes[d.Host] = true
		}
	}
	return decisions, faulty
}

// takeProbe reports whether a host waits for a probe, and ends the wait.
func (e *evidence) takeProbe(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := e.probes[host]
	delete(e.probes, host)
	return due
}

func (e *evidence) probeHosts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for host := range e.probes {
		out = append(out, host)
	}
	return out
}

// observeReport feeds a report into the evidence, once for each attempt.
func (c *Controller) observeReport(report *model.AttemptReport) {
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
		c.evidence.finished(r, a, report, host.State == model.HostSetAside)
	}
}

// retryEnded decides about the retries of idempotent requests whose attempt
// ended without success.
func (c *Controller) retryEnded(ctx context.Context) {
	var ended []*model.Request
	c.cfg.StateMachine.View(func(v datacentre.View) { ended = v.Requests.AwaitingRetry() })
	for _, r := range ended {
		delay, verdict := c.evidence.retry(r)
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

// judgeHosts sets failing hosts aside within the floor, asks for probes and
// returns hosts whose probes succeeded.
func (c *Controller) judgeHosts(ctx context.Context) {
	var hosts []suspect.Host
	for _, h := range c.hosts() {
		hosts = append(hosts, suspect.Host{
			Name: h.Info.Name, Pool: h.Pool,
			Ready: h.State == model.HostReady, SetAside: h.State == model.HostSetAside,
		})
	}
	decisions, faulty := c.evidence.judge(hosts)
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

// probe dispatches one queued idempotent request to each host that is set
// aside and due for a probe. A real request serves as the probe, since only
// callers know valid payloads; if it fails, it is retried on another host.
// Urgent requests are used only if nothing else is queued.
func (c *Controller) probe(ctx context.Context, queued []placement.Request) {
	for _, name := range c.evidence.probeHosts() {
		var host model.Host
		c.cfg.StateMachine.View(func(v datacentre.View) { host, _ = v.Hosts.Host(name) })
		if host.State != model.HostSetAside {
			c.evidence.takeProbe(name)
			continue
		}
		r := probeRequest(c.cfg.StateMachine, host.Pool, queued)
		if r == nil {
			continue
		}
		owner, incarnation, ok := c.ownerFor(r.Key, 0)
		if !ok || !c.evidence.takeProbe(name) {
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
