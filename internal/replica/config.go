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
	// DefaultElectionTicks gives election timeouts of 0.7 to 1.4 s after the
	// last message from a leader, so that urgent work submitted during an
	// election still starts within 1.6 s.
	DefaultElectionTicks   = 14
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 16 << 20
	DefaultMaxInflight     = 1024
	// MaxProposalBytes keeps a batch of proposals below the peer message limit.
	MaxProposalBytes = 1 << 20
)

// Capacities of the queues between the goroutines of a replica.
const (
	inboxSize      = 1024
	outboxSize     = 256
	requestSize    = 1024
	applySize      = 64
	compactionSize = 4
	// drainLimit is the maximum number of items taken from one queue before the
	// log is written, so that a busy queue does not starve the others.
	drainLimit = 1024
	// maxSendBytes keeps one Send below the peer message limit of 4 MiB.
	maxSendBytes = 3 << 20
)

// Transport sends raft messages to other hosts.
type Transport interface {
	// Send sends encoded messages of a group to a host. Delivery is best
	// effort: Send never blocks and may drop the messages.
	Send(host string, group string, messages []byte)
}

// Config configures a replica. A numeric field that is 0 gets its default.
type Config struct {
	Group string
	// Self identifies this host. Its ID is ignored, since the identity file in
	// Dir determines it.
	Self Member
	// Bootstrap lists the hosts of the initial members, in the same order on
	// every host. It is used only if Dir has no identity file. A host in the
	// list then takes incarnation "1", and the group elects its first leader
	// once all initial voters are up. A host that is not in the list takes a new
	// random incarnation and waits to be added. So does a host that bootstraps
	// although the group already exists, since it has lost its disk.
	Bootstrap []Member
	// Dir is the data directory, which must not be shared with other replicas.
	Dir string

	TickInterval  time.Duration
	ElectionTicks int
	// SnapshotEntries and SnapshotBytes are the number of applied entries and
	// their size after which a snapshot is taken, whichever comes first.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// SlowSyncThreshold is the duration from which a log sync counts as slow. A
	// leader transfers its leadership after several slow syncs in a row. 0
	// disables this.
	SlowSyncThreshold time.Duration
	// MaxInflight is the maximum number of proposals that are not yet applied.
	MaxInflight int
	// Seed, group and host determine the random election timeouts.
	Seed uint64

	Clock clock.Clock
	HLC   *hlc.Clock
	// OnRefusedTimestamp, if set, is called when entries of a leader are refused
	// because of their timestamps. It must not block.
	OnRefusedTimestamp func(leader string, reason error)
	Transport          Transport
	StateMachine       StateMachine

	// FS defaults to the operating system's file system.
	FS wal.FS
	// NewIncarnation returns an incarnation that was never used before. It
	// defaults to a random UUID.
	NewIncarnation func() string
	Logger         zerolog.Logger
	// Metrics defaults to the default set of the process.
	Metrics *metrics.Set
}

// validateAndSetDefaults returns *fault.Invalid if a required field is missing.
func (c *Config) validateAndSetDefaults() error {
	switch {
	case c.Group == "":
		return &fault.Invalid{Field: "group", Reason: "empty"}
	case c.Self.Host == "" || raft.HostOf(raft.MemberID(c.Self.Host, "1")) != c.Self.Host:
		return &fault.Invalid{Field: "host", Reason: "empty"}
	case c.Transport == nil || c.StateMachine == nil:
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

// seed returns the random seed of the raft node. It differs between hosts even
// if their settings have the same seed: equal election timeouts would cause
// repeated split votes.
func (c *Config) seed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.Group + "/" + c.Self.Host))
	return c.Seed ^ hash.Sum64()
}

// isInitialMember reports whether this host is an initial member.
func (c *Config) isInitialMember() bool {
	return slices.ContainsFunc(c.Bootstrap, func(m Member) bool { return m.Host == c.Self.Host })
}

// initialConfiguration returns the members of Bootstrap with incarnation "1".
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
