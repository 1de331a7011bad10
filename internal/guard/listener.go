package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Config configures a Server.
type Config struct {
	// Name is the name of the listener in metrics and the log.
	Name string
	// Share is what the listener may use, zero for any amount.
	Share Share
	// Limits returns the limits in force, which may change at any time.
	Limits func() Limits
	Log    zerolog.Logger
}

// guard bounds what one server holds for its clients.
type guard struct {
	cfg     Config
	refused *refusals

	mu    sync.Mutex
	table *table

	// connections and held are the gauges of what the table holds.
	connections, held *metrics.Gauge
}

func newGuard(cfg Config) *guard {
	if cfg.Share == (Share{}) {
		cfg.Share = unbounded
	}
	gauge := func(name string) *metrics.Gauge {
		return metrics.GetOrCreateGauge(fmt.Sprintf("agatehaven_guard_%s{listener=%q}", name, cfg.Name), nil)
	}
	return &guard{
		cfg: cfg, table: newTable(cfg.Share), refused: newRefusals(cfg.Name, cfg.Log),
		connections: gauge("connections"), held: gauge("held_bytes"),
	}
}

// update sets the gauges. The mutex is held.
func (g *guard) update() {
	g.connections.Set(float64(len(g.table.holders)))
	g.held.Set(float64(g.table.bytes))
}

// Server is an HTTP server that bounds what it holds for its clients.
type Server struct {
	*http.Server
	guard *guard
}

// Serve serves the connections of a listener as http.Server does.
func (s *Server) Serve(l net.Listener) error { return s.Server.Serve(&listener{l, s.guard}) }

// NewServer returns a server of h.
func NewServer(h http.Handler, cfg Config) *Server {
	g := newGuard(cfg)
	return &Server{guard: g, Server: &http.Server{
		Handler: g.handler(h),
		// The listener's connections replace these times by those of the limits in force.
		ReadHeaderTimeout: DefaultLimits.HeadTimeout, IdleTimeout: DefaultLimits.IdleTimeout,
		WriteTimeout: answerTimeout,
		// The listener's connections keep the limit in force, which may be above the default.
		MaxHeaderBytes: maxHeadBytes,
		ConnState:      observeState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}}
}

// maxHeadBytes bounds Limits.MaxHeadBytes.
const maxHeadBytes = 1 << 20

// limits returns the limits in force, as far as the share allows them.
func (g *guard) limits() Limits {
	l := g.cfg.Limits()
	l.MaxHeadBytes = min(l.MaxHeadBytes, maxHeadBytes)
	l.MaxBodyBytes = min(l.MaxBodyBytes, g.cfg.Share.MaxBytes)
	return l
}

type listener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener. It refuses connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection for a new one, or refuses it and returns nil.
func (g *guard) admit(raw net.Conn) *conn {
	address := ""
	if remote := raw.RemoteAddr(); remote != nil {
		address, _, _ = net.SplitHostPort(remote.String()) // "" for addresses of another form
	}
	c := &conn{Conn: raw, guard: g}
	c.holder = holder{address: address, since: time.Now(), close: func() { _ = raw.Close() }}
	g.mu.Lock()
	victim, ok := g.table.admit(&c.holder)
	g.update()
	g.mu.Unlock()
	if !ok {
		g.refused.count(reasonConnections)
		answerAndClose(raw, http.StatusServiceUnavailable)
		return nil
	}
	if victim != nil {
		g.refused.count(reasonEvicted)
		victim.close()
	}
	return c
}

// hold adds bytes to what a connection holds, and reports whether there is room.
func (g *guard) hold(c *conn, bytes int64) bool {
	g.mu.Lock()
	victims, ok := g.table.hold(&c.holder, bytes)
	g.update()
	g.mu.Unlock()
	for _, v := range victims {
		g.refused.count(reasonEvicted)
		v.close()
	}
	if !ok {
		g.refused.count(reasonMemory)
	}
	return ok
}

// move sets the phase of a connection, and reports whether the connection has not been chosen
// to be closed.
func (g *guard) move(c *conn, to phase) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.move(&c.holder, to, now)
	g.update()
	return !c.holder.evicted
}

// answer notes that something is sent on a connection. While its body is not read, that is the
// invitation to send it, or an answer that does not depend on it.
func (g *guard) answer(c *conn) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.holder.phase != readingBody && c.holder.phase != answering {
		g.table.move(&c.holder, answering, now)
	}
}

func (g *guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.remove(&c.holder)
	g.update()
}

// observeState is the ConnState hook of a server.
func observeState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.headRead()
	case http.StateIdle:
		c.answered()
	case http.StateClosed, http.StateHijacked:
		c.guard.remove(c)
	}
}
