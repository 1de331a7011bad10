// Package daemon wires the parts of one entry host together, starts them and
// stops them gracefully.
package daemon

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/control"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/dispatch"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/outbound"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/region"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/settings"
	"agatehaven.dev/agatehaven/internal/target"
)

// Version is the version of this build, reported to peers and operators.
const Version = "0.1.0"

// leadershipTransferTimeout bounds one transfer of leadership during a graceful
// stop: two election timeouts.
const leadershipTransferTimeout = 2 * time.Second

// Daemon is one entry host.
type Daemon struct {
	settings    *settings.Settings
	log         zerolog.Logger
	clock       clock.Clock
	hlc         *hlc.Clock
	incarnation string

	dialer      peer.Dialer
	leaders     map[string]*peer.LeaderClient
	announcers  map[string]*announcer // by data centre
	sender      *outbound.Sender
	region      *regionReplica
	dataCentres map[string]*dataCentreReplica
	dispatcher  *dispatch.Dispatcher
	targets     target.Client
	events      *event.Store
	eventSeq    atomic.Uint64
	inForce     *recordsInForce
	stopping    atomic.Bool
}

// regionReplica is the replica of the region group on this host.
type regionReplica struct {
	group        *replica.Replica
	stateMachine *region.StateMachine
}

// dataCentreReplica is the replica of one data centre group on this host.
type dataCentreReplica struct {
	group        *replica.Replica
	stateMachine *datacentre.StateMachine
	controller   *control.Controller
}

// Config is the environment of a daemon.
type Config struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	Clock    clock.Clock
}

// New builds a daemon and starts its replicas. Run then serves requests.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	d := &Daemon{
		settings:    cfg.Settings,
		log:         cfg.Log.With().Str("host", cfg.Settings.Host).Logger(),
		clock:       cfg.Clock,
		hlc:         hlc.NewClock(cfg.Clock),
		incarnation: uuid.NewString(),
		leaders:     make(map[string]*peer.LeaderClient),
		announcers:  make(map[string]*announcer),
		dataCentres: make(map[string]*dataCentreReplica),
		events:      event.NewStore(cfg.Settings.Limits.Events),
		inForce:     newRecordsInForce(),
	}
	if err := d.buildClients(); err != nil {
		return nil, err
	}
	d.dispatcher = dispatch.New(dispatch.Config{
		Owner: d.settings.Host, Incarnation: d.incarnation, DataCentre: d.settings.DataCentre,
		Leader: dispatch.NewPeerLeader(d.leaders[d.settings.DataCentre]), Targets: d.targets,
		Clock: d.clock, Events: recorder{d}, PollWait: d.settings.Timing.PollWait,
	})
	if err := d.startReplicas(ctx); err != nil {
		d.closeReplicas(ctx)
		return nil, err
	}
	d.registerMetrics(metrics.GetDefaultSet())
	return d, nil
}

// buildClients creates the clients of peers and targets.
func (d *Daemon) buildClients() error {
	tlsConfig, err := d.settings.TLS.Peer.ClientConfig()
	if err != nil {
		return err
	}
	addresses := make(map[string]string, len(d.settings.Hosts))
	for _, h := range d.settings.Hosts {
		addresses[h.Name] = h.Peer
	}
	d.dialer = peer.NewDialer(peer.DialerConfig{
		Addresses: addresses, TLS: tlsConfig, Clock: d.clock, HLC: d.hlc,
		CallTimeout: d.settings.Timing.SilenceLimit,
	})
	for _, g := range d.settings.Groups {
		d.leaders[g.Name] = peer.NewLeaderClient(peer.LeaderConfig{
			Dialer: d.dialer, Hosts: d.groupHosts(g), Clock: d.clock,
		})
		if g.Name != settings.RegionGroup {
			d.announcers[g.Name] = newAnnouncer(g.Name, d.leaders[g.Name], d.clock)
		}
	}
	d.sender = newSender(d.dialer, d.log)
	d.targets = target.NewHTTPClient(target.HTTPConfig{
		Clock: d.clock, MaxConns: d.connectionsPerTarget(),
		StartTimeout: d.settings.Timing.SilenceLimit,
		PollMargin:   d.settings.Timing.SilenceLimit - d.settings.Timing.PollWait,
	})
	return nil
}

