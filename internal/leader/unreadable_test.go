package leader_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// setListEdit sets the function that edits the targets' lists, nil for none.
func (w *world) setListEdit(f func(t *target, h *leader.RunList)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.editList = f
}

// addUnreadableRow adds a row that cannot be read to a list.
func addUnreadableRow(h *leader.RunList) { h.Unreadable.Add(0, "bad", true) }

// hideRuns turns the rows of all runs into unreadable ones.
func hideRuns(_ *target, h *leader.RunList) {
	for range h.Running {
		addUnreadableRow(h)
	}
	h.Running = nil
}

func (w *world) log() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logs.String()
}

// Guards against two runs of a task, and against a long-lived task that is stopped: a
// run in an unreadable row counted as vanished, and as closed once a stop was
// confirmed, although the stop takes a moment.
func TestRunInAnUnreadableRowGoesOn(t *testing.T) {
	simulate(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.setDuration(0)
		_, stop := w.lead(2)
		defer stop()
		w.submit("l", "/draw/", longLivedStep(2))
		after(3 * time.Second)
		w.add("b", "hb", "1:2", "desk").setDuration(0)
		w.setListEdit(hideRuns)
		after(10 * time.Second)
		w.setListEdit(nil)
		after(3 * time.Second)
		g := NewWithT(t)
		g.Expect(strings.Count(w.log(), "begin ")).To(Equal(2), w.log())
		g.Expect(w.log()).NotTo(ContainSubstring(": stopped"))
		g.Expect(strings.Count(w.log(), "list of runs not read in full")).To(BeNumerically("<=", 2), "at a bounded rate")
		g.Expect(w.log()).To(ContainSubstring("of them are left out"), "skipped rows are reported")
	})
}

// Guards against a long-lived task that never starts again because an unreadable row
// that is about something else could always be about its run.
func TestLostRunStartsAgainBesideAnUnreadableRow(t *testing.T) {
	simulate(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.setDuration(0)
		w.setListEdit(func(_ *target, h *leader.RunList) { addUnreadableRow(h) })
		_, stop := w.lead(2)
		defer stop()
		w.submit("l", "/draw/", longLivedStep(1))
		after(3 * time.Second)
		w.mu.Lock()
		for ref, timer := range a.runs { // it vanishes without an ended row
			timer.Stop()
			delete(a.runs, ref)
			w.alive[ref.Task]--
		}
		w.mu.Unlock()
		after(40 * time.Second)
		w.mu.Lock()
		running := w.running()
		w.mu.Unlock()
		NewWithT(t).Expect(running).To(Equal(1), w.log())
	})
}

// Guards against jobs whose ended runs are not recorded while an unreadable row is
// listed, and against a leader that requests the list without a pause.
func TestEndedRunsAreRecordedBesideAnUnreadableRow(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		lists := 0
		w.setListEdit(func(_ *target, h *leader.RunList) {
			lists++
			addUnreadableRow(h)
			if len(h.Ended) == 0 { // otherwise the target would wait for one before it answers
				h.Ended = []work.EndedRun{{Number: 0, Run: work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}, Outcome: work.OutcomeDone}}
			}
		})
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", shortStep(6))
		after(6 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(lists).To(BeNumerically("<", 100))
	})
}

// Guards against ended runs that are never recorded and that the target drops, because
// one with an invalid number was recorded as the last.
func TestInvalidNumberOfAnEndedRunHidesNoOthers(t *testing.T) {
	for _, number := range []int64{-5, 0, 5_000_000, 1 << 53, 1<<63 - 1} {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk")
			bad := work.EndedRun{Number: number, Run: work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}, Outcome: work.OutcomeDone}
			w.setListEdit(func(_ *target, h *leader.RunList) { h.Ended = append(h.Ended, bad) })
			_, stop := w.lead(2)
			defer stop()
			w.submit("j", "/draw/", shortStep(6))
			after(8 * time.Second)
			w.mu.Lock()
			proposals := w.index
			w.mu.Unlock()
			g := NewWithT(t)
			g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
			g.Expect(strings.Count(w.log(), "begin ")).To(Equal(6), w.log())
			g.Expect(proposals).To(BeNumerically("<", 60), "an invalid ended run is not recorded repeatedly")
		})
	}
}

// Guards against ended runs that are never recorded because a later one is listed
// first.
func TestEndedRunsAreRecordedInAnyOrder(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.setListEdit(func(_ *target, h *leader.RunList) { slices.Reverse(h.Ended) })
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", shortStep(12))
		after(8 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
		g.Expect(strings.Count(w.log(), "begin ")).To(Equal(12), w.log())
	})
}

