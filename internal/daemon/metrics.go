package daemon

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/replica"
)

// registerMetrics adds this daemon's gauges to the set. The state of a data
// centre is reported by the leader of its group alone, so that sums over all
// processes count it once.
func (d *Daemon) registerMetrics(set *metrics.Set) {
	set.NewGauge("agatehaven_records_in_force_revision", func() float64 {
		if records, _ := d.inForce.get(); records != nil {
			return float64(records.Revision)
		}
		return 0
	})
	set.NewGauge("agatehaven_ready", func() float64 {
		if d.Ready() == nil {
			return 1
		}
		return 0
	})
	set.NewGauge("agatehaven_clock_skewed", func() float64 {
		if d.hlc.Skew() != nil {
			return 1
		}
		return 0
	})
	set.NewGauge("agatehaven_attempts_in_hand", func() float64 { return float64(d.dispatcher.ActiveAttempts()) })
	set.NewGauge("agatehaven_events_dropped_total", func() float64 { return float64(d.events.Dropped()) })
	for name, n := range d.dataCentres {
		n.registerMetrics(set, name)
	}
}

func (n *dataCentreReplica) registerMetrics(set *metrics.Set, name string) {
	gauge := func(metric string, count func(v datacentre.View) int) {
		set.NewGauge(fmt.Sprintf("%s{data_centre=%q}", metric, name), func() float64 {
			if n.group.Status().Role != replica.RoleLeader {
				return 0
			}
			total := 0
			n.stateMachine.View(func(v datacentre.View) { total = count(v) })
			return float64(total)
		})
	}
	gauge("agatehaven_requests_queued", func(v datacentre.View) int { return sumPools(v, v.Requests.QueuedCount) })
	gauge("agatehaven_requests_running", func(v datacentre.View) int { return sumPools(v, v.Requests.RunningCount) })
	gauge("agatehaven_requests_parked", func(v datacentre.View) int { return len(v.Requests.Parked()) })
	gauge("agatehaven_retained_keys", func(v datacentre.View) int { return v.Requests.KeyCount() })
	gauge("agatehaven_hosts", func(v datacentre.View) int { return len(v.Hosts.Hosts()) })
	gauge("agatehaven_hosts_available", func(v datacentre.View) int { return sumPools(v, v.Hosts.Available) })
}

func sumPools(v datacentre.View, count func(pool string) int) int {
	n := 0
	for pool := range v.Catalogue.Pools {
		n += count(pool)
	}
	return n
}
