package leader

// Contacts returns how many targets the leader knows beyond the replicated state.
func (l *Leader) Contacts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.contacts)
}
