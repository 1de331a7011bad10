package core

import (
	"context"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// keyedConfiguration returns a configuration whose customers are named like their keys. Callers of
// the path /open/ need none.
func keyedConfiguration(version uint64, keys ...string) *work.Configuration {
	c := configuration(version, 0)
	c.Queues[0].KeyRequired = true
	open := c.Queues[0]
	open.Name, open.Prefix, open.KeyRequired = "open", "/open/", false
	c.Queues = append(c.Queues, open)
	for _, key := range keys {
		c.Customers = append(c.Customers, work.Customer{
			Name: "customer of " + key, Weight: 100, Keys: []customer.KeyDigest{customer.Digest(key)}, Limit: work.Demand{MilliCPU: 1000},
		})
	}
	return c
}

func refOf(key, path, job string) link.JobRef {
	return link.JobRef{Domain: "d", Path: path, Job: job, Key: customer.Digest(key)}
}

func requestOf(key, path, job string, milliCPU int64) *link.SubmitRequest {
	return &link.SubmitRequest{JobRef: refOf(key, path, job), Spec: work.Spec{Steps: []work.Step{{Tasks: 1, Demand: work.Demand{MilliCPU: milliCPU}}}}}
}

// settled makes a call to the process that leads until it is answered, also if the leader changes
// on a busy machine.
func settled(processes []*testProcess, call func(p *testProcess) (*link.Answer, error)) *link.Answer {
	GinkgoHelper()
	var answer *link.Answer
	Eventually(func() bool {
		p := leading(processes)
		if p == nil {
			return false
		}
		a, err := call(p)
		answer = a
		return err == nil && a.Code != link.NotReady && a.Code != link.NotLeader && a.Code != link.Unknown
	}, "20s").Should(BeTrue())
	return answer
}

// configureAny submits a configuration to any process until it is accepted.
func configureAny(ctx context.Context, processes []*testProcess, c *work.Configuration) {
	GinkgoHelper()
	Eventually(func() error { return processes[0].SubmitConfiguration(ctx, c) }, "20s").Should(Succeed())
}

var _ = Describe("the answer to a caller", func() {
	var processes []*testProcess

	BeforeEach(func(ctx SpecContext) {
		processes = startCore()
		configureAny(ctx, processes, keyedConfiguration(1, "ann", "bob"))
	})

	submit := func(ctx context.Context, key, path, job string, milliCPU int64) *link.Answer {
		GinkgoHelper()
		return settled(processes, func(p *testProcess) (*link.Answer, error) { return p.Submit(ctx, requestOf(key, path, job, milliCPU)) })
	}

	It("does not tell whether a job of another customer exists", func(ctx SpecContext) {
		// Guards against callers that find the ids of other customers' jobs by guessing:
		// each part of the answer counts.
		Expect(submit(ctx, "ann", "/p/", "j1", 1).Code).To(Equal(link.Done))
		Expect(submit(ctx, "", "/open/", "j2", 1).Code).To(Equal(link.Done))
		calls := map[string]func(*testProcess, context.Context, *link.JobRef) (*link.Answer, error){
			"read":   (*testProcess).ReadJobState,
			"cancel": (*testProcess).Cancel,
		}
		for name, call := range calls {
			for _, key := range []string{"bob", "", "unknown"} {
				for _, path := range []string{"/p/", "/open/"} {
					answer := func(job string) *link.Answer {
						ref := refOf(key, path, job)
						a := *settled(processes, func(p *testProcess) (*link.Answer, error) { return call(p, ctx, &ref) })
						a.Reason = strings.ReplaceAll(a.Reason, job, "ID")
						return &a
					}
					Expect(answer("j1")).To(Equal(answer("j0")), "%s with key %q of %s", name, key, path)
					Expect(answer("j1").Code).To(Or(Equal(link.NoJob), Equal(link.Unauthorised)))
				}
			}
		}
		Expect(submit(ctx, "bob", "/p/", "j1", 1)).To(Equal(submit(ctx, "unknown", "/p/", "j0", 1)))
		Expect(submit(ctx, "bob", "/open/", "j1", 1)).To(Equal(submit(ctx, "unknown", "/p/", "j0", 1)))
		ref := refOf("ann", "/p/", "j1")
		a := settled(processes, func(p *testProcess) (*link.Answer, error) { return p.ReadJobState(ctx, &ref) })
		Expect(a).To(Equal(&link.Answer{Code: link.Done, State: work.Queued}), "nobody has cancelled it")
	})

	It("names what can never run", func(ctx SpecContext) {
		// Guards against a caller that repeats a job which can never fit its customer's limit.
		a := submit(ctx, "ann", "/p/", "j", 1001)
		Expect(a.Code).To(Equal(link.Refused))
		Expect(a.Reason).To(And(ContainSubstring("step 0"), ContainSubstring("customer of ann")))
		Expect(a.RetryAfterMS).To(BeNumerically(">=", 10_000))
	})

	It("to a count of what waits needs a key as well", func(ctx SpecContext) {
		// Guards against callers without a key who watch how busy customers are.
		count := func(key, path string) link.Code {
			ref := refOf(key, path, "")
			return settled(processes, func(p *testProcess) (*link.Answer, error) { return p.CountWaiting(ctx, &ref) }).Code
		}
		Expect(count("", "/p/")).To(Equal(link.Unauthorised))
		Expect(count("unknown", "/p/")).To(Equal(link.Unauthorised))
		Expect(count("ann", "/p/")).To(Equal(link.Done))
		Expect(count("", "/open/")).To(Equal(link.Done))
	})
})

var _ = Describe("an exchange of keys", func() {
	// codeOf returns the code with which a job is taken.
	codeOf := func(ctx context.Context, processes []*testProcess, key, job string) link.Code {
		GinkgoHelper()
		return settled(processes, func(p *testProcess) (*link.Answer, error) { return p.Submit(ctx, requestOf(key, "/p/", job, 1)) }).Code
	}

	It("holds when the leader ends before it has answered the operator", func(ctx SpecContext) {
		// Guards against a key that works again, or a new one that does not, because the next
		// leader knows an older version than a replica on which the change was committed.
		processes := startCore()
		configureAny(ctx, processes, keyedConfiguration(1, "old"))
		Expect(codeOf(ctx, processes, "old", "j1")).To(Equal(link.Done))
		p := leadingProcess(processes)
		answered := make(chan error, 1)
		go func() { answered <- p.SubmitConfiguration(ctx, keyedConfiguration(2, "new")) }()
		Eventually(func() uint64 { return heldVersion(p) }, "5s", "1ms").Should(BeEquivalentTo(2))
		p.stop()
		<-answered // whatever the operator was told, the change is committed
		rest := without(processes, p)
		configureAny(ctx, rest, keyedConfiguration(2, "new")) // the operator repeats it
		Expect(codeOf(ctx, rest, "new", "j2")).To(Equal(link.Done))
		Expect(codeOf(ctx, rest, "old", "j3")).To(Equal(link.Unauthorised))
		Expect(codeOf(ctx, rest, "old", "j1")).To(Equal(link.Unauthorised), "not even a job that it has handed in")
	})

	It("reaches two operators who race with the higher version", func(ctx SpecContext) {
		// Guards against hosts that hold different keys after two changes at once.
		processes := startCore()
		configureAny(ctx, processes, keyedConfiguration(1, "old"))
		var operators sync.WaitGroup
		for i, c := range []*work.Configuration{keyedConfiguration(3, "later"), keyedConfiguration(2, "earlier")} {
			operators.Go(func() {
				defer GinkgoRecover()
				configureAny(ctx, processes[i+1:], c)
			})
		}
		operators.Wait()
		for _, p := range processes {
			Eventually(func() uint64 { return heldVersion(p) }, "5s").Should(BeEquivalentTo(3))
			Expect(p.stateMachine.CheckAccess(&work.Caller{Domain: "d", Path: "/p/", Key: customer.Digest("later")}, "")).To(Succeed())
			for _, key := range []string{"old", "earlier"} {
				Expect(p.stateMachine.CheckAccess(&work.Caller{Domain: "d", Path: "/p/", Key: customer.Digest(key)}, "")).NotTo(Succeed())
			}
		}
	})

	It("reaches a host that was away during the exchange before it serves anyone", func(ctx SpecContext) {
		// Guards against a host that was cut off, or down, while a key was withdrawn, and that
		// takes it after a restart from what is on its disk.
		processes := startCore()
		configureAny(ctx, processes, keyedConfiguration(1, "old"))
		p := leadingProcess(processes)
		away := without(processes, p)[0]
		Eventually(func() uint64 { return heldVersion(away) }, "5s").Should(BeEquivalentTo(1))
		away.stop()
		configureAny(ctx, []*testProcess{p}, keyedConfiguration(2, "new"))
		p.stop() // the one that is left has no quorum without the host that was away
		runCtx, cancel := context.WithCancel(context.Background())
		c, err := New(runCtx, away.cfg)
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = c.Run(runCtx) // the test checks what the process serves, not how it ends
		}()
		again := &testProcess{c, func() { cancel(); <-ended }}
		DeferCleanup(again.stop)
		left := append(without(without(processes, p), away), again)
		Expect(codeOf(ctx, left, "old", "j")).To(Equal(link.Unauthorised), "the first answer")
		Expect(codeOf(ctx, left, "new", "k")).To(Equal(link.Done))
	})
})

