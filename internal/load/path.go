package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
)

// pathRounds is the number of rounds, each of direct calls and then calls
// through an entry host, so that other load on the host affects both alike.
const pathRounds = 4

// PathPlan configures a comparison of calls through an entry host with direct
// calls to the targets.
type PathPlan struct {
	Client      *Client
	Targets     []string // addresses
	Diagnostics []string
	Kind        Kind
	RunTime     time.Duration
	Payload     int // bytes
	// Workers are the numbers of concurrent workers to measure with; each worker
	// sends one request after another.
	Workers []int
	// Length is the time for each number of workers, direct and through entry
	// hosts together.
	Length time.Duration
	Clock  clock.Clock
}

// PathRow compares direct calls with calls through entry hosts for one number
// of workers.
type PathRow struct {
	Workers int     `json:"workers"`
	Direct  Latency `json:"direct"`
	Through Latency `json:"through"`
	// AddedP50 and AddedP99 are the added latency in milliseconds; RatioP50 and
	// RatioP99 are the latency through an entry host divided by that of a direct
	// call.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
	// PerSecond and PerCore are the requests through entry hosts per second and
	// per second of CPU time of all daemons.
	PerSecond float64 `json:"per_second"`
	PerCore   float64 `json:"per_core_second"`
	Failed    int     `json:"failed"`
}

// PathReport is the result of a comparison.
type PathReport struct {
	Rows []PathRow `json:"rows"`
}

func (r PathReport) table(t *table) {
	t.row("workers", "direct p50 ms", "p99", "through p50 ms", "p99", "added p50 ms", "p99", "ratio p50", "p99",
		"requests/s", "requests/core s", "failed")
	for _, p := range r.Rows {
		t.row(p.Workers, fmt.Sprintf("%.2f", p.Direct.P50), fmt.Sprintf("%.2f", p.Direct.P99), p.Through.P50, p.Through.P99,
			p.AddedP50, p.AddedP99, p.RatioP50, p.RatioP99, p.PerSecond, p.PerCore, p.Failed)
	}
}

// MeasurePath compares the latencies for each number of workers.
func MeasurePath(ctx context.Context, p *PathPlan) (PathReport, error) {
	var out PathReport
	if len(p.Targets) == 0 {
		return out, &fault.Invalid{Field: "targets", Reason: "there are none"}
	}
	for _, workers := range p.Workers {
		row, err := p.compare(ctx, workers)
		if err != nil {
			return out, err
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

func (p *PathPlan) compare(ctx context.Context, workers int) (PathRow, error) {
	row := PathRow{Workers: workers}
	var direct, through []time.Duration
	var spent time.Duration
	var cpu float64
	targets := target.NewHTTPClient(target.HTTPConfig{Clock: p.Clock})
	length := p.Length / (2 * pathRounds)
	prefix := fmt.Sprintf("path-%d-%d", p.Clock.Now().UnixNano(), workers)
	for round := range pathRounds {
		d, failed := p.phase(ctx, workers, length, func(worker, n int) error {
			return p.direct(ctx, targets, worker+n*workers, fmt.Sprintf("%s-d%d-%d-%d", prefix, round, worker, n))
		})
		direct, row.Failed = append(direct, d...), row.Failed+failed
		before, err := Scrape(ctx, p.Diagnostics)
		if err != nil {
			return row, err
		}
		started := p.Clock.Now()
		d, failed = p.phase(ctx, workers, length, func(worker, n int) error {
			return p.through(ctx, worker+n, fmt.Sprintf("%s-t%d-%d-%d", prefix, round, worker, n))
		})
		spent += p.Clock.Now().Sub(started)
		through, row.Failed = append(through, d...), row.Failed+failed
		after, err := Scrape(ctx, p.Diagnostics)
		if err != nil {
			return row, err
		}
		for i := range after {
			cpu += after[i].CPU - before[i].CPU
		}
	}
	row.Direct, row.Through = Summarise(direct), Summarise(through)
	row.AddedP50, row.AddedP99 = row.Through.P50-row.Direct.P50, row.Through.P99-row.Direct.P99
	row.RatioP50, row.RatioP99 = ratio(row.Through.P50, row.Direct.P50), ratio(row.Through.P99, row.Direct.P99)
	row.PerSecond, row.PerCore = ratio(float64(len(through)), spent.Seconds()), ratio(float64(len(through)), cpu)
	return row, nil
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// phase lets every worker call for the given time. It returns the latencies of
// the successful calls and the number of failed ones.
func (p *PathPlan) phase(ctx context.Context, workers int, length time.Duration, call func(worker, n int) error) ([]time.Duration, int) {
	var mu sync.Mutex
	var all []time.Duration
	failed := 0
	until := p.Clock.Now().Add(length)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil && p.Clock.Now().Before(until); n++ {
				began := p.Clock.Now()
				err := call(w, n)
				took := p.Clock.Now().Sub(began)
				mu.Lock()
				if err != nil {
					failed++
				} else {
					all = append(all, took)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all, failed
}

// direct starts a task on a target and waits for its result.
func (p *PathPlan) direct(ctx context.Context, targets target.Client, n int, key string) error {
	address := p.Targets[n%len(p.Targets)]
	task := target.Task{Key: key, Attempt: 1, Kind: p.Kind.Name, Payload: payload(p.RunTime, p.Payload, 0, uint64(n))}
	if err := targets.Start(ctx, address, task); err != nil {
		return err
	}
	for {
		status, err := targets.Poll(ctx, address, key, 1, time.Second)
		if err != nil {
			return err
		}
		if status.State != target.TaskRunning {
			return nil
		}
	}
}

func (p *PathPlan) through(ctx context.Context, n int, key string) error {
	body := caller.Body{
		Kind: p.Kind.Name, Team: p.Kind.Team, Payload: payload(p.RunTime, p.Payload, 0, uint64(n)),
		DeadlineMS: longPollWait.Milliseconds(), WaitMS: longPollWait.Milliseconds(),
	}
	response, _, err := p.Client.Send(ctx, p.Client.Entry(n), key, body)
	if err == nil && response.Outcome != model.OutcomeDone {
		return &fault.Unavailable{What: "request " + key, Reason: string(response.Outcome) + " " + response.Reason}
	}
	return err
}

// Failed is false: the comparison checks no guarantees.
func (PathReport) Failed() bool { return false }
