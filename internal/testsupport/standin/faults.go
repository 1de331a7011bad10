package standin

// StartFault changes how a target treats a start request.
type StartFault string

// Start faults. Both make the connection of the request silent.
const (
	// StartSilentAfterBegin begins the task but sends no response.
	StartSilentAfterBegin StartFault = "silent_after_begin"
	// StartSilentBeforeBegin drops the request.
	StartSilentBeforeBegin StartFault = "silent_before_begin"
)

// Faults are the fault switches of one target. Setting them replaces all
// previous switches.
type Faults struct {
	// SilenceConnections makes the currently open connections silent, once, when
	// the switches are set. New connections work.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// FailTasks makes every task fail.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// RefuseStarts refuses every start with 409.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// TruncateAnswers sends half of each answer with the length of the whole.
	TruncateAnswers bool `json:"truncate_answers,omitempty"`
	// MismatchAnswers sends each status with the number of another attempt.
	MismatchAnswers bool `json:"mismatch_answers,omitempty"`
	// ForeignAnswers answers the first read of each finished task with the
	// complete result of another task.
	ForeignAnswers bool       `json:"foreign_answers,omitempty"`
	Start          StartFault `json:"start,omitempty"`
	// RefuseCheckpoints refuses every checkpoint with 409.
	RefuseCheckpoints bool `json:"refuse_checkpoints,omitempty"`
	// SilentCheckpoints stops the task at a checkpoint but sends no response:
	// the connection becomes silent.
	SilentCheckpoints bool `json:"silent_checkpoints,omitempty"`
	// LoseCheckpoints returns checkpoint references that no target can continue
	// from.
	LoseCheckpoints bool `json:"lose_checkpoints,omitempty"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Mute suppresses announcements.
	Mute bool `json:"mute,omitempty"`
	// MuteAfterReboot sets Mute at the next reboot, which simulates a host that
	// does not return from it.
	MuteAfterReboot bool `json:"mute_after_reboot,omitempty"`
}
