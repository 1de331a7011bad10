// Package suspect distinguishes a failing host from a job kind that fails
// everywhere. A host is suspect if its failures are improbable given the failure
// rates of the same job kinds on other hosts. Suspect hosts are set aside, probed
// with an idempotent job, and returned to service after successful probes. The
// inventory checks every set-aside against the pool's floor.
package suspect

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Settings are the thresholds of the test and the intervals of the probes.
type Settings struct {
	// Window is the time over which runs count; they are dropped after one to
	// two windows.
	Window time.Duration
	// MinRuns is the least number of runs on a host, and of runs of the same
	// kinds elsewhere.
	MinRuns int
	// MinHosts is the least number of other hosts to compare with, and of hosts
	// that must have run a kind before it counts as faulty.
	MinHosts int
	// MinFailureRate is the least failure rate of a suspect host or kind.
	MinFailureRate float64
	// MaxPValue is the significance level: a host is suspect if a healthy host
	// shows as many failures with at most this probability. It is small because
	// all hosts are tested repeatedly.
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

// maxHostKinds bounds the pairs of host and kind in memory, for 5,600 hosts with a
// few kinds each. Runs beyond it are not counted until the next window.
const maxHostKinds = 32768

// Run is a finished attempt that ran on a host.
type Run struct {
	Host, Kind string
	Idempotent bool
	Failed     bool
	At         time.Time
}

// Host is the state of a host, given by the caller of Decide.
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

// Decision is an action with its reason. Kind is the job kind to probe with.
type Decision struct {
	Host   string
	Action Action
	Kind   string
	Reason string
}

// FaultyKind is a job kind that fails everywhere.
type FaultyKind struct{ Kind, Reason string }

type hostKind struct{ host, kind string }

type runCounts struct{ runs, failures int }

func (c runCounts) plus(o runCounts) runCounts {
	return runCounts{c.runs + o.runs, c.failures + o.failures}
}

func (c runCounts) minus(o runCounts) runCounts {
	return runCounts{c.runs - o.runs, c.failures - o.failures}
}

func (c runCounts) rate() float64 { return float64(c.failures) / float64(max(c.runs, 1)) }

type probeState struct {
	next      time.Time
	wait      time.Duration
	successes int
}

// Tracker counts runs and decides about hosts. It is soft state of the leader and
// not safe for concurrent use.
type Tracker struct {
	settings          Settings
	windowStart       time.Time
	current, previous map[hostKind]runCounts
	idempotent        map[string]bool
	probes            map[string]*probeState
}

// New returns a tracker without runs.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s, current: map[hostKind]runCounts{}, previous: map[hostKind]runCounts{},
		idempotent: map[string]bool{}, probes: map[string]*probeState{},
	}
}

func (t *Tracker) rotateWindows(now time.Time) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	if age := now.Sub(t.windowStart); age >= t.settings.Window {
		t.previous = t.current
		if age >= 2*t.settings.Window {
			t.previous = map[hostKind]runCounts{}
		}
		t.current, t.windowStart = map[hostKind]runCounts{}, now
		idempotent := map[string]bool{}
		for id := range t.previous {
			idempotent[id.kind] = t.idempotent[id.kind]
		}
		t.idempotent = idempotent
	}
}

// Record counts a finished run. Attempts that did not begin or whose outcome is
// unknown must not be recorded.
func (t *Tracker) Record(r Run) {
	t.rotateWindows(r.At)
	id := hostKind{r.Host, r.Kind}
	c, known := t.current[id]
	if !known && len(t.current) >= maxHostKinds {
		return
	}
	c.runs++
	if r.Failed {
		c.failures++
	}
	t.current[id] = c
	t.idempotent[r.Kind] = r.Idempotent
}

// RecordProbe records the result of a probe on a host that is set aside.
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

// totals holds the sums of both windows by host and by kind.
type totals struct {
	hosts map[string]map[string]runCounts
	kinds map[string]runCounts
	// hostCount is the number of hosts that ran a kind.
	hostCount map[string]int
}

func (t *Tracker) totals() *totals {
	e := &totals{hosts: map[string]map[string]runCounts{}, kinds: map[string]runCounts{}, hostCount: map[string]int{}}
	for _, window := range []map[hostKind]runCounts{t.current, t.previous} {
		for id, c := range window {
			if e.hosts[id.host] == nil {
				e.hosts[id.host] = map[string]runCounts{}
			}
			old, known := e.hosts[id.host][id.kind]
			if !known {
				e.hostCount[id.kind]++
			}
			e.hosts[id.host][id.kind] = old.plus(c)
			e.kinds[id.kind] = e.kinds[id.kind].plus(c)
		}
	}
	return e
}

