package replica

import "time"

const (
	// minSlowSyncs is how many slow syncs show a slow disk rather than a pause
	// of the process.
	minSlowSyncs = 4
	// minTransferInterval separates two hand-overs for slow disks, so that several slow
	// hosts do not pass the leadership around.
	minTransferInterval = 10 * time.Second
)

// slowDiskDetector notices that the disk of a leader is slow. Each commit passes its
// log write, though the others' disks would be enough for a quorum.
type slowDiskDetector struct {
	// limit is how long a sync may take, 0 for any time.
	limit        time.Duration
	slowSyncs    int
	lastTransfer time.Time
}

// recordSync takes the duration of a sync that ended now, and reports whether the
// leadership should be handed over.
func (s *slowDiskDetector) recordSync(took time.Duration, leads bool, now time.Time) bool {
	if s.limit == 0 || !leads || took < s.limit {
		s.slowSyncs = 0
		return false
	}
	s.slowSyncs++
	if s.slowSyncs < minSlowSyncs || (!s.lastTransfer.IsZero() && now.Sub(s.lastTransfer) < minTransferInterval) {
		return false
	}
	s.slowSyncs, s.lastTransfer = 0, now
	return true
}
