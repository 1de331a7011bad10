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

// change sets how the targets' lists are changed.
func (w *world) change(f func(t *target, h *leader.RunList)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists = f
}

// leaveOut notes a row that cannot be read.
func leaveOut(h *leader.RunList) { h.Unreadable.Add(0, "odd", true) }

// hideRuns lists runs in rows that cannot be read.
func hideRuns(_ *target, h *leader.RunList) {
	for range h.Running {
		leaveOut(h)
	}
	h.Running = nil
}

func (w *world) log() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logs.String()
}

// Guards against two runs of a task, and against a lasting task that is stopped:
// a run whose row cannot be read counted as vanished, and as settled once a stop
// was confirmed, though it takes a moment.
func TestRunInAnUnreadableRowGoesOn(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.lasts(0)
		_, stop := w.lead(2)
		defer stop()
		w.submit("l", "/draw/", lasting(2))
		after(3 * time.Second)
		w.add("b", "hb", "1:2", "desk").lasts(0)
		w.change(hideRuns)
		after(10 * time.Second)
		w.change(nil)
		after(3 * time.Second)
		g := NewWithT(t)
		g.Expect(strings.Count(w.log(), "begin ")).To(Equal(2), w.log())
		g.Expect(w.log()).NotTo(ContainSubstring(": stopped"))
		g.Expect(strings.Count(w.log(), "list of runs not read in full")).To(BeNumerically("<=", 2), "at a bounded rate")
		g.Expect(w.log()).To(ContainSubstring("of them are left out"), "rows are told of")
	})
}

// Guards against a lasting task that never starts again, since an odd row that is
// about something else may always be about its run.
func TestLostRunStartsAgainBesideAnOddRow(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.lasts(0)
		w.change(func(_ *target, h *leader.RunList) { leaveOut(h) })
		_, stop := w.lead(2)
		defer stop()
		w.submit("l", "/draw/", lasting(1))
		after(3 * time.Second)
		w.mu.Lock()
		for ref, timer := range a.runs { // it is gone without an end
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

// Guards against jobs whose ends are not recorded while an odd row is listed, and
// against a leader that asks for the list without a pause.
func TestEndsAreRecordedBesideAnOddRow(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		lists := 0
		w.change(func(_ *target, h *leader.RunList) {
			lists++
			leaveOut(h)
			if len(h.Ended) == 0 { // which would be waited for otherwise
				h.Ended = []work.EndedRun{{Number: 0, Run: work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}, Outcome: work.OutcomeDone}}
			}
		})
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", small(6))
		after(6 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(lists).To(BeNumerically("<", 100))
	})
}

// Guards against ends that are never recorded, and that the target forgets: an end
// of an odd number was recorded as the last one.
func TestOddNumberOfAnEndHidesNoOthers(t *testing.T) {
	for _, number := range []int64{-5, 0, 5_000_000, 1 << 53, 1<<63 - 1} {
		play(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk")
			odd := work.EndedRun{Number: number, Run: work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}, Outcome: work.OutcomeDone}
			w.change(func(_ *target, h *leader.RunList) { h.Ended = append(h.Ended, odd) })
			_, stop := w.lead(2)
			defer stop()
			w.submit("j", "/draw/", small(6))
			after(8 * time.Second)
			w.mu.Lock()
			proposals := w.index
			w.mu.Unlock()
			g := NewWithT(t)
			g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
			g.Expect(strings.Count(w.log(), "begin ")).To(Equal(6), w.log())
			g.Expect(proposals).To(BeNumerically("<", 60), "an odd end is not recorded again and again")
		})
	}
}

// Guards against ends that are never recorded, since a later one was listed before.
func TestEndsAreRecordedInAnyOrder(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		w.change(func(_ *target, h *leader.RunList) { slices.Reverse(h.Ended) })
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", small(12))
		after(8 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
		g.Expect(strings.Count(w.log(), "begin ")).To(Equal(12), w.log())
	})
}

// Guards against stops that pile up, one more with each list, for a listed run that
// no order ends: the target refuses the name of its task.
func TestStopsOfAnUnknownRunDoNotPileUp(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		odd := work.RunRef{Task: work.TaskRef{Job: "other"}, Run: 1}
		stops := 0
		w.change(func(_ *target, h *leader.RunList) { h.Running = append(h.Running, leader.RunningRun{Run: odd}) })
		w.refuse = func(o *leader.StopOrder) leader.Refusal {
			if o.Run != odd {
				return leader.NotRefused
			}
			stops++
			return leader.RefusedInvalid
		}
		_, stop := w.lead(2)
		defer stop()
		for i := range 8 {
			w.submit("j"+strconv.Itoa(i), "/draw/", small(4))
			after(2 * time.Second)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(stops).To(And(BeNumerically(">", 0), BeNumerically("<", 60)))
	})
}

// Guards against a wave that is told as complete though the maintenance of a host
// has not begun, since its row cannot be read, and against a list of hosts of which
// nothing is used then.
func TestHostInAnUnreadableRowIsNotGone(t *testing.T) {
	play(t, func(w *world) {
		w.oddRows, w.hidden = &leader.UnreadableRows{Rows: 1, LeftOut: 1, First: "odd"}, "h1"
		w.leaving = map[string]bool{"h1": true}
		w.add("a0", "h0", "1:0", "desk")
		w.add("a1", "h1", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h0", "h1"}, MaxDown: 1}})
		after(15 * time.Second)
		g := NewWithT(t)
		complete, _ := w.machine.WaveComplete(1)
		g.Expect(complete).To(BeFalse(), w.log())
		g.Expect(w.log()).To(ContainSubstring("list of hosts not read in full"))
		w.mu.Lock()
		delete(w.leaving, "h1")
		w.mu.Unlock()
		after(15 * time.Second)
		complete, _ = w.machine.WaveComplete(1)
		g.Expect(complete).To(BeTrue(), w.log())
	})
}

// Guards against a step that never starts, since one row of the policy service
// cannot be read.
func TestOddTicketHidesNoOthers(t *testing.T) {
	play(t, func(w *world) {
		w.checked = true
		w.oddRows = &leader.UnreadableRows{Rows: 1, LeftOut: 1, First: "odd"}
		w.add("p", "hp", "1:2", "desk")
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/policy/", small(4))
		after(5 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed), w.log())
	})
}

// Guards against a target that gets no lease and no starts any more after one
// answer with an odd start time, which was taken for that of a later life.
func TestOddBirthInOneAnswerEndsNoSession(t *testing.T) {
	for _, born := range []int64{1, 1 << 53} {
		play(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").lasts(0)
			_, stop := w.lead(2)
			defer stop()
			w.submit("l", "/draw/", lasting(2))
			after(3 * time.Second)
			odd := 1
			w.change(func(_ *target, h *leader.RunList) {
				if odd--; odd >= 0 {
					h.Born = born
				}
			})
			after(30 * time.Second)
			g := NewWithT(t)
			g.Expect(strings.Count(w.log(), "begin ")).To(Equal(2), w.log())
			w.submit("j", "/draw/", small(1))
			after(3 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			g.Expect(w.running()).To(Equal(3))
		})
	}
}
