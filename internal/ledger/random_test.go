package ledger_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

// groundTruth is what really happened to an attempt. The ledger sees only reports.
type groundTruth struct {
	host, incarnation string
	ran, notBegun     bool
	stopped           bool // at a checkpoint, with or without an order
}

// simulation drives a ledger with random commands against fake targets. A target
// may run any assigned attempt at any time, also after the ledger counts it as
// lost, unless it was reported as not begun or its incarnation has ended.
type simulation struct {
	*fixture
	rng          *rand.Rand
	copy         *ledger.State // restored from a snapshot, then applied in step
	truth        map[string]map[int]*groundTruth
	proven       map[string]*model.Request // done and not_run requests
	coverage     map[string]int            // outcomes reached, for the coverage of the run
	bodies       map[string]ledger.Claim   // accepted claims
	keyExpiry    map[string]hlc.Time       // when the key of a finished request may expire
	unknownSince map[string]hlc.Time       // finish times of requests that ended as unknown
	refs         map[string]bool           // references that targets gave
	// moving makes most claims long work that is moved many times.
	moving bool
	// counted holds what countOnce has counted.
	counted map[string]bool
}

func newSimulation(seed uint64) *simulation {
	limits := ledger.DefaultLimits()
	limits.MaxRequests, limits.MaxQueuedPerPool = 40, 15
	limits.AnswerRetention, limits.KeyRetention = 20*time.Second, 60*time.Second
	limits.MaxKeys = 15
	if seed%2 == 1 {
		limits.AnswerRetention, limits.KeyRetention = 5*time.Second, 30*time.Second
	}
	if seed%8 == 7 {
		limits.MaxKeys = 0
	}
	return &simulation{
		fixture: newFixture(limits), rng: rand.New(rand.NewPCG(seed, 1)), copy: ledger.New(limits),
		truth: map[string]map[int]*groundTruth{}, proven: map[string]*model.Request{}, coverage: map[string]int{},
		bodies: map[string]ledger.Claim{}, keyExpiry: map[string]hlc.Time{}, unknownSince: map[string]hlc.Time{},
		refs: map[string]bool{}, counted: map[string]bool{},
	}
}

// newRandomSimulation returns a simulation in which all hosts but h2 can
// checkpoint.
func newRandomSimulation(seed uint64) *simulation {
	h := newSimulation(seed)
	h.moving = seed%2 == 1
	for _, name := range []string{"h1", "s1"} {
		host := h.hosts[name]
		host.Info.Capabilities = []model.Capability{model.CapabilityCheckpoint}
		h.hosts[name] = host
	}
	return h
}

func pick[T any](h *simulation, values ...T) T { return values[h.rng.IntN(len(values))] }

func (h *simulation) key() string { return fmt.Sprintf("k%d", h.rng.IntN(60)) }

func (h *simulation) applyBoth(cmd ledger.Command) ledger.Result {
	c := h.ctx()
	res, events := h.state.Apply(c, &cmd)
	other, otherEvents := h.copy.Apply(c, &cmd)
	must(reflect.DeepEqual(otherEvents, events), "a restored replica gives other events")
	must(reflect.DeepEqual(other, res), "a restored replica gives another result")
	return res
}

