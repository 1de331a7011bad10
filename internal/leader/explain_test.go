package leader_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// asked returns a question about a job that is not submitted.
func asked(queue, customer string, steps ...work.Step) *leader.Question {
	return &leader.Question{Hypothesis: work.Hypothesis{Queue: queue, Customer: customer, Spec: work.Spec{Steps: steps}}}
}

// explain asks a leader and fails the test if it gets no answer.
func explain(t *testing.T, l *leader.Leader, q *leader.Question) *leader.Explanation {
	t.Helper()
	after(time.Second) // longer than the pause between explanations
	out, err := l.Explain(q)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return out
}

// groups returns the names of hosts by reason.
func groups(list []schedule.HostGroup) map[string][]string {
	out := map[string][]string{}
	for _, g := range list {
		out[g.Reason] = g.Hosts
	}
	return out
}

// explained keeps the lines and counts by which a leader decides and tells of it.
type explained struct {
	snapshot, metrics, decided, logs string
}

func (w *world) observe(t *testing.T, l *leader.Leader) explained {
	t.Helper()
	snapshot, err := w.stateMachine.Snapshot()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return explained{string(snapshot), leader.ProcessMetrics(), leader.Decided(l), w.log()}
}

// Guards against an explanation that submits, starts, asks, counts or learns something: in the
// same instant everything is as it was before, of jobs that would start, wait, be refused, need
// the policy service, or make tasks interfere, in a region with a backlog.
func TestExplanationChangesNothing(t *testing.T) {
	simulate(t, func(w *world) {
		g := NewWithT(t)
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		w.requireKeys(2, work.Demand{MilliCPU: 20_000})
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		g.Expect(handIn(l, "c000", "long", longLivedStep(2))).To(Succeed())
		for i := range 30 {
			_ = handIn(l, "c001", "fill"+strconv.Itoa(i), shortStep(2)) // refused once the pool is full
		}
		fillIn := shortStep(1)
		fillIn.FillIn = true
		wide := shortStep(1)
		wide.Demand.MilliCPU = 30_000
		for _, q := range []*leader.Question{
			asked("draw", "c000", shortStep(3)), asked("cut", "c000", shortStep(1)), asked("draw", "c000", shortStep(900)),
			asked("policy", "c000", shortStep(1)), asked("draw", "c000", fillIn), asked("draw", "c000", wide),
			asked("none", "c000", shortStep(1)), asked("draw", "nobody", shortStep(1)), {Job: "long"}, {Job: "fill0"}, {Job: "none"},
		} {
			after(time.Second)
			synctest.Wait()
			before := w.observe(t, l)
			_, err := l.Explain(q)
			g.Expect(w.observe(t, l)).To(Equal(before))
			if q.Job == "none" || q.Hypothesis.Queue == "none" || q.Hypothesis.Customer == "nobody" {
				g.Expect(fault.CodeOf(err)).To(Equal(fault.CodeNotFound))
				continue
			}
			g.Expect(err).NotTo(HaveOccurred())
		}
	})
}

// Guards against an explanation that asks the policy service, times a wait or looks for lost data
// centres in place of the next plan, which has not been made since the job was accepted.
func TestExplanationDoesNotWorkAheadOfPlans(t *testing.T) {
	for path, step := range map[string]work.Step{"/policy/": shortStep(1), "/draw/": longLivedStep(1)} {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").setDuration(0)
			l, stop := w.lead(2)
			defer stop()
			after(3 * time.Second)
			w.submit("j", path, step)
			before := w.observe(t, l)
			_, err := l.Explain(&leader.Question{Job: "j"})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(w.observe(t, l)).To(Equal(before))
		})
	}
}

