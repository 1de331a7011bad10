package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// lateFor is how long executors leave orders unanswered, as in the site's list.
	lateFor = 5500 * time.Millisecond
	// startsAfter is when the job is handed in after that begins.
	startsAfter = 200 * time.Millisecond
)

// playLateStarts has a job of two subtasks that last start on executors that leave starts
// unanswered and carry them out late. It looks whether subtasks at work are ended by stops.
func playLateStarts(w *world, trouble bool) bool {
	if trouble {
		until := time.Now().Add(lateFor)
		for _, m := range w.provider.machines {
			m.mu.Lock()
			if m.executor != nil {
				m.executor.mu.Lock()
				m.executor.lateUntil = until
				m.executor.mu.Unlock()
			}
			m.mu.Unlock()
		}
		w.note("starts and the first stops get no answer from now on")
		pause(startsAfter)
	}
	job := newID()
	if !w.submit(&http.Client{Timeout: 3 * time.Second}, longPrefix, job, mayMiss+1, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.note("job " + job + " accepted")
	pause(12 * time.Second)
	w.checkShare()
	return w.interrupted() <= mayMiss
}

// interrupted returns how many subtasks at work were ended by stops that were carried out on
// time, at most, before as many were at work again.
func (w *world) interrupted() int {
	w.mu.Lock()
	away, most := map[string]bool{}, 0
	for _, e := range w.events {
		switch e.kind {
		case stoppedAtWork:
			away[e.task] = true
		case "start":
			delete(away, e.task)
		}
		most = max(most, len(away))
	}
	w.mu.Unlock()
	w.note(fmt.Sprintf("%d subtasks at work were away at once by stops; %d may be", most, mayMiss))
	return most
}

// maxShare is the share of the orders that executors may leave unanswered.
const maxShare = 0.5

// checkShare notes the share of unanswered orders, and ends the case if it is too high.
func (w *world) checkShare() {
	unanswered, answered := 0, 0
	for _, m := range w.provider.machines {
		m.mu.Lock()
		if m.executor != nil {
			m.executor.mu.Lock()
			unanswered, answered = unanswered+m.executor.unanswered, answered+m.executor.answered
			m.executor.mu.Unlock()
		}
		m.mu.Unlock()
	}
	w.note(fmt.Sprintf("%d orders had no answer, %d had one", unanswered, answered))
	if float64(unanswered) > maxShare*float64(unanswered+answered) {
		cannotRun("more orders were left unanswered than the pages allow")
	}
}
