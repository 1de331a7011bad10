package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the memory of a core machine, as in the settings.
	memoryMB = 284
	// largeJobs is how many large jobs come at once, and largeCount the subtasks of each.
	largeJobs  = 250
	largeCount = 10000
	// largeClients hand them in.
	largeClients = 10
)

// playLarge has large jobs come at once, and looks whether the processes of the core stay within
// their memory and an ordinary client is answered.
func playLarge(w *world, trouble bool) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	job := newID()
	if !w.submit(client, longPrefix, job, 5, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.awaitRunning(job, 5)
	count := largeCount
	if !trouble {
		count = 6
	}
	ended := w.enforceMemory()
	var wg sync.WaitGroup
	for range largeClients {
		wg.Go(func() {
			for range largeJobs / largeClients {
				w.submitLarge(count)
			}
		})
	}
	wg.Wait()
	pause(30 * time.Second)
	status, answer := w.send(client, http.MethodGet, w.front(0)+longPrefix+job, nil)
	w.note(fmt.Sprintf("GET %s: %d %s", job, status, answer))
	n := 0
	for _, c := range w.system.cores {
		w.note(fmt.Sprintf("%s ended %d times by itself", c.name, ended(c)))
		if ended(c) >= 3 {
			n++
		}
	}
	return n < 2
}

// submitLarge hands a job in once.
func (w *world) submitLarge(count int) {
	id := newID()
	w.mu.Lock()
	w.works[id] = work{time.Second, "done"}
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": "s", "steps": []any{
		map[string]any{"count": count, "cpu": 500, "memMb": 128, "estimateMs": 900},
	}})
	if err != nil {
		cannotRun(err.Error())
	}
	status, _ := w.send(&http.Client{Timeout: 3 * time.Second}, http.MethodPost, w.front(int(time.Now().UnixNano()))+shortPrefix+id, body)
	w.note(fmt.Sprintf("POST %s with %d subtasks: %d", id, count, status))
}

// enforceMemory kills each core process that uses more than its machine has, and starts it again
// after a short delay, as the provider does. The function that it returns counts its kills.
func (w *world) enforceMemory() func(p *process) int {
	var mu sync.Mutex
	ended := map[*process]int{}
	for _, c := range w.system.cores {
		go func() {
			for {
				pause(50 * time.Millisecond)
				if mb := residentMB(c.command.Process.Pid); mb > memoryMB {
					w.note(fmt.Sprintf("%s uses %d MB and is ended", c.name, mb))
					mu.Lock()
					ended[c]++
					mu.Unlock()
					c.kill()
					pause(500 * time.Millisecond)
					w.system.start(c)
				}
			}
		}()
	}
	return func(p *process) int {
		mu.Lock()
		defer mu.Unlock()
		return ended[p]
	}
}

// residentMB returns the memory of a process that this program has started.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0 // it has ended
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * syscall.Getpagesize() >> 20
}
