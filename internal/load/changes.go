package load

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

const (
	// changesOperator is the operator name of this tool in events.
	changesOperator = "load"
	// eventRecordsInForce is the kind of the event that a process records when
	// a revision is in force; its reason begins with the revision.
	eventRecordsInForce = event.Kind("records_in_force")
	reasonFormat        = "revision %d,"
	// inForceLimit is the limit of docs/design.md for a revision to be in force
	// in every process.
	inForceLimit        = 15 * time.Second
	inForcePollInterval = 500 * time.Millisecond
)

// ChangesPlan configures a measurement of record changes.
type ChangesPlan struct {
	Operator    Operator
	Diagnostics []string
	// Count is the number of changes, PerSecond the rate at which they are
	// applied.
	Count     int
	PerSecond float64
	// Pools and Records are the numbers of pools and of records to have before
	// the measurement; missing ones are added as pools without hosts and as
	// quotas.
	Pools, Records int
	DataCentres    []string
	Clock          clock.Clock
}

// ChangesReport is the result of applying changes.
type ChangesReport struct {
	Records int `json:"records"`
	// RecordsKB is the encoded size of all records. Each process copies them
	// when it adopts a revision, and each snapshot contains them.
	RecordsKB float64 `json:"records_kb"`
	Changes   int     `json:"changes"`
	Refused   int     `json:"refused"`
	// Accepted is the time from sending a change to its response, InForce the
	// time until it is in force in every process.
	Accepted Latency `json:"accepted"`
	InForce  Latency `json:"in_force"`
	// Missing counts changes not seen in force everywhere within the limit.
	Missing int     `json:"missing"`
	Usage   []Usage `json:"usage"`
}

func (r ChangesReport) table(t *table) {
	t.row("records", "KB", "changes", "refused", "accepted p50 ms", "p99", "max", "in force p50 ms", "p99", "max", "not in force")
	t.row(r.Records, r.RecordsKB, r.Changes, r.Refused, r.Accepted.P50, r.Accepted.P99, r.Accepted.Max,
		r.InForce.P50, r.InForce.P99, r.InForce.Max, r.Missing)
	usageTable(t, r.Usage)
}

// sentChange is an accepted change with the time at which it was sent.
type sentChange struct {
	revision uint64
	sent     time.Time
}

// MeasureChanges applies the changes and measures how long they take to be in
// force.
func MeasureChanges(ctx context.Context, p *ChangesPlan) (ChangesReport, error) {
	var out ChangesReport
	if err := p.fillRecords(ctx); err != nil {
		return out, err
	}
	status, err := p.Operator.Status(ctx)
	if err != nil {
		return out, err
	}
	before, err := Scrape(ctx, p.Diagnostics)
	if err != nil {
		return out, err
	}
	started := p.Clock.Now()
	changes, accepted, err := p.apply(ctx)
	if err != nil {
		return out, err
	}
	out.Changes, out.Refused, out.Accepted = len(changes), p.Count-len(changes), Summarise(accepted)
	processes := make([]string, 0, len(status.Processes))
	for _, process := range status.Processes {
		processes = append(processes, process.Host)
	}
	took, missing, err := p.awaitInForce(ctx, started, changes, processes)
	if err != nil {
		return out, err
	}
	out.InForce, out.Missing = Summarise(took), missing
	after, err := Scrape(ctx, p.Diagnostics)
	if err != nil {
		return out, err
	}
	out.Usage = UsageBetween(before, after)
	records, err := p.Operator.Records(ctx)
	if err != nil {
		return out, err
	}
	data, err := codec.Marshal(records)
	out.Records, out.RecordsKB = len(records.Items), float64(len(data))/1024
	return out, err
}

