// Package control holds the responsibilities of a data centre group's leader:
// placing requests, host leases, waves, repair, orphaned attempts, retries
// and the adoption of records. Each runs in a goroutine of its own, reads a
// snapshot of the state, and proposes commands that are checked again when
// they are applied. State outside of the log is soft: a new leader rebuilds it.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/repair"
	"agatehaven.dev/agatehaven/internal/replica"
)

// Group is the part of a replica that the controller uses.
type Group interface {
	Propose(ctx context.Context, data []byte) (any, error)
	Status() replica.Status
}

// RecordSource reads the region group's records and acknowledges adoption.
type RecordSource interface {
	PullRecords(ctx context.Context, r *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error)
	AckAdoption(ctx context.Context, r *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error)
}

// Resolver reads the state of an orphaned attempt from its target. The second
// result is false if there is nothing to report yet. If a checkpoint of the
// attempt is ordered, a running one is ended at it.
type Resolver interface {
	Resolve(ctx context.Context, a ledger.OpenAttempt, canRevoke bool) (model.AttemptReport, bool)
}

// Platform orders reboots of hosts.
type Platform interface {
	Reboot(ctx context.Context, host, orderID string) error
}

// Timing holds the controller's intervals.
type Timing struct {
	// HostLease is how long a host counts as alive after an announcement.
	HostLease time.Duration
	// OwnerLease is how long an entry host counts as alive after a pull of its
	// assignments.
	OwnerLease time.Duration
	// Tick is the period of the level-triggered loops.
	Tick time.Duration
	// ProposeTimeout bounds one proposal.
	ProposeTimeout time.Duration
	// RecordsWait is the long-poll time of the adoption loop.
	RecordsWait time.Duration
}

// DefaultTiming returns the timing of docs/design.md.
func DefaultTiming() Timing {
	return Timing{
		HostLease:      5 * time.Second,
		OwnerLease:     5 * time.Second,
		Tick:           100 * time.Millisecond,
		ProposeTimeout: 3 * time.Second,
		RecordsWait:    5 * time.Second,
	}
}

// Config configures a Controller.
type Config struct {
	DataCentre   string
	Host         string
	Group        Group
	StateMachine *datacentre.StateMachine
	Records      RecordSource
	Resolver     Resolver
	Platform     Platform
	Clock        clock.Clock
	Log          zerolog.Logger
	Timing       Timing
	Policy       Policy
	// Limits are the ledger limits of this host's settings. Only the leader
	// brings its own into force, through the log.
	Limits ledger.Limits
	// Events records local events and sets their ID and Time. It may be nil.
	Events Recorder
}

// Recorder records local events of this process.
type Recorder interface {
	Record(e event.Event)
}

// maxWaitReasons bounds the remembered reasons for which policies wait.
const maxWaitReasons = 10_000

// Controller runs the leader's responsibilities on one replica. On replicas
// that do not lead its loops are idle.
type Controller struct {
	cfg Config

	mu           sync.Mutex
	term         uint64
	termStart    time.Time
	contacts     map[string]*contact
	owners       map[string]*owner
	entryHosts   map[string]string // open request key -> entry host that received it
	runStats     *runStats
	lastAck      adoptionAck
	rebootOrders map[string]time.Time // reboot order -> last sent
	waitReasons  map[string]string    // last reason for which a policy waits
	// repairTimers is used only by the repair loop.
	repairTimers repair.Timers
	// lastResolved holds when each orphaned attempt was last read from its
	// target; only the resolve loop uses it.
	lastResolved map[peer.AttemptRef]time.Time

	// pullFullSet asks for the full set of records after a refused delta;
	// only the adoption loop uses it.
	pullFullSet bool
	// ownerRotation spreads requests over owners; only the placement loop uses
	// it.
	ownerRotation int
}

// New returns a controller. Run starts it.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg,
		contacts:     make(map[string]*contact),
		owners:       make(map[string]*owner),
		entryHosts:   make(map[string]string),
		runStats:     newRunStats(cfg.Policy, cfg.Clock),
		rebootOrders: make(map[string]time.Time),
		waitReasons:  make(map[string]string),
	}
}

// Run runs all loops until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loops := []struct {
		name  string
		every time.Duration
		step  func(context.Context)
		// onChange wakes the loop at each applied entry, not only by time.
		onChange bool
	}{
		{"placement", c.cfg.Timing.Tick, c.place, true},
		{"leases", c.cfg.Timing.Tick, c.expireLeases, false},
		{"waves", c.cfg.Timing.Tick, c.runWaves, true},
		{"repair", time.Second, c.repair, false},
		{"resolve", resolveInterval, c.resolveOrphans, false},
		{"retry", c.cfg.Timing.Tick, c.decideRetries, true},
		{"ledger", time.Second, c.maintainLedger, false},
		{"suspects", time.Second, c.evaluateHosts, false},
		{"adoption", c.cfg.Timing.Tick, c.adopt, false},
	}
	var wg sync.WaitGroup
	for _, l := range loops {
		wg.Go(func() {
			for ctx.Err() == nil {
				var changed <-chan struct{}
				if l.onChange {
					changed = c.cfg.StateMachine.Changed()
				}
				if c.leading() {
					l.step(ctx)
				}
				select {
				case <-changed:
				case <-c.cfg.Clock.After(l.every):
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
}

// leading reports whether this replica leads its group. At the start of a new
// term it grants every known host and owner one full lease, since the time of
// their last contact with the former leader is not known.
func (c *Controller) leading() bool {
	status := c.cfg.Group.Status()
	if status.Role != replica.RoleLeader {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status.Term != c.term {
		c.term, c.termStart = status.Term, c.cfg.Clock.Now()
		c.contacts = make(map[string]*contact)
		c.owners = make(map[string]*owner)
		c.runStats.reset()
		c.grantLeases()
	}
	return true
}

// requireLeading returns *fault.NotLeader if this replica does not lead its
// group.
func (c *Controller) requireLeading() error {
	if !c.leading() {
		return &fault.NotLeader{Group: c.cfg.DataCentre, Leader: c.cfg.Group.Status().Leader}
	}
	return nil
}

// propose commits one command and returns its result. Refusals by the state
// machine are returned as errors.
func (c *Controller) propose(ctx context.Context, cmd datacentre.Command) (datacentre.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.ProposeTimeout)
	defer cancel()
	result, err := replica.ProposeCommand[datacentre.Result](ctx, c.cfg.Group, cmd)
	if err != nil {
		return datacentre.Result{}, err
	}
	return result, result.Err
}

func (c *Controller) proposeHost(ctx context.Context, cmd inventory.Command) error {
	_, err := c.propose(ctx, datacentre.Command{Inventory: &cmd})
	c.logRefusal("inventory", err)
	return err
}

func (c *Controller) proposeRequest(ctx context.Context, cmd ledger.Command) (datacentre.Result, error) {
	result, err := c.propose(ctx, datacentre.Command{Ledger: &cmd})
	c.logRefusal("ledger", err)
	return result, err
}

// logRefusal logs a refused command. Refusals are expected when the state has
// changed since the plan was made, so they are logged at debug level.
func (c *Controller) logRefusal(part string, err error) {
	if err != nil {
		c.cfg.Log.Debug().Str("part", part).Str("code", string(fault.CodeOf(err))).Err(err).Msg("command refused")
	}
}
