package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// standby is the pool of machines that are off.
const standby = "spare"

// machine is a machine of the provider.
type machine struct {
	name, zone, rack string

	mu       sync.Mutex
	pool     string
	state    string
	fence    uint64
	executor *executor
}

// provider is a stand-in of the provider's machines.
type provider struct {
	world    *world
	machines []*machine
	address  string
}

func startProvider(w *world, pools map[string]int) *provider {
	p := &provider{world: w}
	for pool, n := range pools {
		for range n {
			i := len(p.machines)
			p.machines = append(p.machines, &machine{
				name: "m-" + strconv.Itoa(i), zone: zones[i%len(zones)], rack: "r" + strconv.Itoa(i/4), pool: pool, state: "up",
			})
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err.Error())
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.move)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it runs until the end of this program
	return p
}

// startExecutors starts the executors of all machines that are on.
func (p *provider) startExecutors() {
	for _, m := range p.machines {
		if m.pool != standby {
			m.executor = startExecutor(p.world, m)
		}
	}
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, m := range p.machines {
		m.mu.Lock()
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]any{"cpu": executorCPU, "memMb": executorMemMB, "gpu": 0},
		}
		if m.executor != nil {
			row["id"] = m.executor.id
		}
		m.mu.Unlock()
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows})
}

// move serves /machine-move.
func (p *provider) move(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, m := range p.machines {
		if m.name == o.Machine {
			status, reason := p.moveMachine(m, o.Pool, fence)
			reply(w, status, map[string]any{"reason": reason})
			return
		}
	}
	reply(w, http.StatusBadRequest, map[string]any{})
}

func (p *provider) moveMachine(m *machine, pool string, fence uint64) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case fence < m.fence:
		return http.StatusConflict, "fence"
	case m.pool == pool:
		m.fence = fence
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.fence, m.pool, m.state = fence, pool, "moving"
	if m.executor != nil {
		m.executor.kill()
		m.executor = nil
	}
	p.world.note("machine " + m.name + " moves to " + pool)
	time.AfterFunc(1500*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.state = "up"
		if m.pool != standby {
			m.executor = startExecutor(p.world, m)
		}
	})
	return http.StatusOK, ""
}
