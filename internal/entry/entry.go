// Package entry is the part of an entry host that forwards requests of callers,
// and orders of operators and targets, to the leader of the region. It holds no
// state beyond where the core is.
package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/founding"
	"agatehaven.dev/agatehaven/internal/link"
)

const (
	// callTimeout bounds one try. A leader answers within its commit, which
	// slow disks stretch to some tenths of a second.
	callTimeout = 500 * time.Millisecond
	// outagePatience is how long after a leader's last answer requests still wait
	// for the next one: the time of an election and the start of a new leader.
	// Later ones are refused, since no one knows how long the outage lasts.
	outagePatience = 2 * time.Second
	// minPatience bounds the tries of a request during a longer outage: a call
	// or two, in case a leader has just been elected.
	minPatience = 250 * time.Millisecond
	// retryPause separates tries while no leader is known.
	retryPause = 60 * time.Millisecond
	// membersEvery is how often the leader is asked for the members of the core.
	membersEvery = 500 * time.Millisecond
	// readyFor is how long after the leader's last answer this host counts as
	// ready: an election takes up to 1.4 s. A host that is cut off from the
	// leader sends its callers elsewhere.
	readyFor = 1700 * time.Millisecond
	// membersTimeout bounds one such call.
	membersTimeout = 300 * time.Millisecond
	// doubtFor is how long a leader that did not answer is believed to be lost,
	// unless a later term names it.
	doubtFor = 2 * time.Second
	// retryAfterMS is told to callers whose request no leader took.
	retryAfterMS = 1000
)

// Config configures an entry host.
type Config struct {
	// Host is the address of this host without port, and Port that of the link on
	// every host.
	Host, Port string
	// Seeds are hosts of the region, this one perhaps among them.
	Seeds []string
	// FirstStart is set at the very first start of the region.
	FirstStart bool
	Log        zerolog.Logger
}

// Entry forwards requests.
type Entry struct {
	self     string
	clients  *link.Clients
	log      zerolog.Logger
	acceptor *founding.Acceptor

	mu sync.Mutex
	// leader is the leader of term, empty if it is not known. changed is closed
	// when it changes, so that calls that wait for a former one are repeated.
	leader  string
	term    uint64
	changed chan struct{}
	// seeds are hosts of the region that know where the core is; hosts are those of
	// the core as a leader told them.
	seeds, hosts []string
	next         int
	// doubted is the host that did not answer as the leader of term, and until
	// when no answer of that term is believed to name it rightly.
	doubted string
	until   time.Time
	// led is when a leader last answered.
	led time.Time
}

// New returns an entry that begins with the seeds.
func New(cfg Config) *Entry {
	e := &Entry{
		self: cfg.Host, clients: link.NewClients(cfg.Port), log: cfg.Log, acceptor: founding.NewAcceptor(cfg.FirstStart),
		changed: make(chan struct{}),
	}
	e.SetSeeds(cfg.Seeds)
	return e
}

// LinkHandler returns what this host serves to the other processes of the region.
func (e *Entry) LinkHandler() link.Handler {
	return link.Redirector{Acceptor: e.acceptor, KnownMembers: e.KnownMembers, OnMembers: e.told}
}

// told takes from the leader where the core is.
func (e *Entry) told(m *link.Members) {
	e.setHosts(m.Hosts, true)
	e.hear(m.Leader, m.Term)
}

// Run learns where the core is until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	for {
		e.learn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(membersEvery):
		}
	}
}

// SetSeeds takes the seeds that the settings name now.
func (e *Entry) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == e.self })
}

// setHosts takes the hosts of the core, as a leader or the first host that was
// asked tells them.
func (e *Entry) setHosts(hosts []string, byLeader bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(hosts) > 0 && (byLeader || len(e.hosts) == 0) {
		e.hosts = hosts
	}
}

// learn asks the hosts of the core, the leader first, until one answers.
func (e *Entry) learn(ctx context.Context) {
	for range 3 {
		host, _ := e.choose()
		callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		m, err := e.clients.To(host).Members(callCtx, &link.Empty{})
		cancel()
		if err != nil {
			e.doubt(host)
			continue
		}
		e.setHosts(m.Hosts, m.Leader == host)
		e.hear(m.Leader, m.Term)
		if m.Leader == host {
			e.noteLed()
			return
		}
		if m.Leader == "" {
			return
		}
	}
}

// Ready reports whether a leader answered lately.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.led) < readyFor
}

// noteLed records an answer of a leader.
func (e *Entry) noteLed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.led = time.Now()
}

