package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the provider with its worker.
type machine struct {
	p                *provider
	name, zone, rack string
	// kind is the first label.
	kind string

	mu     sync.Mutex
	pool   string
	state  string
	fence  uint64
	worker *worker
	gone   bool // lost for good, not listed any more
}

// provider is a stand-in of the provider's calls for machines.
type provider struct {
	region   *region
	world    *world
	machines []*machine
	server   *http.Server
	address  string
}

func startProvider(r *region, services []service) (*provider, error) {
	p := &provider{region: r, world: &world{rec: r.rec, jobs: r.jobs, gangs: map[string]*gang{}, doneAt: map[string]*end{}}}
	for _, s := range services {
		for i := range s.workers {
			n, kind := len(p.machines), "a"
			if other := s.kinds[i]; other != "" {
				kind = other
			}
			p.machines = append(p.machines, &machine{
				p: p, name: fmt.Sprintf("m-%02d", n), zone: zones[n%3], rack: fmt.Sprintf("r%d-%d", n%3, i/4), pool: s.name, state: "up", kind: kind,
			})
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.move)
	mux.HandleFunc("POST /advise", p.advise)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *provider) close() {
	for _, m := range p.machines {
		m.mu.Lock()
		if m.worker != nil {
			m.worker.crash()
		}
		m.mu.Unlock()
	}
	_ = p.server.Close()
}

// confirmed reports whether all workers have had a heartbeat confirmed.
func (p *provider) confirmed() bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	for _, m := range p.machines {
		if m.state == "up" && (m.worker == nil || !m.worker.confirmed) {
			return false
		}
	}
	return true
}

func (m *machine) boot() {
	w, err := newWorker(m.p.world, m)
	if err != nil {
		m.p.world.rec.line("machine %s: no worker: %v", m.name, err)
		return
	}
	m.mu.Lock()
	m.worker, m.state = w, "up"
	m.mu.Unlock()
	m.p.world.rec.line("machine %s: worker %s of %s is up", m.name, w.id, m.pool)
}

// crash ends the machine's worker. Another one is up after the given time, none if it is 0.
func (m *machine) crash(away time.Duration) {
	m.mu.Lock()
	w := m.worker
	m.worker, m.state = nil, "down"
	m.mu.Unlock()
	if away == 0 {
		m.mu.Lock()
		m.gone = true
		m.mu.Unlock()
		m.p.world.rec.line("machine %s: worker %s is lost for good", m.name, w.id)
		w.crash()
		return
	}
	m.p.world.rec.line("machine %s: worker %s crashes for %v", m.name, w.id, away)
	w.crash()
	time.AfterFunc(away, m.boot)
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	rows := []any{}
	for _, m := range p.machines {
		m.mu.Lock()
		if m.state == "down" && m.worker == nil && m.gone {
			m.mu.Unlock()
			continue
		}
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack},
			"capacity": map[string]any{"cpu": 32000, "memMb": 65536, "gpu": 0},
		}
		if m.worker != nil {
			row["id"] = m.worker.id
		}
		m.mu.Unlock()
		rows = append(rows, row)
	}
	_, _ = w.Write(mustJSON(map[string]any{"machines": rows, "nextToken": ""}))
}

func (p *provider) move(w http.ResponseWriter, r *http.Request) {
	var o struct{ Machine, Pool string }
	fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range p.machines {
		if m.name != o.Machine {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		status, reason := http.StatusOK, ""
		switch {
		case fence < m.fence:
			status, reason = http.StatusConflict, "fence"
		case m.pool == o.Pool:
		case m.state != "up":
			status, reason = http.StatusConflict, "busy"
		default:
			m.fence = fence
			if m.worker != nil {
				go m.worker.crash()
			}
			m.worker, m.pool, m.state = nil, o.Pool, "moving"
			time.AfterFunc(moveMs*time.Millisecond, m.boot)
		}
		p.world.rec.line("provider: move of %s to %s answered %d %s", m.name, o.Pool, status, reason)
		w.WriteHeader(status)
		_, _ = w.Write(mustJSON(map[string]any{"reason": reason}))
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// ticketValidMs is how long a ticket is valid.
const ticketValidMs = 3000

// advise answers which of the named workers the policy allows.
func (p *provider) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || p.world.tickets == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	good := []any{}
	for _, m := range p.machines {
		m.mu.Lock()
		if ticket := p.world.tickets(m); m.worker != nil && ticket != "" && slices.Contains(q.Workers, m.worker.id) {
			good = append(good, []any{m.worker.id, ticket})
		}
		m.mu.Unlock()
	}
	p.world.rec.line("advice: step %s, %d workers named, %d of them allowed", q.Step, len(q.Workers), len(good))
	_, _ = w.Write(mustJSON(map[string]any{"good": good, "validMs": ticketValidMs}))
}
