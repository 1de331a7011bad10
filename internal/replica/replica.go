package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/wal"
)

// outcome is the result of a proposal or of another request to the replica.
type outcome struct {
	value any
	err   error
}

// proposal is a call of Propose or a membership change.
type proposal struct {
	data    []byte
	started time.Time
	done    chan outcome // has capacity 1
}

// request is a function that the core runs in its goroutine.
type request func(c *core)

// Replica is a running replica. It implements Group.
//
// It has three goroutines, which communicate by bounded queues: the core owns
// the raft node and writes the log, the applier owns the state machine and
// takes snapshots, and the sender encodes and sends messages.
type Replica struct {
	cfg     Config
	metrics *replicaMetrics

	inbox       *ring.Ring[[]raft.Message]
	proposals   *ring.Ring[*proposal]
	requests    *ring.Ring[request]
	outbox      *ring.Ring[[]raft.Message]
	tasks       *ring.Ring[applyTask]
	compactions *ring.Ring[raft.SnapshotMeta]
	// taskDone notifies the core that the applier's queue has room again.
	taskDone chan struct{}

	log      *wal.WAL
	inflight atomic.Int64
	applied  atomic.Uint64
	results  results

	mu      sync.Mutex
	status  Status
	changed chan struct{}
	stopErr error

	cancel context.CancelFunc
	group  *errgroup.Group
	done   chan struct{} // closed when all goroutines have ended
}

var _ Group = (*Replica)(nil)

// Start opens the storage and starts the replica, which runs until Close is
// called or ctx ends. Errors: *fault.Invalid for an invalid configuration,
// *fault.Corrupt for damaged files, *fault.Precondition if the directory
// belongs to another replica.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	if err := cfg.validateAndSetDefaults(); err != nil {
		return nil, err
	}
	log, state, identity, err := openStorage(&cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: log, metrics: newMetrics(&cfg),
		inbox:       ring.New[[]raft.Message]("raft inbox", inboxSize),
		proposals:   ring.New[*proposal]("proposals", cfg.MaxInflight),
		requests:    ring.New[request]("replica requests", requestSize),
		outbox:      ring.New[[]raft.Message]("raft outbox", outboxSize),
		tasks:       ring.New[applyTask]("apply tasks", applySize),
		compactions: ring.New[raft.SnapshotMeta]("compactions", compactionSize),
		taskDone:    make(chan struct{}, 1),
		changed:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	r.results.waiters = map[uint64]waiter{}
	c, a, err := r.prepare(state, identity)
	if err != nil {
		r.closeLog()
		return nil, err
	}
	if state.TruncatedBytes > 0 {
		cfg.Logger.Warn().Str("group", cfg.Group).Int64("bytes", state.TruncatedBytes).Msg("truncated the torn tail of the log")
	}
	r.run(ctx, c, a)
	return r, nil
}

// prepare restores the state machine and builds the core and the applier.
func (r *Replica) prepare(state wal.State, identity wal.Identity) (*core, *applier, error) {
	a := &applier{r: r, config: state.Snapshot.Config, index: state.Snapshot.Index, term: state.Snapshot.Term}
	if state.Snapshot.Index > 0 {
		s, err := r.log.LoadSnapshot()
		if err != nil {
			return nil, nil, err
		}
		if err := a.restore(&s); err != nil {
			return nil, nil, err
		}
	}
	r.observeTimestamps(state.Entries)
	c := &core{r: r, reads: map[uint64]chan outcome{}, identity: identity, diskDetector: slowDiskDetector{limit: r.cfg.SlowSyncThreshold}}
	c.timestamps.installSnapshot(a.time)
	c.timestamps.append(state.Entries)
	c.options = raft.Options{
		Group: r.cfg.Group, ID: identity.MemberID(), ElectionTicks: r.cfg.ElectionTicks, Seed: r.cfg.seed(),
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries,
	}
	node, err := raft.New(c.options)
	if err != nil {
		return nil, nil, err
	}
	c.node = node
	c.publish()
	return c, a, nil
}

// run starts the goroutines. If one of them fails, all stop.
func (r *Replica) run(ctx context.Context, c *core, a *applier) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error { return c.run(ctx) })
	r.group.Go(func() error { return a.run(ctx) })
	r.group.Go(func() error { return (&sender{r: r}).run(ctx) })
	go func() {
		r.recordStop(r.group.Wait())
		r.cancel()
		r.closeLog()
		close(r.done)
		r.notifyChanged()
	}()
}

// recordStop records why the replica stopped and fails all pending proposals.
func (r *Replica) recordStop(err error) {
	if err == nil {
		err = &fault.ShuttingDown{}
	} else {
		r.cfg.Logger.Error().Err(err).Str("group", r.cfg.Group).Msg("replica stopped")
		err = &fault.Unavailable{What: "replica of group " + r.cfg.Group, Reason: err.Error()}
	}
	r.mu.Lock()
	r.stopErr = err
	r.status.Role, r.status.Leader, r.status.Reason = RoleFollower, "", err.Error()
	r.mu.Unlock()
	for _, p := range r.proposals.Drain(r.cfg.MaxInflight) {
		r.completeProposal(p, outcome{err: err})
	}
	for _, w := range r.results.removeAfter(0) {
		r.completeProposal(w.proposal, outcome{err: &fault.ProposalUnknown{Group: r.cfg.Group}})
	}
}

func (r *Replica) closeLog() {
	if err := r.log.Close(); err != nil {
		r.cfg.Logger.Warn().Err(err).Str("group", r.cfg.Group).Msg("closing the log failed")
	}
}

