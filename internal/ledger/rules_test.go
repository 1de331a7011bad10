package ledger_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
)

var _ = Describe("claims", func() {
	It("refuses what exceeds a limit and leaves no trace of it", func() {
		// Guards against a full table that keeps growing, and against a refused
		// request that runs.
		limits := ledger.DefaultLimits()
		limits.MaxRequests, limits.MaxQueuedPerPool, limits.MaxPayloadBytes = 4, 3, 4
		f := newFixture(limits)
		big := f.apply(ledger.Command{Claim: &ledger.Claim{Key: "h", Kind: "order", Payload: make([]byte, 5)}})
		Expect(fault.CodeOf(big.Err)).To(Equal(fault.CodeLimitExceeded), "payload")
		Expect(f.claim("a", "order", "small", 0).Err).NotTo(HaveOccurred())
		Expect(f.claim("b", "order", "small", 0).Err).NotTo(HaveOccurred())
		Expect(fault.CodeOf(f.claim("c", "order", "small", 0).Err)).To(Equal(fault.CodeLimitExceeded), "team quota")
		Expect(f.claim("d", "order", "shop", 0).Err).NotTo(HaveOccurred())
		Expect(fault.CodeOf(f.claim("e", "order", "shop", 0).Err)).To(Equal(fault.CodeLimitExceeded), "pool queue")
		Expect(f.dispatch("d", 1, "h1")).To(BeTrue())
		Expect(f.claim("e", "order", "shop", 0).Err).NotTo(HaveOccurred())
		Expect(f.dispatch("a", 1, "h1")).To(BeTrue())
		Expect(fault.CodeOf(f.claim("g", "order", "shop", 0).Err)).To(Equal(fault.CodeLimitExceeded), "ledger")
		Expect(f.state.Recent(9)).To(HaveLen(4))
	})

	It("refuses unknown kinds and past deadlines", func() {
		// Guards against requests that no pool could ever run.
		f := newFixture(ledger.DefaultLimits())
		Expect(fault.CodeOf(f.claim("a", "nothing", "shop", 0).Err)).To(Equal(fault.CodeNotFound))
		late := f.apply(ledger.Command{Claim: &ledger.Claim{Key: "b", Kind: "order", Deadline: f.now}})
		Expect(fault.CodeOf(late.Err)).To(Equal(fault.CodeInvalid))
	})

	It("does not confuse bodies whose concatenation is equal", func() {
		// Guards against a reused key that returns another request's answer.
		f := newFixture(ledger.DefaultLimits())
		Expect(f.apply(ledger.Command{Claim: &ledger.Claim{Key: "a", Kind: "order", Team: "t", Payload: []byte("xy")}}).Err).NotTo(HaveOccurred())
		other := f.apply(ledger.Command{Claim: &ledger.Claim{Key: "a", Kind: "order", Team: "tx", Payload: []byte("y")}})
		Expect(fault.CodeOf(other.Err)).To(Equal(fault.CodeKeyReused))
	})
})

