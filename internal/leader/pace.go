package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/pacing"
	"agatehaven.dev/agatehaven/internal/work"
)

// pacer paces the fill-in runs of one target beside its serving runs. The leader's mutex guards
// it.
type pacer struct {
	control pacing.Control
	// confirmed holds the share, in percent, that the target has confirmed for a run. A run that
	// this leader has started begins with 100.
	confirmed map[work.RunRef]int
	// repeatUntil is until when orders are repeated, since an unanswered one may be carried
	// out late, after others.
	repeatUntil time.Time
	// sending is the number of orders in progress.
	sending int
}

// paceOrder is a share of its work, in percent, that a run should have.
type paceOrder struct {
	run     work.RunRef
	percent int
}

// choosePace decides on the shares of the fill-in runs of the target. list is its latest list of
// runs, or nil if a run has been started since. The leader's mutex is held.
func (s *session) choosePace(v *work.View, t *work.Target, list *RunList) []paceOrder {
	if !s.l.interference {
		return nil
	}
	var fillIn []work.RunRef
	targets := map[work.RunRef]int64{} // tail latency targets of the serving runs, in ms
	t.EachRun(func(r work.RunRef) {
		if j, task := v.Find(r.Task); j != nil {
			switch step := &j.Spec.Steps[task.Step]; {
			case step.FillIn:
				fillIn = append(fillIn, r)
			case step.TailLatencyTargetMS > 0:
				targets[r] = step.TailLatencyTargetMS
			}
		}
	})
	maps.DeleteFunc(s.pacer.confirmed, func(r work.RunRef, _ int) bool { return !slices.Contains(fillIn, r) })
	if len(fillIn) == 0 {
		return nil
	}
	o := pacing.Observation{At: s.l.now(), FillIn: len(fillIn), Serving: len(targets)}
	listed := map[work.RunRef]bool{}
	if list != nil {
		known := 0
		for _, r := range list.Running {
			listed[r.Run] = true
			if target := targets[r.Run]; target > 0 && r.Percent >= 100 && r.Load > 0 {
				known++
				o.Load = max(o.Load, r.Load/float64(target))
			}
		}
		o.Known = known == len(targets)
	}
	percent := s.pacer.control.Observe(o)
	repeat := s.l.now().Before(s.pacer.repeatUntil)
	var orders []paceOrder
	for _, r := range fillIn {
		percentNow, known := s.pacer.confirmed[r]
		if order := s.orders[r]; !known && order != nil && !order.sentAt.IsZero() {
			percentNow, known = 100, true
		}
		if (list == nil || listed[r]) && (repeat || !known || percentNow != percent) {
			orders = append(orders, paceOrder{r, percent})
		}
	}
	return orders
}

// sendPace sends orders of pace in the background. What is not confirmed is sent again after
// the next list.
func (s *session) sendPace(orders []paceOrder) {
	s.l.mu.Lock()
	busy := s.pacer.sending > 0
	if !busy {
		s.pacer.sending = len(orders)
	}
	s.l.mu.Unlock()
	if busy {
		return
	}
	for _, o := range orders {
		s.l.wg.Go(func() {
			s.sendPaceOrder(o)
			s.l.mu.Lock()
			s.pacer.sending--
			s.l.mu.Unlock()
		})
	}
}

func (s *session) sendPaceOrder(o paceOrder) {
	fence, mayStart := s.fenceToken()
	if !mayStart || !s.l.Confirmed() {
		return
	}
	ctx, cancel := context.WithTimeout(s.l.ctx, orderTimeout)
	defer cancel()
	reply, err := s.l.cfg.Targets.Pace(ctx, s.to, &PaceOrder{Run: o.run, Percent: o.percent, Fence: fence})
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	switch {
	case err != nil:
		s.pacer.repeatUntil = s.l.now().Add(maxOrderDelay)
		s.logRun(o.run).Err(err).Int("percent", o.percent).Msg("pace not answered")
	case reply.Refusal != NotRefused:
		s.logRun(o.run).Str("refusal", string(reply.Refusal)).Int("percent", o.percent).Msg("pace refused")
	default:
		if s.pacer.confirmed == nil {
			s.pacer.confirmed = map[work.RunRef]int{}
		}
		if before, known := s.pacer.confirmed[o.run]; !known || before != o.percent {
			s.logRun(o.run).Int("percent", o.percent).Msg("fill-in run is paced")
		}
		s.pacer.confirmed[o.run] = o.percent
	}
}

// paceAfterStart paces the target's fill-in runs once a run has been started that interferes
// with others: fill-in work starts with its full share.
func (s *session) paceAfterStart(started work.RunRef) {
	var orders []paceOrder
	s.l.mu.Lock()
	s.l.cfg.StateMachine.Read(func(v *work.View) {
		j, task := v.Find(started.Task)
		if t := v.Targets[s.key]; t != nil && j != nil && interferes(&j.Spec.Steps[task.Step]) {
			orders = s.choosePace(v, t, nil)
		}
	})
	s.l.mu.Unlock()
	s.sendPace(orders)
}
