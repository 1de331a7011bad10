package leader

import (
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// relocation decides which hosts can be emptied for maintenance. The long-lived tasks of a
// host need room on other hosts, or have to be allowed to be away, all at the same time,
// until the host is back. Otherwise a task that is stopped has no run for as long as its own
// host takes none. The leader's mutex is held during its use.
type relocation struct {
	l *Leader
	v *work.View
	// owners are the customers. Tasks that have to wait for others of their customer need no
	// room.
	owners map[string]*schedule.Account
	// rooms holds the room of the pools. The tasks that wait for a host have their share.
	rooms map[string]*schedule.Room
	// inPlace holds the runs that have no room elsewhere, on hosts on which all of them may be
	// interrupted at the same time.
	inPlace map[work.RunRef]bool
	// stuck holds the hosts that cannot be emptied now.
	stuck map[string]bool
	// unplaced holds the waiting tasks that no open host can take soon.
	unplaced []waitingTask
	searched bool
	// emptied holds the hosts for which canEmpty has reported that they can be emptied.
	emptied map[string]bool
	// thorough is set in one round a second. Only then is it looked at whether a waiting task
	// needs a host on which only short runs are, since these end by themselves.
	thorough bool
}

// thoroughInterval separates the thorough rounds.
const thoroughInterval = time.Second

// waitingTask is a task whose turn has come and that has no run.
type waitingTask struct {
	job  *work.Job
	task *work.Task
}

func newRelocation(l *Leader, v *work.View) *relocation {
	r := &relocation{
		l: l, v: v, owners: accounts(v), rooms: map[string]*schedule.Room{}, inPlace: map[work.RunRef]bool{}, stuck: map[string]bool{}, emptied: map[string]bool{},
	}
	if now := l.now(); now.Sub(l.fleet.thoroughAt) >= thoroughInterval {
		l.fleet.thoroughAt, r.thorough = now, true
	}
	return r
}

// findUnplaced reserves room for the waiting tasks before any host is emptied.
func (r *relocation) findUnplaced() {
	if r.searched {
		return
	}
	r.searched = true
	for _, j := range r.v.Live {
		if j.State.Final() || !j.HasPendingTasks() || (!j.Spec.LongLived() && j.Active()) {
			continue
		}
		var checked work.TaskRef // step of the last short task: the others of the step need the same
		for i := range j.Tasks {
			t := &j.Tasks[i]
			step := stepRef(j.Ref(t))
			if t.Done || t.Active() || step == checked || !j.Ready(t) {
				continue
			}
			if !j.Spec.Steps[t.Step].LongLived {
				checked = step
			}
			owner := r.owners[j.Customer]
			if owner.MayRun(&j.Spec.Steps[t.Step], 1) == 0 {
				continue
			}
			owner.Add(&j.Spec.Steps[t.Step], 1)
			if !r.hasRoom(j, t) {
				r.unplaced = append(r.unplaced, waitingTask{j, t})
			}
		}
	}
}

// hasRoom reports whether there is room for a waiting task, and reserves it if the task is
// long-lived. Others leave their host again by themselves.
func (r *relocation) hasRoom(j *work.Job, t *work.Task) bool {
	if j.Spec.Steps[t.Step].LongLived {
		return r.room(j.Pool).Place(j, t) != nil
	}
	return r.room(j.Pool).Fits(j, t)
}

// room returns the room of a pool: that of the hosts that take new runs, or would do so if
// the pool needed them.
func (r *relocation) room(pool string) *schedule.Room {
	if known := r.rooms[pool]; known != nil {
		return known
	}
	room := &schedule.Room{
		Joining: func() []*schedule.Host { return r.joining(pool) },
		Denied: func(j *work.Job, t *work.Task, target *work.Target) bool {
			return j.PolicyChecked && r.l.permits.denied(stepRef(j.Ref(t)), target.ID)
		},
	}
	away := r.l.awayDataCentres(r.v)
	for key, t := range r.v.Targets {
		if t.Pool != pool || r.emptied[t.Host] {
			continue
		}
		if reason := r.l.exclusionReason(r.v, key, t, away); reason == "" || reason == reservedSurplus {
			room.Hosts = append(room.Hosts, r.withoutEndingRuns(t))
		}
	}
	r.rooms[pool] = room
	return room
}

// endingSoon is within what time a run has to be expected to end for its room to count as
// free: a task that moves is away for about as long in any case. A run that has exceeded the
// expected duration by more may go on for any time.
const endingSoon = 2 * time.Second

// withoutEndingRuns returns a target as a host without the runs that will have ended soon.
func (r *relocation) withoutEndingRuns(t *work.Target) *schedule.Host {
	h := &schedule.Host{Target: t, Free: t.Resources, SetAside: r.l.isSetAside(t.Key())}
	now := r.l.nowMS()
	t.EachRun(func(run work.RunRef) {
		j, task := r.v.Find(run.Task)
		if j == nil {
			return // it is being stopped
		}
		step := &j.Spec.Steps[task.Step]
		leftMS := task.StartedMS + r.l.estimates.expected(j, task.Step) - now
		if step.LongLived || max(leftMS, -leftMS) > endingSoon.Milliseconds() {
			h.Free = h.Free.Sub(step.Reserved())
		}
	})
	noteCoLocated(r.v, h)
	return h
}

// joining returns the hosts that move to a pool, and those that no pool needs and that can join
// it.
func (r *relocation) joining(pool string) []*schedule.Host {
	var hosts []*schedule.Host
	for name, h := range r.l.fleet.hosts {
		moves := h.reserved == reservedMove && h.movesTo == pool
		spare := r.l.fleet.spare[name] && h.state.Pool != pool && (h.reserved == "" || h.reserved == reservedSurplus)
		if moves || spare {
			hosts = append(hosts, &schedule.Host{Target: &work.Target{Host: name, Labels: h.state.Labels}, Free: h.state.Resources})
		}
	}
	return hosts
}

// canEmpty reports whether the target on a host can be emptied, and reserves room for its
// long-lived tasks if so.
func (r *relocation) canEmpty(host string, t *work.Target) bool {
	if t == nil || r.isEmptying(t) {
		return true
	}
	runs := longLivedRuns(r.v, t)
	if len(runs) == 0 && !r.thorough {
		r.emptied[host] = true
		return true
	}
	if r.needed(t) {
		r.noteStuck(host, "tasks wait that only this host has room for", len(r.unplaced))
		return false
	}
	room := r.room(t.Pool)
	type move struct {
		task waitingTask
		to   *schedule.Host
	}
	var moves []move
	var inPlace []work.RunRef
	away := map[work.TaskRef]int{} // tasks without room elsewhere, by step
	room.Withdraw(t)
	possible := true
	for _, run := range runs {
		j, task := r.v.Find(run.Task)
		if to := room.Place(j, task); to != nil {
			moves = append(moves, move{waitingTask{j, task}, to})
			continue
		}
		step := stepRef(run.Task)
		away[step]++
		possible = possible && away[step] <= mayInterrupt(&j.Spec.Steps[task.Step])
		inPlace = append(inPlace, run)
	}
	if possible {
		for _, run := range inPlace {
			r.inPlace[run] = true
		}
		r.emptied[host] = true
		return true
	}
	for _, m := range moves {
		room.Remove(m.to, m.task.job, m.task.task)
	}
	room.Hosts = append(room.Hosts, r.withoutEndingRuns(t))
	r.noteStuck(host, "no room for its tasks elsewhere, and not all of them may be away", len(inPlace))
	return false
}

// noteStuck records that a host cannot be emptied now. tasks is the number of tasks that
// prevent it.
func (r *relocation) noteStuck(host, reason string, tasks int) {
	r.stuck[host] = true
	h, now := r.l.fleet.host(host), r.l.now()
	if h.stuckSince.IsZero() {
		h.stuckSince = now
	}
	if now.Sub(h.stuckLoggedAt) < stuckLogInterval {
		return
	}
	h.stuckLoggedAt = now
	r.l.log.Info().Str("host", host).Str("reason", reason).Int("tasks", tasks).Msg("host cannot be emptied for maintenance")
}

// stuckLogInterval is how often the reason is logged for which a host cannot be emptied.
const stuckLogInterval = 5 * time.Second

// isEmptying reports whether nothing runs on a target but what is being stopped. A task that
// was stopped there may wait until the host is back from maintenance.
func (r *relocation) isEmptying(t *work.Target) bool {
	emptying := true
	t.EachRun(func(run work.RunRef) {
		j, task := r.v.Find(run.Task)
		emptying = emptying && j != nil && r.l.isStopping(j, task)
	})
	return emptying
}

// needed reports whether a waiting task that has no room elsewhere could run on a target.
func (r *relocation) needed(t *work.Target) bool {
	if t.Draining || !r.l.heard(t) {
		return false
	}
	r.findUnplaced()
	room := &schedule.Room{Hosts: []*schedule.Host{r.withoutEndingRuns(t)}}
	for _, w := range r.unplaced {
		if w.job.Pool == t.Pool && room.Fits(w.job, w.task) {
			return true
		}
	}
	return false
}
