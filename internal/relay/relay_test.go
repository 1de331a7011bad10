package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/relay"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// oneWay is the time of a message between two hosts.
	oneWay = 1400 * time.Microsecond
	// validity is how long after it asked for orders a worker may make calls.
	validity = 500 * time.Millisecond
	// callTimeout is the leader's limit for a call.
	callTimeout = 700 * time.Millisecond
)

// region simulates a leader's hub, workers on other hosts and their targets.
type region struct {
	hub *relay.Hub

	mu sync.Mutex
	// confirmed is set while the leader certainly leads.
	confirmed bool
	// calls counts the calls to targets by the host that made them.
	calls map[string]int
	// starts counts the calls that start a run.
	starts map[work.RunRef]int
	// asked is when each worker last asked for orders. late lists the calls that a
	// worker made longer than validity after it.
	asked map[string]time.Time
	late  []string
	// exchanges counts the exchanges with the leader.
	exchanges int
	// delay, if set, returns how long the answer of an exchange is on its way to a host,
	// and whether it is lost.
	delay func(host string) (time.Duration, bool)
	// heartbeats holds those that reached the leader, and workers the workers.
	heartbeats []leader.Heartbeat
	workers    []*relay.Worker
	// refuses holds the hosts whose calls do not reach any target.
	refuses map[string]bool
}

// after waits for a time.
func after(d time.Duration) { <-time.After(d) }

// targetsFrom makes the calls of one host.
type targetsFrom struct {
	leader.Targets
	r    *region
	host string
}

func (t *targetsFrom) call(ctx context.Context) error {
	t.r.mu.Lock()
	t.r.calls[t.host]++
	refused := t.r.refuses[t.host]
	if asked, ok := t.r.asked[t.host]; ok && time.Since(asked) > validity {
		t.r.late = append(t.r.late, t.host+" after "+time.Since(asked).String())
	}
	t.r.mu.Unlock()
	if refused {
		return &fault.Unavailable{What: "target", Reason: "unreachable"}
	}
	select {
	case <-ctx.Done():
		return &fault.ConnectionLost{Address: "target", Reason: "no answer"}
	case <-time.After(2 * oneWay):
		return nil
	}
}

func (t *targetsFrom) Start(ctx context.Context, _ leader.Address, o *leader.StartOrder) (leader.Reply, error) {
	t.r.mu.Lock()
	t.r.starts[o.Run]++
	t.r.mu.Unlock()
	if o.Payload != "payload of "+o.Run.Task.Job {
		return leader.Reply{Refusal: leader.RefusedInvalid}, nil
	}
	return leader.Reply{ClockMS: 7}, t.call(ctx)
}

func (t *targetsFrom) Hold(ctx context.Context, _ leader.Address, o *leader.HoldOrder) (*leader.RunList, error) {
	if err := t.call(ctx); err != nil {
		return nil, err
	}
	return &leader.RunList{Born: 3, Ended: []work.EndedRun{{Number: o.Acknowledged + 1}}}, nil
}

// newRegion starts a hub and workers w0, w1 and so on.
func newRegion(ctx context.Context, alwaysRelay bool, workers int) *region {
	r := &region{
		confirmed: true, calls: map[string]int{}, starts: map[work.RunRef]int{}, asked: map[string]time.Time{}, refuses: map[string]bool{},
		delay: func(string) (time.Duration, bool) { return 0, false },
	}
	r.hub = relay.NewHub(relay.HubConfig{
		Term: 4, Direct: &targetsFrom{r: r, host: "leader"}, Clock: clock.System{}, Log: zerolog.Nop(), AlwaysRelay: alwaysRelay,
		Confirmed: func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.confirmed
		},
		Heartbeats: func(all []leader.Heartbeat) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.heartbeats = append(r.heartbeats, all...)
		},
	})
	go r.hub.Run(ctx)
	for i := range workers {
		host := "w" + strconv.Itoa(i)
		w := relay.NewWorker(relay.WorkerConfig{
			Host: host, Targets: &targetsFrom{r: r, host: host}, Leader: func() string { return "leader" }, Clock: clock.System{}, Log: zerolog.Nop(),
			Exchange: func(ctx context.Context, _ string, q *relay.Request) (*relay.Answer, error) {
				return r.exchange(ctx, host, q)
			},
		})
		r.workers = append(r.workers, w)
		go w.Run(ctx)
	}
	after(10 * time.Millisecond) // until the workers have asked for orders
	return r
}

