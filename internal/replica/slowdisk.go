package replica

import "time"

const (
	// slowSyncsInARow is how many slow syncs show a slow disk rather than a pause
	// of the process.
	slowSyncsInARow = 4
	// handOverPause separates two hand-overs for slow disks, so that several slow
	// hosts do not pass the leadership around.
	handOverPause = 10 * time.Second
)

// slowDisk notices that the disk of a leader is slow. Each commit passes its
// log write, though the others' disks would be enough for a quorum.
type slowDisk struct {
	// limit is how long a sync may take, 0 for any time.
	limit    time.Duration
	slow     int
	handOver time.Time
}

// note takes the duration of a sync that ended now, and reports whether the
// leadership should be handed over.
func (s *slowDisk) note(took time.Duration, leads bool, now time.Time) bool {
	if s.limit == 0 || !leads || took < s.limit {
		s.slow = 0
		return false
	}
	s.slow++
	if s.slow < slowSyncsInARow || (!s.handOver.IsZero() && now.Sub(s.handOver) < handOverPause) {
		return false
	}
	s.slow, s.handOver = 0, now
	return true
}
