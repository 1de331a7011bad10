// Package core implements a core process of a region: it holds a replica of the
// region's state and runs the leader's control loops while that replica leads.
package core

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/outbound"
	"agatehaven.dev/agatehaven/internal/relay"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/wal"
	"agatehaven.dev/agatehaven/internal/work"
)

// group is the name of the one replicated group of a region.
const group = "region"

const (
	// deliveryTimeout bounds one delivery of raft messages. A connection without
	// an answer is closed after it.
	deliveryTimeout = 400 * time.Millisecond
	// deliveryInterval separates the calls with raft messages to a busy host. It is about
	// the time of a disk sync, by which a commit becomes longer.
	deliveryInterval = 10 * time.Millisecond
	// joinInterval is how often a replica that is not a member asks to become one.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one join call or membership change, which waits for a commit.
	joinTimeout = 2 * time.Second
	// transferTimeout bounds the transfer of leadership before a planned stop.
	transferTimeout = 2 * time.Second
	// slowSyncThreshold is ten times the sync time of the platform's slowest healthy disks.
	slowSyncThreshold = 100 * time.Millisecond
	// snapshotEntries is the number of log entries between snapshots. It keeps the
	// replay after a restart below a second.
	snapshotEntries = 8000
)

// Config configures a core process.
type Config struct {
	// Host is the address of this host without port.
	Host string
	// Name identifies this process to the platform.
	Name string
	// DataCentre is the data centre of this host.
	DataCentre string
	// Seeds returns the seed hosts of the region, which may include this host. The
	// list can change while the process runs.
	Seeds func() []string
	// FirstStart is set at the very first start of the region. The core hosts then
	// agree on the initial members of the group.
	FirstStart bool
	Dir        string
	// FS is the file system that holds Dir, by default the operating system's.
	FS wal.FS
	// Port is the link port, the same on every host.
	Port string
	// Listen is the address on which this process serves the link; "" means Host and
	// Port. It differs if there is a proxy in front of the process.
	Listen string
	// LinkShare is what the link may use for its clients.
	LinkShare guard.Share
	Targets   leader.Targets
	Platform  leader.Platform
	Policy    leader.Policy
	Timing    leader.Timing
	// RefusesHopelessJobs is that of leader.Config.
	RefusesHopelessJobs bool
	Log                 zerolog.Logger
	// acceptor takes part in the agreement on the initial members. It is kept when
	// the replica is restarted.
	acceptor *bootstrap.Acceptor
	// initialHosts are the hosts of the initial members, empty if the group existed
	// before.
	initialHosts []string
}

// Core is a running core process.
type Core struct {
	cfg          Config
	stateMachine *work.StateMachine
	replica      *replica.Replica
	clients      *link.Clients
	sender       *outbound.Sender
	orders       *leader.OrderLog
	worker       *relay.Worker
	// membership is only accessed by membersLoop.
	membership membership

	mu      sync.Mutex
	leading *leader.Leader
	// hub spreads the calls of leading over the core hosts.
	hub *relay.Hub
	// leaderless is the time since which no leader has been known, zero while one is.
	leaderless time.Time
}

// constantTime is the clock behind the timestamps of log entries. The state machine
// takes its time from its commands, so that a host whose clock jumps can lead.
type constantTime struct{ clock.System }

// Now returns a constant, so that the timestamps are mere counters.
func (constantTime) Now() time.Time { return time.UnixMilli(0) }

