package leader

import (
	"cmp"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// noteAcknowledged records that the target has dropped its ended runs up to a number, and
// returns the highest such number.
func (s *session) noteAcknowledged(number int64) int64 {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.acknowledged = max(s.acknowledged, number)
	return s.acknowledged
}

// applyList records the ended runs of a list and sends the orders that it calls for.
// recorded is the number of the last recorded ended run, and acknowledged the number up to
// which the target was asked to drop them.
func (s *session) applyList(h *RunList, sent time.Time, recorded, acknowledged int64) {
	if s.waitForGap(h) {
		h.Ended = h.Ended[:h.BeforeGap]
	}
	h.filterEnded(recorded, acknowledged)
	s.logUnreadable(&h.Unreadable)
	s.logTruncated(h, recorded)
	report := s.reconcile(h, sent, s.noteAcknowledged(acknowledged) < recorded)
	if report != nil {
		if s.l.report(report) {
			countEnds(report.EndedRuns)
			s.l.noteOutcomes(s.key, report.EndedRuns)
			s.l.logEnds(s.key, report.EndedRuns)
			s.l.wake.signal()
		}
	}
	if h.Unreadable.LeftOut > 0 {
		// An ended run that cannot be recorded is listed again at once: the target does
		// not wait for the next one.
		s.l.sleep(retryDelay)
	}
}

// gapPatience is how long an ended run that cannot be read holds up those listed after it. A
// number acknowledges all ended runs up to it, and the row may be sound in the next list.
const gapPatience = time.Second

// waitForGap reports whether the ended runs that follow one that cannot be read are left for a
// later list.
func (s *session) waitForGap(h *RunList) bool {
	if !h.HasGap || h.BeforeGap > len(h.Ended) {
		s.gapSince = time.Time{}
		return false
	}
	now := s.l.now()
	if s.gapSince.IsZero() {
		s.gapSince = now
		s.l.log.Info().Str("target", s.key).Int("before", h.BeforeGap).Int("after", len(h.Ended)-h.BeforeGap).
			Msg("an ended run cannot be read; those after it wait")
	}
	return now.Sub(s.gapSince) < gapPatience
}

// maxEndGap is by how much the number of an ended run may exceed the last recorded one.
// Far fewer runs end on a target between two lists, and a list has 500 at most.
const maxEndGap = 1 << 20

// filterEnded sorts the ended runs by number, since only numbers above the last
// recorded one count, and drops the others and those with an invalid number. A number
// that is too high would acknowledge all ended runs up to it, which the target then drops.
func (h *RunList) filterEnded(recorded, acknowledged int64) {
	slices.SortStableFunc(h.Ended, func(a, b work.EndedRun) int { return cmp.Compare(a.Number, b.Number) })
	admitted := h.Ended[:0]
	for i, e := range h.Ended {
		switch {
		case e.Number <= acknowledged:
			h.Unreadable.Add(i, "an acknowledged ended run is listed again", true)
		case e.Number <= recorded:
		case e.Number-recorded > maxEndGap:
			h.Unreadable.Add(i, "the number of the ended run is too high", true)
		default:
			admitted = append(admitted, e)
		}
	}
	h.Ended = admitted
}

// rowsLogInterval is how often unreadable rows are logged for one target, which sends
// several lists a second.
const rowsLogInterval = 10 * time.Second

// logUnreadable logs unreadable rows.
func (s *session) logUnreadable(u *UnreadableRows) {
	now := s.l.now()
	if u.Rows == 0 || now.Sub(s.rowsLogged) < rowsLogInterval {
		return
	}
	s.rowsLogged = now
	s.l.log.Warn().Err(u).Str("target", s.key).Msg("list of runs not read in full")
}

// logTruncated logs lists that do not hold all ended runs.
func (s *session) logTruncated(h *RunList, acknowledged int64) {
	if !h.Truncated {
		return
	}
	listsTruncated.Inc()
	if now := s.l.now(); now.Sub(s.truncatedLogged) >= rowsLogInterval {
		s.truncatedLogged = now
		s.l.log.Info().Str("target", s.key).Int("ends", len(h.Ended)).Int("running", len(h.Running)).
			Int64("acknowledged", acknowledged).Msg("list of ended runs is truncated")
	}
}

// listActions is what a list of runs calls for.
type listActions struct {
	report *work.Report
	// stop holds runs that must not continue or begin. resumeStart holds runs that are
	// not listed and whose start was committed by an earlier leader.
	stop, resumeStart []work.RunRef
	// incomplete is set if rows of the list were skipped.
	incomplete bool
	// truncated is set if a later list will show ended runs that this one lacks.
	truncated bool
	// closedBefore holds the runs that are listed as done and that the state had closed
	// before, so that their tasks may have been started again.
	closedBefore []work.RunRef
}

// mayLack reports whether a run that the list does not show may nevertheless be alive or
// have ended on the target. It may be in a skipped row; a row that is still skipped
// maxOrderDelay after the run was last listed or was stopped is about something else, and
// waiting for it would keep the task from ever starting again.
func (c *listActions) mayLack(since, sent time.Time) bool {
	return c.truncated || (c.incomplete && sent.Sub(since) < maxOrderDelay)
}

// reconcile compares a list with the runs that the state holds and sends the orders
// that it calls for. It returns what has to be recorded, or nil.
// toAcknowledge is set if the target still has to be sent the number of a recorded end.
func (s *session) reconcile(h *RunList, sent time.Time, toAcknowledge bool) *work.Report {
	l := s.l
	c := &listActions{
		report: &work.Report{Target: s.key, EndedRuns: h.Ended}, incomplete: h.Unreadable.LeftOut > 0,
		// If there is nothing to be acknowledged, the next list will be the same.
		truncated: h.Truncated && (len(h.Ended) > 0 || toAcknowledge),
	}
	l.mu.Lock()
	finished := s.finished(h.Ended)
	var paceOrders []paceOrder
	l.cfg.StateMachine.Read(func(v *work.View) {
		if t := v.Targets[s.key]; t != nil {
			s.reconcileRuns(v, t, h, sent, c)
			paceOrders = s.choosePace(v, t, h)
			if l.fleet.isInMaintenance(t.Host) {
				l.fleetWake.signal()
			}
		}
	})
	for _, f := range finished {
		l.estimates.add(f.queue, f.ms)
		taskSeconds.Update(float64(f.ms) / 1000)
	}
	s.listed, s.listedAt = true, sent
	s.answered = l.now()
	l.mu.Unlock()
	if len(c.closedBefore) > 0 {
		endsAfterClose.Add(len(c.closedBefore))
		s.logRun(c.closedBefore[0]).Int("runs", len(c.closedBefore)).Msg("runs were done on the target, but had been closed before")
	}
	s.sendPace(paceOrders)
	for _, r := range c.stop {
		s.stop(r)
	}
	for _, r := range c.resumeStart {
		s.resumeStart(r)
	}
	if len(c.report.EndedRuns) == 0 && len(c.report.Closed) == 0 && len(c.report.Checkpoints) == 0 && len(c.report.Begun) == 0 {
		return nil
	}
	return c.report
}

// beginReportInterval is how long after a report that a job has begun it is reported again
// if it was not recorded.
const beginReportInterval = time.Second

// isFirstToBegin reports whether a run that is listed is to be reported as the first one of
// its job that has begun. Many targets may list runs of one job at the same time. The
// leader's mutex is held.
func (l *Leader) isFirstToBegin(j *work.Job) bool {
	now := l.now()
	if j.Begun || j.State.Final() || now.Sub(l.beginsReported[j.ID]) < beginReportInterval {
		return false
	}
	l.beginsReported[j.ID] = now
	return true
}

// reportBegun reports the jobs that have begun by confirmed starts of a target that does not
// answer any more. Others are reported with the next list.
func (s *session) reportBegun() {
	report := &work.Report{Target: s.key}
	s.l.mu.Lock()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		for run, o := range s.orders {
			if j, _ := v.Find(run.Task); j != nil && !o.startedAt.IsZero() && s.l.isFirstToBegin(j) {
				report.Begun = append(report.Begun, run)
			}
		}
	})
	s.l.mu.Unlock()
	if len(report.Begun) > 0 {
		s.l.report(report)
	}
}

