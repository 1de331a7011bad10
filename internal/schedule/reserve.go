package schedule

import (
	"cmp"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// blockedPerPlace is how many steps without room a plan notes for each place that the pool
	// may keep. Some of them may wait for something else than room.
	blockedPerPlace = 4
	// backfillReserve multiplies the expected duration of a task that is to end before a
	// place is needed. Durations vary by a factor of about 1.6.
	backfillReserve = 1.6
)

// Kept is a place on a host that is kept for tasks of a step for which no host has room.
// Less urgent tasks are put there only if they end before it is needed or fit beside it.
type Kept struct {
	Job              string
	Occurrence, Step int
	// Host is the name of the host and Target the key of its target.
	Host, Target string
	Tasks        int
	// FreeAtMS is when the host is expected to have room, and PromisedMS when it was expected
	// to as the place was first kept, in Unix ms.
	FreeAtMS, PromisedMS int64
	// Moves is how many places of the step did not come free in time and were given up.
	Moves int
}

// step returns the reference of the step's first task.
func (k *Kept) step() work.TaskRef {
	return work.TaskRef{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// PlaceCounts counts what a plan did with kept places.
type PlaceCounts struct {
	// Kept is the number of new places, GivenUp that of places which did not come free in
	// time or whose host was lost, and Used that of starts on a host with a place for them.
	Kept, GivenUp, Used int
	// Backfilled is the number of starts on hosts with a place for other tasks, and HeldBack
	// that of steps that had to wait for a place of others.
	Backfilled, HeldBack int
}

// Add adds the counts of another plan.
func (c *PlaceCounts) Add(other PlaceCounts) {
	c.Kept += other.Kept
	c.GivenUp += other.GivenUp
	c.Used += other.Used
	c.Backfilled += other.Backfilled
	c.HeldBack += other.HeldBack
}

// runEnd is the expected end of a run and what it frees.
type runEnd struct {
	atMS  int64
	frees work.Demand
}

// place is what a host keeps for tasks of one step.
type place struct {
	// atMS is when the host is expected to have room for the tasks, and spare what it then
	// has beside them.
	atMS  int64
	spare work.Demand
}

// takes reports whether a task fits beside a place or is expected to end before it.
func (p *place) takes(need work.Demand, endMS int64) bool {
	return endMS <= p.atMS || need.Within(p.spare)
}

// blockedStep is a step of which some tasks have no host.
type blockedStep struct {
	job   *work.Job
	tasks []*work.Task
	// placed counts the other tasks of the step by the host on which the plan starts them.
	placed map[*Host]int
}

func (b *blockedStep) ref() work.TaskRef {
	ref := b.job.Ref(b.tasks[0])
	ref.Index = 0
	return ref
}

func (b *blockedStep) step() *work.Step { return &b.job.Spec.Steps[b.tasks[0].Step] }

// heldBack is a demand that only hosts with places for others have room for, and the expected
// end of the task.
type heldBack struct {
	need  work.Demand
	endMS int64
}

// block notes that tasks of a step have no host. A place is kept for them once they have waited
// for as long as they are expected to take: until then, what comes free may suffice. Nothing is
// computed until a less urgent task would take a host. Long-lived tasks get no place, since the
// pool gets hosts for them.
func (r *Request) block(j *work.Job, tasks []*work.Task, placed map[*Host]int) {
	p, s := r.poolOf(j.Pool), &j.Spec.Steps[tasks[0].Step]
	if p.blockedSteps >= blockedPerPlace*r.MaxKept || s.FillIn || s.LongLived || (!s.Gang && !p.isLarge(s)) || !p.couldHold(s) {
		return
	}
	p.blockedSteps++
	if s.Gang {
		tasks, placed = j.Startable(tasks[0].Occurrence, tasks[0].Step), nil
	}
	b := blockedStep{j, tasks, placed}
	ref := b.ref()
	since, known := r.BlockedBefore[ref]
	if !known {
		since = r.NowMS
	}
	r.BlockedSince[ref] = since
	if r.NowMS-since >= r.Duration(j, ref.Step) {
		p.blocked = append(p.blocked, b)
		r.stillBlocked[ref] = &b
	}
}

// isLarge reports whether no empty host that a step may use has room for two of its tasks.
// Smaller ones find room as other tasks end, without a place.
func (p *pool) isLarge(s *work.Step) bool {
	two := s.Reserved().Times(2)
	return !slices.ContainsFunc(p.hosts, func(h *Host) bool {
		return two.Within(h.Target.Resources) && (s.Label == "" || slices.Contains(h.Target.Labels, s.Label))
	})
}

// couldHold reports whether the hosts of the pool, if they were empty, had room for a task of a
// step, or for all members of a gang. Other steps wait for hosts, and a place does not help them.
func (p *pool) couldHold(s *work.Step) bool {
	left := 1
	if s.Gang {
		left = s.Tasks
	}
	for _, h := range p.hosts {
		if s.Label != "" && !slices.Contains(h.Target.Labels, s.Label) {
			continue
		}
		for free := h.Target.Resources; left > 0 && s.Reserved().Within(free); left-- {
			free = free.Sub(s.Reserved())
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// keepPlaces keeps places for the blocked steps of a pool, the most urgent first. It reports
// whether there were any such steps.
func (r *Request) keepPlaces(name string) bool {
	p := r.poolOf(name)
	if len(p.blocked) == 0 {
		return false
	}
	r.noteEnds(name, p)
	for i := range p.blocked {
		if p.places < r.MaxKept {
			r.keepFor(p, &p.blocked[i])
		}
	}
	p.blocked = nil
	return true
}

// noteEnds records when the runs on the hosts of a pool are expected to end. It is done once
// in a plan; the starts of the plan are recorded as they are made.
func (r *Request) noteEnds(name string, p *pool) {
	if p.endsNoted {
		return
	}
	p.endsNoted = true
	hosts := make(map[string]*Host, len(p.hosts))
	for _, h := range p.hosts {
		hosts[h.Target.Key()] = h
	}
	for _, j := range r.Jobs {
		if j.Pool != name || !j.Active() || j.Spec.LongLived() {
			continue
		}
		step, duration := -1, int64(0)
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if !t.Active() || j.Spec.Steps[t.Step].LongLived || hosts[t.Target] == nil {
				continue
			}
			if step != t.Step {
				step, duration = t.Step, r.Duration(j, t.Step)
			}
			h := hosts[t.Target]
			h.ends = append(h.ends, runEnd{r.NowMS + remainingRun(duration, r.NowMS-t.StartedMS), j.Spec.Steps[step].Reserved()})
		}
	}
}

// remainingRun returns the expected remaining duration of a run. One that has exceeded the
// expected duration is taken to go on for as long again as it is late, since a few runs take
// several times as long as the others.
func remainingRun(duration, elapsed int64) int64 {
	return max(duration-elapsed, duration/overrunDivisor, elapsed-duration)
}

// keepFor keeps a place for each task of a blocked step, as far as the pool may keep more, or
// for all members of a gang together. The places of the last plan stay if they come free in
// time.
func (r *Request) keepFor(p *pool, b *blockedStep) {
	held := r.heldFor(b.ref())
	moves, avoid := 0, map[*Host]bool{}
	for _, k := range held {
		moves = max(moves, k.Moves)
	}
	if b.step().Gang {
		r.keepForGang(p, b, held, moves)
		return
	}
	if r.fitsNow(p, b) {
		return // it waits for something else than room
	}
	n := min(len(b.tasks), r.MaxKept-p.places)
	for _, k := range held[:min(len(held), n)] {
		h := p.hostOf(k.Target)
		if h == nil {
			r.PlaceCounts.GivenUp++
			continue
		}
		if at, ok := r.roomAt(h, b); ok && at <= k.PromisedMS+r.slip(b) {
			r.keep(p, h, b, spot{at, k.PromisedMS, 1, moves})
			n--
			continue
		}
		avoid[h] = true
		moves++
		r.PlaceCounts.GivenUp++
	}
	for ; n > 0; n-- {
		h, at := r.firstRoom(p, b, avoid)
		if h == nil {
			return
		}
		r.keep(p, h, b, spot{at, at, 1, moves})
		r.PlaceCounts.Kept++
	}
}

// heldFor returns what the last plan kept for a step.
func (r *Request) heldFor(ref work.TaskRef) (held []Kept) {
	for _, k := range r.Held {
		if k.step() == ref {
			held = append(held, k)
		}
	}
	return held
}

// slip is for how long a place may come free later than promised: the expected duration of
// the task that it is kept for.
func (r *Request) slip(b *blockedStep) int64 { return r.Duration(b.job, b.tasks[0].Step) }

// hostOf returns the host of a target that can still keep a place, or nil.
func (p *pool) hostOf(target string) *Host {
	i := slices.IndexFunc(p.hosts, func(h *Host) bool { return h.Target.Key() == target })
	if i < 0 || p.hosts[i].kept != nil {
		return nil
	}
	return p.hosts[i]
}

// mayKeep reports whether the rules let a task of a blocked step run on a host, apart from
// its room.
func (r *Request) mayKeep(h *Host, b *blockedStep) bool {
	t := b.tasks[0]
	return h.kept == nil && (t.FailedOn == "" || t.FailedOn != h.Target.Host) &&
		(r.Denied == nil || !r.Denied(b.job, t, h.Target))
}

// fitsNow reports whether a host that keeps no place has room for a task of a blocked step.
func (r *Request) fitsNow(p *pool, b *blockedStep) bool {
	return slices.ContainsFunc(p.hosts, func(h *Host) bool {
		return r.mayKeep(h, b) && h.Obstacle(b.job, b.tasks[0], b.step(), b.placed[h]) == ""
	})
}

// roomAt returns when a host is expected to have room for a task of a blocked step.
func (r *Request) roomAt(h *Host, b *blockedStep) (atMS int64, ok bool) {
	if !r.mayKeep(h, b) {
		return 0, false
	}
	slices.SortFunc(h.ends, func(a, b runEnd) int { return cmp.Compare(a.atMS, b.atMS) })
	trial, at := *h, r.NowMS
	for i := 0; ; i++ {
		if trial.Obstacle(b.job, b.tasks[0], b.step(), b.placed[h]) == "" {
			return at, true
		}
		if i == len(h.ends) {
			return 0, false
		}
		trial.Free, at = trial.Free.Add(h.ends[i].frees), max(at, h.ends[i].atMS)
	}
}

// firstRoom returns the host that is expected to be the first with room for a task.
func (r *Request) firstRoom(p *pool, b *blockedStep, avoid map[*Host]bool) (first *Host, firstMS int64) {
	for _, h := range p.hosts {
		if avoid[h] {
			continue
		}
		at, ok := r.roomAt(h, b)
		if ok && (first == nil || at < firstMS || (at == firstMS && h.Target.ID < first.Target.ID)) {
			first, firstMS = h, at
		}
	}
	return first, firstMS
}

// spot tells for how many tasks a place is kept, and when it is expected and was promised to
// come free.
type spot struct {
	atMS, promisedMS int64
	tasks, moves     int
}

// keep keeps a place on a host for tasks of a blocked step.
func (r *Request) keep(p *pool, h *Host, b *blockedStep, at spot) {
	ref := b.ref()
	h.kept = &place{atMS: at.atMS, spare: h.freeAt(at.atMS).Sub(b.step().Reserved().Times(int64(at.tasks)))}
	p.places++
	p.heldBack = nil
	r.Kept = append(r.Kept, Kept{
		Job: ref.Job, Occurrence: ref.Occurrence, Step: ref.Step, Host: h.Target.Host, Target: h.Target.Key(),
		Tasks: at.tasks, FreeAtMS: at.atMS, PromisedMS: at.promisedMS, Moves: at.moves,
	})
}

// start accounts for a start on a host, also beside the place that the host keeps.
func (r *Request) start(h *Host, j *work.Job, s *work.Step, step int) {
	h.add(s, 1)
	if r.MaxKept == 0 {
		return
	}
	if duration := r.Duration(j, step); !s.LongLived {
		h.ends = append(h.ends, runEnd{r.NowMS + duration, s.Reserved()})
	}
	if h.kept != nil && r.outlasts(h.kept, j, s, step) {
		h.kept.spare = h.kept.spare.Sub(s.Reserved())
	}
}

// undo takes back a start on a host.
func (r *Request) undo(h *Host, j *work.Job, s *work.Step, step int) {
	h.add(s, -1)
	if r.MaxKept == 0 {
		return
	}
	end := runEnd{r.NowMS + r.Duration(j, step), s.Reserved()}
	if i := slices.Index(h.ends, end); i >= 0 && !s.LongLived {
		h.ends = slices.Delete(h.ends, i, i+1)
	}
	if h.kept != nil && r.outlasts(h.kept, j, s, step) {
		h.kept.spare = h.kept.spare.Add(s.Reserved())
	}
	r.poolOf(j.Pool).heldBack = nil
}

// backfillEnd returns by when a task that starts now is expected to end, with a reserve, or 0
// if it need not wait for places of others. Long-lived tasks do not wait for them: they have to
// be up again at once.
func (r *Request) backfillEnd(p *pool, j *work.Job, s *work.Step, step int) int64 {
	if p.places == 0 || s.LongLived {
		return 0
	}
	return r.NowMS + int64(backfillReserve*float64(r.Duration(j, step)))
}

// outlasts reports whether a task that starts now may still run when a place is needed.
func (r *Request) outlasts(k *place, j *work.Job, s *work.Step, step int) bool {
	return s.LongLived || r.backfillEnd(r.poolOf(j.Pool), j, s, step) > k.atMS
}

// holdsBack reports whether a host keeps a place that a task would delay.
func (h *Host) holdsBack(need work.Demand, endMS int64) bool {
	return h.kept != nil && !h.kept.takes(need, endMS)
}

// noteHeldBack records a demand that only hosts with places for others have room for.
func (p *pool) noteHeldBack(need work.Demand, endMS int64) {
	if len(p.heldBack) < maxFull {
		p.heldBack = append(p.heldBack, heldBack{need, endMS})
	}
}

// isHeldBack reports whether only hosts with places for others are known to have room for a
// demand.
func (p *pool) isHeldBack(need work.Demand, endMS int64) bool {
	return slices.ContainsFunc(p.heldBack, func(b heldBack) bool { return b.endMS <= endMS && b.need.Within(need) })
}

// countStarts counts the starts of a step on hosts that keep places.
func (r *Request) countStarts(ref work.TaskRef, hosts []*Host) {
	if r.MaxKept == 0 {
		return
	}
	ref.Index = 0
	held := r.heldFor(ref)
	for _, h := range hosts {
		switch {
		case slices.ContainsFunc(held, func(k Kept) bool { return k.Target == h.Target.Key() }):
			r.PlaceCounts.Used++
		case h.kept != nil:
			r.PlaceCounts.Backfilled++
		}
	}
}

// carryUnplanned keeps the places and the waits of jobs that a plan has not come to, since it
// has all the starts that it may have.
func (r *Request) carryUnplanned(order []urgency) {
	if len(r.Held)+len(r.BlockedBefore) == 0 {
		return
	}
	unplanned := make(map[string]bool, len(order))
	for _, u := range order {
		unplanned[u.job.ID] = true
	}
	for ref, since := range r.BlockedBefore {
		if unplanned[ref.Job] {
			r.BlockedSince[ref] = since
		}
	}
	for _, k := range r.Held {
		if unplanned[k.Job] {
			r.Kept = append(r.Kept, k)
		}
	}
}

// carryOver keeps the places of the last plan in the pools in which nothing less urgent had a
// host, so that their promises hold when the next plan needs them.
func (r *Request) carryOver() {
	for _, k := range r.Held {
		b := r.stillBlocked[k.step()]
		switch {
		case b == nil || r.poolOf(b.job.Pool).endsNoted:
		case r.poolOf(b.job.Pool).hostOf(k.Target) == nil || r.NowMS > k.PromisedMS+r.slip(b):
			r.PlaceCounts.GivenUp++
		default:
			r.Kept = append(r.Kept, k)
		}
	}
}
