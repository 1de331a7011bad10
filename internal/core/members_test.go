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

var _ = Describe("membership", func() {
	start := time.Unix(1000, 0)
	members := func(ids ...string) (out []replica.Member) {
		for _, id := range ids {
			out = append(out, replica.Member{ID: id, Host: id})
		}
		return out
	}
	standby := func(id, dataCentre string) replica.Member {
		return replica.Member{ID: id, Host: id, Learner: true, Standby: true, DataCentre: dataCentre}
	}
	lost := start.Add(silentForRetirement)

	It("removes a silent voter once another host has taken its place", func() {
		// Guards against a group of four voters, one gone for good, that a
		// second lost disk leaves without a quorum.
		s := &membership{}
		s.observe([]string{"a"}, start)
		four := members("a", "b", "c", "d")
		Expect(s.choose(four, lost.Add(-1))).To(BeZero())
		Expect(s.choose(four, lost)).To(Equal(memberChange{remove: "a"}))
	})

	It("replaces a silent voter by a standby replica, and by nothing else", func() {
		// Guards against a successor that never votes while its predecessor is
		// silent.
		s := &membership{}
		s.observe([]string{"a"}, start)
		Expect(s.choose(members("a", "b", "c"), lost)).To(BeZero(), "nothing would take its place")
		Expect(s.choose(append(members("a", "b", "c"), standby("d", "")), lost)).To(Equal(memberChange{remove: "a"}))
		Expect(s.choose(append(members("b", "c"), standby("d", "")), lost)).To(Equal(memberChange{promote: "d"}))
		s.observe([]string{"a", "d"}, start)
		Expect(s.choose(append(members("a", "b", "c"), standby("d", "")), lost)).To(BeZero(), "the standby replica is silent as well")
	})

	It("keeps voters that answer again, and standby replicas", func() {
		// Guards against the removal of a host that only restarted.
		s := &membership{}
		s.observe([]string{"a"}, start)
		s.observe(nil, start.Add(time.Second))
		s.observe([]string{"a"}, start.Add(2*time.Second))
		Expect(s.choose(members("a", "b"), lost)).To(BeZero())
		Expect(s.choose(append(members("b", "c", "d"), standby("a", "")), start.Add(time.Hour))).To(BeZero())
	})

	It("lets an odd number vote, five at most", func() {
		// Guards against eight voters that a cut in two leaves without a quorum
		// on either side.
		s := &membership{}
		three := members("a", "b", "c")
		Expect(s.choose(append(three, standby("d", "")), start)).To(BeZero())
		Expect(s.choose(append(three, standby("d", ""), standby("e", "")), start)).To(Equal(memberChange{promote: "d"}))
		Expect(s.choose(append(members("a", "b", "c", "d"), standby("e", "")), start)).To(Equal(memberChange{promote: "e"}))
		five := members("a", "b", "c", "d", "e")
		Expect(s.choose(append(five, standby("f", ""), standby("g", ""), standby("h", "")), start)).To(BeZero())
	})

	It("spreads the voters over the data centres", func() {
		// Guards against a lost data centre that takes the quorum with it.
		s := &membership{}
		three := members("a", "b", "c")
		for i, dc := range []string{"x", "x", "y"} {
			three[i].DataCentre = dc
		}
		all := append(three, standby("d", "x"), standby("e", "y"), standby("f", "z"))
		Expect(s.choose(all, start)).To(Equal(memberChange{promote: "f"}))
	})

	It("waits for a replica that is to vote, and removes it once it is silent", func() {
		// Guards against a host that is lost while it catches up, which would
		// block all other changes for ever.
		s := &membership{}
		all := append(members("a", "b", "c"), replica.Member{ID: "d", Host: "d", Learner: true}, standby("e", ""))
		Expect(s.choose(all, start)).To(BeZero())
		s.observe([]string{"d"}, start)
		Expect(s.choose(all, lost)).To(Equal(memberChange{remove: "d"}))
	})
})
