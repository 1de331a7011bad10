package ctl

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// queryParameters builds URL query parameters from pairs of a name and a value,
// leaving out empty values.
func queryParameters(pairs ...string) url.Values {
	out := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			out.Set(pairs[i], pairs[i+1])
		}
	}
	return out
}

// fetch sends a query to the operator API and decodes the answer.
func fetch[T any](ctx context.Context, a *app, path string, q url.Values) (*T, error) {
	api, err := a.api()
	if err != nil {
		return nil, err
	}
	var out T
	return &out, api.get(ctx, path, q, &out)
}

func poolsCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "pools", synopsis: "show pools with their floors and available hosts",
		help: "Shows every pool in every data centre: floor, available hosts, hosts by state and requests.",
		run: func(ctx context.Context, _ []string) error {
			pools, err := fetch[query.Pools](ctx, a, "/v1/pools", nil)
			if err != nil {
				return err
			}
			if err := a.print(pools, func(t *tableWriter) {
				t.row("POOL", "DATA CENTRE", "FLOOR", "AVAILABLE", "HOSTS", "NOT AVAILABLE", "QUEUED", "RUNNING")
				for i := range pools.Pools {
					p := &pools.Pools[i]
					name := p.Pool
					if p.Spare {
						name += " (spare)"
					}
					t.row(name, p.DataCentre, p.Floor, p.Available, p.Hosts, unavailableByState(p.ByState), p.Queued, p.Running)
				}
			}); err != nil {
				return err
			}
			return checkReached(pools.Unreachable)
		},
	}
}

func unavailableByState(states map[model.HostState]int) string {
	var parts []string
	for state, n := range states {
		if state != model.HostReady && n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func hostsCommand(a *app) *subcommand {
	var pool, centre, state string
	return &subcommand{
		app: a, name: "hosts", synopsis: "show hosts with their state and its reason",
		args: []string{"NAME"},
		help: "Shows all hosts, one host, or those that pass the filters.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&pool, "pool", "", "only this `pool`")
			f.StringVar(&centre, "data-centre", "", "only this data `centre`")
			f.StringVar(&state, "state", "", "only this `state`: ready, draining, maintenance, verifying, lost or set_aside")
		},
		run: func(ctx context.Context, args []string) error {
			name := ""
			if len(args) > 0 {
				name = args[0]
			}
			q := queryParameters("name", name, "pool", pool, "data_centre", centre, "state", state)
			hosts, err := fetch[query.Hosts](ctx, a, "/v1/hosts", q)
			if err != nil {
				return err
			}
			if name != "" && len(hosts.Hosts) == 0 && len(hosts.Unreachable) == 0 {
				return &fault.NotFound{Kind: "host", Name: name}
			}
			if err := a.print(hosts, func(t *tableWriter) { hostTable(t, hosts.Hosts) }); err != nil {
				return err
			}
			return checkReached(hosts.Unreachable)
		},
	}
}

func hostTable(t *tableWriter, hosts []model.Host) {
	t.row("HOST", "DATA CENTRE", "RACK", "POOL", "STATE", "SINCE", "WAVE", "REASON")
	for i := range hosts {
		h := &hosts[i]
		pool := h.Pool
		if h.MoveTo != "" {
			pool += " -> " + h.MoveTo
		}
		t.row(h.Info.Name, h.Info.DataCentre, h.Info.Rack, pool, h.State, event.FormatTime(h.Since), h.Wave, h.Reason)
	}
}

// hostOrder is an operator's command for one host: drain, move or resume.
type hostOrder struct {
	action         peer.HostAction
	host, pool     string
	centre, reason string
}

func (o *hostOrder) setFlags(f *flag.FlagSet) {
	f.StringVar(&o.reason, "reason", "", "`text` for the timeline; required")
	f.StringVar(&o.centre, "data-centre", "", "the host's data `centre` (default: looked up)")
}

func (a *app) sendHostOrder(ctx context.Context, o *hostOrder) error {
	if o.reason == "" {
		return &UsageError{Reason: "an order for a host needs a reason", Next: "add -reason TEXT before the host's name"}
	}
	if o.centre == "" {
		hosts, err := fetch[query.Hosts](ctx, a, "/v1/hosts", queryParameters("name", o.host))
		if err != nil {
			return err
		}
		if len(hosts.Hosts) == 0 {
			if err := checkReached(hosts.Unreachable); err != nil {
				return err
			}
			return &fault.NotFound{Kind: "host", Name: o.host}
		}
		o.centre = hosts.Hosts[0].Info.DataCentre
	}
	api, err := a.api()
	if err != nil {
		return err
	}
	request := &peer.HostCommandRequest{
		DataCentre: o.centre, Host: o.host, Action: o.action, ToPool: o.pool, Operator: a.operator, Reason: o.reason,
	}
	var response peer.HostCommandResponse
	path := "/v1/hosts/" + url.PathEscape(o.host) + "/" + string(o.action)
	if err := api.send(ctx, http.MethodPost, path, request, &response); err != nil {
		return err
	}
	return a.print(&response, func(t *tableWriter) { hostTable(t, []model.Host{response.Host}) })
}

func drainCommand(a *app) *subcommand {
	o := &hostOrder{action: peer.HostDrain}
	return &subcommand{
		app: a, name: "drain", synopsis: "take a host out of service", args: []string{"HOST"}, minArgs: 1,
		help: `
Gives the host no new work; running work ends. The order is refused if the
pool's available hosts would fall below its floor. resume ends it.
`,
		flags: o.setFlags,
		run: func(ctx context.Context, args []string) error {
			o.host = args[0]
			return a.sendHostOrder(ctx, o)
		},
	}
}

func moveCommand(a *app) *subcommand {
	o := &hostOrder{action: peer.HostMove}
	return &subcommand{
		app: a, name: "move", synopsis: "move a host to another pool", args: []string{"HOST", "POOL"}, minArgs: 2,
		help: `
Drains the host and puts it into the other pool of the same data centre. The
order is refused if its present pool would fall below its floor.
`,
		flags: o.setFlags,
		run: func(ctx context.Context, args []string) error {
			o.host, o.pool = args[0], args[1]
			return a.sendHostOrder(ctx, o)
		},
	}
}

func resumeCommand(a *app) *subcommand {
	o := &hostOrder{action: peer.HostResume}
	return &subcommand{
		app: a, name: "resume", synopsis: "return a drained or set-aside host to service",
		args: []string{"HOST"}, minArgs: 1,
		help:  "Ends an operator's drain, or returns a host that the system set aside.",
		flags: o.setFlags,
		run: func(ctx context.Context, args []string) error {
			o.host = args[0]
			return a.sendHostOrder(ctx, o)
		},
	}
}
