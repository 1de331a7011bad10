// Package entry implements an entry host: it forwards requests of callers, and orders
// of operators and targets, to the leader of the region. Its only state is what it
// knows of the core's members and leader.
package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// callTimeout bounds one attempt. A leader answers once it has committed, which
	// takes some tenths of a second with slow disks.
	callTimeout = 500 * time.Millisecond
	// electionWait is how long after a leader's last answer requests still wait for
	// the next leader: the time for an election and the start of a new leader. Later
	// requests are refused, since the outage may last for any time.
	electionWait = 2 * time.Second
	// resolveWait is how long a request that a silent leader may have taken is repeated: as
	// long as callers wait for an answer, less the time for the answer itself.
	resolveWait = 2500 * time.Millisecond
	// minWait is how long every request waits for a leader, even during a longer
	// outage: enough for a call or two, in case a leader has just been elected.
	minWait = 250 * time.Millisecond
	// retryDelay separates attempts while no leader is known.
	retryDelay = 60 * time.Millisecond
	// membersInterval is how often the core's members and leader are refreshed.
	membersInterval = 500 * time.Millisecond
	// readyWindow is how long after the leader's last answer this host reports itself
	// ready. An election takes up to 1.4 s. A host that is partitioned from the leader
	// becomes unready, so that callers go to other hosts.
	readyWindow = 1700 * time.Millisecond
	// membersTimeout bounds one call for the members.
	membersTimeout = 300 * time.Millisecond
	// suspectPeriod is how long a leader that did not answer is considered lost,
	// unless it is named as the leader of a later term.
	suspectPeriod = 2 * time.Second
	// retryAfterMS is the retry delay in answers to requests that reached no leader.
	retryAfterMS = 1000
)

// Config configures an entry host.
type Config struct {
	// Host is the address of this host without port. Port is the link port, the same
	// on every host.
	Host, Port string
	// Seeds are the seed hosts of the region, which may include this host.
	Seeds []string
	// FirstStart is set at the very first start of the region. This host then takes part
	// in the agreement on the initial members.
	FirstStart bool
	Log        zerolog.Logger
}

// Entry forwards requests to the leader.
type Entry struct {
	self     string
	clients  *link.Clients
	log      zerolog.Logger
	acceptor *bootstrap.Acceptor

	mu sync.Mutex
	// leader is the host that leads in term, empty if it is not known. changed is closed
	// and replaced when leader changes, so that calls to a former leader are repeated.
	leader  string
	term    uint64
	changed chan struct{}
	// seeds are hosts of the region that may know the core's members. hosts are the
	// core hosts, as last reported. next is the position in the rotation over them.
	seeds, hosts []string
	next         int
	// suspect is the host that did not answer as the leader of term. Reports that it
	// leads in that term are ignored until suspectUntil.
	suspect      string
	suspectUntil time.Time
	// leaderAnswered is the time of a leader's last answer.
	leaderAnswered time.Time
	// version is the version of the configuration of limits.
	version uint64

	limits atomic.Pointer[work.RequestLimits]
}

// New returns an Entry that knows only the seeds.
func New(cfg Config) *Entry {
	e := &Entry{
		self: cfg.Host, clients: link.NewClients(cfg.Port), log: cfg.Log, acceptor: bootstrap.NewAcceptor(cfg.FirstStart),
		changed: make(chan struct{}),
	}
	e.SetSeeds(cfg.Seeds)
	return e
}

// LinkHandler returns the handler of link calls from the other processes of the region.
func (e *Entry) LinkHandler() link.Handler {
	return link.Redirector{Acceptor: e.acceptor, KnownMembers: e.KnownMembers, OnMembers: e.handleMembers}
}

// handleMembers takes a member list that the leader sent.
func (e *Entry) handleMembers(m *link.Members) {
	e.setHosts(m.Hosts, true)
	e.observeLeader(m.Leader, m.Term)
}

// Run refreshes the core's members and leader until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	for {
		e.refreshMembers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(membersInterval):
		}
	}
}