// New starts the replica. Run serves the link.
func New(ctx context.Context, cfg Config) (*Core, error) {
	c := &Core{cfg: cfg, stateMachine: work.New(), clients: link.NewClients(cfg.Port), orders: leader.NewOrderLog(clock.System{})}
	c.stateMachine.OnHostOrder = c.orders.Record
	c.worker = c.newWorker()
	c.sender = outbound.New(c.deliverMessages, deliveryInterval, cfg.Log)
	var initial []replica.Member
	if slices.Contains(cfg.initialHosts, cfg.Host) {
		for _, host := range cfg.initialHosts {
			initial = append(initial, replica.Member{Host: host})
		}
	}
	r, err := replica.Start(ctx, replica.Config{
		Group: group, Self: replica.Member{Host: cfg.Host}, Bootstrap: initial, Dir: cfg.Dir, FS: cfg.FS,
		SnapshotEntries: snapshotEntries, SlowSyncThreshold: slowSyncThreshold, HLC: hlc.NewClock(constantTime{}), Transport: c.sender,
		StateMachine: c.stateMachine, Logger: cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	c.replica = r
	return c, nil
}

// deliverMessages sends raft messages to the replica on a host.
func (c *Core) deliverMessages(ctx context.Context, host, _ string, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	_, err := c.clients.To(host).Step(ctx, &link.StepRequest{Messages: messages})
	return err
}

// Run serves the link until ctx ends, and then transfers the leadership if this
// host holds it.
func (c *Core) Run(ctx context.Context) error {
	listener, err := c.cfg.listen()
	if err != nil {
		return err
	}
	server := link.NewServer(c, c.cfg.LinkShare, c.cfg.Log)
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { c.sender.Run(run) })
	wg.Go(func() { c.leadLoop(run) })
	wg.Go(func() { c.joinLoop(run) })
	wg.Go(func() { c.membersLoop(run) })
	wg.Go(func() { c.publishMembersLoop(run) })
	wg.Go(func() { c.worker.Run(run) })
	wg.Go(func() {
		if err := server.Serve(listener); err != nil && run.Err() == nil {
			c.cfg.Log.Error().Err(err).Msg("link server failed")
		}
	})
	select {
	case <-ctx.Done():
	case <-c.replica.Done():
		err = &fault.Unavailable{What: "replica", Reason: c.replica.Status().Reason}
	}
	c.transferLeadership(run)
	stop()
	closing, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	err = errors.Join(err, c.replica.Close(closing), server.Close())
	wg.Wait()
	return err
}

// listen opens the listener of the link.
func (c *Config) listen() (net.Listener, error) {
	address := c.Listen
	if address == "" {
		address = net.JoinHostPort(c.Host, c.Port)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &fault.Unavailable{What: "link listener", Reason: err.Error()}
	}
	return listener, nil
}

// transferLeadership moves the leadership to another replica before a planned stop.
func (c *Core) transferLeadership(ctx context.Context) {
	if c.replica.Status().Role != replica.RoleLeader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx); err != nil {
		c.cfg.Log.Warn().Err(err).Msg("cannot transfer leadership")
	}
}

// leadLoop runs a leader in each term in which this host leads.
func (c *Core) leadLoop(ctx context.Context) {
	var term uint64
	stop := func() {}
	ended := make(chan struct{})
	close(ended)
	var done <-chan struct{} = ended // closed once the last leader has ended
	defer func() {
		stop()
		<-done
	}()
	for {
		changed := c.replica.Changed()
		s := c.replica.Status()
		c.trackLeader(s)
		isLeader := s.Role == replica.RoleLeader
		if term != 0 && (!isLeader || s.Term != term) {
			stop()
			stop, term = func() {}, 0
		}
		if isLeader && term == 0 {
			term = s.Term
			stop, done = c.lead(ctx, term, done)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// lead starts the leader of a term once the one before it has ended, and returns a
// function that stops it. The former one may be in the middle of a call, and two must not
// act at the same time.
func (c *Core) lead(ctx context.Context, term uint64, formerDone <-chan struct{}) (stop func(), done <-chan struct{}) {
	c.cfg.Log.Info().Uint64("term", term).Msg("leads the region")
	var l *leader.Leader
	hub := relay.NewHub(relay.HubConfig{
		Term: term, Direct: c.cfg.Targets, Confirmed: func() bool { return l.Confirmed() },
		Heartbeats: func(all []leader.Heartbeat) { l.HandleHeartbeats(all) }, Clock: clock.System{}, Log: c.cfg.Log,
	})
	l = leader.New(leader.Config{
		Host: c.cfg.Name, Group: c.replica, StateMachine: c.stateMachine, Targets: hub, Platform: c.cfg.Platform,
		Policy: c.cfg.Policy, Timing: c.cfg.Timing, Clock: clock.System{}, Log: c.cfg.Log,
		Orders: c.orders, RefusesHopelessJobs: c.cfg.RefusesHopelessJobs,
	}, term)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-formerDone
		go hub.Run(ctx)
		l.Run(ctx)
	}()
	c.setLeading(l, hub)
	return func() {
		c.setLeading(nil, nil)
		cancel()
		c.cfg.Log.Info().Uint64("term", term).Msg("no longer leads the region")
	}, ended
}

// setLeading sets the leader that runs in this process.
func (c *Core) setLeading(l *leader.Leader, hub *relay.Hub) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading, c.hub = l, hub
}

func (c *Core) isMember(s replica.Status) bool {
	return slices.ContainsFunc(s.Members, func(m replica.Member) bool { return m.ID == s.ID })
}

// join asks the known leader, the seeds and the initial hosts in turn to add this
// replica, and follows their redirects.
func (c *Core) join(ctx context.Context, s replica.Status) {
	hosts := slices.Concat(c.cfg.Seeds(), c.cfg.initialHosts)
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
			c.cfg.Log.Debug().Err(err).Str("peer", hosts[i]).Msg("join request failed")
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
