package experiment_test

import (
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/experiment"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/placement"
)

// The tables of docs/measures.md use 5 seeds and the full demand. Without these
// flags the same invariants are checked on a short demand, because the full one
// takes minutes.
var (
	seedCount = flag.Int("experiment.seeds", 1, "seeds of the spill and declaration tables")
	full      = flag.Bool("experiment.full", false, "full demand in the spill and declaration tables")
)

// trial is one row of a table: a variant under one kind of demand.
type trial struct {
	scenario string
	demand   experiment.DemandSettings
	variant  experiment.Variant
}

// runTrials runs each trial with every seed, on all processors, and returns
// the results by trial and seed.
func runTrials(trials []trial, seeds int) [][]experiment.Result {
	results := make([][]experiment.Result, len(trials))
	errs := make([]error, len(trials)*seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	for i := range trials {
		results[i] = make([]experiment.Result, seeds)
		for s := range seeds {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				d := trials[i].demand
				d.Seed = uint64(s + 1)
				results[i][s], errs[i*seeds+s] = experiment.Run(experiment.GenerateDemand(d), trials[i].variant)
			}()
		}
	}
	wg.Wait()
	for i, err := range errs {
		ExpectWithOffset(1, err).NotTo(HaveOccurred(), "%s, %s, seed %d",
			trials[i/seeds].scenario, trials[i/seeds].variant.Name, i%seeds+1)
	}
	return results
}

// meanAndRange formats the mean and the range of a figure over the seeds.
func meanAndRange(rs []experiment.Result, format string, of func(r experiment.Result) float64) string {
	low, high, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, r := range rs {
		x := of(r)
		low, high, sum = min(low, x), max(high, x), sum+x
	}
	mean := fmt.Sprintf(format, sum/float64(len(rs)))
	if len(rs) == 1 || low == high {
		return mean
	}
	return fmt.Sprintf("%s ["+format+" "+format+"]", mean, low, high)
}

func mean(rs []experiment.Result, of func(r experiment.Result) float64) float64 {
	sum := 0.0
	for _, r := range rs {
		sum += of(r)
	}
	return sum / float64(len(rs))
}

func inTime(p model.Priority) func(r experiment.Result) float64 {
	return func(r experiment.Result) float64 { return 100 * r.InTime[p] }
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func regionBuffer(r experiment.Result) float64 { return r.RegionBuffer }

// column is a column of a table: a figure of a result and its format.
type column struct {
	name, format string
	of           func(r experiment.Result) float64
}

var spillColumns = []column{
	{"urgent %", "%.2f", inTime(model.Urgent)},
	{"normal %", "%.2f", inTime(model.Normal)},
	{"patient %", "%.2f", inTime(model.Patient)},
	{"buffer", "%.0f", func(r experiment.Result) float64 { return r.Buffer }},
	{"region buffer", "%.0f", regionBuffer},
	{"wait p50 ms", "%.1f", func(r experiment.Result) float64 { return millis(r.WaitP50) }},
	{"wait p99 ms", "%.0f", func(r experiment.Result) float64 { return millis(r.WaitP99) }},
	{"urgent p99 ms", "%.0f", func(r experiment.Result) float64 { return millis(r.UrgentP99) }},
	{"spilled", "%.0f", func(r experiment.Result) float64 { return float64(r.Spilled) }},
	{"sent back", "%.0f", func(r experiment.Result) float64 { return float64(r.SpillRefused) }},
	{"moves", "%.0f", func(r experiment.Result) float64 { return float64(r.Moves) }},
	{"cut", "%.0f", func(r experiment.Result) float64 { return float64(r.LostRuns) }},
	{"lost", "%.0f", func(r experiment.Result) float64 { return float64(r.Lost) }},
}

func printTable(w io.Writer, trials []trial, results [][]experiment.Result, columns []column) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprint(tw, "demand\tpolicy")
	for _, c := range columns {
		_, _ = fmt.Fprintf(tw, "\t%s", c.name)
	}
	for i, t := range trials {
		_, _ = fmt.Fprintf(tw, "\n%s\t%s", t.scenario, t.variant.Name)
		for _, c := range columns {
			_, _ = fmt.Fprintf(tw, "\t%s", meanAndRange(results[i], c.format, c.of))
		}
	}
	_, _ = fmt.Fprintln(tw)
	_ = tw.Flush()
}

// spillPolicy returns the spill policy for a placement policy. The reserve is
// that for lending, and requests may take slots of other pools if the pools
// lend.
func spillPolicy(after time.Duration, base placement.Policy) *experiment.SpillPolicy {
	p := &experiment.SpillPolicy{After: after, Reserve: base.LendReserve, MaxTries: 2}
	if base.LendPools {
		p.LendMaxRunTime = base.LendMaxRunTime
	}
	return p
}

const defaultLag = 100 * time.Millisecond

