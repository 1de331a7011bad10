package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	executorCPU   = 32000
	executorMemMB = 65536
	maxEndedRows  = 500
	startup       = 800 * time.Millisecond
)

// executor is one life of a machine.
type executor struct {
	world   *world
	id      string
	machine *machine
	pool    string
	born    time.Time
	server  *http.Server
	proxy   *proxy // in front of it
	address string
	stop    context.CancelFunc

	mu       sync.Mutex
	dead     bool
	fence    uint64
	leaseEnd int64
	runs     map[string]*activeRun
	highest  map[string]int
	ended    []end
	number   int64
	changed  chan struct{}
	state    string
	// lateUntil is until when starts, and the first stop, of the first run of a subtask are left
	// unanswered and carried out lateBy later. lateStops holds the subtasks of these stops.
	lateUntil time.Time
	lateStops map[string]bool
	// unanswered and answered count the orders until then.
	unanswered, answered int
	// late is set while an order is carried out late.
	late bool
}

// activeRun is a subtask at work.
type activeRun struct {
	number int
	began  time.Time
	timer  *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// order holds the fields of all orders.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"untilMs"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

// startExecutor starts an executor on a machine.
func startExecutor(w *world, m *machine) *executor {
	return startAs(w, m, fmt.Sprintf("i-%08x", rand.Uint32()), nil)
}

// startAs starts an executor with an id. A later life under the id of an earlier one has its
// address.
func startAs(w *world, m *machine, id string, front *proxy) *executor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err.Error())
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &executor{
		world: w, id: id, machine: m, pool: m.pool, born: time.Now(), stop: stop,
		proxy: front, runs: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}), state: "ready",
	}
	if front == nil {
		e.proxy = newProxy("127.0.0.1:0", listener.Addr().String())
	} else {
		front.forwardTo(listener.Addr().String())
	}
	e.address = e.proxy.address()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.serve(e.start))
	mux.HandleFunc("POST /run-stop", e.serve(e.stopRun))
	mux.HandleFunc("POST /hold", e.serve(e.hold))
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }() // returns an error once the server is closed
	go e.announce(ctx)
	go e.expireLeases(ctx)
	return e
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// kill ends the executor with all that runs on it.
func (e *executor) kill() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for task, r := range e.runs {
		r.timer.Stop()
		e.world.record("lost", task, r.number, e.id)
	}
	e.runs = map[string]*activeRun{}
	go func() { _ = e.server.Close() }() // nobody waits for it
}

// serve decodes an order, checks the intended life and the fence, and answers.
func (e *executor) serve(f func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		status, answer := http.StatusBadRequest, map[string]any{}
		err := json.NewDecoder(r.Body).Decode(&o)
		e.mu.Lock()
		if err == nil && e.isLate(r.URL.Path, &o) {
			e.mu.Unlock()
			e.carryOutLate(r.URL.Path, &o, f)
			<-r.Context().Done()
			return
		}
		switch {
		case err != nil:
		case e.dead || r.Header.Get("X-Target-Instance") != e.id:
			status = http.StatusMisdirectedRequest
		case o.Fence < e.fence:
			status, answer = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			e.fence = o.Fence
			status, answer = f(&o)
		}
		answer["clockMs"] = e.clock()
		e.mu.Unlock()
		reply(w, status, answer)
	}
}

// stoppedAtWork is the event of a subtask that was at work when an order ended it on time.
const stoppedAtWork = "at work until a stop of"

// lateBy is how much later an unanswered order is carried out, the least that the bench has.
const lateBy = 2 * time.Second

// isLate reports whether an order is left unanswered. The mutex is held.
func (e *executor) isLate(path string, o *order) bool {
	if time.Now().After(e.lateUntil) {
		return false
	}
	late := o.Run == 1 && (path == "/run-start" || (path == "/run-stop" && !e.lateStops[o.Task]))
	if late && path == "/run-stop" {
		if e.lateStops == nil {
			e.lateStops = map[string]bool{}
		}
		e.lateStops[o.Task] = true
	}
	if late {
		e.unanswered++
	} else {
		e.answered++
	}
	return late
}

