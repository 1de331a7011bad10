// Package dispatch executes the attempts that an entry host owns: it pulls
// them from the leader of its data centre, starts each at most once, follows
// it on its target and reports the result.
package dispatch

import (
	"context"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/target"
)

// Defaults of Config.
const (
	DefaultMaxAttempts = 512
	// DefaultMaxEnded bounds the remembered ended attempts, which take about
	// 100 bytes each.
	DefaultMaxEnded = 65_536
	DefaultPollWait = time.Second
	// DefaultPullWait keeps pulls well below the 5 s without contact after
	// which the leader resolves the owner's attempts itself.
	DefaultPullWait = 2 * time.Second
	// DefaultContactTimeout is how long a target may give no usable answer
	// before its attempt is reported as unknown. It exceeds the host lease of
	// 5 s and allows several polls on new connections.
	DefaultContactTimeout = 10 * time.Second
	// DefaultLateResultTimeout is how long an attempt reported as unknown is followed
	// for a later result. It equals the retention of answers.
	DefaultLateResultTimeout = 10 * time.Minute
)

const (
	// retryDelay separates repeated calls after a failure.
	retryDelay = 200 * time.Millisecond
	// latePollInterval separates polls of attempts that were reported as unknown.
	latePollInterval = time.Second
	// checkpointInterval separates the checkpoint requests to a target for one
	// attempt. A refusal may be temporary, but repeated requests must not load
	// the target.
	checkpointInterval = 5 * time.Second
	// idlePullDelay follows a pull that changed nothing, in case the leader
	// answers without waiting.
	idlePullDelay = 100 * time.Millisecond
	// reportGrace is the least time that a drain gives the leader to confirm
	// the results of finished attempts.
	reportGrace = 5 * time.Second
	// maxBatchBytes keeps a batch of reports below the peer message limit of
	// 4 MiB; the largest report has an answer of 256 KiB.
	maxBatchBytes   = 3 << 20
	maxBatchReports = 256
	// reportOverhead is the encoded size of a report without its strings and
	// byte slices.
	reportOverhead = 128
)

// Kinds of the events of this package.
const (
	EventStarted           event.Kind = "attempt_started"
	EventNotBegun          event.Kind = "attempt_not_begun"
	EventUnknown           event.Kind = "attempt_unknown"
	EventEnded             event.Kind = "attempt_ended"
	EventUnconfirmed       event.Kind = "attempt_cut"
	EventStartUnconfirmed  event.Kind = "start_unconfirmed"
	EventCheckpointFailed  event.Kind = "checkpoint_failed"
	EventPullFailed        event.Kind = "pull_failed"
	EventReportFailed      event.Kind = "report_failed"
	EventAssignmentRefused event.Kind = "assignment_refused"
)

// Leader is the part of the data centre leader that the dispatcher calls.
// Both calls are idempotent.
type Leader interface {
	PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error)
	ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error)
}

// Events records the dispatcher's events and sets their ID and Time.
type Events interface {
	Record(e event.Event)
}

// Config configures a Dispatcher.
type Config struct {
	// Owner is the name of this entry host, Incarnation the id of this
	// process.
	Owner       string
	Incarnation string
	DataCentre  string
	Leader      Leader
	Targets     target.Client
	Clock       clock.Clock
	// MaxAttempts bounds the active attempts; DefaultMaxAttempts if zero.
	MaxAttempts int
	// MaxEnded bounds the remembered ended attempts; DefaultMaxEnded if zero.
	MaxEnded int
	// Events may be nil.
	Events Events
	// The following take the default of the same name if zero.
	PollWait          time.Duration
	PullWait          time.Duration
	ContactTimeout    time.Duration
	LateResultTimeout time.Duration
	// TaskLease is the lease of a task that a start sets on its target; with
	// zero there is none, and tasks survive the loss of their owner.
	TaskLease time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.PollWait, DefaultPollWait)
	set(&c.PullWait, DefaultPullWait)
	set(&c.ContactTimeout, DefaultContactTimeout)
	set(&c.LateResultTimeout, DefaultLateResultTimeout)
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.MaxEnded <= 0 {
		c.MaxEnded = DefaultMaxEnded
	}
	return c
}

