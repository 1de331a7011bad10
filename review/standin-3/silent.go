package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// crowdClients is how many clients ask at the same time before the channels go silent.
const crowdClients = 100

// playSilent has the channels between the entry machines and the core go silent for good, while
// new ones work, and then cancels a job.
func playSilent(w *world, trouble bool) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	job := newID()
	if !w.submit(client, longPrefix, job, 5, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.note("job " + job + " accepted")
	w.awaitRunning(job, 5)
	w.crowd(job, crowdClients, 4*time.Second)
	if trouble {
		for _, c := range w.system.cores {
			w.note(fmt.Sprintf("%d channels to %s go silent", c.proxy.silence(), c.name))
		}
	}
	pause(contactMS * time.Millisecond)
	return w.cancel(job)
}

// crowd has clients ask for the state of a job at the same time.
func (w *world) crowd(job string, clients int, d time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(d)
	for i := range clients {
		wg.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for time.Now().Before(until) {
				w.send(client, http.MethodGet, w.front(i)+longPrefix+job, nil)
				pause(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// cancel cancels a job as clients do, and reports whether its subtasks were gone in time.
func (w *world) cancel(job string) bool {
	first := time.Now()
	limit := first.Add((ackMS + cancelMS + stopMS) * time.Millisecond)
	confirmed := false
	for try := 0; !confirmed && time.Now().Before(limit.Add(40*time.Second)); try++ {
		client := &http.Client{Timeout: 3 * time.Second}
		sent := time.Now()
		status, answer := w.send(client, http.MethodDelete, w.front(try)+longPrefix+job, nil)
		client.CloseIdleConnections()
		w.note(fmt.Sprintf("DELETE %s at entry %d: %d %s after %d ms", job, try%len(w.system.entries), status, answer, time.Since(sent).Milliseconds()))
		if confirmed = status == http.StatusOK || status == http.StatusGone; !confirmed {
			pause(300 * time.Millisecond)
		}
	}
	w.note(fmt.Sprintf("cancelling confirmed %d ms after it was first sent", time.Since(first).Milliseconds()))
	if left := time.Until(limit); left > 0 {
		pause(left)
	}
	if n := len(w.running(job)); n > 0 || time.Since(first) > (ackMS+cancelMS+stopMS+500)*time.Millisecond {
		w.note(fmt.Sprintf("%d subtasks of the job are still at work", n))
		return false
	}
	return true
}