// fillRecords adds pools without hosts and quotas until there are as many
// pools and records as planned.
func (p *ChangesPlan) fillRecords(ctx context.Context) error {
	have, err := p.Operator.Records(ctx)
	if err != nil {
		return err
	}
	pools := 0
	for i := range have.Items {
		if have.Items[i].Kind == model.KindPool {
			pools++
		}
	}
	var items []model.Record
	for i := pools; i < p.Pools; i++ {
		spec, _ := json.Marshal(model.Pool{Homes: p.DataCentres})
		items = append(items, model.Record{Schema: 2, Kind: model.KindPool, Name: fmt.Sprintf("load-pool-%02d", i), Spec: spec})
	}
	for i := len(have.Items) + len(items); i < p.Records; i++ {
		items = append(items, quotaRecord(fmt.Sprintf("load-team-%03d", i), 16))
	}
	if len(items) == 0 {
		return nil
	}
	_, err = p.Operator.Apply(ctx, &peer.ApplyRecordsRequest{
		RequestID: uuid.NewString(), ExpectedRevision: have.Revision, Records: items, Operator: changesOperator,
	})
	return err
}

func quotaRecord(team string, running int) model.Record {
	spec, _ := json.Marshal(model.Quota{MaxRunning: running, MaxQueued: 1000})
	return model.Record{Schema: 1, Kind: model.KindQuota, Name: team, Spec: spec}
}

// apply sends the changes at the planned rate, one after another, since each
// names the revision that it applies to.
func (p *ChangesPlan) apply(ctx context.Context) (changes []sentChange, accepted []time.Duration, err error) {
	records, err := p.Operator.Records(ctx)
	if err != nil {
		return nil, nil, err
	}
	revision := records.Revision
	start := p.Clock.Now()
	for i := range p.Count {
		due := start.Add(time.Duration(float64(i) / p.PerSecond * float64(time.Second)))
		if !sleep(ctx, p.Clock, due.Sub(p.Clock.Now())) {
			return nil, nil, ctx.Err()
		}
		sent := p.Clock.Now()
		next, err := p.Operator.Apply(ctx, &peer.ApplyRecordsRequest{
			RequestID: uuid.NewString(), ExpectedRevision: revision, Operator: changesOperator,
			Records: []model.Record{quotaRecord("load-changes", i+1)},
		})
		if err != nil {
			// Another operator may have changed the records in between.
			if records, err = p.Operator.Records(ctx); err != nil {
				return nil, nil, err
			}
			revision = records.Revision
			continue
		}
		revision = next
		changes = append(changes, sentChange{next, sent})
		accepted = append(accepted, p.Clock.Now().Sub(sent))
	}
	return changes, accepted, nil
}

// awaitInForce polls the events until every change is in force in every
// process or inForceLimit has passed. It returns the times and the number of
// changes without one.
func (p *ChangesPlan) awaitInForce(ctx context.Context, since time.Time, changes []sentChange, processes []string) ([]time.Duration, int, error) {
	until := p.Clock.Now().Add(inForceLimit)
	for {
		events, err := p.Operator.EventsAfter(ctx, since)
		if err != nil {
			return nil, 0, err
		}
		took, missing := adoptionTimes(changes, processes, events.Events)
		if missing == 0 || p.Clock.Now().After(until) {
			return took, missing, nil
		}
		if !sleep(ctx, p.Clock, inForcePollInterval) {
			return nil, 0, ctx.Err()
		}
	}
}

// adoptionTimes returns the times from a change until the last process had it or
// a newer one in force, and the number of changes without such a time because
// some process does not have them in force.
func adoptionTimes(changes []sentChange, processes []string, events []event.Event) ([]time.Duration, int) {
	type adopted struct {
		revision uint64
		at       time.Time
	}
	byProcess := make(map[string][]adopted)
	for i := range events {
		e := &events[i]
		var revision uint64
		if e.Kind != eventRecordsInForce {
			continue
		}
		if _, err := fmt.Sscanf(e.Reason, reasonFormat, &revision); err == nil {
			byProcess[e.Actor] = append(byProcess[e.Actor], adopted{revision, time.UnixMilli(e.Time.WallMillis)})
		}
	}
	var took []time.Duration
	missing := 0
	for _, c := range changes {
		var last time.Time
		everywhere := true
		for _, process := range processes {
			found := false
			for _, a := range byProcess[process] {
				if a.revision >= c.revision {
					found = true
					if a.at.After(last) {
						last = a.at
					}
					break
				}
			}
			everywhere = everywhere && found
		}
		if !everywhere {
			missing++
			continue
		}
		took = append(took, max(last.Sub(c.sent), 0))
	}
	return took, missing
}

// Failed reports whether a change was not in force everywhere in time.
func (r ChangesReport) Failed() bool { return r.Missing > 0 }
