package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small site cegtabla-ops, in the unit of their names.
const (
	contactMs     = 3000
	drainMs       = 2000
	stopMs        = 200
	gangTimeoutMs = 3000
	maxHoldMs     = 10000
	checkpointS   = 2
	restoreMs     = 250
	heartbeatMs   = 1500
	moveMs        = 1500
	upkeepMs      = 2000
)

const (
	linkPort    = "7060"
	controlPort = "7070"
	frontPort   = "7080"
	readyPort   = "7081"
	domain      = "review.example"
)

var zones = []string{"kozep-a", "kozep-b", "kozep-c"}

// settings is the settings file of a process, with the fields of the platform's example.
const settings = `node = %[1]q
role = %[2]q
machineClass = %[3]q
serves = [%[4]s]
ip = %[5]q
zone = %[6]q
region = "kozep"
portRange = [7060,7075]
seeds = [%[7]s]
bootstrap = %[8]t
countsAsLoss = %[9]t
%[10]s
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
orders = "call"
advice = %[11]q
[zones]
kozep-a = "kozep"
kozep-b = "kozep"
kozep-c = "kozep"
[listen]
%[12]s
[limits]
cpuShare = 0.624
cores = 1
memoryMb = 284
maxFds = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 1
regions = 0
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
rollbackSlackMs = 250
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
address = %[13]q
ratePerS = 64.0
duties = []
dutyPerS = 64.0
`

// record writes what was sent, answered and run, with the ms since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d ms  %s\n", time.Since(r.started).Milliseconds(), fmt.Sprintf(format, args...))
}

// process is a program of the system.
type process struct {
	name, role, ip, zone, dir string
	command                   *exec.Cmd
}

// region is the system with its stand-ins.
type region struct {
	rec      *record
	root     string // the repository
	dir      string // temporary files
	network  string // the first three bytes of the addresses
	cores    []*process
	entries  []*process
	provider *provider
	jobs     *jobTable
	client   *http.Client
	version  int
}

// service is a service of the manifest with its queue and its number of workers.
type service struct {
	name, prefix string
	workers      int
	attempts     int
	// kinds holds the kinds of machines that are not "a", by number.
	kinds map[int]string
	// advice is set if the queue has a policy.
	advice bool
}

var errSetup = errors.New("the region did not start")

// startRegion starts three core and three entry processes, the workers and the provider,
// and puts a manifest in force.
func startRegion(rec *record, root, dir string, services []service) (*region, error) {
	r := &region{rec: rec, root: root, dir: dir, jobs: newJobTable(), client: &http.Client{Timeout: 3 * time.Second}}
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if l, err := net.Listen("tcp", r.network+".10:"+linkPort); err == nil {
			_ = l.Close()
			break
		}
	}
	var err error
	if r.provider, err = startProvider(r, services); err != nil {
		return r, err
	}
	for i, zone := range zones {
		r.cores = append(r.cores, &process{name: "core-" + zone + "-1", role: "core", ip: r.address(10 + i), zone: zone})
		r.entries = append(r.entries, &process{name: "edge-" + zone + "-1", role: "entry", ip: r.address(30 + i), zone: zone})
	}
	for _, p := range append(append([]*process{}, r.cores...), r.entries...) {
		if err := r.start(p, true); err != nil {
			return r, err
		}
	}
	if !r.configure(services) || !waitFor(20*time.Second, r.ready) {
		return r, errSetup
	}
	for _, m := range r.provider.machines {
		m.boot()
	}
	if !waitFor(10*time.Second, func() bool { return r.provider.confirmed() }) {
		return r, errSetup
	}
	rec.line("the region is up: %d core, %d entry, %d workers", len(r.cores), len(r.entries), len(r.provider.machines))
	return r, nil
}

func (r *region) address(host int) string { return fmt.Sprintf("%s.%d", r.network, host) }

