package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// maxKeptPlaces bounds the places that a pool keeps for tasks that no host has room for.
	maxKeptPlaces = 4
	// placesLogInterval is how often the kept places are logged while there are any.
	placesLogInterval = time.Second
)

// places holds what the last plan kept for tasks that no host has room for. It is not
// replicated: a new leader's first plan keeps places anew.
type places struct {
	kept []schedule.Kept
	// blockedSince holds since when steps without room have waited, in Unix ms.
	blockedSince map[work.TaskRef]int64
	counts       schedule.PlaceCounts // since the last log line
	loggedAt     time.Time
}

// notePlaces records what a plan kept, counts it and logs it. The mutex is held.
func (l *Leader) notePlaces(r *schedule.Request) {
	l.places.kept, l.places.blockedSince = r.Kept, r.BlockedSince
	c := r.PlaceCounts
	placesKept.Add(c.Kept)
	placesGivenUp.Add(c.GivenUp)
	placesUsed.Add(c.Used)
	placesBackfilled.Add(c.Backfilled)
	l.places.counts.Add(c)
	now := l.now()
	if l.places.counts.Kept+l.places.counts.GivenUp+l.places.counts.Used == 0 || now.Sub(l.places.loggedAt) < placesLogInterval {
		return
	}
	c, l.places.counts, l.places.loggedAt = l.places.counts, schedule.PlaceCounts{}, now
	line := l.log.Info().Int("places", len(r.Kept)).Int("kept", c.Kept).Int("given_up", c.GivenUp).Int("used", c.Used).
		Int("backfilled", c.Backfilled).Int("held_back", c.HeldBack)
	if len(r.Kept) > 0 {
		k := r.Kept[0]
		line.Str("job", k.Job).Int("step", k.Step).Str("target", k.Target).Int64("free_in_ms", k.FreeAtMS-r.NowMS).
			Int64("late_ms", max(0, k.FreeAtMS-k.PromisedMS)).Int("moves", k.Moves)
	}
	line.Msg("places are kept for waiting tasks")
}
