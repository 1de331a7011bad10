// Package schedule decides which tasks start on which targets. It is a pure function of
// a state and a set of hosts; the state machine checks the starts again when it applies
// them.
package schedule

import (
	"cmp"
	"slices"

	"agatehaven.dev/agatehaven/internal/admission"
	"agatehaven.dev/agatehaven/internal/work"
)

// Host is a target that may take new runs.
type Host struct {
	Target *work.Target
	// Free is the capacity that no run has reserved.
	Free work.Demand
	// Penalty orders hosts that fit equally well: those with more failures come last.
	Penalty int
	// HasServing is set if a task with a tail latency target runs on the host. Fill-in
	// work would disturb it and is not placed beside it.
	HasServing bool
	// FillInCPU is the CPU that the fill-in tasks on the host ask for, in thousandths
	// of a core.
	FillInCPU int64
	// SetAside is set for some time after several runs have failed on the host.
	SetAside bool
	// AwaitsMaintenance is set if the host will be emptied for a wave.
	AwaitsMaintenance bool
	// ends holds the expected ends of the runs on the host, and kept the place that it keeps
	// for a step.
	ends []runEnd
	kept *place
}

// add accounts for one more task of a step, or one less if n is -1.
func (h *Host) add(s *work.Step, n int64) {
	need := s.Reserved()
	h.Free = h.Free.Sub(work.Demand{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, GPUs: n * need.GPUs})
	if s.FillIn {
		h.FillInCPU += n * s.Demand.MilliCPU
	}
	h.HasServing = h.HasServing || (n > 0 && s.TailLatencyTargetMS > 0)
}

// HostType describes hosts of equal resources and labels.
type HostType struct {
	Resources work.Demand
	Labels    []string
}

// Need is what a task needs of an empty host.
type Need struct {
	Demand work.Demand
	Label  string
	// Policy is the step for which the external policy has to permit the host, zero for
	// none.
	Policy work.TaskRef
}

// MetBy reports whether an empty host of a type can take the task if the policy permits it.
func (n Need) MetBy(k HostType) bool {
	return n.Demand.Within(k.Resources) && (n.Label == "" || slices.Contains(k.Labels, n.Label))
}

// Request is the input of Plan, and holds its secondary results.
type Request struct {
	// NowMS is the time in Unix ms on the clock of the times in the log. TimeOfDayMS is
	// that of the wall clock, on which occurrences of jobs are due.
	NowMS, TimeOfDayMS int64
	Jobs               []*work.Job
	// Hosts returns the usable hosts of a pool. It is called once for each pool with
	// work.
	Hosts func(pool string) []*Host
	// MaxStarts bounds the starts of a plan. A plan that begins with a larger gang has more.
	MaxStarts int
	// gangEnd is the number of starts up to the last gang. full is set once the next gang
	// exceeds MaxStarts: the plan ends before it, so that nothing else takes its place.
	gangEnd int
	full    bool
	// Permitted, if set, reports whether an external policy lets a task run on a
	// target, which is one of hosts.
	Permitted func(j *work.Job, t *work.Task, target *work.Target, hosts []*Host) bool
	// Denied, if set, reports whether the policy has answered that a task may not run on a
	// target. A host that is not permitted yet is expected to be.
	Denied func(j *work.Job, t *work.Task, target *work.Target) bool
	pools  map[string]*pool
	// HostTypes returns the types of hosts that can join a pool, the most frequent
	// first. It is called once. If it is nil, no pool misses hosts.
	HostTypes func() []HostType
	hostTypes []HostType
	// MaxMissing, if set, bounds the missing hosts of a pool, for long-lived and for
	// other tasks each. No more hosts than exist can join, and each further one has to
	// be tried for all tasks that follow.
	MaxMissing int
	// MayUseLastResort reports whether a task may be placed on a host that it should not take, because
	// it has waited in vain for another one. If it is nil, no task may.
	MayUseLastResort func(j *work.Job, t *work.Task) bool
	// DemandMet reports whether a pool has as many hosts as the sum of its CPU demand asks
	// for. If it is nil, no pool has.
	DemandMet func(pool string) bool
	// MissingHosts is set by Plan to the number of empty hosts that each pool needs for
	// tasks that none of its hosts can take: long-lived tasks, gangs of jobs without a run,
	// and those other tasks of such jobs for which the CPU demand does not ask for a host.
	// For a gang that has a place in part, it includes the idle hosts of these places.
	MissingHosts map[string]int
	// MissingLongLived is the part of MissingHosts that long-lived tasks need.
	MissingLongLived map[string]int
	// MissingNeeds holds the distinct needs of these long-lived tasks, and MissingShortNeeds
	// those of the others.
	MissingNeeds, MissingShortNeeds map[string][]Need

	// Accounts holds the customers by name. It is empty in a region without customers.
	Accounts map[string]*Account
	// Backlogs is set by Plan to the backlogs of the pools that have jobs which can be in time.
	Backlogs map[string]Backlog

	// Capacity returns the CPU that a pool can get, in thousandths of a core: that of
	// its hosts and of those that other pools do not need.
	Capacity func(pool string) int64
	// Duration returns the expected duration in ms of a task of a step.
	Duration func(j *work.Job, step int) int64
	// explaining, if set, records what the plan does with one job.
	explaining *explaining

	// MaxKept bounds the places that a pool keeps for tasks which no host has room for. If it
	// is 0, none is kept. The members of a gang may have more, if they are the first.
	MaxKept int
	// Held is what the last plan kept, and Kept is set by Plan to what this one keeps.
	Held, Kept []Kept
	// BlockedBefore is the BlockedSince of the last plan, and BlockedSince is set by Plan to
	// since when the most urgent steps without room have waited, in Unix ms.
	BlockedBefore, BlockedSince map[work.TaskRef]int64
	// PlaceCounts is set by Plan.
	PlaceCounts PlaceCounts
	// stillBlocked holds the steps that may have a place.
	stillBlocked map[work.TaskRef]*blockedStep
	// hostOrder and jobOrder are compared with the orders of hosts and of equally urgent jobs.
	hostOrder func(s *work.Step, a, b *Host) bool
	jobOrder  func(a, b *urgency) int
}

