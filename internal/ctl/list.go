package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sort"
	"strings"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

func (a *app) records(ctx context.Context) (*model.Records, error) {
	api, err := a.api()
	if err != nil {
		return nil, err
	}
	var out model.Records
	return &out, api.get(ctx, "/v1/records", nil, &out)
}

func findRecord(records *model.Records, kind model.RecordKind, name string) (*model.Record, error) {
	for i := range records.Items {
		if r := &records.Items[i]; r.Kind == kind && r.Name == name && !r.Deleted {
			return r, nil
		}
	}
	return nil, &fault.NotFound{Kind: string(kind), Name: name}
}

func listCommand(a *app) *subcommand {
	var kind string
	return &subcommand{
		app: a, name: "list", synopsis: "list records",
		help: "Lists the records of the region with their revision.",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&kind, "kind", "", "only this `kind`: pool, job_kind, wave or quota")
		},
		run: func(ctx context.Context, _ []string) error {
			records, err := a.records(ctx)
			if err != nil {
				return err
			}
			if kind != "" {
				var items []model.Record
				for _, r := range records.Items {
					if string(r.Kind) == kind {
						items = append(items, r)
					}
				}
				records.Items = items
			}
			return a.print(records, func(t *tableWriter) {
				t.row(fmt.Sprintf("revision %d, records: %d", records.Revision, len(records.Items)))
				t.row("KIND", "NAME", "SCHEMA", "SPEC")
				for i := range records.Items {
					r := &records.Items[i]
					t.row(r.Kind, r.Name, r.Schema, specSummary(r.Spec))
				}
			})
		},
	}
}

// specSummary formats a spec on one line as key=value pairs sorted by key.
func specSummary(spec json.RawMessage) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(spec, &fields) != nil {
		return string(spec)
	}
	parts := make([]string, 0, len(fields))
	for key, value := range fields {
		parts = append(parts, key+"="+strings.ReplaceAll(string(value), `"`, ""))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func getCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "get", synopsis: "print one record",
		args: []string{"KIND", "NAME"}, minArgs: 2,
		help: "Prints one record as JSON. KIND is pool, job_kind, wave or quota.",
		run: func(ctx context.Context, args []string) error {
			records, err := a.records(ctx)
			if err != nil {
				return err
			}
			record, err := findRecord(records, model.RecordKind(args[0]), args[1])
			if err != nil {
				return err
			}
			a.output = "json"
			return a.print(record, nil)
		},
	}
}

func jobsCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "jobs", synopsis: "list job kinds",
		help: "Lists the job kinds with their declared sizes and run times, which are only first guesses.",
		run: func(ctx context.Context, _ []string) error {
			records, err := a.records(ctx)
			if err != nil {
				return err
			}
			kinds := []model.JobKind{}
			for i := range records.Items {
				r := &records.Items[i]
				var spec model.JobKind
				if r.Kind == model.KindJobKind && json.Unmarshal(r.Spec, &spec) == nil {
					spec.Name = r.Name
					kinds = append(kinds, spec)
				}
			}
			return a.print(kinds, func(t *tableWriter) {
				t.row("JOB KIND", "POOL", "PRIORITY", "IDEMPOTENT", "CPU", "MEMORY", "RUN TIME", "ATTEMPTS")
				for i := range kinds {
					k := &kinds[i]
					t.row(k.Name, k.Pool, k.Priority, yesNo(k.Idempotent), fmt.Sprintf("%dm", k.CPUMillis),
						fmt.Sprintf("%d MB", k.MemoryMB), formatMillis(int64(k.RunTimeMS)), k.MaxAttempts)
				}
			})
		},
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
