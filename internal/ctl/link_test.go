package ctl_test

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// Hosts of a fake region of jobs with steps.
const (
	linkLeader   = "127.0.0.1"
	linkFollower = "127.0.0.2"
)

// fakeLeader answers the calls of operators as a leader does.
type fakeLeader struct{ link.Redirector }

func (fakeLeader) Customers(context.Context, *link.Empty) (*link.CustomersAnswer, error) {
	return &link.CustomersAnswer{Answer: link.Answer{Code: link.Done}, Customers: []leader.CustomerStatus{
		{
			Name: "ann", Keys: 2, Weight: 4.5, Limit: work.Demand{MilliCPU: 64_000, GPUs: 8},
			Running: work.Demand{MilliCPU: 12_500, MemoryMB: 4096, GPUs: 1}, Waiting: 3,
			Refused: leader.Refusals{BeyondAllowance: 17, NeverFits: 1},
		},
		{Name: "bob\x1b[31m", Keys: 1, Weight: 1},
		{Name: "eve", Removed: true, Running: work.Demand{MilliCPU: 1000, MemoryMB: 100}},
	}}, nil
}

// serveLink starts a leader and a host that redirects to it, and returns their port.
func serveLink() (port string) {
	GinkgoHelper()
	redirect := link.Redirector{KnownMembers: func() link.Members { return link.Members{Leader: linkLeader} }}
	serve := func(host, port string, h link.Handler) string {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(h)
		go func() { _ = server.Serve(listener) }() // ends with Close
		DeferCleanup(server.Close)
		_, port, err = net.SplitHostPort(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		return port
	}
	port = serve(linkLeader, "0", fakeLeader{redirect})
	return serve(linkFollower, port, redirect)
}
