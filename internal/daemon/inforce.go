package daemon

import (
	"context"
	"fmt"
	"sync"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// eventRecordsInForce tells that a process decides by a newer revision. Its
// reason has the form "revision N, floor revision M".
const eventRecordsInForce event.Kind = "records_in_force"

// inForce holds the records by which this process decides. They come from the
// leader of its data centre group by a linearizable read, and never get older.
type inForce struct {
	mu        sync.RWMutex
	records   *model.Records
	catalogue *model.Catalogue
}

func newInForce() *inForce { return &inForce{} }

// get returns the records in force, or nil before the first read.
func (f *inForce) get() (*model.Records, *model.Catalogue) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.records, f.catalogue
}

// adopt takes records into force unless they are older than the current ones.
func (f *inForce) adopt(records *model.Records) error {
	catalogue, err := model.ParseCatalogue(records)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil || records.Newer(f.records) {
		f.records, f.catalogue = records, catalogue
	}
	return nil
}

// followRecords keeps the records in force up to date by long polls of the
// data centre group's leader.
func (d *Daemon) followRecords(ctx context.Context) {
	leader := d.leaders[d.settings.DataCentre]
	for ctx.Err() == nil {
		request := &peer.PullRecordsRequest{DataCentre: d.settings.DataCentre}
		records, _ := d.force.get()
		if records != nil {
			request.Revision, request.FloorRevision = records.Revision, records.FloorRevision
			request.WaitMS = d.settings.Timing.PollWait.Milliseconds()
		}
		err := leader.DoIdempotent(ctx, func(h peer.Handler) error {
			response, err := h.PullRecords(ctx, request)
			if err != nil {
				return err
			}
			return d.takeRecords(response.Records, records == nil)
		})
		if err != nil && ctx.Err() == nil {
			d.log.Debug().Err(err).Msg("records in force not read")
			select {
			case <-d.clock.After(d.settings.Timing.Tick):
			case <-ctx.Done():
			}
		}
	}
}

// takeRecords adopts pulled records. The first read may find none: then the
// empty set is in force.
func (d *Daemon) takeRecords(records *model.Records, first bool) error {
	if records == nil {
		if !first {
			return nil
		}
		records = &model.Records{}
	}
	if err := d.force.adopt(records); err != nil {
		return err
	}
	recorder{d}.Record(event.Event{
		Kind: eventRecordsInForce, DataCentre: d.settings.DataCentre, Actor: d.settings.Host,
		Reason: fmt.Sprintf("revision %d, floor revision %d", records.Revision, records.FloorRevision),
	})
	d.log.Info().Uint64("revision", records.Revision).Uint64("floor_revision", records.FloorRevision).Msg("records in force")
	return nil
}
