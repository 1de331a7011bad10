package core

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("leaving targets", func() {
	It("are confirmed through any running host", func() {
		// Guards against a leave that is never confirmed, since the target is redirected
		// to a former leader that is frozen.
		processes := startCore()
		for i, p := range processes {
			a := &work.Announcement{Sequence: 1, Target: work.Target{ID: fmt.Sprint("t", i), Born: 1, Draining: true}}
			Expect(p.HandleAnnouncement(context.Background(), a)).To(Succeed())
			Expect(leading(processes).stateMachine.IsLeaving(a.Target.Key())).To(BeTrue())
			Expect(p.HandleLeave(context.Background(), a.Target.ID)).To(Succeed())
		}
		former := leading(processes)
		repeated := &work.Announcement{Sequence: 2, Target: work.Target{ID: "t9", Born: 1, Draining: true}}
		Expect(former.HandleAnnouncement(context.Background(), repeated)).To(Succeed())
		other := processes[0]
		if other == former {
			other = processes[1]
		}
		Eventually(func() bool { return other.stateMachine.IsLeaving(repeated.Target.Key()) }).Should(BeTrue())
		for _, p := range processes {
			if p != other {
				p.stop()
			}
		}
		repeated.Sequence++
		Expect(other.HandleAnnouncement(context.Background(), repeated)).To(Succeed())
		repeated.Target.Draining = false
		Expect(other.HandleAnnouncement(context.Background(), repeated)).NotTo(Succeed())
	})
})