// urgency determines the order in which jobs are served.
type urgency struct {
	job      *work.Job
	priority int
	rank     DeadlineStatus
	// latestStartMS is when the remaining work has to start for the job to meet its
	// objective, in Unix ms.
	latestStartMS int64
	// remainingMS is the expected longest chain of unfinished work, in ms.
	remainingMS int64
	// share is the work that the job's customer has admitted up to this job, by its weight.
	share float64
}

// sortKey orders jobs of one deadline status, the most urgent first. Of postponed jobs,
// those with the most time left come first, since they are the most likely to be in
// time.
func (u *urgency) sortKey() int64 {
	if u.rank == Postponed {
		return -u.latestStartMS
	}
	return u.latestStartMS
}

// DeadlineStatus tells whether a job can meet its objective. Jobs are served in the
// order of the values.
type DeadlineStatus int

// Deadline statuses of jobs.
const (
	// LongLived jobs run until they are cancelled and have no objective.
	LongLived DeadlineStatus = iota
	// InTime jobs can still meet their objective.
	InTime
	// Postponed jobs could meet it alone, but not beside the jobs accepted before them.
	Postponed
	// Late jobs miss it, but can still end while their result counts.
	Late
	// Overdue jobs are only run because they were accepted.
	Overdue
)

// lateFactor is for how many times the objective a late result still counts.
const lateFactor = admission.LateFactor

// Plan returns the starts in the order in which they should be made.
func Plan(r *Request) []work.Start {
	order := make([]urgency, 0, len(r.Jobs))
	for _, j := range r.Jobs {
		if !j.State.Final() && j.HasPendingTasks() {
			order = append(order, r.rank(j))
		}
	}
	r.pools, r.MissingHosts, r.MissingLongLived = map[string]*pool{}, map[string]int{}, map[string]int{}
	r.MissingNeeds, r.MissingShortNeeds = map[string][]Need{}, map[string][]Need{}
	r.Backlogs = map[string]Backlog{}
	r.Kept, r.PlaceCounts = nil, PlaceCounts{}
	r.BlockedSince, r.stillBlocked = map[work.TaskRef]int64{}, map[work.TaskRef]*blockedStep{}
	r.postpone(order)
	r.addBacklog(order)
	slices.SortFunc(order, func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), compareBool(a.job.BeyondAllowance, b.job.BeyondAllowance),
			cmp.Compare(a.rank, b.rank), r.compareJobs(&a, &b), cmp.Compare(a.sortKey(), b.sortKey()), cmp.Compare(a.job.Sequence, b.job.Sequence))
	})
	var starts []work.Start
	for i, u := range order {
		r.explaining.beforeJob(r, &u, len(starts))
		starts = r.planJob(u.job, starts)
		r.explaining.afterJob(r, u.job)
		if r.full || len(starts) >= r.MaxStarts {
			r.carryUnplanned(order[i+1:])
			break
		}
	}
	r.carryOver()
	return starts[:min(len(starts), max(r.MaxStarts, r.gangEnd))]
}

