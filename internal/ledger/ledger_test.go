package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

type fakeHosts map[string]model.Host

func (f fakeHosts) Host(name string) (model.Host, bool) {
	h, ok := f[name]
	return h, ok
}

// fixture is a ledger with two ready hosts of pool "plot" and a third one in
// the spare pool.
type fixture struct {
	state  *ledger.State
	hosts  fakeHosts
	cat    *model.Catalogue
	now    hlc.Time
	index  uint64
	events []event.Event
}

func newHost(name, pool, incarnation string, slots int) model.Host {
	return model.Host{
		Info: model.HostInfo{
			Name: name, Address: name + ":80", Incarnation: incarnation, Slots: slots,
			CPUMillis: 8000, MemoryMB: 8000, Accelerators: 1,
		},
		Pool: pool, State: model.HostReady,
	}
}

func newFixture(limits ledger.Limits) *fixture {
	f := &fixture{
		state: ledger.New(limits),
		hosts: fakeHosts{
			"h1": newHost("h1", "plot", "i1", 2),
			"h2": newHost("h2", "plot", "i1", 2),
			"s1": newHost("s1", "spare", "i1", 2),
		},
		cat: &model.Catalogue{
			Pools: map[string]*model.Pool{"plot": {}, "spare": {Spare: true}},
			JobKinds: map[string]*model.JobKind{
				"order":   {Pool: "plot", Priority: model.Normal, MaxAttempts: 3, CPUMillis: 1000, MemoryMB: 1000},
				"draw":    {Pool: "plot", Priority: model.Urgent, MaxAttempts: 3, CPUMillis: 1000, MemoryMB: 1000},
				"proof":   {Pool: "plot", Priority: model.Urgent, Idempotent: true, MaxAttempts: 3, CPUMillis: 1000, MemoryMB: 1000},
				"archive": {Pool: "plot", Priority: model.Patient, Idempotent: true, MaxAttempts: 2, CPUMillis: 1000, MemoryMB: 1000},
				"render":  {Pool: "plot", Priority: model.Normal, Idempotent: true, MaxAttempts: 2, CPUMillis: 1000, MemoryMB: 1000, Accelerators: 1},
				"convert": {Pool: "plot", Priority: model.Patient, Idempotent: true, Checkpointable: true, MaxAttempts: 2, CPUMillis: 1000, MemoryMB: 1000},
				"huge":    {Pool: "plot", Priority: model.Normal, CPUMillis: 5000, MemoryMB: 5000},
			},
			Quotas: map[string]*model.Quota{"small": {MaxRunning: 1, MaxQueued: 2}},
		},
		now: hlc.Time{WallMillis: 1_000_000},
	}
	return f
}

func (f *fixture) ctx() ledger.ApplyContext {
	f.index++
	return ledger.ApplyContext{DataCentre: "dc1", Group: "dc1", Index: f.index, Time: f.now, Catalogue: f.cat, Hosts: f.hosts}
}

func (f *fixture) apply(cmd ledger.Command) ledger.Result {
	res, events := f.state.Apply(f.ctx(), &cmd)
	f.events = append(f.events, events...)
	return res
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) claim(key, kind, team string, deadline time.Duration) ledger.Result {
	c := ledger.Claim{Key: key, Kind: kind, Team: team, Payload: []byte("body")}
	if deadline > 0 {
		c.Deadline = f.now.Add(deadline)
	}
	return f.apply(ledger.Command{Claim: &c})
}

func (f *fixture) dispatch(key string, attempt int, host string) bool {
	return f.dispatchItem(ledger.DispatchItem{Key: key, Attempt: attempt, Host: host})
}

func (f *fixture) dispatchItem(item ledger.DispatchItem) bool {
	item.Owner, item.OwnerIncarnation, item.Reason = "e1", "p1", "least loaded"
	return len(f.apply(ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{item}}}).Dispatched) == 1
}

func (f *fixture) report(key string, attempt int, state model.AttemptState, answer string) {
	r := model.AttemptReport{Key: key, Attempt: attempt, State: state, Reason: "test"}
	if answer != "" {
		r.Answer = []byte(answer)
	}
	f.apply(ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{r}}})
}

func (f *fixture) cancel(key string) ledger.Result {
	return f.apply(ledger.Command{Cancel: &ledger.Cancel{Key: key, Actor: "caller"}})
}

func (f *fixture) retry(key string, attempt int, refused bool) error {
	return f.apply(ledger.Command{Retry: &ledger.Retry{Key: key, Attempt: attempt, Refused: refused, Reason: "policy"}}).Err
}

func (f *fixture) expire() { f.apply(ledger.Command{Expire: &ledger.Expire{}}) }

func (f *fixture) lose(host, incarnation string) {
	f.events = append(f.events, f.state.HostLost(f.ctx(), host, incarnation, "lease expired")...)
}

func (f *fixture) restartHost(host, incarnation string) {
	h := f.hosts[host]
	old := h.Info.Incarnation
	h.Info.Incarnation = incarnation
	f.hosts[host] = h
	f.events = append(f.events, f.state.HostLost(f.ctx(), host, old, "new incarnation")...)
}