// pruneBegins forgets the reports of jobs that have ended or are known to have begun.
func (l *Leader) pruneBegins() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for id := range l.beginsReported {
			if j := v.Live[id]; j == nil || j.Begun {
				delete(l.beginsReported, id)
			}
		}
	})
}

// reconcileRuns compares the runs of a target. The leader's mutex is held.
func (s *session) reconcileRuns(v *work.View, t *work.Target, h *RunList, sent time.Time, c *listActions) {
	held, listed, ended := map[work.RunRef]bool{}, map[work.RunRef]bool{}, map[work.RunRef]bool{}
	t.EachRun(func(r work.RunRef) { held[r] = true })
	for _, e := range h.Ended {
		ended[e.Run] = true
		if e.Outcome == work.OutcomeDone && needsRun(v, e.Run) {
			c.closedBefore = append(c.closedBefore, e.Run)
		}
	}
	s.starting = false
	for _, r := range h.Running {
		listed[r.Run] = true
		job, task := v.Find(r.Run.Task)
		if job != nil && s.l.isFirstToBegin(job) {
			c.report.Begun = append(c.report.Begun, r.Run)
		}
		if !held[r.Run] {
			c.stop = append(c.stop, r.Run)
			continue
		}
		o := s.orderOf(r.Run)
		o.confirmStarted(sent)
		o.listedAt = sent
		if o.isUp = r.Percent >= 100; o.isUp && o.upSince.IsZero() {
			o.upSince = sent
		}
		s.starting = s.starting || (task != nil && !o.isUp && job.Spec.Steps[task.Step].LongLived)
		if task != nil && r.Checkpoint != "" && task.Checkpoint != r.Checkpoint {
			c.report.Checkpoints = append(c.report.Checkpoints, work.Checkpoint{Run: r.Run, Value: r.Checkpoint})
		}
	}
	for r := range held {
		if !ended[r] {
			s.reconcileRun(v, r, listed[r], sent, c)
		}
	}
	for r, o := range s.orders {
		// A run whose stop is in progress is kept, or each list would start another
		// stop.
		if !held[r] && !o.stopping {
			delete(s.orders, r)
		}
	}
}

