package link

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/relay"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// DialTimeout bounds the time to connect. Data centres are a few
	// milliseconds apart, so a host that does not answer by then is unreachable.
	DialTimeout = 300 * time.Millisecond
	// idleTimeout closes unused connections before the server does.
	idleTimeout = 30 * time.Second
	// idleConnections is the number of idle connections kept per host: enough for a
	// burst of calls without new connections.
	idleConnections = 32
)

// Clients calls the processes of the region by host and port.
type Clients struct {
	port string
	http *http.Client

	mu    sync.Mutex
	hosts map[string]*Client
}

// NewClients returns the clients of all hosts, which serve the link on the same port.
func NewClients(port string) *Clients {
	dialer := &net.Dialer{Timeout: DialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	return &Clients{port: port, http: &http.Client{Transport: transport}, hosts: map[string]*Client{}}
}

// To returns the client of a host.
func (c *Clients) To(host string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.hosts[host]
	if known == nil {
		known = newClient(c.http, host, net.JoinHostPort(host, c.port))
		c.hosts[host] = known
	}
	return known
}

// Client calls one process. Errors: *fault.Unavailable if nothing was sent,
// *fault.ConnectionLost if it is unknown whether the call had an effect.
type Client struct {
	host          string
	submit        *connect.Client[SubmitRequest, Answer]
	cancel        *connect.Client[JobRef, Answer]
	readJobState  *connect.Client[JobRef, Answer]
	countWaiting  *connect.Client[JobRef, Answer]
	configure     *connect.Client[work.Configuration, Answer]
	startWave     *connect.Client[work.Wave, Answer]
	announce      *connect.Client[work.Announcement, Answer]
	leave         *connect.Client[LeaveRequest, Answer]
	customers     *connect.Client[Empty, CustomersAnswer]
	explain       *connect.Client[leader.Question, ExplainAnswer]
	members       *connect.Client[Empty, Members]
	updateMembers *connect.Client[Members, Empty]
	step          *connect.Client[StepRequest, Empty]
	join          *connect.Client[JoinRequest, Answer]
	exchange      *connect.Client[relay.Request, relay.Answer]
	bootstrap     *connect.Client[bootstrap.Request, bootstrap.Answer]
}

func newClient(c *http.Client, host, address string) *Client {
	return &Client{
		host:   host,
		submit: procedure[SubmitRequest, Answer](c, address, "Submit"), cancel: procedure[JobRef, Answer](c, address, "Cancel"),
		readJobState: procedure[JobRef, Answer](c, address, "Look"), countWaiting: procedure[JobRef, Answer](c, address, "Count"),
		configure:     procedure[work.Configuration, Answer](c, address, "Configure"),
		startWave:     procedure[work.Wave, Answer](c, address, "StartWave"),
		announce:      procedure[work.Announcement, Answer](c, address, "Announce"),
		leave:         procedure[LeaveRequest, Answer](c, address, "Leave"),
		customers:     procedure[Empty, CustomersAnswer](c, address, "Customers"),
		explain:       procedure[leader.Question, ExplainAnswer](c, address, "Explain"),
		members:       procedure[Empty, Members](c, address, "Members"),
		updateMembers: procedure[Members, Empty](c, address, "Tell"), step: procedure[StepRequest, Empty](c, address, "Step"),
		join: procedure[JoinRequest, Answer](c, address, "Join"), exchange: procedure[relay.Request, relay.Answer](c, address, "Exchange"),
		bootstrap: procedure[bootstrap.Request, bootstrap.Answer](c, address, "Found"),
	}
}

func procedure[Req, Res any](c *http.Client, address, name string) *connect.Client[Req, Res] {
	options := []connect.ClientOption{connect.WithAcceptCompression(compression, nil, nil)}
	for _, o := range commonOptions() {
		options = append(options, o)
	}
	return connect.NewClient[Req, Res](c, "http://"+address+servicePath+name, options...)
}

func call[Req, Res any](ctx context.Context, c *Client, p *connect.Client[Req, Res], r *Req) (*Res, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	res, err := p.CallUnary(traced, connect.NewRequest(r))
	if err == nil {
		return res.Msg, nil
	}
	if !connected.Load() {
		// Nothing can have been sent, also if the call's time ended while it connected.
		return nil, &fault.Unavailable{What: "host " + c.host, Reason: err.Error()}
	}
	return nil, &fault.ConnectionLost{Address: c.host, Reason: err.Error()}
}

// Submit implements Handler.
func (c *Client) Submit(ctx context.Context, r *SubmitRequest) (*Answer, error) {
	return call(ctx, c, c.submit, r)
}

// Cancel implements Handler.
func (c *Client) Cancel(ctx context.Context, ref *JobRef) (*Answer, error) {
	return call(ctx, c, c.cancel, ref)
}

// ReadJobState implements Handler.
func (c *Client) ReadJobState(ctx context.Context, ref *JobRef) (*Answer, error) {
	return call(ctx, c, c.readJobState, ref)
}

// CountWaiting implements Handler.
func (c *Client) CountWaiting(ctx context.Context, ref *JobRef) (*Answer, error) {
	return call(ctx, c, c.countWaiting, ref)
}

// Configure implements Handler.
func (c *Client) Configure(ctx context.Context, cfg *work.Configuration) (*Answer, error) {
	return call(ctx, c, c.configure, cfg)
}

// StartWave implements Handler.
func (c *Client) StartWave(ctx context.Context, w *work.Wave) (*Answer, error) {
	return call(ctx, c, c.startWave, w)
}

// Announce implements Handler.
func (c *Client) Announce(ctx context.Context, a *work.Announcement) (*Answer, error) {
	return call(ctx, c, c.announce, a)
}

// Leave implements Handler.
func (c *Client) Leave(ctx context.Context, r *LeaveRequest) (*Answer, error) {
	return call(ctx, c, c.leave, r)
}

// Customers implements Handler.
func (c *Client) Customers(ctx context.Context, e *Empty) (*CustomersAnswer, error) {
	return call(ctx, c, c.customers, e)
}

// Explain implements Handler.
func (c *Client) Explain(ctx context.Context, q *leader.Question) (*ExplainAnswer, error) {
	return call(ctx, c, c.explain, q)
}

// Members implements Handler.
func (c *Client) Members(ctx context.Context, e *Empty) (*Members, error) {
	return call(ctx, c, c.members, e)
}

// UpdateMembers implements Handler.
func (c *Client) UpdateMembers(ctx context.Context, m *Members) (*Empty, error) {
	return call(ctx, c, c.updateMembers, m)
}

// Step implements Handler.
func (c *Client) Step(ctx context.Context, r *StepRequest) (*Empty, error) {
	return call(ctx, c, c.step, r)
}

// Join implements Handler.
func (c *Client) Join(ctx context.Context, r *JoinRequest) (*Answer, error) {
	return call(ctx, c, c.join, r)
}

// Exchange implements Handler.
func (c *Client) Exchange(ctx context.Context, r *relay.Request) (*relay.Answer, error) {
	return call(ctx, c, c.exchange, r)
}

// Bootstrap implements Handler.
func (c *Client) Bootstrap(ctx context.Context, r *bootstrap.Request) (*bootstrap.Answer, error) {
	return call(ctx, c, c.bootstrap, r)
}
