package admission_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/fault"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// pool returns a pool that takes these times for its work.
func pool(inTime, counting time.Duration, refusesHopeless bool) admission.Pool {
	return admission.Pool{InTime: inTime, Counting: counting, RefusesHopeless: refusesHopeless}
}

// job returns a job whose longest chain takes a second and that has two more.
func job(id string, beyond bool) admission.Job {
	return admission.Job{ID: id, Chain: time.Second, Objective: 3 * time.Second, BeyondAllowance: beyond}
}

// refusal returns the refusal of a job, nil if it is taken.
func refusal(p admission.Pool, j admission.Job) *admission.Refused {
	GinkgoHelper()
	err := admission.Check(p, j)
	if err == nil {
		return nil
	}
	var refused *admission.Refused
	Expect(errors.As(err, &refused)).To(BeTrue())
	return refused
}

// backlogs are those that a pool has from idle to hopelessly overloaded.
func backlogs() (out []time.Duration) {
	for d := time.Duration(0); d <= 40*time.Second; d += 50 * time.Millisecond {
		out = append(out, d)
	}
	return out
}

var _ = Describe("a pool", func() {
	It("refuses no job for which it has room in time", func() {
		// Guards against hosts that idle while callers are refused, whoever they are.
		for _, backlog := range backlogs() {
			for _, beyond := range []bool{false, true} {
				refused := refusal(pool(backlog, backlog, true), job("j", beyond))
				if backlog <= 2*time.Second {
					Expect(refused).To(BeNil(), "%s", backlog)
				}
			}
		}
	})

	DescribeTable("refuses nobody while it is idle or soon will be", func(objective time.Duration) {
		// Guards against a queue whose jobs are all refused, beside idle hosts, because their
		// objective is shorter than their work takes, or is not set.
		for _, beyond := range []bool{false, true} {
			for _, backlog := range []time.Duration{0, 10 * time.Millisecond, 900 * time.Millisecond} {
				j := admission.Job{ID: "j", Chain: 5 * time.Second, Objective: objective, BeyondAllowance: beyond}
				Expect(refusal(pool(backlog, backlog, true), j)).To(BeNil(), "%s", backlog)
			}
		}
	},
		Entry("shorter than the work", 4*time.Second),
		Entry("not set", time.Duration(0)),
		Entry("negative", -time.Second),
	)

	It("refuses first what its customers are not owed", func() {
		// Guards against customers that pay for the jobs that others send beyond their rate:
		// one customer sends seven times its usual, and the pool fills up.
		onlyBeyond := 0
		for _, backlog := range backlogs() {
			owed, beyond := refusal(pool(backlog, backlog, true), job("j", false)), refusal(pool(backlog, backlog, true), job("j", true))
			if owed != nil {
				Expect(beyond).NotTo(BeNil(), "%s", backlog)
			}
			if beyond != nil && owed == nil {
				Expect(beyond.Reason).To(Equal(admission.ReasonBeyondAllowance))
				onlyBeyond++
			}
		}
		Expect(onlyBeyond).To(BeNumerically(">", 100), "of %d backlogs", len(backlogs()))
	})

	It("refuses what it owes only where this is asked for, and only if the result would not count", func() {
		// Guards against callers of the earlier deployments who are refused, and against jobs
		// that wait in vain.
		for _, backlog := range backlogs() {
			Expect(refusal(pool(backlog, backlog, false), job("j", false))).To(BeNil())
			refused := refusal(pool(backlog, backlog, true), job("j", false))
			Expect(refused != nil).To(Equal(backlog+time.Second > admission.LateFactor*3*time.Second), "%s", backlog)
			if refused != nil {
				Expect(refused.Reason).To(Equal(admission.ReasonHopeless))
			}
		}
		Expect(refusal(pool(3*time.Second, time.Hour, true), job("j", false))).NotTo(BeNil(), "jobs that will be late are before it")
	})
})

var _ = Describe("a refused caller", func() {
	It("is told a longer delay the longer the backlog is", func() {
		// Guards against callers who return to a pool that has only filled up.
		last := time.Duration(0)
		for _, backlog := range backlogs() {
			if refused := refusal(pool(backlog, backlog, true), job("j", true)); refused != nil {
				Expect(refused.RetryAfter).To(BeNumerically(">=", last))
				last = refused.RetryAfter
			}
		}
		Expect(last).To(BeNumerically(">", 20*time.Second))
	})

	It("finds room when it returns, if nothing else came", func() {
		// Guards against a caller that returns as told and is refused again, worse off than
		// one that came later.
		for _, backlog := range backlogs() {
			for id := range 20 {
				j := job(strconv.Itoa(id), true)
				refused := refusal(pool(backlog, backlog, true), j)
				if refused == nil || backlog > 30*time.Second {
					continue
				}
				left := max(0, backlog-refused.RetryAfter)
				Expect(refusal(pool(left, left, true), j)).To(BeNil(), "%s after %s", backlog, refused.RetryAfter)
			}
		}
	})

	It("returns at another time than the others of its burst, and is told the same if it asks again", func() {
		// Guards against a burst of thousands of callers that returns as one.
		perSecond := map[time.Duration]int{}
		const callers = 1000
		r := rand.New(rand.NewPCG(1, 2))
		for range callers {
			j := job(fmt.Sprintf("%016x", r.Uint64()), true)
			p := pool(14*time.Second, 14*time.Second, false)
			refused := refusal(p, j)
			Expect(refusal(p, j)).To(Equal(refused))
			Expect(refused.RetryAfter).To(And(BeNumerically(">=", 12*time.Second), BeNumerically("<=", 18*time.Second)))
			perSecond[refused.RetryAfter.Truncate(time.Second)]++
		}
		for second, n := range perSecond {
			Expect(n).To(BeNumerically("<", callers/4), "%s", second)
		}
	})

	DescribeTable("is told a delay of whole seconds that a header can hold", func(p admission.Pool, j admission.Job) {
		// Guards against delays that overflow, or that ask callers to return at once.
		j.ID, j.BeyondAllowance = "j", true
		refused := refusal(p, j)
		Expect(refused).NotTo(BeNil())
		Expect(refused.RetryAfter).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 30*time.Second)))
		Expect(fault.CodeOf(refused)).To(Equal(fault.CodeLimitExceeded))
		Expect(refused.Error()).To(ContainSubstring("retry after"))
	},
		Entry("barely missed", pool(2010*time.Millisecond, 0, false), job("j", true)),
		Entry("the longest backlog", pool(math.MaxInt64, math.MaxInt64, true), job("j", true)),
		Entry("the longest work", pool(time.Minute, time.Minute, true), admission.Job{Chain: 1000 * time.Hour, Objective: time.Second}),
		Entry("the longest objective that is missed", pool(24*time.Hour, 24*time.Hour, true), admission.Job{Chain: 30 * time.Minute, Objective: time.Hour}),
	)
})
