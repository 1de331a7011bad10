package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
	// timedJobs is how many timed jobs are handed in, one in timedGap: 18 a second, the mean of a
	// small deployment.
	timedJobs = 720
	timedGap  = 55 * time.Millisecond
	// timedCount is the number of subtasks of their step, and occurrences how often it runs.
	timedCount  = 8
	occurrences = 500
	// firstIn is when they run for the first time, and every is the time between two runs.
	firstIn = 10 * time.Minute
	every   = time.Hour
)

// playTimed has timed jobs handed in at an ordinary rate, and looks whether the processes of the
// core stay within their memory.
func playTimed(w *world, trouble bool) bool {
	client := &http.Client{Timeout: 3 * time.Second}
	job := newID()
	if !w.submit(client, longPrefix, job, 5, true, work{longTime, "done"}) {
		cannotRun("the job was not accepted")
	}
	w.awaitRunning(job, 5)
	repeat := occurrences
	if !trouble {
		repeat = 1
	}
	ended := w.enforceMemory()
	var wg sync.WaitGroup
	for range timedJobs {
		wg.Go(func() { w.submitTimed(repeat) })
		pause(timedGap)
	}
	wg.Wait()
	pause(20 * time.Second)
	status, answer := w.send(client, http.MethodGet, w.front(0)+longPrefix+job, nil)
	w.note(fmt.Sprintf("GET %s: %d %s", job, status, answer))
	n := 0
	for _, c := range w.system.cores {
		w.note(fmt.Sprintf("%s ended %d times over its memory", c.name, ended(c)))
		if ended(c) >= 3 {
			n++
		}
	}
	return n < 2
}

// submitTimed hands a timed job in once.
func (w *world) submitTimed(repeat int) {
	id := newID()
	body, err := json.Marshal(map[string]any{
		"spec": "spec of " + id, "repeatCount": repeat, "firstMs": time.Now().Add(firstIn).UnixMilli(), "intervalMs": every.Milliseconds(),
		"steps": []any{map[string]any{"count": timedCount, "cpu": 500, "memMb": 128, "estimateMs": 900}},
	})
	if err != nil {
		cannotRun(err.Error())
	}
	status, _ := w.send(&http.Client{Timeout: 3 * time.Second}, http.MethodPost, w.front(rand.Int())+shortPrefix+id, body)
	w.note(fmt.Sprintf("POST %s, %d times %d subtasks: %d", id, repeat, timedCount, status))
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
