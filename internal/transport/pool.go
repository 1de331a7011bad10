// Package transport manages the HTTP connections to one address in generations,
// so that a connection that went silent is never reused: when a call on it
// gets no response in time, its generation is discarded and the next call
// dials a new connection.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// DefaultDialTimeout bounds the time to connect. Data centres are at most
	// a few milliseconds apart, so a host that takes one second is unreachable.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout closes unused connections. It is shorter than the
	// idle timeout of the servers, so that a request is rarely sent on a
	// connection that the server is closing.
	DefaultIdleTimeout = 30 * time.Second
	// The HTTP/2 health check closes a connection without a response after
	// pingInterval+pingTimeout: silent connections must be detected within 3 s.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
)

// Config describes the connections to one address.
type Config struct {
	// Address is "IP:port".
	Address string
	// TLS enables TLS if not nil.
	TLS *tls.Config
	// HTTP2 selects HTTP/2 only (with prior knowledge if TLS is nil);
	// otherwise HTTP/1.1 is used.
	HTTP2 bool
	// MaxConns bounds the open connections over all generations; 0 is no bound.
	MaxConns int
	// DialTimeout is DefaultDialTimeout if zero.
	DialTimeout time.Duration
	Clock       clock.Clock
	// Meter counts the bytes of the connections if not nil.
	Meter *Meter
}

// Pool holds the current generation of connections to one address. It is safe
// for concurrent use.
type Pool struct {
	cfg   Config
	slots chan struct{}

	mu      sync.Mutex
	current *generation
	count   int
}

// generation is one http.Transport with the connections that it dialled.
type generation struct {
	transport *http.Transport
	inFlight  int
	discarded bool
	conns     map[*Conn]struct{}
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	p := &Pool{cfg: cfg}
	if cfg.MaxConns > 0 {
		p.slots = make(chan struct{}, cfg.MaxConns)
	}
	return p
}

// Lease reserves one generation for one call. It must be released after the
// response has been read.
type Lease struct {
	pool  *Pool
	gen   *generation
	fresh bool
}

// Acquire returns a lease of the current generation.
func (p *Pool) Acquire() *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = p.newGeneration()
	}
	p.current.inFlight++
	return &Lease{pool: p, gen: p.current}
}

// AcquireFresh returns a lease whose call dials its own connection, which is
// closed after the call.
func (p *Pool) AcquireFresh() *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.newGeneration()
	g.discarded = true
	g.inFlight++
	return &Lease{pool: p, gen: g, fresh: true}
}

// RoundTrip implements http.RoundTripper. It follows no redirects.
func (l *Lease) RoundTrip(req *http.Request) (*http.Response, error) {
	return l.gen.transport.RoundTrip(req)
}

// Discard makes later calls dial new connections, also if the lease is fresh.
// Other calls in flight on the generation continue until their own deadlines,
// since one slow response does not prove that their connections are silent. The
// generation's connections are closed after the last of them.
func (l *Lease) Discard() {
	p := l.pool
	p.mu.Lock()
	l.gen.discarded = true
	var replaced *generation
	if p.current == l.gen || l.fresh {
		replaced, p.current = p.current, nil
	}
	if replaced != nil {
		replaced.discarded = true
	}
	p.mu.Unlock()
	if replaced != nil {
		replaced.transport.CloseIdleConnections()
	}
}

// Release ends the lease.
func (l *Lease) Release() {
	p := l.pool
	p.mu.Lock()
	l.gen.inFlight--
	var open []*Conn
	if l.gen.discarded && l.gen.inFlight == 0 {
		for c := range l.gen.conns {
			open = append(open, c)
		}
	}
	p.mu.Unlock()
	if len(open) > 0 {
		l.gen.transport.CloseIdleConnections()
	}
	for _, c := range open {
		_ = c.Close()
	}
}

// Idle reports whether no call is in flight on the current generation.
func (p *Pool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current == nil || p.current.inFlight == 0
}

// Generations returns the number of generations created so far.
func (p *Pool) Generations() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Close discards the current generation and closes its idle connections.
func (p *Pool) Close() {
	l := p.Acquire()
	l.Discard()
	l.Release()
}

func (p *Pool) newGeneration() *generation {
	p.count++
	g := &generation{conns: map[*Conn]struct{}{}}
	protocols := new(http.Protocols)
	switch {
	case p.cfg.HTTP2 && p.cfg.TLS != nil:
		protocols.SetHTTP2(true)
	case p.cfg.HTTP2:
		protocols.SetUnencryptedHTTP2(true)
	default:
		protocols.SetHTTP1(true)
	}
	g.transport = &http.Transport{
		DialContext:         func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dial(ctx, g) },
		TLSClientConfig:     p.cfg.TLS.Clone(),
		TLSHandshakeTimeout: p.cfg.DialTimeout,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(p.cfg.MaxConns, http.DefaultMaxIdleConnsPerHost),
		MaxConnsPerHost:     p.cfg.MaxConns,
		IdleConnTimeout:     DefaultIdleTimeout,
		Protocols:           protocols,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	return g
}

// dial connects to the address. If MaxConns is reached, it first closes idle
// connections of the current generation and waits until any connection is
// closed, so that the bound holds over all generations.
func (p *Pool) dial(ctx context.Context, g *generation) (net.Conn, error) {
	timeout := &fault.Timeout{What: "connecting to " + p.cfg.Address, After: p.cfg.DialTimeout}
	ctx, cancel := clock.WithTimeout(ctx, p.cfg.Clock, p.cfg.DialTimeout, timeout)
	defer cancel()
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.cfg.Address)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	if p.cfg.Meter != nil {
		raw = p.cfg.Meter.Conn(raw)
	}
	c := &Conn{Conn: raw}
	c.onClose = func() {
		p.mu.Lock()
		delete(g.conns, c)
		p.mu.Unlock()
		p.releaseSlot()
	}
	p.mu.Lock()
	g.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// acquireSlot reserves one of the MaxConns connections. It returns the cause of
// ctx if none is free before ctx ends.
func (p *Pool) acquireSlot(ctx context.Context) error {
	if p.slots == nil {
		return nil
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	p.mu.Lock()
	current := p.current
	p.mu.Unlock()
	if current != nil {
		current.transport.CloseIdleConnections()
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (p *Pool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}
