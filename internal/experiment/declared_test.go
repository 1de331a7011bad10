package experiment_test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/experiment"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

var declaredColumns = []column{
	{"urgent %", "%.2f", inTime(model.Urgent)},
	{"normal %", "%.2f", inTime(model.Normal)},
	{"patient %", "%.2f", inTime(model.Patient)},
	{"buffer", "%.0f", func(r experiment.Result) float64 { return r.Buffer }},
	{"wait p50 ms", "%.1f", func(r experiment.Result) float64 { return millis(r.WaitP50) }},
	{"wait p99 ms", "%.0f", func(r experiment.Result) float64 { return millis(r.WaitP99) }},
	{"urgent p99 ms", "%.0f", func(r experiment.Result) float64 { return millis(r.UrgentP99) }},
	{"lent", "%.0f", func(r experiment.Result) float64 { return float64(r.Lent) }},
	{"overcommitted host-s", "%.1f", overcommitted},
	{"lost", "%.0f", func(r experiment.Result) float64 { return float64(r.Lost) }},
}

func overcommitted(r experiment.Result) float64 { return r.Overcommitted.Seconds() }

var _ = Describe("wrong declarations", func() {
	It("compares them with and without learning", func() {
		// Guards against wrong declared run times and sizes that keep deciding
		// where requests run, and against estimates that lose work.
		var trials []trial
		shape := demand(1.5, 0, false)
		shape.Burst = 10 * time.Second // learning takes 20 runs of a kind
		lending, none := placement.DefaultPolicy(), policy(func(*placement.Policy) {})
		for _, f := range []struct {
			peak      float64
			name      string
			run, size float64
			policies  []placement.Policy
		}{
			{1.5, "right", 1, 1, []placement.Policy{none, lending}},
			{1.5, "size / 4", 1, 0.25, []placement.Policy{none, lending}},
			{1.5, "size x 4", 1, 4, []placement.Policy{none, lending}},
			// Without lending no decision depends on the run time.
			{1.5, "run / 4", 0.25, 1, []placement.Policy{lending}},
			{1.5, "run x 4", 4, 1, []placement.Policy{lending}},
			{3, "right", 1, 1, []placement.Policy{lending}},
			{3, "run / 4", 0.25, 1, []placement.Policy{lending}},
			{3, "run x 4", 4, 1, []placement.Policy{lending}},
			{3, "size / 4", 1, 0.25, []placement.Policy{lending}},
		} {
			for _, p := range f.policies {
				for _, learned := range []bool{false, true} {
					v := experiment.Variant{
						Name: "no lending", Policy: p, UnequalSizes: true,
						DeclaredRun: f.run, DeclaredSize: f.size, IgnoreRuns: !learned,
					}
					if p.LendPools {
						v.Name = "lending"
					}
					if learned {
						v.Name += ", learned"
					} else {
						v.Name += ", declared only"
					}
					shape.Peak = f.peak
					trials = append(trials, trial{fmt.Sprintf("%.1f, %s", f.peak, f.name), shape, v})
				}
			}
		}
		results := runTrials(trials, *seedCount)
		printTable(os.Stdout, trials, results, declaredColumns)
		byName := map[string][]experiment.Result{}
		for i, rs := range results {
			byName[trials[i].scenario+", "+trials[i].variant.Name] = rs
			for _, r := range rs {
				Expect(r.Lost).To(BeZero(), "%s, %s", trials[i].scenario, trials[i].variant.Name)
				Expect(r.Refused).To(BeZero())
			}
		}
		Expect(mean(byName["1.5, size / 4, lending, learned"], overcommitted)).
			To(BeNumerically("<", mean(byName["1.5, size / 4, lending, declared only"], overcommitted)))
		Expect(mean(byName["1.5, size x 4, lending, learned"], inTime(model.Normal))).
			To(BeNumerically(">=", mean(byName["1.5, size x 4, lending, declared only"], inTime(model.Normal))))
	})
})
