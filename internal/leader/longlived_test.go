package leader_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/work"
)

// longLivedSeeds is the number of random runs of the test.
const longLivedSeeds = 40

// Guards against a long-lived task that nothing starts again after a fault, so that it
// has no run until its job is cancelled. Targets fall silent until their leases expire,
// restart, carry out orders late, drain and leave; hosts are maintained, data centres
// become unreachable, and leaders start from a snapshot.
func TestLongLivedTasksRunAgainAfterAnyFaults(t *testing.T) {
	for seed := range uint64(longLivedSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) { runLongLivedFaults(t, w, rand.New(rand.NewPCG(seed, 2))) })
		})
	}
}

// initialHosts is the number of hosts of each pool at the start.
var initialHosts = map[string]int{"desk": 5, "cuts": 4}

func runLongLivedFaults(t *testing.T, w *world, r *rand.Rand) {
	w.spread = true
	var addresses []string
	for _, pool := range []string{"desk", "cuts"} {
		for i := range initialHosts[pool] {
			n := strconv.Itoa(i)
			w.add(pool+n, "h"+pool+n, pool+":"+n, pool).setDuration(0)
			addresses = append(addresses, pool+":"+n)
		}
	}
	term := uint64(2)
	_, stop := w.lead(term)
	after(time.Second)
	spread, other := longLivedStep(3), longLivedStep(4)
	spread.MaxPerHost = 1
	other.Demand.MemoryMB = 2500
	w.submit("spread", "/draw/", spread)
	w.submit("other", "/cut/", other)
	after(2 * time.Second)
	for i := range 40 {
		next, host, used := w.injectFault(addresses[r.IntN(len(addresses))], r)
		if !used {
			continue
		}
		switch r.IntN(11) {
		case 0, 1:
			w.add(next.ID, host, next.Address, next.Pool).setDuration(0)
		case 2:
			stop()
			after(time.Duration(r.IntN(2000)) * time.Millisecond)
			w.restart()
			term++
			_, stop = w.lead(term)
		case 3:
			w.propose(&work.Command{Wave: &work.Wave{ID: int64(i), Hosts: []string{host}, MaxDown: 1, DurationMS: 5000}})
		case 4:
			w.silenceDataCentre(string(dataCentres[r.IntN(len(dataCentres))]), time.Duration(3000+r.IntN(5000))*time.Millisecond)
		}
		after(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
	w.healAll()
	w.replaceDraining()
	after(settleTime + restartTimeout + extraWait)
	g := NewWithT(t)
	running, logs := w.outcome()
	g.Expect(running).To(Equal(spread.Tasks+other.Tasks), logs)
	for waited := time.Duration(0); !w.wavesComplete(); waited += time.Second { // they go on to stop tasks
		g.Expect(waited).To(BeNumerically("<", waveTimeout), w.log())
		after(time.Second)
	}
	after(restartTimeout + extraWait)
	running, logs = w.outcome()
	stop()
	g.Expect(running).To(Equal(spread.Tasks+other.Tasks), logs)
}

// wavesComplete reports whether the maintenance of all hosts of all waves has begun.
func (w *world) wavesComplete() bool {
	complete := true
	w.stateMachine.Read(func(v *work.View) {
		for _, wave := range v.Waves {
			complete = complete && wave.Complete()
		}
	})
	return complete
}

// injectFault gives the target at an address a random fault, or ends its faults. It
// returns the target that may replace it, its host, and whether that host is in use.
func (w *world) injectFault(address string, r *rand.Rand) (next work.Target, host string, used bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.targets[address]
	if w.parked[t.state.Host] != "" {
		return next, "", false
	}
	switch r.IntN(8) {
	case 0:
		t.silent = true
	case 1:
		t.dropsReplies = true
	case 2:
		t.lag = time.Duration(2+r.IntN(10)) * time.Second
	case 3:
		t.state.Draining = true
	default:
		t.heal()
	}
	next = work.Target{ID: t.state.ID, Address: address, Pool: t.state.Pool}
	if r.IntN(2) == 0 || t.state.Draining {
		w.incarnations++
		next.ID = "n" + strconv.Itoa(w.incarnations)
	}
	return next, t.state.Host, true
}

// restart restores the state from a snapshot, as after a power loss.
func (w *world) restart() {
	data, err := w.stateMachine.Snapshot()
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	w.stateMachine = work.New()
	NewWithT(w.t).Expect(w.stateMachine.Restore(data)).To(Succeed())
}

// silenceDataCentre silences the targets of a data centre for a time.
func (w *world) silenceDataCentre(dataCentre string, d time.Duration) {
	set := func(silent bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, t := range w.targets {
			if t.state.DataCentre == dataCentre {
				t.silent = silent
			}
		}
	}
	set(true)
	after(d)
	set(false)
}

// replaceDraining ends the draining targets and starts others in their place.
func (w *world) replaceDraining() {
	w.mu.Lock()
	var ended []work.Target
	for _, address := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[address]
		if t.state.Draining && w.parked[t.state.Host] == "" {
			ended = append(ended, work.Target{ID: "end" + address, Host: t.state.Host, Address: address, Pool: t.state.Pool})
		}
	}
	w.mu.Unlock()
	for _, e := range ended {
		w.add(e.ID, e.Host, e.Address, e.Pool).setDuration(0)
	}
}

const (
	// settleTime is how long after the last fault the allowed time without a run
	// begins.
	settleTime = 4 * time.Second
	// restartTimeout is how long after settleTime a long-lived task may have no run.
	restartTimeout = 6 * time.Second
	// waveTimeout is how long the waves of a random test may take after it: they move the
	// tasks one by one.
	waveTimeout = 30 * time.Second
	// extraWait is added to restartTimeout before a missing run is a failure.
	extraWait = 3 * time.Second
)

// Guards against long-lived tasks without a run beside idle hosts of a data centre that
// wrongly counts as unreachable: two of its hosts are lost, and no run is left there to
// show that the others answer.
func TestLossOfBusyHostsLeavesTheIdleOnesOfTheirDataCentreInUse(t *testing.T) {
	simulate(t, func(w *world) {
		w.spread = true
		for _, n := range []string{"0", "2", "4", "6", "8"} {
			w.add("a"+n, "h"+n, "1:"+n, "desk").setDuration(0)
		}
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		step := longLivedStep(2)
		step.MaxPerHost = 1
		w.submit("j", "/draw/", step)
		after(2 * time.Second)
		w.mu.Lock()
		lost := 0
		for _, target := range w.targets {
			if len(target.runs) > 0 {
				target.die()
				target.silent = true
				lost++
			}
		}
		w.mu.Unlock()
		NewWithT(t).Expect(lost).To(Equal(2))
		after(restartTimeout + extraWait)
		running, logs := w.outcome()
		NewWithT(t).Expect(running).To(Equal(2), logs)
	})
}

// Guards against starts on idle hosts of a data centre that is unreachable in one
// direction: their announcements arrive, but no answers do.
func TestIdleHostsThatAnnounceButDoNotAnswerTakeNoRuns(t *testing.T) {
	simulate(t, func(w *world) {
		w.spread = true
		add := func(pool string, names ...string) {
			for _, n := range names {
				w.add("a"+n, "h"+n, "1:"+n, pool).setDuration(0)
			}
		}
		add("cuts", "1")
		add("desk", "0", "2", "4")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		step := longLivedStep(3)
		step.MaxPerHost = 1
		w.submit("j", "/draw/", step)
		after(2 * time.Second)
		w.mu.Lock()
		w.dropsRepliesIn = "a"
		w.mu.Unlock()
		add("desk", "3", "5", "6", "7", "8")
		after(restartTimeout + extraWait) // until the leases have expired
		for range 20 {
			w.mu.Lock()
			running, inA := w.running(), 0
			for _, target := range w.targets {
				if target.state.DataCentre == "a" {
					inA += len(target.runs)
				}
			}
			logs := w.logs.String()
			w.mu.Unlock()
			NewWithT(t).Expect([]int{running, inA}).To(Equal([]int{3, 0}), logs)
			after(time.Second)
		}
	})
}

// Guards against work of a lost target that waits much longer than its lease: the
// repetition of an unanswered hold extended the lease, and its expiry was checked every
// two seconds only.
func TestRunsOfALostTargetStartElsewhereOnceTheirLeaseHasEnded(t *testing.T) {
	const (
		lease = 4 * time.Second
		// slow covers a clock that is 2 % slow, a margin of 0.3 s and an unanswered
		// hold.
		slow = lease/50 + 300*time.Millisecond + 400*time.Millisecond
		// plan covers the commits and the plan of the next start.
		plan = 200 * time.Millisecond
	)
	for ms := range 10 {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").setDuration(0)
			w.add("c", "hc", "2:1", "cuts").setDuration(0)
			_, stop := w.lead(2)
			defer stop()
			after(time.Second)
			w.submit("j", "/draw/", longLivedStep(1))
			after(2*time.Second + time.Duration(ms)*150*time.Millisecond)
			w.mu.Lock()
			w.targets["1:1"].die()
			w.targets["1:1"].silent = true
			w.mu.Unlock()
			w.add("b", "hb", "1:2", "desk").setDuration(0)
			after(lease + slow + plan)
			running, logs := w.outcome()
			NewWithT(t).Expect(running).To(Equal(1), logs)
		})
	}
}

