package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as a client writes it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimateMS    int64  `json:"estimateMs,omitempty"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MayMiss       int    `json:"mayMiss,omitempty"`
}

// job is a job of a client. work returns the work of a subtask.
type job struct {
	id, prefix, spec string
	steps            []step
	work             func(step, index int) time.Duration
}

func newJob(prefix string, work func(step, index int) time.Duration, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, spec: "review", steps: steps, work: work}
}

// jobTable holds the submitted jobs.
type jobTable struct {
	mu   sync.Mutex
	jobs map[string]*job
}

func newJobTable() *jobTable { return &jobTable{jobs: map[string]*job{}} }

func (t *jobTable) add(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.id] = j
}

// find returns the job and the numbers of a subtask ID.K.STEP.INDEX.
func (t *jobTable) find(task string) (j *job, k, stepNumber, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0, 0, 0
	}
	k, _ = strconv.Atoi(parts[1])
	stepNumber, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	t.mu.Lock()
	defer t.mu.Unlock()
	j = t.jobs[parts[0]]
	if j == nil || stepNumber >= len(j.steps) {
		return nil, 0, 0, 0
	}
	return j, k, stepNumber, index
}