func (h *simulation) step() {
	key := h.key()
	switch h.rng.IntN(26) {
	case 22, 23, 24, 25:
		h.orderCheckpoints()
	case 0, 1, 2, 3:
		c := ledger.Claim{Key: key, Kind: pick(h, "order", "draw", "proof", "archive", "convert", "convert", "render", "huge"), Team: pick(h, "shop", "small"), Payload: []byte("p")}
		if h.moving && h.rng.IntN(4) > 0 {
			c.Kind = "convert"
		}
		if h.rng.IntN(4) > 0 && (!h.moving || c.Kind != "convert") {
			c.Deadline = h.now.Add(time.Duration(h.rng.IntN(30)-1) * time.Second)
		}
		h.claimBody(c)
	case 4, 5, 6, 7:
		if h.rng.IntN(2) == 0 {
			h.readyHosts()
		}
		h.dispatchSome()
	case 8, 9, 10:
		h.runAttempt()
	case 11, 12, 13:
		h.reportSome()
	case 14:
		h.applyBoth(ledger.Command{Cancel: &ledger.Cancel{Key: key, Actor: "caller"}})
	case 15:
		h.applyBoth(ledger.Command{Park: &ledger.Park{Key: key, Reason: pick(h, "", "large")}})
	case 16:
		rt := ledger.Retry{Key: key, Attempt: 1 + h.rng.IntN(4), Refused: h.rng.IntN(4) == 0, NotBefore: h.now}
		if ended := h.state.AwaitingRetry(); len(ended) > 0 && h.rng.IntN(4) > 0 {
			r := pick(h, ended...)
			rt.Key, rt.Attempt = r.Key, r.Attempts[len(r.Attempts)-1].Number
		}
		h.applyBoth(ledger.Command{Retry: &rt})
	case 17:
		h.advance(time.Duration(h.rng.IntN(3000)) * time.Millisecond)
		h.applyBoth(ledger.Command{Expire: &ledger.Expire{}})
	case 18:
		h.changeHost()
	case 19:
		data, err := h.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		h.copy = restored(data)
	case 20, 21:
		h.resend()
	}
}

// claimBody claims a key and compares the answer with the accepted claims: a
// known key gives its request for an equal body and key_reused for another.
func (h *simulation) claimBody(c ledger.Claim) {
	known, ok := h.state.Get(c.Key)
	first := h.bodies[c.Key]
	equal := first.Kind == c.Kind && first.Team == c.Team && bytes.Equal(first.Payload, c.Payload)
	res := h.applyBoth(ledger.Command{Claim: &c})
	switch {
	case ok && equal:
		must(res.Err == nil && reflect.DeepEqual(res.Request, known), "resend of %s gives %v", c.Key, res.Err)
	case ok:
		must(fault.CodeOf(res.Err) == fault.CodeKeyReused, "%s with another body gives %v", c.Key, res.Err)
	case res.Err == nil:
		must(res.Request.State == model.RequestQueued, "new request %s is %s", c.Key, res.Request.State)
		h.bodies[c.Key] = c
	default:
		var full *fault.LimitExceeded
		if errors.As(res.Err, &full) && full.What == "keys of non-idempotent requests" {
			h.coverage["keys full"]++
		}
		return
	}
	if ok && known.DetailsExpired {
		h.coverage[fmt.Sprintf("reduced resent, equal body %t", equal)]++
	}
}

// resend claims the key of a reduced request again, in half of the cases with
// another body.
func (h *simulation) resend() {
	var reduced []*model.Request
	for _, r := range h.state.Recent(1000) {
		if r.DetailsExpired {
			reduced = append(reduced, r)
		}
	}
	if len(reduced) == 0 {
		return
	}
	c := h.bodies[pick(h, reduced...).Key]
	c.Payload = []byte(pick(h, "p", "q"))
	h.claimBody(c)
}

func restored(data []byte) *ledger.State {
	s := newSimulation(0).copy
	Expect(s.Restore(data)).To(Succeed())
	return s
}

