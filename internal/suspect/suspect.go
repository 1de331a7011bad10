// Package suspect tells a host that fails everything from a job kind that
// fails everywhere. A host is suspect if its failures are improbable given how
// the same job kinds fare on other hosts. Suspect hosts are set aside, probed
// with an idempotent job, and returned after successful probes. The inventory
// checks every set-aside against the pool's floor.
package suspect

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Settings are the evidence thresholds.
type Settings struct {
	// Window is the time over which runs count; they are dropped after one to
	// two windows.
	Window time.Duration
	// MinRuns is the least number of runs on a host, and of runs of the same
	// kinds elsewhere.
	MinRuns int
	// MinHosts is the least number of other hosts to compare with, and of
	// hosts on which a kind must fail to be faulty itself.
	MinHosts int
	// MinFailureRate is the least failure rate of a suspect host or kind.
	MinFailureRate float64
	// MaxPValue is the greatest probability that a healthy host shows as many
	// failures. It is small because all hosts are tested again and again.
	MaxPValue float64
	// MaxPerPool bounds the hosts of a pool set aside at a time.
	MaxPerPool int
	// ProbeAfter is the time before the first probe; it doubles after each
	// failed probe up to MaxProbeAfter.
	ProbeAfter, MaxProbeAfter time.Duration
	// ProbeSuccesses is the number of successful probes in a row that return
	// a host.
	ProbeSuccesses int
}

// DefaultSettings returns thresholds for hosts with about 8 slots.
func DefaultSettings() Settings {
	return Settings{
		Window: 5 * time.Minute, MinRuns: 6, MinHosts: 2, MinFailureRate: 0.5, MaxPValue: 1e-5,
		MaxPerPool: 1, ProbeAfter: 30 * time.Second, MaxProbeAfter: 10 * time.Minute, ProbeSuccesses: 2,
	}
}

// maxCells bounds the pairs of host and kind in memory, for 5,600 hosts with a
// few kinds each. Runs beyond it are not counted until the window turns.
const maxCells = 32768

// Run is a finished attempt that ran on a host.
type Run struct {
	Host, Kind string
	Idempotent bool
	Failed     bool
	At         time.Time
}

// Host is a host as the caller knows it.
type Host struct {
	Name, Pool string
	// Ready hosts may be set aside. SetAside hosts are probed.
	Ready, SetAside bool
}

// Action is what to do with a host.
type Action string

// Actions.
const (
	ActionSetAside Action = "set_aside"
	ActionProbe    Action = "probe"
	ActionResume   Action = "resume"
)

// Decision is an action with its reason. Kind is the kind to probe with.
type Decision struct {
	Host   string
	Action Action
	Kind   string
	Reason string
}

// FaultyKind is a job kind that fails everywhere.
type FaultyKind struct{ Kind, Reason string }

type cellID struct{ host, kind string }

type cell struct{ runs, failures int }

func (c cell) plus(o cell) cell { return cell{c.runs + o.runs, c.failures + o.failures} }

func (c cell) minus(o cell) cell { return cell{c.runs - o.runs, c.failures - o.failures} }

func (c cell) rate() float64 { return float64(c.failures) / float64(max(c.runs, 1)) }

type probing struct {
	next      time.Time
	wait      time.Duration
	successes int
}

// Tracker collects runs and decides. It is soft state of the leader and not
// safe for concurrent use.
type Tracker struct {
	settings      Settings
	turned        time.Time
	current, past map[cellID]cell
	idempotent    map[string]bool
	probes        map[string]*probing
}

// New returns a tracker without evidence.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s, current: map[cellID]cell{}, past: map[cellID]cell{},
		idempotent: map[string]bool{}, probes: map[string]*probing{},
	}
}

func (t *Tracker) turn(now time.Time) {
	if t.turned.IsZero() {
		t.turned = now
	}
	if age := now.Sub(t.turned); age >= t.settings.Window {
		t.past = t.current
		if age >= 2*t.settings.Window {
			t.past = map[cellID]cell{}
		}
		t.current, t.turned = map[cellID]cell{}, now
		idempotent := map[string]bool{}
		for id := range t.past {
			idempotent[id.kind] = t.idempotent[id.kind]
		}
		t.idempotent = idempotent
	}
}

