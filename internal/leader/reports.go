package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// reportQueue bounds the reports that wait for their commit: each target has
	// at most one, and each settled start one.
	reportQueue = 4096
	// gatherFor is for how long reports are gathered into one commit. It is far
	// below the duration of a task, and of the order of a disk's sync.
	gatherFor = 5 * time.Millisecond
	// maxReports bounds the reports of one commit and so its log entry.
	maxReports = 256
)

// pendingReport is a report that waits for its commit.
type pendingReport struct {
	report   *work.Report
	recorded chan bool
}

func newReports() *ring.Ring[pendingReport] {
	return ring.New[pendingReport]("reports of targets", reportQueue)
}

// report records what a target told, and reports whether it was committed.
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

// reportLoop gathers reports of many targets into one commit. A commit for each
// would cost more than the reports themselves. The next ones are gathered while
// a commit is awaited.
func (l *Leader) reportLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case first := <-l.reports.Items():
			if !l.sleep(gatherFor) {
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
	recorded := l.record(c, "reports of targets")
	for _, p := range batch {
		p.recorded <- recorded
	}
}
