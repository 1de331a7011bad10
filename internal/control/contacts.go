package control

import (
	"context"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// contact is what the leader knows of a host from its announcements.
type contact struct {
	lastSeen    time.Time
	incarnation string
	// steadySince is the first announcement of this incarnation, or the first one
	// after a gap longer than the lease.
	steadySince time.Time
	// announced is false while the lease was only granted at the start of a
	// term: such a contact is no evidence that the host is alive.
	announced bool
	running   []peer.AttemptRef
}

// grantLeases gives every host one full lease. The caller holds the lock.
func (c *Controller) grantLeases() {
	now := c.cfg.Clock.Now()
	c.cfg.StateMachine.View(func(v datacentre.View) {
		for _, h := range v.Hosts.Hosts() {
			c.contacts[h.Info.Name] = &contact{lastSeen: now, steadySince: now, incarnation: h.Info.Incarnation}
		}
	})
}

// Announce handles a target's announcement. It commits a change only if the
// host is new, returned or changed; a plain heartbeat stays in memory, so the
// log does not grow with the number of hosts.
func (c *Controller) Announce(ctx context.Context, r *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
	if err := c.requireLeading(); err != nil {
		return nil, err
	}
	if r.Info.DataCentre != c.cfg.DataCentre {
		return nil, &fault.Invalid{Field: "data_centre", Reason: "host belongs to another data centre", Allowed: c.cfg.DataCentre}
	}
	c.recordContact(r)
	c.runStats.usage(r.Usage, c.kindOf)
	if err := c.registerIfChanged(ctx, &r.Info); err != nil {
		return nil, err
	}
	return &peer.AnnounceResponse{LeaseMS: c.cfg.Timing.HostLease.Milliseconds()}, nil
}

func (c *Controller) recordContact(r *peer.AnnounceRequest) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.contacts[r.Info.Name]
	if k == nil || k.incarnation != r.Info.Incarnation || !k.announced || now.Sub(k.lastSeen) > c.cfg.Timing.HostLease {
		k = &contact{incarnation: r.Info.Incarnation, steadySince: now, announced: true}
		c.contacts[r.Info.Name] = k
	}
	k.lastSeen, k.running = now, r.Running
}

func (c *Controller) registerIfChanged(ctx context.Context, info *model.HostInfo) error {
	var known model.Host
	var exists bool
	c.cfg.StateMachine.View(func(v datacentre.View) { known, exists = v.Hosts.Host(info.Name) })
	if !exists || !sameCommittedInfo(&known.Info, info) || known.State == model.HostLost {
		if err := c.proposeHost(ctx, inventory.Command{Register: &inventory.Register{Info: *info}}); err != nil {
			return err
		}
	}
	if info.Leaving && known.State == model.HostReady {
		return c.proposeHost(ctx, inventory.Command{SetLeaving: &inventory.SetLeaving{
			Host: info.Name, Reason: "target announced that it is leaving",
		}})
	}
	return nil
}

// sameCommittedInfo reports whether two announcements agree in everything that is
// committed about a host. The pool is ignored because it counts only when a host
// is first seen.
func sameCommittedInfo(a, b *model.HostInfo) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Rack == b.Rack &&
		a.Slots == b.Slots && a.Connections == b.Connections && a.CPUMillis == b.CPUMillis &&
		a.MemoryMB == b.MemoryMB && a.Accelerators == b.Accelerators && a.Leaving == b.Leaving &&
		slices.Equal(a.Capabilities, b.Capabilities)
}

// expireLeases marks hosts lost whose lease has run out.
func (c *Controller) expireLeases(ctx context.Context) {
	var names []string
	c.cfg.StateMachine.View(func(v datacentre.View) {
		names = make([]string, 0, v.Hosts.Len())
		v.Hosts.Each(func(h *model.Host) {
			// A host in maintenance is expected to be silent.
			if h.State != model.HostLost && h.State != model.HostMaintenance {
				names = append(names, h.Info.Name)
			}
		})
	})
	now := c.cfg.Clock.Now()
	names = slices.DeleteFunc(names, func(name string) bool {
		return now.Sub(c.lastContact(name)) <= c.cfg.Timing.HostLease
	})
	slices.Sort(names)
	for _, name := range names {
		_ = c.proposeHost(ctx, inventory.Command{MarkLost: &inventory.MarkLost{
			Host: name, Reason: "no announcement within the lease of " + c.cfg.Timing.HostLease.String(),
		}})
	}
}

func (c *Controller) lastContact(host string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.contacts[host]; k != nil {
		return k.lastSeen
	}
	// The host was registered in an earlier term and has not announced itself
	// in this one: its lease starts now.
	k := &contact{lastSeen: c.cfg.Clock.Now(), steadySince: c.cfg.Clock.Now()}
	c.contacts[host] = k
	return k.lastSeen
}

// contactOf returns a copy of the last contact with a host.
func (c *Controller) contactOf(host string) contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.contacts[host]; k != nil {
		return *k
	}
	return contact{}
}

func (c *Controller) hosts() []model.Host {
	var hosts []model.Host
	c.cfg.StateMachine.View(func(v datacentre.View) { hosts = v.Hosts.Hosts() })
	return hosts
}

// kindOf returns the job kind of a request, or empty if it is not known.
func (c *Controller) kindOf(key string) string {
	if r, ok := c.cfg.StateMachine.Request(key); ok {
		return r.Kind
	}
	return ""
}
