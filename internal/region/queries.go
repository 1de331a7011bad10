package region

import (
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// Kinds of the region group's events.
const (
	RecordApplied event.Kind = "record_applied"
	RecordDeleted event.Kind = "record_deleted"
	// FloorsOffered: the floors of a pool changed, but some stay above the
	// requested value until other data centres acknowledge their increase.
	FloorsOffered event.Kind = "floors_offered"
	// FloorsSettled: the floors of a pool equal those that its record requests.
	FloorsSettled event.Kind = "floors_settled"
)

// Records returns the current records. They are immutable: a change replaces
// them by new ones.
func (m *StateMachine) Records() *model.Records {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.Records()
}

// RecordsSince returns what a process with the state have is missing; see
// delta.History.Since.
func (m *StateMachine) RecordsSince(have delta.State) (*model.Records, *delta.Delta) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.history.Since(have)
}

// Changed returns a channel that is closed when newer records are available.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Events returns up to limit of the kept events after the given time, oldest
// first.
func (m *StateMachine) Events(after hlc.Time, limit int) []event.Event {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []event.Event
	for _, e := range m.events {
		if len(out) >= limit {
			break
		}
		if after.Before(e.Time) {
			out = append(out, e)
		}
	}
	return out
}

func (m *StateMachine) addRecordEvents(e replica.Entry, r *peer.ApplyRecordsRequest) {
	for i, rec := range r.Records {
		ev := event.Event{
			ID: event.ID{Group: "region", Index: e.Index, Seq: i}, Time: e.Time, Kind: RecordApplied, Actor: r.Operator,
			Reason: fmt.Sprintf("request %s set %s %q at revision %d", r.RequestID, rec.Kind, rec.Name, m.history.Records().Revision),
		}
		if rec.Deleted {
			ev.Kind = RecordDeleted
		}
		switch rec.Kind {
		case model.KindPool:
			ev.Pool = rec.Name
		case model.KindWave:
			ev.Wave = rec.Name
		}
		m.addEvent(ev)
	}
}

func (m *StateMachine) addFloorEvents(e replica.Entry, seq int, pools []string) {
	for i, pool := range pools {
		ev := event.Event{
			ID: event.ID{Group: "region", Index: e.Index, Seq: seq + i}, Time: e.Time, Kind: FloorsOffered, Pool: pool,
			Reason: fmt.Sprintf("floors %v wait for data centres whose floor rises", m.history.Records().Floors[pool]),
		}
		if m.floors.Settled(pool) {
			ev.Kind, ev.Reason = FloorsSettled, fmt.Sprintf("floors %v equal the record's", m.history.Records().Floors[pool])
		}
		m.addEvent(ev)
	}
}

func (m *StateMachine) addEvent(ev event.Event) {
	if len(m.events) >= MaxEvents {
		m.events = slices.Clone(m.events[len(m.events)-MaxEvents+1:])
	}
	m.events = append(m.events, ev)
}
