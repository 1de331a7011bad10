package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// StartFault changes how a target treats a start request.
type StartFault string

// Start faults. In both cases the connection goes silent.
const (
	// StartSilentAfterBegin begins the task but sends no response.
	StartSilentAfterBegin StartFault = "silent_after_begin"
	// StartSilentBeforeBegin drops the request.
	StartSilentBeforeBegin StartFault = "silent_before_begin"
)

// Faults are the fault switches of one target. Setting them replaces the
// previous ones.
type Faults struct {
	// SilenceConnections makes the connections that are open now silent for
	// ever; new connections work. It acts once.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// FailTasks makes every task fail.
	FailTasks bool `json:"fail_tasks,omitempty"`
	// RefuseStarts refuses every start with 409.
	RefuseStarts bool `json:"refuse_starts,omitempty"`
	// TruncateAnswers cuts answers but announces their full length.
	TruncateAnswers bool `json:"truncate_answers,omitempty"`
	// MismatchAnswers sends answers under the number of another attempt.
	MismatchAnswers bool       `json:"mismatch_answers,omitempty"`
	Start           StartFault `json:"start,omitempty"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Mute stops the announcements.
	Mute bool `json:"mute,omitempty"`
	// MuteAfterReboot sets Mute at the next reboot, like a host that does not
	// come back.
	MuteAfterReboot bool `json:"mute_after_reboot,omitempty"`
}

// silentConn can go silent: what it receives is dropped and what it sends is
// swallowed, while the connection stays open.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	onDone func()
	done   sync.Once
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Close() error {
	c.done.Do(c.onDone)
	return c.Conn.Close()
}

// silentListener tracks the open connections of a target and can silence them.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	open  map[*silentConn]struct{}
	peak  int
	total int
}

func newSilentListener(l net.Listener) *silentListener {
	return &silentListener{Listener: l, open: map[*silentConn]struct{}{}}
}

func (l *silentListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw}
	c.onDone = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	l.total++
	l.peak = max(l.peak, len(l.open))
	return c, nil
}

func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
}

func (l *silentListener) counts() (peak, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.total
}
