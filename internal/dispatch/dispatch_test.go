package dispatch_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/dispatch"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fakeLeader lists its assignments in every pull, also those that are known or
// have ended, as a leader with an old state would.
type fakeLeader struct {
	mu       sync.Mutex
	assigned []model.Assignment
	pulls    []peer.PullAssignmentsRequest
	reports  []model.AttemptReport
	calls    int
	// reject returns the error for a batch of reports, or nil.
	reject func(calls int, r []model.AttemptReport) error
}

func (l *fakeLeader) PullAssignments(_ context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pulls = append(l.pulls, *r)
	return &peer.PullAssignmentsResponse{Assignments: append([]model.Assignment(nil), l.assigned...)}, nil
}

func (l *fakeLeader) ReportAttempts(_ context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error) {
	l.mu.Lock()
	l.calls++
	calls := l.calls
	l.mu.Unlock()
	if l.reject != nil {
		if err := l.reject(calls, r.Reports); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r.Reports...)
	return &peer.ReportAttemptsResponse{}, nil
}

func (l *fakeLeader) assign(as ...model.Assignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assigned = as
}

func (l *fakeLeader) pulled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pulls)
}

func (l *fakeLeader) lastPull() peer.PullAssignmentsRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pulls[len(l.pulls)-1]
}

// answer returns the last reported answer of a request.
func (l *fakeLeader) answer(key string) (out []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Key == key {
			out = r.Answer
		}
	}
	return out
}

// states lists the reported states of a request in their order.
func (l *fakeLeader) states(key string) func() []model.AttemptState {
	return func() []model.AttemptState {
		l.mu.Lock()
		defer l.mu.Unlock()
		out := []model.AttemptState{}
		for _, r := range l.reports {
			if r.Key == key {
				out = append(out, r.State)
			}
		}
		return out
	}
}

// waitForPulls waits until the dispatcher has seen the current assignments.
func (l *fakeLeader) waitForPulls() {
	seen := l.pulled()
	Eventually(l.pulled).Should(BeNumerically(">", seen+1))
}

// recorder keeps the kinds of events.
type recorder struct {
	mu    sync.Mutex
	kinds []event.Kind
}

func (r *recorder) Record(e event.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, e.Kind)
}

func (r *recorder) count(kind event.Kind) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.kinds {
		if k == kind {
			n++
		}
	}
	return n
}

// fakeTarget answers from functions and counts calls by request.
type fakeTarget struct {
	mu      sync.Mutex
	starts  map[string]int
	stops   map[string]int
	revokes int
	start   error
	status  target.TaskStatus
	pollErr error
	revoked target.TaskStatus
	// checkpoints counts calls; each answers with checkpoint or checkpointErr.
	checkpoints   int
	checkpoint    target.TaskStatus
	checkpointErr error
	// forgets is set if the target forgets a task that a checkpoint ended.
	forgets bool
	last    target.Task
}

func newFakeTarget(state target.TaskState) *fakeTarget {
	return &fakeTarget{
		starts: map[string]int{}, stops: map[string]int{},
		status: target.TaskStatus{State: state, Incarnation: "t1", Answer: []byte("a")},
	}
}

func (t *fakeTarget) Start(_ context.Context, _ string, k target.Task) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts[k.Key]++
	t.last = k
	return t.start
}

func (t *fakeTarget) Poll(ctx context.Context, _, _ string, _ int, _ time.Duration) (target.TaskStatus, error) {
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status, t.pollErr
}

func (t *fakeTarget) Stop(_ context.Context, _, key string, _ int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stops[key]++
	return nil
}

func (t *fakeTarget) Revoke(context.Context, string, string, int) (target.TaskStatus, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revokes++
	return t.revoked, nil
}

func (t *fakeTarget) Checkpoint(context.Context, string, string, int) (target.TaskStatus, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkpoints++
	if t.checkpointErr != nil {
		return target.TaskStatus{}, t.checkpointErr
	}
	t.status = t.checkpoint
	if t.forgets {
		t.status = target.TaskStatus{State: target.TaskAbsent, Incarnation: "t1"}
	}
	return t.checkpoint, nil
}

