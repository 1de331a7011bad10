// Package schedule decides which tasks start on which targets. It is pure: it
// reads a state and a set of hosts and returns starts, which the state machine
// checks again when it applies them.
package schedule

import (
	"cmp"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

// Host is a target that may take new runs.
type Host struct {
	Target *work.Target
	// Free is the room that no run has reserved.
	Free work.Demand
	// Penalty orders hosts of equal fit: those that did badly come last.
	Penalty int
	// HasServing is set if a task with a bound on its response times runs here. No
	// fill-in work runs beside it, which would disturb it.
	HasServing bool
	// FillInCPU is the CPU that fill-in tasks ask for, in thousandths of a core.
	FillInCPU int64
}

// add accounts for one more task of a step, or one less with n = -1.
func (h *Host) add(s *work.Step, n int64) {
	need := s.Reserved()
	h.Free = h.Free.Sub(work.Demand{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, GPUs: n * need.GPUs})
	if s.FillIn {
		h.FillInCPU += n * s.Demand.MilliCPU
	}
	h.HasServing = h.HasServing || (n > 0 && s.TailLatencyTargetMS > 0)
}

// HostType is a kind of hosts.
type HostType struct {
	Resources work.Demand
	Labels    []string
}

// Need is what a task needs of an empty host.
type Need struct {
	Demand work.Demand
	Label  string
}

// MetBy reports whether an empty host of a kind takes the task.
func (n Need) MetBy(k HostType) bool {
	return n.Demand.Within(k.Resources) && (n.Label == "" || slices.Contains(k.Labels, n.Label))
}

// Request is what a plan is made of.
type Request struct {
	// NowMS is the wall-clock time in Unix ms.
	NowMS int64
	Jobs  []*work.Job
	// Hosts returns the usable ones of a pool. It is asked once for each pool with
	// work.
	Hosts func(pool string) []*Host
	// MaxStarts bounds one plan.
	MaxStarts int
	// Permitted, if set, reports whether a task may run on a target, one of the
	// hosts, by an outside policy.
	Permitted func(j *work.Job, t *work.Task, target *work.Target, hosts []*Host) bool
	pools     map[string]*pool
	// HostTypes returns the kinds of hosts that can join a pool, the usual ones first. It
	// is asked once. Without it, pools lack no hosts.
	HostTypes func() []HostType
	hostTypes []HostType
	// MaxMissing, if set, bounds the hosts that a pool lacks for lasting and for
	// other tasks each: no more than there are can join, and each further one has to
	// be tried for all tasks that follow.
	MaxMissing int
	// MissingHosts is set by a plan to the number of empty hosts that each pool needs
	// for the tasks that none of its hosts takes: lasting ones, and those of jobs
	// without a run for which a host has the CPU.
	MissingHosts map[string]int
	// MissingLongLived is the part of Lacking that lasting tasks need.
	MissingLongLived map[string]int
	// MissingNeeds is what these tasks need of a host, each once.
	MissingNeeds map[string][]Need

	// Capacity returns what a pool can have, in thousandths of a core: its hosts
	// and those that other pools do not need.
	Capacity func(pool string) int64
	// Duration returns the expected duration of a task in ms.
	Duration func(j *work.Job, step int) int64
}

// urgency is the order in which jobs are served.
type urgency struct {
	job      *work.Job
	priority int
	rank     DeadlineStatus
	// latest is when the job has to go on to meet its objective, in Unix ms.
	latest int64
	// rest is the expected longest chain of work that is not done, in ms.
	rest int64
}

// by orders jobs of one prospect: the most urgent first. Of postponed jobs those
// with most time left come first, since they are the likeliest to be in time.
func (u *urgency) by() int64 {
	if u.rank == Postponed {
		return -u.latest
	}
	return u.latest
}

// DeadlineStatus is what the caller of a job can still expect. Jobs are served in
// this order.
type DeadlineStatus int

// Prospects of jobs.
const (
	// LongLived jobs run until they are cancelled.
	LongLived DeadlineStatus = iota
	// InTime jobs can still meet their objective.
	InTime
	// Postponed jobs could, but not beside the jobs accepted before them.
	Postponed
	// Late jobs can still end while their result counts.
	Late
	// Overdue jobs are done only because they were accepted.
	Overdue
)

// lateFactor is how many times the objective a late result still counts.
const lateFactor = 3

// Plan returns the starts in the order in which they should be made.
func Plan(r *Request) []work.Start {
	order := make([]urgency, 0, len(r.Jobs))
	for _, j := range r.Jobs {
		if !j.State.Final() && j.HasPendingTasks() {
			order = append(order, r.rank(j))
		}
	}
	r.pools, r.MissingHosts, r.MissingLongLived, r.MissingNeeds = map[string]*pool{}, map[string]int{}, map[string]int{}, map[string][]Need{}
	r.postpone(order)
	slices.SortFunc(order, func(a, b urgency) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.by(), b.by()), cmp.Compare(a.job.Sequence, b.job.Sequence))
	})
	var starts []work.Start
	for _, u := range order {
		starts = r.planJob(u.job, starts)
		if len(starts) >= r.MaxStarts {
			return starts[:r.MaxStarts]
		}
	}
	return starts
}

