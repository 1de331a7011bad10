package replica

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// replicaMetrics holds the metrics of one replica.
type replicaMetrics struct {
	proposals          *metrics.Counter
	appliedEntries     *metrics.Counter
	leaderChanges      *metrics.Counter
	droppedMessages    *metrics.Counter
	installedSnapshots *metrics.Counter
	refusedTimestamps  *metrics.Counter
	sentBytes          *metrics.Counter
	logBytes           *metrics.Counter
	snapshotBytes      *metrics.Gauge
	commitSeconds      *metrics.Histogram
	syncSeconds        *metrics.Histogram
}

func newMetrics(c *Config) *replicaMetrics {
	name := func(metric string) string {
		return fmt.Sprintf("agatehaven_replica_%s{group=%q,host=%q}", metric, c.Group, c.Self.Host)
	}
	set := c.Metrics
	return &replicaMetrics{
		proposals:          set.GetOrCreateCounter(name("proposals_total")),
		appliedEntries:     set.GetOrCreateCounter(name("applied_entries_total")),
		leaderChanges:      set.GetOrCreateCounter(name("role_changes_total")),
		droppedMessages:    set.GetOrCreateCounter(name("dropped_messages_total")),
		installedSnapshots: set.GetOrCreateCounter(name("installed_snapshots_total")),
		refusedTimestamps:  set.GetOrCreateCounter(name("refused_times_total")),
		sentBytes:          set.GetOrCreateCounter(name("sent_bytes_total")),
		logBytes:           set.GetOrCreateCounter(name("log_bytes_total")),
		snapshotBytes:      set.GetOrCreateGauge(name("snapshot_bytes"), nil),
		commitSeconds:      set.GetOrCreateHistogram(name("commit_seconds")),
		syncSeconds:        set.GetOrCreateHistogram(name("sync_seconds")),
	}
}
