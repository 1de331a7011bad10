package ctl

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

// pollInterval is the time between two polls of the status while apply waits
// for a revision to be in force.
const pollInterval = 500 * time.Millisecond

// applyResult is the output of apply.
type applyResult struct {
	RequestID string   `json:"request_id"`
	Revision  uint64   `json:"revision"`
	InForce   []string `json:"in_force"`
	// Behind lists processes that answered but are not ready or still have an
	// older revision in force.
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

func applyCommand(a *app) *subcommand {
	var files stringList
	var revision uint64
	var requestID string
	var noWait bool
	return &subcommand{
		app: a, name: "apply", synopsis: "create, change or delete records",
		help: `
Sends the records of all files as one change and waits until every reachable
process reports the new revision in force. Records that the files do not name
stay as they are; a record with deleted = true is removed.

Without -revision the change applies to the revision found at the start. After
a lost answer the tool sends the change again with the same request id, which
has no second effect. -request-id continues a change that was interrupted.
`,
		flags: func(f *flag.FlagSet) {
			f.Var(&files, "f", "`file` of records in TOML or JSON, - for standard input; may be repeated")
			f.Uint64Var(&revision, "revision", 0, "revision that the change applies to (default: the current one)")
			f.StringVar(&requestID, "request-id", "", "`id` of an earlier, interrupted apply of the same files; needs -revision")
			f.BoolVar(&noWait, "no-wait", false, "do not wait until the revision is in force")
		},
		run: func(ctx context.Context, _ []string) error {
			if len(files) == 0 {
				return &UsageError{Reason: "apply needs a file", Next: "add -f FILE; see examples/records.toml"}
			}
			if requestID != "" && revision == 0 {
				return &UsageError{Reason: "-request-id needs -revision", Next: "give the revision that the interrupted apply printed"}
			}
			records, warnings, err := a.readRecords(files)
			if err != nil {
				return err
			}
			for _, warning := range warnings {
				a.printNotice("warning: %s", warning)
			}
			return a.apply(ctx, &change{records: records, revision: revision, requestID: requestID, noWait: noWait})
		},
	}
}

// change is a set of record changes to be applied as one revision.
type change struct {
	records   []model.Record
	revision  uint64 // expected revision; 0 means the current one
	requestID string // empty generates a new one
	noWait    bool
}

func (a *app) apply(ctx context.Context, c *change) error {
	deadline := a.env.Clock.Now().Add(a.timeout)
	api, err := a.api()
	if err != nil {
		return err
	}
	if c.revision == 0 {
		var current model.Records
		if err := api.get(ctx, "/v1/records", nil, &current); err != nil {
			return err
		}
		c.revision = current.Revision
	}
	if c.requestID == "" {
		c.requestID = a.env.NewID()
	}
	request := &peer.ApplyRecordsRequest{
		RequestID: c.requestID, ExpectedRevision: c.revision, Records: c.records, Operator: a.operator,
	}
	var response peer.ApplyRecordsResponse
	if err := api.sendWithRetry(ctx, "/v1/records", request, &response, deadline); err != nil {
		if isResumable(err) {
			a.printNotice("to continue this change: apply with -request-id %s -revision %d and the same files", c.requestID, c.revision)
		}
		return err
	}
	if c.noWait {
		result := newApplyResult(c.requestID, response.Revision)
		return a.print(result, func(t *tableWriter) { t.row(fmt.Sprintf("revision %d accepted", response.Revision)) })
	}
	return a.awaitInForce(ctx, c.requestID, response.Revision, deadline)
}

// awaitInForce polls until every reachable process has the revision in force
// or the deadline passes, then prints the result.
func (a *app) awaitInForce(ctx context.Context, requestID string, revision uint64, deadline time.Time) error {
	result := newApplyResult(requestID, revision)
	var lastErr error
	for {
		var status query.Status
		if lastErr = a.client.get(ctx, "/v1/status", nil, &status); lastErr == nil {
			result.update(&status)
			if len(result.Behind) == 0 {
				break
			}
		}
		if !a.env.Clock.Now().Before(deadline) {
			break
		}
		select {
		case <-ctx.Done():
			return &NotEverywhereError{
				What:  fmt.Sprintf("interrupted; revision %d is accepted, not seen in force in", revision),
				Names: result.processesWithoutRevision(),
				Next:  "see `agatehavenctl status`",
			}
		case <-a.env.Clock.After(pollInterval):
		}
	}
	if err := a.print(result, func(t *tableWriter) {
		t.row(fmt.Sprintf("revision %d accepted; processes with it in force: %d", revision, len(result.InForce)))
	}); err != nil {
		return err
	}
	return result.toError(lastErr)
}

func newApplyResult(requestID string, revision uint64) *applyResult {
	return &applyResult{RequestID: requestID, Revision: revision, InForce: []string{}, Behind: []string{}, Unreachable: []string{}}
}

func (r *applyResult) update(s *query.Status) {
	r.InForce, r.Behind, r.Unreachable = []string{}, []string{}, append([]string{}, s.Unreachable...)
	for _, p := range s.Processes {
		switch {
		case p.Revision >= r.Revision && p.Ready:
			r.InForce = append(r.InForce, p.Host)
		case !p.Ready:
			r.Behind = append(r.Behind, p.Host+" (not ready)")
		default:
			r.Behind = append(r.Behind, fmt.Sprintf("%s (revision %d)", p.Host, p.Revision))
		}
	}
	sort.Strings(r.Unreachable)
}

// processesWithoutRevision lists the processes that are behind or unreachable.
// "any process" stands for all of them if no status was read.
func (r *applyResult) processesWithoutRevision() []string {
	out := append([]string(nil), r.Behind...)
	for _, host := range r.Unreachable {
		out = append(out, host+" (not reached)")
	}
	if len(out) == 0 && len(r.InForce) == 0 {
		out = append(out, "any process")
	}
	return out
}

func (r *applyResult) toError(lastErr error) error {
	names := r.processesWithoutRevision()
	if len(names) == 0 && lastErr == nil {
		return nil
	}
	what := fmt.Sprintf("revision %d is accepted, but not in force everywhere", r.Revision)
	if lastErr != nil {
		what += " (" + strings.ReplaceAll(lastErr.Error(), "\n", " ") + ")"
	}
	return &NotEverywhereError{
		What: what, Names: names,
		Next: "no need to apply again: they adopt the revision once they are reachable; watch `agatehavenctl status`",
	}
}
