package leader_test

import (
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Bounds of what is promised to callers, from the platform's rules.
const (
	// longLivedGap is how long a long-lived task may have no run, whatever room there is.
	longLivedGap = 6 * time.Second
	// waitWithRoom is for how long something may wait after that although there is room.
	waitWithRoom = 3 * time.Second
	// calmBefore is how long before these three seconds nothing may have been disturbed.
	calmBefore = 4 * time.Second
	// interruptionNotice is how long a task may be away, for any cause, before it counts as
	// one of those that its step may miss.
	interruptionNotice = 4500 * time.Millisecond
	// longestDisturbance is how long serving work may be over its target because of what fills
	// in beside it.
	longestDisturbance = 4 * time.Second
	// pendingVisible is how long after its acceptance a job is visible everywhere, and
	// pendingAge how old the number of jobs that have not begun may be.
	pendingVisible, pendingAge = 3 * time.Second, 2 * time.Second
	// checkInterval is how often the promises are checked.
	checkInterval = 50 * time.Millisecond
)

// runEnd is the end of a run. Its outcome is empty if the target was lost.
type runEnd struct {
	at      time.Time
	outcome work.Outcome
}

// promises checks at any time of a run, in a fleet of any kind, what is promised to callers:
// no long-lived task is without a run for long while its pool has room for it twice over, no
// job is without a run at the end of the traffic under the same condition and with less than
// half of the pool in use, maintenance interrupts no more tasks than their step may miss,
// fill-in work does not keep serving work over its target, and the jobs that have not begun
// count as pending.
// The mutex of the world is held during its use.
type promises struct {
	w *world
	// calmSince is the end of the last disruption.
	calmSince time.Time
	// trafficEnded is set once jobs without a run are checked too.
	trafficEnded bool
	// roomSince is since when a waiting task has had room.
	roomSince map[work.TaskRef]time.Time
	reported  map[work.TaskRef]bool
	// disturbedSince is since when serving runs of a target have been over their target because
	// of fill-in runs beside them.
	disturbedSince map[*target]time.Time
}

// watchPromises checks the promises until the returned function is called.
func (w *world) watchPromises() (stop func()) {
	p := &promises{w: w, calmSince: time.Now(), roomSince: map[work.TaskRef]time.Time{}, reported: map[work.TaskRef]bool{}, disturbedSince: map[*target]time.Time{}}
	w.mu.Lock()
	w.promises = p
	w.mu.Unlock()
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(checkInterval):
				w.mu.Lock()
				p.noteFaults()
				w.stateMachine.Read(p.check)
				p.checkDisturbance()
				p.checkPending()
				w.mu.Unlock()
			}
		}
	}()
	return func() { close(done); <-ended }
}

// disturbed notes a disruption, which lasts until now.
func (w *world) disturbed(format string, args ...any) {
	w.note("DISRUPTION "+format, args...)
	if w.promises != nil {
		w.promises.calmSince = time.Now()
	}
}

func (p *promises) check(v *work.View) {
	for _, j := range v.Live {
		if j.State.Final() {
			continue
		}
		running := 0
		for i := range j.Tasks {
			running += p.w.alive[j.Ref(&j.Tasks[i])]
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			if j.Spec.Steps[t.Step].LongLived {
				p.checkWaiting(j, t, p.w.alive[j.Ref(t)] > 0, longLivedGap)
			} else if p.trafficEnded {
				p.checkWaiting(j, t, running > 0 || t.Done || !j.Ready(t) || !p.isHalfFree(j.Pool), 0)
			}
		}
	}
}

// checkWaiting checks a task that may have no run for a time after its last one.
func (p *promises) checkWaiting(j *work.Job, t *work.Task, served bool, gap time.Duration) {
	ref, now := j.Ref(t), time.Now()
	together := int64(1) // how many tasks start at the same time
	if step := &j.Spec.Steps[t.Step]; step.Gang {
		together = int64(step.Tasks)
	}
	if served || p.room(j, t) < 2*together || !p.w.quota.allows(p.w, j, t, together) {
		delete(p.roomSince, ref)
		return
	}
	if p.roomSince[ref].IsZero() {
		p.roomSince[ref] = now
	}
	last, ran := p.w.lastEnds[ref]
	if !ran {
		last.at = time.UnixMilli(j.SubmittedMS)
	}
	from := latestOf(p.roomSince[ref], last.at.Add(gap), p.calmSince.Add(calmBefore))
	if now.Sub(from) > waitWithRoom && !p.reported[ref] {
		p.reported[ref] = true
		p.w.violate("%s %v has had no run for %v beside room for %d of its kind", time.Now().Format("05.000"), ref, now.Sub(last.at), p.room(j, t))
	}
}

