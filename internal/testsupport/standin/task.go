package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/target"
)

// Payload is the JSON payload of a task. A task with any other payload runs
// for the default time.
type Payload struct {
	// RunMS is the run time in milliseconds.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail.
	Fail bool `json:"fail,omitempty"`
}

// Answer is the JSON answer of a task.
type Answer struct {
	Request       string `json:"request"`
	Kind          string `json:"kind"`
	Run           int    `json:"run"` // number of this run among all runs of the request on any target
	PayloadSHA256 string `json:"payload_sha256"`
}

// Run is one entry of the run log.
type Run struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Request     string `json:"request"`
	Attempt     int    `json:"attempt"`
	Kind        string `json:"kind"`
	BeganMS     int64  `json:"began_ms"` // Unix time in milliseconds
	// Leaving is set if the target was announcing that it is leaving when the
	// run began, and had been doing so for LeavingForMS milliseconds.
	Leaving      bool  `json:"leaving,omitempty"`
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	// FromMS is the progress of the checkpoint that the run continues from.
	FromMS int64 `json:"from_ms,omitempty"`
}

// runLog records all runs. It is kept across reboots of targets, so that tests
// can detect repeated runs.
type runLog struct {
	mu    sync.Mutex
	runs  []Run
	count map[string]int
}

func newRunLog() *runLog { return &runLog{count: map[string]int{}} }

// add appends a run and returns the number of runs of its request so far.
func (l *runLog) add(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	l.count[r.Request]++
	return l.count[r.Request]
}

func (l *runLog) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}

// task is one running or finished task.
type task struct {
	task      target.Task
	began     time.Time
	runNumber int
	fail      bool
	// resumedFrom is the progress of the checkpoint that the run continues from.
	resumedFrom time.Duration
	// checkpointLost is set if the run was started from an unknown checkpoint
	// reference.
	checkpointLost bool
	done           chan struct{}

	mu         sync.Mutex
	state      target.TaskState
	reason     string
	answer     []byte
	checkpoint []byte
	resultRead bool // set by the first read of its result
}

// markRead marks the result as read and reports whether it had not been read
// before.
func (k *task) markRead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.resultRead
	k.resultRead = true
	return first
}

func newTask(t target.Task, began time.Time, runNumber int) *task {
	return &task{task: t, began: began, runNumber: runNumber, done: make(chan struct{}), state: target.TaskRunning}
}

func (k *task) run(ctx context.Context, f *Fleet) {
	p := Payload{RunMS: f.cfg.RunTime.Milliseconds()}
	_ = json.Unmarshal(k.task.Payload, &p)
	if k.checkpointLost {
		k.finish(target.TaskFailed, "the checkpoint is lost", nil)
		return
	}
	select {
	case <-f.cfg.Clock.After(time.Duration(p.RunMS)*time.Millisecond - k.resumedFrom):
	case <-k.done:
		return
	case <-ctx.Done():
		return
	}
	if p.Fail || k.fail {
		k.finish(target.TaskFailed, "the task failed", nil)
		return
	}
	sum := sha256.Sum256(k.task.Payload)
	answer, _ := json.Marshal(Answer{
		Request: k.task.Key, Kind: k.task.Kind, Run: k.runNumber, PayloadSHA256: hex.EncodeToString(sum[:]),
	})
	k.finish(target.TaskSucceeded, "", answer)
}

// finish ends the task with a result. It has no effect on an ended task.
func (k *task) finish(s target.TaskState, reason string, answer []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state != target.TaskRunning {
		return
	}
	if answer == nil {
		answer = []byte{}
	}
	k.state, k.reason, k.answer = s, reason, answer
	close(k.done)
}

// stopAtCheckpoint stops a running task at a checkpoint. With lose set the
// reference is not stored, so that no run can continue from it.
func (k *task) stopAtCheckpoint(f *Fleet, lose bool) {
	if k.ended() {
		return
	}
	reference := "lost"
	if !lose {
		reference = f.saveCheckpoint(k.resumedFrom + f.cfg.Clock.Now().Sub(k.began))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.state == target.TaskRunning {
		k.state, k.reason, k.checkpoint = target.TaskStopped, "stopped at a checkpoint", []byte(reference)
		close(k.done)
	}
}

func (k *task) ended() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

func (k *task) fillStatus(m *target.StatusMessage, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.State, m.Reason, m.Answer, m.Checkpoint = k.state, k.reason, k.answer, k.checkpoint
	m.RunMS = now.Sub(k.began).Milliseconds()
	m.Progress = m.RunMS
}
