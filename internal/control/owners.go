package control

import (
	"context"
	"sort"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// updateRepeat is the least time between two deliveries of the same update to
// an owner. Updates are level-triggered, so a lost response is repaired by
// the next delivery.
const updateRepeat = 500 * time.Millisecond

// owner is an entry host that executes attempts.
type owner struct {
	incarnation string
	at          time.Time
	draining    bool
	updatedAt   time.Time
}

// PullAssignments returns the attempts that the owner does not know yet, and
// known ones that must stop, or whose host drains and may want a checkpoint. It waits up to r.WaitMS.
func (c *Controller) PullAssignments(ctx context.Context, r *peer.PullAssignmentsRequest) (*peer.PullAssignmentsResponse, error) {
	deadline := c.cfg.Clock.After(time.Duration(r.WaitMS) * time.Millisecond)
	for {
		if err := c.requireLeading(); err != nil {
			return nil, err
		}
		changed := c.cfg.Machine.Changed()
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
	}
}

// recordOwner renews the owner's lease and reports whether updates of known
// attempts are due.
func (c *Controller) recordOwner(r *peer.PullAssignmentsRequest) bool {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[r.Owner]
	if o == nil || o.incarnation != r.Incarnation {
		o = &owner{incarnation: r.Incarnation}
		c.owners[r.Owner] = o
	}
	o.at, o.draining = now, r.Draining
	return now.Sub(o.updatedAt) >= updateRepeat
}

func (c *Controller) assignments(r *peer.PullAssignmentsRequest, updatesDue bool) []model.Assignment {
	known := make(map[peer.AttemptRef]bool, len(r.Known))
	for _, ref := range r.Known {
		known[ref] = true
	}
	var fresh, updates []model.Assignment
	c.cfg.Machine.View(func(v datacentre.View) {
		for _, a := range v.Requests.Assignments(r.Owner, r.Incarnation) {
			c.complete(&a, v)
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
			o.updatedAt = c.cfg.Clock.Now()
		}
		c.mu.Unlock()
		return append(fresh, updates...)
	}
	return fresh
}

// complete adds what the owner needs to know of the host and the job kind.
func (c *Controller) complete(a *model.Assignment, v datacentre.View) {
	if h, ok := v.Hosts.Host(a.Host); ok {
		// A host that is set aside gets only probes, which have to run.
		a.HostDraining = h.State != model.HostReady && h.State != model.HostSetAside
		a.CanRevoke = h.Info.Can(model.CapabilityRevoke)
		a.CheckpointRequested = a.CheckpointRequested && h.State == model.HostDraining
	}
	a.StopLimitMS = model.DefaultStopLimitMS
	if k := v.Catalogue.JobKinds[a.Kind]; k != nil {
		a.StopLimitMS = k.StopLimitMS
	}
}

// ownerAlive reports whether an owner's process still holds its lease.
func (c *Controller) ownerAlive(host, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[host]
	if o == nil {
		// After a change of leader an owner has one lease to report.
		return c.cfg.Clock.Now().Sub(c.termStart) <= c.cfg.Timing.OwnerLease
	}
	return o.incarnation == incarnation && c.cfg.Clock.Now().Sub(o.at) <= c.cfg.Timing.OwnerLease
}

// ownerFor chooses the entry host that executes a request: the one that took
// it from the caller if it is alive here, else the others in turn.
func (c *Controller) ownerFor(key string, turn int) (host, incarnation string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	usable := func(o *owner) bool {
		return o != nil && !o.draining && now.Sub(o.at) <= c.cfg.Timing.OwnerLease
	}
	if entry := c.entries[key]; usable(c.owners[entry]) {
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
	name := names[turn%len(names)]
	return name, c.owners[name].incarnation, true
}