func (r *region) exchange(ctx context.Context, host string, q *relay.Request) (*relay.Answer, error) {
	asked := time.Now()
	after(oneWay)
	r.mu.Lock()
	r.exchanges++
	_, lost := r.delay(host)
	r.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := r.hub.Exchange(context.WithoutCancel(ctx), q)
	r.mu.Lock()
	delay, lost := r.delay(host)
	r.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	after(oneWay + delay) // a frozen host reads the answer when it is back, whatever its time limit
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(a.Orders) > 0 {
		r.asked[host] = asked
	}
	return a, nil
}

// simulateRegion runs f with simulated time.
func simulateRegion(t *testing.T, alwaysRelay bool, workers int, f func(g *WithT, r *region)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			after(time.Minute) // until all calls have ended
		}()
		f(NewWithT(t), newRegion(ctx, alwaysRelay, workers))
	})
}

func runRef(n int) work.RunRef { return work.RunRef{Task: work.TaskRef{Job: "j", Index: n}, Run: 1} }

// start has a run started and returns the outcome.
func (r *region) start(n int) (leader.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return r.hub.Start(ctx, leader.Address{Address: "t" + strconv.Itoa(n)}, &leader.StartOrder{Run: runRef(n), Payload: "payload of j"})
}

// startAll has runs started at the same time and returns the number that succeeded.
func (r *region) startAll(n int) (succeeded int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if reply, err := r.start(i); err == nil && reply == (leader.Reply{ClockMS: 7}) {
				mu.Lock()
				defer mu.Unlock()
				succeeded++
			}
		})
	}
	wg.Wait()
	return succeeded
}

// Load: the start of a queue's demand peak, with hundreds of starts in one plan. The
// leader must not make the calls itself: each exchange with a worker carries many.
func TestPeakOfStartsIsSpreadOverTheWorkers(t *testing.T) {
	simulateRegion(t, false, 4, func(g *WithT, r *region) {
		before := r.exchanges
		g.Expect(r.startAll(1000)).To(Equal(1000))
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.calls["leader"]).To(BeNumerically("<=", 60))
		for i := range 4 {
			g.Expect(r.calls["w"+strconv.Itoa(i)]).To(BeNumerically("~", 235, 25))
		}
		g.Expect(r.exchanges - before).To(BeNumerically("<", 100))
	})
}

// Load: a steady stream of ends of runs, 1,500 a second, each of which is a hold.
func TestStreamOfHoldsSharesExchanges(t *testing.T) {
	simulateRegion(t, true, 4, func(g *WithT, r *region) {
		begun, before := time.Now(), r.exchanges
		var wg sync.WaitGroup
		answered := make([]bool, 3000)
		for i := range answered {
			after(time.Second / 1500)
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				list, err := r.hub.Hold(ctx, leader.Address{Address: "t" + strconv.Itoa(i%300)}, &leader.HoldOrder{Acknowledged: int64(i)})
				answered[i] = err == nil && list.Born == 3 && len(list.Ended) == 1 && list.Ended[0].Number == int64(i)+1
			})
		}
		wg.Wait()
		g.Expect(answered).NotTo(ContainElement(false))
		// One exchange in 20 ms for each worker.
		g.Expect(float64(r.exchanges - before)).To(BeNumerically("<=", 4*50*time.Since(begun).Seconds()))
	})
}

// Guards against calls that take the longer way although the leader has nothing to do.
func TestQuietLeaderMakesTheCallsItself(t *testing.T) {
	simulateRegion(t, false, 4, func(g *WithT, r *region) {
		for i := range 100 {
			_, err := r.start(i)
			g.Expect(err).NotTo(HaveOccurred())
			after(10 * time.Millisecond)
		}
		g.Expect(r.calls).To(Equal(map[string]int{"leader": 100}))
	})
}

