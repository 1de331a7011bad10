package replica

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the metrics of one replica.
type meters struct {
	proposals      *metrics.Counter
	appliedEntries *metrics.Counter
	leaderChanges  *metrics.Counter
	dropped        *metrics.Counter
	installed      *metrics.Counter
	refusedTimes   *metrics.Counter
	sentBytes      *metrics.Counter
	logBytes       *metrics.Counter
	snapshotBytes  *metrics.Gauge
	commitSeconds  *metrics.Histogram
	syncSeconds    *metrics.Histogram
}

func newMeters(c *Config) *meters {
	name := func(metric string) string {
		return fmt.Sprintf("agatehaven_replica_%s{group=%q,host=%q}", metric, c.Group, c.Self.Host)
	}
	set := c.Metrics
	return &meters{
		proposals:      set.GetOrCreateCounter(name("proposals_total")),
		appliedEntries: set.GetOrCreateCounter(name("applied_entries_total")),
		leaderChanges:  set.GetOrCreateCounter(name("role_changes_total")),
		dropped:        set.GetOrCreateCounter(name("dropped_messages_total")),
		installed:      set.GetOrCreateCounter(name("installed_snapshots_total")),
		refusedTimes:   set.GetOrCreateCounter(name("refused_times_total")),
		sentBytes:      set.GetOrCreateCounter(name("sent_bytes_total")),
		logBytes:       set.GetOrCreateCounter(name("log_bytes_total")),
		snapshotBytes:  set.GetOrCreateGauge(name("snapshot_bytes"), nil),
		commitSeconds:  set.GetOrCreateHistogram(name("commit_seconds")),
		syncSeconds:    set.GetOrCreateHistogram(name("sync_seconds")),
	}
}
