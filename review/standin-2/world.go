//go:build review

// Stand-ins of the second review: executors, the provider, the operator and clients, and the
// project's own programs as separate processes on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"za", "zb", "zc"}

const settings = `node = %q
role = %q
machineClass = "edge"
ip = %q
zone = %q
region = "region"
portRange = [7060,7075]
seeds = [%s]
bootstrap = %t
countsAsLoss = false
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "call"
advice = "%s:8621"
dataDir = %q
[listen]
front = "%[3]s:8624"
ready = "%[3]s:8622"
control = "%[3]s:8623"
[limits]
cpuShare = 0.6
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 128
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
maxStretchMs = 5000
recoverS = 12
maxHoldMs = 10000
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 1.5
checkpointS = 2
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
enforceFencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[cloud]
address = %[9]q
ratePerS = 64.0
duties = []
dutyPerS = 64.0
`

// process is one of the project's programs.
type process struct {
	name, role, ip, zone, dir string
	command                   *exec.Cmd
}

// world holds the processes and the stand-ins.
type world struct {
	trouble bool
	rand    *rand.Rand
	network string
	dir     string
	log     *os.File
	began0  time.Time
	plan    runPlan
	procs   []*process
	client  *http.Client

	mu        sync.Mutex
	executors []*executor
	machines  []*machine
	jobs      map[string]*job
	// calmSince is the end of the last disruption.
	calmSince time.Time
	broken    int
	done      map[string]*doneEnd
	// spoil is set until an entry was listed without its later fields.
	spoil     bool
	nextEntry int
}

func newWorld() *world {
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), jobs: map[string]*job{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		began0: time.Now(),
		plan:   func(*executor, string, int) (time.Duration, string) { return 0, "" },
	}
	var err error
	w.log, err = os.Create(os.Getenv("RECORD"))
	w.check(err)
	w.dir, err = os.MkdirTemp("", "review-2-")
	w.check(err)
	for {
		w.network = fmt.Sprintf("127.%d.%d", 1+w.rand.IntN(250), 1+w.rand.IntN(250))
		if l, err := net.Listen("tcp", w.network+".10:7060"); err == nil {
			_ = l.Close()
			return w
		}
	}
}

// check ends the script with status 2 if it cannot run.
func (w *world) check(err error) {
	if err != nil {
		w.record("the case cannot run: %v", err)
		w.close()
		os.Exit(2)
	}
}

func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.began0).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(w.log, line)
}

// breaks records that a rule is broken.
func (w *world) breaks(format string, args ...any) {
	w.record("BROKEN "+format, args...)
	w.mu.Lock()
	w.broken++
	first := w.broken == 1
	w.mu.Unlock()
	if first {
		fmt.Printf("broken: "+format+"\n", args...)
	}
}

// disrupted notes a disruption, which lasts until now.
func (w *world) disrupted(format string, args ...any) {
	w.record("DISRUPTION "+format, args...)
	w.mu.Lock()
	w.calmSince = time.Now()
	w.mu.Unlock()
}

func (w *world) finish() {
	w.close()
	if w.broken > 0 {
		w.record("the rule is broken")
		os.Exit(1)
	}
	w.record("the rule held")
	fmt.Println("held")
	os.Exit(0)
}

func (w *world) close() {
	for _, p := range w.procs {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, keep)
		return
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) cores() (out []*process) {
	for _, p := range w.procs {
		if p.role == "core" {
			out = append(out, p)
		}
	}
	return out
}

func (w *world) entries() (out []*process) {
	for _, p := range w.procs {
		if p.role == "entry" {
			out = append(out, p)
		}
	}
	return out
}

// startSystem starts three core and three entry processes.
func (w *world) startSystem(provider string) {
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8623", w.network, 10+i)))
		w.procs = append(w.procs, &process{name: "core-" + zones[i], role: "core", ip: fmt.Sprintf("%s.%d", w.network, 10+i), zone: zones[i]})
	}
	for i := range zones {
		w.procs = append(w.procs, &process{name: "entry-" + zones[i], role: "entry", ip: fmt.Sprintf("%s.%d", w.network, 30+i), zone: zones[i]})
	}
	for _, p := range w.procs {
		p.dir = filepath.Join(w.dir, p.name)
		w.check(os.MkdirAll(p.dir, 0o700))
		data := ""
		if p.role == "core" {
			data = filepath.Join(p.dir, "data")
		}
		text := func(first bool) string {
			return fmt.Sprintf(settings, p.name, p.role, p.ip, p.zone, strings.Join(seeds, ","), first, w.network+".99", data, provider)
		}
		w.check(os.WriteFile(filepath.Join(p.dir, "boot.toml"), []byte(text(true)), 0o600))
		w.start(p)
		w.check(os.WriteFile(filepath.Join(p.dir, "later.toml"), []byte(text(false)), 0o600))
	}
	time.Sleep(500 * time.Millisecond)
	for _, p := range w.procs {
		w.check(os.Rename(filepath.Join(p.dir, "later.toml"), filepath.Join(p.dir, "boot.toml")))
	}
}

func (w *world) start(p *process) {
	logs, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	w.check(err)
	p.command = exec.Command("target/agatehavend", p.role)
	p.command.Env = append(os.Environ(), "AGATEHAVEN_BOOT="+filepath.Join(p.dir, "boot.toml"))
	p.command.Stdout, p.command.Stderr = logs, logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.check(p.command.Start())
	_ = logs.Close()
	w.record("process %s starts", p.name)
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// control returns the control address of a process drawn by lot.
func (w *world) control() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[w.rand.IntN(len(w.procs))].ip + ":8623"
}

// call makes a call and follows two redirects.
func (w *world) call(ctx context.Context, method, address, path, host string, body any, limit time.Duration) (int, map[string]any, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	data, err := json.Marshal(body)
	w.check(err)
	url := "http://" + address + path
	for range 3 {
		var reader io.Reader
		if body != nil {
			reader = bytes.NewReader(data)
		}
		r, err := http.NewRequestWithContext(ctx, method, url, reader)
		if err != nil {
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		if host != "" {
			r.Host = host
			r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
		}
		res, err := w.client.Do(r)
		if err != nil {
			return 0, nil, err
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if res.StatusCode == http.StatusTemporaryRedirect {
			url = res.Header.Get("Location")
			continue
		}
		var out map[string]any
		_ = json.Unmarshal(text, &out)
		return res.StatusCode, out, nil
	}
	return http.StatusTemporaryRedirect, nil, nil
}

// configure sends a manifest until it is accepted.
func (w *world) configure(version int, routes, services []map[string]any) {
	body := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for range 100 {
		status, _, err := w.call(context.Background(), http.MethodPut, w.control(), "/config", "", body, time.Second)
		if err == nil && status == http.StatusOK {
			w.record("manifest %d is acknowledged", version)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.check(fmt.Errorf("no manifest was accepted"))
}

func route(name, service string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "calls.example", "pathPrefix": "/" + name + "/", "kind": "non_idempotent", "timeoutMs": 3000,
		"targetLatencyMs": 2500, "priority": priority, "service": service, "attempts": attempts, "stretch": 2.2,
	}
}

func service(name string, standby bool) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": standby,
	}
}

// awaitReady waits until all entry processes are ready.
func (w *world) awaitReady() {
	for _, p := range w.entries() {
		for try := 0; ; try++ {
			status, _, err := w.call(context.Background(), http.MethodGet, p.ip+":8622", "/ready", "", nil, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if try > 100 {
				w.check(fmt.Errorf("%s is not ready", p.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (w *world) ctx() context.Context { return context.Background() }
