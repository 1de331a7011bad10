package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/load"
)

// parseNumbers parses comma-separated positive integers. It returns false for
// any other text.
func parseNumbers(text string) ([]int, bool) {
	var out []int
	for _, part := range strings.Split(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 {
			return nil, false
		}
		out = append(out, n)
	}
	return out, true
}

// fleetCommand measures what the daemons use as the number of hosts grows.
type fleetCommand struct {
	commonFlags
	targets, pools stringList
	sizes          string
	plan           load.FleetPlan
}

func (*fleetCommand) Name() string     { return "fleet" }
func (*fleetCommand) Synopsis() string { return "measure daemons against the number of hosts" }
func (*fleetCommand) Usage() string {
	return "fleet -targets IP:PORT,... -operator IP:PORT -diagnostics IP:PORT,... -hosts 50,200\n\n" +
		"Announces stand-in targets from this process until the data centre has the given\n" +
		"numbers of ready hosts, and measures the processes at each number.\n"
}

func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.Var(&c.targets, "targets", "comma-separated `addresses` of target listeners of the data centre's entry hosts")
	f.Var(&c.pools, "pools", "comma-separated `names` of pools, given to the hosts in turn")
	f.StringVar(&c.sizes, "hosts", "50,200,600", "comma-separated ascending `numbers` of hosts")
	f.StringVar(&c.plan.DataCentre, "data-centre", "dc-a", "`name` of the data centre")
	f.DurationVar(&c.plan.Settle, "settle", 3*time.Second, "time before each measurement")
	f.DurationVar(&c.plan.Length, "for", 10*time.Second, "time of each measurement")
}

func (c *fleetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, ok := parseNumbers(c.sizes)
	if !ok || len(c.targets) == 0 || c.operator == "" || len(c.diagnostics) == 0 {
		fmt.Fprintln(os.Stderr, "fleet needs -targets, -operator, -diagnostics and numbers of -hosts")
		return subcommands.ExitUsageError
	}
	p := &c.plan
	p.Sizes, p.Pools, p.TargetEntry, p.Diagnostics = sizes, c.pools, c.targets, c.diagnostics
	p.Operator, p.Clock = load.Operator{Address: c.operator}, clock.System{}
	report, err := load.MeasureFleet(ctx, p)
	return printReport(&c.commonFlags, report, err)
}

// changesCommand measures how long record changes take to be in force in all
// processes.
type changesCommand struct {
	commonFlags
	centres stringList
	plan    load.ChangesPlan
}

func (*changesCommand) Name() string     { return "changes" }
func (*changesCommand) Synopsis() string { return "apply record changes and measure their adoption" }
func (*changesCommand) Usage() string {
	return "changes -operator IP:PORT -diagnostics IP:PORT,... -count 50 -rate 5\n\n" +
		"Changes a quota of its own again and again. Exits with 1 if a change is not in\n" +
		"force in every process within 15 s.\n"
}

func (c *changesCommand) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.Var(&c.centres, "data-centres", "comma-separated `names` of data centres, the homes of added pools")
	f.IntVar(&c.plan.Count, "count", 50, "number of changes")
	f.Float64Var(&c.plan.PerSecond, "rate", 5, "changes per second")
	f.IntVar(&c.plan.Pools, "pools", 0, "fill up to this number of pools before, with pools without hosts")
	f.IntVar(&c.plan.Records, "records", 0, "fill up to this number of records before, with quotas")
}

func (c *changesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.operator == "" || len(c.diagnostics) == 0 || c.plan.Count < 1 || c.plan.PerSecond <= 0 || (c.plan.Pools > 0 && len(c.centres) == 0) {
		fmt.Fprintln(os.Stderr, "changes needs -operator, -diagnostics, a positive -count and -rate, and -data-centres for -pools")
		return subcommands.ExitUsageError
	}
	p := &c.plan
	p.Operator, p.Diagnostics, p.DataCentres, p.Clock = load.Operator{Address: c.operator}, c.diagnostics, c.centres, clock.System{}
	report, err := load.MeasureChanges(ctx, p)
	return printReport(&c.commonFlags, report, err)
}
