package clock

import "time"

// Within reports whether now is at most limit after since. It has to hold for the
// monotonic and for the wall clock: the former stands still while a host is suspended,
// and the latter can jump. Both times must come from Now of the same process.
func Within(since, now time.Time, limit time.Duration) bool {
	wall := now.Round(0).Sub(since.Round(0)) // Round drops the monotonic reading
	return now.Sub(since) <= limit && wall >= 0 && wall <= limit
}