// pool holds the usable hosts of a pool while a plan is made.
type pool struct {
	hosts []*Host
	// full holds demands that fit on no host. Hosts only fill up during a plan, except
	// when a gang's placement is undone. While many jobs wait, most of them are ruled
	// out by full, without a look at every host.
	full []work.Demand
	// missing holds the empty hosts that the pool misses, filled with the tasks that
	// need them.
	missing []*emptyHost
	// gangHosts holds the idle hosts on which a part of a gang has a place. They are needed
	// beside the missing ones, although nothing starts on them yet.
	gangHosts map[*Host]bool
	// blockedSteps is the number of noted steps without a host. blocked holds those that may
	// have a place and have none yet, places is the number of hosts that keep one, and heldBack
	// holds demands that only these hosts have room for.
	blockedSteps int
	blocked      []blockedStep
	places       int
	heldBack     []heldBack
	// endsNoted is set once the expected ends of the runs are known.
	endsNoted bool
}

// maxFull bounds the length of pool.full. The jobs of a queue have similar demands.
const maxFull = 4

// isFull reports whether a demand is known to fit on no host.
func (p *pool) isFull(need work.Demand) bool {
	return slices.ContainsFunc(p.full, func(full work.Demand) bool { return full.Within(need) })
}

// poolOf returns the pool of a name with its usable hosts.
func (r *Request) poolOf(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{hosts: r.Hosts(name), gangHosts: map[*Host]bool{}}
		r.pools[name] = p
	}
	return p
}

// DeadlineStatusOf returns the deadline status of a job at a time in Unix ms.
func DeadlineStatusOf(j *work.Job, nowMS int64, duration func(j *work.Job, step int) int64) DeadlineStatus {
	r := Request{NowMS: nowMS, Duration: duration}
	return r.rank(j).rank
}

// rank returns the urgency of a job.
func (r *Request) rank(j *work.Job) urgency {
	u := urgency{job: j, priority: j.Priority}
	if j.Spec.LongLived() {
		return u
	}
	chain, remainingMS := r.chains(j)
	objective := int64(j.Stretch*float64(chain)) + j.SlackMS
	u.latestStartMS, u.remainingMS = j.SubmittedMS+objective-remainingMS, remainingMS
	switch {
	case r.NowMS <= u.latestStartMS:
		u.rank = InTime
	case r.NowMS+remainingMS <= j.SubmittedMS+lateFactor*objective:
		u.rank = Late
	default:
		u.rank = Overdue
		u.latestStartMS = j.SubmittedMS
	}
	return u
}

// Objective returns the expected duration in ms of a job's longest chain of steps, and how long
// the job may take.
func Objective(j *work.Job, duration func(j *work.Job, step int) int64) (chainMS, objectiveMS int64) {
	ends := make([]int64, len(j.Spec.Steps))
	for i := range ends {
		for _, before := range j.Spec.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += duration(j, i)
		chainMS = max(chainMS, ends[i])
	}
	return chainMS, int64(j.Stretch*float64(chainMS)) + j.SlackMS
}

// WorkOf returns the work of a job before its first start, in thousandths of a core times ms.
func WorkOf(j *work.Job, duration func(j *work.Job, step int) int64) float64 {
	r := Request{Duration: duration}
	return r.waitingWork(j)
}

// chains returns the expected longest chain of work of a job in ms: of all steps, and
// of the unfinished ones.
func (r *Request) chains(j *work.Job) (whole, rest int64) {
	n := len(j.Spec.Steps)
	ends, open := make([]int64, n), make([]int64, n)
	for i := range n {
		d := r.Duration(j, i)
		for _, before := range j.Spec.Steps[i].After {
			ends[i] = max(ends[i], ends[before])
			open[i] = max(open[i], open[before])
		}
		ends[i] += d
		open[i] += r.remaining(j, i, d)
		whole, rest = max(whole, ends[i]), max(rest, open[i])
	}
	return whole, rest
}

// remaining returns the expected remaining duration of a step whose tasks take d ms.
// Tasks that run have done part of it, but none is certain to end at once.
func (r *Request) remaining(j *work.Job, step int, d int64) int64 {
	if j.StepDone(0, step) {
		return 0
	}
	started, all := j.StepStarted(0, step)
	if !all {
		return d
	}
	return max(d-(r.NowMS-started), d/overrunDivisor)
}

// overrunDivisor divides the expected duration of a run to get its expected remaining
// duration once it has exceeded the expected one.
const overrunDivisor = 4

// planJob adds the starts of a job's tasks that fit.
func (r *Request) planJob(j *work.Job, starts []work.Start) []work.Start {
	for k := range max(1, j.Spec.Occurrences) {
		if j.Spec.Occurrences > 0 && r.TimeOfDayMS < j.Spec.FirstMS+int64(k)*j.Spec.IntervalMS {
			break
		}
		for i := range j.Spec.Steps {
			if tasks := j.Startable(k, i); len(tasks) > 0 && !r.full {
				starts = r.planStep(j, i, tasks, starts)
			}
		}
	}
	return starts
}

