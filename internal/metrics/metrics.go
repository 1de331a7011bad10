// Package metrics serves the metrics of a process over HTTP.
package metrics

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Handler returns an HTTP handler that writes all registered metrics and those
// of the Go runtime and process (CPU, memory, file descriptors, garbage
// collection) in Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		metrics.WritePrometheus(w, true)
	})
}
