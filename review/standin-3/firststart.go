package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// killAfter is when a core process is killed at the first start.
	killAfter = 500 * time.Millisecond
	// restartAfter is the short delay after which it is started again.
	restartAfter = 300 * time.Millisecond
)

// playFirstStart has one process of the core killed and started again while the whole system
// starts for the first time. The operator sends the first manifest until it is confirmed.
func playFirstStart(w *world, trouble bool) bool {
	w.system.startAll()
	w.provider.startExecutors()
	stable := time.Now()
	if trouble {
		pause(killAfter)
		killed := w.system.cores[2]
		killed.kill()
		w.note(killed.name + " is killed")
		pause(restartAfter)
		w.system.start(killed)
		stable = time.Now()
		w.note(killed.name + " is started again, with bootstrap = false")
	}
	limit := stable.Add((contactMS + ackMS) * time.Millisecond)
	for until := stable.Add(45 * time.Second); time.Now().Before(until); pause(500 * time.Millisecond) {
		if !w.configure(1, longPrefix, shortPrefix) {
			continue
		}
		w.note(fmt.Sprintf("the manifest is confirmed %d ms before its time", time.Until(limit).Milliseconds()))
		return time.Now().Before(limit)
	}
	w.note("the manifest was never confirmed")
	client := &http.Client{Timeout: 3 * time.Second}
	w.note(fmt.Sprintf("a job is accepted: %t", w.submit(client, longPrefix, newID(), 5, true, work{longTime, "done"})))
	return false
}