func (r *Request) planStep(j *work.Job, step int, tasks []*work.Task, starts []work.Start) []work.Start {
	s := &j.Spec.Steps[step]
	need := s.Reserved()
	var chosen []work.Start
	var used []*Host
	placed := map[*Host]int{}
	owner := r.account(j)
	for i, t := range tasks {
		may := owner.MayRun(s, len(tasks)-i)
		if may == 0 {
			break
		}
		h, heldBack := r.chooseHost(j, t, s, need, placed)
		if h != nil && !s.LongLived && r.keepPlaces(j.Pool) {
			h, heldBack = r.chooseHost(j, t, s, need, placed)
		}
		if h == nil {
			if i+may == len(tasks) || !s.Gang {
				r.block(j, tasks[i:i+may], placed)
			}
			if heldBack {
				r.PlaceCounts.HeldBack++
				break
			}
			if s.LongLived || (!j.Active() && (s.Gang || !r.isInDemand(j.Pool, need))) {
				r.addMissingHosts(j, s, r.withoutAwaitingPermit(j, s, tasks[i:i+may], placed), used)
			}
			break // the other tasks have the same needs
		}
		r.start(h, j, s, step)
		owner.Add(s, 1)
		placed[h]++
		used = append(used, h)
		chosen = append(chosen, work.Start{Task: j.Ref(t), Target: h.Target.Key()})
	}
	r.full = s.Gang && len(starts) > 0 && len(starts)+len(chosen) > r.MaxStarts
	if s.Gang && (r.full || len(chosen) < s.Tasks) {
		// An incomplete gang would only wait.
		for _, h := range used {
			r.undo(h, j, s, step)
			owner.Add(s, -1)
		}
		r.poolOf(j.Pool).full = nil
		return starts
	}
	if len(chosen) > 0 {
		r.countStarts(chosen[0].Task, used)
	}
	if starts = append(starts, chosen...); s.Gang {
		r.gangEnd = len(starts)
	}
	return starts
}

// failedHostPauseMS is how long after the start of a failed run its host is avoided for
// the task even if no other has capacity, unless runs succeeded there since or it is the
// only host of the pool. Within a few seconds other hosts become free and bad ones are
// set aside.
const failedHostPauseMS = 3000

// chooseHost returns the host for a task: if possible one on which it has not failed;
// then one with few failures, in the rack of its data, and with the least free CPU that
// suffices, so that other hosts become idle. heldBack is set if only hosts that keep places for
// other tasks could take it.
func (r *Request) chooseHost(j *work.Job, t *work.Task, s *work.Step, need work.Demand, placed map[*Host]int) (host *Host, heldBack bool) {
	p := r.poolOf(j.Pool)
	if p.isFull(need) {
		return nil, false
	}
	endMS := r.backfillEnd(p, j, s, t.Step)
	if p.isHeldBack(need, endMS) {
		return nil, true
	}
	permitted := func(h *Host) bool { return r.Permitted == nil || r.Permitted(j, t, h.Target, p.hosts) }
	// failed is the host on which the task last failed, lastResort one that it should not take.
	var best, failed, lastResort *Host
	fits, mayFit, open := false, false, 0
	for _, h := range p.hosts {
		inRoom, kept := need.Within(h.Free), h.holdsBack(need, endMS)
		fits, mayFit = fits || inRoom, mayFit || (inRoom && !kept)
		if !h.SetAside {
			open++
		}
		obstacle := h.Obstacle(j, t, s, placed[h])
		switch {
		case h.SetAside && !s.LongLived:
		case obstacle.IsPreference():
			if (lastResort == nil || isBetterLastResort(s, h, lastResort)) && permitted(h) {
				lastResort = h
			}
		case obstacle != "":
		case kept:
			heldBack = true
		case t.FailedOn != "" && h.Target.Host == t.FailedOn:
			failed = h
		case (best == nil || r.isBetter(s, h, best)) && permitted(h):
			best = h
		}
	}
	if !fits && len(p.full) < maxFull {
		p.full = append(p.full, need)
	}
	if fits && !mayFit {
		p.noteHeldBack(need, endMS)
	}
	switch {
	case best != nil:
	case failed != nil && permitted(failed) && (open == 1 || failed.Penalty == 0 || r.NowMS-t.StartedMS >= failedHostPauseMS):
		best = failed
	case lastResort != nil && r.MayUseLastResort != nil && r.MayUseLastResort(j, t):
		best = lastResort
	}
	return best, heldBack && best == nil
}
