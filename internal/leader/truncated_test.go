package leader_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// Guards against tasks that run again after they were done: a target that was cut off has
// more ended runs than one list holds, and those that the first lists lack counted as
// vanished.
func TestEndedRunBeyondATruncatedListIsNotStartedAgain(t *testing.T) {
	for _, perList := range []int{1, 2, 3} {
		simulate(t, func(w *world) {
			w.endsPerList = perList
			a := w.add("a", "ha", "1:1", "desk")
			_, stop := w.lead(2)
			defer stop()
			w.submit("j", "/draw/", shortStep(4))
			after(500 * time.Millisecond)
			w.mu.Lock()
			a.silent = true
			w.mu.Unlock()
			after(2400 * time.Millisecond)
			w.mu.Lock()
			a.silent = false
			w.mu.Unlock()
			after(8 * time.Second)
			g := NewWithT(t)
			g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
			g.Expect(strings.Count(w.log(), "begin ")).To(Equal(4), w.log())
			g.Expect(w.log()).To(ContainSubstring("list of ended runs is truncated"))
		})
	}
}

// Guards against a new leader that repeats the starts of runs that have ended, because the
// truncated list of their target does not show it yet.
func TestNewLeaderReadsAllTruncatedListsFirst(t *testing.T) {
	simulate(t, func(w *world) {
		w.endsPerList = 1
		a := w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		w.submit("j", "/draw/", shortStep(4))
		after(500 * time.Millisecond)
		stop()
		after(1500 * time.Millisecond) // an election, in which all runs end
		starts := 0
		w.mu.Lock()
		w.onStart = func(*leader.StartOrder) { starts++ }
		w.mu.Unlock()
		_, stop = w.lead(3)
		defer stop()
		after(8 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("j")).To(Equal(work.Completed), w.log())
		g.Expect(a.number).To(BeEquivalentTo(4))
		g.Expect(starts).To(BeZero(), w.log())
	})
}

// Guards against a task that waits for ever for its run, because each list of its target
// seems truncated and no row of it can be acknowledged.
func TestLostRunStartsAgainBesideAListThatStaysTruncated(t *testing.T) {
	simulate(t, func(w *world) {
		w.endsPerList = 1
		a := w.add("a", "ha", "1:1", "desk")
		a.setDuration(0)
		w.setListEdit(func(_ *target, h *leader.RunList) {
			h.Ended, h.Truncated = nil, true
			addUnreadableRow(h)
		})
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
		running, logs := w.outcome()
		NewWithT(t).Expect(running).To(Equal(1), logs)
	})
}

// Guards against the same faults in any mix of others, with lists that are often
// truncated.
func TestRandomFaultsWithTruncatedLists(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) {
				r := rand.New(rand.NewPCG(seed, 12))
				w.endsPerList = 1 + r.IntN(3)
				runRandomFaults(t, w, r)
			})
		})
	}
}
