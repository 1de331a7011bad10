package daemon

import (
	"context"
	"fmt"
	"sync"

	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// eventRecordsInForce reports that a process has put a newer revision in force.
// Its reason has the form "revision N, floor revision M".
const eventRecordsInForce event.Kind = "records_in_force"

// recordsInForce holds the records that this process acts on. They are read
// linearizably from the leader of its data centre group, and are never replaced
// by an older revision.
type recordsInForce struct {
	mu        sync.RWMutex
	records   *model.Records
	state     delta.State
	catalogue *model.Catalogue
	// deltaRefused is set when a delta did not apply: the next pull asks for
	// the full set.
	deltaRefused bool
}

func newRecordsInForce() *recordsInForce { return &recordsInForce{} }

// get returns the records in force, or nil before the first read.
func (f *recordsInForce) get() (*model.Records, *model.Catalogue) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.records, f.catalogue
}

// pullRequest returns the pull for records newer than those in force, and
// whether none are in force yet.
func (f *recordsInForce) pullRequest(dataCentre string) (r *peer.PullRecordsRequest, first bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r = &peer.PullRecordsRequest{DataCentre: dataCentre}
	if f.records == nil {
		return r, true
	}
	r.Revision, r.FloorRevision = f.state.Revision, f.state.FloorRevision
	if !f.deltaRefused {
		digest := f.state.Digest
		r.Digest = &digest
	}
	return r, false
}

// adopt puts records in force unless they are older than the current ones.
func (f *recordsInForce) adopt(records *model.Records) error {
	return f.set(records, delta.StateOf(records))
}

// set is adopt for records whose state is known.
func (f *recordsInForce) set(records *model.Records, state delta.State) error {
	catalogue, err := model.ParseCatalogue(records)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deltaRefused = false
	if f.records == nil || records.Newer(f.records) {
		f.records, f.state, f.catalogue = records, state, catalogue
	}
	return nil
}

// applyDelta applies a delta to the records in force. A delta that does not
// apply exactly is refused as a whole. Only one goroutine changes the records in
// force, so they cannot change between the read and the update.
func (f *recordsInForce) applyDelta(d *delta.Delta) error {
	f.mu.RLock()
	records, have := f.records, f.state
	f.mu.RUnlock()
	if records == nil {
		return &fault.Precondition{What: "delta of the records", Reason: "no records are in force yet"}
	}
	next, err := delta.Patch(records, have, d)
	if err == nil {
		err = f.set(next, d.To)
	}
	if err != nil {
		f.mu.Lock()
		f.deltaRefused = true
		f.mu.Unlock()
	}
	return err
}

// followRecords keeps the records in force up to date by long polls of the
// data centre group's leader.
func (d *Daemon) followRecords(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.pullRecords(ctx); err != nil && ctx.Err() == nil {
			d.log.Debug().Err(err).Msg("cannot pull the records in force")
			select {
			case <-d.clock.After(d.settings.Timing.Tick):
			case <-ctx.Done():
			}
		}
	}
}

func (d *Daemon) pullRecords(ctx context.Context) error {
	pullRequest, first := d.inForce.pullRequest(d.settings.DataCentre)
	if !first {
		pullRequest.WaitMS = d.settings.Timing.PollWait.Milliseconds()
	}
	response, err := peer.CallIdempotent(ctx, d.leaders[d.settings.DataCentre], peer.Handler.PullRecords, pullRequest)
	if err != nil {
		return err
	}
	return d.adoptPulled(response, first)
}

// adoptPulled puts pulled records in force. If the first pull finds none, the
// empty set is put in force.
func (d *Daemon) adoptPulled(response *peer.PullRecordsResponse, first bool) error {
	switch {
	case response.Delta != nil:
		if err := d.inForce.applyDelta(response.Delta); err != nil {
			d.log.Warn().Err(err).Msg("delta of the records refused, pulling the full set")
			return err
		}
	case response.Records != nil || first:
		records := response.Records
		if records == nil {
			records = &model.Records{}
		}
		if err := d.inForce.adopt(records); err != nil {
			return err
		}
	default:
		return nil
	}
	records, _ := d.inForce.get()
	recorder{d}.Record(event.Event{
		Kind: eventRecordsInForce, DataCentre: d.settings.DataCentre, Actor: d.settings.Host,
		Reason: fmt.Sprintf("revision %d, floor revision %d", records.Revision, records.FloorRevision),
	})
	d.log.Info().Uint64("revision", records.Revision).Uint64("floor_revision", records.FloorRevision).Msg("records in force")
	return nil
}
