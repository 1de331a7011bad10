package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/google/subcommands"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/load"
)

// defaultPayload is the size of a small job description, in bytes.
const defaultPayload = 1024

// runCommand sends open-loop load and checks the guarantees to callers.
type runCommand struct {
	commonFlags
	entries, controls stringList
	plan              load.Plan
	mix, pattern      string
	group             string
	deadline, limit   time.Duration
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "send load at a rate and check the guarantees" }
func (*runCommand) Usage() string {
	return "run -entries IP:PORT,... -controls IP:PORT,... [flags]\n\n" +
		"Sends requests at their time whatever happens to earlier ones, prints a table\n" +
		"per job kind, and exits with 1 if a guarantee was broken.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.Var(&c.entries, "entries", "comma-separated `addresses` of caller listeners")
	f.Var(&c.controls, "controls", "comma-separated control `addresses` of the stand-ins, for the run log")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of the schedule and the payloads")
	f.Float64Var(&c.plan.PerSecond, "rate", 50, "mean requests per second over all kinds")
	f.DurationVar(&c.plan.Length, "for", 10*time.Second, "how long requests are sent")
	f.StringVar(&c.pattern, "pattern", string(load.PatternSteady), "steady, or bursts: each kind in its turn five times its mean, a twentieth in between")
	f.DurationVar(&c.plan.BurstLength, "burst", 3*time.Second, "length of one burst")
	f.StringVar(&c.mix, "kinds", "", "`mix` of job kinds: kind[=weight[:run time]],...")
	f.IntVar(&c.plan.PayloadBytes, "payload", defaultPayload, "payload size in bytes")
	f.Float64Var(&c.plan.TicketShare, "tickets", 0.5, "share of requests with a ticket key")
	f.Float64Var(&c.plan.RepeatShare, "repeat", 0.1, "share of keys sent again through another entry host")
	f.DurationVar(&c.deadline, "deadline", 30*time.Second, "how long a request may stay queued")
	f.DurationVar(&c.limit, "limit", 45*time.Second, "how long a caller waits for an outcome")
	f.StringVar(&c.group, "group", "region", "`group` whose roles the usage table shows")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	mix, err := load.ParseMix(c.mix)
	c.plan.Mix, c.plan.Pattern = mix, load.Pattern(c.pattern)
	known := c.plan.Pattern == load.PatternSteady || c.plan.Pattern == load.PatternBursts
	if err != nil || !known || len(c.entries) == 0 || c.plan.PerSecond <= 0 {
		fmt.Fprintln(os.Stderr, "run needs -entries, a positive -rate, a known -pattern and known -kinds", err)
		return subcommands.ExitUsageError
	}
	runner := &load.Runner{
		Plan: c.plan, Sender: load.NewClient(c.entries), Clock: clock.System{}, Deadline: c.deadline, Limit: c.limit,
	}
	report, err := load.MeasureRun(ctx, &load.RunPlan{
		Runner: runner, Controls: c.controls, Diagnostics: c.diagnostics,
		Operator: load.Operator{Address: c.operator}, Group: c.group,
	})
	return printReport(&c.commonFlags, report, err)
}

// pathCommand compares calls through an entry host with direct calls.
type pathCommand struct {
	commonFlags
	entries, controls stringList
	kind              string
	workers           string
	plan              load.PathPlan
}

func (*pathCommand) Name() string { return "path" }
func (*pathCommand) Synopsis() string {
	return "compare calls through an entry host with direct calls"
}
func (*pathCommand) Usage() string {
	return "path -entries IP:PORT,... -controls IP:PORT,... -diagnostics IP:PORT,...\n"
}

func (c *pathCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.Var(&c.entries, "entries", "comma-separated `addresses` of caller listeners")
	f.Var(&c.controls, "controls", "comma-separated control `addresses` of the stand-ins")
	f.StringVar(&c.kind, "kind", "proof", "job `kind`")
	f.StringVar(&c.workers, "workers", "1,8,32", "comma-separated `numbers` of callers")
	f.DurationVar(&c.plan.RunTime, "run", 0, "run time of a task")
	f.DurationVar(&c.plan.Length, "for", 8*time.Second, "time for each number of callers")
	f.IntVar(&c.plan.Payload, "payload", defaultPayload, "payload size in bytes")
}

func (c *pathCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	mix, err := load.ParseMix(c.kind)
	workers, ok := parseNumbers(c.workers)
	if err != nil || !ok || len(c.entries) == 0 || len(c.controls) == 0 {
		fmt.Fprintln(os.Stderr, "path needs -entries, -controls, numbers of -workers and a known -kind", err)
		return subcommands.ExitUsageError
	}
	p := &c.plan
	p.Client, p.Kind, p.Workers, p.Diagnostics, p.Clock = load.NewClient(c.entries), mix[0].Kind, workers, c.diagnostics, clock.System{}
	runs, err := load.Runs(ctx, c.controls)
	if err != nil {
		return printReport(&c.commonFlags, load.PathReport{}, err)
	}
	for _, t := range runs.Targets {
		p.Targets = append(p.Targets, t.Address)
	}
	sort.Strings(p.Targets)
	report, err := load.MeasurePath(ctx, p)
	return printReport(&c.commonFlags, report, err)
}
