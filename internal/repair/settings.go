package repair

// Settings are the times of the policy, in milliseconds.
type Settings struct {
	// ShortForMS is how long a pool must have too few hosts before a spare host
	// is moved. It is the hysteresis against hosts that are lost and return.
	ShortForMS int64
	// ExcessForMS is how long a pool must have too many hosts before one goes
	// back to the spare pool.
	ExcessForMS int64
	// LeaseMS is the announcement lease.
	LeaseMS int64
	// VerifyMS is how long a returned host must announce itself steadily before
	// it is available again.
	VerifyMS int64
}

// DefaultSettings returns the default times. A target that restarts is back within
// seconds and a host that reboots by itself mostly within a minute, which
// ShortForMS covers. ExcessForMS is longer than the gaps between the losses of
// a flapping host, so that its replacement stays while it flaps.
func DefaultSettings() Settings {
	return Settings{ShortForMS: 60_000, ExcessForMS: 900_000, LeaseMS: 5000, VerifyMS: 10_000}
}
