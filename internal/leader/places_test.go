package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against a large task that never starts while patient small ones take each core that
// comes free, also if the leader changes while a place is kept for it.
func TestLargeTaskStartsBesideSmallOnes(t *testing.T) {
	const (
		quiet  = 2 * time.Second
		stream = 15 * time.Second
		pause  = 50 * time.Millisecond
	)
	for name, changesLeader := range map[string]bool{"one leader": false, "leader changes": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				for i := range 2 {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(900 * time.Millisecond)
				}
				cfg := w.withoutStandby()
				cfg.Queues = append([]work.Queue(nil), cfg.Queues...)
				for i := range cfg.Queues {
					if cfg.Queues[i].Name == "once" {
						cfg.Queues[i].Priority = 1
					}
				}
				w.propose(&work.Command{Configure: cfg})
				_, stop := w.lead(2)
				defer func() { stop() }()
				after(time.Second)
				small := work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: 500}}
				for i := range int(stream / pause) {
					w.submit("s"+strconv.Itoa(i), "/once/", small)
					switch time.Duration(i) * pause {
					case quiet:
						w.submit("large", "/draw/", work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: 4000}})
					case quiet + 1200*time.Millisecond:
						if changesLeader {
							stop()
							_, stop = w.lead(3)
						}
					}
					after(pause)
				}
				if state := w.state("large"); state != work.Completed {
					t.Errorf("the job is %s after %v beside small ones\n%s", state, stream-quiet, w.log())
				}
			})
		})
	}
}