func (t *fakeTarget) set(change func(t *fakeTarget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *fakeTarget) started(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.starts[key]
}

func assignment(key string) model.Assignment {
	return model.Assignment{
		Key: key, Attempt: 1, Kind: "draw", Host: "h", Address: "h:1", TargetIncarnation: "t1",
		CanRevoke: true, StopLimitMS: 60_000, At: hlc.Time{WallMillis: 1},
	}
}

// run starts a dispatcher and stops it after the test.
func run(l dispatch.Leader, t target.Client, change ...func(*dispatch.Config)) *dispatch.Dispatcher {
	cfg := dispatch.Config{
		Owner: "e1", Incarnation: "i2", DataCentre: "dc1", Leader: l, Targets: t,
		Clock: clock.System{}, MaxAttempts: 16, PollWait: 50 * time.Millisecond,
	}
	for _, c := range change {
		c(&cfg)
	}
	d := dispatch.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-ended
	})
	return d
}

var _ = Describe("Dispatcher", func() {
	var (
		l *fakeLeader
		t *fakeTarget
	)
	BeforeEach(func() { l, t = &fakeLeader{}, newFakeTarget(target.TaskSucceeded) })

	It("starts an attempt once, however often it is listed, also after its end", func() {
		// Guards against a second run from a stale list of assignments.
		d := run(l, t)
		l.assign(assignment("k"))
		Eventually(l.states("k")).Should(Equal([]model.AttemptState{model.AttemptSucceeded}))
		Eventually(d.ActiveAttempts).Should(BeZero())
		l.waitForPulls()
		Expect(t.started("k")).To(Equal(1))
		Expect(l.states("k")()).To(HaveLen(1))
	})

	It("never starts an attempt that may have been evicted", func() {
		// Guards against a second run of an ended attempt that was evicted from the
		// full table of ended attempts.
		d := run(l, t, func(c *dispatch.Config) { c.MaxEnded = 1 })
		for _, key := range []string{"a", "b"} {
			l.assign(assignment(key))
			Eventually(l.states(key)).Should(HaveLen(1))
			Eventually(d.ActiveAttempts).Should(BeZero())
		}
		l.assign(assignment("a"))
		Eventually(l.states("a")).Should(HaveLen(2))
		Expect(t.started("a")).To(Equal(1))
		later := assignment("c")
		later.At.WallMillis = 2
		l.assign(later)
		Eventually(l.states("c")).Should(HaveLen(1))
		Expect(t.started("c")).To(Equal(1))
	})

	It("does not start an attempt of another incarnation of its owner", func() {
		// Guards against a restarted process that repeats the starts of the process
		// before it.
		old, own := assignment("old"), assignment("own")
		old.OwnerIncarnation, own.OwnerIncarnation = "i1", "i2"
		l.assign(old, own)
		run(l, t)
		Eventually(l.states("own")).Should(HaveLen(1))
		l.waitForPulls()
		Expect(t.started("old")).To(BeZero())
		Expect(l.states("old")()).To(BeEmpty())
		Expect(l.lastPull().Incarnation).To(Equal("i2"))
		Expect(l.lastPull().Owner).To(Equal("e1"))
	})

	DescribeTable("reports as not begun only what certainly never began",
		// Guards against a non-idempotent request that runs again, and against
		// one that stays unknown without need.
		func(start error, prepare func(*fakeTarget), canRevoke bool, want model.AttemptState) {
			t.start = start
			if prepare != nil {
				prepare(t)
			}
			a := assignment("k")
			a.CanRevoke = canRevoke
			l.assign(a)
			run(l, t, func(c *dispatch.Config) { c.ContactTimeout = time.Millisecond })
			Eventually(l.states("k")).Should(HaveLen(1))
			Expect(l.states("k")()).To(Equal([]model.AttemptState{want}))
			Expect(t.started("k")).To(Equal(1))
		},
		Entry("refused", &target.RefusedError{}, nil, true, model.AttemptNotBegun),
		Entry("not sent", &target.NotSentError{}, nil, true, model.AttemptNotBegun),
		Entry("silent, but done", &fault.SilentConnection{}, nil, true, model.AttemptSucceeded),
		Entry("silent, absent and revoked", &fault.SilentConnection{}, func(t *fakeTarget) {
			t.status.State = target.TaskAbsent
			t.revoked = target.TaskStatus{State: target.TaskRevoked, Incarnation: "t1"}
		}, true, model.AttemptNotBegun),
		Entry("silent and absent, without revoke", &fault.SilentConnection{}, func(t *fakeTarget) {
			t.status.State = target.TaskAbsent
		}, false, model.AttemptUnknown),
		Entry("revoked by a restarted target", &fault.SilentConnection{}, func(t *fakeTarget) {
			t.status.State = target.TaskAbsent
			t.revoked = target.TaskStatus{State: target.TaskRevoked, Incarnation: "t2"}
		}, true, model.AttemptUnknown),
		Entry("undefined answer and no contact", &target.StatusError{}, func(t *fakeTarget) {
			t.pollErr = &fault.Corrupt{}
		}, true, model.AttemptUnknown),
		Entry("begun, then called revoked", nil, func(t *fakeTarget) {
			t.status.State = target.TaskRevoked
		}, true, model.AttemptUnknown),
		Entry("begun, then forgotten", nil, func(t *fakeTarget) {
			t.status.State = target.TaskAbsent
			t.revoked = target.TaskStatus{State: target.TaskRevoked, Incarnation: "t1"}
		}, true, model.AttemptUnknown),
	)

	It("reports a result that comes after the attempt was reported as unknown", func() {
		// Guards against an outcome that stays unknown although the target has
		// since given the result.
		t.start, t.status.State = &fault.SilentConnection{}, target.TaskAbsent
		a := assignment("k")
		a.CanRevoke = false
		l.assign(a)
		run(l, t)
		Eventually(l.states("k")).Should(Equal([]model.AttemptState{model.AttemptUnknown}))
		t.set(func(t *fakeTarget) { t.status.State = target.TaskSucceeded })
		Eventually(l.states("k"), "5s").Should(Equal([]model.AttemptState{model.AttemptUnknown, model.AttemptSucceeded}))
	})

	It("polls again after a corrupt answer and reports only the valid one", func() {
		// Guards against an attempt that ends because of one corrupt answer.
		t.pollErr = &fault.Corrupt{What: "answer"}
		l.assign(assignment("k"))
		run(l, t)
		Eventually(func() int { return t.started("k") }).Should(Equal(1))
		l.waitForPulls()
		Expect(l.states("k")()).To(BeEmpty())
		t.set(func(t *fakeTarget) { t.pollErr = nil })
		Eventually(l.states("k")).Should(Equal([]model.AttemptState{model.AttemptSucceeded}))
	})

	It("asks the target to stop a cancelled attempt and does not send a stopped one", func() {
		// Guards against cancelled work that runs to its end.
		t.status.State = target.TaskRunning
		run(l, t)
		a, b, c := assignment("a"), assignment("b"), assignment("c")
		l.assign(a)
		Eventually(func() int { return t.started("a") }).Should(Equal(1))
		a.StopRequested, b.StopRequested, c.HostDraining = true, true, true
		l.assign(a, b, c)
		Eventually(func() int { t.mu.Lock(); defer t.mu.Unlock(); return t.stops["a"] }).Should(Equal(1))
		for _, key := range []string{"b", "c"} {
			Eventually(l.states(key)).Should(Equal([]model.AttemptState{model.AttemptNotBegun}))
			Expect(t.started(key)).To(BeZero())
		}
	})

	It("reports assignments beyond the size of its table as not begun", func() {
		// Guards against assignments that wait unseen while the table is full.
		t.status.State = target.TaskRunning
		l.assign(assignment("a"), assignment("b"), assignment("c"))
		run(l, t, func(c *dispatch.Config) { c.MaxAttempts = 2 })
		Eventually(l.states("c")).Should(Equal([]model.AttemptState{model.AttemptNotBegun}))
		l.waitForPulls()
		Expect(t.started("c")).To(BeZero())
	})

	It("stops following unknown attempts for a late result when its table is full", func() {
		// Guards against an owner that accepts no new work because attempts on lost
		// hosts fill its table.
		t.start, t.status.State = &fault.SilentConnection{}, target.TaskAbsent
		a, b, c := assignment("a"), assignment("b"), assignment("c")
		a.CanRevoke, b.CanRevoke, c.CanRevoke = false, false, false
		l.assign(a, b)
		run(l, t, func(c *dispatch.Config) { c.MaxAttempts = 2 })
		for _, key := range []string{"a", "b"} {
			Eventually(l.states(key)).Should(Equal([]model.AttemptState{model.AttemptUnknown}))
		}
		l.assign(c)
		Eventually(l.states("c"), "5s").Should(Equal([]model.AttemptState{model.AttemptUnknown}))
		Expect(t.started("c")).To(Equal(1))
	})

	It("sends a report again until it is confirmed", func() {
		// Guards against a lost result when the confirmation of its report is lost.
		l.reject = func(calls int, _ []model.AttemptReport) error {
			if calls == 1 {
				return &fault.SilentConnection{}
			}
			return nil
		}
		l.assign(assignment("a"))
		run(l, t)
		Eventually(l.states("a")).Should(HaveLen(1))
	})

	It("drops only the report that the leader rejects", func() {
		// Guards against one rejected report that blocks or discards the others of
		// its batch.
		entered, release := make(chan struct{}), make(chan struct{})
		l.reject = func(calls int, reports []model.AttemptReport) error {
			if calls == 1 {
				close(entered)
				<-release
			}
			for _, r := range reports {
				if r.Key == "bad" {
					return &fault.Invalid{Field: "key"}
				}
			}
			return nil
		}
		events := &recorder{}
		d := run(l, t, func(c *dispatch.Config) { c.Events = events })
		l.assign(assignment("first"))
		Eventually(entered).Should(BeClosed())
		l.assign(assignment("bad"), assignment("b"), assignment("c"))
		Eventually(func() int { return events.count(dispatch.EventEnded) }).Should(Equal(4))
		close(release)
		for _, key := range []string{"first", "b", "c"} {
			Eventually(l.states(key)).Should(HaveLen(1))
		}
		Eventually(d.ActiveAttempts).Should(BeZero())
		Expect(l.states("bad")()).To(BeEmpty())
		Expect(events.count(dispatch.EventReportFailed)).To(Equal(1))
	})
})