// queuedReport is a report to be sent to the leader.
type queuedReport struct {
	report model.AttemptReport
	// entry is the attempt in the table, or nil if it was not accepted. A
	// confirmed final report ends it.
	entry *entry
	final bool
}

// Dispatcher executes the attempts of one owner incarnation. Create it with
// New and call Run once. For a graceful stop, call Drain before the end of
// Run's context.
type Dispatcher struct {
	cfg         Config
	table       *table
	startQueue  *ring.Ring[*entry]
	reportQueue *ring.Ring[queuedReport]
	stopped     chan struct{}

	mu         sync.Mutex
	cancelPull context.CancelFunc // ends the pull in flight
}

// New returns a dispatcher that is not yet running.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:         cfg,
		table:       newTable(cfg.MaxAttempts, cfg.MaxEnded, cfg.Incarnation),
		startQueue:  ring.New[*entry]("starts", cfg.MaxAttempts),
		reportQueue: ring.New[queuedReport]("attempt reports", 2*cfg.MaxAttempts),
		stopped:     make(chan struct{}),
	}
}

// Run pulls, executes and reports attempts until ctx ends, and returns after
// all its goroutines have ended. Attempts that are active then keep running on
// their targets.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { d.pullLoop(ctx) })
	wg.Go(func() { d.reportLoop(ctx) })
	for range d.cfg.MaxAttempts {
		wg.Go(func() { d.startLoop(ctx) })
	}
	wg.Wait()
}

// ActiveAttempts returns the number of attempts that have no confirmed result.
func (d *Dispatcher) ActiveAttempts() int { return d.table.size() }

func (d *Dispatcher) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := d.pull(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			d.record(event.Event{Kind: EventPullFailed, Reason: err.Error()})
			d.wait(ctx, retryDelay)
		case !changed:
			d.wait(ctx, idlePullDelay)
		}
	}
}

// pull makes one pull and reports whether it changed anything.
func (d *Dispatcher) pull(ctx context.Context) (bool, error) {
	pullCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.cancelPull = cancel
	d.mu.Unlock()
	known, draining := d.table.known()
	resp, err := d.cfg.Leader.PullAssignments(pullCtx, &peer.PullAssignmentsRequest{
		DataCentre: d.cfg.DataCentre, Owner: d.cfg.Owner, Incarnation: d.cfg.Incarnation,
		Known: known, WaitMS: d.cfg.PullWait.Milliseconds(), Draining: draining,
	})
	if err != nil {
		if pullCtx.Err() != nil && ctx.Err() == nil {
			return true, nil // interrupted by Drain
		}
		return false, err
	}
	changed := false
	for _, a := range resp.Assignments {
		if d.accept(a) {
			changed = true
		}
	}
	return changed, nil
}

// accept adds an assignment or updates a known one. It reports whether that
// changed anything.
func (d *Dispatcher) accept(a model.Assignment) bool {
	e, result := d.table.accept(a)
	switch result {
	case acceptStart:
		// The ring is as large as the table, so it has space.
		_ = d.startQueue.TryPut(e)
		return true
	case acceptUpdated:
		return true
	case rejectOtherIncarnation:
		d.recordAttempt(EventAssignmentRefused, a, "assigned to another incarnation of the owner")
	case rejectTableFull, rejectDraining:
		reason := "the owner's table is full"
		if result == rejectDraining {
			reason = "the owner is stopping"
		}
		report := model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptNotBegun, Reason: reason}
		if d.reportQueue.TryPut(queuedReport{report: report}) != nil {
			// The next pull returns the assignment again.
			d.table.removeEnded(a)
			return false
		}
		d.recordAttempt(EventNotBegun, a, reason)
		return true
	}
	return false
}

