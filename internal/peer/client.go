package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/transport"
)

// DefaultCallTimeout bounds a call in addition to the wait that it asks for.
// When it has passed, the connection counts as silent.
const DefaultCallTimeout = 3 * time.Second

// DialerConfig configures the client side of the peer calls.
type DialerConfig struct {
	// Addresses maps host names to "IP:port" of their peer listeners.
	Addresses map[string]string
	// TLS enables TLS if not nil.
	TLS   *tls.Config
	Clock clock.Clock
	// HLC observes and issues the timestamps of calls; nil sends none.
	HLC *hlc.Clock
	// CallTimeout is DefaultCallTimeout if zero.
	CallTimeout time.Duration
	// DialTimeout is transport.DefaultDialTimeout if zero.
	DialTimeout time.Duration
}

// NewDialer returns a Dialer for the configured hosts. A connection is opened
// at the first call to a host.
func NewDialer(cfg DialerConfig) Dialer {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	d := &dialer{clients: make(map[string]*client, len(cfg.Addresses))}
	for host, address := range cfg.Addresses {
		d.clients[host] = newClient(host, address, cfg)
	}
	return d
}

type dialer struct{ clients map[string]*client }

// Dial implements Dialer.
func (d *dialer) Dial(host string) (Handler, error) {
	c, ok := d.clients[host]
	if !ok {
		return nil, &fault.NotFound{Kind: "peer", Name: host}
	}
	return c, nil
}

// client calls one host. It implements Handler.
type client struct {
	host        string
	base        string
	address     string
	callTimeout time.Duration
	clock       clock.Clock
	pool        *transport.Pool
	options     []connect.ClientOption
	suspicion   suspicion
	// procedures caches a *connect.Client for each procedure name.
	procedures sync.Map
}

func newClient(host, address string, cfg DialerConfig) *client {
	scheme := "http://"
	if cfg.TLS != nil {
		scheme = "https://"
	}
	c := &client{
		host: host, base: scheme + address, address: address, callTimeout: cfg.CallTimeout, clock: cfg.Clock,
		pool: transport.NewPool(transport.Config{
			Address: address, TLS: cfg.TLS, HTTP2: true, DialTimeout: cfg.DialTimeout, Clock: cfg.Clock,
			Meter: transport.NewMeter(transport.SideClient, "peer"),
		}),
	}
	c.options = append(c.options, connect.WithAcceptCompression(compression, nil, nil))
	for _, o := range commonOptions() {
		c.options = append(c.options, o)
	}
	if cfg.HLC != nil {
		c.options = append(c.options, connect.WithInterceptors(timestampInterceptor(cfg.HLC, host)))
	}
	return c
}

// call makes one unary call. The other side may delay its response by wait.
func call[Res, Req any](ctx context.Context, c *client, name string, req *Req, wait time.Duration) (*Res, error) {
	if err := c.ensureReachable(ctx); err != nil {
		return nil, err
	}
	res, err := exchange[Res](ctx, c, name, req, c.callTimeout+max(wait, 0))
	if maybeDelivered(err) {
		c.suspicion.activate()
	}
	return res, err
}