// Guards against calls on a permission that ran out while a host was frozen: the answer
// with the orders is read seconds after the host asked for them.
func TestFrozenWorkerMakesNoCalls(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		r.delay = func(string) (time.Duration, bool) { return 3 * time.Second, false }
		_, err := r.start(1)
		g.Expect(err).To(BeAssignableToTypeOf(&fault.ConnectionLost{}))
		after(5 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.calls["w0"]).To(BeZero())
		g.Expect(r.starts[runRef(1)]).To(BeZero())
	})
}

// Guards against orders that a host hands out although another one may lead.
func TestUnconfirmedLeaderHandsOutNothing(t *testing.T) {
	simulateRegion(t, true, 2, func(g *WithT, r *region) {
		r.mu.Lock()
		r.confirmed = false
		r.mu.Unlock()
		r.startAll(10)
		g.Expect(r.calls["w0"] + r.calls["w1"]).To(BeZero())
	})
}

// Guards against a hold that fails with its worker although the target answers: the
// target's work would be given up.
func TestHoldOfALostWorkerIsRepeated(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		r.delay = func(string) (time.Duration, bool) { return 20 * time.Second, false }
		ctx, cancel := context.WithTimeout(context.Background(), 1400*time.Millisecond)
		defer cancel()
		list, err := r.hub.Hold(ctx, leader.Address{Address: "t"}, &leader.HoldOrder{WaitMS: 1000})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(list.Born).To(BeEquivalentTo(3))
		g.Expect(r.calls).To(Equal(map[string]int{"leader": 1}))
	})
}

// Guards against ended runs that are dropped although nobody has read them: the hold of a lost
// worker is repeated, and a later incarnation of the target, with numbers of its own, answers it.
func TestRepeatedHoldAcknowledgesNothing(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		r.delay = func(string) (time.Duration, bool) { return 0, true }
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		list, err := r.hub.Hold(ctx, leader.Address{Address: "t"}, &leader.HoldOrder{Acknowledged: 11})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.calls["leader"]).To(Equal(1))
		g.Expect(list.NotAcknowledged).To(BeTrue())
		g.Expect(list.Ended[0].Number).To(Equal(int64(1)), "one more than the acknowledged number")
	})
}

// Guards against a worker that cannot reach a target which the leader can reach.
func TestTargetIsCalledDirectlyAfterAWorkerFailed(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		r.refuses["w0"] = true
		_, err := r.start(1)
		g.Expect(err).To(BeAssignableToTypeOf(&fault.Unavailable{}))
		_, err = r.start(1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.calls).To(Equal(map[string]int{"w0": 1, "leader": 1}))
	})
}

// Load: the announcements of some 500 targets, 360 a second. The leader gets them with the
// exchanges, each with the target's clock of that moment.
func TestHeartbeatsAreBatched(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		after(time.Second)
		before, began := r.exchanges, time.Now()
		for n := range 720 {
			g.Expect(r.workers[0].TakeHeartbeat(leader.Heartbeat{Target: strconv.Itoa(n), Sequence: 1, ClockMS: 5000})).To(BeTrue())
			after(time.Second / 360)
		}
		after(300 * time.Millisecond)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.heartbeats).To(HaveLen(720))
		g.Expect(r.exchanges - before).To(BeNumerically("<=", int(time.Since(began).Seconds()*6)))
		for _, b := range r.heartbeats {
			// A poll takes 200 ms and one way to the leader.
			g.Expect(b.ClockMS).To(And(BeNumerically(">=", 5000), BeNumerically("<=", 5210)))
		}
	})
}

// Guards against heartbeats that end at a host which the leader does not hear.
func TestWorkerWithoutALeaderTakesNoHeartbeat(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		after(time.Second)
		r.mu.Lock()
		r.delay = func(string) (time.Duration, bool) { return 0, true }
		r.mu.Unlock()
		after(time.Second)
		g.Expect(r.workers[0].TakeHeartbeat(leader.Heartbeat{Target: "t"})).To(BeFalse())
		g.Expect(r.hub.HostFor("t")).To(BeEmpty())
	})
}

