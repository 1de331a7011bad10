// Package bootstrap agrees on the initial members of the region's core. At the first
// start no host knows the members: the seeds may be core hosts or entry hosts. Core
// hosts register with the seeds as candidates, and one of them proposes the initial
// members by single-decree Paxos, with the seeds as acceptors. The protocol runs once,
// before the group has any state.
package bootstrap

import (
	"cmp"
	"slices"
	"sync"
)

// Candidate is a core host that may become one of the initial members.
type Candidate struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
}

// Ballot is a Paxos ballot: proposals are ordered by it, and Host makes it unique.
type Ballot struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Host   string `cbor:"2,keyasint,omitempty"`
}

// compare orders ballots by number, then by host.
func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Host, other.Host))
}

// Request registers a candidate. With Ballot alone it is a Paxos prepare request, with
// Members as well an accept request. Decided announces the decision.
type Request struct {
	Candidate Candidate `cbor:"1,keyasint"`
	Ballot    Ballot    `cbor:"2,keyasint,omitempty"`
	Members   []string  `cbor:"3,keyasint,omitempty"`
	Decided   []string  `cbor:"4,keyasint,omitempty"`
}

// Answer is the state of an acceptor.
type Answer struct {
	// Participates is set by acceptors that were started at the first start of the
	// region. Others do not take part.
	Participates bool        `cbor:"1,keyasint,omitempty"`
	Candidates   []Candidate `cbor:"2,keyasint,omitempty"`
	// Granted is set if the acceptor promised the ballot or accepted the members.
	Granted bool `cbor:"3,keyasint,omitempty"`
	// Promised is the highest ballot that the acceptor has promised.
	Promised Ballot `cbor:"4,keyasint,omitempty"`
	// AcceptedAt is the ballot of the last accepted proposal, and Accepted its members.
	AcceptedAt Ballot   `cbor:"5,keyasint,omitempty"`
	Accepted   []string `cbor:"6,keyasint,omitempty"`
	Decided    []string `cbor:"7,keyasint,omitempty"`
	// GroupExists is set by hosts that know a leader: the group exists already.
	GroupExists bool `cbor:"8,keyasint,omitempty"`
}

// maxCandidates bounds the number of registered candidates.
const maxCandidates = 64

// Acceptor is the Paxos acceptor of a seed. Its state is only in memory: a process
// that has restarted does not take part, so that it cannot break its promises.
type Acceptor struct {
	// active is set at the first start of the region only.
	active bool

	mu    sync.Mutex
	state Answer
}

// NewAcceptor returns the acceptor of a process. It only takes part at the first start
// of the region.
func NewAcceptor(firstStart bool) *Acceptor { return &Acceptor{active: firstStart} }

// Handle processes a request and returns the resulting state.
func (a *Acceptor) Handle(r *Request) *Answer {
	if !a.active {
		return &Answer{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.state
	if r.Candidate.Host != "" && !slices.Contains(s.Candidates, r.Candidate) && len(s.Candidates) < maxCandidates {
		s.Candidates = append(slices.Clone(s.Candidates), r.Candidate)
	}
	if len(r.Decided) > 0 {
		s.Decided = r.Decided
	}
	granted := r.Ballot.Number > 0 && r.Ballot.compare(s.Promised) >= 0
	if granted {
		s.Promised = r.Ballot
		if len(r.Members) > 0 {
			s.AcceptedAt, s.Accepted = r.Ballot, r.Members
		}
	}
	answer := *s
	answer.Participates, answer.Granted = true, granted
	return &answer
}