var _ = Describe("dispatch on apply", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture(ledger.DefaultLimits())
		f.claim("a", "order", "shop", time.Minute)
	})
	It("skips decisions without an owner", func() {
		// Guards against an attempt that nobody starts and nobody reports.
		item := ledger.DispatchItem{Key: "a", Attempt: 1, Host: "h1"}
		Expect(f.apply(ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{item}}}).Dispatched).To(BeEmpty())
	})

	It("skips requests past their deadline or before their backoff ends", func() {
		// Guards against work whose caller was already told not_run.
		f.claim("p", "proof", "shop", time.Hour)
		f.dispatch("p", 1, "h1")
		f.report("p", 1, model.AttemptFailed, "")
		f.apply(ledger.Command{Retry: &ledger.Retry{Key: "p", Attempt: 1, NotBefore: f.now.Add(2 * time.Minute)}})
		Expect(f.dispatch("p", 2, "h1")).To(BeFalse())
		f.advance(time.Minute)
		Expect(f.dispatch("a", 1, "h1")).To(BeFalse())
		f.advance(time.Minute)
		Expect(f.dispatch("p", 2, "h1")).To(BeTrue())
	})

	It("skips requests that do not fit the free CPU, memory or accelerators", func() {
		// Guards against an overcommitted host. Learned sizes replace the
		// declared ones.
		f.claim("big", "huge", "shop", 0)
		f.claim("big2", "huge", "shop", 0)
		Expect(f.dispatch("big", 1, "h1")).To(BeTrue())
		Expect(f.dispatch("big2", 1, "h1")).To(BeFalse())
		Expect(f.dispatchItem(ledger.DispatchItem{Key: "big2", Attempt: 1, Host: "h1", CPUMillis: 1000})).To(BeFalse(), "memory")
		Expect(f.dispatchItem(ledger.DispatchItem{Key: "big2", Attempt: 1, Host: "h1", MemoryMB: 1000})).To(BeFalse(), "CPU")
		Expect(f.dispatchItem(ledger.DispatchItem{Key: "big2", Attempt: 1, Host: "h1", CPUMillis: 1000, MemoryMB: 1000})).To(BeTrue())
		cpu, memory, _ := f.state.Reserved("h1")
		Expect([]int{cpu, memory}).To(Equal([]int{6000, 6000}))
		f.claim("x1", "render", "shop", 0)
		f.claim("x2", "render", "shop", 0)
		Expect(f.dispatch("x1", 1, "h2")).To(BeTrue())
		Expect(f.dispatch("x2", 1, "h2")).To(BeFalse(), "one accelerator")
	})
})

var _ = Describe("outcomes", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture(ledger.DefaultLimits()) })
	start := func(key, kind string) {
		f.claim(key, kind, "shop", time.Minute)
		Expect(f.dispatch(key, 1, "h1")).To(BeTrue())
	}

	It("does not pass on an answer above the limit", func() {
		// Guards against a truncated answer, and against answers that fill the
		// memory.
		limits := ledger.DefaultLimits()
		limits.MaxAnswerBytes = 4
		f = newFixture(limits)
		start("a", "proof")
		f.report("a", 1, model.AttemptSucceeded, "12345")
		Expect(f.outcome("a")).To(Equal("finished done false"))
		Expect(f.get("a").Answer).To(BeNil())
		Expect(f.get("a").Reason).To(Equal("answer of 5 bytes exceeds the limit of 4 bytes"))
	})

	It("removes a cancelled request from the queue at once", func() {
		// Guards against queues that stay full after a burst of cancellations.
		limits := ledger.DefaultLimits()
		limits.MaxQueuedPerPool = 1
		f = newFixture(limits)
		f.claim("a", "order", "shop", 0)
		Expect(f.claim("b", "order", "shop", 0).Err).To(HaveOccurred())
		f.cancel("a")
		Expect(f.claim("b", "order", "shop", 0).Err).NotTo(HaveOccurred())
		Expect(f.state.QueuedCount("plot")).To(Equal(1))
	})
})

var _ = Describe("retries", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture(ledger.DefaultLimits()) })

	It("refuses a second attempt even if the state wrongly expects one", func() {
		// Guards against running an order twice after a snapshot written by a
		// version with other rules.
		for _, requeue := range []bool{false, true} {
			f.claim("a", "proof", "shop", 0)
			f.dispatch("a", 1, "h1")
			f.report("a", 1, model.AttemptFailed, "")
			if requeue {
				Expect(f.retry("a", 1, false)).To(Succeed())
			}
			data, err := f.state.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			data = bytes.Replace(data, []byte("\x07\xf5\x08"), []byte("\x07\xf4\x08"), 1) // idempotent: false
			Expect(f.state.Restore(data)).To(Succeed())
			Expect(f.get("a").Idempotent).To(BeFalse())
			Expect(f.retry("a", 1, false)).NotTo(Succeed())
			Expect(f.dispatch("a", 2, "h2")).To(BeFalse())
			f = newFixture(ledger.DefaultLimits())
		}
	})

	It("backs off and stays bounded when targets refuse every start", func() {
		// Guards against a request whose list of attempts grows, and against a
		// tight dispatch loop.
		f.claim("a", "order", "shop", 0)
		var waited time.Duration
		for n := 1; n <= 50; n++ {
			Expect(f.dispatch("a", n, "h1")).To(BeTrue())
			f.report("a", n, model.AttemptNotBegun, "")
			wait := f.get("a").NotBefore.Sub(f.now)
			waited += wait
			f.advance(wait)
		}
		Expect(len(f.get("a").Attempts)).To(BeNumerically("<=", 16))
		Expect(waited).To(BeNumerically(">", 3*time.Minute))
	})
})

