package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// maxQueuedReports bounds the reports that wait for their commit: at most one for
	// each target, and one for each start that is known not to have begun a run.
	maxQueuedReports = 4096
	// batchWindow is how long reports are collected into one commit. It is far below
	// the duration of a task, and about as long as a disk sync.
	batchWindow = 5 * time.Millisecond
	// maxReports bounds the reports of one commit and so its log entry.
	maxReports = 256
)

// pendingReport is a report that waits for its commit.
type pendingReport struct {
	report   *work.Report
	recorded chan bool
}

func newReports() *ring.Ring[pendingReport] {
	return ring.New[pendingReport]("reports of targets", maxQueuedReports)
}

// report commits what a target reported, together with other reports. It reports
// whether the commit succeeded.
func (l *Leader) report(r *work.Report) bool {
	p := pendingReport{r, make(chan bool, 1)}
	if err := l.reports.TryPut(p); err != nil {
		l.log.Warn().Err(err).Str("target", r.Target).Msg("report not recorded")
		return false
	}
	select {
	case recorded := <-p.recorded:
		return recorded
	case <-l.ctx.Done():
		return false
	}
}

// reportLoop batches the reports of many targets into one commit, since one commit for
// each would cost more than the reports themselves. The next batch is collected while a
// commit is awaited.
func (l *Leader) reportLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case first := <-l.reports.Items():
			if !l.sleep(batchWindow) {
				return
			}
			batch := append([]pendingReport{first}, l.reports.Drain(maxReports-1)...)
			l.wg.Go(func() { l.commitReports(batch) })
		}
	}
}

func (l *Leader) commitReports(batch []pendingReport) {
	c := &work.Command{}
	for _, p := range batch {
		c.Reports = append(c.Reports, *p.report)
	}
	recorded := l.proposeOrLog(c, "reports of targets")
	for _, p := range batch {
		p.recorded <- recorded
	}
}