// Guards against targets that all change their host when one is lost.
func TestTargetsKeepTheHostForTheirHeartbeats(t *testing.T) {
	simulateRegion(t, true, 4, func(g *WithT, r *region) {
		before := map[string]string{}
		count := map[string]int{}
		for n := range 400 {
			before[strconv.Itoa(n)] = r.hub.HostFor(strconv.Itoa(n))
			count[before[strconv.Itoa(n)]]++
		}
		g.Expect(count).To(HaveLen(4))
		for _, n := range count {
			g.Expect(n).To(BeNumerically("~", 100, 40))
		}
		r.mu.Lock()
		r.delay = func(host string) (time.Duration, bool) { return 0, host == "w1" }
		r.mu.Unlock()
		after(time.Second)
		for target, host := range before {
			if host != "w1" {
				g.Expect(r.hub.HostFor(target)).To(Equal(host))
			} else {
				g.Expect(r.hub.HostFor(target)).NotTo(Or(BeEmpty(), Equal("w1")))
			}
		}
	})
}

// relaySeeds is the number of random runs.
const relaySeeds = 50

// Guards against a start that is carried out twice, or reported as not sent although it
// was, whatever happens to the workers: answers that are late, lost or read after a
// freeze, targets out of reach, and a leader that loses its quorum for some time.
func TestStartsAreMadeOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(relaySeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulateRegion(t, true, 3, func(g *WithT, r *region) {
				random := rand.New(rand.NewPCG(seed, 9))
				faulty := map[string]time.Duration{}
				r.delay = func(host string) (time.Duration, bool) {
					return faulty[host], faulty[host] < 0
				}
				var wg sync.WaitGroup
				var mu sync.Mutex
				var wrong []string
				for n := range 3000 {
					if random.IntN(200) == 0 {
						r.mu.Lock()
						host := "w" + strconv.Itoa(random.IntN(3))
						faulty[host] = []time.Duration{0, 0, -1, 300 * time.Millisecond, 2 * time.Second}[random.IntN(5)]
						r.refuses[host] = random.IntN(4) == 0
						r.confirmed = random.IntN(8) > 0
						r.mu.Unlock()
					}
					after(time.Duration(random.IntN(3)) * time.Millisecond)
					wg.Go(func() {
						_, err := r.start(n)
						r.mu.Lock()
						made := r.starts[runRef(n)]
						r.mu.Unlock()
						if err == nil && made != 1 {
							mu.Lock()
							defer mu.Unlock()
							wrong = append(wrong, fmt.Sprint(n, " made ", made))
						}
					})
				}
				wg.Wait()
				after(5 * time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				for run, made := range r.starts {
					if made > 1 {
						wrong = append(wrong, fmt.Sprint(run, " made ", made))
					}
				}
				g.Expect(wrong).To(BeEmpty())
				g.Expect(r.late).To(BeEmpty())
			})
		})
	}
}

// Guards against a process that ends on a malformed message of another one.
func TestMalformedExchangesAreHarmless(t *testing.T) {
	simulateRegion(t, true, 1, func(g *WithT, r *region) {
		for id := range uint64(50) {
			r.hub.Exchange(context.Background(), &relay.Request{Host: "w0", Term: 4, Replies: []relay.Reply{
				{ID: id}, {ID: id, Failure: "unknown"}, {ID: id, Start: &leader.Reply{Refusal: "unknown"}}, {ID: id, List: &leader.RunList{}},
			}})
		}
		var wg sync.WaitGroup
		for n := range 20 {
			wg.Go(func() { _, _ = r.start(n) }) // only a panic fails the test
		}
		after(oneWay)
		for id := range uint64(50) {
			r.hub.Exchange(context.Background(), &relay.Request{Host: "w0", Term: 4, Replies: []relay.Reply{{ID: id}}})
		}
		wg.Wait()
		w := relay.NewWorker(relay.WorkerConfig{
			Host: "w1", Targets: &targetsFrom{r: r, host: "w1"}, Leader: func() string { return "leader" }, Clock: clock.System{}, Log: zerolog.Nop(),
			Exchange: func(context.Context, string, *relay.Request) (*relay.Answer, error) {
				after(oneWay)
				return &relay.Answer{Term: 4, Orders: []relay.Order{
					{ID: 1}, {ID: 2, Start: &leader.StartOrder{}, Payload: -1}, {ID: 3, Start: &leader.StartOrder{}, Payload: 1 << 40}, {ID: 4, TimeoutMS: -1, Hold: &leader.HoldOrder{}},
				}}, nil
			},
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		w.Run(ctx)
	})
}