// remove subtracts a host from the totals.
func (e *totals) remove(host string) {
	for kind, c := range e.hosts[host] {
		e.kinds[kind] = e.kinds[kind].minus(c)
		e.hostCount[kind]--
	}
	delete(e.hosts, host)
}

// suspectHost is a suspect host with the probability that a healthy host shows as
// many failures.
type suspectHost struct {
	host   string
	pValue float64
	reason string
}

// assess compares a host with the others by the kinds that have enough runs
// elsewhere. The expected failure rate is that of the same mix of kinds on the
// other hosts.
func (t *Tracker) assess(e *totals, host string) (suspectHost, bool) {
	own, others, expected := runCounts{}, runCounts{}, 0.0
	for kind, c := range e.hosts[host] {
		elsewhere := e.kinds[kind].minus(c)
		if elsewhere.runs < t.settings.MinRuns || e.hostCount[kind]-1 < t.settings.MinHosts {
			continue
		}
		own, others = own.plus(c), others.plus(elsewhere)
		// One failure and one success more than seen (the rule of succession),
		// so that few runs do not imply a rate of 0.
		rate := float64(elsewhere.failures+1) / float64(elsewhere.runs+2)
		expected += rate * float64(c.runs)
	}
	if own.runs < t.settings.MinRuns || own.rate() < t.settings.MinFailureRate {
		return suspectHost{}, false
	}
	pValue := binomialTail(own.runs, own.failures, expected/float64(own.runs))
	if pValue > t.settings.MaxPValue {
		return suspectHost{}, false
	}
	return suspectHost{host, pValue, fmt.Sprintf(
		"%d of %d runs failed here, %d of %d runs of the same job kinds failed elsewhere",
		own.failures, own.runs, others.failures, others.runs)}, true
}

// binomialTail is the probability of at least k failures in n independent runs with
// failure probability p.
func binomialTail(n, k int, p float64) float64 {
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

// suspects returns the suspect hosts, the least probable first. Each one found is
// removed from the totals, so that the failures of one failing host do not make
// those of another look normal.
func (t *Tracker) suspects(e *totals) []suspectHost {
	var out []suspectHost
	for {
		var worst *suspectHost
		for host := range e.hosts {
			f, ok := t.assess(e, host)
			if ok && (worst == nil || f.pValue < worst.pValue || (f.pValue == worst.pValue && f.host < worst.host)) {
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

// FaultyKinds returns the job kinds that reach MinRuns, MinHosts and
// MinFailureRate over all hosts but the suspect ones.
func (t *Tracker) FaultyKinds(now time.Time) []FaultyKind {
	t.rotateWindows(now)
	e := t.totals()
	t.suspects(e)
	var out []FaultyKind
	for kind, c := range e.kinds {
		if c.runs >= t.settings.MinRuns && e.hostCount[kind] >= t.settings.MinHosts && c.rate() >= t.settings.MinFailureRate {
			out = append(out, FaultyKind{kind, fmt.Sprintf("%d of %d runs failed on %d hosts", c.failures, c.runs, e.hostCount[kind])})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}

// Decide returns the actions that are due, ordered by kind of action, then by
// severity or name.
func (t *Tracker) Decide(now time.Time, hosts []Host) []Decision {
	t.rotateWindows(now)
	byName := map[string]Host{}
	setAside := map[string]int{}
	for _, h := range hosts {
		byName[h.Name] = h
		if h.SetAside {
			setAside[h.Pool]++
		}
	}
	e := t.totals()
	var out []Decision
	for _, f := range t.suspects(e) {
		h, ok := byName[f.host]
		if !ok || !h.Ready || setAside[h.Pool] >= t.settings.MaxPerPool {
			continue
		}
		setAside[h.Pool]++
		out = append(out, Decision{Host: f.host, Action: ActionSetAside, Reason: f.reason})
	}
	return append(out, t.probe(now, hosts, e)...)
}

// probe decides about the hosts that are set aside. e holds the totals without
// the suspect hosts.
func (t *Tracker) probe(now time.Time, hosts []Host, e *totals) []Decision {
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
			p = &probeState{next: now.Add(t.settings.ProbeAfter), wait: t.settings.ProbeAfter}
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
			// The set-aside was ended by other means, such as an operator's
			// order: the earlier failures no longer count.
			delete(t.probes, name)
			t.clearHost(name)
		}
	}
	return out
}

// clearHost drops the runs of a host, so that it is not set aside again for the
// same failures.
func (t *Tracker) clearHost(host string) {
	for _, window := range []map[hostKind]runCounts{t.current, t.previous} {
		for id := range window {
			if id.host == host {
				delete(window, id)
			}
		}
	}
}

// probeKind returns the idempotent kind with the lowest failure rate, or an empty
// string if that of every kind is MinFailureRate or more.
func (t *Tracker) probeKind(e *totals) string {
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
