package leader

import (
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
