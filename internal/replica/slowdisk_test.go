package replica

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against slow commits while the leader's disk is slow, for example
// when syncs take thirty times as long for some seconds.
func TestSlowDiskTransfersLeadership(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := slowDiskDetector{limit: 100 * time.Millisecond}
	sync := func(ms int, leads bool) bool {
		took := time.Duration(ms) * time.Millisecond
		now = now.Add(took)
		return s.recordSync(took, leads, now)
	}
	for range 3 {
		g.Expect(sync(270, true)).To(BeFalse())
	}
	g.Expect(sync(5, true)).To(BeFalse(), "a fast sync resets the count")
	for range 3 {
		g.Expect(sync(270, true)).To(BeFalse())
	}
	g.Expect(sync(270, true)).To(BeTrue())
	for range 20 {
		g.Expect(sync(270, true)).To(BeFalse(), "the next transfer waits for minTransferInterval")
	}
	now = now.Add(minTransferInterval)
	g.Expect(sync(270, true)).To(BeTrue())
	now = now.Add(minTransferInterval)
	for range 10 {
		g.Expect(sync(270, false)).To(BeFalse(), "a follower has no leadership to transfer")
	}
	off := slowDiskDetector{}
	for range 10 {
		g.Expect(off.recordSync(time.Minute, true, now)).To(BeFalse())
	}
}
