package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// backAfter is how long the executor that crashes is away.
	backAfter = 500 * time.Millisecond
	// idleLimit is how long a subtask that lasts may have no run in calm: 6 s, and 3 s more.
	idleLimit = 9 * time.Second
)

// playReturned has an executor crash and come back under its id, and lose its machine for good as
// soon as the subtasks are at work on it again.
// One subtask of another job is at work on each machine, so that all stay in their service.
func playReturned(w *world, trouble bool) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	spread, machines := newID(), len(w.provider.machines)-spares
	if !w.submitSpread(client, longPrefix, spread, machines, 1, true, work{longTime, "done"}) {
		cannotRun("the job that keeps the machines in their service was not accepted")
	}
	w.awaitRunning(spread, machines)
	job := newID()
	if !w.submit(client, longPrefix, job, 3, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.awaitRunning(job, 3)
	pause(5 * time.Second)
	m := w.hostOf(job)
	lost := time.Now()
	if trouble {
		m.mu.Lock()
		e := m.executor
		e.kill()
		w.note(e.id + " on " + m.name + " crashes")
		pause(backAfter)
		m.executor = startAs(w, m, e.id, e.proxy)
		m.mu.Unlock()
		w.note(e.id + " is back under its id")
		for until := time.Now().Add(10 * time.Second); w.runsOn(m, job) == 0 && time.Now().Before(until); {
			pause(20 * time.Millisecond)
		}
		m.mu.Lock()
		w.note(fmt.Sprintf("%s is lost for good with its machine, with %d subtasks", e.id, len(m.executor.runs)))
		m.executor.kill()
		m.executor, m.state = nil, "down"
		m.mu.Unlock()
		lost = time.Now()
	}
	for time.Since(lost) < 20*time.Second {
		if len(w.running(job)) == 3 && time.Since(lost) > 100*time.Millisecond {
			break
		}
		pause(50 * time.Millisecond)
	}
	w.note(fmt.Sprintf("%d subtasks are at work %d ms after the loss", len(w.running(job)), time.Since(lost).Milliseconds()))
	return time.Since(lost) < idleLimit
}

// hostOf returns the machine on which subtasks of a job are at work.
func (w *world) hostOf(job string) *machine {
	for _, m := range w.provider.machines {
		if w.runsOn(m, job) > 0 {
			return m
		}
	}
	cannotRun("no subtask of " + job + " is at work")
	return nil
}

// runsOn returns how many subtasks of a job are at work on a machine.
func (w *world) runsOn(m *machine, job string) int {
	m.mu.Lock()
	e := m.executor
	m.mu.Unlock()
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for task := range e.runs {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}
