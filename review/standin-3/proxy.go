package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy is a TCP proxy on loopback in front of one server.
type proxy struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	conns map[*proxyConn]bool
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	// betweenCores is set once a call was seen that only core machines make to each other.
	betweenCores bool
}

// coreCalls are the ends of the paths of calls that only core machines make to each other.
var coreCalls = [][]byte{[]byte("Link/Step "), []byte("Link/Exchange "), []byte("Link/Join ")}

// newProxy listens on an address and forwards to the backend.
func newProxy(address, backend string) *proxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("listen on " + address + ": " + err.Error())
	}
	p := &proxy{listener: listener, backend: backend, conns: map[*proxyConn]bool{}}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target())
	if err != nil {
		_ = client.Close() // the caller sees a connection that ends
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(server, client) })
	wg.Go(func() { c.copy(client, server) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards one direction. A silent connection stays open, and what arrives on it is lost.
func (c *proxyConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.observe(buffer[:n])
		if n > 0 && !c.isSilent() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !c.isSilent() {
				_ = to.Close() // both sides end together
			}
			_ = from.Close()
			return
		}
	}
}

// observe notes whose connection it is.
func (c *proxyConn) observe(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range coreCalls {
		c.betweenCores = c.betweenCores || bytes.Contains(data, call)
	}
}

func (c *proxyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes all open connections silent for good, but those between core machines. New ones
// work. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.conns {
		c.mu.Lock()
		if !c.betweenCores {
			c.silent = true
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// forwardTo has new connections go to another server.
func (p *proxy) forwardTo(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = backend
}

func (p *proxy) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backend
}
