package load

import (
	"context"
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

// KindRow is the result of one job kind.
type KindRow struct {
	Kind     string          `json:"kind"`
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// InTime is the share of the sent requests that started in time.
	InTime float64 `json:"in_time"`
	// Start is the time from the caller's send to the first start on a target,
	// Total the time to the caller's outcome for requests that are done.
	Start Latency `json:"start"`
	Total Latency `json:"total"`
	// RanAgain counts idempotent requests that ran more than once.
	RanAgain int `json:"ran_again"`
}

// maxBrokenPrinted is the largest number of broken guarantees in the text output.
const maxBrokenPrinted = 20

// RunReport is the result of a run.
type RunReport struct {
	Seed      uint64    `json:"seed"`
	Seconds   float64   `json:"seconds"`
	PerSecond float64   `json:"per_second"` // requests sent
	Kinds     []KindRow `json:"kinds"`
	// Checked is false if the run log was not read.
	Checked bool `json:"checked"`
	// Reasons counts the reasons of requests that are not done.
	Reasons map[string]int `json:"reasons,omitempty"`
	Broken  []Broken       `json:"broken"`
	Usage   []Usage        `json:"usage,omitempty"`
}

// Summary builds the report of a run.
func Summary(p Plan, results []Result, runs []standin.Run, checked bool) RunReport {
	began := make(map[string]time.Time, len(runs))
	count := make(map[string]int, len(runs))
	for _, r := range runs {
		at := time.UnixMilli(r.BeganMS)
		if known, ok := began[r.Request]; !ok || at.Before(known) {
			began[r.Request] = at
		}
		count[r.Request]++
	}
	out := RunReport{
		Seed: p.Seed, Seconds: p.Length.Seconds(), Checked: checked, Reasons: map[string]int{},
		PerSecond: float64(len(results)) / p.Length.Seconds(), Broken: Check(results, p.Mix, runs, checked),
	}
	for kind, mix := range p.Mix {
		row := KindRow{Kind: mix.Kind.Name, Outcomes: map[Outcome]int{}}
		var start, total []time.Duration
		inTime := 0
		for i := range results {
			r := &results[i]
			if r.Kind != kind {
				continue
			}
			row.Sent++
			row.Outcomes[r.Outcome]++
			if count[r.Key] > 1 {
				row.RanAgain++
			}
			if at, ok := began[r.Key]; ok {
				// The run log is rounded down to milliseconds, so a start can
				// appear to precede its send.
				latency := max(at.Sub(r.Sent), 0)
				start = append(start, latency)
				if latency <= mix.InTime {
					inTime++
				}
			}
			if r.Outcome == OutcomeDone {
				total = append(total, r.Ended.Sub(r.Sent))
			} else {
				out.Reasons[fmt.Sprintf("%s: %s", r.Outcome, r.Reason)]++
			}
		}
		row.InTime = float64(inTime) / float64(max(row.Sent, 1))
		row.Start, row.Total = Summarise(start), Summarise(total)
		out.Kinds = append(out.Kinds, row)
	}
	return out
}

func (r RunReport) table(t *table) {
	t.row("kind", "sent", "done", "not_run", "unknown", "refused", "open", "ran again", "in time %",
		"start p50 ms", "p99", "max", "total p50 ms", "p99", "max")
	for _, k := range r.Kinds {
		t.row(k.Kind, k.Sent, k.Outcomes[OutcomeDone], k.Outcomes[OutcomeNotRun], k.Outcomes[OutcomeUnknown],
			k.Outcomes[OutcomeRefused], k.Outcomes[OutcomeOpen], k.RanAgain, 100*k.InTime,
			k.Start.P50, k.Start.P99, k.Start.Max, k.Total.P50, k.Total.P99, k.Total.Max)
	}
	t.row(fmt.Sprintf("sent %.1f requests/s for %.0f s, seed %d, run log checked: %t, broken guarantees: %d",
		r.PerSecond, r.Seconds, r.Seed, r.Checked, len(r.Broken)))
	for reason, n := range r.Reasons {
		t.row(fmt.Sprintf("%d times %s", n, reason))
	}
	for _, b := range r.Broken[:min(len(r.Broken), maxBrokenPrinted)] {
		t.row(fmt.Sprintf("BROKEN %s: key %s: %s", b.Guarantee, b.Key, b.Detail))
	}
	usageTable(t, r.Usage)
}

// Failed reports whether a guarantee was broken.
func (r RunReport) Failed() bool { return len(r.Broken) > 0 }

// RunPlan configures a run and the addresses to read its effects from.
type RunPlan struct {
	Runner *Runner
	// Controls are the stand-ins' control addresses; without any, the guarantees
	// that need the run log are not checked.
	Controls    []string
	Diagnostics []string
	// Operator is optional; it is asked for the roles of the processes in Group.
	Operator Operator
	Group    string
}

// MeasureRun sends the load, reads the run log and builds the report.
func MeasureRun(ctx context.Context, p *RunPlan) (RunReport, error) {
	before, err := Scrape(ctx, p.Diagnostics)
	if err != nil {
		return RunReport{}, err
	}
	results := p.Runner.Run(ctx)
	after, err := Scrape(ctx, p.Diagnostics)
	if err != nil {
		return RunReport{}, err
	}
	runs, err := Runs(ctx, p.Controls)
	if err != nil {
		return RunReport{}, err
	}
	report := Summary(p.Runner.Plan, results, runs.Runs, len(p.Controls) > 0)
	report.Usage = UsageBetween(before, after)
	if p.Operator.Address != "" {
		err = p.Operator.setRoles(ctx, p.Group, report.Usage)
	}
	return report, err
}
