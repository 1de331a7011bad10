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

// Config configures a Leader.
type Config struct {
	// Host is the name of this process; it is the holder of platform tokens.
	Host         string
	Group        replica.Group
	StateMachine *work.StateMachine
	Targets      Targets
	Platform     Platform
	Policy       Policy
	Timing       Timing
	Clock        clock.Clock
	Log          zerolog.Logger
	// RefusesHopelessJobs is set if jobs are refused that could end only when their result
	// does not count any more.
	RefusesHopelessJobs bool
	// Orders holds the host orders that were applied on this process.
	Orders *OrderLog
}

// Timing holds the durations that the platform's contract sets.
type Timing struct {
	// Announce is the interval at which targets announce themselves.
	Announce time.Duration
	// MaxLease is the longest lease that a target accepts.
	MaxLease time.Duration
	// Move and Maintenance are how long a host is down for a move or for maintenance.
	Move, Maintenance time.Duration
	// Stop is how long a target takes at most to stop a run.
	Stop time.Duration
	// HolderPause is the minimum time between orders of two holders for one host.
	HolderPause time.Duration
}

const (
	// confirmInterval is how often the leader proves that it still leads.
	confirmInterval = 150 * time.Millisecond
	// confirmTimeout bounds a read barrier that gets no quorum.
	confirmTimeout = 400 * time.Millisecond
	// confirmValid is how long a proof is valid. It is below the shortest election
	// timeout of 700 ms, less clock drift and scheduling delay.
	confirmValid = 600 * time.Millisecond
	// proposeTimeout bounds the wait for a commit. Slow disks take up to 1 s.
	proposeTimeout = 3 * time.Second
	// maxEntryBytes bounds the log entry of a command. A longer entry would delay the
	// heartbeats and commits behind it on a link of 200 Mbit/s.
	maxEntryBytes = 256 << 10
	// fencesPerTerm is how many fencing tokens a term can issue.
	fencesPerTerm = 1 << 20
	// maxClockSlowdown is the fraction by which a target's clock may run slow.
	maxClockSlowdown = 0.02
)

// Leader carries out the duties of the region's leader in one term. Each term uses a
// new Leader.
type Leader struct {
	cfg  Config
	term uint64
	log  zerolog.Logger
	ctx  context.Context
	wg   sync.WaitGroup

	// confirmed is the start of the last successful proof.
	confirmed atomic.Pointer[time.Time]
	elected   time.Time
	// uploads counts the commands that were proposed in parts.
	uploads atomic.Uint64

	// planning is held from a decision about hosts or starts until its commit, so that
	// no two decisions use the same free capacity.
	planning planLock

	mu       sync.Mutex
	sessions map[string]*session
	statuses map[string]*targetStatus
	// statusesPrunedAt is when entries of statuses were last removed.
	statusesPrunedAt time.Time
	fences           uint64
	fleet            fleet
	wake             wakeup
	// fleetWake signals that a host may be back from maintenance.
	fleetWake wakeup
	estimates durationEstimates
	arrivals  arrivals
	// missingHosts holds, by pool, the hosts that tasks without a suitable host need.
	missingHosts map[string]missingHosts
	starved      starved
	places       places
	// beginsReported holds when it was reported that a job has begun.
	beginsReported map[string]time.Time
	// interference is set if some task may disturb others on its host.
	interference bool
	// waitingSteps holds since when long-lived steps, and steps that interfere with others, have
	// had a task that waits for a host.
	waitingSteps map[work.TaskRef]time.Time
	permits      permits
	admissions   admissions
	reports      *ring.Ring[pendingReport]
}

// planLock is held while a commit is awaited. It is a channel because testing/synctest
// treats a goroutine that is blocked on a channel as idle, but not one that waits for a
// mutex.
type planLock chan struct{}

func (p planLock) lock()   { p <- struct{}{} }
func (p planLock) unlock() { <-p }

// wakeup signals a loop that there is work.
type wakeup chan struct{}

// signal wakes the loop. It does nothing if a signal is pending.
func (w wakeup) signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// targetStatus is what this leader has observed of a target; it is not replicated.
type targetStatus struct {
	announced time.Time
	// heard is when the target last announced itself or answered.
	heard time.Time
	// answered is when the target last answered a call; probed is when it was last
	// probed although it ran nothing.
	answered, probed time.Time
	// sequence is the highest announcement number. lowerSequence is the highest of the
	// lower numbers that came after it, and increases counts how often those rose.
	sequence, lowerSequence int64
	increases               int
	clock                   targetClock
	// suspectClock is the last announced clock that was rejected as too far ahead.
	suspectClock targetClock
	// avoidUntil is when the target may get new runs again after it refused or did not answer
	// an order, and asideUntil when it may after runs have failed on it.
	avoidUntil, asideUntil time.Time
	// failures counts the failed runs since the last successful one. failedJobs holds
	// up to suspectJobs of their jobs: a job that can never succeed fails on every
	// target.
	failures   int
	failedJobs map[string]bool
	// suspected counts how often in a row the target was set aside.
	suspected int
}