// Record takes a finished run. Attempts that did not begin or whose outcome is
// unknown are no evidence and must not be recorded.
func (t *Tracker) Record(r Run) {
	t.turn(r.At)
	id := cellID{r.Host, r.Kind}
	c, known := t.current[id]
	if !known && len(t.current) >= maxCells {
		return
	}
	c.runs++
	if r.Failed {
		c.failures++
	}
	t.current[id] = c
	t.idempotent[r.Kind] = r.Idempotent
}

// RecordProbe takes the result of a probe on a host that is set aside.
func (t *Tracker) RecordProbe(host string, failed bool, now time.Time) {
	p := t.probes[host]
	if p == nil {
		return
	}
	if failed {
		p.successes = 0
		p.wait = min(2*p.wait, t.settings.MaxProbeAfter)
	} else {
		p.successes++
	}
	p.next = now.Add(p.wait)
}

// evidence is the sum of both windows, by host and by kind.
type evidence struct {
	hosts map[string]map[string]cell
	kinds map[string]cell
	// spread is the number of hosts by kind.
	spread map[string]int
}

func (t *Tracker) evidence() *evidence {
	e := &evidence{hosts: map[string]map[string]cell{}, kinds: map[string]cell{}, spread: map[string]int{}}
	for _, window := range []map[cellID]cell{t.current, t.past} {
		for id, c := range window {
			if e.hosts[id.host] == nil {
				e.hosts[id.host] = map[string]cell{}
			}
			old, known := e.hosts[id.host][id.kind]
			if !known {
				e.spread[id.kind]++
			}
			e.hosts[id.host][id.kind] = old.plus(c)
			e.kinds[id.kind] = e.kinds[id.kind].plus(c)
		}
	}
	return e
}

// remove takes a host out of the comparison.
func (e *evidence) remove(host string) {
	for kind, c := range e.hosts[host] {
		e.kinds[kind] = e.kinds[kind].minus(c)
		e.spread[kind]--
	}
	delete(e.hosts, host)
}

// finding is a suspect host and how improbable its failures are.
type finding struct {
	host   string
	chance float64
	reason string
}

// judge compares a host with the others on the kinds that have enough runs
// elsewhere. The expected failure rate is that of the same mix of kinds.
func (t *Tracker) judge(e *evidence, host string) (finding, bool) {
	own, others, expected := cell{}, cell{}, 0.0
	for kind, c := range e.hosts[host] {
		elsewhere := e.kinds[kind].minus(c)
		if elsewhere.runs < t.settings.MinRuns || e.spread[kind]-1 < t.settings.MinHosts {
			continue
		}
		own, others = own.plus(c), others.plus(elsewhere)
		// One failure more than seen, so that few runs do not prove a rate of 0.
		rate := float64(elsewhere.failures+1) / float64(elsewhere.runs+2)
		expected += rate * float64(c.runs)
	}
	if own.runs < t.settings.MinRuns || own.rate() < t.settings.MinFailureRate {
		return finding{}, false
	}
	chance := tail(own.runs, own.failures, expected/float64(own.runs))
	if chance > t.settings.MaxPValue {
		return finding{}, false
	}
	return finding{host, chance, fmt.Sprintf(
		"%d of %d runs failed here, %d of %d runs of the same job kinds failed elsewhere",
		own.failures, own.runs, others.failures, others.runs)}, true
}

// tail is the probability of at least k failures in n independent runs with
// failure probability p.
func tail(n, k int, p float64) float64 {
	if p >= 1 {
		return 1
	}
	sum, logP, logQ := 0.0, math.Log(p), math.Log1p(-p)
	lgamma := func(x int) float64 { v, _ := math.Lgamma(float64(x) + 1); return v }
	for i := k; i <= n; i++ {
		sum += math.Exp(lgamma(n) - lgamma(i) - lgamma(n-i) + float64(i)*logP + float64(n-i)*logQ)
	}
	return min(sum, 1)
}

