package e2e_test

import (
	. "github.com/onsi/ginkgo/v2"
)

// The cases of this container leave the region as they found it, so they
// share one and save its start.
var _ = Describe("A region under faults that pass", Ordered, ContinueOnFailure, func() {
	var r *region
	BeforeAll(func() { r = startRegion(nil) })
	shared := func() *region { return r }

	Context("answers", func() { answerCases(shared) })
	Context("silent links", func() { silenceCases(shared) })
	Context("isolation", func() { isolationCases(shared) })
	Context("idempotent requests", func() { retryCases(shared) })
	Context("configuration", func() { configurationCases(shared) })
})