// pool holds the usable hosts of a pool during a plan.
type pool struct {
	hosts []*Host
	// full holds demands for which no host has room. Hosts only fill up during a
	// plan, but for gangs that are undone. While many jobs wait, most of them are
	// turned down by it without a look at every host.
	full []work.Demand
	// lacking are empty hosts, filled with the tasks for which the pool lacks some.
	lacking []*emptyHost
}

// emptyHost is a host that a pool lacks.
type emptyHost struct {
	Host
	// lasting is set if a lasting task needs it.
	lasting bool
}

// maxFull bounds the demands that are kept: jobs of a queue are similar.
const maxFull = 4

// turnsDown reports whether a demand has no room on any host.
func (p *pool) turnsDown(need work.Demand) bool {
	return slices.ContainsFunc(p.full, func(full work.Demand) bool { return full.Within(need) })
}

// poolOf returns the pool with its usable hosts.
func (r *Request) poolOf(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{hosts: r.Hosts(name)}
		r.pools[name] = p
	}
	return p
}

// DeadlineStatusOf returns what the caller of a job can expect at a time in Unix ms.
func DeadlineStatusOf(j *work.Job, nowMS int64, duration func(j *work.Job, step int) int64) DeadlineStatus {
	r := Request{NowMS: nowMS, Duration: duration}
	return r.rank(j).rank
}

// rank tells how urgent a job is.
func (r *Request) rank(j *work.Job) urgency {
	u := urgency{job: j, priority: j.Priority}
	if j.Spec.LongLived() {
		return u
	}
	chain, rest := r.chains(j)
	objective := int64(j.Stretch*float64(chain)) + j.SlackMS
	u.latest, u.rest = j.SubmittedMS+objective-rest, rest
	switch {
	case r.NowMS <= u.latest:
		u.rank = InTime
	case r.NowMS+rest <= j.SubmittedMS+lateFactor*objective:
		u.rank = Late
	default:
		u.rank = Overdue
		u.latest = j.SubmittedMS
	}
	return u
}

// chains returns the expected longest chain of work of a job in ms, in all and
// of the steps that are not done.
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

// remaining returns how long a step of a job still takes, if its tasks take d
// ms. Tasks that run have done a part of it, though none is sure to end at once.
func (r *Request) remaining(j *work.Job, step int, d int64) int64 {
	if j.StepDone(0, step) {
		return 0
	}
	started, all := j.StepStarted(0, step)
	if !all {
		return d
	}
	return max(d-(r.NowMS-started), d/leastRemaining)
}

// leastRemaining is the part of its expected duration that a run is expected to
// go on for when it has exceeded it.
const leastRemaining = 4