var _ = Describe("Drain", func() {
	It("waits for running attempts, on real connections", func() {
		// Guards against a planned stop that interrupts a request.
		fleet, err := standin.Start(standin.Config{Targets: 1, DataCentre: "dc1"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		info := fleet.Targets()[0].Info()
		l := &fakeLeader{}
		d := run(l, target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}}))
		var as []model.Assignment
		for _, key := range []string{"a", "b", "c"} {
			a := assignment(key)
			a.Address, a.TargetIncarnation, a.Payload = info.Address, info.Incarnation, []byte(`{"run_ms":300}`)
			as = append(as, a)
		}
		l.assign(as...)
		Eventually(fleet.Runs).Should(HaveLen(3))
		Expect(d.Drain(context.Background())).To(BeEmpty())
		for _, a := range as {
			Expect(l.states(a.Key)()).To(Equal([]model.AttemptState{model.AttemptSucceeded}))
			var answer standin.Answer
			Expect(json.Unmarshal(l.answer(a.Key), &answer)).To(Succeed())
			Expect(answer.Request).To(Equal(a.Key))
			Expect(fleet.RunCount(a.Key)).To(Equal(1))
		}
		Eventually(func() bool { return l.lastPull().Draining }).Should(BeTrue())
	})

	It("starts nothing new and returns the attempts that exceed their stop limits", func() {
		// Guards against a stop that waits for ever, or that does not tell which
		// attempts it left without a result.
		l, t := &fakeLeader{}, newFakeTarget(target.TaskRunning)
		short := assignment("short")
		short.StopLimitMS = 50
		l.assign(short)
		d := run(l, t)
		Eventually(func() int { return t.started("short") }).Should(Equal(1))
		cut := d.Drain(context.Background())
		Expect(cut).To(HaveLen(1))
		Expect(cut[0].Assignment.Key).To(Equal("short"))
		l.assign(short, assignment("new"))
		Eventually(l.states("new")).Should(Equal([]model.AttemptState{model.AttemptNotBegun}))
		Expect(t.started("new")).To(BeZero())

		forced, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(d.Drain(forced)).To(HaveLen(1))
	})
})

