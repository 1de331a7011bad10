package leader_test

import (
	"strconv"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against a wave that takes a long-lived task away for ever: its host is reserved for
// maintenance, no other host has room for it, and the host cannot be emptied since the other
// task of the step may not be away at the same time.
func TestWaveLeavesTasksWithoutRoomElsewhereOnTheirHost(t *testing.T) {
	simulate(t, func(w *world) {
		for i := range 5 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
		}
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		large, small := longLivedStep(4), longLivedStep(2)
		large.Demand.MilliCPU, small.Demand.MilliCPU = 3750, 1000
		w.submit("large", "/draw/", large)
		after(3 * time.Second)
		w.submit("small", "/once/", small)
		after(3 * time.Second)
		defer w.watchPromises()()
		hosts := []string{w.hostOf(work.TaskRef{Job: "small"}), w.hostOf(work.TaskRef{Job: "large"})}
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: hosts, MaxDown: 1, DurationMS: 24_000}})
		after(40 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		begun := w.waves[1]
		if begun == nil || begun.begun[hosts[1]].IsZero() {
			t.Errorf("the host with one task is not maintained\n%s", w.logs.String())
		}
		if running := w.running(); running != 6 {
			t.Errorf("%d of 6 tasks run\n%s", running, w.logs.String())
		}
	})
}

// Guards against the opposite: a host is never maintained because the room for its tasks is
// taken by short ones, or by no host before another one joins the pool.
func TestWaveMaintainsHostsWhoseTasksWillHaveRoom(t *testing.T) {
	for name, standby := range map[string]bool{"room of short tasks": false, "a host on standby": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *world) {
				hosts := 2
				if standby {
					hosts = 4
				}
				for i := range hosts {
					n := strconv.Itoa(i)
					w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
				}
				w.add("c", "hc", "2:1", "cuts").setDuration(0)
				_, stop := w.lead(2)
				defer stop()
				after(4 * time.Second)
				step := longLivedStep(2)
				step.Demand.MilliCPU, step.MaxInterrupted = 1500, 1
				w.submit("lasting", "/draw/", step)
				after(4 * time.Second)
				defer w.watchPromises()()
				if !standby {
					for i := range 60 { // more than the pool can do
						w.submit("short"+strconv.Itoa(i), "/once/", work.Step{Tasks: 4, Demand: work.Demand{MilliCPU: 1000}, EstimateMS: 1000})
					}
				}
				host := w.hostOf(work.TaskRef{Job: "lasting"})
				w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{host}, MaxDown: 1, DurationMS: 24_000}})
				after(15 * time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.waves[1] == nil || w.waves[1].begun[host].IsZero() {
					t.Errorf("%s is not maintained\n%s", host, w.logs.String())
				}
			})
		})
	}
}

// Guards against a task that is stopped for a wave, and waits for the end of a run that takes far
// longer than the runs of its queue.
func TestWaveDoesNotCountTheRoomOfALongRun(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(0)
		w.add("c", "hc", "2:1", "cuts").setDuration(0)
		w.propose(&work.Command{Configure: w.withoutStandby()})
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		step := longLivedStep(2)
		step.Demand.MilliCPU = 1500
		w.submit("lasting", "/draw/", step)
		after(time.Second)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		after(2 * time.Second)
		w.submit("long", "/once/", work.Step{Tasks: 1, Demand: work.Demand{MilliCPU: 3000}, EstimateMS: 30_000})
		after(6 * time.Second)
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"ha"}, MaxDown: 1, DurationMS: 24_000}})
		for range 15 {
			after(time.Second)
			if running, logs := w.outcome(); running != 3 {
				t.Errorf("%d of 3 tasks run\n%s", running, logs)
				return
			}
		}
		after(25 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.waves[1] == nil || w.waves[1].begun["ha"].IsZero() {
			t.Errorf("the host is not maintained after the end of the run\n%s", w.logs.String())
		}
	})
}

// hostOf returns the host on which a task runs.
func (w *world) hostOf(task work.TaskRef) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range w.targets {
		for ref := range target.runs {
			if ref.Task == task {
				return target.state.Host
			}
		}
	}
	w.violate("%v runs nowhere", task)
	return ""
}
