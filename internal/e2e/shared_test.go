package e2e_test

import (
	. "github.com/onsi/ginkgo/v2"
)

// The cases of this container restore the region to its initial state, so that
// they can share one region and need to start it only once.
var _ = Describe("A region under temporary faults", Ordered, ContinueOnFailure, func() {
	var r *region
	BeforeAll(func() { r = startRegion(nil) })
	shared := func() *region { return r }

	Context("answers", func() { answerCases(shared) })
	Context("silent links", func() { silenceCases(shared) })
	Context("isolation", func() { isolationCases(shared) })
	Context("idempotent requests", func() { idempotentCases(shared) })
	Context("configuration", func() { configurationCases(shared) })
})
