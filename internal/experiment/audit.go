package experiment

import (
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Violation is an invariant that a step broke.
type Violation struct {
	At           time.Duration
	Rule, Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("at %s: %s: %s", v.At, v.Rule, v.Detail)
}

// Rules that hold after every step.
const (
	ruleSlots  = "a slot is used once and counted in the ledger of its host"
	ruleStarts = "a request starts once, and again only after its run was lost"
	rulePlaces = "an open request is in exactly one place"
)

// audit checks the invariants from the fake executors and the messages, not
// from the ledgers' own accounts.
type audit struct {
	starts, cuts map[string]int // by key in the home's ledger
	broken       *Violation
}

func newAudit() *audit { return &audit{starts: map[string]int{}, cuts: map[string]int{}} }

// started notes the start of a run.
func (a *audit) started(key string) {
	a.starts[key]++
	if a.starts[key] > 1+a.cuts[key] && a.broken == nil {
		a.broken = &Violation{Rule: ruleStarts, Detail: fmt.Sprintf("request %s, start %d after %d lost runs", key, a.starts[key], a.cuts[key])}
	}
}

// cut notes the loss of a run.
func (a *audit) cut(key string) { a.cuts[key]++ }

// check returns the first rule that does not hold.
func (a *audit) check(reg *region) error {
	if a.broken != nil {
		a.broken.At = reg.now
		return a.broken
	}
	places := make(map[string]int, len(reg.open))
	for _, c := range reg.centres {
		if v := a.checkSlots(c); v != nil {
			return v
		}
		for i := range c.executors {
			places[c.homeKey(c.executors[i].key)]++
		}
		for i := range c.cut {
			places[c.homeKey(c.cut[i].key)]++
		}
		for _, svc := range services {
			for _, r := range c.ledger.Queued(svc.name, maxInspected) {
				places[c.homeKey(r.Key)]++
			}
		}
		for _, r := range c.ledger.AwaitingRetry() {
			places[c.homeKey(r.Key)]++
		}
	}
	for i := range reg.mail {
		places[reg.mail[i].h.key]++
	}
	return a.checkPlaces(reg, places)
}

// maxInspected is larger than any queue of the recorded demand.
const maxInspected = 10_000

func (a *audit) checkPlaces(reg *region, places map[string]int) error {
	for key := range reg.open {
		if places[key] != 1 {
			return &Violation{reg.now, rulePlaces, fmt.Sprintf("request %s is in %d places", key, places[key])}
		}
	}
	if len(places) != len(reg.open) {
		return &Violation{reg.now, rulePlaces, fmt.Sprintf("%d requests in places, %d open", len(places), len(reg.open))}
	}
	return nil
}

func (a *audit) checkSlots(c *centre) error {
	used := map[string]int{}
	for i := range c.executors {
		used[c.executors[i].host]++
	}
	for _, name := range c.names {
		if c.hosts[name].State != model.HostReady || c.failed[name] {
			continue
		}
		if n := c.ledger.HeldSlots(name); used[name] > slotsPerHost || used[name] != n {
			return &Violation{c.now, ruleSlots, fmt.Sprintf("host %s: %d runs, %d in its ledger", name, used[name], n)}
		}
	}
	return nil
}