func (h *simulation) dispatchSome() {
	items := make([]ledger.DispatchItem, 1+h.rng.IntN(4))
	for i := range items {
		items[i] = ledger.DispatchItem{
			Key: h.key(), Attempt: 1 + h.rng.IntN(3), Host: pick(h, "h1", "h2", "s1"), CPUMillis: h.rng.IntN(3) * 500,
			Owner: pick(h, "e1", "e2"), OwnerIncarnation: "p1", LentBy: pick(h, "", "", "spare"),
		}
		if queued := h.state.Queued("plot", 1000); len(queued) > 0 && h.rng.IntN(4) > 0 {
			items[i].Key = pick(h, queued...).Key
		}
		for _, r := range h.state.Queued("plot", 1000) {
			if len(r.Checkpoint) > 0 && h.rng.IntN(2) == 0 {
				// Moved requests are rare, and the test must cover their continuation.
				items[i].Key, items[i].Host, items[i].LentBy = r.Key, "h1", ""
			}
		}
		if r, ok := h.state.Get(items[i].Key); ok && h.rng.IntN(8) > 0 {
			items[i].Attempt = 1
			if n := len(r.Attempts); n > 0 {
				items[i].Attempt = r.Attempts[n-1].Number + 1
			}
		}
	}
	for _, d := range h.applyBoth(ledger.Command{Dispatch: &ledger.Dispatch{Items: items}}).Dispatched {
		if h.truth[d.Key] == nil {
			h.truth[d.Key] = map[int]*groundTruth{}
		}
		h.truth[d.Key][d.Attempt] = &groundTruth{host: d.Host, incarnation: h.hosts[d.Host].Info.Incarnation}
	}
}

// orderCheckpoints drains a host, as a wave does, and orders the checkpoints of
// random attempts, movable or not.
func (h *simulation) orderCheckpoints() {
	name := pick(h, "h1", "h2", "s1")
	for _, a := range h.state.OpenAttempts() {
		if a.Checkpointable && h.rng.IntN(2) == 0 {
			name = a.Host
		}
	}
	if host := h.hosts[name]; host.State == model.HostReady && h.rng.IntN(4) > 0 {
		host.State = model.HostDraining
		h.hosts[name] = host
	}
	c := ledger.Checkpoint{Reason: "wave", Actor: "wave", Attempts: []ledger.CheckpointItem{{Key: h.key(), Attempt: 1}}}
	for _, a := range h.state.OpenAttempts() {
		if h.rng.IntN(4) > 0 {
			c.Attempts = append(c.Attempts, ledger.CheckpointItem{Key: a.Key, Attempt: a.Attempt})
		}
	}
	h.applyBoth(ledger.Command{Checkpoint: &c})
}

// stop lets a running attempt end at a checkpoint and returns the report of it.
func (h *simulation) stop(key string, n int, s *groundTruth) model.AttemptReport {
	s.stopped = true
	ref := pick(h, nil, []byte(fmt.Sprintf("%s/%d", key, n)), []byte(fmt.Sprintf("%s/%d", key, n)), make([]byte, model.MaxCheckpointBytes+1))
	h.refs[string(ref)] = true
	return model.AttemptReport{Key: key, Attempt: n, State: model.AttemptCheckpointed, Checkpoint: ref}
}

// attempt returns a random attempt of a known request and its ground truth.
func (h *simulation) attempt() (string, int, *groundTruth) {
	var tried []*model.Request
	for _, r := range h.state.Recent(1000) {
		if len(r.Attempts) > 0 {
			tried = append(tried, r)
		}
	}
	if len(tried) == 0 {
		return "", 0, nil
	}
	r := pick(h, tried...)
	n := pick(h, r.Attempts...).Number
	for _, open := range tried {
		// Continued attempts are rare, and the test must cover how they end.
		last := &open.Attempts[len(open.Attempts)-1]
		if (last.FromCheckpoint || last.CheckpointOrdered) && last.State == model.AttemptAssigned && h.rng.IntN(2) == 0 {
			r, n = open, last.Number
		}
	}
	return r.Key, n, h.truth[r.Key][n]
}

func (h *simulation) runAttempt() {
	_, _, s := h.attempt()
	if s != nil && !s.notBegun && h.hosts[s.host].Info.Incarnation == s.incarnation {
		s.ran = true
	}
}

