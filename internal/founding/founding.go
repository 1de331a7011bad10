package founding

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
	// members is how many hosts found the group. The others join it.
	members = 3
	// round is how often the seeds are asked.
	round = 100 * time.Millisecond
	// callTimeout bounds one call. Hosts are a few milliseconds apart.
	callTimeout = 300 * time.Millisecond
	// settle is how long a host waits for others to register. All hosts start
	// within some tenths of a second.
	settle = time.Second
	// fewPatience is how long a host waits for enough others to found the group
	// with the wanted number of members.
	fewPatience = 3 * time.Second
	// turn separates the proposals of the candidates, so that they seldom
	// compete: the first candidate proposes first.
	turn = 500 * time.Millisecond
)

// Call asks a seed. Errors are those of the transport.
type Call func(ctx context.Context, seed string, r *Request) (*Answer, error)

// Config configures the part of a candidate.
type Config struct {
	Self  Candidate
	Seeds []string
	Call  Call
	Clock clock.Clock
	Log   zerolog.Logger
}

// candidate is a host that takes part in the agreement.
type candidate struct {
	Config
	started time.Time
	// number is the highest ballot number that was seen.
	number uint64
	known  []Candidate
}

// Agree returns the hosts of the first members, this one perhaps among them. It
// returns none if the group exists already, or if ctx ends before.
func Agree(ctx context.Context, cfg Config) []string {
	c := &candidate{Config: cfg, started: cfg.Clock.Now(), known: []Candidate{cfg.Self}}
	for ctx.Err() == nil {
		if decided, done := c.step(ctx); done {
			c.Log.Info().Strs("members", decided).Dur("took", cfg.Clock.Now().Sub(c.started)).Msg("first members decided")
			return decided
		}
		select {
		case <-ctx.Done():
		case <-cfg.Clock.After(round):
		}
	}
	return nil
}

// step registers, and proposes if it is this host's turn. It reports whether
// there is a decision.
func (c *candidate) step(ctx context.Context) ([]string, bool) {
	answers := c.ask(ctx, &Request{Candidate: c.Self})
	for _, a := range answers {
		if len(a.Decided) > 0 {
			return a.Decided, true
		}
	}
	if slices.ContainsFunc(answers, func(a *Answer) bool { return a.GroupExists }) {
		return nil, true
	}
	if !c.hasQuorum(accepting(answers)) || !c.mayPropose(c.Clock.Now()) {
		return nil, false
	}
	decided := c.propose(ctx)
	return decided, decided != nil
}

// mayPropose reports whether it is this host's turn.
func (c *candidate) mayPropose(now time.Time) bool {
	wait := settle
	if len(c.known) < members {
		wait = fewPatience
	}
	rank := slices.Index(c.known, c.Self)
	return now.Sub(c.started) >= wait+time.Duration(rank)*turn
}

// propose carries one proposal through. It returns the decision, nil if another
// proposal was in the way.
func (c *candidate) propose(ctx context.Context) []string {
	c.number++
	ballot := Ballot{Number: c.number, Host: c.Self.Host}
	wanted := choose(c.known)
	promises := granted(c.ask(ctx, &Request{Candidate: c.Self, Ballot: ballot}))
	if !c.hasQuorum(len(promises)) {
		return nil
	}
	highest := slices.MaxFunc(promises, func(a, b *Answer) int { return a.AcceptedAt.compare(b.AcceptedAt) })
	if len(highest.Accepted) > 0 {
		wanted = highest.Accepted
	}
	if !c.hasQuorum(len(granted(c.ask(ctx, &Request{Candidate: c.Self, Ballot: ballot, Members: wanted})))) {
		return nil
	}
	c.ask(ctx, &Request{Candidate: c.Self, Decided: wanted})
	return wanted
}

// hasQuorum reports whether n acceptors are a majority of the seeds.
func (c *candidate) hasQuorum(n int) bool { return n > len(c.Seeds)/2 }

// ask sends a request to all seeds and returns their answers.
func (c *candidate) ask(ctx context.Context, r *Request) []*Answer {
	answers := make([]*Answer, len(c.Seeds))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, seed := range c.Seeds {
		wg.Go(func() {
			a, err := c.Call(ctx, seed, r)
			if err != nil {
				c.Log.Debug().Err(err).Str("seed", seed).Msg("seed did not answer")
				return
			}
			answers[i] = a
		})
	}
	wg.Wait()
	answers = slices.DeleteFunc(answers, func(a *Answer) bool { return a == nil })
	for _, a := range answers {
		c.number = max(c.number, a.Promised.Number)
		c.known = append(c.known, a.Candidates...)
	}
	slices.SortFunc(c.known, func(a, b Candidate) int { return cmp.Compare(a.Host, b.Host) })
	c.known = slices.CompactFunc(c.known, func(a, b Candidate) bool { return a.Host == b.Host })
	return answers
}

// accepting returns how many of the seeds take part.
func accepting(answers []*Answer) int {
	n := 0
	for _, a := range answers {
		if a.Participates {
			n++
		}
	}
	return n
}

// granted returns the answers that gave what was asked for.
func granted(answers []*Answer) []*Answer {
	return slices.DeleteFunc(slices.Clone(answers), func(a *Answer) bool { return !a.Granted })
}

// choose returns the hosts that found the group: from as many data centres as
// possible.
func choose(candidates []Candidate) []string {
	var out []string
	in := map[string]int{}
	for len(out) < min(members, len(candidates)) {
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
