package leader_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// requireKeys makes a configuration without a standby pool take effect in which all queues need
// the key of one of n customers, c000 and so on. Each has two keys, of which the first is its
// name, and its number plus one as its weight.
func (w *world) requireKeys(n int, limit work.Demand) {
	w.t.Helper()
	var customers []work.Customer
	for i := range n {
		c := aCustomer(fmt.Sprintf("c%03d", i), float64(i+1), limit)
		c.Keys = append(c.Keys, customer.Digest(c.Name+"-new"))
		customers = append(customers, c)
	}
	w.propose(&work.Command{Configure: w.withoutStandby()})
	w.withCustomers(customers...)
}

// handIn submits a job of a customer.
func handIn(l *leader.Leader, name, id string, step work.Step) error {
	return l.Submit(context.Background(), submissionOf(name, id, "/draw/", step))
}

// Guards against customers whose use and refusals operators cannot see, against a count that
// outlives its leader, and against keys in what operators see.
func TestOperatorsSeeCustomers(t *testing.T) {
	simulate(t, func(w *world) {
		g := NewWithT(t)
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.requireKeys(2, work.Demand{MilliCPU: 5000})
		l, stop := w.lead(2)
		defer func() { stop() }()
		after(3 * time.Second)
		g.Expect(handIn(l, "c001", "long", longLivedStep(2))).To(Succeed())
		wide := shortStep(1)
		wide.Demand.MilliCPU = 6000
		g.Expect(handIn(l, "c000", "wide", wide)).NotTo(Succeed())
		g.Expect(handIn(l, "nobody", "none", shortStep(1))).NotTo(Succeed())
		after(5 * time.Second)
		refused := 0
		for i := range 100 {
			err := handIn(l, "c000", "fill"+strconv.Itoa(i), shortStep(4))
			var full *admission.Refused
			if errors.As(err, &full) {
				refused++
				continue
			}
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(refused).To(And(BeNumerically(">", 0), BeNumerically("<", 100)))
		seen := l.Customers()
		g.Expect(seen).To(HaveLen(2))
		g.Expect(seen[0]).To(And(HaveField("Name", "c000"), HaveField("Keys", 2), HaveField("Limit.MilliCPU", int64(5000)),
			HaveField("Waiting", 100-refused), HaveField("Refused", leader.Refusals{BeyondAllowance: uint64(refused), NeverFits: 1})))
		g.Expect(seen[1]).To(And(HaveField("Weight", 2.0), HaveField("Running.MilliCPU", 2*longLivedStep(1).Demand.MilliCPU), HaveField("Waiting", 0)))
		g.Expect(fmt.Sprint(seen)).NotTo(ContainSubstring(string(customer.Digest("c000"))))
		stop()
		var next *leader.Leader
		next, stop = w.lead(3)
		after(time.Second)
		g.Expect(next.Customers()[0].Refused).To(Equal(leader.Refusals{}))
	})
}

// Guards against a customer that vanishes from sight with its last key while its jobs run.
func TestRemovedCustomerIsSeenWhileItHasJobs(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.requireKeys(1, work.Demand{})
		l, stop := w.lead(2)
		defer stop()
		after(3 * time.Second)
		NewWithT(t).Expect(handIn(l, "c000", "long", longLivedStep(1))).To(Succeed())
		c := *w.stateMachine.Configuration()
		c.Version++
		c.Customers = nil
		w.propose(&work.Command{Configure: &c})
		after(time.Second)
		NewWithT(t).Expect(l.Customers()).To(ConsistOf(And(HaveField("Name", "c000"), HaveField("Removed", true),
			HaveField("Running.MilliCPU", longLivedStep(1).Demand.MilliCPU))))
		w.propose(&work.Command{Cancel: "long"})
		after(5 * time.Second)
		NewWithT(t).Expect(l.Customers()).To(BeEmpty())
	})
}

// Guards, with 480 customers that all have work, against log lines that grow with the
// customers, and against customers of whom no line ever tells.
func TestCustomersAreLoggedAtABoundedRate(t *testing.T) {
	const customers, perInterval = 480, 50
	simulate(t, func(w *world) {
		w.requireKeys(customers, work.Demand{})
		l, stop := w.lead(2)
		defer stop()
		after(time.Second)
		for i := range customers {
			NewWithT(t).Expect(handIn(l, fmt.Sprintf("c%03d", i), "j"+strconv.Itoa(i), longLivedStep(1))).To(Succeed())
		}
		lines := func() []string {
			return slices.DeleteFunc(strings.Split(w.log(), "\n"), func(line string) bool { return !strings.Contains(line, `"message":"customer"`) })
		}
		after(10 * time.Second)
		NewWithT(t).Expect(lines()).To(HaveLen(perInterval))
		after(90 * time.Second)
		NewWithT(t).Expect(lines()).To(HaveLen(10 * perInterval))
		for i := range customers {
			if name := fmt.Sprintf("c%03d", i); !strings.Contains(w.log(), `"customer":"`+name+`"`) {
				t.Errorf("no line tells of %s", name)
			}
		}
	})
}

// Guards, with 480 customers, against metrics that grow with the customers, against sums that
// miss some of them, and against a name that breaks the format.
func TestCustomerMetricsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var customers []leader.CustomerStatus
	for i := range 480 {
		customers = append(customers, leader.CustomerStatus{Name: fmt.Sprintf("c%03d", i), Weight: float64(i), Keys: 10, Waiting: 1})
	}
	customers[479].Name = "a \"quoted\\\nname\""
	text := leader.CustomerMetrics(customers)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	g.Expect(len(lines)).To(BeNumerically("<", 51*14))
	g.Expect(lines).To(ContainElements(
		`agatehaven_customer_waiting_jobs{customer="a \"quoted\\\nname\""} 1`,
		`agatehaven_customer_waiting_jobs{customer="c430"} 1`,
		`agatehaven_customer_waiting_jobs{others="true"} 430`,
		`agatehaven_customer_keys{others="true"} 4300`,
		`agatehaven_customer_jobs_refused_total{others="true",reason="never_fits"} 0`,
	))
	g.Expect(text).NotTo(ContainSubstring(`customer="c429"`))
}

// Guards against metrics of a leader that leads no more, beside those of the next one.
func TestOnlyTheLeaderExportsCustomers(t *testing.T) {
	simulate(t, func(w *world) {
		w.requireKeys(1, work.Demand{})
		const series = `agatehaven_customer_weight{customer="c000"} 1`
		for term := range uint64(2) {
			_, stop := w.lead(2 + term)
			after(time.Second)
			NewWithT(t).Expect(strings.Count(leader.ProcessMetrics(), series)).To(Equal(1))
			stop()
			NewWithT(t).Expect(leader.ProcessMetrics()).NotTo(ContainSubstring(series))
		}
	})
}
