package metrics_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/metrics"
)

// Guards against a page without the figures of the process itself.
func TestHandlerWritesProcessMetrics(t *testing.T) {
	g := NewWithT(t)
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	g.Expect(w.Body.String()).To(ContainSubstring("process_resident_memory_bytes "))
}
