package core

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/replica"
)

func TestCore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "core")
}

var _ = Describe("retirement", func() {
	start := time.Unix(1000, 0)
	members := func(ids ...string) (out []replica.Member) {
		for _, id := range ids {
			out = append(out, replica.Member{ID: id, Host: id})
		}
		return out
	}

	It("removes a silent voter once another host has taken its place", func() {
		// Guards against a group of four voters, one gone for good, that a
		// second lost disk leaves without a quorum.
		r := &retirement{}
		r.observe([]string{"a"}, start)
		four := members("a", "b", "c", "d")
		Expect(r.choose(four, start.Add(silentForRetirement-1))).To(BeEmpty())
		Expect(r.choose(four, start.Add(silentForRetirement))).To(Equal("a"))
	})

	It("removes a silent voter for a host that waits to join", func() {
		// Guards against a successor that is refused while its predecessor is
		// silent.
		r := &retirement{}
		r.observe([]string{"a"}, start)
		now := start.Add(silentForRetirement)
		three := members("a", "b", "c")
		Expect(r.choose(three, now)).To(BeEmpty(), "nothing would take its place")
		r.joining = now
		Expect(r.choose(three, now)).To(Equal("a"))
		Expect(r.choose(three, now.Add(joinRemembered))).To(BeEmpty())
	})

	It("keeps voters that answer again, and learners", func() {
		// Guards against the removal of a host that only restarted.
		r := &retirement{}
		r.observe([]string{"a"}, start)
		r.observe(nil, start.Add(time.Second))
		r.observe([]string{"a"}, start.Add(2*time.Second))
		Expect(r.choose(members("a", "b"), start.Add(silentForRetirement))).To(BeEmpty())
		learner := []replica.Member{{ID: "a", Host: "a", Learner: true}, {ID: "b", Host: "b"}, {ID: "c", Host: "c"}}
		Expect(r.choose(learner, start.Add(time.Hour))).To(BeEmpty())
	})
})