// reportSome sends a true report: a result only for an attempt that ran, and
// not_begun only for one that did not and never will. Unknown is always allowed.
func (h *simulation) reportSome() {
	key, n, s := h.attempt()
	if s == nil {
		key, n = h.key(), 9
		h.applyBoth(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{{Key: key, Attempt: n, State: model.AttemptSucceeded}}}})
		return
	}
	if h.moving && !s.notBegun && h.hosts[s.host].Info.Incarnation == s.incarnation && h.rng.IntN(4) > 0 {
		s.ran = true
	}
	state := pick(h, model.AttemptSucceeded, model.AttemptFailed)
	switch {
	case h.rng.IntN(4) == 0:
		state = model.AttemptUnknown
	case !s.ran:
		state, s.notBegun = model.AttemptNotBegun, true
	}
	rep := model.AttemptReport{Key: key, Attempt: n, State: state, Answer: []byte("answer")}
	ordered := false
	if r, ok := h.state.Get(key); ok {
		for i := range r.Attempts {
			ordered = ordered || r.Attempts[i].Number == n && r.Attempts[i].CheckpointOrdered
		}
	}
	if s.ran && state != model.AttemptUnknown && (s.stopped || ordered && h.rng.IntN(4) > 0 || h.rng.IntN(20) == 0) {
		rep = h.stop(key, n, s)
	}
	h.applyBoth(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{rep}}})
}

// readyHosts returns draining hosts to service, as the end of a wave step does.
func (h *simulation) readyHosts() {
	for _, name := range []string{"h1", "h2", "s1"} {
		if host := h.hosts[name]; host.State == model.HostDraining && h.rng.IntN(2) == 0 {
			host.State = model.HostReady
			h.hosts[name] = host
		}
	}
}

func (h *simulation) changeHost() {
	name := pick(h, "h1", "h2", "s1")
	host := h.hosts[name]
	old := host.Info.Incarnation
	switch h.rng.IntN(7) {
	case 0:
		host.State = pick(h, model.HostReady, model.HostReady, model.HostDraining)
	case 1:
		host.Info.Leaving = !host.Info.Leaving
	case 2:
		host.Info.Incarnation = fmt.Sprintf("i%d", h.index)
		fallthrough
	case 3, 4, 5:
		host.State, host.Info.Leaving = model.HostReady, false
	case 6:
		host.State = model.HostLost
	}
	h.hosts[name] = host
	if host.State == model.HostLost || host.Info.Incarnation != old {
		c := h.ctx()
		events := h.state.HostLost(c, name, old, "lost")
		Expect(h.copy.HostLost(c, name, old, "lost")).To(Equal(events))
	}
}

// check compares the ledger with the ground truth and its counters with counts
// over all requests.
func (h *simulation) check() {
	type use struct{ slots, cpu, memory, accelerators int }
	queued, running, teams, hosts := 0, 0, map[string]int{}, map[string]use{}
	ended, keys := 0, 0
	for _, r := range h.state.Recent(1000) {
		begun, assigned := 0, false
		for _, a := range r.Attempts {
			if a.State != model.AttemptNotBegun {
				begun++
			}
			assigned = assigned || a.State == model.AttemptAssigned
			open := a.State == model.AttemptAssigned || a.State == model.AttemptUnknown
			if open && a.TargetIncarnation == h.hosts[a.Host].Info.Incarnation {
				u := hosts[a.Host]
				hosts[a.Host] = use{u.slots + 1, u.cpu + a.CPUMillis, u.memory + a.MemoryMB, u.accelerators + r.Accelerators}
			}
		}
		ran := 0
		for _, s := range h.truth[r.Key] {
			if s.ran {
				ran++
			}
		}
		h.checkRequest(r, begun, ran)
		if !r.Idempotent {
			keys++
		}
		h.checkCheckpoints(r)
		switch r.State {
		case model.RequestQueued:
			queued++
		case model.RequestDispatched:
			running++
			teams[r.Team]++
			if !assigned {
				ended++
			}
		}
	}
	must(h.state.KeyCount() == keys, "%d keys, counted %d", h.state.KeyCount(), keys)
	must(h.state.Limits().MaxKeys == 0 || keys <= h.state.Limits().MaxKeys, "%d keys", keys)
	must(h.state.QueuedCount("plot") == queued && len(h.state.Queued("plot", 1000)) == queued, "queued count")
	must(h.state.RunningCount("plot") == running, "running count")
	must(len(h.state.AwaitingRetry()) == ended, "requests that await a retry")
	must(h.state.TeamRunning("small") == teams["small"] && teams["small"] <= 1, "running requests of the team")
	for name, host := range h.hosts {
		u := hosts[name]
		cpu, memory, accelerators := h.state.Reserved(name)
		got := use{h.state.HeldSlots(name), cpu, memory, accelerators}
		must(got == u, "host %s holds %v, counted %v", name, got, u)
		must(u.slots <= host.Info.Slots, "slots of %s", name)
		must(u.cpu <= host.Info.CPUMillis && u.memory <= host.Info.MemoryMB, "size of %s", name)
		must(u.accelerators <= host.Info.Accelerators, "accelerators of %s", name)
	}
}

