package customer_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
)

func TestCustomer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "customer")
}

// taken returns how many of n jobs at a time are owed.
func taken(a *customer.Allowance, perSecond float64, nowMS int64, n int) (owed int) {
	for range n {
		if a.Take(perSecond, nowMS) {
			owed++
		}
	}
	return owed
}

const startMS = 1_800_000_000_000

var _ = Describe("an allowance", func() {
	DescribeTable("owes the rate, and no more for a customer's past", func(perSecond float64, first, perTenSeconds int) {
		// Guards against a customer that is owed a burst for what it has not used, and against
		// one that gets less than its rate because it sends at any moment.
		var a customer.Allowance
		Expect(taken(&a, perSecond, startMS, 10_000)).To(Equal(first))
		owed := 0
		for ms := int64(10); ms <= 10_000; ms += 10 {
			owed += taken(&a, perSecond, startMS+ms, 10)
		}
		Expect(owed).To(BeNumerically("~", perTenSeconds, 1))
		Expect(taken(&a, perSecond, startMS+86_400_000, 10_000)).To(Equal(first), "after a day")
	},
		Entry("seven a second", 7.0, 7, 70),
		Entry("one a second", 1.0, 1, 10),
		Entry("one in four seconds", 0.25, 1, 2),
		Entry("two and a half a second", 2.5, 2, 25),
	)

	It("does not count what is beyond it", func() {
		// Guards against a customer whose excess delays the jobs that it is owed.
		var a, b customer.Allowance
		Expect(taken(&a, 2, startMS, 2)).To(Equal(2))
		Expect(taken(&b, 2, startMS, 100)).To(Equal(2))
		Expect(taken(&a, 2, startMS+500, 1)).To(Equal(1))
		Expect(taken(&b, 2, startMS+500, 1)).To(Equal(1))
	})

	It("owes nothing more while a clock is behind", func() {
		// Guards against a new leader whose clock is behind that of the former one, and that
		// marks everything, or nothing, for as long as the difference.
		var a customer.Allowance
		Expect(taken(&a, 2, startMS, 2)).To(Equal(2))
		Expect(taken(&a, 2, startMS-5000, 2)).To(BeZero())
		Expect(taken(&a, 2, startMS+500, 2)).To(Equal(1), "from the later of the two times on")
	})

	DescribeTable("takes extreme rates", func(perSecond float64, least, most int) {
		// Guards against a number that stays infinite, or not a number, in the replicated state.
		var a customer.Allowance
		for _, ms := range []int64{0, startMS, startMS + 1, math.MaxInt64} {
			Expect(taken(&a, perSecond, ms, 100)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
			Expect(math.IsNaN(a.Taken) || math.IsInf(a.Taken, 0)).To(BeFalse())
			Expect(a.Taken).To(BeNumerically(">=", 0))
		}
	},
		Entry("nothing", 0.0, 0, 1),
		Entry("next to nothing", 1e-300, 0, 1),
		Entry("the highest weight", 1e9, 100, 100),
	)

	It("follows a rate that moves", func() {
		// Guards against a customer that is refused for long after its weight was lowered.
		var a customer.Allowance
		Expect(taken(&a, 100, startMS, 1000)).To(Equal(100))
		Expect(taken(&a, 2, startMS+10, 10)).To(BeZero())
		Expect(taken(&a, 2, startMS+1010, 10)).To(Equal(2), "it is owed the new rate")
		Expect(taken(&a, 100, startMS+2010, 1000)).To(Equal(100), "raised again")
	})
})

var _ = Describe("a key", func() {
	It("is identified by a digest of fixed length", func() {
		// Guards against keys in the state, and against a missing key that equals one.
		digests := map[customer.KeyDigest]bool{}
		for _, key := range []string{"a", "A", "a ", "key-1", "key-2"} {
			d := customer.Digest(key)
			Expect(d).To(HaveLen(64))
			Expect(digests).NotTo(HaveKey(d))
			digests[d] = true
		}
		Expect(customer.Digest("")).To(Equal(customer.KeyDigest("")))
	})
})

var _ = Describe("a job that never fits", func() {
	It("is refused with a stable code", func() {
		// Guards against a refusal that operators cannot count.
		err := &customer.NeverFits{Customer: "ann", What: "gang of step 2"}
		Expect(fault.CodeOf(err)).To(Equal(fault.CodeLimitExceeded))
		Expect(err).To(MatchError("gang of step 2 exceeds the limit of customer ann"))
	})
})
