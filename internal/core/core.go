// Package core is a process of the region's core: it holds a replica of the
// region's state, and carries out the leader's duties while it leads.
package core

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/founding"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/outbound"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/wal"
	"agatehaven.dev/agatehaven/internal/work"
)

// group is the name of the one replicated group of a region.
const group = "region"

const (
	// stepTimeout bounds one delivery of raft messages. A connection without
	// answer is closed after it.
	stepTimeout = 400 * time.Millisecond
	// joinEvery is how often a replica that is no member asks to become one.
	joinEvery = 500 * time.Millisecond
	// joinTimeout bounds one such call, which waits for a commit.
	joinTimeout = 2 * time.Second
	// handOverTimeout bounds the transfer of leadership before a planned stop.
	handOverTimeout = 2 * time.Second
	// slowSync is ten times the sync of the platform's slowest sound disks.
	slowSync = 100 * time.Millisecond
	// snapshotEntries keeps the replay after a restart below a second.
	snapshotEntries = 8000
)

// Config configures a process of the core.
type Config struct {
	// Host is the address of this host without port.
	Host string
	// Name names this process to the platform.
	Name string
	// DataCentre is where this host is.
	DataCentre string
	// Seeds returns hosts of the region, this one perhaps among them. They change
	// while the process runs.
	Seeds func() []string
	// FirstStart is set at the very first start of the region. The hosts of the
	// core then agree on the first members.
	FirstStart bool
	Dir        string
	// FS holds Dir. It defaults to the operating system's.
	FS wal.FS
	// Port is the port of the link on every host.
	Port string
	// Listen is the address on which this process serves the link, "" for its
	// host and port. It differs where a proxy stands in front of it.
	Listen   string
	Targets  leader.Targets
	Platform leader.Platform
	Policy   leader.Policy
	Timing   leader.Timing
	Log      zerolog.Logger
	// acceptor is this host's part in the founding of the group, which lasts as
	// long as the process.
	acceptor *founding.Acceptor
	// founders are the hosts of the first members, none if the group exists.
	founders []string
}

// Core is a running process of the core.
type Core struct {
	cfg     Config
	machine *work.StateMachine
	replica *replica.Replica
	clients *link.Clients
	sender  *outbound.Sender
	orders  *leader.OrderLog
	// membership is used by membersLoop alone.
	membership membership

	mu      sync.Mutex
	leading *leader.Leader
	// leaderless is since when no leader is known, zero if one is.
	leaderless time.Time
}

// logicalTime is the source of the entries' timestamps. The state machine
// takes its time from its commands, so that a host whose clock jumps can lead.
type logicalTime struct{ clock.System }

// Now returns a constant: the timestamps then only count.
func (logicalTime) Now() time.Time { return time.UnixMilli(0) }

