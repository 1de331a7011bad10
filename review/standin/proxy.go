package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to a worker. While it is cut, it drops everything.
type proxy struct {
	listener net.Listener
	backend  string
	cut      atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(backend string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, backend: backend, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.backend)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, client) })
	wg.Go(func() { p.copy(client, server) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction. A connection that has lost data stays silent.
func (p *proxy) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if lost = lost || p.cut.Load(); n > 0 && !lost {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
