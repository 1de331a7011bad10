package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// domain, longPrefix and shortPrefix route the requests of clients to two queues of one service.
const (
	domain      = "review.example"
	longPrefix  = "/keep/"
	shortPrefix = "/draw/"
	service     = "work"
)

// event is what an executor has seen of a run.
type event struct {
	at   time.Time
	kind string
	task string
	run  int
	on   string
}

// world is what clients, executors and the provider see.
type world struct {
	system   *system
	provider *provider
	out      *os.File
	began    time.Time

	mu       sync.Mutex
	events   []event
	silentAt time.Time       // when channels went silent
	works    map[string]work // by job
}

// work is how long the subtasks of a job take and how they end.
type work struct {
	duration time.Duration
	outcome  string
}

// mayMiss is how many subtasks of a step that lasts may be away at a time.
const mayMiss = 1

// spares is the number of machines that are off.
const spares = 2

// longTime is longer than any case.
const longTime = time.Hour

func newWorld(dir, binary, record string, entries, machines int) *world {
	out, err := os.Create(record)
	if err != nil {
		cannotRun(err.Error())
	}
	w := &world{out: out, began: time.Now(), works: map[string]work{}}
	w.system = newSystem(dir, binary, entries)
	w.provider = startProvider(w, map[string]int{service: machines, standby: spares})
	w.system.provider = w.provider.address
	return w
}

// boot starts everything and puts the first manifest in force.
func (w *world) boot() {
	w.system.startAll()
	w.provider.startExecutors()
	for until := time.Now().Add(30 * time.Second); !w.configure(1, longPrefix, shortPrefix); {
		if time.Now().After(until) {
			cannotRun("the first manifest was not accepted")
		}
		pause(200 * time.Millisecond)
	}
	w.system.awaitReady()
	pause(4 * time.Second) // the executors have announced themselves
	w.note("the system serves")
}

// configure sends a manifest with these queues to a core machine, and reports whether it was
// confirmed.
func (w *world) configure(version int, prefixes ...string) bool {
	var routes []any
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i, strings.Trim(prefix, "/")), "host": domain, "pathPrefix": prefix, "kind": "non_idempotent",
			"timeoutMs": 3000, "targetLatencyMs": 2500, "priority": 0, "service": service, "attempts": 4, "stretch": 2.2,
		})
	}
	pool := func(name string, off bool) any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": off,
		}
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{pool(service, false), pool(standby, true)},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		cannotRun(err.Error())
	}
	status, _ := w.send(&http.Client{Timeout: time.Second}, http.MethodPut, "http://"+w.system.control()+"/config", body)
	w.note(fmt.Sprintf("PUT /config version %d: %d", version, status))
	return status == http.StatusOK
}

// send makes one request. Status 0 means that there was no answer.
func (w *world) send(client *http.Client, method, url string, body []byte) (int, []byte) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		cannotRun(err.Error())
	}
	r.Host = domain
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	if strings.HasSuffix(url, "/config") {
		r.Host = ""
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }() // it has been read
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, data
}

// front returns the address for clients of an entry machine.
func (w *world) front(i int) string {
	return "http://" + w.system.entries[i%len(w.system.entries)].ip + ":" + frontPort
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit submits a job of one step with client attempts like those of the pages, and reports
// whether it was accepted.
func (w *world) submit(client *http.Client, prefix, id string, count int, long bool, take work) bool {
	return w.submitSpread(client, prefix, id, count, 0, long, take)
}

// submitSpread is submit with at most perServer subtasks on an executor, 0 for any number.
func (w *world) submitSpread(client *http.Client, prefix, id string, count, perServer int, long bool, take work) bool {
	w.mu.Lock()
	w.works[id] = take
	w.mu.Unlock()
	step := map[string]any{"count": count, "cpu": 500, "memMb": 128, "estimateMs": 900}
	if perServer > 0 {
		step["maxPerServer"] = perServer
	}
	if long {
		step["longRunning"] = true
		step["mayMiss"] = mayMiss
	}
	body, err := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": []any{step}})
	if err != nil {
		cannotRun(err.Error())
	}
	for try := range 5 {
		status, _ := w.send(client, http.MethodPost, w.front(rand.Int())+prefix+id, body)
		if status == http.StatusOK {
			return true
		}
		pause(time.Duration(100<<try) * time.Millisecond)
	}
	return false
}

// work returns how long a subtask takes, and how it ends.
func (w *world) work(task string) (time.Duration, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if known, ok := w.works[job]; ok {
		return known.duration, known.outcome
	}
	return time.Second, "done"
}

func (w *world) stamp() string { return fmt.Sprintf("%8.3f s", time.Since(w.began).Seconds()) }

// record notes what happened to a run.
func (w *world) record(kind, task string, number int, on string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{time.Now(), kind, task, number, on})
	_, _ = fmt.Fprintf(w.out, "%s  %s %s run %d on %s\n", w.stamp(), kind, task, number, on) // the verdict does not need it
}

// note writes a line into the record.
func (w *world) note(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%s  %s\n", w.stamp(), text) // the verdict does not need it
}

// running returns the subtasks of a job that are at work at executors that are up.
func (w *world) running(job string) []string {
	var out []string
	for _, m := range w.provider.machines {
		m.mu.Lock()
		e := m.executor
		m.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		for task := range e.runs {
			if strings.HasPrefix(task, job+".") {
				out = append(out, task)
			}
		}
		e.mu.Unlock()
	}
	return out
}

// awaitRunning waits until a number of subtasks of a job are at work.
func (w *world) awaitRunning(job string, n int) {
	for until := time.Now().Add(15 * time.Second); len(w.running(job)) < n; pause(50 * time.Millisecond) {
		if time.Now().After(until) {
			cannotRun("the subtasks of " + job + " did not start")
		}
	}
}
