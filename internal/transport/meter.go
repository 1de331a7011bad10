package transport

import (
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Side says which end of a connection this process is.
type Side string

// Sides of a connection.
const (
	SideServer Side = "server"
	SideClient Side = "client"
)

// Meter counts the bytes of connections, including the TLS overhead, in the
// metrics agatehaven_connection_sent_bytes_total and
// agatehaven_connection_received_bytes_total.
type Meter struct{ sent, received *metrics.Counter }

// NewMeter returns the meter of one kind of connections. peer names the other
// end, such as "caller" or "target".
func NewMeter(side Side, peer string) *Meter {
	name := func(metric string) string {
		return fmt.Sprintf("agatehaven_connection_%s_bytes_total{side=%q,peer=%q}", metric, side, peer)
	}
	return &Meter{
		sent:     metrics.GetOrCreateCounter(name("sent")),
		received: metrics.GetOrCreateCounter(name("received")),
	}
}

// Listener returns a listener whose connections' bytes are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{l, m} }

// Conn returns a connection whose bytes are counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{c, m} }

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(n)
	return n, err
}