// Close stops the replica and waits until its goroutines have ended. It returns
// *fault.Timeout if ctx ends first.
func (r *Replica) Close(ctx context.Context) error {
	started := r.cfg.Clock.Now()
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return &fault.Timeout{What: "stop of a replica", After: r.cfg.Clock.Now().Sub(started)}
	}
}

// Done returns a channel that is closed once the replica has stopped. If it
// stopped because of a failure, Status gives the reason.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Step queues encoded messages from another replica. It returns *fault.Corrupt
// for malformed messages and *fault.LimitExceeded if the inbox is full.
func (r *Replica) Step(messages []byte) error {
	decoded, err := raft.DecodeMessages(messages)
	if err != nil {
		return err
	}
	if err := r.inbox.TryPut(decoded); err != nil {
		r.metrics.droppedMessages.Add(len(decoded))
		return err
	}
	return nil
}

// Propose implements Group.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, &fault.LimitExceeded{What: "proposal bytes", Limit: MaxProposalBytes}
	}
	if err := r.checkRunning(); err != nil {
		return nil, err
	}
	if r.inflight.Add(1) > int64(r.cfg.MaxInflight) {
		r.inflight.Add(-1)
		return nil, &fault.LimitExceeded{What: "proposals in flight", Limit: int64(r.cfg.MaxInflight)}
	}
	p := &proposal{data: data, started: r.cfg.Clock.Now(), done: make(chan outcome, 1)}
	if err := r.proposals.TryPut(p); err != nil {
		r.inflight.Add(-1)
		return nil, err
	}
	return r.awaitOutcome(ctx, p)
}

// awaitOutcome waits for the outcome of a queued proposal. If ctx ends or the
// replica stops first, it returns *fault.ProposalUnknown, since the entry may
// still be committed.
func (r *Replica) awaitOutcome(ctx context.Context, p *proposal) (any, error) {
	select {
	case out := <-p.done:
		return out.value, out.err
	case <-ctx.Done():
	case <-r.done:
		select {
		case out := <-p.done:
			return out.value, out.err
		default:
		}
	}
	return nil, &fault.ProposalUnknown{Group: r.cfg.Group}
}

// completeProposal sends the outcome to the caller that waits for p.
func (r *Replica) completeProposal(p *proposal, out outcome) {
	if out.err == nil {
		r.metrics.commitSeconds.Update(r.cfg.Clock.Now().Sub(p.started).Seconds())
	}
	r.inflight.Add(-1)
	p.done <- out
}

// ReadBarrier implements Group.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.requests.TryPut(func(c *core) { c.startRead(done) }); err != nil {
		return err
	}
	return r.awaitRequest(ctx, "read barrier", done)
}

func (r *Replica) awaitRequest(ctx context.Context, what string, done chan outcome) error {
	started := r.cfg.Clock.Now()
	select {
	case out := <-done:
		return out.err
	case <-ctx.Done():
		return &fault.Timeout{What: what, After: r.cfg.Clock.Now().Sub(started)}
	case <-r.done:
		return r.checkRunning()
	}
}

// checkRunning returns an error with the reason if the replica has stopped.
func (r *Replica) checkRunning() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// AddReplica implements Group. It returns once the learner is a member.
func (r *Replica) AddReplica(ctx context.Context, m Member) error {
	return r.proposeChange(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposeAdd(raft.Member(m)) })
}

// PromoteReplica makes a standby an ordinary learner, which becomes a voter
// once it has caught up. Errors without effect: *fault.NotLeader,
// *fault.NotFound, *fault.Precondition.
func (r *Replica) PromoteReplica(ctx context.Context, id string) error {
	return r.proposeChange(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposePromote(id) })
}

// RemoveReplica implements Group.
func (r *Replica) RemoveReplica(ctx context.Context, id string) error {
	return r.proposeChange(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposeRemove(id) })
}

func (r *Replica) proposeChange(ctx context.Context, propose func(*raft.Node) (uint64, uint64, error)) error {
	p := &proposal{started: r.cfg.Clock.Now(), done: make(chan outcome, 1)}
	err := r.requests.TryPut(func(c *core) {
		r.inflight.Add(1)
		index, term, err := propose(c.node)
		if err != nil {
			r.completeProposal(p, outcome{err: err})
			return
		}
		r.results.add(index, waiter{term: term, proposal: p})
	})
	if err != nil {
		return err
	}
	_, err = r.awaitOutcome(ctx, p)
	return err
}

// TransferLeadership implements Group. It returns *fault.Timeout if this
// replica still leads after one election timeout.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.requests.TryPut(func(c *core) { c.startTransfer(done) }); err != nil {
		return err
	}
	return r.awaitRequest(ctx, "leadership transfer", done)
}

// SilentMembers returns the ids of the members that this replica, if it leads,
// has not heard from within the shortest election timeout. It returns
// *fault.LimitExceeded if the request queue is full.
func (r *Replica) SilentMembers(ctx context.Context) ([]string, error) {
	done := make(chan outcome, 1)
	if err := r.requests.TryPut(func(c *core) { done <- outcome{value: c.node.SilentMembers()} }); err != nil {
		return nil, err
	}
	select {
	case out := <-done:
		ids, _ := out.value.([]string)
		return ids, out.err
	case <-r.done:
		return nil, &fault.ShuttingDown{}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Status implements Group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Applied = r.applied.Load()
	return s
}

// Changed implements Group.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *Replica) notifyChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// observeTimestamps advances the hybrid clock past the timestamps of stored
// entries. Those that the clock refuses are covered by core.timestamps.
func (r *Replica) observeTimestamps(entries []raft.Entry) {
	for _, e := range entries {
		if t, ok := timestampOf(e); ok {
			_ = r.cfg.HLC.Observe(t)
		}
	}
}
