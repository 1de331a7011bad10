package leader

// TrackedTargets returns the number of targets that the leader keeps a status of.
func (l *Leader) TrackedTargets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.statuses)
}