// New returns a Leader for a term in which this process has been elected.
func New(cfg Config, term uint64) *Leader {
	return &Leader{
		cfg: cfg, term: term, elected: cfg.Clock.Now(), log: cfg.Log.With().Uint64("term", term).Logger(),
		sessions: map[string]*session{}, statuses: map[string]*targetStatus{}, wake: make(wakeup, 1), fleetWake: make(wakeup, 1),
		planning: make(planLock, 1), fleet: newFleet(), estimates: newDurationEstimates(), permits: newPermits(), reports: newReports(),
		missingHosts: map[string]missingHosts{}, waitingSteps: map[work.TaskRef]time.Time{},
		beginsReported: map[string]time.Time{}, admissions: newAdmissions(),
	}
}

// Run carries out the leader's duties until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	l.ctx = ctx
	loops := []func(){l.confirmLoop, l.planLoop, l.sessionLoop, l.fleetLoop, l.permitLoop, l.reportLoop}
	for _, duty := range loops {
		l.wg.Go(duty)
	}
	l.wg.Wait()
}

func (l *Leader) now() time.Time { return l.cfg.Clock.Now() }

// nowMS returns the time for the log, in Unix ms: the wall-clock time of the election,
// continued on the monotonic clock. Within a term it does not jump. The times of two
// leaders can differ by maxClockJump.
func (l *Leader) nowMS() int64 { return l.elected.Add(l.now().Sub(l.elected)).UnixMilli() }

// sleep waits for d. It returns false if the leader's context ended.
func (l *Leader) sleep(d time.Duration) bool { return l.sleepOrWake(d, nil) }

// sleepOrWake waits for d, or until it is woken. It returns false if the leader's context
// ended.
func (l *Leader) sleepOrWake(d time.Duration, woken wakeup) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-woken:
		return true
	case <-l.cfg.Clock.After(d):
		return true
	}
}

// confirmLoop proves at intervals, by a read barrier, that no other leader was elected.
func (l *Leader) confirmLoop() {
	var ahead time.Duration
	for {
		started := l.now()
		ahead = l.logClockJump(started, ahead)
		ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
		err := l.cfg.Group.ReadBarrier(ctx)
		cancel()
		if err == nil {
			if l.confirmed.Swap(&started) == nil {
				l.log.Info().Msg("leadership confirmed")
				l.wake.signal()
			}
		}
		if !l.sleep(confirmInterval) {
			return
		}
	}
}

// minClockJump is the least jump of the wall clock that is logged.
const minClockJump = 250 * time.Millisecond

// logClockJump logs a jump of the wall clock. before is by how much the wall clock had gained
// on the monotonic one since the election; it returns by how much it has now.
func (l *Leader) logClockJump(now time.Time, before time.Duration) time.Duration {
	ahead := now.Round(0).Sub(l.elected.Round(0)) - now.Sub(l.elected)
	by := ahead - before
	if by.Abs() < minClockJump {
		return before
	}
	l.log.Warn().Int64("by_ms", by.Milliseconds()).Msg("wall clock jumped")
	return ahead
}

// Confirmed reports whether the last proof of leadership is still valid, so that no
// other leader can have been elected.
func (l *Leader) Confirmed() bool {
	at := l.confirmed.Load()
	return at != nil && clock.Within(*at, l.now(), confirmValid)
}

// Propose commits a command of any length. It returns the errors of replica.Group; a
// refusal by the state machine is in the result.
func (l *Leader) Propose(ctx context.Context, c *work.Command) (*work.Result, error) {
	c.NowMS = l.nowMS()
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > maxEntryBytes {
		return l.proposeParts(ctx, c.NowMS, data)
	}
	return l.proposeEntry(ctx, data)
}

// proposeParts commits a command that is too long for one log entry in parts.
func (l *Leader) proposeParts(ctx context.Context, nowMS int64, data []byte) (*work.Result, error) {
	upload := l.uploads.Add(1)
	for offset := 0; ; {
		end := min(len(data), offset+maxEntryBytes)
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

// proposeOrLog proposes a command and logs a failure. It reports whether the command
// was committed and accepted.
func (l *Leader) proposeOrLog(c *work.Command, what string) bool {
	result, err := l.Propose(l.ctx, c)
	if err == nil {
		err = result.Err
	}
	if err != nil {
		if l.ctx.Err() == nil {
			l.log.Warn().Err(err).Str("what", what).Msg("command not recorded")
		}
		return false
	}
	return true
}

// nextFence returns a fencing token that is higher than all earlier ones of the group.
// The mutex is held.
func (l *Leader) nextFence() uint64 {
	l.fences++
	return l.term*fencesPerTerm + l.fences
}