// exchange sends one request and waits for its response up to limit.
func exchange[Res, Req any](ctx context.Context, c *client, name string, req *Req, limit time.Duration) (*Res, error) {
	silent := &fault.SilentConnection{Address: c.address, Limit: limit}
	callCtx, cancel := clock.WithTimeout(ctx, c.clock, limit, silent)
	defer cancel()
	var connected atomic.Bool
	callCtx = httptrace.WithClientTrace(callCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	lease := c.pool.Acquire()
	defer lease.Release()
	callCtx = context.WithValue(callCtx, leaseKey{}, lease)
	resp, err := procedureClient[Req, Res](c, name).CallUnary(callCtx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	return nil, c.classifyError(ctx, callCtx, lease, connected.Load(), err)
}

// procedureClient returns the connect client of one procedure. It is cached,
// because it holds the buffers that its calls share.
func procedureClient[Req, Res any](c *client, name string) *connect.Client[Req, Res] {
	if known, ok := c.procedures.Load(name); ok {
		return known.(*connect.Client[Req, Res])
	}
	fresh := connect.NewClient[Req, Res](leaseTransport{}, c.base+servicePath+name, c.options...)
	known, _ := c.procedures.LoadOrStore(name, fresh)
	return known.(*connect.Client[Req, Res])
}

// leaseKey is the context key of a call's *transport.Lease.
type leaseKey struct{}

// leaseTransport implements connect.HTTPClient. It sends a request on the
// connections of the lease in the request's context.
type leaseTransport struct{}

func (leaseTransport) Do(req *http.Request) (*http.Response, error) {
	return req.Context().Value(leaseKey{}).(*transport.Lease).RoundTrip(req)
}

// classifyError returns the typed error of a failed call, and discards the
// connection if it is silent or broken.
func (c *client) classifyError(parent, callCtx context.Context, lease *transport.Lease, connected bool, err error) error {
	var ce *connect.Error
	if errors.As(err, &ce) && connect.IsWireError(err) {
		if typed := decodeFault(ce); typed != nil {
			return typed
		}
		return wireError(ce)
	}
	var tooLarge *fault.LimitExceeded
	if errors.As(err, &tooLarge) {
		return tooLarge
	}
	if parent.Err() != nil {
		return eris.Wrapf(parent.Err(), "call to %s", c.host)
	}
	if !connected {
		return &fault.Unavailable{What: "peer " + c.host, Reason: err.Error()}
	}
	lease.Discard()
	var silent *fault.SilentConnection
	if errors.As(context.Cause(callCtx), &silent) {
		return silent
	}
	var corrupt *fault.Corrupt
	if errors.As(err, &corrupt) {
		return corrupt
	}
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return &fault.Corrupt{What: "response of " + c.host, Offset: MaxMessageBytes, Reason: "it exceeds the message limit"}
	}
	return &fault.ConnectionLost{Address: c.address, Reason: err.Error()}
}

// wireError converts an error of the other side that carries no encoded fault,
// for example because its HTTP or connect layer failed before the handler ran.
func wireError(ce *connect.Error) error {
	switch ce.Code() {
	case connect.CodeResourceExhausted:
		return &fault.LimitExceeded{What: "peer message", Limit: MaxMessageBytes}
	case connect.CodeUnimplemented:
		return &fault.NotFound{Kind: "procedure", Name: ce.Message()}
	}
	return &fault.Remote{RemoteCode: fault.CodeInternal, Text: ce.Error()}
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *client) Step(ctx context.Context, r *StepRequest) (*StepResponse, error) {
	return call[StepResponse](ctx, c, "Step", r, 0)
}

func (c *client) Submit(ctx context.Context, r *SubmitRequest) (*RequestResponse, error) {
	return call[RequestResponse](ctx, c, "Submit", r, millis(r.WaitMS))
}

func (c *client) Await(ctx context.Context, r *AwaitRequest) (*RequestResponse, error) {
	return call[RequestResponse](ctx, c, "Await", r, millis(r.WaitMS))
}

func (c *client) CancelRequest(ctx context.Context, r *CancelRequestRequest) (*RequestResponse, error) {
	return call[RequestResponse](ctx, c, "CancelRequest", r, 0)
}

func (c *client) PullAssignments(ctx context.Context, r *PullAssignmentsRequest) (*PullAssignmentsResponse, error) {
	return call[PullAssignmentsResponse](ctx, c, "PullAssignments", r, millis(r.WaitMS))
}

func (c *client) ReportAttempts(ctx context.Context, r *ReportAttemptsRequest) (*ReportAttemptsResponse, error) {
	return call[ReportAttemptsResponse](ctx, c, "ReportAttempts", r, 0)
}

func (c *client) Announce(ctx context.Context, r *AnnounceBatchRequest) (*AnnounceBatchResponse, error) {
	return call[AnnounceBatchResponse](ctx, c, "Announce", r, 0)
}

func (c *client) PullRecords(ctx context.Context, r *PullRecordsRequest) (*PullRecordsResponse, error) {
	return call[PullRecordsResponse](ctx, c, "PullRecords", r, millis(r.WaitMS))
}

func (c *client) ApplyRecords(ctx context.Context, r *ApplyRecordsRequest) (*ApplyRecordsResponse, error) {
	return call[ApplyRecordsResponse](ctx, c, "ApplyRecords", r, 0)
}

func (c *client) AckAdoption(ctx context.Context, r *AckAdoptionRequest) (*AckAdoptionResponse, error) {
	return call[AckAdoptionResponse](ctx, c, "AckAdoption", r, 0)
}

func (c *client) DataCentre(ctx context.Context, r *DataCentreRequest) (*DataCentreResponse, error) {
	return call[DataCentreResponse](ctx, c, "DataCentre", r, 0)
}

func (c *client) HostCommand(ctx context.Context, r *HostCommandRequest) (*HostCommandResponse, error) {
	return call[HostCommandResponse](ctx, c, "HostCommand", r, 0)
}

func (c *client) ChangeReplicas(ctx context.Context, r *ChangeReplicasRequest) (*ChangeReplicasResponse, error) {
	return call[ChangeReplicasResponse](ctx, c, "ChangeReplicas", r, 0)
}

func (c *client) GroupStatus(ctx context.Context, r *GroupStatusRequest) (*GroupStatusResponse, error) {
	return call[GroupStatusResponse](ctx, c, "GroupStatus", r, 0)
}

func (c *client) Events(ctx context.Context, r *EventsRequest) (*EventsResponse, error) {
	return call[EventsResponse](ctx, c, "Events", r, 0)
}

func (c *client) InForce(ctx context.Context, r *InForceRequest) (*InForceResponse, error) {
	return call[InForceResponse](ctx, c, "InForce", r, 0)
}
