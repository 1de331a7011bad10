package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/ring"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// permitTargets bounds the targets of one query. The service takes time for each,
	// and 30 leave enough choice.
	permitTargets = 30
	// permitTimeout bounds one query. The service answers one at a time.
	permitTimeout = 2 * time.Second
	// permitMargin is how long before its expiry a permission is requested again, so
	// that a start in progress does not outlast it.
	permitMargin = 700 * time.Millisecond
	// maxQueuedQueries bounds the queued queries; the service accepts 32.
	maxQueuedQueries = 32
	// permitRetryDelay is the delay after a query without an answer.
	permitRetryDelay = 300 * time.Millisecond
)

// permits caches the answers of the policy service. The leader's mutex guards it.
type permits struct {
	steps   map[work.TaskRef]*permit // by job, occurrence and step
	queries *ring.Ring[permitQuery]
}

// permit is what the service has answered for a step.
type permit struct {
	tickets map[string]string // by target id, valid until
	until   time.Time
	// verdicts holds, by target id, whether the step may run there. It does not change,
	// unlike the tickets.
	verdicts map[string]bool
	asking   bool
}

// denied reports whether the service has answered that a step may not run on a target.
func (p *permits) denied(step work.TaskRef, target string) bool {
	known := p.steps[step]
	if known == nil {
		return false
	}
	allowed, answered := known.verdicts[target]
	return answered && !allowed
}

// allowed reports whether the service has answered that a step may run on a target.
func (p *permits) allowed(step work.TaskRef, target string) bool {
	known := p.steps[step]
	return known != nil && known.verdicts[target]
}

// permitQuery asks which targets may run a step.
type permitQuery struct {
	step    work.TaskRef
	targets []string
}

func newPermits() permits {
	return permits{steps: map[work.TaskRef]*permit{}, queries: ring.New[permitQuery]("permit questions", maxQueuedQueries)}
}

// stepRef returns the reference of a task's step: that of the task with index 0.
func stepRef(t work.TaskRef) work.TaskRef {
	t.Index = 0
	return t
}

// ticket returns the valid ticket of a step on a target.
func (p *permits) ticket(step work.TaskRef, target string, now time.Time) (string, bool) {
	known := p.steps[step]
	if known == nil || now.After(known.until) {
		return "", false
	}
	ticket, ok := known.tickets[target]
	return ticket, ok
}

// ask queues a query unless a valid answer is cached or a query is pending.
func (p *permits) ask(step work.TaskRef, targets []string, now time.Time) {
	known := p.steps[step]
	if known == nil {
		known = &permit{verdicts: map[string]bool{}}
		p.steps[step] = known
	}
	if known.asking || now.Before(known.until) || len(targets) == 0 {
		return
	}
	known.asking = p.queries.TryPut(permitQuery{step, targets}) == nil // on failure, the next plan asks again
}

// permitLoop queries the policy service, one step at a time.
func (l *Leader) permitLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case q := <-l.permits.queries.Items():
			l.permit(q)
		}
	}
}

func (l *Leader) permit(q permitQuery) {
	ctx, cancel := context.WithTimeout(l.ctx, permitTimeout)
	defer cancel()
	tickets, validMS, err := l.cfg.Policy.Permit(ctx, q.step, q.targets)
	var unreadable *UnreadableRows
	if errors.As(err, &unreadable) {
		l.log.Warn().Err(unreadable).Str("job", q.step.Job).Int("step", q.step.Step).Msg("answer of the policy service not read in full")
		err = nil // the other tickets are valid
	}
	l.mu.Lock()
	known := l.permits.steps[q.step]
	known.asking = false
	if err == nil {
		known.tickets = tickets
		for _, id := range q.targets {
			_, known.verdicts[id] = tickets[id]
		}
		known.until = l.now().Add(time.Duration(validMS)*time.Millisecond - permitMargin)
	}
	l.mu.Unlock()
	if err != nil {
		l.log.Warn().Err(err).Str("job", q.step.Job).Int("step", q.step.Step).Msg("policy service did not answer")
		l.sleep(permitRetryDelay)
		return
	}
	l.log.Info().Str("job", q.step.Job).Int("step", q.step.Step).Int("asked", len(q.targets)).Int("permitted", len(tickets)).
		Int64("valid_ms", validMS).Msg("hosts permitted")
	l.wake.signal()
}

// permitted reports whether a step may start on a target now. If no valid answer is
// cached, it queries the service about the usable targets of the pool, or, once it has
// denied all of them, about those that the pool keeps closed. The mutex is held.
func (l *Leader) permitted(v *work.View, j *work.Job, t *work.Task, target *work.Target, usable []*schedule.Host) bool {
	if !j.PolicyChecked {
		return true
	}
	step, now := stepRef(j.Ref(t)), l.now()
	if _, ok := l.permits.ticket(step, target.ID, now); ok {
		return true
	}
	var ids []string
	for _, u := range usable {
		if !l.permits.denied(step, u.Target.ID) {
			ids = append(ids, u.Target.ID)
		}
	}
	if len(ids) == 0 {
		ids = l.closedTargets(v, j.Pool, step)
	}
	slices.Sort(ids)
	l.permits.ask(step, ids[:min(len(ids), permitTargets)], now)
	return false
}

// closedTargets returns the ids of the targets that a pool keeps closed to new runs, and
// on which the service has not denied a step. If it was not asked about some of them, it
// returns these, and has the valid answer, which denies all others, expire. The mutex is
// held.
func (l *Leader) closedTargets(v *work.View, pool string, step work.TaskRef) []string {
	var open, allowed []string
	known := l.permits.steps[step]
	for _, t := range v.Targets {
		if t.Pool != pool || t.Ended || l.fleet.host(t.Host).reserved != reservedSurplus || l.permits.denied(step, t.ID) {
			continue
		}
		if known != nil && known.verdicts[t.ID] {
			allowed = append(allowed, t.ID)
		} else {
			open = append(open, t.ID)
		}
	}
	if len(open) == 0 || known == nil {
		return append(open, allowed...)
	}
	if len(known.tickets) == 0 {
		known.until = time.Time{}
	}
	return open
}

// ticketFor returns the ticket of a start. It returns false if one is needed and none
// is cached.
func (l *Leader) ticketFor(ref work.TaskRef, target string) (string, bool) {
	checked := false
	l.cfg.StateMachine.Read(func(v *work.View) {
		if j, _ := v.Find(ref); j != nil {
			checked = j.PolicyChecked
		}
	})
	if !checked {
		return "", true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ticket, ok := l.permits.ticket(stepRef(ref), target, l.now())
	if !ok {
		l.permits.ask(stepRef(ref), []string{target}, l.now())
	}
	return ticket, ok
}

// dropPermit invalidates the permissions of a step after a refused ticket.
func (l *Leader) dropPermit(ref work.TaskRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.permits.steps[stepRef(ref)]; known != nil {
		known.until = time.Time{}
	}
}

// prunePermits deletes the permissions of jobs that have ended. The mutex is held.
func (l *Leader) prunePermits(v *work.View) {
	for step, p := range l.permits.steps {
		if v.Live[step.Job] == nil && !p.asking {
			delete(l.permits.steps, step)
		}
	}
}
