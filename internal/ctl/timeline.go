package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/operator/query"
)

const (
	followInterval = time.Second
	// followOverlap is the time span that every poll reads again, because a
	// slower process can deliver an event after later events of other processes.
	followOverlap = 5 * time.Second
	followLimit   = 10_000
)

// timelineFilter holds the flags of the timeline command.
type timelineFilter struct {
	host, pool, request, wave string
	since, until              string
	limit                     int
	follow                    bool
}

func timelineCommand(a *app) *subcommand {
	var f timelineFilter
	return &subcommand{
		app: a, name: "timeline", synopsis: "show events of all processes in causal order",
		help: `
Shows what happened, to what, by whom and why. Without -since it shows the
latest events. Times are RFC 3339, or a duration before now such as 15m.
`,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&f.host, "host", "", "only events of this `host`")
			flags.StringVar(&f.pool, "pool", "", "only events of this `pool`")
			flags.StringVar(&f.request, "request", "", "only events of this request `key`")
			flags.StringVar(&f.wave, "wave", "", "only events of this `wave`")
			flags.StringVar(&f.since, "since", "", "only events after this `time`")
			flags.StringVar(&f.until, "until", "", "only events up to this `time`")
			flags.IntVar(&f.limit, "limit", 100, "at most `n` events, up to 10000")
			flags.BoolVar(&f.follow, "follow", false, "keep printing events as they happen")
		},
		run: func(ctx context.Context, _ []string) error { return a.timeline(ctx, &f) },
	}
}

func (a *app) timeline(ctx context.Context, f *timelineFilter) error {
	since, err := a.parseTime(f.since)
	if err != nil {
		return err
	}
	until, err := a.parseTime(f.until)
	if err != nil {
		return err
	}
	q := queryParameters("host", f.host, "pool", f.pool, "request", f.request, "wave", f.wave,
		"after", since, "until", until, "limit", strconv.Itoa(f.limit))
	events, err := fetch[query.Events](ctx, a, "/v1/events", q)
	if err != nil {
		return err
	}
	if f.follow {
		return a.follow(ctx, q, events)
	}
	if err := a.print(events, func(t *tableWriter) {
		t.row("TIME", "EVENT", "OBJECTS", "BY", "REASON")
		for i := range events.Events {
			e := &events.Events[i]
			t.row(event.FormatTime(e.Time), e.Kind, event.DescribeObjects(e), e.Actor, e.Reason)
		}
	}); err != nil {
		return err
	}
	return checkReached(events.Unreachable)
}

// parseTime reads an RFC 3339 time or a duration before now and returns the
// time as the API expects it: RFC 3339 in UTC.
func (a *app) parseTime(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return a.env.Clock.Now().Add(-d).UTC().Format(time.RFC3339Nano), nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		return t.UTC().Format(time.RFC3339Nano), nil
	}
	return "", &UsageError{
		Reason: fmt.Sprintf("%q is not a time", text), Next: "use RFC 3339 such as 2030-05-01T04:00:00Z, or a duration before now such as 15m",
	}
}

// eventPrinter prints each event once, although polls overlap.
type eventPrinter struct {
	app  *app
	last hlc.Time
	seen map[event.ID]hlc.Time
	// unreachable is the list of unreachable processes that was printed last.
	unreachable string
}

func (a *app) follow(ctx context.Context, q url.Values, events *query.Events) error {
	f := &eventPrinter{app: a, seen: make(map[event.ID]hlc.Time)}
	q.Del("until")
	q.Set("limit", strconv.Itoa(followLimit))
	for {
		f.printNew(events)
		after := f.last.Add(-followOverlap)
		if len(events.Events) == followLimit {
			// The answer is full: reading the overlap again could return the
			// same events for ever.
			after = f.last
		}
		if f.last.IsZero() {
			q.Del("after")
		} else {
			q.Set("after", after.String())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.env.Clock.After(followInterval):
		}
		next, err := fetch[query.Events](ctx, a, "/v1/events", q)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		if err != nil {
			a.printNotice("timeline: %v; trying again", err)
			next = &query.Events{}
		}
		events = next
	}
}

func (f *eventPrinter) printNew(events *query.Events) {
	for i := range events.Events {
		e := &events.Events[i]
		if _, known := f.seen[e.ID]; known {
			continue
		}
		f.seen[e.ID] = e.Time
		if f.last.Before(e.Time) {
			f.last = e.Time
		}
		f.app.printEvent(e)
	}
	for id, t := range f.seen {
		if f.last.Sub(t) > 2*followOverlap {
			delete(f.seen, id)
		}
	}
	if names := fmt.Sprint(events.Unreachable); len(events.Unreachable) > 0 && names != f.unreachable {
		f.app.printNotice("timeline is partial, not reached: %s", names)
		f.unreachable = names
	}
}

// printEvent writes one event on one line, as a sentence or as JSON.
func (a *app) printEvent(e *event.Event) {
	if a.output != "json" {
		a.line("%s", sanitiseCell(event.Sentence(e)))
		return
	}
	// The error can be ignored: every event can be encoded, and a write to a
	// closed pipe ends the process with SIGPIPE.
	_ = json.NewEncoder(a.env.Stdout).Encode(e)
}

func explainCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "explain", synopsis: "tell what was decided about a host, wave or request, and why",
		args: []string{"host|wave|request", "NAME"}, minArgs: 2,
		help: "Prints one sentence for the current state and one for every decision: when, what, by whom and why.",
		run: func(ctx context.Context, args []string) error {
			explanation, err := fetch[query.Explanation](ctx, a, "/v1/explain", queryParameters("kind", args[0], "name", args[1]))
			if err != nil {
				return err
			}
			if err := a.print(explanation, func(t *tableWriter) {
				for _, s := range explanation.Sentences {
					t.row(s)
				}
			}); err != nil {
				return err
			}
			return checkReached(explanation.Unreachable)
		},
	}
}
