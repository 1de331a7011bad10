package replica

import (
	"errors"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/raft"
	"agatehaven.dev/agatehaven/internal/wal"
)

// firstIncarnation is the incarnation of the initial members of a group.
const firstIncarnation = "1"

// openStorage opens the WAL and determines which replica the directory belongs
// to. A directory without an identity file is that of a first start or a
// replaced disk. Config.Bootstrap then determines the incarnation.
func openStorage(c *Config) (*wal.WAL, wal.State, wal.Identity, error) {
	log, state, err := wal.Open(wal.Options{FS: c.FS, Dir: c.Dir})
	if err != nil {
		return nil, state, wal.Identity{}, err
	}
	identity, err := loadOrCreateIdentity(c, log, &state)
	if err != nil {
		if closeErr := log.Close(); closeErr != nil {
			c.Logger.Warn().Err(closeErr).Msg("closing the log failed")
		}
		return nil, state, identity, err
	}
	return log, state, identity, nil
}

// loadOrCreateIdentity returns the stored identity. If there is none, it stores
// a new one, and for an initial member the initial configuration.
func loadOrCreateIdentity(c *Config, log *wal.WAL, state *wal.State) (wal.Identity, error) {
	identity, err := wal.LoadIdentity(c.FS, c.Dir)
	var missing *fault.NotFound
	switch {
	case err == nil && (identity.Group != c.Group || identity.Host != c.Self.Host):
		return identity, &fault.Precondition{
			What:   "start of replica " + raft.MemberID(c.Self.Host, c.Group),
			Reason: "the data directory belongs to " + identity.MemberID() + " of group " + identity.Group,
		}
	case err == nil || !errors.As(err, &missing):
		return identity, err
	case state.HardState.Term > 0 || len(state.Entries) > 0 || state.Snapshot.Index > 0:
		return identity, &fault.Corrupt{What: "data directory " + c.Dir, Reason: "there is a log but no identity file"}
	}
	identity = wal.Identity{Group: c.Group, Host: c.Self.Host}
	if !c.isInitialMember() {
		identity.Incarnation = c.NewIncarnation()
		return identity, wal.SaveIdentity(c.FS, c.Dir, identity)
	}
	// The configuration is stored before the identity, so that both are stored
	// again after a crash in between.
	identity.Incarnation = firstIncarnation
	initial := raft.SnapshotMeta{Config: c.initialConfiguration()}
	if err := log.SaveSnapshot(raft.Snapshot{Meta: initial}); err != nil {
		return identity, err
	}
	state.Snapshot = initial
	return identity, wal.SaveIdentity(c.FS, c.Dir, identity)
}
