// Package entry is the part of an entry host that forwards callers' requests
// to the leader of the region. It holds no state beyond where the core is.
package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/link"
)

const (
	// callTimeout bounds one try. A leader answers within its commit.
	callTimeout = 800 * time.Millisecond
	// patience bounds all tries of a request: the time of an election.
	patience = 1500 * time.Millisecond
	// retryPause separates tries while no leader is known.
	retryPause = 60 * time.Millisecond
	// membersEvery is how often the members of the core are learned anew.
	membersEvery = 2 * time.Second
	// membersTimeout bounds one such call.
	membersTimeout = 500 * time.Millisecond
	// retryAfterMS is told to callers whose request no leader took.
	retryAfterMS = 1000
)

// Entry forwards requests.
type Entry struct {
	clients *link.Clients
	log     zerolog.Logger

	mu     sync.Mutex
	leader string
	hosts  []string // known hosts of the core
	next   int
	// heard is when the core last answered.
	heard time.Time
}

// New returns an entry that begins with the seeds.
func New(port string, seeds []string, log zerolog.Logger) *Entry {
	return &Entry{clients: link.NewClients(port), log: log, hosts: slices.Clone(seeds)}
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

// AddSeeds adds hosts that the settings name now.
func (e *Entry) AddSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range seeds {
		if !slices.Contains(e.hosts, s) {
			e.hosts = append(e.hosts, s)
		}
	}
}

// learn asks the hosts of the core, the leader first, until one answers.
func (e *Entry) learn(ctx context.Context) {
	for range 3 {
		host := e.choose()
		callCtx, cancel := context.WithTimeout(ctx, membersTimeout)
		m, err := e.clients.To(host).Members(callCtx, &link.Empty{})
		cancel()
		if err != nil {
			e.forget(host)
			continue
		}
		e.AddSeeds(m.Hosts)
		e.mu.Lock()
		e.heard = time.Now()
		if m.Leader != "" {
			e.leader = m.Leader
		}
		e.mu.Unlock()
		return
	}
}

// Ready reports whether the core answered lately.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.heard) < 3*membersEvery
}

// choose returns the leader if it is known, and the known hosts in turn if not.
func (e *Entry) choose() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader
	}
	e.next++
	return e.hosts[e.next%len(e.hosts)]
}

// forget notes that a host does not lead.
func (e *Entry) forget(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == host {
		e.leader = ""
	}
}

func (e *Entry) follow(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader, e.heard = host, time.Now()
}

// call is one kind of request to the leader.
type call func(ctx context.Context, c *link.Client) (*link.Answer, error)

// forward tries a request until a leader settles it or the patience is over.
// An answer Unknown tells that it may have taken effect; all requests can be
// repeated.
func (e *Entry) forward(ctx context.Context, f call) *link.Answer {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	doubtful := false
	for ctx.Err() == nil {
		host := e.choose()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := f(callCtx, e.clients.To(host))
		cancel()
		switch {
		case err != nil:
			var unavailable *fault.Unavailable
			doubtful = doubtful || !errors.As(err, &unavailable)
			e.forget(host)
		case a.Code == link.NotLeader:
			if e.forget(host); a.Leader != "" && a.Leader != host {
				e.follow(a.Leader)
				continue
			}
		case a.Code == link.NotReady:
		case a.Code == link.Unknown:
			doubtful = true
		default:
			e.follow(host)
			return a
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	if doubtful {
		return &link.Answer{Code: link.Unknown, Reason: "no leader answered"}
	}
	return &link.Answer{Code: link.NotReady, RetryAfterMS: retryAfterMS, Reason: "no leader is known"}
}

// Submit hands in a job.
func (e *Entry) Submit(ctx context.Context, r *link.SubmitRequest) *link.Answer {
	return e.forward(ctx, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Submit(ctx, r) })
}

// Cancel ends a job.
func (e *Entry) Cancel(ctx context.Context, s *link.Subject) *link.Answer {
	return e.forward(ctx, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Cancel(ctx, s) })
}

// Look returns the state of a job.
func (e *Entry) Look(ctx context.Context, s *link.Subject) *link.Answer {
	return e.forward(ctx, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Look(ctx, s) })
}

// Count returns how many jobs of a queue have not begun.
func (e *Entry) Count(ctx context.Context, s *link.Subject) *link.Answer {
	return e.forward(ctx, func(ctx context.Context, c *link.Client) (*link.Answer, error) { return c.Count(ctx, s) })
}