// suspects returns the suspect hosts, worst first. Each one found is taken out
// of the comparison, so that several failing hosts do not excuse each other.
func (t *Tracker) suspects(e *evidence) []finding {
	var out []finding
	for {
		var worst *finding
		for host := range e.hosts {
			f, ok := t.judge(e, host)
			if ok && (worst == nil || f.chance < worst.chance || (f.chance == worst.chance && f.host < worst.host)) {
				worst = &f
			}
		}
		if worst == nil {
			return out
		}
		out = append(out, *worst)
		e.remove(worst.host)
	}
}

// FaultyKinds returns the kinds that fail on every host that ran them often
// enough, while suspect hosts are left out.
func (t *Tracker) FaultyKinds(now time.Time) []FaultyKind {
	t.turn(now)
	e := t.evidence()
	t.suspects(e)
	var out []FaultyKind
	for kind, c := range e.kinds {
		if c.runs >= t.settings.MinRuns && e.spread[kind] >= t.settings.MinHosts && c.rate() >= t.settings.MinFailureRate {
			out = append(out, FaultyKind{kind, fmt.Sprintf("%d of %d runs failed on %d hosts", c.failures, c.runs, e.spread[kind])})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}

// Decide returns the actions that are due, ordered by kind of action, then by
// severity or name.
func (t *Tracker) Decide(now time.Time, hosts []Host) []Decision {
	t.turn(now)
	byName := map[string]Host{}
	aside := map[string]int{}
	for _, h := range hosts {
		byName[h.Name] = h
		if h.SetAside {
			aside[h.Pool]++
		}
	}
	e := t.evidence()
	var out []Decision
	for _, f := range t.suspects(e) {
		h, ok := byName[f.host]
		if !ok || !h.Ready || aside[h.Pool] >= t.settings.MaxPerPool {
			continue
		}
		aside[h.Pool]++
		out = append(out, Decision{Host: f.host, Action: ActionSetAside, Reason: f.reason})
	}
	return append(out, t.probe(now, hosts, e)...)
}

// probe decides about the hosts that are set aside. e is without the suspects.
func (t *Tracker) probe(now time.Time, hosts []Host, e *evidence) []Decision {
	seen := map[string]bool{}
	var out []Decision
	sorted := append([]Host(nil), hosts...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	for _, h := range sorted {
		if !h.SetAside {
			continue
		}
		seen[h.Name] = true
		p := t.probes[h.Name]
		if p == nil {
			p = &probing{next: now.Add(t.settings.ProbeAfter), wait: t.settings.ProbeAfter}
			t.probes[h.Name] = p
		}
		if p.successes >= t.settings.ProbeSuccesses {
			delete(t.probes, h.Name)
			t.clearHost(h.Name)
			out = append(out, Decision{Host: h.Name, Action: ActionResume, Reason: fmt.Sprintf("%d probes in a row succeeded", p.successes)})
			continue
		}
		kind := t.probeKind(e)
		if now.Before(p.next) || kind == "" {
			continue
		}
		p.next = now.Add(p.wait)
		out = append(out, Decision{Host: h.Name, Action: ActionProbe, Kind: kind, Reason: "probe with a job kind that succeeds elsewhere"})
	}
	for name := range t.probes {
		if !seen[name] {
			// Somebody else ended the set-aside; its failures are settled.
			delete(t.probes, name)
			t.clearHost(name)
		}
	}
	return out
}

// clearHost forgets the failures that led to the set-aside, so that the host
// is not set aside again for them.
func (t *Tracker) clearHost(host string) {
	for _, window := range []map[cellID]cell{t.current, t.past} {
		for id := range window {
			if id.host == host {
				delete(window, id)
			}
		}
	}
}

// probeKind returns the idempotent kind with the lowest failure rate, or an
// empty string if none is known to succeed.
func (t *Tracker) probeKind(e *evidence) string {
	best, bestRate := "", t.settings.MinFailureRate
	for kind, c := range e.kinds {
		if !t.idempotent[kind] || c.runs == 0 {
			continue
		}
		if rate := c.rate(); rate < bestRate || (rate == bestRate && best != "" && kind < best) {
			best, bestRate = kind, rate
		}
	}
	return best
}
