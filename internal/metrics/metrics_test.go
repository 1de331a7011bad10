package metrics_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/metrics"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

var _ = Describe("Handler", func() {
	It("writes the metrics of the process", func() {
		// Guards against a page that lacks the metrics of the process itself.
		w := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		Expect(w.Body.String()).To(ContainSubstring("process_resident_memory_bytes "))
	})
})