// start starts a process with the command of the deploy file.
func (r *region) start(p *process, first bool) error {
	p.dir = filepath.Join(r.dir, p.name)
	data := filepath.Join(p.dir, "data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	listen := fmt.Sprintf("control = %q\n", p.ip+":"+controlPort)
	serves, class, dataDir := `"control_plane"`, "core", fmt.Sprintf("dataDir = %q", data)
	if p.role == "entry" {
		listen += fmt.Sprintf("front = %q\nready = %q\n", p.ip+":"+frontPort, p.ip+":"+readyPort)
		serves, class, dataDir = `"edge","control_plane"`, "edge", ""
	}
	seeds := fmt.Sprintf("%q,%q,%q", r.address(10)+":"+controlPort, r.address(31)+":"+controlPort, r.address(12)+":"+controlPort)
	text := fmt.Sprintf(settings, p.name, p.role, class, serves, p.ip, p.zone, seeds, first, p.role == "core", dataDir,
		r.provider.address, listen, r.provider.address)
	path := filepath.Join(p.dir, "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(p.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	p.command = exec.Command(filepath.Join(r.root, "target", "agatehavend"), p.role)
	p.command.Dir, p.command.Env = r.root, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "AGATEHAVEN_BOOT=" + path}
	p.command.Stdout, p.command.Stderr = logs, logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

func (p *process) kill() {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Kill()
		_, _ = p.command.Process.Wait()
		p.command = nil
	}
}

func (r *region) close() {
	for _, p := range append(append([]*process{}, r.cores...), r.entries...) {
		p.kill()
	}
	if r.provider != nil {
		r.provider.close()
	}
}

// ready reports whether all entry processes are ready.
func (r *region) ready() bool {
	for _, p := range r.entries {
		res, err := r.client.Get("http://" + p.ip + ":" + readyPort + "/ready")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// control returns the control address of a random process.
func (r *region) control() string {
	all := append(append([]*process{}, r.cores...), r.entries...)
	return all[rand.IntN(len(all))].ip + ":" + controlPort
}

// configure sends a manifest until it is confirmed.
func (r *region) configure(services []service) bool {
	r.version++
	var routes, list []any
	for i, s := range services {
		route := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": domain, "pathPrefix": s.prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": i, "service": s.name, "attempts": s.attempts, "stretch": 1.6,
		}
		if s.advice {
			route["advice"] = map[string]any{"decideMs": 20, "eachMs": 2, "validMs": ticketValidMs}
		}
		routes = append(routes, route)
		list = append(list, map[string]any{
			"name": s.name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false,
		})
	}
	body := mustJSON(map[string]any{
		"version": r.version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return waitFor(20*time.Second, func() bool {
		status, _ := r.call(http.MethodPut, "http://"+r.control()+"/config", "", body)
		r.rec.line("operator: manifest %d answered %d", r.version, status)
		return status == http.StatusOK
	})
}

// call makes one call. Status 0 means that there was no answer.
func (r *region) call(method, url, host string, body []byte) (int, map[string]any) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	req.Host = host
	res, err := r.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer := map[string]any{}
	_ = json.NewDecoder(res.Body).Decode(&answer)
	return res.StatusCode, answer
}

// front calls a random entry process as a client.
func (r *region) front(method, path string, body []byte) (int, map[string]any) {
	p := r.entries[rand.IntN(len(r.entries))]
	return r.call(method, "http://"+p.ip+":"+frontPort+path, domain, body)
}

// submit submits a job until it is accepted.
func (r *region) submit(j *job) bool {
	r.jobs.add(j)
	body := mustJSON(map[string]any{"spec": j.spec, "steps": j.steps})
	return waitFor(10*time.Second, func() bool {
		status, _ := r.front(http.MethodPost, j.prefix+j.id, body)
		r.rec.line("client: POST job %s answered %d", j.id, status)
		return status == http.StatusOK
	})
}

// state reads the state of a job.
func (r *region) state(j *job) string {
	status, answer := r.front(http.MethodGet, j.prefix+j.id, nil)
	if status != http.StatusOK {
		return ""
	}
	state, _ := answer["state"].(string)
	return state
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // constant types
	}
	return data
}

// waitFor polls a condition until it holds or the time has passed.
func waitFor(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