// Guards against an explanation that tells something else than what becomes of the job.
func TestExplanationTellsWhatHappens(t *testing.T) {
	simulate(t, func(w *world) {
		g := NewWithT(t)
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		w.add("c", "hc", "1:3", "cuts")
		w.add("d", "hd", "1:4", "desk").quiet = true
		w.requireKeys(2, work.Demand{MilliCPU: 3000})
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		g.Expect(handIn(l, "c001", "long", longLivedStep(1))).To(Succeed())
		after(3 * time.Second)

		x := explain(t, l, asked("draw", "c001", longLivedStep(2)))
		g.Expect(x.Refusal).NotTo(HaveOccurred())
		g.Expect(groups(x.Excluded)).To(And(HaveKeyWithValue("belongs to pool cuts", []string{"hc"}),
			HaveKeyWithValue("no target has announced itself", []string{"hd"})))
		g.Expect(x.Share).To(HaveValue(And(HaveField("Weight", 2.0), HaveField("PoolWeight", 2.0), HaveField("Limit.MilliCPU", int64(3000)),
			HaveField("Running.MilliCPU", longLivedStep(1).Demand.MilliCPU), HaveField("MilliCPU", longLivedStep(1).Demand.MilliCPU))))
		g.Expect(x.Plan.Steps[0].Waiting).To(BeZero())
		p := explain(t, l, asked("policy", "c001", longLivedStep(2)))
		g.Expect(p.PolicyNotAsked).To(BeTrue())
		g.Expect(p.Plan.Steps[0].Starts).To(Equal(x.Plan.Steps[0].Starts))
		g.Expect(handIn(l, "c001", "next", longLivedStep(2))).To(Succeed())
		after(time.Second)
		on := map[string]int{}
		w.stateMachine.Read(func(v *work.View) {
			for i := range v.Live["next"].Tasks {
				on[v.Targets[v.Live["next"].Tasks[i].Target].Host]++
			}
		})
		foreseen := map[string]int{}
		for _, h := range x.Plan.Steps[0].Starts {
			foreseen[h.Host] = h.Tasks
		}
		g.Expect(foreseen).To(Equal(on))

		x = explain(t, l, asked("draw", "c001", longLivedStep(9)))
		g.Expect(x.Plan.Steps[0].Why).To(Equal(schedule.WaitsForLimit))
		x = explain(t, l, &leader.Question{Job: "next"})
		g.Expect(x.Accepted).To(BeTrue())
		g.Expect(x.Plan.Steps[0].Running).To(Equal(2))
	})
}

// Guards against a refusal that is not foretold, or with another time to come back.
func TestExplanationForetellsRefusals(t *testing.T) {
	simulate(t, func(w *world) {
		g := NewWithT(t)
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.requireKeys(1, work.Demand{MilliCPU: 9000})
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		wide := shortStep(1)
		wide.Demand.MilliCPU = 10_000
		x := explain(t, l, asked("draw", "c000", wide))
		var never *customer.NeverFits
		g.Expect(x.Refusal).To(BeAssignableToTypeOf(never))
		g.Expect(x.FitsNoHost).To(Equal([]int{0}))
		for i := range 100 {
			id := fmt.Sprintf("fill%d", i)
			q := asked("draw", "c000", shortStep(4))
			q.Hypothesis.ID = id
			after(250 * time.Millisecond)
			x, err := l.Explain(q)
			g.Expect(err).NotTo(HaveOccurred())
			err = handIn(l, "c000", id, shortStep(4))
			if err == nil {
				g.Expect(x.Refusal).NotTo(HaveOccurred())
				continue
			}
			var refused *admission.Refused
			g.Expect(err).To(BeAssignableToTypeOf(refused))
			g.Expect(x.Refusal).To(Equal(err))
			return
		}
		t.Error("no job was refused")
	})
}

// Guards, with an operator's script that asks without a pause, against a leader that makes
// explanations in place of plans.
func TestExplanationsAreMadeAtABoundedRate(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		made := 0
		for range 1000 {
			_, err := l.Explain(asked("draw", "", shortStep(1)))
			if err == nil {
				made++
			} else {
				NewWithT(t).Expect(fault.CodeOf(err)).To(Equal(fault.CodeUnavailable))
			}
			after(10 * time.Millisecond)
		}
		NewWithT(t).Expect(made).To(BeNumerically("==", 50))
	})
}

// Guards against the payload of an accepted job, or a key, in an explanation.
func TestExplanationHoldsNoSecret(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.requireKeys(1, work.Demand{})
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		text := fmt.Sprintf("%+v", explain(t, l, asked("draw", "c000", shortStep(1))))
		if strings.Contains(text, string(customer.Digest("c000"))) {
			t.Error("the explanation holds a key")
		}
	})
}
