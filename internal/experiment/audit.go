package experiment

import (
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Violation reports that an invariant does not hold after a step.
type Violation struct {
	At           time.Duration
	Rule, Detail string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("at %s: %s: %s", v.At, v.Rule, v.Detail)
}

// Invariants that must hold after every step.
const (
	ruleSlots  = "a slot is used once and counted in the ledger of its host"
	ruleStarts = "a request starts once, and again only after its run was lost"
	rulePlaces = "an open request is in exactly one place"
)

// audit checks the invariants. It counts the runs on the fake targets and the
// messages in flight itself, so that a wrong ledger cannot hide a violation.
type audit struct {
	starts, losses map[string]int // by key in the home's ledger
	broken         *Violation
}

func newAudit() *audit { return &audit{starts: map[string]int{}, losses: map[string]int{}} }

// started records the start of a run.
func (a *audit) started(key string) {
	a.starts[key]++
	if a.starts[key] > 1+a.losses[key] && a.broken == nil {
		a.broken = &Violation{Rule: ruleStarts, Detail: fmt.Sprintf("request %s, start %d after %d lost runs", key, a.starts[key], a.losses[key])}
	}
}

// lost records the loss of a run, after which the request may start again.
func (a *audit) lost(key string) { a.losses[key]++ }

// check returns a *Violation for the first invariant that does not hold.
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
		for i := range c.activeRuns {
			places[c.homeKey(c.activeRuns[i].key)]++
		}
		for i := range c.lost {
			places[c.homeKey(c.lost[i].key)]++
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
	for i := range reg.messages {
		places[reg.messages[i].h.key]++
	}
	return a.checkPlaces(reg, places)
}

// maxInspected is larger than any queue that the generated demand leads to.
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
	for i := range c.activeRuns {
		used[c.activeRuns[i].host]++
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
