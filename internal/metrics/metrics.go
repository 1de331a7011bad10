// Package metrics serves the metrics of a process.
package metrics

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Handler writes all registered metrics and those of the process (CPU,
// memory, file descriptors, garbage collection) in Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		metrics.WritePrometheus(w, true)
	})
}
