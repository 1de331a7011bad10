package poolsize

import "slices"

// Wants remembers how many hosts the pools have wanted for some time. The zero value is ready
// to use.
type Wants struct {
	sinceMS int64 // of the first note
	covered bool  // the notes cover the time to keep
	noted   []wanted
}

type wanted struct {
	atMS  int64
	hosts map[string]int
}

// Note records how many hosts each pool wants at a time in Unix ms, and forgets what is older
// than a time to keep.
func (w *Wants) Note(nowMS, keepMS int64, hosts map[string]int) {
	if w.sinceMS == 0 {
		w.sinceMS = nowMS
	}
	w.covered = nowMS-w.sinceMS >= keepMS
	w.noted = append(w.noted, wanted{nowMS, hosts})
	w.noted = slices.DeleteFunc(w.noted, func(n wanted) bool { return n.atMS < nowMS-keepMS })
}

// Most returns the largest number of hosts that a pool has wanted, 0 before the notes cover
// the time to keep.
func (w *Wants) Most(pool string) (most int) {
	if !w.covered {
		return 0
	}
	for _, n := range w.noted {
		most = max(most, n.hosts[pool])
	}
	return most
}
