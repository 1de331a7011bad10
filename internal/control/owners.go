package control

import (
	"context"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// updateInterval is the least time between two deliveries of the same update to
// an owner. Updates are level-triggered, so a lost response is repaired by
// the next delivery.
const updateInterval = 500 * time.Millisecond

// ownerGrace is how long an owner may be without an open pull before it is
// suspected. A live one pulls again at once, also after a lost connection.
const ownerGrace = 500 * time.Millisecond

// ownerState is the leader's view of whether an owner still executes its
// attempts.
type ownerState int

const (
	// ownerAlive has an open pull or had one within ownerGrace.
	ownerAlive ownerState = iota
	// ownerSuspected has no open pull, but its lease still runs.
	ownerSuspected
	// ownerGone has lost its lease or was replaced by another process.
	ownerGone
)

// owner is an entry host that executes attempts.
type owner struct {
	incarnation string
	// lastPull is when a pull last began, woke up or ended.
	lastPull time.Time
	// openPulls counts the open pulls. A pull ends when its connection breaks.
	openPulls  int
	draining   bool
	lastUpdate time.Time
}

// PullAssignments returns the attempts that the owner does not know yet, and
// the known ones that must stop or whose host is draining, which may include a
// checkpoint order. It waits up to r.WaitMS.
func (c *Controller) PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	deadline := c.cfg.Clock.After(time.Duration(r.WaitMS) * time.Millisecond)
	if err := c.requireLeading(); err != nil {
		return nil, err
	}
	defer c.beginPull(r)()
	for {
		changed := c.cfg.StateMachine.Changed()
		updatesDue := c.recordOwner(r)
		if list := c.assignments(r, updatesDue); len(list) > 0 {
			return &peer.PullAssignmentsResponse{Assignments: list}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return &peer.PullAssignmentsResponse{}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := c.requireLeading(); err != nil {
			return nil, err
		}
	}
}

// beginPull counts an open pull of an owner. The returned function ends it.
func (c *Controller) beginPull(r *peer.PullAssignmentsRequest) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.getOrAddOwner(r)
	o.openPulls++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		o.openPulls--
		o.lastPull = c.cfg.Clock.Now()
	}
}

// getOrAddOwner returns the entry of the owner's process, and replaces that of
// an earlier one. The caller holds the lock.
func (c *Controller) getOrAddOwner(r *peer.PullAssignmentsRequest) *owner {
	o := c.owners[r.Owner]
	if o == nil || o.incarnation != r.Incarnation {
		o = &owner{incarnation: r.Incarnation, lastPull: c.cfg.Clock.Now()}
		c.owners[r.Owner] = o
	}
	return o
}

// recordOwner renews the owner's lease and reports whether updates of known
// attempts are due.
func (c *Controller) recordOwner(r *peer.PullAssignmentsRequest) bool {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.getOrAddOwner(r)
	o.lastPull, o.draining = now, r.Draining
	return now.Sub(o.lastUpdate) >= updateInterval
}

func (c *Controller) assignments(r *peer.PullAssignmentsRequest, updatesDue bool) []model.Assignment {
	known := make(map[peer.AttemptRef]bool, len(r.Known))
	for _, ref := range r.Known {
		known[ref] = true
	}
	var fresh, updates []model.Assignment
	c.cfg.StateMachine.View(func(v datacentre.View) {
		for _, a := range v.Requests.Assignments(r.Owner, r.Incarnation) {
			c.addHostAndKind(&a, v)
			switch {
			case !known[peer.AttemptRef{Key: a.Key, Attempt: a.Attempt}]:
				fresh = append(fresh, a)
			case a.StopRequested || a.HostDraining:
				updates = append(updates, a)
			}
		}
	})
	if len(updates) > 0 && updatesDue {
		c.mu.Lock()
		if o := c.owners[r.Owner]; o != nil {
			o.lastUpdate = c.cfg.Clock.Now()
		}
		c.mu.Unlock()
		return append(fresh, updates...)
	}
	return fresh
}

// addHostAndKind sets the fields of an assignment that come from the inventory
// and from the job kind's record.
func (c *Controller) addHostAndKind(a *model.Assignment, v datacentre.View) {
	if h, ok := v.Hosts.Host(a.Host); ok {
		// A host that is set aside is assigned only probes, which must run.
		a.HostDraining = h.State != model.HostReady && h.State != model.HostSetAside
		a.CanRevoke = h.Info.Can(model.CapabilityRevoke)
		a.CheckpointRequested = a.CheckpointRequested && h.State == model.HostDraining
	}
	a.StopLimitMS = model.DefaultStopLimitMS
	if k := v.Catalogue.JobKinds[a.Kind]; k != nil {
		a.StopLimitMS = k.StopLimitMS
	}
}

// ownerStateOf returns the state of the process that an attempt was assigned
// to.
func (c *Controller) ownerStateOf(host, incarnation string) ownerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	// After a change of leader an owner has one full lease to pull again.
	silence, openPulls := c.cfg.Clock.Now().Sub(c.termStart), 0
	if o := c.owners[host]; o != nil {
		if o.incarnation != incarnation {
			return ownerGone
		}
		silence, openPulls = c.cfg.Clock.Now().Sub(o.lastPull), o.openPulls
	}
	switch {
	case silence > c.cfg.Timing.OwnerLease:
		return ownerGone
	case openPulls == 0 && silence > ownerGrace:
		return ownerSuspected
	}
	return ownerAlive
}

// leaveToOwner reports whether an open attempt stays with its owner. The leader
// takes over from a suspected owner only attempts that the target can revoke:
// if the owner is alive after all, the target then refuses its start.
func (c *Controller) leaveToOwner(a *ledger.OpenAttempt, canRevoke bool) bool {
	if a.State != model.AttemptAssigned {
		return false
	}
	switch c.ownerStateOf(a.Owner, a.OwnerIncarnation) {
	case ownerAlive:
		return true
	case ownerSuspected:
		return !canRevoke
	}
	return false
}

// ownerFor chooses the entry host that executes a request: the one that
// received it from the caller if that is alive in this data centre, else one of
// the others by rotation.
func (c *Controller) ownerFor(key string, rotation int) (host, incarnation string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	usable := func(o *owner) bool {
		return o != nil && !o.draining && now.Sub(o.lastPull) <= c.cfg.Timing.OwnerLease
	}
	if entry := c.entryHosts[key]; usable(c.owners[entry]) {
		return entry, c.owners[entry].incarnation, true
	}
	var names []string
	for name, o := range c.owners {
		if usable(o) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", "", false
	}
	sort.Strings(names)
	name := names[rotation%len(names)]
	return name, c.owners[name].incarnation, true
}
