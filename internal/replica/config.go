package replica

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/wal"
)

// Defaults of Config.
const (
	DefaultTickInterval = 50 * time.Millisecond
	// DefaultElectionTicks gives elections 0.7 to 1.4 s after the last sign of a
	// leader, so that urgent work that meets one still starts within 1.6 s.
	DefaultElectionTicks   = 14
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
	DefaultMaxInflight     = 1024
	// MaxProposalBytes leaves room for a batch in the peer message limit.
	MaxProposalBytes = 1 << 20
)

// Sizes of the rings between the goroutines of a replica.
const (
	inboxSize      = 1024
	outboxSize     = 256
	controlSize    = 1024
	applySize      = 64
	compactionSize = 4
	// drainLimit bounds the work taken from one ring before the log is
	// written, so that one busy ring does not starve the others.
	drainLimit = 1024
	// maxSendBytes keeps one Send below the peer message limit of 4 MiB.
	maxSendBytes = 3 << 20
)

// Transport sends raft messages to other hosts.
type Transport interface {
	// Send delivers encoded messages of a group to a host, at best effort:
	// it never blocks and may drop them.
	Send(host string, group string, messages []byte)
}

// Config configures a replica. Zero values of numbers stand for the defaults.
type Config struct {
	Group string
	// Self names this host; its ID is ignored and taken from the identity
	// file in Dir.
	Self Member
	// Bootstrap lists the initial members by host, in the same order on every
	// host. It is used only if Dir has no identity yet; then this host takes
	// incarnation "1" and the group forms once all initial voters are up.
	// If it is empty, a host without identity takes a new random incarnation
	// and waits to be added. A bootstrapping host that finds the group formed
	// already has lost its disk, and takes a new random incarnation as well.
	Bootstrap []Member
	// Dir holds the files of this replica alone.
	Dir string

	TickInterval  time.Duration
	ElectionTicks int
	// SnapshotEntries and SnapshotBytes tell after how many applied entries,
	// or bytes of them, a snapshot is taken.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// SlowSyncThreshold is how long a sync of the log may take on a leader: after some
	// longer ones in a row it hands over its leadership. 0 is any time.
	SlowSyncThreshold time.Duration
	// MaxInflight bounds the proposals that have not been applied yet.
	MaxInflight int
	// Seed determines the election timeouts together with the group and host.
	Seed uint64

	Clock clock.Clock
	HLC   *hlc.Clock
	// OnRefusedTimestamp, if set, is told of a leader whose entries are refused for
	// their time. It must not block.
	OnRefusedTimestamp func(leader string, reason error)
	Transport          Transport
	Machine            StateMachine

	// FS defaults to the operating system's file system.
	FS wal.FS
	// NewIncarnation returns a name that was never used; defaults to a UUID.
	NewIncarnation func() string
	Logger         zerolog.Logger
	// Metrics defaults to the process-wide set.
	Metrics *metrics.Set
}

func (c *Config) complete() error {
	switch {
	case c.Group == "":
		return &fault.Invalid{Field: "group", Reason: "empty"}
	case c.Self.Host == "" || raft.HostOf(raft.MemberID(c.Self.Host, "1")) != c.Self.Host:
		return &fault.Invalid{Field: "host", Reason: "empty"}
	case c.Transport == nil || c.Machine == nil:
		return &fault.Invalid{Field: "replica", Reason: "transport and state machine are required"}
	}
	if c.TickInterval <= 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.ElectionTicks <= 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.HLC == nil {
		c.HLC = hlc.NewClock(c.Clock)
	}
	if c.OnRefusedTimestamp == nil {
		c.OnRefusedTimestamp = func(string, error) {}
	}
	if c.FS == nil {
		c.FS = wal.OSFS{}
	}
	if c.NewIncarnation == nil {
		c.NewIncarnation = uuid.NewString
	}
	if c.Metrics == nil {
		c.Metrics = metrics.GetDefaultSet()
	}
	return nil
}

// seed differs between hosts even if their settings have the same seed: with
// equal election timeouts the votes would be split again and again.
func (c *Config) seed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.Group + "/" + c.Self.Host))
	return c.Seed ^ hash.Sum64()
}

// bootstraps reports whether this host is an initial member.
func (c *Config) bootstraps() bool {
	return slices.ContainsFunc(c.Bootstrap, func(m Member) bool { return m.Host == c.Self.Host })
}

// initialConfiguration returns the members of Bootstrap in incarnation "1".
func (c *Config) initialConfiguration() raft.Configuration {
	var config raft.Configuration
	for _, m := range c.Bootstrap {
		config.Members = append(config.Members, raft.Member{
			ID: raft.MemberID(m.Host, firstIncarnation), Host: m.Host, Witness: m.Witness,
		})
	}
	return config
}

func membersOf(c raft.Configuration) []Member {
	members := make([]Member, len(c.Members))
	for i, m := range c.Members {
		members[i] = Member(m)
	}
	return members
}
