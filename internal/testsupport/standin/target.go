package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
)

// relistenDelay is the delay between a rebooted target's attempts to listen on
// its address again.
const relistenDelay = 50 * time.Millisecond

// connContextKey is the context key of the connection that a request came on.
type connContextKey struct{}

// attemptRef identifies one attempt of a request.
type attemptRef struct {
	key     string
	attempt int
}

// Target is one fake target.
type Target struct {
	fleet *Fleet
	info  model.HostInfo

	mu           sync.Mutex
	incarnation  string
	tasks        map[attemptRef]*task
	revoked      map[attemptRef]bool
	faults       Faults
	leaving      bool
	leavingSince time.Time
	down         bool
	listener     *silent.Listener
	server       *http.Server
	slotRefusals int
}

// Info returns the host information that the target currently announces.
func (t *Target) Info() model.HostInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.info
	info.Incarnation, info.Leaving = t.incarnation, t.leaving
	return info
}

// SetFaults replaces the target's fault switches.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	t.faults = f
	l := t.listener
	t.mu.Unlock()
	if f.SilenceConnections && l != nil {
		l.Silence()
	}
}

// Drain sets whether the target announces that it is leaving. A leaving target
// still accepts starts, and the run log records how long it had been leaving.
func (t *Target) Drain(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.leavingSince = leaving, t.fleet.cfg.Clock.Now()
}

// Reboot stops the target and discards its tasks. The target comes up again as
// a new incarnation after the given time.
func (t *Target) Reboot(after time.Duration) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return
	}
	t.down = true
	t.faults.Mute = t.faults.Mute || t.faults.MuteAfterReboot
	server, tasks := t.server, t.tasks
	t.tasks = map[attemptRef]*task{}
	t.revoked = map[attemptRef]bool{}
	t.mu.Unlock()
	_ = server.Close()
	for _, k := range tasks {
		k.finish(target.TaskFailed, "rebooted", nil)
	}
	t.fleet.spawn(func(ctx context.Context) {
		if !t.fleet.sleep(ctx, after) {
			return
		}
		address := t.Info().Address
		for t.listen(address) != nil {
			if !t.fleet.sleep(ctx, relistenDelay) {
				return
			}
		}
	})
}

// listen opens the listener at the address and serves as a new incarnation.
func (t *Target) listen(address string) error {
	raw, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l := silent.NewListener(raw)
	server := &http.Server{
		Handler:           t.handler(),
		ReadHeaderTimeout: serverHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	t.mu.Lock()
	t.info.Address = raw.Addr().String()
	t.listener, t.server = l, server
	t.incarnation = uuid.NewString()
	t.down, t.leaving = false, false
	t.mu.Unlock()
	t.fleet.spawn(func(context.Context) { _ = server.Serve(l) })
	return nil
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", t.serveStart)
	mux.HandleFunc("GET /v1/tasks/{request}/{attempt}", t.serveState)
	mux.HandleFunc("POST /v1/tasks/{request}/{attempt}/stop", t.serveStop)
	mux.HandleFunc("POST /v1/tasks/{request}/{attempt}/checkpoint", t.serveCheckpoint)
	mux.HandleFunc("POST /v1/tasks/{request}/{attempt}/revoke", t.serveRevoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d := t.currentFaults().DelayMS; d > 0 && !t.fleet.sleep(r.Context(), time.Duration(d)*time.Millisecond) {
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (t *Target) currentFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// announcement returns the target's announcement, or false while it is down.
func (t *Target) announcement() (target.Announcement, bool) {
	info := t.Info()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || t.faults.Mute {
		return target.Announcement{}, false
	}
	a := target.Announcement{HostInfo: info}
	for r, k := range t.tasks {
		if k.ended() {
			continue
		}
		a.Running = append(a.Running, target.RunningTask{Request: r.key, Attempt: r.attempt})
		ran := t.fleet.cfg.Clock.Now().Sub(k.began) - t.fleet.cfg.UsageLag
		if ran >= 0 {
			a.Usage = append(a.Usage, model.Usage{
				Request: r.key, Attempt: r.attempt, CPUMillis: k.task.CPUMillis,
				MemoryMB: k.task.MemoryMB, RunMS: ran.Milliseconds(),
			})
		}
	}
	return a, true
}

// startTask starts a task or returns the reason for refusing it. A repeated
// start of an attempt runs again, so that the run log shows it.
func (t *Target) startTask(r attemptRef, body target.Task) (refusal string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := 0
	for _, k := range t.tasks {
		if !k.ended() {
			running++
		}
	}
	switch {
	case t.faults.RefuseStarts:
		return "starts are refused"
	case t.revoked[r]:
		return "the attempt was revoked"
	case t.info.Slots > 0 && running >= t.info.Slots:
		t.slotRefusals++
		return "no free slot"
	}
	run := Run{
		Target: t.info.Name, Incarnation: t.incarnation, Request: r.key, Attempt: r.attempt,
		Kind: body.Kind, BeganMS: t.fleet.cfg.Clock.Now().UnixMilli(),
	}
	if t.leaving {
		run.Leaving = true
		run.LeavingForMS = t.fleet.cfg.Clock.Now().Sub(t.leavingSince).Milliseconds()
	}
	resumedFrom, known := t.fleet.checkpointProgress(body.Checkpoint)
	run.FromMS = resumedFrom.Milliseconds()
	k := newTask(body, t.fleet.cfg.Clock.Now(), t.fleet.log.add(run))
	k.resumedFrom, k.checkpointLost = resumedFrom, len(body.Checkpoint) > 0 && !known
	k.fail = t.faults.FailTasks
	t.tasks[r] = k
	t.fleet.spawn(func(ctx context.Context) { k.run(ctx, t.fleet) })
	return ""
}

func (t *Target) revoke(r attemptRef) target.TaskState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.tasks[r]; known {
		return target.TaskRunning
	}
	t.revoked[r] = true
	return target.TaskRevoked
}

func (t *Target) findTask(r attemptRef) *task {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tasks[r]
}

func (t *Target) hasCapability(want model.Capability) bool {
	return slices.Contains(t.info.Capabilities, want)
}

func (t *Target) stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TargetStats{Address: t.info.Address, Incarnation: t.incarnation, SlotRefusals: t.slotRefusals}
	if t.listener != nil {
		s.PeakConnections, s.Connections = t.listener.Counts()
	}
	return s
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
