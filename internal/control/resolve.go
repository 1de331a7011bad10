package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

const (
	// resolveInterval is short compared with ownerGrace, so that urgent work of
	// a killed entry host starts elsewhere within 1.6 s.
	resolveInterval = 250 * time.Millisecond
	// resolveMinInterval is the least time between two reads of one attempt.
	resolveMinInterval = time.Second
	// resolveParallel bounds the orphaned attempts read from targets at once.
	resolveParallel = 16
	// slotReleaseDelay is how long after its dispatch an attempt that its target
	// does not know keeps its slot, because a delayed start may still begin it.
	// It is ten times the time-out of a start request.
	slotReleaseDelay = 30 * time.Second
)

// orphan is an open attempt whose state is read from its target.
type orphan struct {
	attempt   ledger.OpenAttempt
	canRevoke bool
}

// resolveOrphans reads the state of attempts whose owner is gone or suspected,
// and of attempts with an unknown outcome, from their targets.
func (c *Controller) resolveOrphans(ctx context.Context) {
	var (
		wg      sync.WaitGroup
		limit   = make(chan struct{}, resolveParallel)
		mu      sync.Mutex
		reports []model.AttemptReport
	)
	for _, o := range c.dueOrphans(c.orphans()) {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			report, ok := c.cfg.Resolver.Resolve(ctx, o.attempt, o.canRevoke)
			if ok && c.changesLedger(&o.attempt, &report) {
				mu.Lock()
				reports = append(reports, report)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(reports) > 0 {
		_, _ = c.ReportAttempts(ctx, &peer.ReportAttemptsRequest{DataCentre: c.cfg.DataCentre, Reports: reports})
	}
}

// orphans lists the open attempts that are not left to their owners (see
// leaveToOwner) and whose target still runs the incarnation that they were
// assigned to. A suspected owner may still be following some of them.
func (c *Controller) orphans() []orphan {
	var orphans []orphan
	c.cfg.StateMachine.View(func(v datacentre.View) {
		for _, a := range v.Requests.OpenAttempts() {
			h, ok := v.Hosts.Host(a.Host)
			if !ok || h.State == model.HostLost || h.Info.Incarnation != a.TargetIncarnation {
				continue
			}
			a.CheckpointOrdered = a.CheckpointOrdered && h.State == model.HostDraining
			orphans = append(orphans, orphan{a, h.Info.Can(model.CapabilityRevoke)})
		}
	})
	// The owners are looked up outside the view: leading reads the view while
	// it holds the controller's lock, and the opposite order could block both.
	return slices.DeleteFunc(orphans, func(o orphan) bool {
		return c.leaveToOwner(&o.attempt, o.canRevoke)
	})
}

// dueOrphans leaves out attempts that were read within resolveMinInterval.
func (c *Controller) dueOrphans(orphans []orphan) []orphan {
	now, lastResolved := c.cfg.Clock.Now(), make(map[peer.AttemptRef]time.Time, len(orphans))
	due := slices.DeleteFunc(orphans, func(o orphan) bool {
		ref := peer.AttemptRef{Key: o.attempt.Key, Attempt: o.attempt.Attempt}
		last, known := c.lastResolved[ref]
		recent := known && now.Sub(last) < resolveMinInterval
		if !recent {
			last = now
		}
		lastResolved[ref] = last
		return recent
	})
	c.lastResolved = lastResolved
	return due
}

// changesLedger reports whether a report would change the ledger. An unknown
// attempt that its target neither knows nor runs releases its slot after
// slotReleaseDelay, so that the host can drain.
func (c *Controller) changesLedger(a *ledger.OpenAttempt, report *model.AttemptReport) bool {
	if a.State != model.AttemptUnknown || report.State != model.AttemptUnknown {
		return true
	}
	k := c.contactOf(a.Host)
	if a.Released || c.now().Sub(a.At) < slotReleaseDelay || !k.announced || k.incarnation != a.TargetIncarnation {
		return false
	}
	for _, ref := range k.running {
		if ref.Key == a.Key && ref.Attempt == a.Attempt {
			return false
		}
	}
	report.Released = true
	return true
}
