package core

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/founding"
	"agatehaven.dev/agatehaven/internal/link"
)

// serveBystander serves the link of a host outside the core, and returns what the
// host is told.
func serveBystander(host, port string) *atomic.Pointer[link.Members] {
	var told atomic.Pointer[link.Members]
	listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
	Expect(err).NotTo(HaveOccurred())
	server := link.NewServer(link.Redirector{
		Acceptor: founding.NewAcceptor(true), KnownMembers: func() link.Members { return link.Members{} }, OnMembers: told.Store,
	})
	go func() { _ = server.Serve(listener) }() // ends with an error when it is closed
	DeferCleanup(server.Close)
	return &told
}

// supervise runs a process of the core and returns what it serves.
func supervise(cfg Config) *atomic.Pointer[Core] {
	ctx, cancel := context.WithCancel(context.Background())
	var served atomic.Pointer[Core]
	var wg sync.WaitGroup
	wg.Go(func() { Supervise(ctx, cfg, served.Store) })
	DeferCleanup(func() { cancel(); wg.Wait() })
	return &served
}

// expectOneGroup waits until one process leads and all know the same members.
func expectOneGroup(processes []*atomic.Pointer[Core], hosts []string) {
	GinkgoHelper()
	leaders := func() int {
		n := 0
		for _, p := range processes {
			if c := p.Load(); c != nil {
				if _, err := c.leaderHere(); err == nil {
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
		// Guards against a region without a leader, since the core takes its seeds
		// for its members while entry hosts take orders as well.
		hosts, port := loopback()
		network := strings.TrimSuffix(hosts[0], "1")
		seeds := []string{network + "11", network + "12", hosts[1]}
		serveBystander(seeds[0], port)
		serveBystander(seeds[1], port)
		var processes []*atomic.Pointer[Core]
		for i := range hosts {
			cfg := coreConfig(hosts, i, port)
			cfg.Seeds, cfg.founders = func() []string { return seeds }, nil
			processes = append(processes, supervise(cfg))
		}
		expectOneGroup(processes, hosts)
	})
})

var _ = Describe("a leader", func() {
	It("tells seeds outside the core where the core is, also after the seeds have changed", func() {
		// Guards against a region that no caller reaches: entry hosts that all lost
		// power know only the seeds, and these are entry hosts as well.
		hosts, port := loopback()
		outside := strings.TrimSuffix(hosts[0], "1") + "11"
		told := serveBystander(outside, port)
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
		expectOneGroup(processes, hosts) // the first start takes the same seeds on all hosts
		Expect(told.Load()).To(BeNil())
		changed.Store(true)
		Eventually(told.Load, "15s").ShouldNot(BeNil())
		Expect(told.Load().Hosts).To(Equal(hosts))
		Expect(hosts).To(ContainElement(told.Load().Leader))
	})
})
