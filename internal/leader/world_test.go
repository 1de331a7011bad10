package leader_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

// Durations of the simulated platform.
const (
	worldLease    = 10 * time.Second
	worldAnnounce = 1500 * time.Millisecond
	worldCommit   = 5 * time.Millisecond
	worldStop     = 100 * time.Millisecond
)

// world simulates targets, the platform, the policy service and a replicated log with
// one replica. It runs in a testing/synctest bubble and records every violation of an
// invariant.
type world struct {
	t            *testing.T
	stateMachine *work.StateMachine

	mu         sync.Mutex
	index      uint64
	quorum     bool
	commit     time.Duration      // of one command
	targets    map[string]*target // by address
	violations []string
	// alive is the number of live runs of each task.
	alive map[work.TaskRef]int
	moves []string
	seq   int64
	// Targets in the data centre dropsRepliesIn carry out orders without an answer.
	dropsRepliesIn string
	// large holds the hosts with twice the memory.
	large map[string]bool
	// labels holds the labels of hosts.
	labels map[string][]string
	// spread is set if the hosts are distributed over the data centres.
	spread bool
	// incarnations counts the targets that replaced others.
	incarnations int
	// closed is set at the end: hosts that return after that start no target.
	closed bool
	// minRunning, if not 0, is how many runs have to be alive when one of them is
	// stopped on a host that does not drain.
	minRunning int
	// stopDelay is how long a stop is on its way. Its answer does not wait for it if the
	// leader that sent it ends.
	stopDelay time.Duration
	// stopTime is how long a target takes to stop a run, which it lists meanwhile.
	stopTime time.Duration
	// off holds the hosts on standby and whether they accept orders; parked holds the
	// addresses of those that were moved there.
	off    map[string]bool
	parked map[string]string
	// rate is how many moves the platform accepts per second, 0 for no limit; taken
	// counts those of the second that began at taking.
	rate, taken int
	taking      time.Time
	// editList, if set, edits the lists that targets answer with.
	editList func(t *target, h *leader.RunList)
	// refuse, if set, returns the refusal of a stop.
	refuse func(o *leader.StopOrder) leader.Refusal
	// unreadableRows, if set, is returned with the lists of hosts and tickets. The
	// hidden host is missing from the list.
	unreadableRows error
	hidden         string
	// leaving holds the hosts for which the platform accepts no orders.
	leaving map[string]bool
	// permitsNothing is set while the policy service does not answer.
	permitsNothing bool
	// needsTickets is set if every start needs a ticket of the policy service.
	needsTickets bool
	// refusal, if set, is the state machine's answer to all commands.
	refusal error
	// refuseEnded is set if connections to a target that has ended are refused.
	refuseEnded bool
	// newTargetsDropReplies is set if new targets carry out orders without an answer.
	newTargetsDropReplies bool
	// orderDelay is how long the platform takes to answer a maintenance order.
	orderDelay time.Duration
	// lostMoves is how many moves are carried out without an answer.
	lostMoves int
	// goal holds the pool to which a host was last moved.
	goal map[string]string
	// workers makes the calls to targets in place of the leader, if it is set.
	workers *faultyWorkers
	// clock is that of the leaders that are started.
	clock clock.Clock
	// waves is what the platform knows of maintenance, and maintenanceFate, if set, decides
	// on the answer to an order. maintenanceOrders counts the orders.
	waves             map[int64]*waveRecord
	maintenanceFate   func(number int) orderFate
	maintenanceOrders int
	// inMaintenance holds the hosts that accept no orders because they are in maintenance.
	inMaintenance map[string]bool
	// tokens holds the highest platform token for each host. They are not enforced if
	// enforcesNoTokens is set.
	tokens           map[string]uint64
	enforcesNoTokens bool
	// onStart, if set, is called with every start that a target receives.
	onStart func(o *leader.StartOrder)
	// endsPerList bounds the ended runs of a list.
	endsPerList int
	// begun is when the last run of each task began. doneNoted holds the tasks of which a
	// run that was done was acknowledged, and lasting those of long-lived steps.
	begun              map[work.TaskRef]time.Time
	doneNoted, lasting map[work.TaskRef]bool
	// logs holds the log lines of the leaders and the events of the targets.
	logs logBuffer
}