// checkPending checks the number of jobs of each queue that have not begun.
func (p *promises) checkPending() {
	now := time.Now()
	atLeast, atMost := map[string]int{}, map[string]int{}
	p.w.stateMachine.Read(func(v *work.View) {
		for _, j := range v.Live {
			begun, hasBegun := p.w.jobsBegun[j.ID]
			if j.State.Final() {
				continue
			}
			if !hasBegun && now.Sub(time.UnixMilli(j.SubmittedMS)) > pendingVisible+pendingAge {
				atLeast[j.Queue]++
			}
			if !hasBegun || now.Sub(begun) < pendingVisible {
				atMost[j.Queue]++
			}
		}
	})
	for _, queue := range p.w.stateMachine.Configuration().Queues {
		n := p.w.stateMachine.Waiting(queue.Name)
		// A run that begins on a target that does not answer may not be known.
		if n < atLeast[queue.Name] || (n > atMost[queue.Name] && time.Since(p.calmSince) > calmBefore) {
			p.w.violate("%s %d jobs of %s count as pending; %d to %d have not begun", now.Format("05.000"), n, queue.Name, atLeast[queue.Name], atMost[queue.Name])
		}
	}
}

// noteFaults notes the faults of targets that go on.
func (p *promises) noteFaults() {
	for _, t := range p.w.targets {
		if !t.dead && (t.silent || t.deaf || t.dropsReplies || t.lag > 0) {
			p.calmSince = time.Now()
		}
	}
}

// checkDisturbance checks that no serving run is disturbed for long.
func (p *promises) checkDisturbance() {
	for _, t := range p.w.targets {
		serving := false
		for _, step := range t.steps {
			serving = serving || step.TailLatencyTargetMS > 0
		}
		if !serving || t.dead || servingLoad+t.fillInLoad() <= 1 {
			delete(p.disturbedSince, t)
			continue
		}
		if p.disturbedSince[t].IsZero() {
			p.disturbedSince[t] = time.Now()
		}
		if from := latestOf(p.disturbedSince[t], p.calmSince); time.Since(from) > longestDisturbance {
			p.disturbedSince[t] = time.Now()
			p.w.violate("%s serving runs on %s are over their target because of fill-in runs", time.Now().Format("05.000"), t.state.Key())
		}
	}
}

// room returns how many tasks like this one the pool has room for.
func (p *promises) room(j *work.Job, t *work.Task) (room int64) {
	step := &j.Spec.Steps[t.Step]
	need := step.Reserved()
	for _, target := range p.sound(j.Pool) {
		if step.Label != "" && !slices.Contains(target.state.Labels, step.Label) {
			continue
		}
		slots := 2 * int64(step.Tasks) // what counts is whether there is room twice over
		if step.MaxPerHost > 0 {
			slots = int64(step.MaxPerHost)
			for ref := range target.runs {
				if ref.Task.Job == j.ID && ref.Task.Step == t.Step && ref.Task.Occurrence == t.Occurrence {
					slots--
				}
			}
		}
		free := target.state.Resources.Sub(target.used)
		for slots > 0 && need.Within(free) {
			free = free.Sub(need)
			room, slots = room+1, slots-1
		}
	}
	return room
}

// isHalfFree reports whether less than half of a pool's CPU is in use.
func (p *promises) isHalfFree(pool string) bool {
	var used, all int64
	for _, target := range p.sound(pool) {
		used, all = used+target.used.MilliCPU, all+target.state.Resources.MilliCPU
	}
	return 2*used < all
}

// sound returns the targets of a pool that are up and do not drain.
func (p *promises) sound(pool string) (sound []*target) {
	for _, target := range p.w.targets {
		if target.state.Pool == pool && !target.dead && !target.silent && !target.deaf && !target.dropsReplies && target.lag == 0 && !target.state.Draining {
			sound = append(sound, target)
		}
	}
	return sound
}

// checkStop checks a stop that takes effect.
func (p *promises) checkStop(t *target, run work.RunRef) {
	step := t.steps[run]
	if step == nil || step.MaxInterrupted == 0 || t.state.Draining || time.Since(p.calmSince) < calmBefore {
		return
	}
	p.w.stateMachine.Read(func(v *work.View) {
		j, task := v.Find(run.Task)
		if j == nil || j.State.Final() {
			return
		}
		away := 0
		for i := range j.Tasks {
			other := j.Ref(&j.Tasks[i])
			last := p.w.lastEnds[other]
			if other == run.Task || other.Step != task.Step || p.w.alive[other] > 0 {
				continue
			}
			if last.outcome == work.OutcomeStopped || time.Since(last.at) > interruptionNotice {
				away++
			}
		}
		if away >= step.MaxInterrupted {
			p.w.violate("%s %v is stopped while %d others of its step are away", time.Now().Format("05.000"), run, away)
		}
	})
}

// latestOf returns the latest of several times.
func latestOf(times ...time.Time) (latest time.Time) {
	for _, t := range times {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}