// groupHosts lists the hosts to ask for a group's leader: its initial members
// first, then the other hosts with disks, which may have been added since.
func (d *Daemon) groupHosts(g settings.Group) []string {
	hosts := append(append([]string{}, g.Voters...), g.Witnesses...)
	seen := make(map[string]bool)
	for _, h := range hosts {
		seen[h] = true
	}
	for _, h := range d.settings.Hosts {
		if h.HasDisk && !seen[h.Name] {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts
}

// maxTargetConnections bounds the connections of all entry hosts together to
// one target.
const maxTargetConnections = 64

// connectionsPerTarget returns this entry host's share of the connections to
// one target.
func (d *Daemon) connectionsPerTarget() int {
	return max(1, maxTargetConnections/len(d.settings.Hosts))
}

// startReplicas starts the replicas of all groups that this host may have. A
// host with a disk also runs learners of groups it is not an initial member
// of, so that an operator can add it.
func (d *Daemon) startReplicas(ctx context.Context) error {
	if d.settings.DataFolder == "" {
		return nil
	}
	for _, g := range d.settings.Groups {
		members, self := groupMembers(g, d.settings.Host)
		if self == nil && g.Name != d.settings.DataCentre && g.Name != settings.RegionGroup {
			continue
		}
		if self == nil {
			self = &replica.Member{Host: d.settings.Host}
		}
		if err := d.startReplica(ctx, g.Name, *self, members); err != nil {
			return err
		}
	}
	return nil
}

// groupMembers returns the initial members of a group, and the entry of host
// among them if it has one.
func groupMembers(g settings.Group, host string) (members []replica.Member, self *replica.Member) {
	for _, name := range g.Voters {
		members = append(members, replica.Member{Host: name})
	}
	for _, name := range g.Witnesses {
		members = append(members, replica.Member{Host: name, Witness: true})
	}
	for i := range members {
		if members[i].Host == host {
			self = &members[i]
		}
	}
	return members, self
}

func (d *Daemon) startReplica(ctx context.Context, group string, self replica.Member, members []replica.Member) error {
	cfg := replica.Config{
		Group: group, Self: self, Dir: filepath.Join(d.settings.DataFolder, group),
		TickInterval: d.settings.Timing.Tick, ElectionTicks: d.settings.Timing.ElectionTicks,
		SnapshotEntries: uint64(d.settings.Timing.SnapshotEntries),
		MaxInflight:     d.settings.Limits.ProposalsInFlight,
		Seed:            electionSeed(d.settings.Host, group),
		Clock:           d.clock, HLC: d.hlc, Transport: d.sender, Logger: d.log,
		OnRefusedTimestamp: func(leader string, reason error) { d.recordPeerEvent(eventTimestampRefused, leader, reason.Error()) },
	}
	if d.settings.Bootstrap {
		cfg.Bootstrap = members
	}
	if group == settings.RegionGroup {
		stateMachine := region.New(d.settings.DataCentres())
		cfg.StateMachine = stateMachine
		r, err := replica.Start(ctx, cfg)
		if err != nil {
			return err
		}
		d.region = &regionReplica{group: r, stateMachine: stateMachine}
		return nil
	}
	stateMachine := datacentre.New(group, d.events.Add)
	cfg.StateMachine = stateMachine
	r, err := replica.Start(ctx, cfg)
	if err != nil {
		return err
	}
	d.dataCentres[group] = &dataCentreReplica{group: r, stateMachine: stateMachine, controller: d.newController(group, r, stateMachine)}
	return nil
}

func (d *Daemon) newController(group string, r *replica.Replica, stateMachine *datacentre.StateMachine) *control.Controller {
	timing := control.DefaultTiming()
	timing.HostLease = d.settings.Timing.Lease
	return control.New(control.Config{
		DataCentre: group, Host: d.settings.Host, Group: r, StateMachine: stateMachine,
		Records: regionSource{d.leaders[settings.RegionGroup]}, Resolver: d.resolver(),
		Platform: d.platform(), Clock: d.clock, Log: d.log, Timing: timing, Policy: controlPolicy(&d.settings.Policy),
		Events: recorder{d}, Limits: ledgerLimits(&d.settings.Limits),
	})
}

// Run serves until stop is cancelled, then stops gracefully. When abort is
// cancelled, it stops at once.
func (d *Daemon) Run(stop, abort context.Context) error {
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	servers, err := d.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.sender.Run(ctx) })
	wg.Go(func() { d.followRecords(ctx) })
	for _, a := range d.announcers {
		wg.Go(func() { a.run(ctx) })
	}
	wg.Go(func() { d.monitorPeers(ctx) })
	wg.Go(func() { d.monitorClock(ctx) })
	wg.Go(func() { d.dispatcher.Run(ctx) })
	for _, n := range d.dataCentres {
		wg.Go(func() { n.controller.Run(ctx) })
	}
	failed := servers.serve()
	d.log.Info().Str("incarnation", d.incarnation).Str("version", Version).Msg("started")
	select {
	case err = <-failed:
	case <-d.replicaFailed(ctx):
		err = &fault.Unavailable{What: "replica", Reason: "it stopped; see the log"}
	case <-stop.Done():
		d.drain(abort, servers)
	case <-abort.Done():
	}
	cancel()
	servers.close()
	wg.Wait()
	closeCtx, done := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer done()
	d.closeReplicas(closeCtx)
	d.log.Info().Msg("stopped")
	return err
}

