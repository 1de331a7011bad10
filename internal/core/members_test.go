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
	lost := start.Add(silentBeforeRemoval)

	It("removes a silent voter once another host has replaced it", func() {
		// Guards against a group of four voters, one of them permanently lost, that a
		// second lost disk leaves without a quorum.
		s := &membership{}
		s.observe([]string{"a"}, start)
		four := members("a", "b", "c", "d")
		Expect(s.nextChange(four, lost.Add(-1))).To(BeZero())
		Expect(s.nextChange(four, lost)).To(Equal(memberChange{remove: "a"}))
	})

	It("replaces a silent voter only by a standby replica that answers", func() {
		// Guards against a standby replica that is never promoted while the voter that
		// it should replace is silent.
		s := &membership{}
		s.observe([]string{"a"}, start)
		Expect(s.nextChange(members("a", "b", "c"), lost)).To(BeZero(), "no replica can replace it")
		Expect(s.nextChange(append(members("a", "b", "c"), standby("d", "")), lost)).To(Equal(memberChange{remove: "a"}))
		Expect(s.nextChange(append(members("b", "c"), standby("d", "")), lost)).To(Equal(memberChange{promote: "d"}))
		s.observe([]string{"a", "d"}, start)
		Expect(s.nextChange(append(members("a", "b", "c"), standby("d", "")), lost)).To(BeZero(), "the standby replica is silent as well")
	})

	It("keeps voters that answer again, and standby replicas", func() {
		// Guards against the removal of a host that only restarts.
		s := &membership{}
		s.observe([]string{"a"}, start)
		s.observe(nil, start.Add(time.Second))
		s.observe([]string{"a"}, start.Add(2*time.Second))
		Expect(s.nextChange(members("a", "b"), lost)).To(BeZero())
		Expect(s.nextChange(append(members("b", "c", "d"), standby("a", "")), start.Add(time.Hour))).To(BeZero())
	})

	It("promotes to an odd number of voters, five at most", func() {
		// Guards against an even number of voters, such as eight, that a network
		// partition splits into two halves without a quorum.
		s := &membership{}
		three := members("a", "b", "c")
		Expect(s.nextChange(append(three, standby("d", "")), start)).To(BeZero())
		Expect(s.nextChange(append(three, standby("d", ""), standby("e", "")), start)).To(Equal(memberChange{promote: "d"}))
		Expect(s.nextChange(append(members("a", "b", "c", "d"), standby("e", "")), start)).To(Equal(memberChange{promote: "e"}))
		five := members("a", "b", "c", "d", "e")
		Expect(s.nextChange(append(five, standby("f", ""), standby("g", ""), standby("h", "")), start)).To(BeZero())
	})

	It("spreads the voters over the data centres", func() {
		// Guards against the loss of the quorum with a single data centre.
		s := &membership{}
		three := members("a", "b", "c")
		for i, dc := range []string{"x", "x", "y"} {
			three[i].DataCentre = dc
		}
		all := append(three, standby("d", "x"), standby("e", "y"), standby("f", "z"))
		Expect(s.nextChange(all, start)).To(Equal(memberChange{promote: "f"}))
	})

	It("waits for a replica that is being promoted, and removes it if it stays silent", func() {
		// Guards against a replica that is lost while it catches up and then blocks
		// all other membership changes for ever.
		s := &membership{}
		all := append(members("a", "b", "c"), replica.Member{ID: "d", Host: "d", Learner: true}, standby("e", ""))
		Expect(s.nextChange(all, start)).To(BeZero())
		s.observe([]string{"d"}, start)
		Expect(s.nextChange(all, lost)).To(Equal(memberChange{remove: "d"}))
	})
})
