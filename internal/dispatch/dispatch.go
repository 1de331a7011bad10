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
	// DefaultMaxEnded attempts take about 100 bytes each.
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
	// retryPause separates repeated calls after a failure.
	retryPause = 200 * time.Millisecond
	// latePause separates polls of attempts that were reported as unknown.
	latePause = time.Second
	// checkpointPause separates the checkpoints asked of a target for one
	// attempt. A refusal may pass, but must not become a load on the target.
	checkpointPause = 5 * time.Second
	// idlePause separates pulls that bring nothing new, in case the leader
	// answers at once.
	idlePause = 100 * time.Millisecond
	// reportGrace is how long a drain waits at least for the leader to
	// confirm the results of finished attempts.
	reportGrace = 5 * time.Second
	// maxBatchBytes keeps a batch of reports below the peer message limit of
	// 4 MiB; the largest report has an answer of 256 KiB.
	maxBatchBytes = 3 << 20
	maxBatch      = 256
	// reportOverhead is the encoded size of a report beside its texts.
	reportOverhead = 128
)

// Kinds of the events of this package.
const (
	EventStarted           event.Kind = "attempt_started"
	EventNotBegun          event.Kind = "attempt_not_begun"
	EventUnknown           event.Kind = "attempt_unknown"
	EventEnded             event.Kind = "attempt_ended"
	EventCut               event.Kind = "attempt_cut"
	EventStartUnconfirmed  event.Kind = "start_unconfirmed"
	EventCheckpointFailed  event.Kind = "checkpoint_failed"
	EventPullFailed        event.Kind = "pull_failed"
	EventReportFailed      event.Kind = "report_failed"
	EventAssignmentRefused event.Kind = "assignment_refused"
)

// Leader is what the dispatcher needs from the leader of its data centre.
// Both calls may be repeated without harm.
type Leader interface {
	PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error)
	ReportAttempts(ctx context.Context, r *peer.ReportAttemptsRequest) (*peer.ReportAttemptsResponse, error)
}

// Events takes the dispatcher's events and sets their ID and Time.
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
	// MaxAttempts bounds the attempts in hand; DefaultMaxAttempts if zero.
	MaxAttempts int
	// MaxEnded bounds the memory of ended attempts; DefaultMaxEnded if zero.
	MaxEnded int
	// Events may be nil.
	Events Events
	// The following are the defaults of the same name if zero.
	PollWait          time.Duration
	PullWait          time.Duration
	ContactTimeout    time.Duration
	LateResultTimeout time.Duration
	// TaskLease is the lease given to targets with a start; zero is none, so
	// that tasks survive the loss of their owner.
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

// outgoing is a report on its way to the leader.
type outgoing struct {
	report model.AttemptReport
	// entry may be nil. A final report ends it once it is confirmed.
	entry *entry
	final bool
}

// Dispatcher executes the attempts of one owner incarnation. Create it with
// New, call Run once, and Drain before the end of Run's context for a graceful
// stop.
type Dispatcher struct {
	cfg     Config
	table   *table
	starts  *ring.Ring[*entry]
	reports *ring.Ring[outgoing]
	stopped chan struct{}

	mu        sync.Mutex
	interrupt context.CancelFunc // ends the pull in flight
}

// New returns a dispatcher that is not yet running.
func New(cfg Config) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:     cfg,
		table:   newTable(cfg.MaxAttempts, cfg.MaxEnded, cfg.Incarnation),
		starts:  ring.New[*entry]("starts", cfg.MaxAttempts),
		reports: ring.New[outgoing]("attempt reports", 2*cfg.MaxAttempts),
		stopped: make(chan struct{}),
	}
}

// Run pulls, executes and reports attempts until ctx ends, and returns after
// all its goroutines have ended. Attempts in hand at that time keep running on
// their targets.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { d.pullLoop(ctx) })
	wg.Go(func() { d.reportLoop(ctx) })
	for range d.cfg.MaxAttempts {
		wg.Go(func() { d.work(ctx) })
	}
	wg.Wait()
}