// must fails the test unless ok. It replaces matchers in the inner loop, which
// would take most of the test's time.
func must(ok bool, format string, args ...any) {
	if !ok {
		Fail(fmt.Sprintf(format, args...), 1)
	}
}

func (h *simulation) checkRequest(r *model.Request, begun, ran int) {
	if !r.Idempotent {
		must(begun <= 1, "%d attempts of %s may have begun", begun, r.Key)
		must(ran <= 1, "%s ran %d times", r.Key, ran)
	}
	if r.Outcome == model.OutcomeNotRun {
		must(ran == 0, "%s finished as not_run but ran", r.Key)
	}
	if r.Outcome == model.OutcomeDone {
		must(ran > 0, "%s finished as done but never ran", r.Key)
	}
	old := h.proven[r.Key]
	must(r.Idempotent == h.cat.JobKinds[h.bodies[r.Key].Kind].Idempotent, "idempotence of %s changed", r.Key)
	if r.State == model.RequestFinished {
		h.keyExpiry[r.Key] = r.Finished.Add(h.state.Limits().KeyRetention)
	}
	if r.Outcome == model.OutcomeUnknown {
		must(!r.DetailsExpired && len(r.Attempts) > 0, "%s can not be resolved any more", r.Key)
		h.unknownSince[r.Key] = r.Finished
	}
	if r.DetailsExpired {
		must(old != nil && old.Claimed == r.Claimed && old.Digest == r.Digest && lastNumber(old) == lastNumber(r),
			"the reduction of %s changed it", r.Key)
	}
	if old != nil && old.Claimed == r.Claimed {
		must(r.State == old.State && r.Outcome == old.Outcome && r.Succeeded == old.Succeeded && r.Finished == old.Finished &&
			(r.Answer == nil || bytes.Equal(r.Answer, old.Answer)), "proven outcome of %s changed", r.Key)
	} else if r.Outcome == model.OutcomeDone || r.Outcome == model.OutcomeNotRun {
		h.proven[r.Key] = r
		h.coverage[fmt.Sprintf("%s %t", r.Outcome, r.Succeeded)]++
		if at, ok := h.unknownSince[r.Key]; ok && r.Finished.Sub(at) > h.state.Limits().AnswerRetention {
			h.coverage["resolved after the retention of answers"]++
		}
		delete(h.unknownSince, r.Key)
	}
}