// needsRun reports whether a task has to run (again) although the state holds no run, or a
// later one, of it.
func needsRun(v *work.View, r work.RunRef) bool {
	j, t := v.Find(r.Task)
	return j != nil && !j.State.Final() && !t.Done && !j.Spec.Steps[t.Step].LongLived && (t.Run != r.Run || !t.Active())
}

// reconcileRun decides on one run that the state holds and that has not ended.
func (s *session) reconcileRun(v *work.View, r work.RunRef, listed bool, sent time.Time, c *listActions) {
	job, _ := v.Find(r.Task)
	o := s.orderOf(r)
	switch {
	case !o.stoppedAt.IsZero() && o.stoppedAt.Before(sent) && !listed && !c.mayLack(o.stoppedAt, sent):
		s.logRun(r).Dur("stopped_before", sent.Sub(o.stoppedAt)).Int("listed_ends", len(c.report.EndedRuns)).
			Bool("skipped_rows", c.incomplete).Msg("stopped run is not listed")
		c.report.Closed = append(c.report.Closed, r)
	case job == nil || job.State.Final():
		c.stop = append(c.stop, r)
	case listed:
	case !o.startedAt.IsZero() && o.startedAt.Before(sent):
		if c.mayLack(latest(o.startedAt, o.listedAt), sent) {
			return
		}
		if !o.stopping && o.stoppedAt.IsZero() {
			s.logRun(r).Dur("started_before", sent.Sub(o.startedAt)).Int("listed_ends", len(c.report.EndedRuns)).
				Bool("skipped_rows", c.incomplete).Msg("started run is not listed")
		}
		c.stop = append(c.stop, r) // make sure that it cannot begin again
	case !o.starting && o.stoppedAt.IsZero() && !c.truncated:
		c.resumeStart = append(c.resumeStart, r)
	}
}

// finishedTask is the duration of a finished task.
type finishedTask struct {
	queue string
	ms    int64
}

// finished returns the durations of the tasks that newly ended runs finished, from the
// start that this leader sent. Times in the log may be those of another leader's clock. The
// leader's mutex is held.
func (s *session) finished(ends []work.EndedRun) []finishedTask {
	var out []finishedTask
	now := s.l.now()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		for _, e := range ends {
			o := s.orders[e.Run]
			if e.Outcome != work.OutcomeDone || o == nil || o.sentAt.IsZero() {
				continue
			}
			if j, t := v.Find(e.Run.Task); j != nil && t.Run == e.Run.Run && t.Active() {
				out = append(out, finishedTask{j.Queue, now.Sub(o.sentAt).Milliseconds()})
			}
		}
	})
	return out
}