// ActiveAttempts returns the number of attempts that have no confirmed result.
func (d *Dispatcher) ActiveAttempts() int { return d.table.size() }

func (d *Dispatcher) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		news, err := d.pull(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			d.record(event.Event{Kind: EventPullFailed, Reason: err.Error()})
			d.wait(ctx, retryPause)
		case !news:
			d.wait(ctx, idlePause)
		}
	}
}

// pull makes one pull and reports whether it brought anything new.
func (d *Dispatcher) pull(ctx context.Context) (bool, error) {
	pullCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.interrupt = cancel
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
	news := false
	for _, a := range resp.Assignments {
		if d.take(a) {
			news = true
		}
	}
	return news, nil
}

// take adds an assignment or updates a known one. It reports whether that
// changed anything.
func (d *Dispatcher) take(a model.Assignment) bool {
	e, verdict := d.table.take(a)
	switch verdict {
	case verdictStart:
		// The ring holds as many entries as the table, so it has space.
		_ = d.starts.TryPut(e)
		return true
	case verdictUpdated:
		return true
	case verdictForeign:
		d.recordAttempt(EventAssignmentRefused, a, "assigned to another incarnation of the owner")
	case verdictFull, verdictDraining:
		reason := "the owner's table is full"
		if verdict == verdictDraining {
			reason = "the owner is stopping"
		}
		report := model.AttemptReport{Key: a.Key, Attempt: a.Attempt, State: model.AttemptNotBegun, Reason: reason}
		if d.reports.TryPut(outgoing{report: report}) != nil {
			// The next pull brings the assignment again.
			d.table.forget(a)
			return false
		}
		d.recordAttempt(EventNotBegun, a, reason)
		return true
	}
	return false
}

func (d *Dispatcher) work(ctx context.Context) {
	for {
		select {
		case e := <-d.starts.Items():
			d.execute(ctx, e)
		case <-ctx.Done():
			return
		}
	}
}

// report hands a result to the reporter. A final one ends the attempt once the
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
		d.table.reported(e)
	}
	_ = d.reports.Put(ctx, outgoing{report: r, entry: e, final: final}) // fails only when the process stops
}

func (d *Dispatcher) reportLoop(ctx context.Context) {
	var carried *outgoing
	for {
		var batch []outgoing
		if carried == nil {
			select {
			case o := <-d.reports.Items():
				carried = &o
			case <-ctx.Done():
				return
			}
		}
		batch, carried = d.batch(*carried)
		d.deliver(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// batch collects reports that are ready, up to the limits of a message. It
// returns the one that did not fit.
func (d *Dispatcher) batch(first outgoing) (batch []outgoing, next *outgoing) {
	batch = append(batch, first)
	total := size(first)
	for len(batch) < maxBatch {
		more := d.reports.Drain(1)
		if len(more) == 0 {
			return batch, nil
		}
		if total += size(more[0]); total > maxBatchBytes {
			return batch, &more[0]
		}
		batch = append(batch, more[0])
	}
	return batch, nil
}

func size(o outgoing) int {
	return reportOverhead + len(o.report.Key) + len(o.report.Reason) + len(o.report.Answer) + len(o.report.Checkpoint)
}

// deliver sends a batch until the leader confirms it. Reports are idempotent,
// so a batch whose confirmation was lost is sent again.
func (d *Dispatcher) deliver(ctx context.Context, batch []outgoing) {
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
		case !rejected(err):
			d.record(event.Event{Kind: EventReportFailed, Reason: err.Error()})
			d.wait(ctx, retryPause)
			continue
		case len(batch) > 1:
			// One report that the leader rejects must not hold back the others.
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
				d.table.confirm(o.entry)
			}
		}
		return
	}
}

// rejected reports whether the leader will never accept the report.
func rejected(err error) bool {
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
