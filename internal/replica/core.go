package replica

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/wal"
)

// core is the event loop of a replica. Its goroutine owns the raft node and
// writes the log.
type core struct {
	r        *Replica
	node     *raft.Node
	options  raft.Options
	identity wal.Identity

	nextRead uint64
	reads    map[uint64]chan outcome
	// transfers are the callers that wait for a leadership transfer to end.
	transfers []chan outcome
	// backlog holds the tasks that do not fit into the applier's queue. It needs
	// no bound of its own, since the log holds the same entries.
	backlog []applyTask

	timestamps logTimestamps
	// skew is the clock skew error of this host as of the last tick, nil while no
	// skew is proven.
	skew error
	// ticks counts the ticks since the start. Until it reaches refusedUntil, the
	// leader of refusedTerm is ignored.
	ticks, refusedTerm, refusedUntil uint64

	diskDetector slowDiskDetector
	// transferNeeded is set when the next tick has to transfer the leadership
	// because of a slow disk.
	transferNeeded bool

	// published is the raft status that r.status was last built from.
	published   raft.Status
	wasLeader   bool
	lastLedTerm uint64 // term in which this node led last
}

func (c *core) run(ctx context.Context) error {
	defer c.failRequests(&fault.ShuttingDown{})
	r := c.r
	tick := r.cfg.Clock.After(r.cfg.TickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			c.ticks++
			c.checkClock()
			c.checkDisk()
			c.node.Tick()
			tick = r.cfg.Clock.After(r.cfg.TickInterval)
		case messages := <-r.inbox.Items():
			c.step(messages)
		case p := <-r.proposals.Items():
			c.propose(p)
		case q := <-r.requests.Items():
			q(c)
		case s := <-r.compactions.Items():
			if err := c.compact(s); err != nil {
				return err
			}
		case <-r.taskDone:
		}
		c.drain()
		if err := c.flush(); err != nil {
			return err
		}
	}
}

// drain handles everything else that is queued, so that it shares one log sync.
func (c *core) drain() {
	for _, messages := range c.r.inbox.Drain(drainLimit) {
		c.step(messages)
	}
	for _, p := range c.r.proposals.Drain(drainLimit) {
		c.propose(p)
	}
	for _, q := range c.r.requests.Drain(drainLimit) {
		q(c)
	}
}

func (c *core) step(messages []raft.Message) {
	for _, m := range messages {
		if !c.refusesMessage(&m) {
			c.node.Step(m)
		}
	}
}

func (c *core) propose(p *proposal) {
	if c.skew != nil {
		c.r.completeProposal(p, outcome{err: c.skew})
		return
	}
	entry := raft.Entry{Type: raft.EntryNormal, Data: encodeEnvelope(c.timestamps.next(c.r.cfg.HLC.Now()), p.data)}
	index, term, err := c.node.Propose(entry.Data)
	if err != nil {
		c.r.completeProposal(p, outcome{err: err})
		return
	}
	entry.Index = index
	c.timestamps.add(entry)
	c.r.metrics.proposals.Inc()
	c.r.results.add(index, waiter{term: term, proposal: p})
}

func (c *core) startRead(done chan outcome) {
	c.nextRead++
	if err := c.node.ReadIndex(c.nextRead); err != nil {
		done <- outcome{err: err}
		return
	}
	c.reads[c.nextRead] = done
}

func (c *core) startTransfer(done chan outcome) {
	if _, err := c.node.TransferLeadership(); err != nil {
		done <- outcome{err: err}
		return
	}
	c.transfers = append(c.transfers, done)
}

// checkDisk transfers the leadership away from a host whose disk is slow.
func (c *core) checkDisk() {
	if !c.transferNeeded {
		return
	}
	c.transferNeeded = false
	to, err := c.node.TransferLeadership()
	c.r.cfg.Logger.Warn().AnErr("refused", err).Str("to", to).Str("group", c.r.cfg.Group).
		Msg("leadership handed over because of the disk")
}

