package e2e_test

import (
	"io"
	"net"
	"sync"
)

// linkMode is what a proxied link does.
type linkMode int

const (
	// linkOpen forwards.
	linkOpen linkMode = iota
	// linkSilent accepts connections but forwards nothing in either direction,
	// like a network that drops packets.
	linkSilent
)

// link is a TCP proxy in front of one host's peer listener, as one other host
// sees it.
type link struct {
	listener net.Listener
	address  string

	mu    sync.Mutex
	mode  linkMode
	conns []*proxied
}

// proxied is one forwarded connection. A silent one stays open and swallows
// what it receives.
type proxied struct {
	mu     sync.Mutex
	silent bool
	a, b   net.Conn
}

func (p *proxied) muted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxied) mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func newLink(address string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, address: address}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(a net.Conn) {
	p := &proxied{a: a}
	l.mu.Lock()
	p.silent = l.mode == linkSilent
	l.conns = append(l.conns, p)
	l.mu.Unlock()
	if p.silent {
		_, _ = io.Copy(io.Discard, a)
		_ = a.Close()
		return
	}
	b, err := net.Dial("tcp", l.address)
	if err != nil {
		_ = a.Close()
		return
	}
	p.b = b
	go p.copy(b, a)
	p.copy(a, b)
}

// copy forwards until an end closes. Once the connection is silent, it reads
// and drops; it never tells the other end.
func (p *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !p.muted() {
				_ = to.Close()
			}
			return
		}
		if !p.muted() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// silence makes the connections that are open now silent for ever.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.mute()
	}
	l.conns = nil
}

// set changes the mode. With linkSilent the open connections go silent too;
// after linkOpen only new connections work.
func (l *link) set(mode linkMode) {
	l.mu.Lock()
	l.mode = mode
	l.mu.Unlock()
	if mode == linkSilent {
		l.silence()
	}
}

func (l *link) close() { _ = l.listener.Close() }
