package bootstrap

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
)

const (
	// initialMembers is the number of hosts that form the group. Others join it later.
	initialMembers = 3
	// pollInterval is how often a candidate calls the seeds.
	pollInterval = 100 * time.Millisecond
	// callTimeout bounds one call. Hosts are a few milliseconds apart.
	callTimeout = 300 * time.Millisecond
	// registrationWait is how long a candidate waits for others to register. All hosts
	// start within some tenths of a second.
	registrationWait = time.Second
	// fullGroupWait is how long a candidate waits while fewer than initialMembers
	// candidates have registered. Then it proposes a smaller group.
	fullGroupWait = 3 * time.Second
	// proposalStagger separates the first proposals of the candidates in order of their
	// hosts, so that they seldom compete.
	proposalStagger = 500 * time.Millisecond
)

// Call sends a request to a seed. Errors are those of the transport.
type Call func(ctx context.Context, seed string, r *Request) (*Answer, error)

// Config configures a candidate.
type Config struct {
	Self  Candidate
	Seeds []string
	Call  Call
	Clock clock.Clock
	Log   zerolog.Logger
}

// candidate is the Paxos proposer of a core host.
type candidate struct {
	Config
	started time.Time
	// highestNumber is the highest ballot number seen so far.
	highestNumber uint64
	candidates    []Candidate
}

// Agree returns the hosts of the initial members, which may include this host. It
// returns nil if the group exists already, or if ctx ends before a decision.
func Agree(ctx context.Context, cfg Config) []string {
	c := &candidate{Config: cfg, started: cfg.Clock.Now(), candidates: []Candidate{cfg.Self}}
	for ctx.Err() == nil {
		if decided, done := c.step(ctx); done {
			c.Log.Info().Strs("members", decided).Dur("took", cfg.Clock.Now().Sub(c.started)).Msg("first members decided")
			return decided
		}
		select {
		case <-ctx.Done():
		case <-cfg.Clock.After(pollInterval):
		}
	}
	return nil
}

// step registers this host, and proposes members if it is its turn. It reports whether
// the agreement has ended.
func (c *candidate) step(ctx context.Context) ([]string, bool) {
	answers := c.askSeeds(ctx, &Request{Candidate: c.Self})
	for _, a := range answers {
		if len(a.Decided) > 0 {
			return a.Decided, true
		}
	}
	if slices.ContainsFunc(answers, func(a *Answer) bool { return a.GroupExists }) {
		return nil, true
	}
	if !c.hasQuorum(countParticipating(answers)) || !c.mayPropose(c.Clock.Now()) {
		return nil, false
	}
	decided := c.propose(ctx)
	return decided, decided != nil
}

// mayPropose reports whether it is this host's turn to propose.
func (c *candidate) mayPropose(now time.Time) bool {
	wait := registrationWait
	if len(c.candidates) < initialMembers {
		wait = fullGroupWait
	}
	rank := slices.Index(c.candidates, c.Self)
	return now.Sub(c.started) >= wait+time.Duration(rank)*proposalStagger
}

// propose runs one Paxos round. It returns the decision, or nil if the proposal got no
// quorum.
func (c *candidate) propose(ctx context.Context) []string {
	c.highestNumber++
	ballot := Ballot{Number: c.highestNumber, Host: c.Self.Host}
	proposed := chooseMembers(c.candidates)
	promises := grantedAnswers(c.askSeeds(ctx, &Request{Candidate: c.Self, Ballot: ballot}))
	if !c.hasQuorum(len(promises)) {
		return nil
	}
	highest := slices.MaxFunc(promises, func(a, b *Answer) int { return a.AcceptedAt.compare(b.AcceptedAt) })
	if len(highest.Accepted) > 0 {
		proposed = highest.Accepted
	}
	if !c.hasQuorum(len(grantedAnswers(c.askSeeds(ctx, &Request{Candidate: c.Self, Ballot: ballot, Members: proposed})))) {
		return nil
	}
	c.askSeeds(ctx, &Request{Candidate: c.Self, Decided: proposed})
	return proposed
}

// hasQuorum reports whether n acceptors are a majority of the seeds.
func (c *candidate) hasQuorum(n int) bool { return n > len(c.Seeds)/2 }

// askSeeds sends a request to all seeds and returns the answers that arrived. It
// updates highestNumber and candidates from them.
func (c *candidate) askSeeds(ctx context.Context, r *Request) []*Answer {
	answers := make([]*Answer, len(c.Seeds))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, seed := range c.Seeds {
		wg.Go(func() {
			a, err := c.Call(ctx, seed, r)
			if err != nil {
				c.Log.Debug().Err(err).Str("seed", seed).Msg("call to seed failed")
				return
			}
			answers[i] = a
		})
	}
	wg.Wait()
	answers = slices.DeleteFunc(answers, func(a *Answer) bool { return a == nil })
	for _, a := range answers {
		c.highestNumber = max(c.highestNumber, a.Promised.Number)
		c.candidates = append(c.candidates, a.Candidates...)
	}
	slices.SortFunc(c.candidates, func(a, b Candidate) int { return cmp.Compare(a.Host, b.Host) })
	c.candidates = slices.CompactFunc(c.candidates, func(a, b Candidate) bool { return a.Host == b.Host })
	return answers
}

// countParticipating returns how many of the answers are from seeds that take part.
func countParticipating(answers []*Answer) int {
	n := 0
	for _, a := range answers {
		if a.Participates {
			n++
		}
	}
	return n
}

// grantedAnswers returns the answers that granted the request.
func grantedAnswers(answers []*Answer) []*Answer {
	return slices.DeleteFunc(slices.Clone(answers), func(a *Answer) bool { return !a.Granted })
}

// chooseMembers returns up to initialMembers candidates from as many data centres as
// possible.
func chooseMembers(candidates []Candidate) []string {
	var out []string
	in := map[string]int{}
	for len(out) < min(initialMembers, len(candidates)) {
		next := slices.MinFunc(candidates, func(a, b Candidate) int {
			chosen := func(c Candidate) int {
				if slices.Contains(out, c.Host) {
					return 1
				}
				return 0
			}
			return cmp.Or(cmp.Compare(chosen(a), chosen(b)), cmp.Compare(in[a.DataCentre], in[b.DataCentre]), cmp.Compare(a.Host, b.Host))
		})
		out = append(out, next.Host)
		in[next.DataCentre]++
	}
	slices.Sort(out)
	return out
}
