package replica

import "time"

const (
	// minSlowSyncs is the number of consecutive slow syncs that indicate a slow
	// disk rather than a pause of the process.
	minSlowSyncs = 4
	// minTransferInterval is the minimum interval between two transfers by this
	// host because of its disk, so that the leadership does not keep moving
	// between several slow hosts.
	minTransferInterval = 10 * time.Second
)

// slowDiskDetector detects that the disk of a leader is slow. A slow leader
// delays every commit even if the other members' disks are fast.
type slowDiskDetector struct {
	// limit is the duration from which a sync is slow, 0 to disable detection.
	limit        time.Duration
	slowSyncs    int
	lastTransfer time.Time
}

// recordSync records the duration of a sync that has just ended, and reports
// whether the leadership should be transferred. leads is whether this host
// leads the group.
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
