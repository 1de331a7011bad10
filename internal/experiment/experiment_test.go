package experiment_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/experiment"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

func policy(edit func(p *placement.Policy)) placement.Policy {
	p := placement.DefaultPolicy()
	p.LendSpare, p.LendPools = false, false
	edit(&p)
	return p
}

var _ = Describe("placement policies", func() {
	It("compares them on the same generated demand", func() {
		// Guards against lost work, and against default settings that lend or
		// reserve slots without helping urgent requests.
		variants := []experiment.Variant{
			{Name: "no reserve", Policy: policy(func(p *placement.Policy) { p.UrgentReserve = 0 })},
			{Name: "reserve 10%", Policy: policy(func(*placement.Policy) {})},
			{Name: "reserve 25%", Policy: policy(func(p *placement.Policy) { p.UrgentReserve = 0.25 })},
			{Name: "10%, move spares", Policy: policy(func(*placement.Policy) {}), MoveSpares: true},
			{Name: "10%, lend spares", Policy: policy(func(p *placement.Policy) { p.LendSpare = true })},
			{Name: "10%, lend all, keep 50%", Policy: policy(func(p *placement.Policy) { p.LendSpare, p.LendPools, p.LendReserve = true, true, 0.5 })},
			{Name: "10%, lend all, keep 25%", Policy: placement.DefaultPolicy()},
			{Name: "0%, lend all, keep 25%", Policy: policy(func(p *placement.Policy) { p.UrgentReserve, p.LendSpare, p.LendPools = 0, true, true })},
			{Name: "10%, lend all, keep 0%", Policy: policy(func(p *placement.Policy) { p.LendSpare, p.LendPools, p.LendReserve = true, true, 0 })},
		}
		for _, peak := range []float64{1.5, 3} {
			demand := experiment.GenerateDemand(experiment.DemandSettings{Seed: 1, Cycles: 2, Burst: 10 * time.Second, Peak: peak})
			var table strings.Builder
			fmt.Fprintf(&table, "%d requests, bursts of %.1f times the pool's slots\n", demand.Requests(), peak)
			fmt.Fprintf(&table, "%-25s %9s %6s %6s %9s %9s %9s %9s %11s %10s %5s\n", "policy", "buffer s", "moves", "lent",
				"in time %", "urgent %", "normal %", "patient %", "urgent p99", "longest", "lost")
			got := map[string]experiment.Result{}
			for _, v := range variants {
				r, err := experiment.Run(demand, v)
				Expect(err).NotTo(HaveOccurred())
				got[v.Name] = r
				fmt.Fprintf(&table, "%-25s %9.0f %6d %6d %9.2f %9.2f %9.2f %9.2f %11s %10s %5d\n", v.Name, r.Buffer, r.Moves, r.Lent, 100*r.All,
					100*r.InTime[model.Urgent], 100*r.InTime[model.Normal], 100*r.InTime[model.Patient],
					r.UrgentP99.Round(time.Millisecond), r.Longest.Round(time.Millisecond), r.Lost)
				Expect(r.Lost).To(BeZero(), v.Name)
				Expect(r.Refused).To(BeZero(), "%s: the ledger must accept every decision made on its own state", v.Name)
			}
			fmt.Println(table.String())
			chosen, static := got["10%, lend all, keep 25%"], got["no reserve"]
			Expect(chosen.All).To(BeNumerically(">=", static.All))
			Expect(chosen.UrgentP99).To(BeNumerically("<=", static.UrgentP99))
			Expect(chosen.Buffer).To(BeNumerically("<", static.Buffer))
			Expect(chosen.Moves).To(BeZero())
		}
	})
})
