package schedule_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

var _ = Describe("Room", func() {
	It("has room for each task once, on hosts of the pool before those that can join it", func() {
		// Guards against two tasks that leave their hosts for the same room.
		s := step(4, 3000)
		s.LongLived, s.MaxPerHost = true, 1
		j := jobs(job("j", "/urgent/", s))[0]
		small, fits, joins := host("a", "", 2000), host("b", "", 9000), host("c", "", 4000)
		r := &schedule.Room{Hosts: []*schedule.Host{small, fits}, Joining: func() []*schedule.Host { return []*schedule.Host{joins} }}
		Expect(r.Place(j, &j.Tasks[0])).To(Equal(fits))
		Expect(r.Fits(j, &j.Tasks[1])).To(BeTrue())
		Expect(r.Place(j, &j.Tasks[1])).To(Equal(joins), "the step has one task per host")
		Expect(r.Place(j, &j.Tasks[2])).To(BeNil())
		r.Remove(fits, j, &j.Tasks[0])
		Expect(r.Place(j, &j.Tasks[2])).To(Equal(fits))
		r.Remove(fits, j, &j.Tasks[2])
		r.Withdraw(fits.Target)
		Expect(r.Place(j, &j.Tasks[3])).To(BeNil())
	})

	It("has no room on hosts that the policy denies", func() {
		s := step(1, 100)
		s.LongLived = true
		j := jobs(job("j", "/policy/", s))[0]
		r := &schedule.Room{
			Hosts:  []*schedule.Host{host("a", "", 4000)},
			Denied: func(*work.Job, *work.Task, *work.Target) bool { return true },
		}
		Expect(r.Fits(j, &j.Tasks[0])).To(BeFalse())
	})
})
