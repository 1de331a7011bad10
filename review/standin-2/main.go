//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	cases := map[string]func(*world){
		"surplus": surplus, "wave": waveFull, "serving-beside-fill": servingBesideFill, "reborn": rebornElsewhere, "pending": pending,
		// Shown too, without a folder:
		"fill-beside-serving": fillBesideServing, "set-aside": setAside, "odd-entry": oddEntry, "drain": drain,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil || os.Getenv("RECORD") == "" {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE review-2 CASE")
		os.Exit(2)
	}
	w := newWorld()
	time.AfterFunc(118*time.Second, func() {
		w.record("the case did not end in time")
		w.close()
		os.Exit(2)
	})
	cases[os.Args[1]](w)
	w.finish()
}

// lasting returns a step whose subtasks run until the job is cancelled.
func lasting(count, cpu, mem int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "memMb": mem, "estimateMs": 900, "longRunning": true, "image": "web", "mayMiss": 1}
}

// awaitRunning waits until all subtasks of the jobs run.
func (w *world) awaitRunning(limit time.Duration, jobs ...*job) {
	for end := time.Now().Add(limit); ; {
		missing := 0
		w.mu.Lock()
		for _, j := range jobs {
			if j == nil {
				w.mu.Unlock()
				w.check(fmt.Errorf("a job was not accepted"))
			}
			for i, s := range j.steps {
				for k := range s["count"].(int) {
					if j.running[fmt.Sprintf("%s.0.%d.%d", j.id, i, k)] == 0 {
						missing++
					}
				}
			}
		}
		w.mu.Unlock()
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			w.check(fmt.Errorf("%d subtasks do not run before the disruption", missing))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// machineOf returns the machine on which a run of a job's subtask is.
func (w *world) machineOf(j *job, task string) *machine {
	for _, m := range w.allMachines() {
		m.mu.Lock()
		e := m.executor
		m.mu.Unlock()
		if e == nil {
			continue
		}
		e.mu.Lock()
		r := e.runs[task]
		e.mu.Unlock()
		if r != nil && r.job == j {
			return m
		}
	}
	return nil
}

// startRegion starts the system and a service with machines. The manifest has a standby service
// without machines.
func (w *world) startRegion(pool string, machines int) {
	w.startRegionWith(pool, machines, service(pool, false), service("off", true))
}

func (w *world) startRegionWith(pool string, machines int, services ...map[string]any) {
	w.startSystem(w.startProvider())
	w.configure(1, []map[string]any{route("serve", pool, 0, 4), route("batch", pool, 0, 4), route("draw", pool, 0, 2)}, services)
	w.awaitReady()
	w.addMachines(pool, machines)
	time.Sleep(3 * time.Second)
}

var serviceOf = map[string]string{"serve": "alpha", "batch": "alpha", "draw": "alpha"}

// servingBesideFill loses the machine of a serving job for good while subtasks that fill run
// on all the others.
func servingBesideFill(w *world) {
	w.startRegion("alpha", 8)
	serving := lasting(4, 4000, 4096)
	serving["targetMs"] = 120
	s := w.submit("serve", serving)
	w.awaitRunning(10*time.Second, s)
	filling := lasting(7, 20000, 4096)
	filling["fills"], filling["image"] = true, "convert"
	f := w.submit("batch", filling)
	w.awaitRunning(20*time.Second, s, f)
	time.Sleep(4 * time.Second)
	stop := w.watchLasting(serviceOf)
	if w.trouble {
		m := w.machineOf(s, s.id+".0.0.0")
		w.lose(m, 0)
		w.disrupted("machine %s is lost for good", m.name)
	}
	time.Sleep(40 * time.Second)
	stop()
	w.record("client: state of the serving job: %s", w.state(s))
}

// fillBesideServing loses the machine of a filling job for good while serving subtasks run on
// all the others.
func fillBesideServing(w *world) {
	w.startRegion("alpha", 8)
	serving := lasting(7, 4000, 4096)
	serving["targetMs"], serving["maxPerServer"] = 120, 1
	s := w.submit("serve", serving)
	w.awaitRunning(20*time.Second, s)
	filling := lasting(2, 10000, 4096)
	filling["fills"], filling["image"] = true, "convert"
	f := w.submit("batch", filling)
	w.awaitRunning(20*time.Second, s, f)
	time.Sleep(4 * time.Second)
	stop := w.watchLasting(serviceOf)
	if w.trouble {
		m := w.machineOf(f, f.id+".0.0.0")
		w.lose(m, 0)
		w.disrupted("machine %s is lost for good", m.name)
	}
	time.Sleep(40 * time.Second)
	stop()
	w.record("client: state of the filling job: %s", w.state(f))
}

// setAside lets lasting subtasks fail now and then, one of twelve at a time.
func setAside(w *world) {
	w.startRegion("alpha", 2)
	var jobs []*job
	for range 3 {
		jobs = append(jobs, w.submit("serve", lasting(4, 5000, 4096)))
	}
	w.awaitRunning(20*time.Second, jobs...)
	time.Sleep(3 * time.Second)
	stop := w.watchLasting(serviceOf)
	for i := range 25 {
		if w.trouble {
			// The executors fail in turn, and on each of them the jobs in turn.
			w.failOne(w.allMachines()[i%2], jobs[i/2%len(jobs)])
		}
		time.Sleep(3500 * time.Millisecond)
	}
	stop()
}

// failOne has the oldest run of a job on a machine fail, or of any job if it has none there.
func (w *world) failOne(m *machine, j *job) {
	m.mu.Lock()
	e := m.executor
	m.mu.Unlock()
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := ""
	for t, r := range e.runs {
		if oldest == "" || (r.job == j && e.runs[oldest].job != j) || (r.job == e.runs[oldest].job && r.began.Before(e.runs[oldest].began)) {
			oldest = t
		}
	}
	if oldest != "" {
		e.end(oldest, "failed")
	}
}

// rebornElsewhere crashes an executor, which starts again under its id at another port.
func rebornElsewhere(w *world) {
	w.startRegion("alpha", 8)
	j := w.submit("serve", lasting(16, 15000, 4096))
	w.awaitRunning(20*time.Second, j)
	time.Sleep(4 * time.Second)
	stop := w.watchLasting(serviceOf)
	if w.trouble {
		m := w.machineOf(j, j.id+".0.0.0")
		old := m.executor
		m.mu.Lock()
		old.crash(false)
		m.executor = nil
		m.mu.Unlock()
		w.disrupted("executor %s on %s crashes", old.id, m.name)
		time.Sleep(1500 * time.Millisecond)
		m.mu.Lock()
		m.executor = w.startExecutorAs(old.id, m.name, m.pool, m.zone, m.rack)
		m.mu.Unlock()
		w.disrupted("it is back")
	}
	time.Sleep(35 * time.Second)
	stop()
}

// pending counts the jobs that have not begun while the whole pool is dark.
func pending(w *world) {
	w.plan = func(_ *executor, task string, _ int) (time.Duration, string) {
		if j, _ := w.jobOf(task); j != nil && j.lasts {
			return 0, ""
		}
		return time.Second, "done"
	}
	w.startRegion("alpha", 4)
	spread := lasting(4, 1000, 1024)
	spread["maxPerServer"] = 1
	s := w.submit("serve", spread)
	w.awaitRunning(20*time.Second, s)
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, m := range w.allMachines() {
			w.lose(m, 7500*time.Millisecond)
		}
		w.disrupted("the rack is dark")
	}
	var jobs []*job
	for range 8 {
		jobs = append(jobs, w.submit("draw", map[string]any{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 900}))
	}
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		asked := time.Now()
		address := w.front()
		status, answer, err := w.call(w.ctx(), "GET", address, "/draw/", "calls.example", nil, 3*time.Second)
		waiting := 0
		w.mu.Lock()
		for _, j := range jobs {
			if j != nil && asked.Sub(j.accepted) > 5*time.Second && j.begun.IsZero() {
				waiting++
			}
		}
		w.mu.Unlock()
		n, _ := answer["pending"].(float64)
		w.record("client: GET /draw/ -> %d pending %v %v; %d accepted jobs have not begun", status, answer["pending"], err, waiting)
		if status == 200 && 2*int(n) < waiting {
			w.breaks("MIXED: pending is %d, and %d jobs that were accepted over 5 s before have not begun", int(n), waiting)
		}
	}
}

// waveFull orders the upkeep of two machines of a pool without a spare one. On one of them run both
// subtasks of a step of which one may be away at a time.
func waveFull(w *world) {
	w.startRegion("alpha", 5)
	big := w.submit("batch", lasting(4, 30000, 8192))
	w.awaitRunning(20*time.Second, big)
	small := w.submit("serve", lasting(2, 8000, 8192))
	w.awaitRunning(20*time.Second, big, small)
	time.Sleep(4 * time.Second)
	stop := w.watchLasting(serviceOf)
	if w.trouble {
		machines := []string{w.machineOf(small, small.id+".0.0.0").name, w.machineOf(big, big.id+".0.0.0").name}
		w.startWave(1, machines, 24, 1)
	}
	time.Sleep(45 * time.Second)
	stop()
	if w.trouble {
		status, answer, err := w.call(w.ctx(), "GET", w.control(), "/wave-get/1", "", nil, time.Second)
		w.record("operator: GET /wave-get/1 -> %d %v %v", status, answer["state"], err)
	}
	w.record("client: state of the small job: %s", w.state(small))
}

// startWave orders a wave until it is acknowledged.
func (w *world) startWave(id int, machines []string, seconds, most int) {
	body := map[string]any{"wave": id, "machines": machines, "durationS": seconds, "maxCount": most}
	for range 50 {
		status, _, err := w.call(w.ctx(), "POST", w.control(), "/wave-start", "", body, time.Second)
		w.record("operator: POST /wave-start %v -> %d %v", machines, status, err)
		if err == nil && status == 200 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.check(fmt.Errorf("the wave was not acknowledged"))
}

// surplus loses the machine of a job for good. The lasting subtasks leave room for the job on the
// idle machines only. No service is on standby.
func surplus(w *world) {
	w.plan = func(_ *executor, task string, _ int) (time.Duration, string) {
		if j, _ := w.jobOf(task); j != nil && j.lasts {
			return 0, ""
		}
		return 20 * time.Second, "done"
	}
	w.startRegionWith("alpha", 8, service("alpha", false))
	l := w.submit("serve", lasting(2, 17000, 4096))
	w.awaitRunning(20*time.Second, l)
	time.Sleep(4 * time.Second)
	j := w.submit("draw", map[string]any{"count": 1, "cpu": 20000, "memMb": 1024, "estimateMs": 20000})
	w.awaitRunning(20*time.Second, l, j)
	w.record("client: end of the traffic")
	stop := w.watchEnd("alpha", j, 14*time.Second)
	time.Sleep(12 * time.Second)
	if w.trouble {
		m := w.machineOf(j, j.id+".0.0.0")
		w.lose(m, 0)
		w.disrupted("machine %s is lost for good", m.name)
	}
	time.Sleep(40 * time.Second)
	stop()
	w.record("client: state of the job: %s", w.state(j))
}

// oddEntry has one executor list one entry of its ended runs without its later fields, once.
func oddEntry(w *world) {
	w.plan = func(_ *executor, task string, _ int) (time.Duration, string) {
		j, _ := w.jobOf(task)
		if j == nil {
			return time.Second, "done"
		}
		return max(time.Until(w.began0.Add(14*time.Second)), time.Second), "done" // all end at the same time
	}
	w.startRegion("alpha", 4)
	w.mu.Lock()
	w.spoil = true
	w.mu.Unlock()
	var jobs []*job
	for range 3 {
		jobs = append(jobs, w.submit("draw", map[string]any{"count": 6, "cpu": 1500, "memMb": 1024, "estimateMs": 5000}))
	}
	w.awaitRunning(10*time.Second, jobs...)
	time.Sleep(time.Until(w.began0.Add(30 * time.Second)))
	for _, j := range jobs {
		w.record("client: state of a job: %s", w.state(j))
	}
	if w.trouble && w.calmSince.IsZero() {
		w.check(fmt.Errorf("no list had two ends"))
	}
}

// drain has an executor leave calls unanswered for 3.7 s, in which a start is on its way to it
// and it announces that it drains.
func drain(w *world) {
	w.plan = func(_ *executor, task string, _ int) (time.Duration, string) {
		if j, _ := w.jobOf(task); j != nil && j.lasts {
			return 0, ""
		}
		return time.Second, "done"
	}
	w.startRegion("alpha", 10)
	spread := lasting(10, 1000, 1024)
	spread["maxPerServer"] = 1
	s := w.submit("serve", spread)
	w.awaitRunning(20*time.Second, s)
	time.Sleep(3 * time.Second)
	m := w.allMachines()[0]
	m.mu.Lock()
	e := m.executor
	m.mu.Unlock()
	mute := func(muted bool) {
		e.mu.Lock()
		e.muted = muted
		e.mu.Unlock()
	}
	if w.trouble {
		mute(true)
		w.disrupted("executor %s leaves calls unanswered", e.id)
	}
	go w.submit("draw", map[string]any{"count": 1, "cpu": 2000, "memMb": 1024, "estimateMs": 900, "requiredLabel": "b"})
	time.Sleep(600 * time.Millisecond)
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.announce(w.ctx(), "", 100000)
	time.Sleep(3100 * time.Millisecond)
	mute(false)
	w.disrupted("it answers again")
	time.Sleep(6 * time.Second)
}