// Guards against two runs of a task. Orders to an earlier incarnation carry a time on
// its clock, which is ahead of that of the later incarnation with the same id, so that
// this one grants itself the longest lease.
func TestLeaseThatALaterIncarnationTookIsWaitedFor(t *testing.T) {
	for _, successor := range []bool{false, true} {
		simulate(t, func(w *world) {
			w.add("a", "ha", "1:1", "desk").setDuration(0)
			w.add("c", "hc", "2:1", "cuts").setDuration(0)
			_, stop := w.lead(2)
			after(time.Second)
			w.submit("j", "/draw/", longLivedStep(1))
			after(2 * worldLease)
			later := w.add("a", "ha", "1:1", "desk")
			later.setDuration(0)
			after(2 * time.Second)
			w.mu.Lock()
			NewWithT(t).Expect(later.runs).To(HaveLen(1), "it runs on the later incarnation")
			later.silent = true
			w.mu.Unlock()
			if successor {
				stop()
				_, stop = w.lead(3)
			}
			defer stop()
			w.add("b", "hb", "1:2", "desk").setDuration(0)
			after(2 * worldLease)
			running, logs := w.outcome()
			NewWithT(t).Expect(running).To(Equal(1), logs)
		})
	}
}

// Guards against a long-lived task that waits for delayed starts that were never sent:
// long after the start of its run, its target restarts with the same id and falls
// silent at once.
func TestRunOfAnEarlierIncarnationIsClosedOnceNoStartCanArrive(t *testing.T) {
	for _, elections := range []int{0, 2} {
		simulate(t, func(w *world) {
			w.refuseEnded = true
			w.add("a", "ha", "1:1", "desk").duration = 0
			w.add("c", "hc", "2:1", "cuts").duration = 0
			_, stop := w.lead(2)
			defer func() { stop() }()
			after(time.Second)
			w.submit("j", "/draw/", longLivedStep(1))
			after(40 * time.Second)
			w.mu.Lock()
			w.targets["1:1"].die()
			w.mu.Unlock()
			b := w.add("b", "hb", "1:2", "desk")
			b.duration = 0
			after(time.Second)
			w.mu.Lock()
			w.newTargetsDropReplies = true
			w.mu.Unlock()
			later := w.add("a", "ha", "1:1", "desk")
			w.mu.Lock()
			w.newTargetsDropReplies = false
			w.mu.Unlock()
			after(worldAnnounce + 100*time.Millisecond)
			w.mu.Lock()
			later.die()
			w.mu.Unlock()
			allowed := 6 * time.Second
			for i := range elections {
				after(10 * time.Second)
				stop()
				after(time.Second)
				_, stop = w.lead(uint64(3 + i))
				allowed = 12 * time.Second
			}
			after(allowed)
			running, logs := w.outcome()
			if running != 1 {
				t.Errorf("%d tasks run after %d elections\n%s", running, elections, logs)
			}
		})
	}
}
