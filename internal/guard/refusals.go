package guard

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// reason is why a request or connection was refused or closed.
type reason string

// Reasons.
const (
	reasonConnections reason = "connections"
	reasonEvicted     reason = "evicted"
	reasonMemory      reason = "memory"
	reasonHead        reason = "head"
	reasonSlowHead    reason = "slow_head"
	reasonBody        reason = "body"
)

var reasons = []reason{reasonConnections, reasonEvicted, reasonMemory, reasonHead, reasonSlowHead, reasonBody}

// logInterval separates the log lines about refusals of a listener.
const logInterval = time.Second

// refusals counts what was refused, and logs the counts of the last interval.
type refusals struct {
	listener string
	log      zerolog.Logger
	counters map[reason]*metrics.Counter

	mu sync.Mutex
	// since holds the counts since the last log line, nil while there is none to write.
	since map[reason]int
}

func newRefusals(listener string, log zerolog.Logger) *refusals {
	r := &refusals{listener: listener, log: log, counters: map[reason]*metrics.Counter{}}
	for _, why := range reasons {
		r.counters[why] = metrics.GetOrCreateCounter(fmt.Sprintf("agatehaven_guard_refused_total{listener=%q,reason=%q}", listener, why))
	}
	return r
}

// count counts a refusal. The first one of an interval has the counts logged at its end.
func (r *refusals) count(why reason) {
	r.counters[why].Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since == nil {
		r.since = map[reason]int{}
		time.AfterFunc(logInterval, r.write)
	}
	r.since[why]++
}

// write logs the counts of an interval.
func (r *refusals) write() {
	r.mu.Lock()
	counts := r.since
	r.since = nil
	r.mu.Unlock()
	line := r.log.Warn().Str("listener", r.listener)
	for _, why := range reasons {
		if n := counts[why]; n > 0 {
			line = line.Int(string(why), n)
		}
	}
	line.Msg("clients refused")
}
