//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHoldMS   = 10000
	stopTime    = 100 * time.Millisecond
	startupTime = 700 * time.Millisecond // until a lasting subtask is at work
	drainTime   = 2 * time.Second
	machineCPU  = 32000
	machineMem  = 65536
)

// runPlan tells how a run goes: it ends after the duration with the outcome. A duration of
// 0 means that the run lasts.
type runPlan func(e *executor, task string, run int) (time.Duration, string)

// executor is one life of a machine.
type executor struct {
	w       *world
	id      string
	machine string
	service string
	zone    string
	labels  []string
	born    time.Time
	plan    runPlan
	server  *http.Server
	address string
	stop    context.CancelFunc

	mu       sync.Mutex
	dead     bool
	muted    bool // calls are neither carried out nor answered
	dark     bool // dead, and its address answers nothing
	refuse   int  // if set, the status with which starts are refused
	draining bool
	// leavingAt is when the draining was first acknowledged.
	leavingAt time.Time
	fence     uint64
	leaseEnd  int64
	runs      map[string]*run
	highest   map[string]int
	ended     []endedRun
	number    int64
	changed   chan struct{}
}

type run struct {
	number int
	began  time.Time
	timer  *time.Timer
	job    *job
	step   int
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

func (w *world) startExecutor(machine, service, zone, rack string) *executor {
	return w.startExecutorAs(fmt.Sprintf("i-%08x", w.rand.Uint32()), machine, service, zone, rack)
}

func (w *world) startExecutorAs(id, machine, service, zone, rack string) *executor {
	listener, err := net.Listen("tcp", w.network+".100:0")
	w.check(err)
	ctx, stop := context.WithCancel(context.Background())
	e := &executor{
		w: w, id: id, machine: machine, service: service, zone: zone, labels: []string{kindOf(machine), rack}, born: time.Now(),
		plan: w.plan, address: listener.Addr().String(), stop: stop,
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve("start", e.start))
	mux.HandleFunc("POST /run-stop", e.serve("stop", e.stopRun))
	mux.HandleFunc("POST /hold", e.serve("hold", e.hold))
	mux.HandleFunc("POST /pace", e.serve("pace", func(*order) (int, map[string]any) { return 200, map[string]any{} }))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	go e.beat(ctx)
	go e.expire(ctx)
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	w.record("executor %s on %s of %s starts at %s", id, machine, service, e.address)
	return e
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// crash ends the executor without a word. Its runs end with it. If dark, nothing answers at
// its address, as with a machine without power; otherwise new channels are refused.
func (e *executor) crash(dark bool) {
	e.stop()
	e.mu.Lock()
	e.dead, e.dark = true, dark
	for t, r := range e.runs {
		r.timer.Stop()
		e.w.ended(e, t, r, "lost with its executor")
	}
	e.runs = map[string]*run{}
	e.mu.Unlock()
	if !dark {
		_ = e.server.Close()
	}
	e.w.record("executor %s on %s is gone", e.id, e.machine)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMS  int64  `json:"untilMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

func (e *executor) serve(kind string, f func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		status, answer := http.StatusBadRequest, map[string]any{}
		err := json.NewDecoder(r.Body).Decode(&o)
		e.mu.Lock()
		if e.dark || e.muted {
			e.mu.Unlock()
			<-r.Context().Done() // nobody answers; the caller gives up
			return
		}
		switch {
		case err != nil:
		case r.Header.Get("X-Target-Instance") != e.id || e.dead:
			status = http.StatusMisdirectedRequest
		case o.Fence < e.fence:
			status, answer = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			e.fence = o.Fence
			status, answer = f(&o)
		}
		if e.dark || e.muted { // the executor went dark while the call waited
			e.mu.Unlock()
			<-r.Context().Done()
			return
		}
		answer["clockMs"], answer["born"] = e.clock(), e.born.UnixMilli()
		if kind != "hold" {
			e.w.record("executor %s: %s %s run %d -> %d %v", e.id, kind, o.Task, o.Run, status, answer["reason"])
		}
		e.mu.Unlock()
		reply(w, status, answer)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (e *executor) extend(untilMS int64) {
	e.leaseEnd = max(e.leaseEnd, min(untilMS, e.clock()+maxHoldMS))
}

func (e *executor) start(o *order) (int, map[string]any) {
	if e.refuse != 0 {
		return e.refuse, map[string]any{}
	}
	e.extend(o.UntilMS)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	switch {
	case o.Run <= e.highest[o.Task] || e.runs[o.Task] != nil:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.UntilMS <= e.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r := &run{number: o.Run, began: time.Now()}
	if !e.leavingAt.IsZero() && time.Since(e.leavingAt) > drainTime {
		e.w.breaks("DRAIN: %s starts %.2f s after draining was acknowledged", o.Task, time.Since(e.leavingAt).Seconds())
	}
	r.job, r.step = e.w.jobOf(o.Task)
	e.runs[o.Task] = r
	e.w.began(e, o.Task, r)
	e.w.startedAgain(e, o.Task, o.Run)
	d, how := e.plan(e, o.Task, o.Run)
	if d <= 0 {
		d, how = time.Hour, "done"
	}
	r.timer = time.AfterFunc(d, func() { e.finish(o.Task, r, how) })
	return http.StatusOK, map[string]any{}
}

// finish ends a run if it still runs.
func (e *executor) finish(task string, r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[task] == r {
		e.end(task, how)
	}
}

func (e *executor) end(task, how string) {
	r := e.runs[task]
	r.timer.Stop()
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], r.number)
	e.number++
	e.ended = append(e.ended, endedRun{e.number, task, r.number, how})
	e.w.ended(e, task, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// fail ends all that runs as failed by its own fault.
func (e *executor) fail(task string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[task] != nil {
		e.end(task, "failed")
	}
}

func (e *executor) stopRun(o *order) (int, map[string]any) {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() { e.finish(o.Task, r, "stopped") })
		return http.StatusOK, map[string]any{}
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(o *order) (int, map[string]any) {
	e.extend(o.UntilMS)
	kept := e.ended[:0:0]
	for _, n := range e.ended {
		if n.number > o.LastSeen {
			kept = append(kept, n)
			continue
		}
		e.w.noted(e, n)
	}
	e.ended = kept
	if changed := e.changed; len(e.ended) == 0 && o.WaitMS > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for t, r := range e.runs {
		percent := 0
		if time.Since(r.began) > startupTime {
			percent = 100
		}
		running = append(running, []any{t, r.number, "", percent, 10})
	}
	for _, n := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{n.number, n.task, n.run, n.how, ""})
	}
	if first := e.ended; len(first) > 1 && first[0].how == "done" && e.w.spoilEntry() {
		ended[0] = []any{first[0].number, first[0].task, first[0].run}
		e.w.disrupted("executor %s lists entry %d, the end of %s, without its later fields", e.id, first[0].number, first[0].task)
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

func (e *executor) expire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		if e.clock() > e.leaseEnd {
			for t := range e.runs {
				e.end(t, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// beat announces the executor at the address that the last answer named, or at any.
func (e *executor) beat(ctx context.Context) {
	address := ""
	for seq := 1; ctx.Err() == nil; seq++ {
		address = e.announce(ctx, address, seq)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (e *executor) announce(ctx context.Context, address string, seq int) string {
	for try := 0; try < 10 && ctx.Err() == nil; try++ {
		if address == "" {
			address = e.w.control()
		}
		e.mu.Lock()
		state := "ready"
		if e.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"machine": e.machine, "born": e.born.UnixMilli(), "seq": seq, "clockMs": e.clock(), "labels": e.labels,
			"capacity": map[string]any{"cpu": machineCPU, "memMb": machineMem, "gpu": 0},
		}
		e.mu.Unlock()
		status, answer, err := e.w.call(ctx, http.MethodPut, address, "/instances/"+e.id, "", body, time.Second)
		if err == nil && status/100 == 2 {
			if state == "draining" && e.leavingAt.IsZero() {
				e.leavingAt = time.Now()
				e.w.record("draining of %s is acknowledged", e.id)
			}
			if next, _ := answer["heartbeatAddr"].(string); next != "" {
				return next
			}
			return address
		}
		address = ""
	}
	return ""
}

// taskJob returns the id of the job and the number of the step in a subtask's name.
func taskJob(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	_, _ = fmt.Sscan(parts[2], &step)
	return parts[0], step
}

// kindOf returns the kind of a machine. One machine is of another kind.
func kindOf(machine string) string {
	if machine == "m-alpha-0" {
		return "b"
	}
	return "a"
}
