package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// zones are the data centres of the deployment, with one core machine in each.
var zones = []string{"za", "zb", "zc"}

const (
	linkPort    = "7060"
	controlPort = "7070"
	frontPort   = "7080"
	readyPort   = "7081"
	heartbeatMS = 1500
	stopMS      = 900
	cancelMS    = 3000
	ackMS       = 4000
	contactMS   = 3000
	visibleMS   = 3000
)

// settings is the settings file of a process, with the values of a small deployment.
const settings = `node = %[1]q
role = %[2]q
machineClass = %[3]q
ip = %[4]q
zone = %[5]q
region = "r"
portRange = [7060, 7075]
seeds = [%[6]s]
bootstrap = %[7]t
countsAsLoss = %[8]t
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
config_mode = "highest"
orders = "call"
advice = %[9]q
dataDir = %[10]q
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
front = "%[4]s:7080"
ready = "%[4]s:7081"
control = "%[4]s:7070"
link = %[11]q
[limits]
cpuShare = 0.4
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
maxHoldMs = %[12]d
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farX = 2
checkpointS = 2
restoreMs = 600
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

// process is one program of the product.
type process struct {
	name, role, ip, zone, link string
	command                    *exec.Cmd
	ended                      chan struct{}
	proxy                      *proxy // in front of its link
}

// system holds the processes of the product.
type system struct {
	dir, binary, network, provider string
	cores, entries                 []*process
	first                          bool
	maxHoldMS                      int64
}

// newSystem chooses loopback addresses that are free.
func newSystem(dir, binary string, entries int) *system {
	s := &system{dir: dir, binary: binary, first: true}
	for {
		s.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		l, err := net.Listen("tcp", s.network+".10:"+linkPort)
		if err == nil {
			_ = l.Close() // only the address was wanted
			break
		}
	}
	for i, zone := range zones {
		s.cores = append(s.cores, s.process("core", zone, 10+i))
	}
	for i := range entries {
		s.entries = append(s.entries, s.process("entry", zones[i%len(zones)], 30+i))
	}
	return s
}

func (s *system) process(role, zone string, host int) *process {
	ip := fmt.Sprintf("%s.%d", s.network, host)
	p := &process{name: role + "-" + zone + "-" + fmt.Sprint(host), role: role, ip: ip, zone: zone}
	p.link = fmt.Sprintf("%s.%d:%s", s.network, host+100, linkPort)
	p.proxy = newProxy(ip+":"+linkPort, p.link)
	return p
}

func (s *system) all() []*process { return append(append([]*process{}, s.cores...), s.entries...) }

// startAll starts all processes for the first time.
func (s *system) startAll() {
	for _, p := range s.all() {
		s.start(p)
	}
	s.first = false
}

// start starts a process with the command of the deploy file.
func (s *system) start(p *process) {
	dir := filepath.Join(s.dir, p.name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		cannotRun(err.Error())
	}
	var seeds []string
	for _, c := range s.cores {
		seeds = append(seeds, fmt.Sprintf("%q", c.ip+":"+controlPort))
	}
	class := map[string]string{"core": "core", "entry": "edge"}[p.role]
	text := fmt.Sprintf(settings, p.name, p.role, class, p.ip, p.zone, strings.Join(seeds, ","), s.first, p.role == "core",
		s.provider, filepath.Join(dir, "data"), p.link, s.maxHoldMS)
	file := filepath.Join(dir, "boot.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		cannotRun(err.Error())
	}
	logs, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err.Error())
	}
	p.command = exec.Command(s.binary, p.role)
	p.command.Env = append(os.Environ(), "AGATEHAVEN_BOOT="+file)
	p.command.Stdout, p.command.Stderr = logs, logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		cannotRun(err.Error())
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait() // a killed process returns an error
		_ = logs.Close()   // nothing writes to it any more
		close(ended)
	}()
}

// kill ends a process at once.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(syscall.SIGCONT) // fails if the process has ended
	_ = p.command.Process.Kill()                  // as above
	<-p.ended
}

func (s *system) close() {
	for _, p := range s.all() {
		p.kill()
	}
}

// control returns the control address of a random core machine.
func (s *system) control() string {
	return s.cores[rand.IntN(len(s.cores))].ip + ":" + controlPort
}

// awaitReady waits until all entry machines report themselves ready.
func (s *system) awaitReady() {
	deadline := time.Now().Add(30 * time.Second)
	for _, p := range s.entries {
		for !s.ready(p) {
			if time.Now().After(deadline) {
				cannotRun(p.name + " did not become ready")
			}
			pause(100 * time.Millisecond)
		}
	}
}

func (s *system) ready(p *process) bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + p.ip + ":" + readyPort + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // it has no body
	return res.StatusCode == http.StatusOK
}

func pause(d time.Duration) { <-time.After(d) }
