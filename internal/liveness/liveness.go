// Package liveness decides from the announcements of hosts which of them are
// alive, and whether the announcements are reliable.
package liveness

import (
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

// View is a host together with the announcements that the leader has received
// from it.
type View struct {
	Host model.Host
	// LastAnnounced is when the last announcement arrived.
	LastAnnounced hlc.Time
	// SteadySince is when the current uninterrupted series of announcements
	// began: the first one of the current incarnation, or the first one after a
	// gap longer than the lease.
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

// AnnouncementsReliable reports whether at least half of the hosts that should
// announce themselves do so. Otherwise the observer itself may be isolated, and
// no decision may be based on missing announcements. Hosts in maintenance are
// expected to be silent and do not count; lost hosts count as silent.
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
