package leader

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/work"
)

// Metrics of the leader, in the process-wide set.
var (
	startsOrdered    = metrics.GetOrCreateCounter("agatehaven_starts_ordered_total")
	startsRefused    = metrics.GetOrCreateCounter("agatehaven_starts_refused_total")
	startsUnanswered = metrics.GetOrCreateCounter("agatehaven_starts_unanswered_total")
	holdsSent        = metrics.GetOrCreateCounter("agatehaven_holds_total")
	holdsUnanswered  = metrics.GetOrCreateCounter("agatehaven_holds_unanswered_total")
	// listsTruncated counts lists that do not hold all ended runs, and endsAfterClose the
	// runs that are listed as done after they were closed.
	listsTruncated    = metrics.GetOrCreateCounter("agatehaven_run_lists_truncated_total")
	endsAfterClose    = metrics.GetOrCreateCounter("agatehaven_ends_after_close_total")
	leasesEnded       = metrics.GetOrCreateCounter("agatehaven_leases_ended_total")
	hostMoves         = metrics.GetOrCreateCounter("agatehaven_host_moves_total")
	hostOrdersRefused = metrics.GetOrCreateCounter("agatehaven_host_orders_refused_total")
	// placesKept counts the places that plans kept for tasks without room, placesGivenUp those
	// that did not come free in time or whose host was lost, placesUsed the starts on them, and
	// placesBackfilled the starts of other tasks before or beside them.
	placesKept       = metrics.GetOrCreateCounter("agatehaven_places_kept_total")
	placesGivenUp    = metrics.GetOrCreateCounter("agatehaven_places_given_up_total")
	placesUsed       = metrics.GetOrCreateCounter("agatehaven_places_used_total")
	placesBackfilled = metrics.GetOrCreateCounter("agatehaven_places_backfilled_total")
	commitSeconds    = metrics.GetOrCreateHistogram("agatehaven_commit_seconds")
	startSeconds     = metrics.GetOrCreateHistogram("agatehaven_start_order_seconds")
	taskSeconds      = metrics.GetOrCreateHistogram("agatehaven_task_seconds")
)

// runsEnded counts the ended runs that targets listed, by outcome.
var runsEnded = map[work.Outcome]*metrics.Counter{
	work.OutcomeDone:           metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="done"}`),
	work.OutcomeFailed:         metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="failed"}`),
	work.OutcomeStopped:        metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="stopped"}`),
	work.OutcomeLeaseExpired:   metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="lapsed"}`),
	work.OutcomeGangBroken:     metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="broken"}`),
	work.OutcomeGangIncomplete: metrics.GetOrCreateCounter(`agatehaven_runs_ended_total{outcome="alone"}`),
}

// jobsRefused counts the jobs that a busy pool did not take, by reason.
var jobsRefused = map[string]*metrics.Counter{
	admission.ReasonBeyondAllowance: metrics.GetOrCreateCounter(`agatehaven_jobs_refused_total{reason="beyond_allowance"}`),
	admission.ReasonHopeless:        metrics.GetOrCreateCounter(`agatehaven_jobs_refused_total{reason="hopeless"}`),
}

// countRefusal counts a refused job.
func countRefusal(err error) {
	var refused *admission.Refused
	if errors.As(err, &refused) {
		jobsRefused[refused.Reason].Inc()
	}
}

// countEnds counts newly ended runs. An unknown outcome has no counter.
func countEnds(ends []work.EndedRun) {
	for _, e := range ends {
		if c := runsEnded[e.Outcome]; c != nil {
			c.Inc()
		}
	}
}

// observe records the time since started.
func observe(h *metrics.Histogram, started, now time.Time) { h.Update(now.Sub(started).Seconds()) }
