package transport_test

import (
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/transport"
)

var _ = Describe("Meter", func() {
	It("counts the bytes of both directions on both sides", func() {
		// Guards against byte counts that omit one direction or side.
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := transport.NewMeter(transport.SideServer, "test").Listener(l)
		DeferCleanup(listener.Close)
		go func() {
			defer GinkgoRecover()
			c, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.CopyN(c, c, 5) // sends back what it receives
			_ = c.Close()
		}()
		raw, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		c := transport.NewMeter(transport.SideClient, "test").Conn(raw)
		_, err = c.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(c)).To(Equal([]byte("hello")))
		Expect(c.Close()).To(Succeed())
		for _, side := range []string{"server", "client"} {
			for _, direction := range []string{"sent", "received"} {
				name := "agatehaven_connection_" + direction + `_bytes_total{side="` + side + `",peer="test"}`
				Expect(metrics.GetOrCreateCounter(name).Get()).To(BeEquivalentTo(5), name)
			}
		}
	})
})