// logBuffer collects the lines of leaders and world, which share no lock.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// String returns all lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// target simulates a target: it runs tasks, holds leases and lists ended runs.
type target struct {
	w     *world
	state work.Target
	start time.Time

	fence   uint64
	until   time.Time
	runs    map[work.RunRef]*time.Timer
	stopped map[work.TaskRef]int // the highest run that was stopped or ended
	ended   []work.EndedRun
	endedAt map[int64]time.Time // by number
	// lapsed is when the lease was last found expired.
	lapsed  time.Time
	number  int64
	used    work.Demand
	changed chan struct{}
	dead    bool

	// silent targets receive no orders; targets that drop replies carry them out
	// without an answer.
	silent, dropsReplies bool
	// lag, if not 0, delays orders, which are then carried out without an answer.
	lag time.Duration
	// fails is set if every run fails, unhealthy if every start is refused as
	// unhealthy.
	fails, unhealthy bool
	// duration of a run; 0 runs until it is stopped.
	duration time.Duration
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, stateMachine: work.New(), quorum: true, commit: worldCommit, stopTime: worldStop, targets: map[string]*target{}, alive: map[work.TaskRef]int{},
		goal:  map[string]string{},
		clock: clock.System{}, waves: map[int64]*waveRecord{}, inMaintenance: map[string]bool{}, tokens: map[string]uint64{},
		endsPerList: 500, begun: map[work.TaskRef]time.Time{}, doneNoted: map[work.TaskRef]bool{}, lasting: map[work.TaskRef]bool{},
		off: map[string]bool{}, parked: map[string]string{}}
	w.propose(&work.Command{Configure: &work.Configuration{
		Version: 1, Pools: []work.Pool{{Name: "desk"}, {Name: "cuts"}, {Name: "off", Standby: true}},
		Queues: []work.Queue{
			{Name: "draw", Domain: "d", Prefix: "/draw/", Pool: "desk", Attempts: 3, Stretch: 1.6, SlackMS: 600, TimeoutMS: 3000},
			{Name: "once", Domain: "d", Prefix: "/once/", Pool: "desk", Attempts: 2, Stretch: 1.6, SlackMS: 600, TimeoutMS: 3000},
			{Name: "policy", Domain: "d", Prefix: "/policy/", Pool: "desk", Attempts: 3, Stretch: 1.6, SlackMS: 600, TimeoutMS: 3000,
				PolicyChecked: true},
			{Name: "cut", Domain: "d", Prefix: "/cut/", Pool: "cuts", Attempts: 3, Stretch: 1.6, SlackMS: 600, TimeoutMS: 3000},
		},
	}})
	return w
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// note logs an event of a target. The world's mutex is held.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(&w.logs, "%s %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, args...))
}

// Propose implements replica.Group.
func (w *world) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > replica.MaxProposalBytes {
		return nil, &fault.LimitExceeded{What: "proposal bytes", Limit: replica.MaxProposalBytes}
	}
	select {
	case <-ctx.Done():
		return nil, &fault.ProposalUnknown{}
	case <-time.After(w.commit):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quorum {
		return nil, &fault.ProposalUnknown{}
	}
	if w.refusal != nil {
		return &work.Result{Err: w.refusal}, nil
	}
	w.index++
	return w.stateMachine.Apply(replica.Entry{Index: w.index, Term: 1, Data: data}), nil
}

func (w *world) propose(c *work.Command) {
	w.t.Helper()
	l := leader.New(leader.Config{Group: w, StateMachine: w.stateMachine, Clock: clock.System{}, Log: zerolog.Nop()}, 1)
	result, err := l.Propose(context.Background(), c)
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	NewWithT(w.t).Expect(result.Err).NotTo(HaveOccurred())
}

