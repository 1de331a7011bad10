package e2e_test

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/load"
)

var _ = Describe("The request path", func() {
	It("answers every kind of request alike through every entry host", func() {
		// Guards against a job kind, key format or entry host that is not served,
		// and against a second run for a repeated key.
		r := startRegion(nil)
		Expect(load.Sample(context.Background(), r.client, io.Discard)).To(BeZero())
		seen := map[string]int{}
		for _, f := range r.fleets {
			for _, run := range f.Runs() {
				seen[run.Request]++
			}
		}
		Expect(seen).To(HaveLen(2 * len(load.SampleKinds)))
		for key, n := range seen {
			Expect(n).To(Equal(1), key)
		}
	})
})