// checkCheckpoints checks that only permitted attempts were moved, and that the
// checkpoint of a moved request is one that a target returned.
func (h *simulation) checkCheckpoints(r *model.Request) {
	may := r.Kind == "convert"
	must(may || len(r.Checkpoint) == 0, "%s holds a checkpoint", r.Key)
	must(len(r.Checkpoint) <= model.MaxCheckpointBytes, "the reference of %s is too large", r.Key)
	must(len(r.Checkpoint) == 0 || h.refs[string(r.Checkpoint)], "the reference of %s was never given", r.Key)
	must(r.State != model.RequestFinished || len(r.Checkpoint) == 0, "finished %s keeps its checkpoint", r.Key)
	must(!r.Idempotent || ledger.AttemptsUsed(r) <= r.MaxAttempts, "%s was tried %d times", r.Key, ledger.AttemptsUsed(r))
	must(len(r.Attempts) <= 20, "%s keeps %d attempts", r.Key, len(r.Attempts))
	for i := range r.Attempts {
		a := &r.Attempts[i]
		must(!a.CheckpointOrdered || may && a.Host != "h2", "attempt %d of %s must not be moved", a.Number, r.Key)
		must(!a.FromCheckpoint || may && a.Host != "h2", "attempt %d of %s must not get a reference", a.Number, r.Key)
		must(a.State != model.AttemptCheckpointed || a.CheckpointOrdered, "attempt %d of %s was moved without an order", a.Number, r.Key)
		must(a.State != model.AttemptCheckpointed || h.truth[r.Key][a.Number].stopped, "attempt %d of %s did not stop", a.Number, r.Key)
		if a.State == model.AttemptCheckpointed {
			h.countOnce("moved", r, a)
		}
		if a.FromCheckpoint {
			h.countOnce("continued "+string(a.State), r, a)
		}
	}
}

// countOnce counts each attempt once for each state that it reached.
func (h *simulation) countOnce(state string, r *model.Request, a *model.Attempt) {
	id := fmt.Sprintf("%s %s/%d %v", state, r.Key, a.Number, r.Claimed)
	if !h.counted[id] {
		h.counted[id] = true
		h.coverage[state]++
	}
}

func lastNumber(r *model.Request) int {
	if len(r.Attempts) == 0 {
		return 0
	}
	return r.Attempts[len(r.Attempts)-1].Number
}

// deleteExpired drops the ground truth of expired keys. The key of a
// non-idempotent request must not expire before the end of its retention.
func (h *simulation) deleteExpired() {
	for key, c := range h.bodies {
		if _, ok := h.state.Get(key); !ok {
			keyExpiry, finished := h.keyExpiry[key]
			must(h.cat.JobKinds[c.Kind].Idempotent || (finished && !h.now.Before(keyExpiry)), "key %s expired early", key)
			delete(h.truth, key)
			delete(h.proven, key)
			delete(h.bodies, key)
			delete(h.keyExpiry, key)
			delete(h.unknownSince, key)
		}
	}
}

var _ = Describe("random histories", func() {
	It("keeps the invariants of the ledger on every step", func() {
		// Guards against orders of commands, faults and late reports after which
		// work runs twice, work that ran is reported as not_run or a host is
		// overcommitted, and against a reduction to the key that changes the
		// answer to a resend.
		coverage := map[string]int{}
		for seed := range uint64(180) {
			h := newRandomSimulation(seed)
			for range 1000 {
				h.step()
				h.deleteExpired()
				h.check()
			}
			one, err := h.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			two, err := h.copy.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(two).To(Equal(one), "seed %d: a restored replica differs", seed)
			Expect(restored(one).OpenAttempts()).To(Equal(h.state.OpenAttempts()))
			for k, n := range h.coverage {
				coverage[k] += n
			}
		}
		AddReportEntry("outcomes reached", coverage)
		for _, end := range []string{
			"done true", "done false", "not_run false", "moved", "keys full", "resolved after the retention of answers",
			"reduced resent, equal body true", "reduced resent, equal body false",
		} {
			Expect(coverage[end]).To(BeNumerically(">", 50), "the histories must reach the outcome %q", end)
		}
		for _, end := range []string{"succeeded", "failed", "not_begun", "unknown", "checkpointed"} {
			Expect(coverage["continued "+end]).To(BeNumerically(">=", 10), "the histories must reach continued attempts that end as %q", end)
		}
	})
})