// Guards against stops that accumulate, one more with each list, for a listed run that
// no order ends: the target refuses the name of its task.
func TestStopsOfAnUnknownRunDoNotPileUp(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		bad := work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}
		stops := 0
		w.setListEdit(func(_ *target, h *leader.RunList) { h.Running = append(h.Running, leader.RunningRun{Run: bad}) })
		w.refuse = func(o *leader.StopOrder) leader.Refusal {
			if o.Run != bad {
				return leader.NotRefused
			}
			stops++
			return leader.RefusedInvalid
		}
		_, stop := w.lead(2)
		defer stop()
		for i := range 8 {
			w.submit("j"+strconv.Itoa(i), "/draw/", shortStep(4))
			after(2 * time.Second)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(stops).To(And(BeNumerically(">", 0), BeNumerically("<", 60)))
	})
}

// Guards against a wave that is reported as complete although the maintenance of a host
// in an unreadable row has not begun, and against a list of hosts that is dropped
// because of one unreadable row.
func TestHostInAnUnreadableRowIsNotGone(t *testing.T) {
	simulate(t, func(w *world) {
		w.unreadableRows, w.hidden = &leader.UnreadableRows{Rows: 1, LeftOut: 1, First: "bad"}, "h1"
		w.leaving = map[string]bool{"h1": true}
		w.add("a0", "h0", "1:0", "desk")
		w.add("a1", "h1", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h0", "h1"}, MaxDown: 1}})
		after(15 * time.Second)
		g := NewWithT(t)
		complete, _ := w.stateMachine.WaveComplete(1)
		g.Expect(complete).To(BeFalse(), w.log())
		g.Expect(w.log()).To(ContainSubstring("list of hosts not read in full"))
		w.mu.Lock()
		delete(w.leaving, "h1")
		w.mu.Unlock()
		after(15 * time.Second)
		complete, _ = w.stateMachine.WaveComplete(1)
		g.Expect(complete).To(BeTrue(), w.log())
	})
}

// Guards against a step that never starts because one row of the policy service's
// answer cannot be read.
func TestUnreadableTicketHidesNoOthers(t *testing.T) {
	simulate(t, func(w *world) {
		w.needsTickets = true
		w.unreadableRows = &leader.UnreadableRows{Rows: 1, LeftOut: 1, First: "bad"}
		w.add("p", "hp", "1:2", "desk")
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/policy/", shortStep(4))
		after(5 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed), w.log())
	})
}

// Guards against a target that gets no lease and no starts any more after one answer
// with a wrong start time, which was taken for that of a later incarnation.
func TestInvalidStartTimeInOneAnswerEndsNoSession(t *testing.T) {
	for _, born := range []int64{1, 1 << 53} {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").setDuration(0)
			_, stop := w.lead(2)
			defer stop()
			w.submit("l", "/draw/", longLivedStep(2))
			after(3 * time.Second)
			bad := 1
			w.setListEdit(func(_ *target, h *leader.RunList) {
				if bad--; bad >= 0 {
					h.Born = born
				}
			})
			after(30 * time.Second)
			g := NewWithT(t)
			g.Expect(strings.Count(w.log(), "begin ")).To(Equal(2), w.log())
			w.submit("j", "/draw/", shortStep(1))
			after(3 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			g.Expect(w.running()).To(Equal(3))
		})
	}
}

// Guards against a task that runs again after it was done: the row of its end could not be read
// in one list, and the number of a later end acknowledged it.
func TestEndThatCannotBeReadOnceIsRecordedFromTheNextList(t *testing.T) {
	simulate(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").setDuration(2 * time.Second)
		w.add("c", "hc", "2:1", "cuts")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		spoiled := false
		w.mu.Lock()
		w.editList = func(_ *target, h *leader.RunList) {
			if len(h.Ended) < 2 || spoiled {
				return
			}
			spoiled = true
			h.Ended = h.Ended[1:]
			h.HasGap, h.Unreadable = true, leader.UnreadableRows{Rows: 1, LeftOut: 1, First: "row 0: too short"}
		}
		w.mu.Unlock()
		w.submit("j", "/draw/", shortStep(4))
		after(10 * time.Second)
		if state := w.state("j"); state != work.Completed || !spoiled {
			t.Errorf("the job is %s, and a list had an odd row: %t\n%s", state, spoiled, w.log())
		}
	})
}