// SetSeeds replaces the seeds. It drops this host from them.
func (e *Entry) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == e.self })
}

// setHosts replaces the core hosts. A list from a host that does not lead is only used
// while there is none.
func (e *Entry) setHosts(hosts []string, byLeader bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(hosts) > 0 && (byLeader || len(e.hosts) == 0) {
		e.hosts = hosts
	}
}

// setLimits takes the limits of a configuration unless it is older than the one known.
func (e *Entry) setLimits(m *link.Members) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Version > e.version {
		e.version = m.Version
		e.limits.Store(m.Limits)
	}
}

// RequestLimits returns the limits of the newest configuration of which this host knows, nil
// without one.
func (e *Entry) RequestLimits() *work.RequestLimits { return e.limits.Load() }

// refreshMembers asks the leader, or the core hosts in turn if none is known, for the
// core's members and leader. It makes up to three attempts.
func (e *Entry) refreshMembers(ctx context.Context) {
	for range 3 {
		host, _ := e.pickHost()
		callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		m, err := e.clients.To(host).Members(callCtx, &link.Empty{})
		cancel()
		if err != nil {
			e.suspectLeader(host)
			continue
		}
		e.setHosts(m.Hosts, m.Leader == host)
		e.setLimits(m)
		e.observeLeader(m.Leader, m.Term)
		if m.Leader == host {
			e.recordLeaderAnswer()
			return
		}
		if m.Leader == "" {
			return
		}
	}
}

// Ready reports whether a leader has answered within readyWindow.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.leaderAnswered) < readyWindow
}

// recordLeaderAnswer records that a leader answered now.
func (e *Entry) recordLeaderAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderAnswered = time.Now()
}

// pickHost returns the leader if it is known, otherwise the next core host in turn, and
// a channel that is closed when the known leader changes. In a long outage the seeds
// are included, since the core may have moved to other hosts.
func (e *Entry) pickHost() (string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader, e.changed
	}
	hosts := e.hosts
	if len(hosts) == 0 || time.Since(e.leaderAnswered) > electionWait {
		hosts = slices.Concat(e.hosts, e.seeds)
	}
	if len(hosts) == 0 {
		return "", e.changed
	}
	e.next++
	return hosts[e.next%len(hosts)], e.changed
}

// observeLeader takes the leader of a term that a core host reported. It ignores former
// terms, and a suspected leader of the same term until suspectPeriod has passed.
func (e *Entry) observeLeader(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader == "" || term < e.term || (leader == e.leader && term == e.term) {
		return
	}
	if term == e.term && leader == e.suspect && time.Now().Before(e.suspectUntil) {
		return
	}
	e.setLeader(leader)
	e.term = term
}

// suspectLeader forgets the leader if it is the given host, which did not answer as one.
func (e *Entry) suspectLeader(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == host {
		e.setLeader("")
		e.suspect, e.suspectUntil = host, time.Now().Add(suspectPeriod)
	}
}

