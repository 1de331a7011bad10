package wave

// Settings holds the weights and times of the policy. The weights make different
// kinds of cost comparable; only their ratios matter.
type Settings struct {
	// RolloutWeight is the cost of one second of roll-out time.
	RolloutWeight float64
	// MoveWeight is the cost of moving one host between pools or one running task of
	// patient work between hosts.
	MoveWeight float64
	// BufferWeight is the cost of lending one spare host for one second.
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
	// defaultStepMS allows four minutes for the reboot and one minute for the
	// rest. It applies only until the input has a measured time.
	defaultStepMS = 300_000
)

// FavourFewMoves returns settings for a fleet with long tasks, such as
// conversions, that are costly to move: one move costs as much as two hours of
// roll-out time.
func FavourFewMoves() Settings {
	return Settings{RolloutWeight: 0.5, MoveWeight: 3600, BufferWeight: 1, LeaseMS: defaultLeaseMS, StepMS: defaultStepMS}
}

// FavourFastRollout returns settings for a fleet whose waves have to end within
// a limited time, such as the night: one move costs as much as ten seconds of
// roll-out time.
func FavourFastRollout() Settings {
	return Settings{RolloutWeight: 1, MoveWeight: 10, BufferWeight: 0.01, LeaseMS: defaultLeaseMS, StepMS: defaultStepMS}
}

// shouldMoveWork reports whether moving the patient tasks of a draining host
// costs less than waiting for them. The wait occupies one of the concurrent
// steps, so it delays the wave by the wait divided by their number.
func (s Settings) shouldMoveWork(h HostView, concurrent int) bool {
	if h.PatientTasks == 0 || !h.Checkpointable {
		return false
	}
	wait := s.RolloutWeight * seconds(h.PatientMS) / float64(max(concurrent, 1))
	return s.MoveWeight*float64(h.PatientTasks) < wait
}

// shouldBorrow reports whether borrowing one more spare host costs less than it
// saves. It allows one more concurrent step for the remaining hosts, but costs
// two moves and is missing in the spare pool until the wave ends. If no step
// can be open at all, the wave could never proceed, so borrowing is always
// worthwhile.
func (s Settings) shouldBorrow(remaining, concurrent int, stepMS int64) bool {
	if concurrent <= 0 {
		return remaining > 0
	}
	step := seconds(stepMS)
	now := float64(remaining) / float64(concurrent) * step
	then := float64(remaining) / float64(concurrent+1) * step
	return s.RolloutWeight*(now-then) > 2*s.MoveWeight+s.BufferWeight*then
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }
