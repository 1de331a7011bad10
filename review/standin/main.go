// Command standin plays one case of the review: it starts the programs of the system as
// separate processes on loopback, with stand-ins for clients, workers and the provider.
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

const (
	held    = 0
	broken  = 1
	notDone = 2
)

// scenario plays a case. trouble is false if the disruption is left out.
type scenario func(rec *record, root, dir string, trouble bool) int

var scenarios = map[string]scenario{
	"gang-cut": gangCut, "gang-checkpoint": gangCheckpoint, "label-lost": labelLost, "gang-lost": gangLost, "advice-lost": adviceLost, "many-ends": manyEnds,
}

// mostTime is how long a case may take.
const mostTime = 112 * time.Second

// init ties main to the main thread: the processes end with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository")
		os.Exit(notDone)
	}
	root, err := os.Getwd()
	exitOn(err)
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	exitOn(err)
	rec := &record{file: file, started: time.Now()}
	dir, err := os.MkdirTemp("", "review-")
	exitOn(err)
	time.AfterFunc(mostTime, func() {
		rec.line("the case took too long")
		os.Exit(notDone) // the kernel ends the processes that were started
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %t", os.Args[1], trouble)
	result := scenarios[os.Args[1]](rec, root, dir, trouble)
	rec.line("result %d", result)
	_ = file.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(dir, keep)
	}
	_ = os.RemoveAll(dir)
	os.Exit(result)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notDone)
	}
}

func constant(d time.Duration) func(int, int) time.Duration {
	return func(int, int) time.Duration { return d }
}

// runningOf counts the runs of a job.
func (w *world) runningOf(j *job, machines []*machine) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range machines {
		if m.worker == nil {
			continue
		}
		for task := range m.worker.runs {
			if task[:16] == j.id {
				n++
			}
		}
	}
	return n
}

// completed counts the jobs that are shown as completed.
func (r *region) completed(jobs []*job, done map[string]bool) int {
	for _, j := range jobs {
		if !done[j.id] && r.state(j) == "completed" {
			done[j.id] = true
		}
	}
	return len(done)
}

// gangCut: small jobs whose subtasks only work together wait while a large job takes all
// workers. The large job is cancelled (trouble), or its subtasks end one after the other.
func gangCut(rec *record, root, dir string, trouble bool) int {
	r, err := startRegion(rec, root, dir, []service{{name: "plotline", prefix: "/plot/", workers: 9, attempts: 4}})
	defer r.close()
	if err != nil {
		rec.line("%v", err)
		return notDone
	}
	w := r.provider.world
	large := newJob("/plot/", func(_, index int) time.Duration { return 14*time.Second + time.Duration(index)*730*time.Millisecond },
		step{Count: 9, CPU: 32000, MemMB: 1000, EstimateMS: 20000})
	if !r.submit(large) || !waitFor(10*time.Second, func() bool { return w.runningOf(large, r.provider.machines) == 9 }) {
		rec.line("the large job does not run")
		return notDone
	}
	rec.line("the large job runs on all workers")
	var small []*job
	for range 40 {
		j := newJob("/plot/", constant(time.Second), step{Count: 24, CPU: 250, MemMB: 100, EstimateMS: 1000, Gang: true})
		if !r.submit(j) {
			return notDone
		}
		small = append(small, j)
	}
	time.Sleep(contactMs * time.Millisecond) // everything is in touch
	if trouble {
		status, _ := r.front("DELETE", large.prefix+large.id, nil)
		rec.line("client: DELETE job %s answered %d", large.id, status)
	}
	done := map[string]bool{}
	waitFor(45*time.Second, func() bool { return r.completed(small, done) == len(small) })
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.line("%d of %d small jobs are completed", len(done), len(small))
	for _, a := range w.aloneEnds {
		rec.line("broken: GANG: %s run %d on %s ended alone, the others of its group never came", a.task, a.number, a.on.id)
	}
	switch {
	case len(w.aloneEnds) > 0:
		return broken
	case len(done) < len(small):
		return notDone
	}
	return held
}

// gangCheckpoint: one worker of a group that saves its progress crashes.
func gangCheckpoint(rec *record, root, dir string, trouble bool) int {
	r, err := startRegion(rec, root, dir, []service{{name: "plotline", prefix: "/plot/", workers: 9, attempts: 4}})
	defer r.close()
	if err != nil {
		rec.line("%v", err)
		return notDone
	}
	w := r.provider.world
	j := newJob("/plot/", constant(9*time.Second),
		step{Count: 6, CPU: 30000, MemMB: 1000, EstimateMS: 9000, Gang: true, Checkpointing: true})
	if !r.submit(j) || !waitFor(10*time.Second, func() bool { return w.runningOf(j, r.provider.machines) == 6 }) {
		return notDone
	}
	var back time.Time
	if trouble {
		victim := w.crashCandidate(j, r.provider.machines)
		if victim == nil {
			return notDone
		}
		victim.crash(4500 * time.Millisecond)
		back = time.Now().Add(4500 * time.Millisecond)
	}
	completed := waitFor(50*time.Second, func() bool { return r.state(j) == "completed" })
	rec.line("the job is completed: %t", completed)
	w.mu.Lock()
	defer w.mu.Unlock()
	result := held
	carried := map[int]map[string]int{}
	for _, a := range w.aloneEnds {
		if carried[a.number] == nil {
			carried[a.number] = map[string]int{}
		}
		carried[a.number][a.checkpoint]++
		calm := a.began.Sub(back) > 2*contactMs*time.Millisecond
		rec.line("%s run %d, started with checkpoint %q, ended alone; no disruption near: %t", a.task, a.number, a.checkpoint, calm)
		if calm {
			result = broken
		}
	}
	for number, values := range carried {
		rec.line("run %d of the group was started with %d different checkpoints: %v", number, len(values), values)
	}
	if result == broken {
		rec.line("broken: GANG: runs ended alone with no disruption near; the members of one run carried different checkpoints")
	}
	if result == held && !completed {
		return notDone
	}
	return result
}

// crashCandidate waits until the group has saved its second checkpoint, and returns a
// machine whose worker has not listed it yet.
func (w *world) crashCandidate(j *job, machines []*machine) *machine {
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		for _, m := range machines {
			for task, r := range m.worker.runs {
				worked := time.Since(r.workSince)
				if task[:16] == j.id && worked > 2*checkpointS*time.Second && worked < 2*checkpointS*time.Second+300*time.Millisecond &&
					m.worker.heardHold.Sub(r.workSince) < 2*checkpointS*time.Second {
					w.mu.Unlock()
					return m
				}
			}
		}
		w.mu.Unlock()
	}
	return nil
}

// manyEnds: a worker with many short subtasks is cut off and runs on for less than its
// lease.
func manyEnds(rec *record, root, dir string, trouble bool) int {
	r, err := startRegion(rec, root, dir, []service{{name: "plotline", prefix: "/plot/", workers: 9, attempts: 4}})
	defer r.close()
	if err != nil {
		rec.line("%v", err)
		return notDone
	}
	w := r.provider.world
	const count = 2000
	var ends time.Time // when the first subtask ends
	j := newJob("/plot/", func(_, index int) time.Duration { return time.Until(ends) + time.Duration(index)*time.Millisecond },
		step{Count: count, CPU: 15, MemMB: 16, EstimateMS: 8000})
	ends = time.Now().Add(9 * time.Second)
	var repeats []*run
	w.mu.Lock()
	w.beginHook = func(e *worker, run *run) {
		if n := w.doneAt[run.task]; n != nil {
			repeats = append(repeats, run)
			rec.line("worker %s: %s run %d begins, but run %d ended done on %s with number %d", e.id, run.task, run.number, n.run, n.on.id, n.number)
		}
	}
	w.mu.Unlock()
	if !r.submit(j) || !waitFor(8*time.Second, func() bool { return w.runningOf(j, r.provider.machines) == count }) {
		rec.line("the job does not run: %d", w.runningOf(j, r.provider.machines))
		return notDone
	}
	if trouble {
		time.Sleep(time.Until(ends) - 200*time.Millisecond)
		for _, m := range r.provider.machines {
			if len(m.worker.runs) > 0 {
				rec.line("worker %s with %d runs is cut off", m.worker.id, len(m.worker.runs))
				m.worker.link.cut.Store(true)
			}
		}
		time.Sleep(2400 * time.Millisecond)
		for _, m := range r.provider.machines {
			if m.worker.link.cut.Swap(false) {
				rec.line("worker %s is reached again", m.worker.id)
			}
		}
	}
	completed := waitFor(60*time.Second, func() bool { return r.state(j) == "completed" })
	rec.line("the job is completed: %t; %d subtasks were run again after done", completed, len(repeats))
	w.mu.Lock()
	defer w.mu.Unlock()
	broke := 0
	for _, again := range repeats {
		n := w.doneAt[again.task]
		lapsed := !n.on.lapsedAt.IsZero() && n.on.lapsedAt.Before(n.noted)
		if noted := !n.noted.IsZero(); noted && !lapsed {
			broke++
			rec.line("broken: TWICE: run %d of %s began %v after run %d had ended done; that end was noted %v after it, the lease never lapsed",
				again.number, again.task, again.began.Sub(n.at).Round(time.Millisecond), n.run, n.noted.Sub(n.at).Round(time.Millisecond))
		}
	}
	switch {
	case broke > 0:
		return broken
	case !completed:
		return notDone
	}
	return held
}

const finishMs = 14000

// idleSpell measures for how long no subtask of a job has run, and returns once that is
// longer than limit, or the job is completed, or the time has passed.
func (r *region) idleSpell(j *job, limit, most time.Duration) (idle time.Duration, completed bool) {
	idleSince := time.Now()
	for until := time.Now().Add(most); time.Now().Before(until) && idle < limit; time.Sleep(50 * time.Millisecond) {
		if r.provider.world.runningOf(j, r.provider.machines) > 0 {
			idleSince = time.Now()
		}
		idle = time.Since(idleSince)
		if r.state(j) == "completed" {
			return idle, true
		}
	}
	return idle, false
}

// lost reads the state of a job finish_s after the end of the traffic, and checks that it
// does not wait for 3 s beside idle workers.
func (r *region) lost(j *job) int {
	var completed bool
	for ended := time.Now(); time.Since(ended) < finishMs*time.Millisecond; time.Sleep(200 * time.Millisecond) {
		if completed = r.state(j) == "completed"; completed {
			break
		}
	}
	idle := time.Duration(0)
	if !completed {
		idle, completed = r.idleSpell(j, 10*time.Second, 25*time.Second)
	}
	state := r.state(j)
	r.rec.line("job %s is shown as %s; nothing of it has run for %v", j.id, state, idle.Round(time.Millisecond))
	r.provider.world.mu.Lock()
	for _, m := range r.provider.machines {
		if m.worker != nil {
			r.rec.line("machine %s, kind %s: worker %s runs %d subtasks", m.name, m.kind, m.worker.id, len(m.worker.runs))
		}
	}
	r.provider.world.mu.Unlock()
	switch {
	case completed:
		return held
	case idle > 3*time.Second:
		r.rec.line("broken: LOST: the job's turn has come, and its workers are idle")
		return broken
	}
	return notDone
}

// labelLost: two workers are of the kind that a job requires. One of them is lost for good
// (trouble) before the job is submitted.
func labelLost(rec *record, root, dir string, trouble bool) int {
	s := service{name: "plotline", prefix: "/plot/", workers: 9, attempts: 4, kinds: map[int]string{0: "b", 5: "b"}}
	return onlyTwoSuit(rec, root, dir, trouble, s, "b")
}

// adviceLost: the policy allows two workers for a queue. One of them is lost for good
// (trouble) before the job is submitted.
func adviceLost(rec *record, root, dir string, trouble bool) int {
	s := service{name: "plotline", prefix: "/plot/", workers: 9, attempts: 4, advice: true}
	return onlyTwoSuit(rec, root, dir, trouble, s, "")
}

// onlyTwoSuit submits a job that only the first and the sixth worker can run, before and
// after the first one is lost.
func onlyTwoSuit(rec *record, root, dir string, trouble bool, s service, label string) int {
	r, err := startRegion(rec, root, dir, []service{s})
	defer r.close()
	if err != nil {
		rec.line("%v", err)
		return notDone
	}
	if s.advice {
		suitable := map[*machine]string{r.provider.machines[0]: "t-0", r.provider.machines[5]: "t-5"}
		r.provider.world.mu.Lock()
		r.provider.world.tickets = func(m *machine) string { return suitable[m] }
		r.provider.world.mu.Unlock()
	}
	work := step{Count: 6, CPU: 1800, MemMB: 1000, EstimateMS: 1000, RequiredLabel: label}
	first, second := newJob("/plot/", constant(time.Second), work), newJob("/plot/", constant(time.Second), work)
	if !r.submit(first) || !waitFor(15*time.Second, func() bool { return r.state(first) == "completed" }) {
		rec.line("the first job is not completed")
		return notDone
	}
	rec.line("the first job is completed")
	if trouble {
		r.provider.machines[0].crash(0)
	}
	time.Sleep(2 * contactMs * time.Millisecond) // the loss is known, and everything is in touch again
	if !r.submit(second) {
		return notDone
	}
	return r.lost(second)
}

// gangLost: a worker is lost for good on which one subtask of a group runs that works
// together.
func gangLost(rec *record, root, dir string, trouble bool) int {
	r, err := startRegion(rec, root, dir, []service{{name: "plotline", prefix: "/plot/", workers: 12, attempts: 4}})
	defer r.close()
	if err != nil {
		rec.line("%v", err)
		return notDone
	}
	w := r.provider.world
	busy := newJob("/plot/", constant(7*time.Second), step{Count: 12, CPU: 20000, MemMB: 1000, EstimateMS: 7000})
	if !r.submit(busy) || !waitFor(10*time.Second, func() bool { return w.runningOf(busy, r.provider.machines) == 12 }) {
		return notDone
	}
	group := newJob("/plot/", constant(16*time.Second), step{Count: 4, CPU: 4000, MemMB: 1000, EstimateMS: 16000, Gang: true, MaxPerServer: 1})
	if !r.submit(group) || !waitFor(10*time.Second, func() bool { return w.runningOf(group, r.provider.machines) == 4 }) {
		return notDone
	}
	if !waitFor(15*time.Second, func() bool { return r.state(busy) == "completed" }) {
		return notDone
	}
	rec.line("the first job is completed; the group runs alone")
	if trouble {
		for _, m := range r.provider.machines {
			if len(m.worker.runs) > 0 {
				m.crash(0)
				break
			}
		}
	}
	return r.lost(group)
}
