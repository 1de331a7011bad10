package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/testsupport/faultfs"
	"agatehaven.dev/agatehaven/internal/work"
)

// absent is a platform without hosts.
type absent struct{ leader.Platform }

func (absent) Hosts(context.Context) ([]leader.HostState, error) { return nil, nil }

// unreachable are targets that answer nothing.
type unreachable struct{ leader.Targets }

func (unreachable) Hold(context.Context, leader.Address, *leader.HoldOrder) (*leader.RunList, error) {
	return nil, &fault.Unavailable{What: "target", Reason: "it does not answer"}
}

// running is a process of the core in a test.
type running struct {
	*Core
	stop context.CancelFunc
}

// loopback returns three addresses that no other test uses, and a free port.
func loopback() (hosts []string, port string) {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	listener, err := net.Listen("tcp", network+"1:0")
	Expect(err).NotTo(HaveOccurred())
	_, port, err = net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return []string{network + "1", network + "2", network + "3"}, port
}

// coreConfig configures the process on hosts[i].
func coreConfig(hosts []string, i int, port string) Config {
	return Config{
		Host: hosts[i], Name: hosts[i], Seeds: func() []string { return hosts }, FirstStart: true, founders: hosts, Dir: GinkgoT().TempDir(), Port: port,
		Platform: absent{}, Targets: unreachable{}, Timing: leader.Timing{Announce: time.Second, MaxLease: time.Second}, Log: zerolog.Nop(),
	}
}

// startCore starts three processes of a core and waits until one leads.
func startCore() []*running {
	seeds, port := loopback()
	var out []*running
	for i := range seeds {
		ctx, cancel := context.WithCancel(context.Background())
		c, err := New(ctx, coreConfig(seeds, i, port))
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
			Expect(p.SubmitConfiguration(context.Background(), configuration(uint64(2*i+1), 0))).To(Succeed())
			Expect(p.SubmitWave(context.Background(), &work.Wave{ID: int64(i), MaxDown: 1})).To(Succeed())
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
			Expect(errors.As(p.SubmitWave(context.Background(), tooMany), &invalid)).To(BeTrue())
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
				return p.SubmitConfiguration(context.Background(), configuration(uint64(i+1), 0))
			}, "6s", "10ms").Should(Succeed())
		}
	})

	It("that have taken effect are confirmed by a host that no leader answers", func() {
		// Guards against a configuration without a confirmation: the first one is
		// lost, and the hosts that are left do not reach the leader.
		processes := startCore()
		former := leading(processes)
		Expect(former.SubmitConfiguration(context.Background(), configuration(3, 0))).To(Succeed())
		Expect(former.SubmitWave(context.Background(), &work.Wave{ID: 1, MaxDown: 1})).To(Succeed())
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
		Expect(other.SubmitConfiguration(context.Background(), configuration(3, 0))).To(Succeed())
		Expect(other.SubmitWave(context.Background(), &work.Wave{ID: 1, MaxDown: 1})).To(Succeed())
		var invalid *fault.Invalid
		old := configuration(2, 0)
		old.Queues[0].TimeoutMS = 0
		Expect(errors.As(other.SubmitConfiguration(context.Background(), old), &invalid)).To(BeTrue())
		Expect(other.SubmitConfiguration(context.Background(), configuration(4, 0))).NotTo(Succeed())
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
		Expect(errors.As(processes[0].SubmitConfiguration(context.Background(), configuration(1, 0)), &unavailable)).To(BeTrue())
		Expect(time.Since(started)).To(BeNumerically("<", forwardTimeout/2))
	})

	It("that are too long to be forwarded are redirected", func() {
		processes := startCore()
		former := leading(processes)
		for _, p := range processes {
			err := p.SubmitConfiguration(context.Background(), configuration(1, link.MaxForwardBytes+1))
			var notLeader *fault.NotLeader
			Expect(err == nil).To(Equal(p == former))
			Expect(errors.As(err, &notLeader)).To(Equal(p != former))
		}
		Expect(former.replica.Status().Role).To(Equal(replica.RoleLeader))
	})
})

// supervised is a process of the core whose disk can be full.
type supervised struct {
	disk    *faultfs.FS
	running atomic.Pointer[Core]
}

var _ = Describe("full disks", func() {
	It("one after another leave a core that carries out orders", func() {
		// Guards against orders that are refused after the last disk has room
		// again, while all processes run: each spell ends a replica, which has to
		// return before the next one.
		seeds, port := loopback()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		DeferCleanup(func() { cancel(); wg.Wait() })
		processes := make([]*supervised, len(seeds))
		for i := range seeds {
			p := &supervised{disk: faultfs.New()}
			cfg := coreConfig(seeds, i, port)
			cfg.FS = p.disk
			wg.Go(func() { Supervise(ctx, cfg, p.running.Store) })
			processes[i] = p
		}
		version := uint64(0)
		accepts := func(p *supervised) func() error {
			version++
			cfg := configuration(version, 0)
			return func() error {
				c := p.running.Load()
				if c == nil {
					return &fault.Unavailable{What: "replica", Reason: "it is not running"}
				}
				return c.SubmitConfiguration(context.Background(), cfg)
			}
		}
		Eventually(accepts(processes[0]), "10s").Should(Succeed())
		for range 2 {
			for i, p := range processes {
				p.disk.SetFull(true)
				Eventually(accepts(processes[(i+1)%3]), "5s").Should(Succeed())
				Eventually(p.running.Load, "5s").Should(BeNil())
				p.disk.SetFull(false)
				Eventually(p.running.Load, "5s").ShouldNot(BeNil())
			}
		}
		for _, p := range processes {
			Eventually(accepts(p), "5s").Should(Succeed())
		}
		Eventually(func(g Gomega) {
			for _, p := range processes {
				g.Expect(p.running.Load().machine.Configuration().Version).To(Equal(version))
			}
		}, "5s").Should(Succeed())
	})
})
