package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

// absent is a platform without hosts.
type absent struct{ leader.Platform }

func (absent) Hosts(context.Context) ([]leader.HostState, error) { return nil, nil }

// running is a process of the core in a test.
type running struct {
	*Core
	stop context.CancelFunc
}

// startCore starts three processes of a core on loopback addresses that no
// other test uses, and waits until one leads.
func startCore() []*running {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	listener, err := net.Listen("tcp", network+"1:0")
	Expect(err).NotTo(HaveOccurred())
	_, port, err := net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	seeds := []string{network + "1", network + "2", network + "3"}
	var out []*running
	for _, host := range seeds {
		ctx, cancel := context.WithCancel(context.Background())
		c, err := New(ctx, Config{
			Host: host, Name: host, Seeds: seeds, Bootstrap: true, Dir: GinkgoT().TempDir(), Port: port,
			Platform: absent{}, Timing: leader.Timing{Announce: time.Second, MaxLease: time.Second}, Log: zerolog.Nop(),
		})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Run(ctx) // the test asks what it served
		}()
		r := &running{c, func() { cancel(); <-done }}
		DeferCleanup(r.stop)
		out = append(out, r)
	}
	Eventually(func() *running { return leading(out) }, "10s").ShouldNot(BeNil())
	return out
}

// leading returns the process that can serve as the leader, nil if none can.
func leading(processes []*running) *running {
	for _, p := range processes {
		if _, err := p.leaderHere(); err == nil {
			return p
		}
	}
	return nil
}

func configuration(version uint64, documentBytes int) *work.Configuration {
	return &work.Configuration{
		Version: version, Document: []byte(strings.Repeat(" ", documentBytes)),
		Queues: []work.Queue{{Name: "q", Domain: "d", Prefix: "/", Pool: "p", TimeoutMS: 1000, Attempts: 1}},
		Pools:  []work.Pool{{Name: "p"}},
	}
}

var _ = Describe("orders of operators", func() {
	It("are carried out through each host that runs", func() {
		// Guards against a redirect that spends two hosts on one attempt: after a
		// lost confirmation only a frozen third host is left to the operator.
		processes := startCore()
		for i, p := range processes {
			Expect(p.OrderConfiguration(context.Background(), configuration(uint64(2*i+1), 0))).To(Succeed())
			Expect(p.OrderWave(context.Background(), &work.Wave{ID: int64(i), MaxDown: 1})).To(Succeed())
		}
		cfg, err := leading(processes).Configuration(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Version).To(BeEquivalentTo(5))
	})

	It("are refused through another host as the leader refuses them", func() {
		// Guards against an order that can never be carried out and that the
		// operator repeats, since a forwarded refusal looks temporary.
		processes := startCore()
		tooMany := &work.Wave{ID: 1, Hosts: make([]string, work.MaxHosts+1), MaxDown: 1}
		for _, p := range processes {
			var invalid *fault.Invalid
			Expect(errors.As(p.OrderWave(context.Background(), tooMany), &invalid)).To(BeTrue())
		}
	})

	It("wait for the next leader for as long as the operator does", func() {
		// Guards against attempts that an election spends: the operator waits
		// longer before each of them.
		processes := startCore()
		former := leading(processes)
		Expect(former.replica.Close(context.Background())).To(Succeed())
		for i, p := range processes {
			if p == former {
				continue
			}
			Eventually(func() error {
				return p.OrderConfiguration(context.Background(), configuration(uint64(i+1), 0))
			}, "6s", "10ms").Should(Succeed())
		}
	})

	It("that have taken effect are confirmed by a host that no leader answers", func() {
		// Guards against a configuration without a confirmation: the first one is
		// lost, and the hosts that are left do not reach the leader.
		processes := startCore()
		former := leading(processes)
		Expect(former.OrderConfiguration(context.Background(), configuration(3, 0))).To(Succeed())
		Expect(former.OrderWave(context.Background(), &work.Wave{ID: 1, MaxDown: 1})).To(Succeed())
		other := processes[0]
		if other == former {
			other = processes[1]
		}
		Eventually(func() bool { _, known := other.machine.WaveComplete(1); return known }).Should(BeTrue())
		for _, p := range processes {
			if p != other {
				p.stop()
			}
		}
		Expect(other.OrderConfiguration(context.Background(), configuration(3, 0))).To(Succeed())
		Expect(other.OrderWave(context.Background(), &work.Wave{ID: 1, MaxDown: 1})).To(Succeed())
		var invalid *fault.Invalid
		old := configuration(2, 0)
		old.Queues[0].TimeoutMS = 0
		Expect(errors.As(other.OrderConfiguration(context.Background(), old), &invalid)).To(BeTrue())
		Expect(other.OrderConfiguration(context.Background(), configuration(4, 0))).NotTo(Succeed())
	})

	It("are refused at once while no leader has been known for long", func() {
		// Guards against operators that wait at a cut-off host, though another
		// one would carry their order out.
		processes := startCore()
		processes[1].stop()
		processes[2].stop()
		Eventually(processes[0].outageLasts, "8s").Should(BeTrue())
		started := time.Now()
		var unavailable *fault.Unavailable
		Expect(errors.As(processes[0].OrderConfiguration(context.Background(), configuration(1, 0)), &unavailable)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", forwardTimeout/2))
	})

	It("that are too long to be forwarded are redirected", func() {
		processes := startCore()
		former := leading(processes)
		for _, p := range processes {
			err := p.OrderConfiguration(context.Background(), configuration(1, forwardBytes+1))
			var notLeader *fault.NotLeader
			Expect(err == nil).To(Equal(p == former))
			Expect(errors.As(err, &notLeader)).To(Equal(p != former))
		}
		Expect(former.replica.Status().Role).To(Equal(replica.RoleLeader))
	})
})
