// Package liveness judges how far announcements of hosts can be relied on.
package liveness

import (
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// View is a host together with what the leader has heard from it.
type View struct {
	Host model.Host
	// LastAnnounced is when the last announcement arrived.
	LastAnnounced hlc.Time
	// SteadySince is when the current run of announcements began: the first one
	// of the current incarnation, or the first one after a gap longer than the
	// lease.
	SteadySince hlc.Time
	// Idle is set when no attempt holds a slot on the host.
	Idle bool
}

// Fresh reports whether the last announcement is within the lease.
func (v View) Fresh(now hlc.Time, leaseMS int64) bool {
	return now.WallMillis-v.LastAnnounced.WallMillis <= leaseMS
}

// Steady reports whether the host announces itself now and has done so for at
// least the given time in its current state.
func (v View) Steady(now hlc.Time, leaseMS, forMS int64) bool {
	since := max(v.SteadySince.WallMillis, v.Host.Since.WallMillis)
	return v.Fresh(now, leaseMS) && now.WallMillis-since >= forMS
}

// AnnouncementsReliable reports whether at least half of the hosts that should announce
// themselves do. Otherwise the observer may be the isolated one, and the
// announcements are no evidence for a decision. Hosts in maintenance are
// silent by order and do not count; lost hosts count as silent.
func AnnouncementsReliable(views []View, now hlc.Time, leaseMS int64) bool {
	silent, all := 0, 0
	for _, v := range views {
		if v.Host.State == model.HostMaintenance {
			continue
		}
		all++
		if !v.Fresh(now, leaseMS) {
			silent++
		}
	}
	return 2*silent <= all
}