// compact discards log entries that a durable snapshot covers.
func (c *core) compact(s raft.SnapshotMeta) error {
	c.node.Compact(s, raft.Retention{Entries: c.r.cfg.SnapshotEntries / 2, Bytes: c.r.cfg.SnapshotBytes / 4})
	return c.r.log.RemoveSegmentsUpTo(s.Index)
}

// flush processes the work of the raft node until there is none.
func (c *core) flush() error {
	for {
		rd, ok := c.node.Ready()
		if err := c.node.Err(); err != nil {
			return err
		}
		if !ok {
			break
		}
		if err := c.processReady(&rd); err != nil {
			return err
		}
		c.node.Advance(rd)
	}
	if c.node.Status().LostDisk {
		if err := c.changeIncarnation(); err != nil {
			return err
		}
	}
	c.submitBacklog()
	c.publish()
	return nil
}

func (c *core) processReady(rd *raft.Ready) error {
	later := rd.Messages
	if rd.MaySendBeforeSync() {
		var first []raft.Message
		first, later = splitForSync(rd.Messages)
		c.send(first)
	}
	if rd.Snapshot != nil {
		if err := c.r.log.InstallSnapshot(*rd.Snapshot); err != nil {
			return err
		}
		c.r.metrics.installedSnapshots.Inc()
		c.backlog = append(c.backlog, applyTask{snapshot: rd.Snapshot})
		if t, _, err := decodeEnvelope(rd.Snapshot.Data); err == nil {
			c.timestamps.installSnapshot(t)
		}
	}
	if rd.MustSync {
		started := c.r.cfg.Clock.Now()
		if err := c.r.log.Save(rd.HardState, rd.Entries); err != nil {
			return err
		}
		c.r.metrics.logBytes.Set(uint64(c.r.log.BytesWritten()))
		now := c.r.cfg.Clock.Now()
		c.r.metrics.syncSeconds.Update(now.Sub(started).Seconds())
		c.transferNeeded = c.transferNeeded || c.diskDetector.recordSync(now.Sub(started), c.node.Status().Role == raft.Leader, now)
	}
	c.r.observeTimestamps(rd.Entries)
	c.timestamps.append(rd.Entries)
	c.send(later)
	if len(rd.Committed) > 0 {
		c.timestamps.commit(rd.Committed[len(rd.Committed)-1].Index)
		c.backlog = append(c.backlog, applyTask{entries: rd.Committed})
		c.submitBacklog()
	}
	for _, s := range rd.Reads {
		if done, ok := c.reads[s.ID]; ok {
			delete(c.reads, s.ID)
			c.r.results.awaitApplied(s.Index, done, &c.r.applied)
		}
	}
	return nil
}

// splitForSync separates the messages that may be sent before the log sync from
// those that must wait for it, such as votes and a follower's acknowledgements.
func splitForSync(messages []raft.Message) (first, later []raft.Message) {
	for _, m := range messages {
		if m.Type == raft.MsgAppend || m.Type == raft.MsgHeartbeat {
			first = append(first, m)
		} else {
			later = append(later, m)
		}
	}
	return first, later
}

func (c *core) send(messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	if err := c.r.outbox.TryPut(messages); err != nil {
		c.r.metrics.droppedMessages.Add(len(messages))
	}
}

// submitBacklog queues as many tasks for the applier as its queue has room for.
func (c *core) submitBacklog() {
	for len(c.backlog) > 0 && c.r.tasks.TryPut(c.backlog[0]) == nil {
		c.backlog = c.backlog[1:]
	}
}

// changeIncarnation gives this host a new identity after its disk was lost, so
// that it cannot vote under its former id and contradict an earlier vote. An
// operator has to add the new id to the group.
func (c *core) changeIncarnation() error {
	former := c.identity.MemberID()
	c.identity.Incarnation = c.r.cfg.NewIncarnation()
	if err := wal.SaveIdentity(c.r.cfg.FS, c.r.cfg.Dir, c.identity); err != nil {
		return err
	}
	c.options.ID = c.identity.MemberID()
	c.options.HardState = raft.HardState{Term: c.node.Status().Term}
	node, err := raft.New(c.options)
	if err != nil {
		return err
	}
	c.node = node
	c.r.cfg.Logger.Warn().Str("group", c.r.cfg.Group).Str("former", former).Str("id", c.options.ID).
		Msg("disk lost: an operator must add this replica under its new id")
	return nil
}

