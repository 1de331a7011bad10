package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/hlc"
)

// servicePath precedes the name of every procedure.
const servicePath = "/agatehaven.peer.v1.Peer/"

// Timeouts of the peer server. The idle timeout is longer than a client's
// (30 s), so that the client closes idle connections first.
const (
	serverHeaderTimeout = 5 * time.Second
	serverIdleTimeout   = 2 * time.Minute
)

// ServerOptions configures the server side of the peer calls.
type ServerOptions struct {
	// HLC observes and issues the timestamps of calls; nil sends none.
	HLC *hlc.Clock
}

// NewServer returns the HTTP handler that serves h.
func NewServer(h Handler, opts ServerOptions) http.Handler {
	var options []connect.HandlerOption
	options = append(options, connect.WithCompression(compression, nil, nil))
	for _, o := range commonOptions() {
		options = append(options, o)
	}
	if opts.HLC != nil {
		options = append(options, connect.WithInterceptors(timestampInterceptor(opts.HLC, "")))
	}
	mux := http.NewServeMux()
	handle(mux, "Step", h.Step, options)
	handle(mux, "Submit", h.Submit, options)
	handle(mux, "Await", h.Await, options)
	handle(mux, "CancelRequest", h.CancelRequest, options)
	handle(mux, "PullAssignments", h.PullAssignments, options)
	handle(mux, "ReportAttempts", h.ReportAttempts, options)
	handle(mux, "Announce", h.Announce, options)
	handle(mux, "PullRecords", h.PullRecords, options)
	handle(mux, "ApplyRecords", h.ApplyRecords, options)
	handle(mux, "AckAdoption", h.AckAdoption, options)
	handle(mux, "DataCentre", h.DataCentre, options)
	handle(mux, "HostCommand", h.HostCommand, options)
	handle(mux, "ChangeReplicas", h.ChangeReplicas, options)
	handle(mux, "GroupStatus", h.GroupStatus, options)
	handle(mux, "Events", h.Events, options)
	handle(mux, "InForce", h.InForce, options)
	return mux
}

// NewHTTPServer returns the HTTP server for the peer listener. It accepts
// HTTP/2, which NewDialer uses, with and without TLS.
func NewHTTPServer(h http.Handler, tlsConfig *tls.Config) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		Protocols:         protocols,
		ReadHeaderTimeout: serverHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
}

func handle[Req, Res any](mux *http.ServeMux, name string, call func(context.Context, *Req) (*Res, error), options []connect.HandlerOption) {
	path := servicePath + name
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		res, err := call(ctx, r.Msg)
		if err != nil {
			return nil, encodeFault(err)
		}
		return connect.NewResponse(res), nil
	}, options...))
}
