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
	// permitTargets bounds the targets of one question. The service takes time
	// for each, and 30 leave a choice.
	permitTargets = 30
	// permitTimeout bounds one question, which the service answers in turn.
	permitTimeout = 2 * time.Second
	// permitReserve is how long before its end a permission is asked anew, so
	// that a start that is under way does not meet its end.
	permitReserve = 700 * time.Millisecond
	// permitQueue bounds the waiting questions; the service takes 32.
	permitQueue = 32
	// permitRetry is the pause after a question without answer.
	permitRetry = 300 * time.Millisecond
)

// permits holds what the policy service allows. It is guarded by the leader's
// mutex.
type permits struct {
	steps map[work.TaskRef]*permit // by job, occurrence and step
	asked *ring.Ring[question]
}

// permit is the service's answer for a step.
type permit struct {
	tickets map[string]string // by target id
	until   time.Time
	asking  bool
}

// question asks which targets may run a step.
type question struct {
	step    work.TaskRef
	targets []string
}

func newPermits() permits {
	return permits{steps: map[work.TaskRef]*permit{}, asked: ring.New[question]("permit questions", permitQueue)}
}

// stepOf returns the name of a task's step.
func stepOf(t work.TaskRef) work.TaskRef {
	t.Index = 0
	return t
}

// ticket returns the valid permission of a step on a target.
func (p *permits) ticket(step work.TaskRef, target string, now time.Time) (string, bool) {
	known := p.steps[step]
	if known == nil || now.After(known.until) {
		return "", false
	}
	ticket, ok := known.tickets[target]
	return ticket, ok
}

// ask questions the service unless a valid answer is known or awaited.
func (p *permits) ask(step work.TaskRef, targets []string, now time.Time) {
	known := p.steps[step]
	if known == nil {
		known = &permit{}
		p.steps[step] = known
	}
	if known.asking || now.Before(known.until) || len(targets) == 0 {
		return
	}
	known.asking = p.asked.TryPut(question{step, targets}) == nil // asked again with the next plan if not
}

// permitLoop asks the policy service, one question at a time.
func (l *Leader) permitLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case q := <-l.permits.asked.Items():
			l.permit(q)
		}
	}
}

func (l *Leader) permit(q question) {
	ctx, cancel := context.WithTimeout(l.ctx, permitTimeout)
	defer cancel()
	tickets, validMS, err := l.cfg.Policy.Permit(ctx, q.step, q.targets)
	var unreadable *UnreadableRows
	if errors.As(err, &unreadable) {
		l.log.Warn().Err(unreadable).Str("job", q.step.Job).Int("step", q.step.Step).Msg("answer of the policy service not read in full")
		err = nil // the other tickets hold
	}
	l.mu.Lock()
	known := l.permits.steps[q.step]
	known.asking = false
	if err == nil {
		known.tickets = tickets
		known.until = l.now().Add(time.Duration(validMS)*time.Millisecond - permitReserve)
	}
	l.mu.Unlock()
	if err != nil {
		l.log.Warn().Err(err).Str("job", q.step.Job).Int("step", q.step.Step).Msg("policy service did not answer")
		l.sleep(permitRetry)
		return
	}
	l.log.Info().Str("job", q.step.Job).Int("step", q.step.Step).Int("asked", len(q.targets)).Int("permitted", len(tickets)).
		Int64("valid_ms", validMS).Msg("hosts permitted")
	l.wake.poke()
}

// permitted reports whether a step may start on a target now, and asks the
// service about the usable targets of the pool if that is not known. The mutex
// is held.
func (l *Leader) permitted(j *work.Job, t *work.Task, target *work.Target, usable []*schedule.Host) bool {
	if !j.PolicyChecked {
		return true
	}
	step, now := stepOf(j.Ref(t)), l.now()
	if _, ok := l.permits.ticket(step, target.ID, now); ok {
		return true
	}
	var ids []string
	for _, u := range usable {
		ids = append(ids, u.Target.ID)
	}
	slices.Sort(ids)
	l.permits.ask(step, ids[:min(len(ids), permitTargets)], now)
	return false
}

// ticketFor returns the ticket of a start, and false while one is needed and
// not known.
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
	ticket, ok := l.permits.ticket(stepOf(ref), target, l.now())
	if !ok {
		l.permits.ask(stepOf(ref), []string{target}, l.now())
	}
	return ticket, ok
}

// dropPermit forgets the permissions of a step after a refused ticket.
func (l *Leader) dropPermit(ref work.TaskRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.permits.steps[stepOf(ref)]; known != nil {
		known.until = time.Time{}
	}
}

// forgetPermits drops the permissions of jobs that have ended.
func (l *Leader) forgetPermits(v *work.View) {
	for step, p := range l.permits.steps {
		if v.Live[step.Job] == nil && !p.asking {
			delete(l.permits.steps, step)
		}
	}
}
