package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playLapse has the channels to the executors go silent for good, while new ones work, and looks
// whether subtasks that last go on.
func playLapse(w *world, trouble bool) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	job := newID()
	if !w.submit(client, longPrefix, job, 5, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.note("job " + job + " accepted")
	w.awaitRunning(job, 5)
	pause(2 * time.Second)
	for range 6 {
		w.submit(client, shortPrefix, newID(), 6, false, work{time.Duration(500+rand.IntN(500)) * time.Millisecond, "done"})
		pause(400 * time.Millisecond)
	}
	pause(1500 * time.Millisecond)
	w.silentAt = time.Now()
	if trouble {
		for _, m := range w.provider.machines {
			m.mu.Lock()
			if m.executor != nil {
				w.note(fmt.Sprintf("%d channels to %s on %s go silent", m.executor.proxy.silence(), m.executor.id, m.name))
			}
			m.mu.Unlock()
		}
	}
	pause(10 * time.Second)
	lapsed, silent := 0, w.silentAt
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.events {
		if e.kind == "lapsed" && e.at.Sub(silent) > contactMS*time.Millisecond {
			lapsed++
		}
	}
	return lapsed <= mayMiss
}