var _ = Describe("a leader that is cut off from the others", func() {
	It("takes no key any more", func(ctx SpecContext) {
		// Guards against a key that works at a host which cannot know that it was withdrawn. The
		// bound is below that by which a change has to be in force everywhere.
		processes := startCore()
		configureAny(ctx, processes, keyedConfiguration(1, "old"))
		p := leadingProcess(processes)
		for _, other := range without(processes, p) {
			other.stop()
		}
		codes := func() []link.Code {
			ref := refOf("old", "/p/", "j")
			read, err := p.ReadJobState(ctx, &ref)
			Expect(err).NotTo(HaveOccurred())
			submitted, err := p.Submit(ctx, requestOf("old", "/p/", "j", 1))
			Expect(err).NotTo(HaveOccurred())
			return []link.Code{read.Code, submitted.Code}
		}
		noAnswer := HaveEach(Or(Equal(link.NotReady), Equal(link.NotLeader), Equal(link.Unknown)))
		Eventually(codes, "2s").Should(noAnswer)
		Consistently(codes, "1s").Should(noAnswer)
	})
})

// heldVersion returns the version of the configuration that a process holds, 0 without one.
func heldVersion(p *testProcess) uint64 {
	if c := p.stateMachine.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// without returns the processes except one.
func without(processes []*testProcess, p *testProcess) (rest []*testProcess) {
	for _, other := range processes {
		if other != p {
			rest = append(rest, other)
		}
	}
	return rest
}
