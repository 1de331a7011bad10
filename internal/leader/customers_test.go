package leader_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// aCustomer returns a customer whose key is its name.
func aCustomer(name string, weight float64, limit work.Demand) work.Customer {
	return work.Customer{Name: name, Weight: weight, Limit: limit, Keys: []customer.KeyDigest{customer.Digest(name)}}
}

// withCustomers makes a configuration take effect in which all queues need the key of one of
// these customers.
func (w *world) withCustomers(customers ...work.Customer) {
	w.t.Helper()
	c := *w.stateMachine.Configuration()
	c.Version++
	c.Customers, c.Queues = customers, slices.Clone(c.Queues)
	for i := range c.Queues {
		c.Queues[i].KeyRequired = true
	}
	w.propose(&work.Command{Configure: &c})
}

// submissionOf returns the submission of a job by a customer.
func submissionOf(name, id, path string, steps ...work.Step) *work.Submission {
	return &work.Submission{ID: id, Domain: "d", Path: path, Key: customer.Digest(name), Spec: work.Spec{Steps: steps}}
}

// fill submits jobs of a customer until one is refused, and returns its id.
func (w *world) fill(l *leader.Leader, name string) string {
	w.t.Helper()
	for i := range 200 {
		id := "fill" + strconv.Itoa(i)
		err := l.Submit(context.Background(), submissionOf(name, id, "/draw/", shortStep(4)))
		var refused *admission.Refused
		if errors.As(err, &refused) {
			return id
		}
		NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	}
	w.t.Fatal("no job was refused")
	return ""
}

// Guards against a full pool that takes jobs beyond a customer's rate, against jobs that are
// refused and run nevertheless, and against customers who are refused for what others send.
func TestFullPoolRefusesJobsBeyondTheRate(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.withCustomers(aCustomer("ann", 1, work.Demand{}), aCustomer("bob", 1, work.Demand{}))
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		refused := w.fill(l, "ann")
		NewWithT(t).Expect(w.state(refused)).To(BeEmpty())
		NewWithT(t).Expect(l.Submit(context.Background(), submissionOf("bob", "b", "/draw/", shortStep(4)))).To(Succeed())
		after(time.Minute)
		NewWithT(t).Expect(w.state("b")).To(Equal(work.Completed))
		NewWithT(t).Expect(w.state("fill0")).To(Equal(work.Completed))
		NewWithT(t).Expect(l.Submit(context.Background(), submissionOf("ann", refused, "/draw/", shortStep(4)))).To(Succeed(), "the pool is idle again")
	})
}

// Guards against a caller that is told that its job has not run, while an earlier attempt to
// hand it in may still be accepted: the commit got no answer, and the pool is full by the time
// of the next attempt.
func TestJobThatMayBeAcceptedIsNotRefused(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.withCustomers(aCustomer("ann", 1, work.Demand{}))
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		w.mu.Lock()
		w.quorum = false
		w.mu.Unlock()
		job := submissionOf("ann", "j", "/draw/", shortStep(4))
		err := l.Submit(context.Background(), job)
		NewWithT(t).Expect(fault.CodeOf(err)).To(Equal(fault.CodeProposalUnknown))
		w.mu.Lock()
		w.quorum = true
		w.mu.Unlock()
		w.fill(l, "ann")
		NewWithT(t).Expect(l.Submit(context.Background(), job)).To(Succeed())
	})
}

// Guards against work that waits for the next tick, or for ever, after its customer's limit was
// raised, and against work that is stopped because it was lowered.
func TestMovedLimitTakesEffectAtOnce(t *testing.T) {
	simulate(t, func(w *world) {
		w.sizes["ha"] = work.Demand{MilliCPU: 10_000, MemoryMB: 10_000}
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		limited := func(milliCPU int64) work.Customer { return aCustomer("ann", 100, work.Demand{MilliCPU: milliCPU}) }
		w.withCustomers(limited(2000))
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		NewWithT(t).Expect(l.Submit(context.Background(), submissionOf("ann", "j", "/draw/", longLivedStep(9)))).To(Succeed())
		after(time.Second)
		for _, milliCPU := range []int64{2000, 5000, 9000, 1000} {
			w.withCustomers(limited(milliCPU))
			after(100 * time.Millisecond)
			running, logs := w.outcome()
			want := int(milliCPU / 1000)
			if milliCPU == 1000 {
				want = 9
			}
			if running != want {
				t.Errorf("%d tasks run with a limit of %d\n%s", running, milliCPU, logs)
			}
		}
	})
}

// Guards against hosts that are moved to a pool, and idle there, for work that its customer's limit
// keeps from starting, while another pool lacks them.
func TestWorkBeyondALimitGetsNoHosts(t *testing.T) {
	for name, step := range map[string]work.Step{"short": shortStep(60), "long-lived": longLivedStep(60)} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 12 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				w.withCustomers(aCustomer("ann", 100, work.Demand{MilliCPU: 6000}))
				l, stop := w.lead(2)
				defer stop()
				after(5 * time.Second) // all but one go to standby
				NewWithT(t).Expect(l.Submit(context.Background(), submissionOf("ann", "j", "/draw/", step))).To(Succeed())
				after(10 * time.Second)
				hosts := 0
				w.mu.Lock()
				for _, target := range w.targets {
					if target.state.Pool == "desk" && !target.dead {
						hosts++
					}
				}
				w.mu.Unlock()
				running, logs := w.outcome()
				if running != 6 || hosts > 3 {
					t.Errorf("%d tasks run on %d hosts of which two are needed\n%s", running, hosts, logs)
				}
			})
		})
	}
}
