package wave

// Settings are the weights and times of the policy. The weights compare
// unlike costs: only their ratios matter.
type Settings struct {
	// RolloutWeight is the cost of one second of roll-out time.
	RolloutWeight float64
	// MoveWeight is the cost of moving one host between pools or one running task of
	// patient work between hosts.
	MoveWeight float64
	// BufferWeight is the cost of one second without one spare host that is lent.
	BufferWeight float64
	// LeaseMS is the announcement lease in milliseconds.
	LeaseMS int64
	// StepMS is the expected time of a step, from the drain of an idle host to
	// the end of its verification, in milliseconds.
	StepMS int64
}

// Times that both presets use.
const (
	defaultLeaseMS = 5000
	// defaultStepMS is a reboot of four minutes and a minute for the rest; it
	// only matters until the input gives a measured time.
	defaultStepMS = 300_000
)

// FavourFewMoves suits a fleet whose long conversions suffer when moved: a move
// costs as much as two hours of roll-out time.
func FavourFewMoves() Settings {
	return Settings{RolloutWeight: 0.5, MoveWeight: 3600, BufferWeight: 1, LeaseMS: defaultLeaseMS, StepMS: defaultStepMS}
}

// FavourFastRollout suits a fleet whose waves have to end before its morning work:
// a move costs as much as ten seconds of roll-out time.
func FavourFastRollout() Settings {
	return Settings{RolloutWeight: 1, MoveWeight: 10, BufferWeight: 0.01, LeaseMS: defaultLeaseMS, StepMS: defaultStepMS}
}

// movesWork reports whether moving the patient work of a draining host costs
// less than waiting for it. The wait holds one of the concurrent steps, so it
// delays the wave by its share of them.
func (s Settings) movesWork(h HostView, concurrent int) bool {
	if h.PatientTasks == 0 || !h.Checkpointable {
		return false
	}
	wait := s.RolloutWeight * seconds(h.PatientMS) / float64(max(concurrent, 1))
	return s.MoveWeight*float64(h.PatientTasks) < wait
}

// borrows reports whether one more spare host in the pool pays: it raises the
// concurrency by one for the hosts that remain, but is moved in and out and is
// missing in the spare pool until the end.
// Without any concurrency the wave could never proceed, so it always pays.
func (s Settings) borrows(remaining, concurrent int, stepMS int64) bool {
	if concurrent <= 0 {
		return remaining > 0
	}
	step := seconds(stepMS)
	now := float64(remaining) / float64(concurrent) * step
	then := float64(remaining) / float64(concurrent+1) * step
	return s.RolloutWeight*(now-then) > 2*s.MoveWeight+s.BufferWeight*then
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }
