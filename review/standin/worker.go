package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxListedEnds is how many ended runs a list of runs holds at most.
const maxListedEnds = 500

// world is the state that all workers share: the groups of subtasks that work together.
type world struct {
	mu    sync.Mutex
	rec   *record
	jobs  *jobTable
	gangs map[string]*gang
	// doneAt holds, by subtask, the run that ended done.
	doneAt map[string]*end
	// aloneEnds are the ends of runs that waited in vain for the others of their group.
	aloneEnds []*run
	// beginHook, if set, is called for each run that begins on an order.
	beginHook func(w *worker, r *run)
	// tickets, if set, returns the ticket that a start of a subtask on a machine needs,
	// empty if the policy does not allow the machine.
	tickets func(m *machine) string
}

// gang is one run of the subtasks that only work together.
type gang struct {
	members map[int]*run
	working bool
}

// worker is one life of a machine.
type worker struct {
	w       *world
	m       *machine
	id      string
	born    time.Time
	server  *http.Server
	link    *proxy
	stop    context.CancelFunc
	changed chan struct{}

	// The world's mutex guards these.
	dead      bool
	confirmed bool
	fence     uint64
	leaseEnd  int64
	lapsedAt  time.Time
	runs      map[string]*run
	highest   map[string]int
	ended     []*end
	number    int64
	heardHold time.Time // when the last list was answered
}

// run is a subtask that was started.
type run struct {
	on         *worker
	task       string
	number     int
	checkpoint string // with which it was started
	began      time.Time
	group      string // empty if it works alone
	index      int
	progress   time.Duration // when it began to work
	workSince  time.Time     // zero while it waits for its group
	timer      *time.Timer
	alone      *time.Timer
	stopping   bool
}

type end struct {
	on     *worker
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	noted  time.Time
}

// order holds the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    int64  `json:"untilMs"`
	Fence      uint64 `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

func newWorker(w *world, m *machine) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &worker{
		w: w, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(), stop: stop, runs: map[string]*run{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	for path, f := range map[string]func(o *order) (int, map[string]any){
		"/run-start": e.start, "/run-stop": e.stopRun, "/hold": e.hold, "/pace": func(*order) (int, map[string]any) { return 200, map[string]any{} },
	} {
		mux.HandleFunc("POST "+path, e.serve(path, f))
	}
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	if e.link, err = newProxy(listener.Addr().String()); err != nil {
		return nil, err
	}
	go e.beat(ctx)
	go e.expire(ctx)
	return e, nil
}

func (e *worker) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

func (e *worker) serve(path string, f func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		instance := r.Header.Get("X-Target-Instance")
		e.w.mu.Lock()
		status, answer := e.carryOut(instance, &o, f)
		answer["clockMs"] = e.clock()
		if path != "/hold" {
			e.w.rec.line("worker %s: %s %s run %d checkpoint %q fence %d answered %d %v", e.id, path, o.Task, o.Run, o.Checkpoint, o.Fence, status, answer["reason"])
		}
		e.w.mu.Unlock()
		w.WriteHeader(status)
		_, _ = w.Write(mustJSON(answer))
	}
}

// carryOut checks the intended life and the fence, and carries an order out. The mutex is held.
func (e *worker) carryOut(instance string, o *order, f func(o *order) (int, map[string]any)) (int, map[string]any) {
	switch {
	case instance != e.id || e.dead:
		return http.StatusMisdirectedRequest, map[string]any{}
	case o.Fence < e.fence:
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	e.fence = o.Fence
	return f(o)
}

func (e *worker) extend(until int64) { e.leaseEnd = max(e.leaseEnd, min(until, e.clock()+maxHoldMs)) }

func (e *worker) start(o *order) (int, map[string]any) {
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
	j, k, stepNumber, index := e.w.jobs.find(o.Task)
	switch {
	case j == nil:
		return http.StatusBadRequest, map[string]any{}
	case e.w.tickets != nil && (o.Ticket == "" || o.Ticket != e.w.tickets(e.m)):
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	r := &run{on: e, task: o.Task, number: o.Run, checkpoint: o.Checkpoint, began: time.Now(), index: index, progress: progressOf(o.Checkpoint)}
	e.runs[o.Task] = r
	if e.w.beginHook != nil {
		e.w.beginHook(e, r)
	}
	if !j.steps[stepNumber].Gang {
		r.work(j.work(stepNumber, index))
		return http.StatusOK, map[string]any{}
	}
	// All members of a run carry the same checkpoint; one with another is not of that run.
	r.group = fmt.Sprintf("%s.%d.%d run %d from %q", j.id, k, stepNumber, o.Run, o.Checkpoint)
	g := e.w.gangs[r.group]
	if g == nil {
		g = &gang{members: map[int]*run{}}
		e.w.gangs[r.group] = g
	}
	g.members[index] = r
	r.alone = time.AfterFunc(gangTimeoutMs*time.Millisecond, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if r.workSince.IsZero() && e.runs[r.task] == r {
			e.w.aloneEnds = append(e.w.aloneEnds, r)
			e.finish(r, "alone", r.checkpoint)
		}
	})
	if len(g.members) == j.steps[stepNumber].Count {
		g.working = true
		e.w.rec.line("group %s: all %d are present and work", r.group, len(g.members))
		for _, m := range g.members {
			m.alone.Stop()
			m.work(j.work(stepNumber, m.index))
		}
	}
	return http.StatusOK, map[string]any{}
}

// work lets a run work until its work is done. The mutex is held.
func (r *run) work(whole time.Duration) {
	r.workSince = time.Now()
	left := whole - r.progress
	if r.checkpoint != "" {
		left += restoreMs * time.Millisecond
	}
	r.timer = time.AfterFunc(max(left, time.Millisecond), func() {
		r.on.w.mu.Lock()
		defer r.on.w.mu.Unlock()
		if r.on.runs[r.task] != r || r.stopping {
			return
		}
		if g := r.on.w.gangs[r.group]; g != nil {
			for _, m := range g.members {
				if m.on.runs[m.task] == m {
					m.on.finish(m, "done", "")
				}
			}
			return
		}
		r.on.finish(r, "done", "")
	})
}

// saved returns the newest checkpoint of a run: one with each checkpointS of work.
func (r *run) saved(e *worker) string {
	j, _, stepNumber, _ := e.w.jobs.find(r.task)
	if j == nil || !j.steps[stepNumber].Checkpointing {
		return ""
	}
	if r.workSince.IsZero() {
		return r.checkpoint
	}
	worked := r.progress + time.Since(r.workSince)
	if r.checkpoint != "" {
		worked -= restoreMs * time.Millisecond
	}
	ticks := int64(max(worked, 0).Milliseconds()) / (checkpointS * 1000)
	if ticks == 0 {
		return r.checkpoint
	}
	h := fnv.New32()
	_, _ = fmt.Fprintf(h, "%s.%d", j.id, stepNumber)
	return fmt.Sprintf("%08x%08x", ticks*checkpointS*1000, h.Sum32())
}

// progressOf returns the progress that a checkpoint holds.
func progressOf(checkpoint string) time.Duration {
	var ms int64
	if len(checkpoint) == 16 {
		_, _ = fmt.Sscanf(checkpoint[:8], "%x", &ms)
	}
	return time.Duration(ms) * time.Millisecond
}

// finish ends a run. The mutex is held.
func (e *worker) finish(r *run, how, saved string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.alone != nil {
		r.alone.Stop()
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.number++
	n := &end{on: e, number: e.number, task: r.task, run: r.number, how: how, saved: saved, at: time.Now()}
	e.ended = append(e.ended, n)
	if how == "done" && e.w.doneAt[r.task] == nil {
		e.w.doneAt[r.task] = n
	}
	e.w.rec.line("worker %s: %s run %d ended %s, number %d, saved %q", e.id, r.task, r.number, how, n.number, saved)
	close(e.changed)
	e.changed = make(chan struct{})
	if how != "done" {
		e.breakGang(r)
	}
}

// breakGang ends the other members of a working group. The mutex is held.
func (e *worker) breakGang(r *run) {
	g := e.w.gangs[r.group]
	if g == nil || !g.working {
		if g != nil {
			delete(g.members, r.index)
		}
		return
	}
	delete(e.w.gangs, r.group)
	for _, m := range g.members {
		if m != r && m.on.runs[m.task] == m {
			m.on.finish(m, "broken", m.saved(m.on))
		}
	}
}

func (e *worker) stopRun(o *order) (int, map[string]any) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopMs/2*time.Millisecond, func() {
			e.w.mu.Lock()
			defer e.w.mu.Unlock()
			if e.runs[o.Task] == r {
				e.finish(r, "stopped", r.saved(e))
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease and lists the runs. The mutex is held, but not while it waits.
func (e *worker) hold(o *order) (int, map[string]any) {
	e.extend(o.UntilMS)
	kept := e.ended[:0]
	for _, n := range e.ended {
		if n.number <= o.LastSeen {
			n.noted = time.Now()
		} else {
			kept = append(kept, n)
		}
	}
	e.ended = kept
	if changed := e.changed; len(e.ended) == 0 && o.WaitMS > 0 {
		e.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		e.w.mu.Lock()
	}
	running, ended := []any{}, []any{}
	for _, r := range e.runs {
		percent := 0
		if !r.workSince.IsZero() && time.Since(r.workSince) > 900*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, r.saved(e), percent, 0})
	}
	for _, n := range e.ended[:min(len(e.ended), maxListedEnds)] {
		ended = append(ended, []any{n.number, n.task, n.run, n.how, n.saved})
	}
	e.heardHold = time.Now()
	if len(e.ended) > maxListedEnds {
		e.w.rec.line("worker %s: list up to number %d asked for, %d of %d ends listed, %d running", e.id, o.LastSeen, len(ended), len(e.ended), len(running))
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": e.born.UnixMilli()}
}

// expire kills everything once the lease has expired.
func (e *worker) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		e.w.mu.Lock()
		if e.clock() > e.leaseEnd && len(e.runs) > 0 {
			e.lapsedAt = time.Now()
			for _, r := range e.runs {
				e.finish(r, "lapsed", r.saved(e))
			}
		}
		e.w.mu.Unlock()
	}
}

// crash ends the worker at once. Everything on it is lost without a report.
func (e *worker) crash() {
	e.w.mu.Lock()
	e.dead = true
	for _, r := range e.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		if r.alone != nil {
			r.alone.Stop()
		}
		delete(e.runs, r.task)
		e.breakGang(r)
	}
	e.w.mu.Unlock()
	e.stop()
	e.link.close()
	_ = e.server.Close()
}

// beat sends heartbeats.
func (e *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	address := ""
	for seq := 1; ctx.Err() == nil; seq++ {
		if address == "" {
			address = e.m.p.region.control()
		}
		body := map[string]any{
			"service": e.m.pool, "address": e.link.address(), "zone": e.m.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "machine": e.m.name, "born": e.born.UnixMilli(), "seq": seq, "clockMs": e.clock(),
			"capacity": map[string]any{"cpu": 32000, "memMb": 65536, "gpu": 0}, "labels": []string{e.m.kind, e.m.rack},
		}
		next, ok := e.send(ctx, client, address, mustJSON(body))
		address = next
		pause := 100 * time.Millisecond
		if ok {
			pause = heartbeatMs * time.Millisecond
			e.w.mu.Lock()
			e.confirmed = true
			e.w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (e *worker) send(ctx context.Context, client *http.Client, address string, body []byte) (next string, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	_ = json.NewDecoder(res.Body).Decode(&answer)
	return answer.HeartbeatAddr, res.StatusCode == http.StatusOK
}
