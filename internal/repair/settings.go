package repair

// Settings holds the times of the policy, in milliseconds.
type Settings struct {
	// ShortForMS is how long a pool must have too few hosts before a spare host
	// is moved to it. This hysteresis avoids moves for brief losses.
	ShortForMS int64
	// ExcessForMS is how long a pool must have too many hosts before one is moved
	// back to the spare pool.
	ExcessForMS int64
	// LeaseMS is the announcement lease.
	LeaseMS int64
	// VerifyMS is how long a returned host must announce itself steadily before
	// it is available again.
	VerifyMS int64
}

// DefaultSettings returns the default times. A restarted target returns within
// seconds, and a host that reboots by itself mostly within a minute, so
// ShortForMS covers both. ExcessForMS exceeds the time between two losses of a
// flapping host, so that its replacement stays while it flaps.
func DefaultSettings() Settings {
	return Settings{ShortForMS: 60_000, ExcessForMS: 900_000, LeaseMS: 5000, VerifyMS: 10_000}
}