var _ = Describe("retention", func() {
	It("drops answers, then keys, and returns when the next one expires", func() {
		// Guards against a ledger that fills up, and against a key that expires
		// early, after which its request could run again.
		f := newFixture(ledger.DefaultLimits())
		f.claim("a", "order", "shop", 0)
		f.dispatch("a", 1, "h1")
		f.report("a", 1, model.AttemptSucceeded, "answer")
		at, _ := f.state.NextExpiry()
		Expect(at).To(Equal(f.now.Add(10 * time.Minute)))
		f.advance(10*time.Minute - time.Millisecond)
		f.expire()
		Expect(string(f.get("a").Answer)).To(Equal("answer"))
		Expect(f.get("a").Payload).To(BeNil(), "finished requests need no payload")
		f.advance(time.Millisecond)
		f.expire()
		Expect(f.get("a").Answer).To(BeNil())
		Expect(f.claim("a", "order", "shop", 0).Request.Outcome).To(Equal(model.OutcomeDone))
		f.advance(24 * time.Hour)
		f.expire()
		Expect(f.outcome("a")).To(Equal("absent"))
	})
})

var _ = Describe("queries", func() {
	It("orders a queue by priority, deadline and claim", func() {
		// Guards against urgent work behind patient work.
		f := newFixture(ledger.DefaultLimits())
		f.claim("patient", "archive", "shop", time.Second)
		f.claim("never", "order", "shop", 0)
		f.claim("late", "order", "shop", time.Hour)
		f.claim("soon", "order", "shop", time.Minute)
		f.claim("soon2", "order", "shop", time.Minute)
		f.claim("urgent", "draw", "shop", time.Hour)
		var keys []string
		for _, r := range f.state.Queued("plot", 5) {
			keys = append(keys, r.Key)
		}
		Expect(keys).To(Equal([]string{"urgent", "soon", "soon2", "late", "never"}))
		Expect(f.state.Recent(2)[0].Key).To(Equal("urgent"))
	})

	It("never changes a request that a reader holds", func() {
		// Guards against partly changed requests that are read without the lock.
		f := newFixture(ledger.DefaultLimits())
		held := f.claim("a", "proof", "shop", 0).Request
		f.dispatch("a", 1, "h1")
		dispatched := f.get("a")
		f.report("a", 1, model.AttemptSucceeded, "answer")
		Expect(held.State).To(Equal(model.RequestQueued))
		Expect(dispatched.Attempts[0].State).To(Equal(model.AttemptAssigned))
		Expect(dispatched.Payload).NotTo(BeEmpty())
	})
})

var _ = Describe("snapshots", func() {
	It("refuses what is not a snapshot and keeps its state", func() {
		// Guards against a replica that starts from a partial state.
		f := newFixture(ledger.DefaultLimits())
		f.claim("a", "proof", "shop", 0)
		before, err := f.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(fault.CodeOf(f.state.Restore(before[:len(before)-1]))).To(Equal(fault.CodeCorrupt))
		Expect(fault.CodeOf(f.state.Restore([]byte{0xa0}))).To(Equal(fault.CodeCorrupt))
		after, err := f.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(before, after)).To(BeTrue())
	})
})