// publish updates Status, and completes the requests that a change of leadership
// ends.
func (c *core) publish() {
	s := c.node.Status()
	leading := s.Role == raft.Leader
	if c.wasLeader && (!leading || s.Term != c.lastLedTerm) {
		c.onLeadershipLost(&s)
	}
	c.completeTransfers(&s)
	c.wasLeader = leading
	if leading {
		c.lastLedTerm = s.Term
	}
	old := c.published
	changed := s.Leader != old.Leader || s.Role != old.Role || s.Term != old.Term || s.ID != old.ID
	configured := sameMembers(s.Config, old.Config)
	if !changed && configured && s.Committed == old.Committed {
		return
	}
	c.published = s
	status := Status{
		Group: c.r.cfg.Group, ID: s.ID, Role: roleOf(&s), Term: s.Term, Leader: raft.HostOf(s.Leader),
		Committed: s.Committed, Reason: reasonOf(&s),
	}
	c.r.mu.Lock()
	status.Members = c.r.status.Members
	if !configured || status.Members == nil {
		status.Members = membersOf(s.Config)
	}
	c.r.status = status
	c.r.mu.Unlock()
	if changed {
		c.r.metrics.leaderChanges.Inc()
		c.r.cfg.Logger.Info().Str("group", status.Group).Str("id", s.ID).Str("role", string(status.Role)).
			Uint64("term", s.Term).Str("leader", status.Leader).Msg("role or leader changed")
		c.r.notifyChanged()
	}
}

// sameMembers compares the underlying arrays, which is enough because a
// configuration is never modified in place.
func sameMembers(a, b raft.Configuration) bool {
	return len(a.Members) == len(b.Members) && (len(a.Members) == 0 || &a.Members[0] == &b.Members[0])
}

func roleOf(s *raft.Status) Role {
	switch {
	case s.Role == raft.Leader:
		return RoleLeader
	case !s.Config.IsVoter(s.ID):
		return RoleLearner
	case s.Role == raft.Follower:
		return RoleFollower
	}
	return RoleCandidate
}

func reasonOf(s *raft.Status) string {
	if _, member := s.Config.Find(s.ID); !member {
		return "replica " + s.ID + " is not a member of the group: an operator must add it"
	}
	return ""
}

// onLeadershipLost fails the pending reads, which may be stale, and the
// proposals that are not known to be committed. Committed ones get their result
// from the applier.
func (c *core) onLeadershipLost(s *raft.Status) {
	leader := ""
	if s.Leader != s.ID {
		leader = raft.HostOf(s.Leader)
	}
	for id, done := range c.reads {
		delete(c.reads, id)
		done <- outcome{err: &fault.NotLeader{Group: c.r.cfg.Group, Leader: leader}}
	}
	for _, w := range c.r.results.removeAfter(s.Committed) {
		c.r.completeProposal(w.proposal, outcome{err: &fault.ProposalUnknown{Group: c.r.cfg.Group}})
	}
}

func (c *core) completeTransfers(s *raft.Status) {
	if s.Transferring || len(c.transfers) == 0 {
		return
	}
	out := outcome{}
	if s.Role == raft.Leader {
		timeout := time.Duration(c.r.cfg.ElectionTicks) * c.r.cfg.TickInterval
		out.err = &fault.Timeout{What: "leadership transfer", After: timeout}
	}
	for _, done := range c.transfers {
		done <- out
	}
	c.transfers = nil
}

// failRequests fails the pending reads and leadership transfers with err.
func (c *core) failRequests(err error) {
	for id, done := range c.reads {
		delete(c.reads, id)
		done <- outcome{err: err}
	}
	for _, done := range c.transfers {
		done <- outcome{err: err}
	}
	c.transfers = nil
}
