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

// proposal is one call of Propose, AddReplica or RemoveReplica.
type proposal struct {
	data    []byte
	started time.Time
	done    chan outcome // holds one
}

// request is a call that the core goroutine handles.
type request func(c *core)

// Replica is a running replica. It implements Group.
//
// Goroutines: the core owns the raft node and writes the log; the applier
// owns the state machine and takes snapshots; the sender encodes and sends
// messages. Bounded rings join them.
type Replica struct {
	cfg     Config
	metrics *meters

	inbox       *ring.Ring[[]raft.Message]
	proposals   *ring.Ring[*proposal]
	requests    *ring.Ring[request]
	outbox      *ring.Ring[[]raft.Message]
	tasks       *ring.Ring[applyTask]
	compactions *ring.Ring[raft.SnapshotMeta]
	// taskDone tells the core that the applier has room again.
	taskDone chan struct{}

	log      *wal.WAL
	inflight atomic.Int64
	applied  atomic.Uint64
	results  results

	mu      sync.Mutex
	status  Status
	changed chan struct{}
	failure error

	cancel context.CancelFunc
	group  *errgroup.Group
	done   chan struct{} // closed when all goroutines have ended
}

var _ Group = (*Replica)(nil)

// Start opens the storage and starts the replica. It runs until Close, or
// until ctx ends. Errors: *fault.Invalid for a bad configuration,
// *fault.Corrupt for damaged files, *fault.Precondition for the directory of
// another replica.
func Start(ctx context.Context, cfg Config) (*Replica, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	log, state, identity, err := openStorage(&cfg)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, log: log, metrics: newMeters(&cfg),
		inbox:       ring.New[[]raft.Message]("raft inbox", inboxSize),
		proposals:   ring.New[*proposal]("proposals", cfg.MaxInflight),
		requests:    ring.New[request]("replica requests", controlSize),
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
		cfg.Logger.Warn().Str("group", cfg.Group).Int64("bytes", state.TruncatedBytes).Msg("cut off torn log tail")
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
	r.observe(state.Entries)
	c := &core{r: r, reads: map[uint64]chan outcome{}, identity: identity, disk: slowDisk{limit: r.cfg.SlowSyncThreshold}}
	c.times.install(a.time)
	c.times.append(state.Entries)
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

// run starts the goroutines. If one fails, all end.
func (r *Replica) run(ctx context.Context, c *core, a *applier) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.group, ctx = errgroup.WithContext(ctx)
	r.group.Go(func() error { return c.run(ctx) })
	r.group.Go(func() error { return a.run(ctx) })
	r.group.Go(func() error { return (&sender{r: r}).run(ctx) })
	go func() {
		r.fail(r.group.Wait())
		r.cancel()
		r.closeLog()
		close(r.done)
		r.notify()
	}()
}

// fail records why the replica stopped and refuses what was never proposed.
func (r *Replica) fail(err error) {
	if err == nil {
		err = &fault.ShuttingDown{}
	} else {
		r.cfg.Logger.Error().Err(err).Str("group", r.cfg.Group).Msg("replica stopped")
		err = &fault.Unavailable{What: "replica of group " + r.cfg.Group, Reason: err.Error()}
	}
	r.mu.Lock()
	r.failure = err
	r.status.Role, r.status.Leader, r.status.Reason = RoleFollower, "", err.Error()
	r.mu.Unlock()
	for _, p := range r.proposals.Drain(r.cfg.MaxInflight) {
		r.finish(p, outcome{err: err})
	}
	for _, w := range r.results.take(0) {
		r.finish(w.proposal, outcome{err: &fault.ProposalUnknown{Group: r.cfg.Group}})
	}
}

func (r *Replica) closeLog() {
	if err := r.log.Close(); err != nil {
		r.cfg.Logger.Warn().Err(err).Str("group", r.cfg.Group).Msg("close log")
	}
}

// Close stops the replica and waits for its goroutines. It returns
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

// Done returns a channel that is closed once the replica has stopped, by
// Close or by a failure that Status explains.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Step takes encoded messages of another replica. Errors: *fault.Corrupt for
// messages that cannot be decoded, *fault.LimitExceeded if the inbox is full.
func (r *Replica) Step(messages []byte) error {
	decoded, err := raft.DecodeMessages(messages)
	if err != nil {
		return err
	}
	if err := r.inbox.TryPut(decoded); err != nil {
		r.metrics.dropped.Add(len(decoded))
		return err
	}
	return nil
}

// Propose implements Group.
func (r *Replica) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > MaxProposalBytes {
		return nil, &fault.LimitExceeded{What: "proposal bytes", Limit: MaxProposalBytes}
	}
	if err := r.stopped(); err != nil {
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
	return r.await(ctx, p)
}

// await waits for the outcome of a proposal that the core may have accepted.
func (r *Replica) await(ctx context.Context, p *proposal) (any, error) {
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

// finish hands the outcome to the caller of Propose.
func (r *Replica) finish(p *proposal, out outcome) {
	if out.err == nil {
		r.metrics.commitSeconds.Update(r.cfg.Clock.Now().Sub(p.started).Seconds())
	}
	r.inflight.Add(-1)
	p.done <- out
}

// ReadBarrier implements Group.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.requests.TryPut(func(c *core) { c.read(done) }); err != nil {
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
		return r.stopped()
	}
}

// stopped returns why the replica has stopped, or nil while it runs.
func (r *Replica) stopped() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

// AddReplica implements Group. It returns once the learner is a member.
func (r *Replica) AddReplica(ctx context.Context, m Member) error {
	return r.change(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposeAdd(raft.Member(m)) })
}

// PromoteReplica lets a standby learner become a voter. Errors:
// *fault.NotLeader, *fault.NotFound, *fault.Precondition (no effect).
func (r *Replica) PromoteReplica(ctx context.Context, id string) error {
	return r.change(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposePromote(id) })
}

// RemoveReplica implements Group.
func (r *Replica) RemoveReplica(ctx context.Context, id string) error {
	return r.change(ctx, func(n *raft.Node) (uint64, uint64, error) { return n.ProposeRemove(id) })
}

func (r *Replica) change(ctx context.Context, propose func(*raft.Node) (uint64, uint64, error)) error {
	p := &proposal{started: r.cfg.Clock.Now(), done: make(chan outcome, 1)}
	err := r.requests.TryPut(func(c *core) {
		r.inflight.Add(1)
		index, term, err := propose(c.node)
		if err != nil {
			r.finish(p, outcome{err: err})
			return
		}
		r.results.add(index, waiter{term: term, proposal: p})
	})
	if err != nil {
		return err
	}
	_, err = r.await(ctx, p)
	return err
}

// TransferLeadership implements Group. It returns *fault.Timeout if the
// follower did not take over within one election timeout.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.requests.TryPut(func(c *core) { c.transfer(done) }); err != nil {
		return err
	}
	return r.awaitRequest(ctx, "leadership transfer", done)
}

// SilentMembers returns the ids of the members that this replica, as the leader, has
// not heard from within one election timeout. It returns *fault.LimitExceeded
// if too many requests wait.
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

func (r *Replica) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// observe keeps the hybrid clock after the time of every stored entry. The
// timeline of the core covers those that it refuses.
func (r *Replica) observe(entries []raft.Entry) {
	for _, e := range entries {
		if t, ok := timeOf(e); ok {
			_ = r.cfg.HLC.Observe(t)
		}
	}
}