var _ = Describe("On real connections", func() {
	DescribeTable("a start or an answer that is lost",
		// Guards against a second run and against an outcome without proof when
		// the target's connections fail.
		func(faults standin.Faults, want model.AttemptState, runs int) {
			fleet, err := standin.Start(standin.Config{Targets: 1, DataCentre: "dc1"})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(fleet.Close)
			faulty := fleet.Targets()[0]
			faulty.SetFaults(faults)
			a := assignment("k")
			a.Address, a.TargetIncarnation = faulty.Info().Address, faulty.Info().Incarnation
			l := &fakeLeader{}
			l.assign(a)
			run(l, target.NewHTTPClient(target.HTTPConfig{
				Clock: clock.System{}, StartTimeout: 300 * time.Millisecond, PollMargin: 300 * time.Millisecond,
			}))
			if runs > 0 {
				Eventually(func() int { return fleet.RunCount("k") }).Should(Equal(1))
			}
			if faults.Start == "" {
				l.waitForPulls()
				Expect(l.states("k")()).To(BeEmpty())
				faulty.SetFaults(standin.Faults{})
			}
			Eventually(l.states("k"), "5s").Should(Equal([]model.AttemptState{want}))
			Expect(fleet.RunCount("k")).To(Equal(runs))
		},
		Entry("silent after begin", standin.Faults{Start: standin.StartSilentAfterBegin}, model.AttemptSucceeded, 1),
		Entry("silent before begin", standin.Faults{Start: standin.StartSilentBeforeBegin}, model.AttemptNotBegun, 0),
		Entry("cut answers", standin.Faults{TruncateAnswers: true}, model.AttemptSucceeded, 1),
		Entry("answers of another attempt", standin.Faults{MismatchAnswers: true}, model.AttemptSucceeded, 1),
	)
})

