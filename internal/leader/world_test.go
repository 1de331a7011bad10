package leader_test

import (
	"bytes"
	"context"
	"fmt"
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
	// jobsBegun is when the first run of each job began.
	jobsBegun map[string]time.Time
	// lastEnds holds the end of the last run of each task.
	lastEnds map[work.TaskRef]runEnd
	// promises, if set, checks what is promised to callers while the world runs.
	promises *promises
	// disturbance is what a fill-in run at its full share adds to the tail latency of serving
	// runs on its host, as a share of their target.
	disturbance float64
	// sizes holds the capacity of hosts that differ from the others.
	sizes map[string]work.Demand
	// quota, if set, checks the limits of customers.
	quota *quota
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

func newWorld(t *testing.T) *world {
	w := &world{t: t, stateMachine: work.New(), quorum: true, commit: worldCommit, stopTime: worldStop, targets: map[string]*target{}, alive: map[work.TaskRef]int{},
		goal:  map[string]string{},
		clock: clock.System{}, waves: map[int64]*waveRecord{}, inMaintenance: map[string]bool{}, tokens: map[string]uint64{},
		endsPerList: 500, begun: map[work.TaskRef]time.Time{}, doneNoted: map[work.TaskRef]bool{}, lasting: map[work.TaskRef]bool{},
		off: map[string]bool{}, parked: map[string]string{}, lastEnds: map[work.TaskRef]runEnd{}, jobsBegun: map[string]time.Time{}, sizes: map[string]work.Demand{}}
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
			if !t.silent && !t.dead && !t.quiet {
				w.seq++
				all = append(all, &work.Announcement{Target: t.state, Sequence: w.seq, ClockMS: t.clockMS()})
			}
		}
		w.mu.Unlock()
		for _, a := range all {
			if l.Announce(ctx, a) == nil && a.Target.Draining { // errors: repeated at the next interval
				w.noteDraining(a.Target.Key())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(worldAnnounce):
		}
	}
}

// noteDraining records that the announcement of a target that drains was confirmed.
func (w *world) noteDraining(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.state.Key() == key && t.drainingSince.IsZero() {
			t.drainingSince = time.Now()
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
	if size, other := w.sizes[host]; other {
		return size
	}
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
		w: w, start: time.Now(), runs: map[work.RunRef]*time.Timer{}, steps: map[work.RunRef]*work.Step{}, percent: map[work.RunRef]int{}, stopped: map[work.TaskRef]int{}, endedAt: map[int64]time.Time{},
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

// submit submits a job of one step.
func (w *world) submit(id, path string, step work.Step) {
	w.t.Helper()
	w.propose(&work.Command{Submit: &work.Submission{ID: id, Domain: "d", Path: path, Spec: work.Spec{Steps: []work.Step{step}}}})
}

func (w *world) state(id string) work.JobState {
	s, _ := w.stateMachine.JobState(id)
	return s
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
