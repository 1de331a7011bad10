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

// emptyPlatform is a platform without hosts.
type emptyPlatform struct{ leader.Platform }

func (emptyPlatform) Hosts(context.Context) ([]leader.HostState, error) { return nil, nil }

// unreachableTargets fails every hold.
type unreachableTargets struct{ leader.Targets }

func (unreachableTargets) Hold(context.Context, leader.Address, *leader.HoldOrder) (*leader.RunList, error) {
	return nil, &fault.Unavailable{What: "target", Reason: "it does not answer"}
}

// testProcess is a core process in a test.
type testProcess struct {
	*Core
	stop context.CancelFunc
}

// loopbackHosts returns three random loopback addresses and a port that is free on
// the first of them.
func loopbackHosts() (hosts []string, port string) {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	listener, err := net.Listen("tcp", network+"1:0")
	Expect(err).NotTo(HaveOccurred())
	_, port, err = net.SplitHostPort(listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return []string{network + "1", network + "2", network + "3"}, port
}

// coreConfig returns the configuration of the process on hosts[i].
func coreConfig(hosts []string, i int, port string) Config {
	return Config{
		Host: hosts[i], Name: hosts[i], Seeds: func() []string { return hosts }, FirstStart: true, initialHosts: hosts, Dir: GinkgoT().TempDir(), Port: port,
		Platform: emptyPlatform{}, Targets: unreachableTargets{}, Timing: leader.Timing{Announce: time.Second, MaxLease: time.Second}, Log: zerolog.Nop(),
	}
}

// startCore starts three core processes and waits until one leads.
func startCore() []*testProcess {
	seeds, port := loopbackHosts()
	var out []*testProcess
	for i := range seeds {
		ctx, cancel := context.WithCancel(context.Background())
		c, err := New(ctx, coreConfig(seeds, i, port))
		Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Run(ctx) // the tests check what the process serves, not how it ends
		}()
		r := &testProcess{c, func() { cancel(); <-done }}
		DeferCleanup(r.stop)
		out = append(out, r)
	}
	Eventually(func() *testProcess { return leading(out) }, "10s").ShouldNot(BeNil())
	return out
}

// leading returns the process whose leader is ready, nil if there is none.
func leading(processes []*testProcess) *testProcess {
	for _, p := range processes {
		if _, err := p.localLeader(); err == nil {
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
	It("are carried out through any running host", func() {
		// Guards against redirects, which use up two hosts for one attempt: if the
		// confirmation is lost, the operator is left with a third host, which may be
		// frozen.
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
		// Guards against a forwarded refusal that looks temporary, so that the operator
		// repeats an order that can never be carried out.
		processes := startCore()
		tooMany := &work.Wave{ID: 1, Hosts: make([]string, work.MaxHosts+1), MaxDown: 1}
		for _, p := range processes {
			var invalid *fault.Invalid
			Expect(errors.As(p.SubmitWave(context.Background(), tooMany), &invalid)).To(BeTrue())
		}
	})

	It("wait for the next leader for as long as the operator does", func() {
		// Guards against attempts that fail during an election: the operator backs
		// off longer before each further attempt.
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

	It("that have taken effect are confirmed by a host that cannot reach a leader", func() {
		// Guards against a configuration that is never confirmed: the first confirmation
		// is lost, and the remaining hosts cannot reach the leader.
		processes := startCore()
		former := leading(processes)
		Expect(former.SubmitConfiguration(context.Background(), configuration(3, 0))).To(Succeed())
		Expect(former.SubmitWave(context.Background(), &work.Wave{ID: 1, MaxDown: 1})).To(Succeed())
		other := processes[0]
		if other == former {
			other = processes[1]
		}
		Eventually(func() bool { _, known := other.stateMachine.WaveComplete(1); return known }).Should(BeTrue())
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

	It("are refused at once after no leader has been known for a while", func() {
		// Guards against operators that wait at a partitioned host although another
		// host could carry out their order.
		processes := startCore()
		processes[1].stop()
		processes[2].stop()
		Eventually(processes[0].leaderlessTooLong, "8s").Should(BeTrue())
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

// supervisedProcess is a core process whose disk can be made full.
type supervisedProcess struct {
	disk    *faultfs.FS
	running atomic.Pointer[Core]
}

var _ = Describe("full disks", func() {
	It("one after another leave a core that carries out orders", func() {
		// Guards against orders that are still refused after all disks have space
		// again: each full disk stops a replica, which has to restart before the next
		// disk fills up.
		seeds, port := loopbackHosts()
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		DeferCleanup(func() { cancel(); wg.Wait() })
		processes := make([]*supervisedProcess, len(seeds))
		for i := range seeds {
			p := &supervisedProcess{disk: faultfs.New()}
			cfg := coreConfig(seeds, i, port)
			cfg.FS = p.disk
			wg.Go(func() { Supervise(ctx, cfg, p.running.Store) })
			processes[i] = p
		}
		version := uint64(0)
		accepts := func(p *supervisedProcess) func() error {
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
				g.Expect(p.running.Load().stateMachine.Configuration().Version).To(Equal(version))
			}
		}, "5s").Should(Succeed())
	})
})
