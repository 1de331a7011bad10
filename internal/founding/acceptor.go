// Package founding agrees on the first members of the region's core. At the
// first start no host knows where the core is: the seeds may be hosts of the
// core or entry hosts. Hosts of the core register with the seeds, and one of
// them proposes the first members in the manner of single-decree Paxos, with the
// seeds as acceptors. It is used once, before the group has any state.
package founding

import (
	"cmp"
	"slices"
	"sync"
)

// Candidate is a host of the core that may become one of the first members.
type Candidate struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
}

// Ballot orders proposals. Host makes it unique.
type Ballot struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	Host   string `cbor:"2,keyasint,omitempty"`
}

// compare orders ballots.
func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Host, other.Host))
}

// Request registers a candidate. With a ballot it asks for a promise, and with
// Members as well for their acceptance. Decided tells what was decided.
type Request struct {
	Candidate Candidate `cbor:"1,keyasint"`
	Ballot    Ballot    `cbor:"2,keyasint,omitempty"`
	Members   []string  `cbor:"3,keyasint,omitempty"`
	Decided   []string  `cbor:"4,keyasint,omitempty"`
}

// Answer is what an acceptor knows.
type Answer struct {
	// Participates is set by hosts that take part; others were started later.
	Participates bool        `cbor:"1,keyasint,omitempty"`
	Candidates   []Candidate `cbor:"2,keyasint,omitempty"`
	// Granted is set if the promise was given or the members were accepted.
	Granted bool `cbor:"3,keyasint,omitempty"`
	// Promised is the highest ballot that was promised.
	Promised Ballot `cbor:"4,keyasint,omitempty"`
	// Accepted are the members that were accepted at a ballot.
	AcceptedAt Ballot   `cbor:"5,keyasint,omitempty"`
	Accepted   []string `cbor:"6,keyasint,omitempty"`
	Decided    []string `cbor:"7,keyasint,omitempty"`
	// GroupExists is set by hosts that know a leader: the group was founded before.
	GroupExists bool `cbor:"8,keyasint,omitempty"`
}

// maxCandidates bounds the hosts that register.
const maxCandidates = 64

// Acceptor is the part of a seed. It lives in memory: a process that was
// started again takes no part, so that it cannot break its promises.
type Acceptor struct {
	// active is set at the first start of the region.
	active bool

	mu    sync.Mutex
	state Answer
}

// NewAcceptor returns the acceptor of a process. Only at the first start of the
// region does it take part.
func NewAcceptor(firstStart bool) *Acceptor { return &Acceptor{active: firstStart} }

// Handle answers a request.
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