func (d *Dispatcher) startLoop(ctx context.Context) {
	for {
		select {
		case e := <-d.startQueue.Items():
			d.execute(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

// report queues a result for the leader. A final one ends the attempt once the
// leader has confirmed it.
func (d *Dispatcher) report(ctx context.Context, e *entry, r model.AttemptReport, final bool) {
	kind := EventEnded
	switch r.State {
	case model.AttemptNotBegun:
		kind = EventNotBegun
	case model.AttemptUnknown:
		kind = EventUnknown
	}
	d.recordAttempt(kind, e.assignment, r.Reason)
	if final {
		d.table.finalReported(e)
	}
	_ = d.reportQueue.Put(ctx, queuedReport{report: r, entry: e, final: final}) // fails only when the process stops
}

func (d *Dispatcher) reportLoop(ctx context.Context) {
	var overflow *queuedReport
	for {
		var batch []queuedReport
		if overflow == nil {
			select {
			case o := <-d.reportQueue.Items():
				overflow = &o
			case <-ctx.Done():
				return
			}
		}
		batch, overflow = d.batch(*overflow)
		d.deliver(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// batch collects queued reports up to the limits of a message. It returns as
// next the one that did not fit.
func (d *Dispatcher) batch(first queuedReport) (batch []queuedReport, next *queuedReport) {
	batch = append(batch, first)
	total := encodedSize(first)
	for len(batch) < maxBatchReports {
		more := d.reportQueue.Drain(1)
		if len(more) == 0 {
			return batch, nil
		}
		if total += encodedSize(more[0]); total > maxBatchBytes {
			return batch, &more[0]
		}
		batch = append(batch, more[0])
	}
	return batch, nil
}

func encodedSize(o queuedReport) int {
	return reportOverhead + len(o.report.Key) + len(o.report.Reason) + len(o.report.Answer) + len(o.report.Checkpoint)
}

// deliver sends a batch until the leader confirms it. Reports are idempotent,
// so a batch whose confirmation was lost is sent again.
func (d *Dispatcher) deliver(ctx context.Context, batch []queuedReport) {
	reports := make([]model.AttemptReport, len(batch))
	for i, o := range batch {
		reports[i] = o.report
	}
	for {
		_, err := d.cfg.Leader.ReportAttempts(ctx, &peer.ReportAttemptsRequest{DataCentre: d.cfg.DataCentre, Reports: reports})
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
		case !permanentlyRejected(err):
			d.record(event.Event{Kind: EventReportFailed, Reason: err.Error()})
			d.wait(ctx, retryDelay)
			continue
		case len(batch) > 1:
			// A report that the leader rejects must not block the others.
			for i := range batch {
				d.deliver(ctx, batch[i:i+1])
			}
			return
		default:
			d.record(event.Event{
				Kind: EventReportFailed, Request: reports[0].Key, Attempt: reports[0].Attempt,
				Reason: "dropped: " + err.Error(),
			})
		}
		for _, o := range batch {
			switch {
			case o.entry == nil:
			case o.final:
				d.table.end(o.entry)
			default:
				d.table.confirmUnknown(o.entry)
			}
		}
		return
	}
}

// permanentlyRejected reports whether the leader will not accept the reports
// however often they are sent.
func permanentlyRejected(err error) bool {
	switch fault.CodeOf(err) {
	case fault.CodeInvalid, fault.CodeNotFound, fault.CodePrecondition:
		return true
	}
	return false
}

// wait pauses for p or until ctx ends.
func (d *Dispatcher) wait(ctx context.Context, p time.Duration) {
	select {
	case <-d.cfg.Clock.After(p):
	case <-ctx.Done():
	}
}

func (d *Dispatcher) record(e event.Event) {
	if d.cfg.Events != nil {
		e.DataCentre, e.Actor = d.cfg.DataCentre, d.cfg.Owner
		d.cfg.Events.Record(e)
	}
}

func (d *Dispatcher) recordAttempt(kind event.Kind, a model.Assignment, reason string) {
	d.record(event.Event{Kind: kind, Host: a.Host, Request: a.Key, Attempt: a.Attempt, Reason: reason})
}
