package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/metrics"
	"agatehaven.dev/agatehaven/internal/operator/command"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/transport"
)

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 5 * time.Second

// listener is one HTTP server with its socket.
type listener struct {
	name   string
	server *http.Server
	socket net.Listener
	tls    bool
}

// servers are the listeners of one daemon, one for each API.
type servers struct {
	callers *listener
	all     []*listener
	// open counts the callers' requests that have not been answered yet.
	open atomic.Int64
}

// listen opens all listeners, so that an address conflict is found before
// anything is served.
func (d *Daemon) listen() (*servers, error) {
	peerTLS, err := d.settings.TLS.Peer.ServerConfig()
	if err != nil {
		return nil, err
	}
	targetTLS, err := d.settings.TLS.Target.ServerConfig()
	if err != nil {
		return nil, err
	}
	operatorTLS, err := d.settings.TLS.Operator.ServerConfig()
	if err != nil {
		return nil, err
	}
	addresses := d.settings.Listen
	s := &servers{}
	callers := &listener{name: "caller", server: caller.NewHTTPServer(s.countOpen(caller.NewHandler(d, d.callerOptions())))}
	s.callers = callers
	plan := []struct {
		l       *listener
		address string
		tls     *tls.Config
	}{
		{callers, addresses.Caller, nil},
		{&listener{name: "target", server: target.NewAnnounceHTTPServer(target.NewAnnounceServer(announceForwarder{d}))}, addresses.Target, targetTLS},
		{&listener{name: "operator", server: newHTTPServer(d.operatorHandler())}, addresses.Operator, operatorTLS},
		{&listener{name: "peer", server: peer.NewHTTPServer(peer.NewServer(handler{d}, peer.ServerOptions{HLC: d.hlc}), peerTLS)}, addresses.Peer, peerTLS},
		{&listener{name: "diagnostics", server: newHTTPServer(d.diagnosticsHandler())}, addresses.Diagnostics, nil},
	}
	for _, p := range plan {
		socket, err := net.Listen("tcp", p.address)
		if err != nil {
			s.close()
			return nil, &fault.Unavailable{What: p.l.name + " listener", Reason: err.Error()}
		}
		p.l.socket = transport.NewMeter(transport.SideServer, p.l.name).Listener(socket)
		if p.tls != nil {
			p.l.server.TLSConfig, p.l.tls = p.tls, true
		}
		s.all = append(s.all, p.l)
	}
	return s, nil
}

// countOpen wraps h to count the requests in progress.
func (s *servers) countOpen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
}

// serve serves all listeners. The channel receives the first failure.
func (s *servers) serve() <-chan error {
	failed := make(chan error, len(s.all))
	for _, l := range s.all {
		go func() {
			var err error
			if l.tls {
				err = l.server.ServeTLS(l.socket, "", "")
			} else {
				err = l.server.Serve(l.socket)
			}
			if !errors.Is(err, http.ErrServerClosed) {
				failed <- &fault.Unavailable{What: l.name + " listener", Reason: err.Error()}
			}
		}()
	}
	return failed
}

// drainCallers closes the callers' listener and waits for requests in
// progress until ctx ends. It returns the number of those that are left.
func (s *servers) drainCallers(ctx context.Context) int64 {
	if s.callers.server.Shutdown(ctx) == nil {
		return 0
	}
	return s.open.Load()
}

func (s *servers) close() {
	for _, l := range s.all {
		_ = l.server.Close()
	}
}

func (d *Daemon) callerOptions() caller.Options {
	return caller.Options{MaxPayloadBytes: d.settings.Limits.PayloadBytes}
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	command.Register(mux, operators{d}, int64(d.settings.Limits.MessageBytes))
	query.Register(mux, operators{d})
	return mux
}

// diagnosticsHandler serves metrics, health, readiness and profiles.
func (d *Daemon) diagnosticsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}
