// Command agatehavend is the daemon on each entry host.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/daemon"
	"agatehaven.dev/agatehaven/internal/logging"
	"agatehaven.dev/agatehaven/internal/settings"
	"agatehaven.dev/agatehaven/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&roleCommand{"entry", "serve callers on the users' platform", platform.RunEntry}, "")
	subcommands.Register(&roleCommand{"core", "serve targets and operators on the users' platform", platform.RunCore}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// runCommand runs the daemon until a signal stops it.
type runCommand struct{ path string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "serve as an entry host" }
func (*runCommand) Usage() string {
	return "run -settings FILE\n\nSIGTERM stops gracefully; a second SIGTERM stops at once.\n"
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "agatehavend.toml", "path of the TOML settings")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := run(ctx, c.path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	var out io.Writer = os.Stderr
	if s.Log.File != "" {
		file, err := logging.OpenFile(s.Log.File, int64(s.Log.MaxFileMB)<<20)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	log, err := logging.New(out, s.Log.Level, clock.System{})
	if err != nil {
		return err
	}
	stop, abort := signals(ctx)
	d, err := daemon.New(abort, daemon.Config{Settings: s, Log: log, Clock: clock.System{}})
	if err != nil {
		return err
	}
	return d.Run(stop, abort)
}

// signals returns a context that is cancelled by the first SIGTERM or SIGINT,
// which starts a graceful stop, and one that is cancelled by the second, which
// ends the process at once.
func signals(ctx context.Context) (stop, abort context.Context) {
	stop, cancelStop := context.WithCancel(ctx)
	abort, cancelAbort := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		cancelStop()
		<-received
		cancelAbort()
	}()
	return stop, abort
}

// checkCommand checks settings and exits.
type checkCommand struct{ path string }

func (*checkCommand) Name() string     { return "check-config" }
func (*checkCommand) Synopsis() string { return "check the settings and exit" }
func (*checkCommand) Usage() string    { return "check-config -settings FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "agatehavend.toml", "path of the TOML settings")
}

func (c *checkCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := settings.Check(c.path, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// roleCommand runs one role on the users' platform. An environment variable
// names the settings file.
type roleCommand struct {
	name, synopsis string
	serve          func() error
}

func (c *roleCommand) Name() string         { return c.name }
func (c *roleCommand) Synopsis() string     { return c.synopsis }
func (c *roleCommand) Usage() string        { return c.name + "\n\nSIGTERM stops gracefully.\n" }
func (*roleCommand) SetFlags(*flag.FlagSet) {}

func (c *roleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
