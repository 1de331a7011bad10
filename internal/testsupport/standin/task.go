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

// Payload is the JSON payload that a task understands. Other payloads run for
// the default time.
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
	Run           int    `json:"run"` // runs of this request so far, on all targets
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
	// Leaving is set if the target had announced that it is leaving,
	// LeavingForMS milliseconds before.
	Leaving      bool  `json:"leaving,omitempty"`
	LeavingForMS int64 `json:"leaving_for_ms,omitempty"`
	// FromMS is how far the run had come at the checkpoint that it continues.
	FromMS int64 `json:"from_ms,omitempty"`
}

// runLog survives reboots of targets, so that tests count all runs.
type runLog struct {
	mu    sync.Mutex
	runs  []Run
	count map[string]int
}

func newRunLog() *runLog { return &runLog{count: map[string]int{}} }

// add returns the number of runs of the request so far.
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
	task    target.Task
	began   time.Time
	number  int
	failing bool
	// from is how far the run had come at the checkpoint that it continues.
	from time.Duration
	// lost is set if it was started from a reference that is not known.
	lost bool
	done chan struct{}

	mu         sync.Mutex
	state      target.TaskState
	reason     string
	answer     []byte
	checkpoint []byte
	read       bool // its result was read
}

// firstRead reports whether the result is read for the first time.
func (k *task) firstRead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := !k.read
	k.read = true
	return first
}

func newTask(t target.Task, began time.Time, number int) *task {
	return &task{task: t, began: began, number: number, done: make(chan struct{}), state: target.TaskRunning}
}

func (k *task) run(ctx context.Context, f *Fleet) {
	p := Payload{RunMS: f.cfg.RunTime.Milliseconds()}
	_ = json.Unmarshal(k.task.Payload, &p)
	if k.lost {
		k.finish(target.TaskFailed, "the checkpoint is lost", nil)
		return
	}
	select {
	case <-f.cfg.Clock.After(time.Duration(p.RunMS)*time.Millisecond - k.from):
	case <-k.done:
		return
	case <-ctx.Done():
		return
	}
	if p.Fail || k.failing {
		k.finish(target.TaskFailed, "the task failed", nil)
		return
	}
	sum := sha256.Sum256(k.task.Payload)
	answer, _ := json.Marshal(Answer{
		Request: k.task.Key, Kind: k.task.Kind, Run: k.number, PayloadSHA256: hex.EncodeToString(sum[:]),
	})
	k.finish(target.TaskSucceeded, "", answer)
}

// finish ends the task once; later calls change nothing.
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

// stop ends a running task at a checkpoint.
func (k *task) stop(f *Fleet, lose bool) {
	if k.ended() {
		return
	}
	reference := "lost"
	if !lose {
		reference = f.saveCheckpoint(k.from + f.cfg.Clock.Now().Sub(k.began))
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

func (k *task) describe(m *target.StatusMessage, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m.State, m.Reason, m.Answer, m.Checkpoint = k.state, k.reason, k.answer, k.checkpoint
	m.RunMS = now.Sub(k.began).Milliseconds()
	m.Progress = m.RunMS
}