func spillVariants() []experiment.Variant {
	var out []experiment.Variant
	for _, base := range []struct {
		name   string
		policy placement.Policy
	}{{"no lending", policy(func(*placement.Policy) {})}, {"lending", placement.DefaultPolicy()}} {
		out = append(out,
			experiment.Variant{Name: base.name, Policy: base.policy},
			experiment.Variant{Name: base.name + ", spill", Policy: base.policy, Spill: spillPolicy(0, base.policy), SpillLag: defaultLag},
			experiment.Variant{Name: base.name + ", spill > 0.5 s", Policy: base.policy, Spill: spillPolicy(500*time.Millisecond, base.policy), SpillLag: defaultLag},
			experiment.Variant{Name: base.name + ", spill > 2 s", Policy: base.policy, Spill: spillPolicy(2*time.Second, base.policy), SpillLag: defaultLag},
			experiment.Variant{Name: base.name + ", steer", Policy: base.policy, Spill: spillPolicy(0, base.policy), SpillLag: defaultLag, SteerOnly: true},
		)
	}
	return out
}

func demand(peak, heavy float64, rotate bool) experiment.DemandSettings {
	s := experiment.DemandSettings{Cycles: 1, Burst: 4 * time.Second, Peak: peak, HeavyShare: heavy, Rotate: rotate}
	if *full {
		s.Cycles, s.Burst = 3, 10*time.Second
	}
	return s
}

var spillScenarios = []struct {
	name      string
	heavy     float64
	rotate    bool
	loseHosts bool
}{
	{"even", 0, false, false},
	{"60 % in one", 0.6, false, false},
	{"60 % in each in turn", 0.6, true, false},
	{"even, third lost", 0, false, true},
	{"60 % in one, third lost", 0.6, false, true},
}

var _ = Describe("spill to other data centres", func() {
	It("compares policies under even and skewed demand and a loss of hosts", func() {
		// Guards against spilled requests that run twice, are lost or take a
		// slot that is in use. Run checks this after every step.
		var trials []trial
		peaks := []float64{3}
		if *full {
			peaks = []float64{1.5, 3}
		}
		for _, peak := range peaks {
			for _, s := range spillScenarios {
				for _, v := range spillVariants() {
					v.LoseHosts = s.loseHosts
					trials = append(trials, trial{fmt.Sprintf("%.1f, %s", peak, s.name), demand(peak, s.heavy, s.rotate), v})
				}
			}
		}
		results := runTrials(trials, *seedCount)
		printTable(os.Stdout, trials, results, spillColumns)
		for i, rs := range results {
			for _, r := range rs {
				Expect(r.Lost).To(BeZero(), "%s, %s", trials[i].scenario, trials[i].variant.Name)
				Expect(r.Refused).To(BeZero(), "the ledger must accept every decision made on its own state")
			}
			if strings.HasSuffix(trials[i].variant.Name, "spill") {
				// Spill without a threshold must use slots that idle elsewhere.
				Expect(mean(rs, regionBuffer)).To(BeNumerically("<=", mean(results[i-1], regionBuffer)), "%s, %s", trials[i].scenario, trials[i].variant.Name)
			}
		}
	})

	It("never repeats the lost run of a request that may run at most once", func() {
		// Guards against a spilled request that its home runs again after the
		// other data centre lost it, and against one that never gets an outcome.
		var trials []trial
		for _, heavyFirst := range []bool{true, false} {
			for _, v := range spillVariants() {
				v.LoseHosts, v.AtMostOnce = true, true
				d := demand(3, 0.6, false)
				d.HeavyLast = !heavyFirst // the hosts are lost in the first data centre
				trials = append(trials, trial{fmt.Sprintf("heavy first %t", heavyFirst), d, v})
			}
		}
		spilledLost := 0
		for i, rs := range runTrials(trials, 3) {
			for _, r := range rs {
				Expect(r.Lost).To(BeZero(), "%s, %s", trials[i].scenario, trials[i].variant.Name)
				Expect(r.LostRuns).To(BeNumerically(">", 0))
				Expect(r.Unknown).To(Equal(r.LostRuns), "%s, %s", trials[i].scenario, trials[i].variant.Name)
				spilledLost += r.LostSpilled
			}
		}
		Expect(spilledLost).To(BeNumerically(">", 0), "spilled requests are among the lost runs")
	})

	It("compares the age of the views of the other data centres", func() {
		// Guards against stale views that send requests back and forth.
		var trials []trial
		lags := []time.Duration{0, 5 * time.Second}
		if *full {
			lags = []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}
		}
		for _, v := range spillVariants() {
			if v.Spill == nil || strings.Contains(v.Name, "2 s") {
				continue
			}
			for _, lag := range lags {
				v, name := v, v.Name
				v.SpillLag, v.Name = lag, fmt.Sprintf("%s, lag %s", name, lag)
				trials = append(trials, trial{"3.0, 60 % in each in turn", demand(3, 0.6, true), v})
			}
		}
		results := runTrials(trials, *seedCount)
		printTable(os.Stdout, trials, results, spillColumns)
		for i, rs := range results {
			for _, r := range rs {
				Expect(r.Lost).To(BeZero(), trials[i].variant.Name)
				Expect(r.SpillRefused).To(BeNumerically("<=", r.Spilled))
				if trials[i].variant.SpillLag == 0 {
					Expect(r.SpillRefused).To(BeNumerically("<", r.Spilled/4+1), "a view without lag is mostly right")
				}
			}
		}
	})
})