// planJob adds the starts of a job's tasks that fit.
func (r *Request) planJob(j *work.Job, starts []work.Start) []work.Start {
	for k := range max(1, j.Spec.Occurrences) {
		if j.Spec.Occurrences > 0 && r.NowMS < j.Spec.FirstMS+int64(k)*j.Spec.IntervalMS {
			break
		}
		for i := range j.Spec.Steps {
			if tasks := j.Startable(k, i); len(tasks) > 0 {
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
	for i, t := range tasks {
		h := r.choose(j, t, s, need, placed)
		if h == nil {
			if s.LongLived || (!j.Active() && r.hasCPU(j.Pool, need)) {
				r.lack(j, s, r.unawaited(j, s, tasks[i:], placed))
			}
			break // the other tasks need the same
		}
		h.add(s, 1)
		placed[h]++
		used = append(used, h)
		chosen = append(chosen, work.Start{Task: j.Ref(t), Target: h.Target.Key()})
	}
	if s.Gang && len(chosen) < s.Tasks {
		// A gang that is not whole would only wait.
		for _, h := range used {
			h.add(s, -1)
		}
		r.poolOf(j.Pool).full = nil
		return starts
	}
	return append(starts, chosen...)
}

// hasCPU reports whether a host of a pool has the CPU for a task, so that the pool's
// demand of CPU asks for no further host.
func (r *Request) hasCPU(pool string, need work.Demand) bool {
	return slices.ContainsFunc(r.poolOf(pool).hosts, func(h *Host) bool { return need.MilliCPU <= h.Free.MilliCPU })
}

// unawaited leaves out as many tasks of a step as hosts of the pool take that an
// outside policy does not permit, or not yet.
func (r *Request) unawaited(j *work.Job, s *work.Step, tasks []*work.Task, placed map[*Host]int) []*work.Task {
	if r.Permitted == nil || !j.PolicyChecked {
		return tasks
	}
	for _, h := range r.poolOf(j.Pool).hosts {
		trial := *h
		for n := placed[h]; len(tasks) > 0 && trial.Obstacle(j, tasks[0], s, n) == ""; n++ {
			if tasks[0].FailedOn != "" && h.Target.Host == tasks[0].FailedOn {
				break
			}
			trial.add(s, 1)
			tasks = tasks[1:]
		}
	}
	return tasks
}

// lack fills empty hosts with the tasks of a step that no host of the pool takes.
// A task that not even an empty host takes is left out.
func (r *Request) lack(j *work.Job, s *work.Step, tasks []*work.Task) {
	p := r.poolOf(j.Pool)
	for i := 0; len(tasks) > 0 && !r.lacksMost(j.Pool, p, s.LongLived); i++ {
		opened := i == len(p.lacking)
		if opened {
			h := r.emptyHost(s)
			if h == nil {
				break
			}
			p.lacking = append(p.lacking, h)
		}
		h, n := p.lacking[i], 0
		for len(tasks) > 0 && h.Obstacle(j, tasks[0], s, n) == "" {
			h.add(s, 1)
			tasks = tasks[1:]
			n++
		}
		if n > 0 && s.LongLived && !h.lasting {
			h.lasting = true
			r.MissingLongLived[j.Pool]++
		}
		if need := (Need{s.Reserved(), s.Label}); n > 0 && s.LongLived && !slices.Contains(r.MissingNeeds[j.Pool], need) {
			r.MissingNeeds[j.Pool] = append(r.MissingNeeds[j.Pool], need)
		}
		if opened && n == 0 {
			p.lacking = p.lacking[:i]
			break
		}
	}
	if len(p.lacking) > 0 {
		r.MissingHosts[j.Pool] = len(p.lacking)
	}
}

// lacksMost reports whether a pool lacks the most hosts for lasting or other tasks.
func (r *Request) lacksMost(name string, p *pool, lasting bool) bool {
	n := len(p.lacking)
	if lasting {
		n = r.MissingLongLived[name]
	}
	return r.MaxMissing > 0 && n >= r.MaxMissing
}

// emptyHost returns an empty host for tasks of a step, nil if none has the room and
// the label.
func (r *Request) emptyHost(s *work.Step) *emptyHost {
	if r.HostTypes == nil {
		return nil
	}
	if r.hostTypes == nil {
		r.hostTypes = r.HostTypes()
	}
	for _, k := range r.hostTypes {
		if (Need{s.Reserved(), s.Label}).MetBy(k) {
			return &emptyHost{Host: Host{Target: &work.Target{Labels: k.Labels}, Free: k.Resources}}
		}
	}
	return nil
}

// failedPauseMS is how long after the start of a failed run its host is not used
// for the task although no other has room, unless runs were done there since:
// other hosts get room, and bad ones are set aside, within a few seconds.
const failedPauseMS = 3000

// choose returns the host for a task: one on which it has not failed, if such a
// host has room; then one with few failures, near its data, and with the least
// room that it still fits, so that other hosts become idle.
func (r *Request) choose(j *work.Job, t *work.Task, s *work.Step, need work.Demand, placed map[*Host]int) *Host {
	p := r.poolOf(j.Pool)
	if p.turnsDown(need) {
		return nil
	}
	permitted := func(h *Host) bool { return r.Permitted == nil || r.Permitted(j, t, h.Target, p.hosts) }
	var best, failed *Host // failed is the one on which the task failed
	room := false
	for _, h := range p.hosts {
		room = room || need.Within(h.Free)
		switch {
		case h.Obstacle(j, t, s, placed[h]) != "":
		case t.FailedOn != "" && h.Target.Host == t.FailedOn:
			failed = h
		case (best == nil || better(s, h, best)) && permitted(h):
			best = h
		}
	}
	if !room && len(p.full) < maxFull {
		p.full = append(p.full, need)
	}
	if best == nil && failed != nil && permitted(failed) &&
		(len(p.hosts) == 1 || failed.Penalty == 0 || r.NowMS-t.StartedMS >= failedPauseMS) {
		return failed
	}
	return best
}

// Obstacle is why a host does not take a task, empty if it does.
type Obstacle string

// Obstacles of a host.
const (
	NoCPU    Obstacle = "no CPU"
	NoMemory Obstacle = "no memory"
	NoGPU    Obstacle = "no GPU"
	NoLabel  Obstacle = "no label"
	// ServingWork hosts take no fill-in work, which would disturb it.
	ServingWork Obstacle = "serving work"
	// FillInCPU hosts take no serving work, and fill-in work only up to their room.
	FillInCPU Obstacle = "fill-in work"
	// StepLimit hosts have as many tasks of the step as it allows.
	StepLimit Obstacle = "most of the step"
)

// Obstacle returns why the host does not take a task of a step, of which a plan
// has placed some there already.
func (h *Host) Obstacle(j *work.Job, t *work.Task, s *work.Step, placed int) Obstacle {
	need := s.Reserved()
	switch {
	case need.MilliCPU > h.Free.MilliCPU:
		return NoCPU
	case need.MemoryMB > h.Free.MemoryMB:
		return NoMemory
	case need.GPUs > h.Free.GPUs:
		return NoGPU
	case s.FillIn && h.HasServing:
		return ServingWork
	case s.FillIn && h.FillInCPU+s.Demand.MilliCPU > h.Free.MilliCPU, !s.FillIn && s.TailLatencyTargetMS > 0 && h.FillInCPU > 0:
		return FillInCPU
	case s.Label != "" && !slices.Contains(h.Target.Labels, s.Label):
		return NoLabel
	case s.MaxPerHost > 0 && placed+h.Target.RunsOfStep(j.ID, t.Occurrence, t.Step) >= s.MaxPerHost:
		return StepLimit
	}
	return ""
}

// better reports whether a suits a task of a step better than b.
func better(s *work.Step, a, b *Host) bool {
	if a.Penalty != b.Penalty {
		return a.Penalty < b.Penalty
	}
	if s.DataRack != "" && (a.Target.Rack == s.DataRack) != (b.Target.Rack == s.DataRack) {
		return a.Target.Rack == s.DataRack
	}
	if a.Free.MilliCPU != b.Free.MilliCPU {
		return a.Free.MilliCPU < b.Free.MilliCPU
	}
	return a.Target.ID < b.Target.ID
}
