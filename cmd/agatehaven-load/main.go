// Command agatehaven-load sends requests to a running region and measures the
// answers.
package main

import (
	"context"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"

	"agatehaven.dev/agatehaven/internal/load"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&sampleCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// sampleCommand sends one request of every sample kind.
type sampleCommand struct{ entries string }

func (*sampleCommand) Name() string     { return "sample" }
func (*sampleCommand) Synopsis() string { return "send one request of every sample kind" }
func (*sampleCommand) Usage() string    { return "sample -entries IP:PORT,...\n" }

func (c *sampleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.entries, "entries", "", "comma-separated `addresses` of caller listeners")
}

func (c *sampleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.entries == "" {
		return subcommands.ExitUsageError
	}
	if load.Sample(ctx, load.NewClient(strings.Split(c.entries, ",")), os.Stdout) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
