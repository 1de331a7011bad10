package leader

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// admissions is what the leader knows of the jobs that ask for admission. The leader's mutex
// guards it.
type admissions struct {
	// backlogs are those of the last plan, and of the jobs that were accepted since.
	backlogs map[string]schedule.Backlog
	// pending counts the submissions of each job whose commit is awaited, or whose outcome
	// stayed unknown in this term. Such a job may be accepted, so another attempt must not
	// be refused.
	pending map[string]int
	// refused counts the refusals of customers' jobs by customer.
	refused map[string]*Refusals
}

func newAdmissions() admissions {
	return admissions{backlogs: map[string]schedule.Backlog{}, pending: map[string]int{}, refused: map[string]*Refusals{}}
}

// Submit commits a job unless the state machine or a busy pool refuses it: such calls must
// not fill the replicated log. Errors: those of Propose, those of work.StateMachine.Preview,
// and *admission.Refused.
func (l *Leader) Submit(ctx context.Context, s *work.Submission) error {
	j, err := l.cfg.StateMachine.Preview(s, l.nowMS())
	if err != nil {
		l.mu.Lock()
		l.noteRefusal(l.cfg.StateMachine.OwnerOf(s), err)
		l.mu.Unlock()
		return err
	}
	if err := l.admitJob(j, s.ID); err != nil {
		return err
	}
	result, err := l.Propose(ctx, &work.Command{Submit: s})
	if fault.CodeOf(err) != fault.CodeProposalUnknown {
		l.noteSubmitted(s.ID)
	}
	if err != nil {
		return err
	}
	return result.Err
}

// admitJob returns *admission.Refused if the pool of a new job has no room for it. j is nil if
// the job was accepted before. The job counts as pending until noteSubmitted is called,
// unless it is refused.
func (l *Leader) admitJob(j *work.Job, id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j != nil && l.admissions.pending[id] == 0 && l.competes(j) {
		if err := l.checkRoom(j); err != nil {
			countRefusal(err)
			l.noteRefusal(j.Customer, err)
			return err
		}
		l.addBacklog(j)
	}
	l.admissions.pending[id]++
	return nil
}

// competes reports whether a new job is admitted only if its pool has room.
func (l *Leader) competes(j *work.Job) bool {
	return (j.Customer != "" || l.cfg.RefusesHopelessJobs) && !j.Spec.LongLived() && j.Spec.Occurrences == 0
}

// checkRoom returns *admission.Refused if the pool of a job has no room for it. It changes
// nothing. The mutex is held.
func (l *Leader) checkRoom(j *work.Job) error {
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	chain, objective := schedule.Objective(j, l.estimates.expected)
	backlog := l.admissions.backlogs[j.Pool]
	return admission.Check(admission.Pool{
		InTime: l.timeFor(j.Pool, backlog.InTime), Counting: l.timeFor(j.Pool, backlog.Counting),
		RefusesHopeless: l.cfg.RefusesHopelessJobs,
	}, admission.Job{ID: j.ID, Chain: ms(chain), Objective: ms(objective), BeyondAllowance: j.BeyondAllowance})
}

// addBacklog counts an admitted job as part of its pool's backlog. The mutex is held.
func (l *Leader) addBacklog(j *work.Job) {
	backlog, work := l.admissions.backlogs[j.Pool], schedule.WorkOf(j, l.estimates.expected)
	backlog.InTime += work
	backlog.Counting += work
	l.admissions.backlogs[j.Pool] = backlog
}

// timeFor returns how long a pool takes for some work. The mutex is held.
func (l *Leader) timeFor(pool string, work float64) time.Duration {
	supplies, known := l.fleet.supplies[pool]
	if !known {
		return 0
	}
	ms := min(schedule.TimeFor(work, supplies), float64(time.Hour.Milliseconds()))
	return time.Duration(ms) * time.Millisecond
}

// noteSubmitted records that the outcome of a submission is known.
func (l *Leader) noteSubmitted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.admissions.pending[id]--; l.admissions.pending[id] <= 0 {
		delete(l.admissions.pending, id)
	}
}

// accounts returns the accounts of the customers. It is empty in a region without any.
func accounts(v *work.View) map[string]*schedule.Account {
	out := map[string]*schedule.Account{}
	if v.Config == nil {
		return out
	}
	for i := range v.Config.Customers {
		c := &v.Config.Customers[i]
		out[c.Name] = &schedule.Account{Weight: c.Weight, Limit: c.Limit, Used: v.Usage(c.Name)}
	}
	return out
}
