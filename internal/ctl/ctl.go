// Package ctl implements the commands of agatehavenctl, the operators'
// command-line tool. They call the operator API of any entry host.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/settings"
)

// ServersVariable is the environment variable that lists the default entry
// hosts.
const ServersVariable = "AGATEHAVEN_SERVERS"

// Defaults of the top-level flags.
const (
	defaultTimeout    = 30 * time.Second // twice the limit of 15 s for a revision to be in force everywhere
	defaultTryTimeout = 5 * time.Second
)

// Env is the environment of the tool, which tests replace.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	Clock  clock.Clock
	// NewID generates request ids; nil means random UUIDs.
	NewID func() string
}

// app is one invocation of the tool.
type app struct {
	env        Env
	servers    []string
	output     string
	operator   string
	timeout    time.Duration
	tryTimeout time.Duration
	tls        settings.TLSFiles
	useTLS     bool
	client     *client
}

// Run executes the command in args and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	if env.NewID == nil {
		env.NewID = uuid.NewString
	}
	a := &app{env: env}
	flags := flag.NewFlagSet("agatehavenctl", flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	a.setFlags(flags)
	commander := subcommands.NewCommander(flags, "agatehavenctl")
	commander.Output, commander.Error = env.Stdout, env.Stderr
	commander.Explain = a.explainTool(commander.Explain, flags)
	commander.Register(commander.HelpCommand(), "the tool")
	commander.Register(commander.FlagsCommand(), "the tool")
	a.register(commander)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if a.output != "table" && a.output != "json" {
		return a.reportError(&UsageError{Reason: fmt.Sprintf("unknown output format %q", a.output), Next: "use -o table or -o json"})
	}
	if err := checkCommandName(commander, flags, "agatehavenctl help"); err != nil {
		return a.reportError(err)
	}
	return int(commander.Execute(ctx))
}

// checkCommandName rejects an unknown command with a one-line error; the
// subcommands package would print the whole list of commands.
func checkCommandName(c *subcommands.Commander, f *flag.FlagSet, help string) error {
	name := f.Arg(0)
	known := name == ""
	c.VisitCommands(func(_ *subcommands.CommandGroup, command subcommands.Command) {
		known = known || command.Name() == name
	})
	if known {
		return nil
	}
	return &UsageError{Reason: fmt.Sprintf("unknown command %q", name), Next: "see `" + help + "`"}
}

func (a *app) setFlags(f *flag.FlagSet) {
	f.Func("server", "operator address of an entry host, `IP:port`; repeat it or separate several with commas; "+
		"the next one is tried when one does not answer (default from "+ServersVariable+")", func(s string) error {
		a.servers = append(a.servers, splitServers(s)...)
		return nil
	})
	f.StringVar(&a.output, "o", "table", "output `format`: table or json")
	f.StringVar(&a.operator, "operator", a.env.Getenv("USER"), "your `name` in the timeline; a client certificate overrides it")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "bound for one command, with resending and waiting; watch and follow use it for each look")
	f.DurationVar(&a.tryTimeout, "try-timeout", defaultTryTimeout, "bound for one attempt at one entry host")
	f.BoolVar(&a.useTLS, "tls", false, "use TLS; implied by the other TLS flags")
	f.StringVar(&a.tls.CA, "tls-ca", "", "PEM `file` of the authorities that sign the entry hosts' certificates")
	f.StringVar(&a.tls.Certificate, "tls-cert", "", "PEM `file` of your client certificate")
	f.StringVar(&a.tls.Key, "tls-key", "", "PEM `file` of your private key")
}

