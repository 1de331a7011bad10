package core

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/bootstrap"
	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/link"
)

// serveRedirector serves the link of a host outside the core, and returns the member
// list that the host receives.
func serveRedirector(host, port string) *atomic.Pointer[link.Members] {
	var received atomic.Pointer[link.Members]
	listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
	Expect(err).NotTo(HaveOccurred())
	server := link.NewServer(link.Redirector{
		Acceptor: bootstrap.NewAcceptor(true), KnownMembers: func() link.Members { return link.Members{} }, OnMembers: received.Store,
	}, guard.Share{}, zerolog.Nop())
	go func() { _ = server.Serve(listener) }() // returns an error once the server is closed
	DeferCleanup(server.Close)
	return &received
}

// supervise runs a core process and returns its running Core.
func supervise(cfg Config) *atomic.Pointer[Core] {
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Pointer[Core]
	var wg sync.WaitGroup
	wg.Go(func() { Supervise(ctx, cfg, served.Store) })
	DeferCleanup(func() { cancel(); wg.Wait() })
	return &served
}

// expectOneGroup waits until exactly one process leads and all know the same members.
func expectOneGroup(processes []*atomic.Pointer[Core], hosts []string) {
	GinkgoHelper()
	leaders := func() int {
		n := 0
		for _, p := range processes {
			if c := p.Load(); c != nil {
				if _, err := c.localLeader(); err == nil {
					n++
				}
			}
		}
		return n
	}
	Eventually(leaders, "15s").Should(Equal(1))
	for _, p := range processes {
		Eventually(p.Load, "15s").ShouldNot(BeNil())
		Eventually(func() []string { return p.Load().memberHosts() }, "15s").Should(Equal(hosts))
	}
}

var _ = Describe("the first start of a core", func() {
	It("forms one group although two of three seeds are entry hosts", func() {
		// Guards against a region that never elects a leader, because the core hosts
		// assume that the seeds are the members although some are entry hosts.
		hosts, port := loopbackHosts()
		network := strings.TrimSuffix(hosts[0], "1")
		seeds := []string{network + "11", network + "12", hosts[1]}
		serveRedirector(seeds[0], port)
		serveRedirector(seeds[1], port)
		var processes []*atomic.Pointer[Core]
		for i := range hosts {
			cfg := coreConfig(hosts, i, port)
			cfg.Seeds, cfg.initialHosts = func() []string { return seeds }, nil
			processes = append(processes, supervise(cfg))
		}
		expectOneGroup(processes, hosts)
	})
})

var _ = Describe("a leader", func() {
	It("sends the member list to seeds outside the core, also after the seeds have changed", func() {
		// Guards against a region that no caller can reach: after a power loss all entry
		// hosts know only the seeds, and these may be entry hosts as well.
		hosts, port := loopbackHosts()
		outside := strings.TrimSuffix(hosts[0], "1") + "11"
		received := serveRedirector(outside, port)
		var changed atomic.Bool
		var processes []*atomic.Pointer[Core]
		for i := range hosts {
			cfg := coreConfig(hosts, i, port)
			cfg.Seeds = func() []string {
				if changed.Load() {
					return []string{outside}
				}
				return hosts
			}
			processes = append(processes, supervise(cfg))
		}
		expectOneGroup(processes, hosts) // all hosts must bootstrap from the same seeds
		Expect(received.Load()).To(BeNil())
		changed.Store(true)
		Eventually(received.Load, "15s").ShouldNot(BeNil())
		Expect(received.Load().Hosts).To(Equal(hosts))
		Expect(hosts).To(ContainElement(received.Load().Leader))
	})
})