// New starts the replica. Run serves.
func New(ctx context.Context, cfg Config) (*Core, error) {
	c := &Core{cfg: cfg, machine: work.New(), clients: link.NewClients(cfg.Port), orders: leader.NewOrderLog(clock.System{})}
	c.machine.OnHostOrder = c.orders.Record
	c.sender = outbound.New(c.deliver, cfg.Log)
	var initial []replica.Member
	if slices.Contains(cfg.founders, cfg.Host) {
		for _, host := range cfg.founders {
			initial = append(initial, replica.Member{Host: host})
		}
	}
	r, err := replica.Start(ctx, replica.Config{
		Group: group, Self: replica.Member{Host: cfg.Host}, Bootstrap: initial, Dir: cfg.Dir, FS: cfg.FS,
		SnapshotEntries: snapshotEntries, SlowSyncThreshold: slowSync, HLC: hlc.NewClock(logicalTime{}), Transport: c.sender,
		Machine: c.machine, Logger: cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	c.replica = r
	return c, nil
}

func (c *Core) deliver(ctx context.Context, host, _ string, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, err := c.clients.To(host).Step(ctx, &link.StepRequest{Messages: messages})
	return err
}

// Run serves the link until ctx ends. Then it hands over its leadership.
func (c *Core) Run(ctx context.Context) error {
	listener, err := c.cfg.listen()
	if err != nil {
		return err
	}
	server := link.NewServer(c)
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { c.sender.Run(run) })
	wg.Go(func() { c.leadLoop(run) })
	wg.Go(func() { c.joinLoop(run) })
	wg.Go(func() { c.membersLoop(run) })
	wg.Go(func() { c.tellLoop(run) })
	wg.Go(func() {
		if err := server.Serve(listener); err != nil && run.Err() == nil {
			c.cfg.Log.Error().Err(err).Msg("link ended")
		}
	})
	select {
	case <-ctx.Done():
	case <-c.replica.Done():
		err = &fault.Unavailable{What: "replica", Reason: c.replica.Status().Reason}
	}
	c.handOver(run)
	stop()
	closing, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	err = errors.Join(err, c.replica.Close(closing), server.Close())
	wg.Wait()
	return err
}

// listen opens the link.
func (c *Config) listen() (net.Listener, error) {
	address := c.Listen
	if address == "" {
		address = net.JoinHostPort(c.Host, c.Port)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Unavailable{What: "listener of the link", Reason: err.Error()}
	}
	return listener, nil
}

// handOver gives the leadership to another replica before a planned stop.
func (c *Core) handOver(ctx context.Context) {
	if c.replica.Status().Role != replica.RoleLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.cfg.Log.Warn().Err(err).Msg("leadership not handed over")
	}
}

// leadLoop carries out the leader's duties in each term that this host leads.
func (c *Core) leadLoop(ctx context.Context) {
	var term uint64
	stop := func() {}
	defer func() { stop() }()
	for {
		changed := c.replica.Changed()
		s := c.replica.Status()
		c.noteLeader(s)
		leads := s.Role == replica.RoleLeader
		if term != 0 && (!leads || s.Term != term) {
			stop()
			term = 0
		}
		if leads && term == 0 {
			term = s.Term
			stop = c.lead(ctx, term)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// lead starts the duties of a term and returns how to end them.
func (c *Core) lead(ctx context.Context, term uint64) func() {
	c.cfg.Log.Info().Uint64("term", term).Msg("leads the region")
	l := leader.New(leader.Config{
		Host: c.cfg.Name, Group: c.replica, StateMachine: c.machine, Targets: c.cfg.Targets, Platform: c.cfg.Platform,
		Policy: c.cfg.Policy, Timing: c.cfg.Timing, Clock: clock.System{}, Log: c.cfg.Log,
		Orders: c.orders,
	}, term)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	c.mu.Lock()
	c.leading = l
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		c.leading = nil
		c.mu.Unlock()
		cancel()
		c.cfg.Log.Info().Uint64("term", term).Msg("no longer leads the region")
	}
}

func (c *Core) member(s replica.Status) bool {
	return slices.ContainsFunc(s.Members, func(m replica.Member) bool { return m.ID == s.ID })
}

func (c *Core) join(ctx context.Context, s replica.Status) {
	hosts := slices.Concat(c.cfg.Seeds(), c.cfg.founders)
	if s.Leader != "" {
		hosts = append([]string{s.Leader}, hosts...)
	}
	asked := map[string]bool{c.cfg.Host: true}
	for i := 0; i < len(hosts); i++ {
		if asked[hosts[i]] {
			continue
		}
		asked[hosts[i]] = true
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		a, err := c.clients.To(hosts[i]).Join(callCtx, &link.JoinRequest{ID: s.ID, Host: c.cfg.Host, DataCentre: c.cfg.DataCentre})
		cancel()
		if err != nil {
			c.cfg.Log.Debug().Err(err).Str("peer", hosts[i]).Msg("join not answered")
			continue
		}
		if a.Code == link.Done {
			c.cfg.Log.Info().Str("leader", hosts[i]).Str("id", s.ID).Msg("joined the region")
			return
		}
		if a.Leader != "" {
			hosts = append(hosts, a.Leader)
		}
	}
}