// ReadBarrier implements replica.Group.
func (w *world) ReadBarrier(ctx context.Context) error {
	w.mu.Lock()
	quorum := w.quorum
	w.mu.Unlock()
	if quorum {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// A leader does not use the other methods of replica.Group.
func (w *world) Status() replica.Status                           { return replica.Status{} }
func (w *world) Changed() <-chan struct{}                         { return nil }
func (w *world) AddReplica(context.Context, replica.Member) error { return nil }
func (w *world) RemoveReplica(context.Context, string) error      { return nil }
func (w *world) TransferLeadership(context.Context) error         { return nil }

// lead runs a leader and returns it with a function that stops it.
func (w *world) lead(term uint64) (*leader.Leader, func()) {
	var l *leader.Leader
	ctx, cancel := context.WithCancel(context.Background())
	targets := leader.Targets(w)
	if w.workers != nil {
		targets = w.workers.hub(ctx, w, term, func() bool { return l.Confirmed() })
	}
	l = leader.New(leader.Config{
		Host: "core-" + strconv.FormatUint(term, 10), Group: w, StateMachine: w.stateMachine, Targets: targets, Platform: w, Policy: w, Clock: w.clock,
		Log: zerolog.New(&w.logs).With().Timestamp().Logger(), Orders: leader.NewOrderLog(w.clock),
		Timing: leader.Timing{
			Announce: worldAnnounce, MaxLease: worldLease, Move: 1500 * time.Millisecond,
			Maintenance: 2 * time.Second, HolderPause: 3 * time.Second, Stop: w.stopTime,
		},
	}, term)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	go w.announceLoop(ctx, l)
	return l, func() { cancel(); <-done }
}

// announceLoop sends the announcements of all live targets.
func (w *world) announceLoop(ctx context.Context, l *leader.Leader) {
	for {
		w.mu.Lock()
		var all []*work.Announcement
		for _, t := range w.targets {
			if !t.silent && !t.dead {
				w.seq++
				all = append(all, &work.Announcement{Target: t.state, Sequence: w.seq, ClockMS: t.clockMS()})
			}
		}
		w.mu.Unlock()
		for _, a := range all {
			_ = l.Announce(ctx, a) // repeated at the next interval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(worldAnnounce):
		}
	}
}

// dataCentres are the names of the data centres.
const dataCentres = "ab"

// dataCentreOf returns the data centre of a host: by the last character of its name if
// hosts are spread, otherwise the first one.
func (w *world) dataCentreOf(host string) string {
	if !w.spread {
		return dataCentres[:1]
	}
	return string(dataCentres[int(host[len(host)-1])%len(dataCentres)])
}

// capacityOf returns the capacity of a host.
func (w *world) capacityOf(host string) work.Demand {
	if w.large[host] {
		return work.Demand{MilliCPU: 4000, MemoryMB: 8000}
	}
	return work.Demand{MilliCPU: 4000, MemoryMB: 4000}
}

// add starts a target at an address and ends the one that was there.
func (w *world) add(id, host, address, pool string) *target {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot(id, host, address, pool)
}

// boot is add with the world's mutex held.
func (w *world) boot(id, host, address, pool string) *target {
	delete(w.inMaintenance, host)
	if old := w.targets[address]; old != nil {
		old.die()
	}
	if w.parked[host] != "" { // it is switched on without an order
		delete(w.parked, host)
		delete(w.off, host)
	}
	t := &target{
		w: w, start: time.Now(), runs: map[work.RunRef]*time.Timer{}, stopped: map[work.TaskRef]int{}, endedAt: map[int64]time.Time{},
		changed: make(chan struct{}), duration: time.Second,
		state: work.Target{
			ID: id, Born: time.Now().UnixMilli(), Host: host, Pool: pool, Address: address, DataCentre: w.dataCentreOf(host),
			Resources: w.capacityOf(host), Labels: w.labels[host],
		},
	}
	w.targets[address] = t
	t.dead, t.dropsReplies = w.closed, w.newTargetsDropReplies
	go t.expireLoop()
	return t
}

// healAll ends the faults of all targets.
func (w *world) healAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		t.heal()
	}
}

// heal ends the target's faults. The world's mutex is held.
func (t *target) heal() {
	t.silent, t.dropsReplies, t.lag, t.fails, t.unhealthy = false, false, 0, false, false
}

// setDuration sets the duration of the target's runs.
func (t *target) setDuration(d time.Duration) {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	t.duration = d
}

// submit submits a job of one step.
func (w *world) submit(id, path string, step work.Step) {
	w.t.Helper()
	w.propose(&work.Command{Submit: &work.Submission{ID: id, Domain: "d", Path: path, Spec: work.Spec{Steps: []work.Step{step}}}})
}

func (w *world) state(id string) work.JobState {
	s, _ := w.stateMachine.JobState(id)
	return s
}

// clockMS returns the target's monotonic clock.
func (t *target) clockMS() int64 { return time.Since(t.start).Milliseconds() + 1 }

