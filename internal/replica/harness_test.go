package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/faultfs"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

const (
	tick         = 100 * time.Millisecond
	testTimeout  = 30 * time.Second
	pollInterval = 300 * time.Microsecond
)

// journal is a state machine that records the applied entries in order.
type journal struct {
	// gate, if not nil, blocks Apply until it is closed.
	gate chan struct{}
	// unsupported is the data of an entry for which Apply returns
	// *fault.Unsupported.
	unsupported string
	mu          sync.Mutex
	lines       []string
	times       []hlc.Time
}

func (j *journal) Apply(e replica.Entry) any {
	if j.gate != nil {
		<-j.gate
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.unsupported != "" && j.unsupported == string(e.Data) {
		return &fault.Unsupported{What: "entry", Reason: j.unsupported}
	}
	j.lines = append(j.lines, string(e.Data))
	j.times = append(j.times, e.Time)
	return len(j.lines)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Marshal(j.lines)
}

func (j *journal) Restore(data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return json.Unmarshal(data, &j.lines)
}

func (j *journal) content() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.lines...)
}

// cluster runs replicas on in-memory disks, connected by an in-memory
// transport.
type cluster struct {
	clock        *clock.Manual
	mu           sync.Mutex
	running      map[string]*replica.Replica
	partitioned  map[string]bool // hosts without network
	sent         atomic.Int64
	disks        map[string]*faultfs.FS
	states       map[string]*journal
	gate         chan struct{}
	config       func(*replica.Config)
	incarnations int
}

type transport struct {
	c    *cluster
	from string
}

func (t transport) Send(host, _ string, messages []byte) {
	t.c.sent.Add(1)
	t.c.mu.Lock()
	target := t.c.running[host]
	if t.c.partitioned[host] || t.c.partitioned[t.from] {
		target = nil
	}
	t.c.mu.Unlock()
	if target != nil {
		_ = target.Step(messages) // best effort
	}
}

func newCluster(hosts ...string) *cluster {
	c := &cluster{
		clock:   clock.NewManual(time.UnixMilli(1_000_000)),
		running: map[string]*replica.Replica{}, partitioned: map[string]bool{},
		disks: map[string]*faultfs.FS{}, states: map[string]*journal{},
		config: func(*replica.Config) {},
	}
	for _, h := range hosts {
		c.disks[h] = faultfs.New()
	}
	DeferCleanup(func() {
		for _, h := range c.hosts() {
			c.stop(h)
		}
	})
	return c
}

func (c *cluster) hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []string
	for h := range c.running {
		hosts = append(hosts, h)
	}
	return hosts
}

func members(hosts ...string) []replica.Member {
	var out []replica.Member
	for _, h := range hosts {
		out = append(out, replica.Member{Host: h})
	}
	return out
}

// start starts the replica of a host. bootstrap is empty for a restart and for
// a host that waits to be added.
func (c *cluster) start(host string, bootstrap ...string) {
	Expect(c.tryStart(host, bootstrap...)).To(Succeed())
}

func (c *cluster) tryStart(host string, bootstrap ...string) error {
	j := &journal{gate: c.gate}
	cfg := replica.Config{
		Group: "east", Self: replica.Member{Host: host}, Bootstrap: members(bootstrap...), Dir: "/data",
		TickInterval: tick, Clock: c.clock, HLC: hlc.NewClock(c.clock),
		Transport: transport{c: c, from: host}, StateMachine: j, FS: c.disks[host],
		NewIncarnation: func() string { c.incarnations++; return fmt.Sprintf("new%d", c.incarnations) },
	}
	c.config(&cfg)
	r, err := replica.Start(context.Background(), cfg)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[host], c.states[host] = r, j
	return nil
}

func (c *cluster) stop(host string) {
	c.mu.Lock()
	r := c.running[host]
	delete(c.running, host)
	c.mu.Unlock()
	if r != nil {
		Expect(r.Close(context.Background())).To(Succeed())
	}
}

func (c *cluster) isolate(host string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[host] = isolated
}

// tickUntil advances the clock tick by tick until the condition holds. It waits
// between ticks until all replicas have handled the last one and their messages
// have been delivered, so that slow test execution causes no election timeout.
func (c *cluster) tickUntil(what string, condition func() bool) {
	GinkgoHelper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		Expect(time.Now().Before(deadline)).To(BeTrue(), what)
		c.clock.Advance(tick)
		c.awaitQuiet(deadline)
	}
}

// awaitQuiet waits until every running replica waits for its next tick and no
// message has been sent for several polls.
func (c *cluster) awaitQuiet(deadline time.Time) {
	const quietPolls = 4
	last := int64(-1)
	for quiet := 0; quiet < quietPolls && time.Now().Before(deadline); quiet++ {
		if sent := c.sent.Load(); c.clock.Waiters() < c.runningCount() || sent != last {
			last, quiet = sent, 0
		}
		<-time.After(pollInterval)
	}
}

// runningCount returns the number of replicas that have not stopped.
func (c *cluster) runningCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.running {
		select {
		case <-r.Done():
		default:
			n++
		}
	}
	return n
}

// awaitLeader waits until one of the hosts leads and has committed an entry, and
// returns it.
func (c *cluster) awaitLeader(among ...string) string {
	GinkgoHelper()
	found := ""
	c.tickUntil("a leader is elected", func() bool {
		for _, h := range among {
			if s := c.running[h].Status(); s.Role == replica.RoleLeader && s.Committed > 0 {
				found = h
				return true
			}
		}
		return false
	})
	return found
}

func (c *cluster) propose(host, line string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := c.running[host].Propose(ctx, []byte(line))
	return err
}

// expectApplied waits until each host has applied exactly these lines.
func (c *cluster) expectApplied(lines string, hosts ...string) {
	GinkgoHelper()
	for _, h := range hosts {
		c.tickUntil(path.Join(h, lines), func() bool { return strings.Join(c.states[h].content(), " ") == lines })
	}
}