// choose returns the leader if it is known, and the known hosts of the core in
// turn if not, with a channel that is closed when another leader is known. In a
// long outage the seeds are asked as well: the core may have moved.
func (e *Entry) choose() (string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader, e.changed
	}
	hosts := e.hosts
	if len(hosts) == 0 || time.Since(e.led) > outagePatience {
		hosts = slices.Concat(e.hosts, e.seeds)
	}
	if len(hosts) == 0 {
		return "", e.changed
	}
	e.next++
	return hosts[e.next%len(hosts)], e.changed
}

// hear takes what a host of the core says of the leader.
func (e *Entry) hear(leader string, term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leader == "" || term < e.term || (leader == e.leader && term == e.term) {
		return
	}
	if term == e.term && leader == e.doubted && time.Now().Before(e.until) {
		return
	}
	e.setLeader(leader)
	e.term = term
}

// doubt notes that a host does not answer as a leader.
func (e *Entry) doubt(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == host {
		e.setLeader("")
		e.doubted, e.until = host, time.Now().Add(doubtFor)
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

// call is one kind of request to the leader.
type call func(ctx context.Context, c *link.Client) (*link.Answer, error)

// requestSeconds holds how long requests take, by their result.
var requestSeconds = map[link.Code]*metrics.Histogram{
	link.Done:     metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="done"}`),
	link.NotReady: metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="not_ready"}`),
	link.Unknown:  metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="unknown"}`),
	link.NoQueue:  metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="no_queue"}`),
	link.NoJob:    metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="no_job"}`),
	link.Refused:  metrics.GetOrCreateHistogram(`agatehaven_entry_request_seconds{result="refused"}`),
}

// serve forwards a request, and logs it if no leader settled it.
func (e *Entry) serve(ctx context.Context, kind string, s *link.JobRef, f call) *link.Answer {
	started := time.Now()
	a := e.forward(ctx, f)
	took := time.Since(started)
	if h := requestSeconds[a.Code]; h != nil {
		h.Update(took.Seconds())
	}
	if a.Code == link.NotReady || a.Code == link.Unknown || a.Code == link.Refused {
		leader, _ := e.choose()
		e.log.Warn().Str("kind", kind).Str("job", s.Job).Str("path", s.Path).Str("code", string(a.Code)).
			Str("reason", a.Reason).Dur("took", took).Str("leader", leader).Msg("request not settled")
	}
	return a
}

// forward tries a request until a leader settles it or the patience is over.
// An answer Unknown tells that it may have taken effect; all requests can be
// repeated.
func (e *Entry) forward(ctx context.Context, f call) *link.Answer {
	ctx, cancel := context.WithDeadline(ctx, e.patience())
	defer cancel()
	doubtful := false
	for ctx.Err() == nil {
		host, changed := e.choose()
		a, err := e.try(ctx, host, changed, f)
		switch {
		case err != nil:
			var unavailable *fault.Unavailable
			doubtful = doubtful || !errors.As(err, &unavailable)
			e.doubt(host)
		case a.Code == link.NotLeader:
			if a.Leader == "" {
				e.doubt(host)
			}
			e.hear(a.Leader, a.Term)
		case a.Code == link.NotReady:
		case a.Code == link.Unknown:
			doubtful = true
		default:
			e.noteLed()
			return a
		}
		if next, _ := e.choose(); next != host && e.knows() {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(retryPause):
		}
	}
	if doubtful {
		return &link.Answer{Code: link.Unknown, Reason: "no leader answered"}
	}
	return &link.Answer{Code: link.NotReady, RetryAfterMS: retryAfterMS, Reason: "no leader is known"}
}

// patience returns until when a request that begins now waits for a leader.
func (e *Entry) patience() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, least := e.led.Add(outagePatience), time.Now().Add(minPatience)
	if until.After(least) {
		return until
	}
	return least
}

// knows reports whether a leader is known.
func (e *Entry) knows() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader != ""
}

// try makes one call. It ends early if another leader becomes known: an answer
// that a former leader gives late would be older than later requests' answers.
func (e *Entry) try(ctx context.Context, host string, changed <-chan struct{}, f call) (*link.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// Submit hands in a job.
func (e *Entry) Submit(ctx context.Context, r *link.SubmitRequest) *link.Answer {
	return e.serve(ctx, "submit", &r.JobRef, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Submit(ctx, r) })
}

// Cancel ends a job.
func (e *Entry) Cancel(ctx context.Context, s *link.JobRef) *link.Answer {
	return e.serve(ctx, "cancel", s, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Cancel(ctx, s) })
}

// ReadJobState returns the state of a job.
func (e *Entry) ReadJobState(ctx context.Context, s *link.JobRef) *link.Answer {
	return e.serve(ctx, "look", s, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Look(ctx, s) })
}

// CountWaiting returns how many jobs of a queue have not begun.
func (e *Entry) CountWaiting(ctx context.Context, s *link.JobRef) *link.Answer {
	return e.serve(ctx, "count", s, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Count(ctx, s) })
}
