package ctl

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"strconv"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/command"
	"agatehaven.dev/agatehaven/internal/operator/query"
)

func requestsCommand(a *app) *subcommand {
	var pool, kind, team, state, outcome string
	var limit int
	return &subcommand{
		app: a, name: "requests", synopsis: "show requests", args: []string{"KEY"},
		help: "Shows the latest requests of every data centre, or one request with its attempts.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&pool, "pool", "", "only this `pool`")
			f.StringVar(&kind, "kind", "", "only this job `kind`")
			f.StringVar(&team, "team", "", "only this `team`")
			f.StringVar(&state, "state", "", "only this `state`: queued, dispatched, parked or finished")
			f.StringVar(&outcome, "outcome", "", "only this `outcome`: done, not_run or unknown")
			f.IntVar(&limit, "limit", 100, "look at the latest `n` requests of each data centre, at most 10000")
		},
		run: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return a.showRequest(ctx, args[0])
			}
			q := queryParameters("pool", pool, "kind", kind, "team", team, "state", state,
				"outcome", outcome, "limit", strconv.Itoa(limit))
			requests, err := fetch[query.Requests](ctx, a, "/v1/requests", q)
			if err != nil {
				return err
			}
			if err := a.print(requests, func(t *tableWriter) { requestTable(t, requests.Requests) }); err != nil {
				return err
			}
			return checkReached(requests.Unreachable)
		},
	}
}

func requestTable(t *tableWriter, requests []model.Request) {
	t.row("REQUEST", "KIND", "TEAM", "POOL", "CLAIMED", "STATE", "OUTCOME", "ATTEMPTS", "REASON")
	for i := range requests {
		r := &requests[i]
		outcome := string(r.Outcome)
		if r.Outcome == model.OutcomeDone && !r.Succeeded {
			outcome = "done (failed)"
		}
		attempts := len(r.Attempts)
		if r.DetailsExpired && attempts > 0 {
			attempts = r.Attempts[attempts-1].Number
		}
		t.row(r.Key, r.Kind, r.Team, r.Pool, event.FormatTime(r.Claimed), r.State, outcome, attempts, r.Reason)
	}
}

func (a *app) showRequest(ctx context.Context, key string) error {
	r, err := fetch[model.Request](ctx, a, "/v1/requests/"+url.PathEscape(key), nil)
	if err != nil {
		return err
	}
	return a.print(r, func(t *tableWriter) { requestDetail(t, r) })
}

func requestDetail(t *tableWriter, r *model.Request) {
	requestTable(t, []model.Request{*r})
	if len(r.Attempts) == 0 {
		return
	}
	t.rows = append(t.rows, "")
	t.row("ATTEMPT", "HOST", "OWNER", "AT", "STATE", "REASON")
	for i := range r.Attempts {
		at := &r.Attempts[i]
		t.row(at.Number, at.Host, at.Owner, event.FormatTime(at.At), at.State, at.Reason)
	}
}

func cancelCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "cancel", synopsis: "cancel a request", args: []string{"KEY"}, minArgs: 1,
		help: "A queued request ends as not_run at once. A dispatched one is stopped, and its outcome follows.",
		run: func(ctx context.Context, args []string) error {
			api, err := a.api()
			if err != nil {
				return err
			}
			var r model.Request
			path := "/v1/requests/" + url.PathEscape(args[0])
			if err := api.send(ctx, http.MethodDelete, path, &command.CancelBody{Operator: a.operator}, &r); err != nil {
				return err
			}
			return a.print(&r, func(t *tableWriter) { requestDetail(t, &r) })
		},
	}
}
