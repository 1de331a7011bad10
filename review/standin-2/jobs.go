//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// job is a job that a client handed in.
type job struct {
	id, queue string
	steps     []map[string]any
	lasts     bool
	accepted  time.Time
	cancelled time.Time
	// begun is when its first run began.
	begun time.Time
	// running holds the runs of each subtask; lastEnd is when its last run ended.
	running map[string]int
	lastEnd map[string]time.Time
	// finished is set once a run of its only subtask has ended as done.
	finished bool
}

func (w *world) jobOf(task string) (*job, int) {
	id, step := taskJob(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id], step
}

func (w *world) began(e *executor, task string, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := r.job; j != nil {
		if j.begun.IsZero() {
			j.begun = time.Now()
		}
		j.running[task]++
	}
}

func (w *world) ended(e *executor, task string, r *run, how string) {
	w.record("executor %s: %s run %d ends: %s", e.id, task, r.number, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := r.job; j != nil {
		j.running[task]--
		j.lastEnd[task] = time.Now()
		j.finished = j.finished || how == "done"
		if how == "done" {
			w.endOf(task)
		}
	}
}

// front returns the entry processes' addresses in turn.
func (w *world) front() string {
	entries := w.entries()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextEntry++
	return entries[w.nextEntry%len(entries)].ip + ":8624"
}

// submit hands a job in, and repeats the request as clients do. It returns nil if the job
// was not accepted.
func (w *world) submit(queue string, steps ...map[string]any) *job {
	j := &job{
		id: fmt.Sprintf("%016x", w.rand.Uint64()), queue: queue, steps: steps, running: map[string]int{}, lastEnd: map[string]time.Time{},
	}
	j.lasts = steps[0]["longRunning"] == true
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	for try := range 5 {
		status, _, err := w.call(context.Background(), http.MethodPost, w.front(), "/"+queue+"/"+j.id, "calls.example",
			map[string]any{"spec": "work " + j.id, "steps": steps}, 3*time.Second)
		w.record("client: POST %s/%s try %d -> %d %v", queue, j.id, try, status, err)
		if err == nil && status/100 == 2 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return j
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// state asks for the state of a job.
func (w *world) state(j *job) string {
	status, answer, err := w.call(context.Background(), http.MethodGet, w.front(), "/"+j.queue+"/"+j.id, "calls.example", nil, 3*time.Second)
	return strings.TrimSpace(fmt.Sprint(status, " ", answer["state"], " ", err))
}

// demand returns the capacity that a subtask of a step takes.
func demand(step map[string]any) (cpu, mem int) {
	cpu, _ = step["cpu"].(int)
	mem, _ = step["memMb"].(int)
	if step["fills"] == true {
		cpu = 0
	}
	return cpu, mem
}

// free returns the free capacity of an executor that is up.
func (e *executor) free() (cpu, mem int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cpu, mem = machineCPU, machineMem
	for _, r := range e.runs {
		if r.job != nil {
			c, m := demand(r.job.steps[r.step])
			cpu, mem = cpu-c, mem-m
		}
	}
	return cpu, mem
}

// watchLasting checks the last sentences of LOST for subtasks that last: from 6 s after its
// last run, a subtask has nothing running for 3 s although there is capacity for it twice
// over on one executor, and these 3 s and the 4 s before them are calm.
func (w *world) watchLasting(serviceOf map[string]string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	roomSince := map[string]time.Time{}
	reported := map[string]bool{}
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			now := time.Now()
			w.mu.Lock()
			jobs, executors, calm := []*job{}, append([]*executor{}, w.executors...), w.calmSince
			for _, j := range w.jobs {
				if j.lasts && !j.accepted.IsZero() && j.cancelled.IsZero() {
					jobs = append(jobs, j)
				}
			}
			w.mu.Unlock()
			for _, j := range jobs {
				for i, step := range j.steps {
					cpu, mem := demand(step)
					room := ""
					for _, e := range executors {
						e.mu.Lock()
						up := !e.dead && !e.draining && e.service == serviceOf[j.queue]
						e.mu.Unlock()
						if c, m := e.free(); up && c >= 2*cpu && m >= 2*mem {
							room = fmt.Sprintf("%s has %d cpu and %d MB free", e.id, c, m)
						}
					}
					for k := range step["count"].(int) {
						task := fmt.Sprintf("%s.0.%d.%d", j.id, i, k)
						w.mu.Lock()
						running, last := j.running[task], j.lastEnd[task]
						w.mu.Unlock()
						if last.IsZero() {
							last = j.accepted
						}
						if running > 0 || room == "" {
							delete(roomSince, task)
							continue
						}
						if roomSince[task].IsZero() {
							roomSince[task] = now
						}
						from := roomSince[task]
						if six := last.Add(6 * time.Second); six.After(from) {
							from = six
						}
						if four := calm.Add(4 * time.Second); four.After(from) {
							from = four
						}
						if now.Sub(from) > 3*time.Second && !reported[task] {
							reported[task] = true
							w.breaks("LOST: %s has had no run for %.1f s, and %s", task, now.Sub(last).Seconds(), room)
						}
					}
				}
			}
		}
	}()
	return func() { close(done); <-ended }
}

// watchEnd checks a sentence of LOST for a job of one subtask: after the end of the traffic and
// some more time, it has nothing running for 3 s, although there is capacity for it twice over,
// on two executors, and under half of the service's capacity is in use. As for subtasks that
// last, 6 s after the last run and 4 s of calm before the 3 s are not counted.
func (w *world) watchEnd(service string, j *job, after time.Duration) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	from := time.Now().Add(after)
	cpu, mem := demand(j.steps[0])
	go func() {
		defer close(ended)
		var since time.Time
		for reported := false; !reported; {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			w.mu.Lock()
			running, last, executors := j.running[j.id+".0.0.0"], j.lastEnd[j.id+".0.0.0"], append([]*executor{}, w.executors...)
			finished, calm := j.finished, w.calmSince
			w.mu.Unlock()
			room, used, all := "", 0, 0
			for _, e := range executors {
				e.mu.Lock()
				up := !e.dead && e.service == service
				e.mu.Unlock()
				if !up {
					continue
				}
				c, m := e.free()
				used, all = used+machineCPU-c, all+machineCPU
				if c >= cpu && m >= 2*mem {
					room += fmt.Sprintf(" %s (%d cpu)", e.id, c)
				}
			}
			capacity := strings.Count(room, "(") >= 2 // for it twice over
			if time.Now().Before(from) || time.Since(last) < 6*time.Second || time.Since(calm) < 4*time.Second || running > 0 || finished || !capacity || 2*used >= all {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = time.Now()
			}
			if time.Since(since) > 3*time.Second {
				reported = true
				w.breaks("LOST: %s has nothing running for %.1f s, %d of %d cpu are in use, and there is room on%s", j.id, time.Since(last).Seconds(), used, all, room)
			}
		}
	}()
	return func() { close(done); <-ended }
}