// die ends a target. The world's mutex is held.
func (t *target) die() {
	t.dead = true
	for ref, timer := range t.runs {
		timer.Stop()
		t.w.alive[ref.Task]--
	}
	t.runs = map[work.RunRef]*time.Timer{}
	t.wake()
}

func (t *target) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// expireLoop ends all runs when the lease has expired.
func (t *target) expireLoop() {
	for {
		<-time.After(20 * time.Millisecond)
		t.w.mu.Lock()
		if t.dead {
			t.w.mu.Unlock()
			return
		}
		if now := time.Now(); now.After(t.until) {
			t.lapsed = now
			for ref := range t.runs {
				t.finish(ref, work.OutcomeLeaseExpired)
			}
		}
		t.w.mu.Unlock()
	}
}

// finish adds a run to the list of ended runs. The world's mutex is held.
func (t *target) finish(ref work.RunRef, outcome work.Outcome) {
	timer, ok := t.runs[ref]
	if !ok {
		return
	}
	timer.Stop()
	delete(t.runs, ref)
	t.w.alive[ref.Task]--
	t.w.note("end %v at %s: %s", ref, t.state.Key(), outcome)
	t.number++
	t.ended = append(t.ended, work.EndedRun{Number: t.number, Run: ref, Outcome: outcome})
	t.endedAt[t.number] = time.Now()
	t.used.MilliCPU -= 1000
	t.stopped[ref.Task] = max(t.stopped[ref.Task], ref.Run)
	t.wake()
}

// deliver delivers an order to a target: f is called now, later or never, and the
// answer may be lost.
func (w *world) deliver(ctx context.Context, to leader.Address, f func(t *target) leader.Refusal) (leader.Reply, error) {
	w.mu.Lock()
	t := w.targets[to.Address]
	lost := &fault.ConnectionLost{Address: to.Address, Reason: "no answer"}
	carry := func() leader.Reply {
		if t.dead || t.state.ID != to.ID {
			return leader.Reply{Refusal: leader.RefusedOtherTarget}
		}
		return leader.Reply{ClockMS: t.clockMS(), Refusal: f(t)}
	}
	if t != nil && t.dead && !t.silent && w.refuseEnded {
		w.mu.Unlock()
		return leader.Reply{}, &fault.Unavailable{What: to.Address, Reason: "connection refused"}
	}
	dropsReplies := t != nil && (t.dropsReplies || t.state.DataCentre == w.dropsRepliesIn)
	if t == nil || t.silent || dropsReplies || t.lag > 0 {
		if dropsReplies {
			carry()
		}
		if t != nil && t.lag > 0 && !t.silent {
			time.AfterFunc(t.lag, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				carry()
			})
		}
		w.mu.Unlock()
		<-ctx.Done()
		return leader.Reply{}, lost
	}
	defer w.mu.Unlock()
	return carry(), nil
}

// fenced checks the token of an order. The world's mutex is held.
func (t *target) fenced(fence uint64) bool {
	if fence < t.fence {
		return true
	}
	t.fence = fence
	return false
}

// extendLease extends the lease by at most the longest duration. The world's mutex is
// held.
func (t *target) extendLease(untilMS int64) {
	until := t.start.Add(time.Duration(untilMS) * time.Millisecond)
	if longest := time.Now().Add(worldLease); until.After(longest) {
		until = longest
	}
	if untilMS > 0 && until.After(t.until) {
		t.until = until
	}
}

// Start implements leader.Targets.
func (w *world) Start(ctx context.Context, to leader.Address, o *leader.StartOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(t *target) leader.Refusal {
		if w.onStart != nil {
			w.onStart(o)
		}
		switch {
		case t.fenced(o.Fence):
			return leader.RefusedFence
		case t.runs[o.Run] != nil:
			t.extendLease(o.UntilMS)
			return leader.NotRefused
		case o.Run.Run <= t.stopped[o.Run.Task]:
			return leader.RefusedEndedRun
		case t.unhealthy:
			return leader.RefusedUnhealthy
		case !t.hasValidTicket(o):
			w.violate("start of %v without a valid ticket", o.Run)
			return leader.RefusedTicket
		}
		// A start whose own lease has expired still begins if the target holds a later
		// one.
		if t.extendLease(o.UntilMS); !time.Now().Before(t.until) {
			return leader.RefusedExpired
		}
		t.begin(o.Run)
		return leader.NotRefused
	})
}