// drain prepares a graceful stop: it refuses new requests, transfers leadership
// and waits for requests in progress up to the drain bound.
func (d *Daemon) drain(abort context.Context, servers *servers) {
	d.stopping.Store(true)
	d.log.Info().Int("attempts", d.dispatcher.ActiveAttempts()).Msg("graceful stop started")
	ctx, cancel := context.WithTimeout(abort, d.settings.Timing.DrainBound)
	defer cancel()
	d.transferLeadership(ctx)
	if left := servers.drainCallers(ctx); left > 0 {
		d.log.Warn().Int64("requests", left).Str("reason", stopReason(abort)).Msg("requests of callers left without an answer")
	}
	for _, c := range d.dispatcher.Drain(ctx) {
		a := &c.Assignment
		d.log.Warn().Str("request", a.Key).Int("attempt", a.Attempt).Str("target", a.Host).Str("reason", c.Reason).Msg("attempt left without a result")
	}
	// An election during the drain may have made this host a leader again.
	d.transferLeadership(ctx)
}

// stopReason returns why a graceful stop ended while work was left.
func stopReason(abort context.Context) string {
	if abort.Err() != nil {
		return "the stop was forced"
	}
	return "the drain bound has passed"
}

// transferLeadership transfers the leadership of every group that this host
// leads.
func (d *Daemon) transferLeadership(ctx context.Context) {
	for _, r := range d.replicas() {
		if r.Status().Role != replica.RoleLeader {
			continue
		}
		transfer, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
		if err := r.TransferLeadership(transfer); err != nil {
			d.log.Warn().Str("group", r.Status().Group).Err(err).Msg("leadership not transferred")
		}
		cancel()
	}
}

func (d *Daemon) replicas() []*replica.Replica {
	var out []*replica.Replica
	if d.region != nil {
		out = append(out, d.region.group)
	}
	for _, n := range d.dataCentres {
		out = append(out, n.group)
	}
	return out
}

// replicaFailed returns a channel that is closed when a replica stops by
// itself, for example because its log is corrupt.
func (d *Daemon) replicaFailed(ctx context.Context) <-chan struct{} {
	failed := make(chan struct{})
	var once sync.Once
	for _, r := range d.replicas() {
		go func() {
			select {
			case <-r.Done():
				once.Do(func() { close(failed) })
			case <-ctx.Done():
			}
		}()
	}
	return failed
}

func (d *Daemon) closeReplicas(ctx context.Context) {
	for _, r := range d.replicas() {
		if err := r.Close(ctx); err != nil {
			d.log.Warn().Err(err).Msg("replica not closed cleanly")
		}
	}
}
