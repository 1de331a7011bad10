// Package standin provides fake targets and a fake platform for tests: several
// targets in one process, each with its own listener, with switches for
// injecting faults and a log of all runs. It is not a cluster simulator.
package standin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
)

const (
	defaultAnnounceInterval = time.Second
	announceTimeout         = 2 * time.Second
	defaultRunTime          = 100 * time.Millisecond
	defaultRebootTime       = 500 * time.Millisecond
	defaultSlots            = 8
	defaultConnections      = 64
	defaultCPUMillis        = 32_000
	defaultMemoryMB         = 64_000
)

// Config describes a fleet of fake targets.
type Config struct {
	// Control is the listen address for the platform's API, the fault switches
	// and the run log; a free port of IP if empty.
	Control string
	// IP is the address that the targets listen on; "127.0.0.1" if empty.
	IP string
	// BasePort is the port of the first target; the others use the ports after
	// it. With 0 the operating system chooses all ports.
	BasePort int
	Targets  int
	// NameOffset is the number of targets that other stand-in processes of the
	// data centre have; the numbers in target names start after it.
	NameOffset int
	DataCentre string
	// Racks and Pools are assigned to the targets in turn, so that each pool
	// spreads over all racks. Empty means one rack "r1" and one pool "default".
	Racks []string
	Pools []string
	// EntryHosts are the addresses of the daemons' target listeners. If empty,
	// the targets do not announce themselves.
	EntryHosts []string
	// NoRevoke makes the targets not support revoke.
	NoRevoke bool
	// NoCheckpoint makes the targets not support checkpoint.
	NoCheckpoint bool
	// Slots is the number of slots of a target; 8 if zero.
	Slots int
	// RunTime is the run time of tasks whose payload does not set one; 100 ms
	// if zero.
	RunTime time.Duration
	// RebootTime is how long a reboot ordered through the platform takes;
	// 500 ms if zero.
	RebootTime time.Duration
	// AnnounceInterval is the time between announcements; one second if zero.
	AnnounceInterval time.Duration
	// SeparateConnections gives every target its own connection to an entry
	// host and spreads the announcements over AnnounceInterval, as with targets
	// on separate hosts.
	SeparateConnections bool
	// UsageLag is the age of the usage that an announcement reports.
	UsageLag time.Duration
	// TLS is the client configuration for announcements; nil means plain HTTP.
	TLS   *tls.Config
	Clock clock.Clock
}

// Fleet is a running set of fake targets together with their fake platform.
type Fleet struct {
	cfg     Config
	log     *runLog
	targets []*Target
	control string
	servers []*http.Server
	client  *http.Client

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	orders map[string]bool
	closed bool
	// checkpoints holds the progress of checkpointed runs by checkpoint
	// reference. All targets use it, as real targets use shared storage.
	checkpoints map[string]time.Duration
}

// TargetStats are counters of one target.
type TargetStats struct {
	Address         string `json:"address"`
	Incarnation     string `json:"incarnation"`
	SlotRefusals    int    `json:"slot_refusals"`
	PeakConnections int    `json:"peak_connections"`
	Connections     int    `json:"connections"` // accepted since the last (re)boot
}

// Start starts the fleet. The caller must call Close.
func Start(cfg Config) (*Fleet, error) {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		cfg: cfg, log: newRunLog(), ctx: ctx, cancel: cancel, orders: map[string]bool{},
		checkpoints: map[string]time.Duration{},
		client:      newClient(cfg.TLS),
	}
	for i := range cfg.Targets {
		t := f.newTarget(i)
		if err := t.listen(t.info.Address); err != nil {
			f.Close()
			return nil, &fault.Unavailable{What: "listener " + t.info.Address, Reason: err.Error()}
		}
		f.targets = append(f.targets, t)
	}
	l, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		f.Close()
		return nil, &fault.Unavailable{What: "listener " + cfg.Control, Reason: err.Error()}
	}
	f.control = l.Addr().String()
	server := &http.Server{Handler: f.controlHandler(), ReadHeaderTimeout: serverHeaderTimeout}
	f.servers = append(f.servers, server)
	f.spawn(func(context.Context) { _ = server.Serve(l) })
	if len(cfg.EntryHosts) > 0 {
		for i, t := range f.targets {
			f.spawn(func(ctx context.Context) { f.announce(ctx, t, i) })
		}
	}
	return f, nil
}

func newClient(config *tls.Config) *http.Client {
	return &http.Client{Timeout: announceTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, TLSClientConfig: config}}
}

