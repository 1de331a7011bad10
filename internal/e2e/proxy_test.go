package e2e_test

import (
	"io"
	"net"
	"sync"
)

// linkMode determines how a link treats traffic.
type linkMode int

const (
	// linkOpen forwards in both directions.
	linkOpen linkMode = iota
	// linkSilent accepts connections but forwards nothing in either direction,
	// like a network that drops packets.
	linkSilent
)

// link is a TCP proxy in front of one host's peer listener, through which one
// other host connects to it.
type link struct {
	listener net.Listener
	address  string

	mu    sync.Mutex
	mode  linkMode
	conns []*proxiedConn
}

// proxiedConn is one forwarded connection. A silent one stays open and
// discards what it receives.
type proxiedConn struct {
	mu     sync.Mutex
	silent bool
	a, b   net.Conn
}

func (p *proxiedConn) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *proxiedConn) setSilent() {
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
	p := &proxiedConn{a: a}
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

// copy forwards data until one side closes, and then closes the other. Once
// the connection is silent it discards data, and a close is not forwarded.
func (p *proxiedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !p.isSilent() {
				_ = to.Close()
			}
			return
		}
		if !p.isSilent() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// silence makes the currently open connections permanently silent.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.setSilent()
	}
	l.conns = nil
}

// setMode changes the mode for new connections. linkSilent also makes the open
// connections permanently silent.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	l.mode = mode
	l.mu.Unlock()
	if mode == linkSilent {
		l.silence()
	}
}

func (l *link) close() { _ = l.listener.Close() }
