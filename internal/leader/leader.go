package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/work"
)

// Config configures the duties of a leader.
type Config struct {
	// Host names this process as the holder of platform tokens.
	Host         string
	Group        replica.Group
	StateMachine *work.StateMachine
	Targets      Targets
	Platform     Platform
	Policy       Policy
	Timing       Timing
	Clock        clock.Clock
	Log          zerolog.Logger
	// Orders holds the orders for hosts that were applied here.
	Orders *OrderLog
}

// Timing holds the times that the platform's contract sets.
type Timing struct {
	// Announce is how often targets announce themselves.
	Announce time.Duration
	// MaxLease bounds the lease of a run.
	MaxLease time.Duration
	// Move and Maintenance are how long a host is away for them.
	Move, Maintenance time.Duration
	// HolderPause separates the orders of two holders for one host.
	HolderPause time.Duration
}

const (
	// confirmEvery is how often the leader proves that it still leads.
	confirmEvery = 150 * time.Millisecond
	// confirmTimeout ends a proof that gets no quorum.
	confirmTimeout = 400 * time.Millisecond
	// confirmValid is how long a proof holds. It is below the shortest election
	// timeout of 700 ms, less the drift of clocks and the delay of a thread.
	confirmValid = 600 * time.Millisecond
	// proposeTimeout bounds the wait for a commit. Slow disks take up to 1 s.
	proposeTimeout = 3 * time.Second
	// partBytes bounds the log entry of a command. One that is longer would hold
	// up the heartbeats and commits behind it on a link of 200 Mbit/s.
	partBytes = 256 << 10
	// fenceSessions is how many sessions with targets a term can open.
	fenceSessions = 1 << 20
	// clockSlow is by how much a target's clock may be slow.
	clockSlow = 0.02
)

// Leader is the leader in one term. It is made anew for each term.
type Leader struct {
	cfg  Config
	term uint64
	log  zerolog.Logger
	ctx  context.Context
	wg   sync.WaitGroup

	// confirmed is the Unix time in ns of the start of the last proof.
	confirmed atomic.Int64
	elected   time.Time
	// uploads counts the commands that were proposed in parts.
	uploads atomic.Uint64

	// planning is held from a decision about hosts or starts to its commit, so
	// that no two decisions use the same room.
	planning planLock

	mu       sync.Mutex
	sessions map[string]*session
	contacts map[string]*contact
	// contactsAt is when contacts were last forgotten.
	contactsAt time.Time
	fences     uint64
	fleet      fleet
	wake       wakeup
	learned    durations
	arrivals   arrivals
	// lacking holds what pools need for tasks that no host takes.
	lacking map[string]lacking
	starved starved
	permits permits
	reports *ring.Ring[pendingReport]
}

// planLock is a lock that is held while a commit is awaited. It is a channel,
// so that tests with simulated time see its holder wait.
type planLock chan struct{}

func (p planLock) lock()   { p <- struct{}{} }
func (p planLock) unlock() { <-p }

// wakeup tells a loop that there is something to do.
type wakeup chan struct{}

// poke wakes the loop, or leaves a wake-up that is pending.
func (w wakeup) poke() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// contact is what the leader knows of a target beyond the replicated state.
type contact struct {
	announced time.Time
	// heard is when the target last announced itself or answered.
	heard time.Time
	// answered is when it last answered a call, and probed when it was last asked
	// although it ran nothing.
	answered, probed time.Time
	// sequence is the highest number of an announcement, lower the highest of the
	// late ones since it, and rises counts those that came in rising order.
	sequence, lower int64
	rises           int
	clock           targetClock
	// doubted is the last announced clock that was too far ahead to count.
	doubted targetClock
	// avoidUntil is until when no run is started, after failures.
	avoidUntil time.Time
	// failures counts the runs that failed since the last that was done, and
	// failedJobs the jobs among them, up to suspectJobs: a job that can never
	// be done fails on every target.
	failures   int
	failedJobs map[string]bool
	// suspected counts how often the target was set aside in a row.
	suspected int
}

