// Command agatehaven-load sends requests to a running region and measures the
// answers, their latency and the resources that the daemons use.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"agatehaven.dev/agatehaven/internal/load"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&sampleCommand{}, "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&pathCommand{}, "")
	subcommands.Register(&fleetCommand{}, "")
	subcommands.Register(&changesCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// stringList is a flag of comma-separated values.
type stringList []string

// String implements flag.Value.
func (l *stringList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *stringList) Set(text string) error {
	*l = nil
	if text != "" {
		*l = strings.Split(text, ",")
	}
	return nil
}

// commonFlags holds the flags that several commands share.
type commonFlags struct {
	diagnostics stringList
	operator    string
	format      string
}

func (u *commonFlags) register(f *flag.FlagSet) {
	f.Var(&u.diagnostics, "diagnostics", "comma-separated `addresses` of diagnostics listeners, for CPU, memory and bytes")
	f.StringVar(&u.operator, "operator", "", "`address` of one operator listener")
	f.StringVar(&u.format, "o", string(load.FormatText), "output `format`: text or json")
}

// printReport prints the report or the error and returns the exit status.
func printReport(u *commonFlags, report load.Printable, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := load.Print(os.Stdout, load.Format(u.format), report); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if report.Failed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// sampleCommand sends one request of every sample kind.
type sampleCommand struct{ entries stringList }

func (*sampleCommand) Name() string     { return "sample" }
func (*sampleCommand) Synopsis() string { return "send one request of every sample kind" }
func (*sampleCommand) Usage() string    { return "sample -entries IP:PORT,...\n" }

func (c *sampleCommand) SetFlags(f *flag.FlagSet) {
	f.Var(&c.entries, "entries", "comma-separated `addresses` of caller listeners")
}

func (c *sampleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.entries) == 0 {
		return subcommands.ExitUsageError
	}
	if load.Sample(ctx, load.NewClient(c.entries), os.Stdout) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