// begin starts a run and checks the invariants. The world's mutex is held.
func (t *target) begin(ref work.RunRef) {
	w := t.w
	w.alive[ref.Task]++
	w.note("begin %v at %s", ref, t.state.Key())
	if w.alive[ref.Task] > 1 {
		w.violate("two runs of %v at the same time", ref.Task)
	}
	w.checkNotDone(ref.Task)
	t.used.MilliCPU += 1000
	if t.used.MilliCPU > t.state.Resources.MilliCPU {
		w.violate("%s is over its capacity", t.state.ID)
	}
	t.runs[ref] = time.AfterFunc(time.Hour, func() {})
	if t.duration > 0 {
		t.runs[ref] = time.AfterFunc(t.duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			outcome := work.OutcomeDone
			if t.fails {
				outcome = work.OutcomeFailed
			}
			t.finish(ref, outcome)
		})
	}
}

// checkNotDone checks that a task whose run begins has not been done. The world's mutex is
// held.
func (w *world) checkNotDone(task work.TaskRef) {
	w.stateMachine.Read(func(v *work.View) {
		if j, t := v.Find(task); j != nil {
			w.lasting[task] = j.Spec.Steps[t.Step].LongLived
		}
	})
	if w.doneNoted[task] {
		w.violate("%v begins again after it was done", task)
	}
	w.begun[task] = time.Now()
}

// acknowledge drops the ended runs up to a number. One that is done counts unless the
// lease has expired since: its task must not have begun again. The world's mutex is held.
func (t *target) acknowledge(number int64) {
	t.ended = slices.DeleteFunc(t.ended, func(e work.EndedRun) bool {
		if e.Number > number {
			return false
		}
		at, task := t.endedAt[e.Number], e.Run.Task
		if e.Outcome == work.OutcomeDone && !t.lapsed.After(at) && !t.w.lasting[task] {
			if t.w.begun[task].After(at) {
				t.w.violate("%v began again after it was done at %s", task, t.state.Key())
			}
			t.w.doneNoted[task] = true
		}
		return true
	})
}

// running returns the number of runs that are alive and not being stopped. The world's
// mutex is held.
func (w *world) running() (n int) {
	for _, t := range w.targets {
		for ref := range t.runs {
			if t.stopped[ref.Task] < ref.Run {
				n++
			}
		}
	}
	return n
}

// outcome returns the number of runs that are alive and not being stopped, and the log.
func (w *world) outcome() (running int, logs string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running(), w.logs.String()
}

// Stop implements leader.Targets.
func (w *world) Stop(ctx context.Context, to leader.Address, o *leader.StopOrder) (leader.Reply, error) {
	w.mu.Lock()
	delay := w.stopDelay
	w.mu.Unlock()
	if delay > 0 {
		return w.delayedStop(ctx, to, o, delay)
	}
	return w.stop(ctx, to, o)
}

// delayedStop delivers a stop after a delay, even if the sender gives up meanwhile.
func (w *world) delayedStop(ctx context.Context, to leader.Address, o *leader.StopOrder, delay time.Duration) (leader.Reply, error) {
	type result struct {
		reply leader.Reply
		err   error
	}
	done := make(chan result, 1)
	time.AfterFunc(delay, func() {
		reply, err := w.stop(context.WithoutCancel(ctx), to, o)
		done <- result{reply, err}
	})
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return leader.Reply{}, &fault.ConnectionLost{Address: to.Address, Reason: "no answer"}
	}
}

func (w *world) stop(ctx context.Context, to leader.Address, o *leader.StopOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(t *target) leader.Refusal {
		if t.fenced(o.Fence) {
			return leader.RefusedFence
		}
		if w.refuse != nil {
			if refusal := w.refuse(o); refusal != leader.NotRefused {
				return refusal
			}
		}
		if n := w.running(); n < w.minRunning && t.stopped[o.Run.Task] < o.Run.Run && !t.state.Draining {
			w.violate("%v is stopped while %d tasks are away", o.Run, w.minRunning-n)
		}
		t.stopped[o.Run.Task] = max(t.stopped[o.Run.Task], o.Run.Run)
		time.AfterFunc(w.stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.finish(o.Run, work.OutcomeStopped)
		})
		return leader.NotRefused
	})
}

