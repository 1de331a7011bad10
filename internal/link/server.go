package link

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/guard"
)

const (
	servicePath = "/agatehaven.link.v1.Link/"
	// compression is the method that is turned off: most messages are below 1 KiB.
	compression = "gzip"
	// serverHeaderTimeout bounds the time in which a caller must send the header.
	serverHeaderTimeout = 5 * time.Second
	// serverIdleTimeout is longer than the clients' idleTimeout, so that the client
	// closes an idle connection first.
	serverIdleTimeout = 2 * time.Minute
)

func commonOptions() []connect.Option {
	return []connect.Option{
		connect.WithCodec(codec.ConnectCodec{}),
		connect.WithReadMaxBytes(codec.MaxMessageBytes),
		connect.WithSendMaxBytes(codec.MaxMessageBytes),
	}
}

// limits are those of the calls of other processes.
func limits() guard.Limits {
	return guard.Limits{
		MaxHeadBytes: guard.DefaultLimits.MaxHeadBytes, MaxBodyBytes: codec.MaxMessageBytes,
		HeadTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout,
	}
}

// NewServer returns an HTTP server that serves h and may use share for its clients.
func NewServer(h Handler, share guard.Share, log zerolog.Logger) *guard.Server {
	options := []connect.HandlerOption{connect.WithCompression(compression, nil, nil)}
	for _, o := range commonOptions() {
		options = append(options, o)
	}
	mux := http.NewServeMux()
	handle(mux, "Submit", h.Submit, options)
	handle(mux, "Cancel", h.Cancel, options)
	handle(mux, "Look", h.ReadJobState, options)
	handle(mux, "Count", h.CountWaiting, options)
	handle(mux, "Configure", h.Configure, options)
	handle(mux, "StartWave", h.StartWave, options)
	handle(mux, "Announce", h.Announce, options)
	handle(mux, "Leave", h.Leave, options)
	handle(mux, "Customers", h.Customers, options)
	handle(mux, "Explain", h.Explain, options)
	handle(mux, "Members", h.Members, options)
	handle(mux, "Tell", h.UpdateMembers, options)
	handle(mux, "Step", h.Step, options)
	handle(mux, "Join", h.Join, options)
	handle(mux, "Exchange", h.Exchange, options)
	handle(mux, "Found", h.Bootstrap, options)
	return guard.NewServer(mux, guard.Config{Name: "link", Share: share, Limits: limits, Log: log})
}

func handle[Req, Res any](mux *http.ServeMux, name string, call func(context.Context, *Req) (*Res, error), options []connect.HandlerOption) {
	mux.Handle(servicePath+name, connect.NewUnaryHandler(servicePath+name,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res, err := call(ctx, r.Msg)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			return connect.NewResponse(res), nil
		}, options...))
}