// carryOutLate carries out an order that gets no answer.
func (e *executor) carryOutLate(path string, o *order, f func(o *order) (int, map[string]any)) {
	e.world.note(fmt.Sprintf("%s %s run %d on %s gets no answer", path, o.Task, o.Run, e.id))
	time.AfterFunc(lateBy, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.dead || o.Fence < e.fence {
			return
		}
		e.fence = o.Fence
		e.late = true
		f(o)
		e.late = false
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}

func (e *executor) extend(untilMS int64) {
	e.leaseEnd = max(e.leaseEnd, min(untilMS, e.clock()+e.world.system.maxHoldMS))
}

// start serves /run-start. The mutex is held.
func (e *executor) start(o *order) (int, map[string]any) {
	known := e.runs[o.Task]
	if known != nil && known.number == o.Run {
		e.extend(o.UntilMS)
		return http.StatusOK, map[string]any{}
	}
	switch {
	case known != nil || o.Run <= e.highest[o.Task]:
		e.extend(o.UntilMS)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.UntilMS <= e.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extend(o.UntilMS)
	e.world.record("start", o.Task, o.Run, e.id)
	r := &activeRun{number: o.Run, began: time.Now()}
	duration, outcome := e.world.work(o.Task)
	r.timer = time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[o.Task] == r {
			e.finish(o.Task, outcome)
		}
	})
	e.runs[o.Task] = r
	return http.StatusOK, map[string]any{}
}

// finish ends a run. The mutex is held.
func (e *executor) finish(task, how string) {
	r := e.runs[task]
	r.timer.Stop()
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], r.number)
	e.number++
	e.ended = append(e.ended, end{e.number, task, r.number, how})
	e.world.record(how, task, r.number, e.id)
	close(e.changed)
	e.changed = make(chan struct{})
}

// stopRun serves /run-stop. The mutex is held.
func (e *executor) stopRun(o *order) (int, map[string]any) {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		if !e.late && time.Since(r.began) > startup {
			e.world.record(stoppedAtWork, o.Task, o.Run, e.id)
		}
		e.finish(o.Task, "stopped")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

// hold serves /hold. The mutex is held, but not while it waits.
func (e *executor) hold(o *order) (int, map[string]any) {
	e.extend(o.UntilMS)
	e.ended = slices.DeleteFunc(e.ended, func(n end) bool {
		if n.number <= o.LastSeen {
			e.world.record("noted "+n.how, n.task, n.run, e.id)
		}
		return n.number <= o.LastSeen
	})
	if changed := e.changed; len(e.ended) == 0 && o.WaitMS > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for task, r := range e.runs {
		percent := 0
		if time.Since(r.began) > startup {
			percent = 100
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, n := range e.ended[:min(len(e.ended), maxEndedRows)] {
		ended = append(ended, []any{n.number, n.task, n.run, n.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": e.born.UnixMilli()}
}

// expireLeases kills everything once the lease has expired.
func (e *executor) expireLeases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
		e.mu.Lock()
		if e.clock() > e.leaseEnd {
			for task := range e.runs {
				e.finish(task, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// announce sends heartbeats to the address that the last answer named, or to a core machine.
func (e *executor) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	address := ""
	for seq := 1; ctx.Err() == nil; seq++ {
		for range 4 {
			if address == "" {
				address = e.world.system.control()
			}
			if address = e.beat(ctx, client, address, seq); address != "" {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// beat sends one heartbeat. It returns the address for the next one, "" if it was not taken.
func (e *executor) beat(ctx context.Context, client *http.Client, address string, seq int) string {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": e.pool, "address": e.address, "zone": e.machine.zone, "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": 0, "machine": e.machine.name, "born": e.born.UnixMilli(), "seq": seq, "clockMs": e.clock(),
		"capacity": map[string]any{"cpu": executorCPU, "memMb": executorMemMB, "gpu": 0}, "labels": []string{"a", e.machine.rack},
	})
	if err != nil {
		cannotRun(err.Error())
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		cannotRun(err.Error())
	}
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }() // it has been read
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil {
		return ""
	}
	if answer.HeartbeatAddr == "" {
		return address
	}
	return answer.HeartbeatAddr
}
