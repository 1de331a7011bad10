package leader_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/relay"

	"github.com/rs/zerolog"
)

// workerCount is the number of hosts that make calls for the leader.
const workerCount = 3

// faultyWorkers simulates hosts that make the leader's calls, and are frozen or cut off
// at random. They outlive the leaders.
type faultyWorkers struct {
	w *world

	mu     sync.Mutex
	random *rand.Rand
	hubs   map[uint64]*relay.Hub
	term   uint64
	// frozenUntil is until when a host reads no answer; cutUntil is until when it
	// reaches no leader.
	frozenUntil, cutUntil map[string]time.Time
}

// startWorkers starts workers, which get faults until ctx ends.
func (w *world) startWorkers(ctx context.Context, random *rand.Rand) {
	f := &faultyWorkers{
		w: w, random: random, hubs: map[uint64]*relay.Hub{}, frozenUntil: map[string]time.Time{}, cutUntil: map[string]time.Time{},
	}
	w.workers = f
	for i := range workerCount {
		host := "w" + strconv.Itoa(i)
		worker := relay.NewWorker(relay.WorkerConfig{
			Host: host, Targets: w, Leader: func() string { return "leader" }, Clock: clock.System{}, Log: zerolog.Nop(),
			Exchange: func(ctx context.Context, _ string, r *relay.Request) (*relay.Answer, error) {
				return f.exchange(ctx, host, r)
			},
		})
		go worker.Run(ctx)
	}
	go f.injectFaults(ctx)
}

// hub returns the hub of a term, whose leader makes no call itself if a worker can.
func (f *faultyWorkers) hub(ctx context.Context, w *world, term uint64, confirmed func() bool) *relay.Hub {
	h := relay.NewHub(relay.HubConfig{
		Term: term, Direct: w, Confirmed: confirmed, Clock: clock.System{}, Log: zerolog.New(&w.logs), AlwaysRelay: true,
	})
	go h.Run(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hubs[term], f.term = h, term
	return h
}

func (f *faultyWorkers) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		host := "w" + strconv.Itoa(f.random.IntN(workerCount))
		until := time.Now().Add(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		if f.random.IntN(2) == 0 {
			f.frozenUntil[host] = until
		} else {
			f.cutUntil[host] = until
		}
		pause := time.Duration(f.random.IntN(2500)) * time.Millisecond
		f.mu.Unlock()
		after(pause)
	}
}

// exchange makes an exchange with the leader. A frozen host reads the answer when it is
// back, whatever the time limit of the call.
func (f *faultyWorkers) exchange(ctx context.Context, host string, r *relay.Request) (*relay.Answer, error) {
	f.mu.Lock()
	hub := f.hubs[f.term]
	cut := time.Now().Before(f.cutUntil[host])
	f.mu.Unlock()
	if hub == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	after(2 * time.Millisecond)
	a := hub.Exchange(context.WithoutCancel(ctx), r)
	f.mu.Lock()
	frozen := time.Until(f.frozenUntil[host])
	f.mu.Unlock()
	after(frozen)
	return a, nil
}

// Guards against two runs of a task, and against jobs that do not end, when the leader's
// calls are made by hosts that freeze, lose the leader and outlive it, beside all faults
// of TestRandomFaults.
func TestRandomFaultsOfTargetsAndWorkers(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				w.startWorkers(ctx, rand.New(rand.NewPCG(seed, 7)))
				w.endsPerList = 1 + int(seed%4)
				runRandomFaults(t, w, rand.New(rand.NewPCG(seed, 1)))
			})
		})
	}
}

// Guards against long-lived tasks that nothing starts again, in the same conditions.
func TestLongLivedTasksRunAgainBehindFaultyWorkers(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				w.startWorkers(ctx, rand.New(rand.NewPCG(seed, 8)))
				runLongLivedFaults(t, w, rand.New(rand.NewPCG(seed, 2)))
			})
		})
	}
}