func (c Config) withDefaults() Config {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.RunTime, defaultRunTime)
	setDefault(&c.RebootTime, defaultRebootTime)
	setDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	if c.IP == "" {
		c.IP = "127.0.0.1"
	}
	if c.Control == "" {
		c.Control = c.IP + ":0"
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if len(c.Racks) == 0 {
		c.Racks = []string{"r1"}
	}
	if len(c.Pools) == 0 {
		c.Pools = []string{"default"}
	}
	return c
}

func (f *Fleet) newTarget(i int) *Target {
	port := 0
	if f.cfg.BasePort > 0 {
		port = f.cfg.BasePort + i
	}
	pools := len(f.cfg.Pools)
	info := model.HostInfo{
		Name:       fmt.Sprintf("%s-t%02d", f.cfg.DataCentre, f.cfg.NameOffset+i+1),
		DataCentre: f.cfg.DataCentre, Rack: f.cfg.Racks[i/pools%len(f.cfg.Racks)],
		Address:   net.JoinHostPort(f.cfg.IP, strconv.Itoa(port)),
		CPUMillis: defaultCPUMillis, MemoryMB: defaultMemoryMB,
		Slots: f.cfg.Slots, Connections: defaultConnections, Pool: f.cfg.Pools[i%pools],
	}
	if !f.cfg.NoCheckpoint {
		info.Capabilities = append(info.Capabilities, model.CapabilityCheckpoint)
	}
	if !f.cfg.NoRevoke {
		info.Capabilities = append(info.Capabilities, model.CapabilityRevoke)
	}
	return &Target{fleet: f, info: info, tasks: map[attemptRef]*task{}, revoked: map[attemptRef]bool{}}
}

// Targets returns the targets in the order of their numbers.
func (f *Fleet) Targets() []*Target { return f.targets }

// ControlAddress returns the address of the platform's API, the fault switches
// and the run log.
func (f *Fleet) ControlAddress() string { return f.control }

// Runs returns the run log.
func (f *Fleet) Runs() []Run { return f.log.all() }

// RunCount returns how many runs of a request have started.
func (f *Fleet) RunCount(request string) int {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	return f.log.count[request]
}

// Reboot reboots a target. A repeated order id has no further effect.
func (f *Fleet) Reboot(host, orderID string) error {
	t := f.target(host)
	if t == nil {
		return &fault.NotFound{Kind: "host", Name: host}
	}
	f.mu.Lock()
	known := f.orders[orderID]
	f.orders[orderID] = true
	f.mu.Unlock()
	if !known {
		t.Reboot(f.cfg.RebootTime)
	}
	return nil
}

// saveCheckpoint stores the progress of a run and returns its reference.
func (f *Fleet) saveCheckpoint(done time.Duration) string {
	reference := uuid.NewString()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkpoints[reference] = done
	return reference
}

// checkpointProgress returns the progress stored under a reference, or false
// if the reference is unknown.
func (f *Fleet) checkpointProgress(reference []byte) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	done, ok := f.checkpoints[string(reference)]
	return done, ok
}

// Close stops all targets and the platform, and waits for their goroutines.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, t := range f.targets {
		t.mu.Lock()
		server := t.server
		t.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	f.client.CloseIdleConnections()
	f.wg.Wait()
}

func (f *Fleet) target(name string) *Target {
	for _, t := range f.targets {
		if t.info.Name == name {
			return t
		}
	}
	return nil
}

func (f *Fleet) spawn(run func(ctx context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		run(f.ctx)
	}()
}

// sleep waits for d and returns false if ctx ends or the fleet closes first.
func (f *Fleet) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-f.cfg.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-f.ctx.Done():
		return false
	}
}

// announce sends the target's announcements periodically, and switches to the
// next entry host when one fails. targetIndex determines the first entry host,
// so that the targets spread over all of them.
func (f *Fleet) announce(ctx context.Context, t *Target, targetIndex int) {
	entryIndex, client := targetIndex, f.client
	if f.cfg.SeparateConnections {
		client = newClient(f.cfg.TLS)
		defer client.CloseIdleConnections()
		if !f.sleep(ctx, f.cfg.AnnounceInterval*time.Duration(targetIndex)/time.Duration(len(f.targets))) {
			return
		}
	}
	for {
		if a, ok := t.announcement(); ok && !f.send(ctx, client, f.cfg.EntryHosts[entryIndex%len(f.cfg.EntryHosts)], a) {
			entryIndex++
		}
		if !f.sleep(ctx, f.cfg.AnnounceInterval) {
			return
		}
	}
}

func (f *Fleet) send(ctx context.Context, client *http.Client, entryHost string, a target.Announcement) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	scheme := "http://"
	if f.cfg.TLS != nil {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+entryHost+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		client.CloseIdleConnections()
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var reply target.AnnounceReply
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&reply) == nil
}
