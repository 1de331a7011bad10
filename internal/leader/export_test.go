package leader

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// CustomerMetrics returns the metrics of customers.
func CustomerMetrics(customers []CustomerStatus) string {
	var out strings.Builder
	writeCustomerMetrics(&out, customers)
	return out.String()
}

// ProcessMetrics returns all metrics of this process.
func ProcessMetrics() string {
	var out strings.Builder
	metrics.WritePrometheus(&out, false)
	return out.String()
}

// TrackedTargets returns the number of targets that the leader keeps a status of.
func (l *Leader) TrackedTargets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.statuses)
}

// Decided returns what a leader has learned, counted and decided beside the log, as text.
func Decided(l *Leader) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Maps are printed in the order of their keys. Sessions and hosts are compared by what they
	// count, since their values hold pointers.
	hosts := map[string]host{}
	for name, h := range l.fleet.hosts {
		hosts[name] = *h
	}
	refused := map[string]Refusals{}
	for name, r := range l.admissions.refused {
		refused[name] = *r
	}
	permits := map[string]permit{}
	for step, p := range l.permits.steps {
		permits[fmt.Sprint(step)] = *p
	}
	orders := 0
	for _, s := range l.sessions {
		orders += len(s.orders)
	}
	return fmt.Sprint(l.fences, l.estimates, l.arrivals, l.missingHosts, l.starved, l.beginsReported, l.interference, l.waitingSteps,
		l.admissions.backlogs, l.admissions.pending, refused, permits, len(l.permits.queries.Items()), len(l.sessions), orders,
		len(l.statuses), hosts, l.fleet.away, l.fleet.awayAt, l.fleet.attainableCPU, l.fleet.supplies, l.fleet.tokensIssued, l.places, l.uploads.Load())
}
