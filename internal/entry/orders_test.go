package entry_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/entry"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/guard"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

// orderHost is a fake core host in a core of two. It names the leader.
type orderHost struct {
	link.Handler
	// leader is the host that leads in term 2, self the address of this host.
	leader, self string
	hosts        []string
	// frozen makes the host leave all calls unanswered.
	frozen atomic.Bool
	orders atomic.Int64
}

func (h *orderHost) wait(ctx context.Context) error {
	if h.frozen.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (h *orderHost) Members(ctx context.Context, _ *link.Empty) (*link.Members, error) {
	return &link.Members{Leader: h.leader, Term: 2, Hosts: h.hosts}, h.wait(ctx)
}

func (h *orderHost) accept(ctx context.Context) (*link.Answer, error) {
	if err := h.wait(ctx); err != nil {
		return nil, err
	}
	if h.leader != h.self {
		return &link.Answer{Code: link.NotLeader, Leader: h.leader, Term: 2}, nil
	}
	h.orders.Add(1)
	return &link.Answer{Code: link.Done}, nil
}

func (h *orderHost) Configure(ctx context.Context, _ *work.Configuration) (*link.Answer, error) {
	return h.accept(ctx)
}

func (h *orderHost) StartWave(context.Context, *work.Wave) (*link.Answer, error) {
	return &link.Answer{Code: link.Invalid, Reason: "too many hosts"}, nil
}

func (h *orderHost) Announce(ctx context.Context, _ *work.Announcement) (*link.Answer, error) {
	return h.accept(ctx)
}

func (h *orderHost) Leave(ctx context.Context, _ *link.LeaveRequest) (*link.Answer, error) {
	return h.accept(ctx)
}

// startOrderHosts starts a core of two hosts, the second of which leads, and an entry
// host whose only seed is the first.
func startOrderHosts() (first, second *orderHost, e *entry.Entry) {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	hosts := []string{network + "1", network + "2"}
	var servers []*orderHost
	port := "0"
	for _, host := range hosts {
		h := &orderHost{leader: hosts[1], self: host, hosts: hosts}
		listener, err := net.Listen("tcp", net.JoinHostPort(host, port))
		Expect(err).NotTo(HaveOccurred())
		_, port, err = net.SplitHostPort(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server := link.NewServer(h, guard.Share{}, zerolog.Nop())
		go func() { _ = server.Serve(listener) }() // returns an error once the server is closed
		DeferCleanup(server.Close)
		servers = append(servers, h)
	}
	e = entry.New(entry.Config{Host: network + "9", Port: port, Seeds: hosts[:1], Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go e.Run(ctx)
	Eventually(e.Ready).Should(BeTrue())
	return servers[0], servers[1], e
}

func configuration(documentBytes int) *work.Configuration {
	return &work.Configuration{
		Version: 1, Document: []byte(strings.Repeat(" ", documentBytes)),
		Queues: []work.Queue{{Name: "q", Domain: "d", Prefix: "/", Pool: "p", TimeoutMS: 1000, Attempts: 1}},
		Pools:  []work.Pool{{Name: "p"}},
	}
}

var _ = Describe("orders at an entry host", func() {
	ctx := context.Background()

	It("are carried out while a host of the core is frozen", func() {
		// Guards against operators that can only ask the few core hosts: each attempt at
		// a frozen one costs them a second.
		first, second, e := startOrderHosts()
		first.frozen.Store(true)
		Expect(e.SubmitConfiguration(ctx, configuration(0))).To(Succeed())
		Expect(e.HandleAnnouncement(ctx, &work.Announcement{Target: work.Target{Draining: true}})).To(Succeed())
		Expect(e.HandleLeave(ctx, "t")).To(Succeed())
		Expect(second.orders.Load()).To(BeEquivalentTo(3))
	})

	It("are refused as the leader refuses them, and at once if they are invalid", func() {
		// Guards against an operator that repeats an invalid order for ever.
		_, second, e := startOrderHosts()
		var invalid *fault.Invalid
		Expect(errors.As(e.SubmitWave(ctx, &work.Wave{}), &invalid)).To(BeTrue())
		Expect(errors.As(e.SubmitConfiguration(ctx, &work.Configuration{Queues: []work.Queue{{Pool: "?"}}}), &invalid)).To(BeTrue())
		Expect(second.orders.Load()).To(BeZero())
	})

	It("fail before the operator's time limit if the leader is frozen", func() {
		// Guards against an entry host that costs an operator as much time as the
		// frozen leader itself.
		_, second, e := startOrderHosts()
		second.frozen.Store(true)
		started := time.Now()
		Expect(e.SubmitConfiguration(ctx, configuration(0))).NotTo(Succeed())
		Expect(time.Since(started)).To(BeNumerically("<", time.Second)) // operators then ask another host
	})

	It("are redirected to the leader if they are long or regular announcements", func() {
		// Guards against all announcements passing through entry hosts, and against a
		// configuration that takes longer on two links than its operator waits.
		_, second, e := startOrderHosts()
		for _, err := range []error{
			e.CheckConfigurationSize(40 << 10),
			e.SubmitConfiguration(ctx, configuration(40<<10)),
			e.HandleAnnouncement(ctx, &work.Announcement{}),
		} {
			var notLeader *fault.NotLeader
			Expect(errors.As(err, &notLeader)).To(BeTrue())
			Expect(notLeader.Leader).To(Equal(second.self))
		}
	})
})
