//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the provider.
type machine struct {
	name, zone, rack string

	mu       sync.Mutex
	pool     string
	state    string
	fence    uint64
	upkeeps  map[int64]bool
	executor *executor
}

// startProvider serves the machines' API and returns its address.
func (w *world) startProvider() string {
	listener, err := net.Listen("tcp", w.network+".98:0")
	w.check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		for _, m := range w.allMachines() {
			m.mu.Lock()
			row := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{kindOf(m.name), m.rack},
				"capacity": map[string]any{"cpu": machineCPU, "memMb": machineMem, "gpu": 0},
			}
			if m.executor != nil {
				row["id"] = m.executor.id
			}
			m.mu.Unlock()
			rows = append(rows, row)
		}
		reply(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
	})
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, r *http.Request) { w.orderMachine(rw, r, false) })
	mux.HandleFunc("POST /machine-upkeep", func(rw http.ResponseWriter, r *http.Request) { w.orderMachine(rw, r, true) })
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return listener.Addr().String()
}

func (w *world) allMachines() []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*machine{}, w.machines...)
}

func (w *world) orderMachine(rw http.ResponseWriter, r *http.Request, upkeep bool) {
	var o struct {
		Machine, Pool string
		Wave          int64
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, m := range w.allMachines() {
		if m.name != o.Machine {
			continue
		}
		m.mu.Lock()
		status, reason, away := m.accept(fence, o.Pool, o.Wave, upkeep)
		if away > 0 {
			old := m.executor
			m.executor = nil
			if old != nil {
				old.crash(false)
			}
			time.AfterFunc(away, func() { w.boot(m) })
		}
		m.mu.Unlock()
		w.record("provider: order for %s (pool %q, wave %d) of %s, fence %d -> %d %s", o.Machine, o.Pool, o.Wave, r.Header.Get("X-Lease-Holder"), fence, status, reason)
		reply(rw, status, map[string]any{"reason": reason})
		return
	}
	reply(rw, http.StatusBadRequest, map[string]any{})
}

// accept decides on an order, and returns for how long the machine is away.
func (m *machine) accept(fence uint64, pool string, wave int64, upkeep bool) (status int, reason string, away time.Duration) {
	if fence < m.fence {
		return http.StatusConflict, "fence", 0
	}
	m.fence = fence
	switch {
	case upkeep && m.upkeeps[wave], !upkeep && m.pool == pool && m.state != "moving":
		return http.StatusOK, "", 0
	case m.state != "up":
		return http.StatusConflict, "busy", 0
	case upkeep:
		m.upkeeps[wave] = true
		m.state = "upkeep"
		return http.StatusOK, "", 2 * time.Second
	}
	m.state, m.pool = "moving", pool
	return http.StatusOK, "", 1500 * time.Millisecond
}

// boot starts an executor on a machine, unless its pool is on standby.
func (w *world) boot(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = "up"
	if m.pool != "off" {
		m.executor = w.startExecutor(m.name, m.pool, m.zone, m.rack)
	}
}

// lose ends a machine's executor for some time, or for good. The machine answers nothing then.
func (w *world) lose(m *machine, away time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = "down"
	old := m.executor
	m.executor = nil
	if old != nil {
		old.crash(true)
	}
	if away > 0 {
		time.AfterFunc(away, func() { w.boot(m) })
	}
}

// addMachines adds machines of a pool, four a rack.
func (w *world) addMachines(pool string, n int) (added []*machine) {
	for i := range n {
		m := &machine{
			name: "m-" + pool + "-" + strconv.Itoa(i), zone: zones[i%len(zones)], rack: "r-" + pool + "-" + strconv.Itoa(i/4), pool: pool,
			upkeeps: map[int64]bool{},
		}
		w.mu.Lock()
		w.machines = append(w.machines, m)
		w.mu.Unlock()
		w.boot(m)
		added = append(added, m)
	}
	return added
}