func splitServers(s string) []string {
	var out []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (a *app) explainTool(list func(io.Writer), flags *flag.FlagSet) func(io.Writer) {
	return func(w io.Writer) {
		list(w)
		flags.SetOutput(w)
		_, _ = fmt.Fprint(w, "\nFlags of the tool, before the command:\n")
		flags.PrintDefaults()
		_, _ = fmt.Fprint(w, exitCodeHelp)
	}
}

func (a *app) register(c *subcommands.Commander) {
	for _, command := range []*subcommand{
		applyCommand(a), getCommand(a), listCommand(a), jobsCommand(a),
	} {
		c.Register(command, "records")
	}
	for _, command := range []*subcommand{
		poolsCommand(a), hostsCommand(a), drainCommand(a), moveCommand(a), resumeCommand(a),
	} {
		c.Register(command, "hosts")
	}
	c.Register(wavesCommand(a), "hosts")
	c.Register(requestsCommand(a), "requests")
	c.Register(cancelCommand(a), "requests")
	c.Register(replicasCommand(a), "the region")
	c.Register(customersCommand(a), jobsWithSteps)
	c.Register(placementCommand(a), jobsWithSteps)
	for _, command := range []*subcommand{statusCommand(a), timelineCommand(a), explainCommand(a)} {
		c.Register(command, "the region")
	}
}

// api returns the client. It is created on first use because it needs the
// parsed flags.
func (a *app) api() (*client, error) {
	if a.client != nil {
		return a.client, nil
	}
	servers, err := a.givenServers()
	if err != nil {
		return nil, err
	}
	c, err := newClient(a, servers)
	a.client = c
	return c, err
}

// givenServers returns the addresses given by flag or environment. It returns *UsageError if
// there are none, or if one is no address.
func (a *app) givenServers() ([]string, error) {
	servers := a.servers
	if len(servers) == 0 {
		servers = splitServers(a.env.Getenv(ServersVariable))
	}
	if len(servers) == 0 {
		return nil, &UsageError{
			Reason: "no entry host given",
			Next:   "add -server IP:port before the command, or set " + ServersVariable,
		}
	}
	for _, server := range servers {
		if _, port, err := net.SplitHostPort(server); err != nil || port == "" {
			return nil, &UsageError{Reason: fmt.Sprintf("%q is not an address", server), Next: "give -server as IP:port"}
		}
	}
	return servers, nil
}

// subcommand is one command of the tool.
type subcommand struct {
	app      *app
	name     string
	synopsis string
	// args names the positional arguments; the first minArgs are required.
	args    []string
	minArgs int
	help    string
	flags   func(*flag.FlagSet)
	run     func(ctx context.Context, args []string) error
	// parent is the name of the command group with a trailing space, or empty.
	parent string
}

// Name implements subcommands.Command.
func (c *subcommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *subcommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *subcommand) Usage() string {
	line := "agatehavenctl [tool flags] " + c.parent + c.name + " [flags]"
	for i, arg := range c.args {
		if i < c.minArgs {
			line += " " + arg
		} else {
			line += " [" + arg + "]"
		}
	}
	return line + "\n\n" + strings.TrimSpace(c.help) + "\n\n"
}

// SetFlags implements subcommands.Command.
func (c *subcommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.app.env.Stderr)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *subcommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkArgs(f.Args()); err != nil {
		return subcommands.ExitStatus(c.app.reportError(err))
	}
	return subcommands.ExitStatus(c.app.reportError(c.run(ctx, f.Args())))
}

func (c *subcommand) checkArgs(args []string) error {
	next := fmt.Sprintf("see agatehavenctl help %s%s", c.parent, c.name)
	if len(args) < c.minArgs {
		return &UsageError{Reason: fmt.Sprintf("%s%s needs %s", c.parent, c.name, strings.Join(c.args[:c.minArgs], " ")), Next: next}
	}
	if len(args) > len(c.args) {
		extra := args[len(c.args)]
		if strings.HasPrefix(extra, "-") {
			return &UsageError{Reason: fmt.Sprintf("flag %s follows an argument", extra), Next: "put flags before the arguments"}
		}
		return &UsageError{Reason: fmt.Sprintf("unexpected argument %q", extra), Next: next}
	}
	return nil
}

// commandGroup is a command with subcommands of its own, such as waves.
type commandGroup struct {
	app      *app
	name     string
	synopsis string
	children []*subcommand
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "agatehavenctl [tool flags] %s <command>\n\n%s.\n\n", g.name, g.synopsis)
	for _, c := range g.children {
		_, _ = fmt.Fprintf(&b, "\t%-10s %s\n", c.name, c.synopsis)
	}
	_, _ = fmt.Fprintf(&b, "\nagatehavenctl %s help <command> tells more.\n", g.name)
	return b.String()
}

// SetFlags implements subcommands.Command.
func (g *commandGroup) SetFlags(f *flag.FlagSet) { f.SetOutput(g.app.env.Stderr) }

// Execute implements subcommands.Command.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	nested := subcommands.NewCommander(f, "agatehavenctl "+g.name)
	nested.Output, nested.Error = g.app.env.Stdout, g.app.env.Stderr
	nested.Register(nested.HelpCommand(), "")
	for _, c := range g.children {
		c.parent = g.name + " "
		nested.Register(c, "")
	}
	if err := checkCommandName(nested, f, "agatehavenctl help "+g.name); err != nil {
		return subcommands.ExitStatus(g.app.reportError(err))
	}
	return nested.Execute(ctx)
}