// setLeader changes the leader. The mutex is held.
func (e *Entry) setLeader(host string) {
	if e.leader != host {
		e.log.Info().Str("leader", host).Str("former", e.leader).Uint64("term", e.term).Msg("leader changed")
		e.leader = host
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// leaderCall sends a request to the host of the leader.
type leaderCall func(ctx context.Context, c *link.Client) (*link.Answer, error)

// requestSeconds records the duration of requests by result.
var requestSeconds = map[link.Code]*metrics.Histogram{
	link.Done:         metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="done"}`),
	link.NotReady:     metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="not_ready"}`),
	link.Unknown:      metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="unknown"}`),
	link.NoQueue:      metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="no_queue"}`),
	link.NoJob:        metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="no_job"}`),
	link.Refused:      metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="refused"}`),
	link.Unauthorised: metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="unauthorised"}`),
}

// forwardRequest forwards a caller's request, records its duration, and logs it if no
// leader settled it or it was refused.
func (e *Entry) forwardRequest(ctx context.Context, kind string, ref *link.JobRef, f leaderCall) *link.Answer {
	started := time.Now()
	a := e.forward(ctx, kind == "submit" || kind == "cancel", f)
	took := time.Since(started)
	if h := requestSeconds[a.Code]; h != nil {
		h.Update(took.Seconds())
	}
	if a.Code == link.NotReady || a.Code == link.Unknown || a.Code == link.Refused {
		leader, _ := e.pickHost()
		e.log.Warn().Str("kind", kind).Str("job", ref.Job).Str("path", ref.Path).Str("code", string(a.Code)).
			Str("reason", a.Reason).Dur("took", took).Str("leader", leader).Msg("request not settled")
	}
	return a
}

// forward repeats a request until a leader settles it or its time has passed. The answer
// Unknown means that it may have taken effect. All requests can be repeated safely. With
// resolve, a request that may have taken effect is repeated for longer, since its caller
// can do nothing but wait.
func (e *Entry) forward(ctx context.Context, resolve bool, f leaderCall) *link.Answer {
	started, until := time.Now(), e.forwardDeadline()
	mayHaveApplied := false
	for ctx.Err() == nil && time.Now().Before(until) {
		host, changed := e.pickHost()
		a, err := e.callHost(ctx, until, host, changed, f)
		switch {
		case err != nil:
			var unavailable *fault.Unavailable
			mayHaveApplied = mayHaveApplied || !errors.As(err, &unavailable)
			e.suspectLeader(host)
		case a.Code == link.NotLeader:
			if a.Leader == "" {
				e.suspectLeader(host)
			}
			e.observeLeader(a.Leader, a.Term)
		case a.Code == link.NotReady:
		case a.Code == link.Unknown:
			mayHaveApplied = true
		case mayHaveApplied && (a.Code == link.Refused || (resolve && a.Code == link.Unauthorised)):
			// An earlier attempt may still be accepted, so this is no refusal.
		default:
			e.recordLeaderAnswer()
			return a
		}
		if longest := started.Add(resolveWait); resolve && mayHaveApplied && longest.After(until) {
			until = longest
		}
		if next, _ := e.pickHost(); next != host && e.leaderKnown() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(min(retryDelay, time.Until(until))):
		}
	}
	if mayHaveApplied {
		return &link.Answer{Code: link.Unknown, Reason: "no leader answered"}
	}
	return &link.Answer{Code: link.NotReady, RetryAfterMS: retryAfterMS, Reason: "no leader is known"}
}

// forwardDeadline returns the time until which a request that begins now may wait for a
// leader.
func (e *Entry) forwardDeadline() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, earliest := e.leaderAnswered.Add(electionWait), time.Now().Add(minWait)
	if until.After(earliest) {
		return until
	}
	return earliest
}

func (e *Entry) leaderKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader != ""
}

// callHost makes one attempt. It is cancelled if the known leader changes: a late answer
// of a former leader could be older than answers already given to later requests.
func (e *Entry) callHost(ctx context.Context, until time.Time, host string, changed <-chan struct{}, f leaderCall) (*link.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, time.Until(until)))
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-changed:
			cancel()
		}
	}()
	return f(ctx, e.clients.To(host))
}

// Submit submits a job.
func (e *Entry) Submit(ctx context.Context, r *link.SubmitRequest) *link.Answer {
	return e.forwardRequest(ctx, "submit", &r.JobRef, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Submit(ctx, r) })
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, ref *link.JobRef) *link.Answer {
	return e.forwardRequest(ctx, "cancel", ref, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Cancel(ctx, ref) })
}

// ReadJobState returns the state of a job.
func (e *Entry) ReadJobState(ctx context.Context, ref *link.JobRef) *link.Answer {
	return e.forwardRequest(ctx, "look", ref, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.ReadJobState(ctx, ref) })
}

// CountWaiting returns the number of jobs of a queue that have not begun.
func (e *Entry) CountWaiting(ctx context.Context, ref *link.JobRef) *link.Answer {
	return e.forwardRequest(ctx, "count", ref, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.CountWaiting(ctx, ref) })
}