func (f *fixture) get(key string) *model.Request {
	r, ok := f.state.Get(key)
	ExpectWithOffset(1, ok).To(BeTrue(), "request %s", key)
	return r
}

func (f *fixture) outcome(key string) string {
	r, ok := f.state.Get(key)
	if !ok {
		return "absent"
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %t", r.State, r.Outcome, r.Succeeded))
}

// session runs one line of a recorded session and returns its error, if any. The
// fields after the command are its arguments.
func (f *fixture) session(line string) string {
	w := append(strings.Fields(line), "", "", "", "")
	var n int
	_, _ = fmt.Sscan(w[2], &n)
	var err error
	switch w[0] {
	case "claim":
		d, _ := time.ParseDuration(w[4])
		err = f.claim(w[1], w[2], w[3], d).Err
	case "dispatch":
		if !f.dispatchItem(ledger.DispatchItem{Key: w[1], Attempt: n, Host: w[3], LentBy: w[4]}) {
			return "skipped"
		}
	case "report":
		f.report(w[1], n, model.AttemptState(w[3]), w[4])
	case "cancel":
		err = f.cancel(w[1]).Err
	case "retry":
		err = f.retry(w[1], n, w[3] == "refused")
	case "park":
		err = f.apply(ledger.Command{Park: &ledger.Park{Key: w[1], Reason: w[2]}}).Err
	case "expire":
		f.expire()
	case "advance":
		d, _ := time.ParseDuration(w[1])
		f.advance(d)
	case "lose":
		f.lose(w[1], w[2])
	case "restart":
		f.restartHost(w[1], w[2])
	case "host": // changes the inventory without a command to the ledger
		h := f.hosts[w[1]]
		h.Info.Incarnation, h.Info.Leaving = w[2], w[4] == "leaving"
		if w[3] != "" {
			h.State = model.HostState(w[3])
		}
		f.hosts[w[1]] = h
	default:
		Fail("unknown command: " + line)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// describe prints the request with this key, and the load of the hosts.
func (f *fixture) describe(out *strings.Builder, key string) {
	if r, ok := f.state.Get(key); ok {
		fmt.Fprintf(out, "< %s %s outcome=%s succeeded=%t reason=%q answer=%q attempts=", r.Key, r.State, r.Outcome, r.Succeeded, r.Reason, r.Answer)
		for _, a := range r.Attempts {
			fmt.Fprintf(out, " %d:%s@%s#%s", a.Number, a.State, a.Host, a.TargetIncarnation)
		}
		fmt.Fprintln(out)
	}
	stop := 0
	assignments := f.state.Assignments("e1", "p1")
	for _, a := range assignments {
		if a.StopRequested {
			stop++
		}
	}
	fmt.Fprintf(out, "< load h1=%d h2=%d assigned=%d stop=%d open=%d ended=%d\n", f.state.HeldSlots("h1"), f.state.HeldSlots("h2"),
		len(assignments), stop, len(f.state.OpenAttempts()), len(f.state.AwaitingRetry()))
}

func runSession(path string) string {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	f := newFixture(ledger.DefaultLimits())
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "<") {
			continue
		}
		fmt.Fprintln(&out, line)
		f.events = nil
		if strings.HasPrefix(line, "#") || line == "" {
			continue
		}
		if answer := f.session(line); answer != "" {
			fmt.Fprintf(&out, "< error %s\n", answer)
		}
		for _, e := range f.events {
			fmt.Fprintf(&out, "< %s %s attempt=%d host=%s actor=%s reason=%q\n", e.Kind, e.Request, e.Attempt, e.Host, e.Actor, e.Reason)
		}
		f.describe(&out, append(strings.Fields(line), "")[1])
	}
	return out.String()
}

var _ = Describe("recorded sessions", func() {
	files, _ := filepath.Glob("testdata/*.session")
	for _, path := range files {
		It("gives the recorded events for "+filepath.Base(path), func() {
			// Guards against unnoticed changes of the state machine.
			got := runSession(path)
			if *update {
				Expect(os.WriteFile(path, []byte(got), 0o600)).To(Succeed())
			}
			want, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(string(want)))
		})
	}
})

// BenchmarkLifecycle runs one request from claim to result in tables of
// different sizes. Guards against operations that scan the table.
func BenchmarkLifecycle(b *testing.B) {
	for _, size := range []int{1000, 100_000} {
		b.Run(fmt.Sprintf("requests=%d", size), func(b *testing.B) {
			limits := ledger.DefaultLimits()
			limits.MaxRequests, limits.MaxQueuedPerPool = 1<<30, 1<<30
			limits.KeyRetention = time.Second
			f := newFixture(limits)
			for i := range size {
				f.claim(fmt.Sprint("old", i), "archive", "shop", time.Hour+time.Duration(i)*time.Millisecond)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key := fmt.Sprint("new", i)
				f.claim(key, "proof", "shop", time.Hour)
				f.dispatch(key, 1, "h1")
				f.report(key, 1, model.AttemptSucceeded, "")
				f.advance(time.Millisecond)
				f.expire()
				f.events = nil
			}
		})
	}
}