// New returns a leader for a term. Run carries out its duties.
func New(cfg Config, term uint64) *Leader {
	return &Leader{
		cfg: cfg, term: term, log: cfg.Log.With().Uint64("term", term).Logger(),
		sessions: map[string]*session{}, contacts: map[string]*contact{}, wake: make(wakeup, 1),
		planning: make(planLock, 1), fleet: newFleet(), learned: newDurations(), permits: newPermits(), reports: newReports(),
		lacking: map[string]lacking{},
	}
}

// Run carries out the duties until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.ctx = ctx
	l.elected = l.now()
	duties := []func(){l.confirmLoop, l.planLoop, l.sessionLoop, l.fleetLoop, l.permitLoop, l.reportLoop}
	for _, duty := range duties {
		l.wg.Go(duty)
	}
	l.wg.Wait()
}

func (l *Leader) now() time.Time { return l.cfg.Clock.Now() }

// sleep waits for d and reports whether the leader still works.
func (l *Leader) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-l.cfg.Clock.After(d):
		return true
	}
}

// confirmLoop proves again and again that no other leader was elected.
func (l *Leader) confirmLoop() {
	for {
		started := l.now()
		ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
		err := l.cfg.Group.ReadBarrier(ctx)
		cancel()
		if err == nil {
			if l.confirmed.Swap(started.UnixNano()) == 0 {
				l.log.Info().Msg("leadership confirmed")
				l.wake.poke()
			}
		}
		if !l.sleep(confirmEvery) {
			return
		}
	}
}

// Confirmed reports whether no other leader can have been elected yet.
func (l *Leader) Confirmed() bool {
	at := l.confirmed.Load()
	age := l.now().Sub(time.Unix(0, at))
	return at != 0 && age >= 0 && age < confirmValid
}

// Propose commits a command of any length. Errors are those of replica.Group; a refusal by
// the state machine is in the result.
func (l *Leader) Propose(ctx context.Context, c *work.Command) (*work.Result, error) {
	c.NowMS = l.now().UnixMilli()
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > partBytes {
		return l.proposeParts(ctx, c.NowMS, data)
	}
	return l.proposeEntry(ctx, data)
}

// proposeParts commits a command that is too long for one log entry in parts.
func (l *Leader) proposeParts(ctx context.Context, nowMS int64, data []byte) (*work.Result, error) {
	upload := l.uploads.Add(1)
	for offset := 0; ; {
		end := min(len(data), offset+partBytes)
		part, err := codec.Marshal(&work.Command{NowMS: nowMS, Part: &work.Part{
			Upload: upload, Offset: offset, TotalBytes: len(data), Data: data[offset:end],
		}})
		if err != nil {
			return nil, err
		}
		result, err := l.proposeEntry(ctx, part)
		if err != nil || result.Err != nil || end == len(data) {
			return result, err
		}
		offset = end
	}
}

// proposeEntry commits one log entry.
func (l *Leader) proposeEntry(ctx context.Context, data []byte) (*work.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	started := l.now()
	value, err := l.cfg.Group.Propose(ctx, data)
	observe(commitSeconds, started, l.now())
	if err != nil {
		return nil, err
	}
	result, ok := value.(*work.Result)
	if !ok {
		return nil, &fault.Invalid{Field: "result", Reason: "unexpected type from the state machine"}
	}
	return result, nil
}

// record proposes a command whose failure the caller can only log.
func (l *Leader) record(c *work.Command, what string) bool {
	result, err := l.Propose(l.ctx, c)
	if err == nil {
		err = result.Err
	}
	if err != nil {
		if l.ctx.Err() == nil {
			l.log.Warn().Err(err).Str("what", what).Msg("not recorded")
		}
		return false
	}
	return true
}

// nextFence returns a fencing token above all earlier ones of the group.
func (l *Leader) nextFence() uint64 {
	l.fences++
	return l.term*fenceSessions + l.fences
}
