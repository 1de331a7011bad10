package target

import (
	"agatehaven.dev/agatehaven/internal/model"
)

// MaxAnswerBytes bounds the answer of a task.
const MaxAnswerBytes = 256 << 10

// StatusMessage is the JSON form of a task's state in responses of targets.
type StatusMessage struct {
	Request  string    `json:"request"`
	Attempt  int       `json:"attempt"`
	State    TaskState `json:"state"`
	Progress int64     `json:"progress,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	RunMS    int64     `json:"run_ms,omitempty"`
	// Incarnation is the target's incarnation, as in its announcements.
	Incarnation string `json:"incarnation,omitempty"`
	// Answer is present once the task has finished, with its length in bytes
	// and its SHA-256 in hexadecimal.
	Answer       []byte `json:"answer,omitempty"`
	AnswerLength int    `json:"answer_length,omitempty"`
	AnswerSHA256 string `json:"answer_sha256,omitempty"`
	// Checkpoint is the reference of a stopped task's checkpoint. It stays
	// present for as long as the target keeps the task's state, so that it can
	// be read again after a lost response.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// ReasonMessage is the JSON body of a refusal.
type ReasonMessage struct {
	Reason string `json:"reason"`
}

// RebootMessage is the JSON body of a reboot order to the platform.
type RebootMessage struct {
	OrderID string `json:"order_id"`
}

// RunningTask names an attempt that a target runs.
type RunningTask struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Announcement is the JSON body of POST /v1/announce: the host's properties,
// its running attempts and their usage.
type Announcement struct {
	model.HostInfo
	Running []RunningTask `json:"running,omitempty"`
	Usage   []model.Usage `json:"usage,omitempty"`
}

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	// LeaseMS is how long the host counts as alive without a further
	// announcement, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
}
