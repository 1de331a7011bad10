// Package settings reads and validates the settings of the daemon. A file with
// any problem is rejected as a whole, and all problems are reported at once.
package settings

import (
	"time"
)

// RegionGroup is the name of the region's raft group.
const RegionGroup = "region"

// Settings are the validated settings of one daemon.
type Settings struct {
	Host       string
	DataCentre string
	Region     string
	// DataFolder is the folder for durable state; empty on a host without a
	// disk.
	DataFolder string
	// Bootstrap creates the groups of this host when its data folder is empty.
	Bootstrap bool
	Listen    Listen
	// Hosts lists all entry hosts of the region, including this one.
	Hosts    []Host
	Groups   []Group
	Platform Platform
	Limits   Limits
	Timing   Timing
	Policy   Policy
	TLS      TLS
	Log      Log
}

// Listen holds the addresses of the listeners, as IP:port.
type Listen struct {
	Caller      string
	Target      string
	Operator    string
	Peer        string
	Diagnostics string
}

// Host is one entry host of the region.
type Host struct {
	Name       string
	DataCentre string
	// Peer and Operator are the addresses at which other hosts reach it.
	Peer     string
	Operator string
	HasDisk  bool
}

// Group is the initial membership of a raft group.
type Group struct {
	// Name is RegionGroup or a data centre.
	Name      string
	Voters    []string
	Witnesses []string
	// SingleDisk allows a group with a single replica: it stays available during
	// a partition but loses acknowledged entries if its disk fails.
	SingleDisk bool
}

// Platform is the service that reboots hosts.
type Platform struct {
	// Address is IP:port, or empty if waves cannot reboot hosts.
	Address string
}

// Limits are the size limits of the process.
type Limits struct {
	PayloadBytes int
	AnswerBytes  int
	// StoredBytes limits the total size of payloads and answers in a data
	// centre's ledger.
	StoredBytes    int
	QueueRequests  int // per pool
	LedgerRequests int
	// RetainedKeys limits the number of keys of non-idempotent requests that are
	// open or within KeyRetention.
	RetainedKeys int
	// AnswerRetention is how long a finished answer is kept, KeyRetention how
	// long its key is kept.
	AnswerRetention   time.Duration
	KeyRetention      time.Duration
	Events            int
	ProposalsInFlight int
	MessageBytes      int
}

// Timing holds intervals and time limits.
type Timing struct {
	// Tick is the interval of raft's logical clock.
	Tick time.Duration
	// ElectionTicks is the minimum number of ticks without a leader before an
	// election.
	ElectionTicks int
	// Lease is how long a target stays available after an announcement.
	Lease time.Duration
	// PollWait is the longest time that a long poll waits for an answer.
	PollWait time.Duration
	// SilenceLimit is how long a connection may be without a response before it
	// counts as silent.
	SilenceLimit time.Duration
	// DrainBound is the longest time that a graceful shutdown may take.
	DrainBound time.Duration
	// SnapshotEntries is the number of log entries between two snapshots.
	SnapshotEntries int
}

// Policy holds the operator's preferences between costs.
type Policy struct {
	// Weights of the three measured costs; only their ratios matter.
	MovesWeight   float64
	BufferWeight  float64
	RolloutWeight float64
	// LendSpare lets requests run on idle hosts of the spare pools.
	LendSpare bool
	// LendIdleSlots lets a pool in a burst use idle slots of other pools.
	LendIdleSlots bool
	// RetryTokens is the capacity of the data centre's token bucket for retries.
	// RetryRefill is the number of tokens that each success adds, and so the
	// long-term limit of retries per success.
	RetryTokens int
	RetryRefill float64
}

// TLS holds the certificates of the listeners. A section without a
// certificate leaves its listener without TLS.
type TLS struct {
	Peer     TLSFiles
	Target   TLSFiles
	Operator TLSFiles
}

// Log configures the destination, level and size of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// File is the path of the log file; empty means standard error.
	File string
	// MaxFileMB is the largest size of the log file in MiB; one previous file is
	// kept.
	MaxFileMB int
}

// Entry returns the host entry of the given name.
func (s *Settings) Entry(name string) (Host, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// DataCentres returns the names of the data centres of all entry hosts, in
// the order of their first host.
func (s *Settings) DataCentres() []string {
	var out []string
	seen := make(map[string]bool)
	for _, h := range s.Hosts {
		if !seen[h.DataCentre] {
			seen[h.DataCentre] = true
			out = append(out, h.DataCentre)
		}
	}
	return out
}