// Pace implements leader.Targets.
func (w *world) Pace(ctx context.Context, to leader.Address, _ *leader.PaceOrder) (leader.Reply, error) {
	return w.deliver(ctx, to, func(*target) leader.Refusal { return leader.NotRefused })
}

// Hold implements leader.Targets.
func (w *world) Hold(ctx context.Context, to leader.Address, o *leader.HoldOrder) (*leader.RunList, error) {
	var out *leader.RunList
	var changed chan struct{}
	list := func(t *target) leader.Refusal {
		if t.fenced(o.Fence) {
			return leader.RefusedFence
		}
		t.extendLease(o.UntilMS)
		if out == nil { // not while the target waits for a run to end
			t.acknowledge(o.Acknowledged)
		}
		listed := min(len(t.ended), t.w.endsPerList)
		out = &leader.RunList{Born: t.state.Born, Ended: slices.Clone(t.ended[:listed]), Truncated: listed == t.w.endsPerList}
		for ref := range maps.Keys(t.runs) {
			out.Running = append(out.Running, leader.RunningRun{Run: ref, Percent: 100})
		}
		if t.w.editList != nil {
			t.w.editList(t, out)
		}
		changed = t.changed
		return leader.NotRefused
	}
	reply, err := w.deliver(ctx, to, list)
	if err == nil && reply.Refusal == leader.NotRefused && len(out.Ended) == 0 && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-ctx.Done():
		}
		reply, err = w.deliver(ctx, to, list)
	}
	if err != nil {
		return nil, err
	}
	if out == nil {
		out = &leader.RunList{}
	}
	out.Reply = reply
	return out, nil
}