var _ = Describe("Resolver", func() {
	DescribeTable("concludes from the target's state",
		// Guards against an orphaned attempt that is counted as never run
		// without proof.
		func(state, revoked target.TaskState, incarnation string, canRevoke bool, want model.AttemptState) {
			t := newFakeTarget(state)
			t.status.Incarnation = incarnation
			t.revoked = target.TaskStatus{State: revoked, Incarnation: incarnation}
			r, err := dispatch.NewResolver(t).Resolve(context.Background(), dispatch.OpenAttempt{
				Key: "k", Attempt: 1, TargetIncarnation: "t1", CanRevoke: canRevoke,
			})
			Expect(err).NotTo(HaveOccurred())
			if want == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.State).To(Equal(want))
			Expect(r.Key).To(Equal("k"))
		},
		Entry("running", target.TaskRunning, target.TaskAbsent, "t1", true, model.AttemptState("")),
		Entry("done", target.TaskSucceeded, target.TaskAbsent, "t1", true, model.AttemptSucceeded),
		Entry("failed", target.TaskFailed, target.TaskAbsent, "t1", true, model.AttemptFailed),
		Entry("revoked", target.TaskAbsent, target.TaskRevoked, "t1", true, model.AttemptNotBegun),
		Entry("begins during the revocation", target.TaskAbsent, target.TaskRunning, "t1", true, model.AttemptState("")),
		Entry("cannot revoke", target.TaskAbsent, target.TaskRevoked, "t1", false, model.AttemptUnknown),
		Entry("restarted", target.TaskAbsent, target.TaskRevoked, "t2", true, model.AttemptUnknown),
		Entry("does not tell its incarnation", target.TaskAbsent, target.TaskRevoked, "", true, model.AttemptUnknown),
	)
})