// doneEnd is an end that an executor has listed as done.
type doneEnd struct {
	noted bool // lastSeen has reached it
	// again is set by a later start of the subtask.
	again string
}

// noted checks TWICE when lastSeen reaches the end of a run that was done.
func (w *world) noted(e *executor, n endedRun) {
	if n.how != "done" {
		return
	}
	w.mu.Lock()
	d := w.endOf(n.task)
	d.noted = true
	again := d.again
	w.mu.Unlock()
	w.record("executor %s: lastSeen reaches end %d, %s run %d done", e.id, n.number, n.task, n.run)
	if again != "" {
		w.breaks("TWICE: %s, and its end as done was taken note of", again)
	}
}

// startedAgain checks TWICE when a subtask starts.
func (w *world) startedAgain(e *executor, task string, run int) {
	w.mu.Lock()
	j := w.jobs[strings.Split(task, ".")[0]]
	d := w.done[task]
	if j == nil || d == nil {
		w.mu.Unlock()
		return
	}
	d.again = fmt.Sprintf("%s run %d starts on %s after a run was done", task, run, e.id)
	noted, again := d.noted, d.again
	w.mu.Unlock()
	if noted {
		w.breaks("TWICE: %s, and its end as done was taken note of", again)
	}
}

// endOf returns what is known of a subtask that is done. The mutex is held.
func (w *world) endOf(task string) *doneEnd {
	if w.done == nil {
		w.done = map[string]*doneEnd{}
	}
	if w.done[task] == nil {
		w.done[task] = &doneEnd{}
	}
	return w.done[task]
}

// spoilEntry reports whether an entry is to be listed without its later fields: once.
func (w *world) spoilEntry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	spoil := w.spoil && w.trouble
	w.spoil = false
	return spoil
}