// Permit implements leader.Policy. It permits the targets whose id begins with p, for
// two seconds.
func (w *world) Permit(ctx context.Context, step work.TaskRef, targets []string) (map[string]string, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, &fault.Timeout{}
	case <-time.After(50 * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.permitsNothing {
		return nil, 0, &fault.Timeout{}
	}
	tickets := map[string]string{}
	for _, id := range targets {
		if id[0] == 'p' {
			tickets[id] = fmt.Sprintf("%s/%s/%d", id, step.Job, time.Now().Add(2*time.Second).UnixMilli())
		}
	}
	return tickets, 2000, w.unreadableRows
}

// hasValidTicket checks the ticket of a start.
func (t *target) hasValidTicket(o *leader.StartOrder) bool {
	if !t.w.needsTickets {
		return true
	}
	parts := strings.Split(o.Ticket, "/")
	if len(parts) != 3 || parts[0] != t.state.ID || parts[1] != o.Run.Task.Job {
		return false
	}
	until, err := strconv.ParseInt(parts[2], 10, 64)
	return err == nil && time.Now().UnixMilli() < until
}

// Hosts implements leader.Platform.
func (w *world) Hosts(context.Context) ([]leader.HostState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []leader.HostState
	for _, t := range w.targets {
		if _, parked := w.parked[t.state.Host]; parked || t.state.Host == w.hidden {
			continue
		}
		out = append(out, leader.HostState{Host: t.state.Host, Pool: t.state.Pool, Up: true, Resources: t.state.Resources, TargetID: t.state.ID, Labels: t.state.Labels})
	}
	for host, up := range w.off {
		out = append(out, leader.HostState{Host: host, Pool: "off", Up: up, Resources: w.capacityOf(host), Labels: w.labels[host]})
	}
	return out, w.unreadableRows
}

// Move implements leader.Platform. It ends what runs on the host.
func (w *world) Move(ctx context.Context, host, pool string, _ leader.Token) (leader.PlatformAnswer, error) {
	answer, err := w.move(host, pool)
	w.mu.Lock()
	lost := w.lostMoves > 0
	w.lostMoves = max(0, w.lostMoves-1)
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	return answer, err
}

func (w *world) move(host, pool string) (leader.PlatformAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if up, off := w.off[host]; w.inMaintenance[host] || (off && !up) {
		return leader.PlatformBusy, nil
	}
	if time.Since(w.taking) > time.Second {
		w.taking, w.taken = time.Now(), 0
	}
	if w.taken++; w.rate > 0 && w.taken > w.rate {
		return leader.PlatformThrottled, nil
	}
	w.moves = append(w.moves, host+" to "+pool)
	if address := w.parked[host]; address != "" {
		id, duration := host+strconv.Itoa(len(w.moves)), w.targets[address].duration
		time.AfterFunc(1500*time.Millisecond, func() { w.add(id, host, address, pool).setDuration(duration) })
		w.goal[host] = pool
		delete(w.parked, host)
		delete(w.off, host)
		return leader.PlatformDone, nil
	}
	answer := leader.PlatformRefused // if there is no such host
	for address, t := range w.targets {
		if t.state.Host != host {
			continue
		}
		if t.state.Pool == pool || (t.dead && w.goal[host] == pool) {
			return leader.PlatformDone, nil // the host is moving there, or has arrived
		}
		answer, w.goal[host] = leader.PlatformDone, pool
		if len(t.runs) > 0 {
			w.violate("move of %s ended %d runs", host, len(t.runs))
		}
		t.die()
		if pool == "off" {
			w.off[host], w.parked[host] = true, address
			continue
		}
		time.AfterFunc(1500*time.Millisecond, func() { w.add(t.state.ID+"x", host, address, pool).setDuration(t.duration) })
	}
	return answer, nil
}

// worldMaintenance is how long a host is down for maintenance.
const worldMaintenance = 2 * time.Second

// waveRecord is what the platform knows of a wave: when the maintenance of its hosts began.
type waveRecord struct{ begun map[string]time.Time }

// orderFate is what happens to an order: it is carried out after a delay without an
// answer, its answer is lost, it is refused as busy, or none of these.
type orderFate struct {
	late       time.Duration
	lost, busy bool
}

// Maintain implements leader.Platform.
func (w *world) Maintain(ctx context.Context, host string, wave int64, token leader.Token) (leader.PlatformAnswer, error) {
	after(w.orderDelay)
	var fate orderFate
	w.mu.Lock()
	w.maintenanceOrders++
	if w.maintenanceFate != nil {
		fate = w.maintenanceFate(w.maintenanceOrders)
	}
	if fate.busy {
		w.mu.Unlock()
		return leader.PlatformBusy, nil
	}
	if fate.late > 0 {
		time.AfterFunc(fate.late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.maintain(host, wave, token.Number)
		})
		w.mu.Unlock()
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	answer := w.maintain(host, wave, token.Number)
	w.mu.Unlock()
	if fate.lost {
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	return answer, nil
}

// maintain carries out a maintenance order and checks that the wave allows it. The world's
// mutex is held.
func (w *world) maintain(host string, wave int64, token uint64) leader.PlatformAnswer {
	if token < w.tokens[host] && !w.enforcesNoTokens {
		return leader.PlatformFenced
	}
	w.tokens[host] = token
	if w.waves[wave] == nil {
		w.waves[wave] = &waveRecord{begun: map[string]time.Time{}}
	}
	record := w.waves[wave]
	if !record.begun[host].IsZero() {
		return leader.PlatformDone
	}
	if w.leaving[host] || w.inMaintenance[host] {
		return leader.PlatformBusy
	}
	for address, t := range w.targets {
		if t.state.Host == host && t.dead && w.parked[host] == "" {
			return leader.PlatformBusy // it is down already
		}
		if t.state.Host == host {
			for ref := range t.runs {
				w.violate("maintenance of %s ended %v", host, ref)
			}
			t.die()
			w.inMaintenance[host] = true
			time.AfterFunc(worldMaintenance, func() { w.add(t.state.ID+"y", host, address, t.state.Pool).setDuration(t.duration) })
		}
	}
	w.checkDown(wave, record, host)
	record.begun[host] = time.Now()
	return leader.PlatformDone
}

// crash replaces the target on a host by another one, unless the host is down.
func (w *world) crash(id, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, t := range w.targets {
		if t.state.Host == host && !t.dead {
			w.boot(id, host, address, t.state.Pool)
			return
		}
	}
}

// checkDown checks that one more host of a wave may go down. The world's mutex is held.
func (w *world) checkDown(wave int64, record *waveRecord, host string) {
	down, most := 0, 0
	for _, at := range record.begun {
		if time.Since(at) < worldMaintenance {
			down++
		}
	}
	w.stateMachine.Read(func(v *work.View) { most = v.Waves[wave].MaxDown })
	w.note("maintenance of %s for wave %d beside %d others", host, wave, down)
	if down >= most {
		w.violate("%s is down for wave %d beside %d others, with at most %d", host, wave, down, most)
	}
}
