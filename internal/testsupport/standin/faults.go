package standin

// StartFault changes how a target treats a start request.
type StartFault string

// Start faults. In both cases the connection goes silent.
const (
	// StartSilentAfterBegin begins the task but sends no response.
	StartSilentAfterBegin StartFault = "silent_after_begin"
	// StartSilentBeforeBegin drops the request.
	StartSilentBeforeBegin StartFault = "silent_before_begin"
)

// Faults are the fault switches of one target. Setting them replaces the
// previous ones.
type Faults struct {
	// SilenceConnections makes the connections that are open now silent for
	// ever; new connections work. It acts once.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// FailTasks makes every task fail.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// RefuseStarts refuses every start with 409.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// TruncateAnswers cuts answers but announces their full length.
	TruncateAnswers bool `json:"truncate_answers,omitempty"`
	// MismatchAnswers sends answers under the number of another attempt.
	MismatchAnswers bool `json:"mismatch_answers,omitempty"`
	// ForeignAnswers answers the first read of each finished task with the
	// complete result of another one.
	ForeignAnswers bool       `json:"foreign_answers,omitempty"`
	Start          StartFault `json:"start,omitempty"`
	// RefuseCheckpoints refuses every checkpoint with 409.
	RefuseCheckpoints bool `json:"refuse_checkpoints,omitempty"`
	// SilentCheckpoints ends the task at its checkpoint, but the connection goes
	// silent.
	SilentCheckpoints bool `json:"silent_checkpoints,omitempty"`
	// LoseCheckpoints gives references that no target can continue from.
	LoseCheckpoints bool `json:"lose_checkpoints,omitempty"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute,omitempty"`
	// MuteAfterReboot sets Mute at the next reboot, like a host that does not
	// come back.
	MuteAfterReboot bool `json:"mute_after_reboot,omitempty"`
}
