package control

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

const (
	// maxQueuedPerClass bounds the queued requests of one pool and priority
	// that one plan considers, so that a long queue does not slow it down.
	maxQueuedPerClass = 512
	// maxDispatchItems bounds the decisions of one log entry.
	maxDispatchItems = 256
)

var planPriorities = [...]model.Priority{model.Urgent, model.Normal, model.Patient}

// place plans and commits dispatch decisions until no queued request fits.
func (c *Controller) place(ctx context.Context) {
	for ctx.Err() == nil {
		in := c.placementInput()
		if len(in.Queued) == 0 {
			return
		}
		c.dispatchProbes(ctx, in.Queued)
		plan := c.cfg.Policy.Placement.Plan(in)
		for _, p := range plan.Parked {
			_, _ = c.proposeRequest(ctx, ledger.Command{Park: &ledger.Park{Key: p.Key, Reason: p.Reason}})
		}
		if c.dispatch(ctx, plan.Decisions) == 0 {
			return
		}
	}
}

// dispatch commits decisions and returns how many were accepted.
func (c *Controller) dispatch(ctx context.Context, decisions []placement.Decision) int {
	accepted := 0
	for len(decisions) > 0 {
		n := min(len(decisions), maxDispatchItems)
		items := c.dispatchItems(decisions[:n])
		decisions = decisions[n:]
		if len(items) == 0 {
			continue
		}
		result, err := c.proposeRequest(ctx, ledger.Command{Dispatch: &ledger.Dispatch{Items: items}})
		if err != nil {
			return accepted
		}
		accepted += len(result.Dispatched)
	}
	return accepted
}

func (c *Controller) dispatchItems(decisions []placement.Decision) []ledger.DispatchItem {
	items := make([]ledger.DispatchItem, 0, len(decisions))
	for _, d := range decisions {
		r, ok := c.cfg.StateMachine.Request(d.Key)
		if !ok {
			continue
		}
		c.ownerRotation++
		host, incarnation, ok := c.ownerFor(d.Key, c.ownerRotation)
		if !ok {
			return nil // no entry host can execute attempts now
		}
		cpu, memory := c.reservedSize(r)
		items = append(items, ledger.DispatchItem{
			Key: d.Key, Attempt: ledger.NextAttempt(r), Host: d.Host, LentBy: d.LentBy,
			Owner: host, OwnerIncarnation: incarnation, Reason: d.Reason,
			CPUMillis: cpu, MemoryMB: memory,
		})
	}
	return items
}

// placementInput copies the input of the placement policy from the state.
func (c *Controller) placementInput() placement.Input {
	now := c.cfg.Clock.Now()
	in := placement.Input{
		Pools:       make(map[string]placement.Pool),
		TeamRunning: make(map[string]int),
		TeamLimit:   make(map[string]int),
	}
	c.cfg.StateMachine.View(func(v datacentre.View) {
		for name := range v.Catalogue.Pools {
			c.addQueued(&in, v, name, now)
		}
		if len(in.Queued) == 0 {
			return
		}
		in.Hosts = make([]placement.Host, 0, v.Hosts.Len())
		v.Hosts.Each(func(h *model.Host) { in.Hosts = append(in.Hosts, placementHost(h, v)) })
		for name, pool := range v.Catalogue.Pools {
			in.Pools[name] = placement.Pool{
				Spare:        pool.Spare,
				ServesUrgent: servesUrgent(v.Catalogue, name),
				Running:      v.Requests.RunningByPriority(name),
			}
		}
		for team, quota := range v.Catalogue.Quotas {
			if quota.MaxRunning > 0 {
				in.TeamLimit[team] = quota.MaxRunning
				in.TeamRunning[team] = v.Requests.TeamRunning(team)
			}
		}
	})
	c.excludeSilentHosts(in.Hosts)
	return in
}

func (c *Controller) addQueued(in *placement.Input, v datacentre.View, pool string, now time.Time) {
	for _, class := range planPriorities {
		for _, r := range v.Requests.QueuedClass(pool, class, maxQueuedPerClass) {
			if r.NotBefore.WallMillis > now.UnixMilli() {
				continue
			}
			cpu, memory := c.reservedSize(r)
			q := placement.Request{
				Key: r.Key, Pool: r.Pool, Team: r.Team, Priority: r.Priority,
				Waiting:   time.Duration(now.UnixMilli()-r.Claimed.WallMillis) * time.Millisecond,
				RunTime:   c.expectedRunTime(r.Kind, v.Catalogue),
				CPUMillis: cpu, MemoryMB: memory, Accelerators: r.Accelerators,
			}
			if !r.Deadline.IsZero() {
				q.Slack = time.Duration(r.Deadline.WallMillis-now.UnixMilli()) * time.Millisecond
			}
			for i := range r.Attempts {
				// A checkpointed attempt was moved off its host and did not fail.
				if r.Attempts[i].State != model.AttemptCheckpointed {
					q.Avoid = append(q.Avoid, r.Attempts[i].Host)
				}
			}
			in.Queued = append(in.Queued, q)
		}
	}
}

func placementHost(h *model.Host, v datacentre.View) placement.Host {
	cpu, memory, accelerators := v.Requests.Reserved(h.Info.Name)
	return placement.Host{
		Name: h.Info.Name, Pool: h.Pool, Rack: h.Info.Rack,
		Available: h.State == model.HostReady && !h.Info.Leaving,
		Slots:     h.Info.Slots, CPUMillis: h.Info.CPUMillis, MemoryMB: h.Info.MemoryMB,
		Accelerators:  h.Info.Accelerators,
		UsedSlots:     v.Requests.HeldSlots(h.Info.Name),
		UsedCPUMillis: cpu, UsedMemoryMB: memory, UsedAccelerators: accelerators,
	}
}

// excludeSilentHosts excludes hosts from the plan that have missed two
// announcements. Their lease still runs, but a start sent to them would likely be
// lost.
func (c *Controller) excludeSilentHosts(hosts []placement.Host) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range hosts {
		k := c.contacts[hosts[i].Name]
		if k == nil || !k.announced || now.Sub(k.lastSeen) > c.cfg.Timing.HostLease/2 {
			hosts[i].Available = false
		}
	}
}

func servesUrgent(catalogue *model.Catalogue, pool string) bool {
	for _, kind := range catalogue.JobKinds {
		if kind.Pool == pool && kind.Priority == model.Urgent {
			return true
		}
	}
	return false
}
