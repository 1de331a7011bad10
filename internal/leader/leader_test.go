package leader_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

func TestLeader(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "leader")
}

// after lets the world's time pass.
func after(d time.Duration) { <-time.After(d) }

func small(tasks int) work.Step { return work.Step{Tasks: tasks, Demand: work.Demand{MilliCPU: 1000}} }

func lasting(tasks int) work.Step {
	s := small(tasks)
	s.LongLived, s.MaxInterrupted = true, 1
	return s
}

// play runs f in a world whose time is simulated, and checks the promises.
func play(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		f(w)
		w.mu.Lock()
		w.closed = true
		for _, target := range w.targets {
			target.die()
		}
		w.mu.Unlock()
		after(time.Minute) // late orders and loops of the world end
		if len(w.broken) > 0 {
			t.Log(w.logs.String())
		}
		NewWithT(t).Expect(w.broken).To(BeEmpty())
	})
}

// Guards against a job that is accepted and never run.
func TestJobIsCompleted(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", small(6))
		after(4 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed))
	})
}

// Guards against a target's leave that is confirmed and not known to the next
// leader: the first commit failed, and its repetition was taken for an old one.
func TestRepeatedAnnouncementIsCommitted(t *testing.T) {
	play(t, func(w *world) {
		target := w.add("a", "ha", "1:1", "desk")
		l, stop := w.lead(2)
		defer stop()
		after(4 * time.Second)
		w.mu.Lock()
		w.quorum, target.silent = false, true
		a := &work.Announcement{Target: target.state, Sequence: w.seq + 100, ClockMS: target.clockMS()}
		w.mu.Unlock()
		a.Target.Draining = true
		NewWithT(t).Expect(l.Announce(context.Background(), a)).NotTo(Succeed())
		w.mu.Lock()
		w.quorum = true
		w.mu.Unlock()
		NewWithT(t).Expect(l.Announce(context.Background(), a)).To(Succeed())
		NewWithT(t).Expect(w.machine.IsLeaving(a.Target.Key())).To(BeTrue())
	})
}

// Guards against work that is never started again after its target went
// silent: every unanswered hold extended the lease.
func TestWorkOfASilentTargetStartsElsewhereOnceItsLeaseHasEnded(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", lasting(1))
		after(2 * time.Second)
		g := NewWithT(t)
		g.Expect(a.runs).To(HaveLen(1))
		b := w.add("b", "hb", "1:2", "desk")
		b.lasts(0)
		w.mu.Lock()
		a.silent = true
		w.mu.Unlock()
		after(2 * worldLease)
		g.Expect(b.runs).To(HaveLen(1))
	})
}

// Guards against a second run beside one whose confirmation was lost.
func TestStartWithoutAnswerIsNotStartedElsewhere(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.mu.Lock()
		a.deaf = true
		w.mu.Unlock()
		w.submit("j", "/draw/", small(1))
		w.add("b", "hb", "1:2", "desk")
		after(1500 * time.Millisecond)
		w.mu.Lock()
		a.deaf = false
		w.mu.Unlock()
		after(4 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed))
	})
}

// Guards against a new leader that asks the targets of hosts that left for
// ever, each a call that costs its timeout.
func TestTargetsThatLeftSilentlyAreForgotten(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		after(2 * time.Second)
		stop()
		w.mu.Lock()
		a.silent = true
		w.mu.Unlock()
		_, stop = w.lead(3)
		defer stop()
		after(20 * time.Second)
		n := -1
		w.machine.Read(func(v *work.View) { n = len(v.Targets) })
		NewWithT(t).Expect(n).To(BeZero())
	})
}

// Answers a queue whose policy permits only some hosts, known to an outside
// service: no start goes elsewhere, or with a ticket that has expired.
func TestPolicyIsAskedBeforeAStart(t *testing.T) {
	play(t, func(w *world) {
		w.checked = true
		w.add("a", "ha", "1:1", "desk")
		w.add("p", "hp", "1:2", "desk")
		_, stop := w.lead(2)
		defer stop()
		second := small(3)
		second.After = []int{0}
		w.propose(&work.Command{Submit: &work.Submission{
			ID: "j", Domain: "d", Path: "/policy/", Spec: work.Spec{Steps: []work.Step{small(8), second}},
		}})
		after(12 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed))
	})
}

// Guards against runs of a cancelled job that go on.
func TestRunsOfACancelledJobAreStopped(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.lasts(0)
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", small(2))
		after(time.Second)
		g := NewWithT(t)
		g.Expect(a.runs).To(HaveLen(2))
		w.propose(&work.Command{Cancel: "j"})
		after(500 * time.Millisecond)
		g.Expect(a.runs).To(BeEmpty())
	})
}

// Answers hosts that fail everything they start while they look healthy: with
// two attempts a job, every job that meets them twice would be lost.
func TestTargetThatFailsAllIsSetAside(t *testing.T) {
	play(t, func(w *world) {
		w.add("bad", "hbad", "1:0", "desk").fails = true
		w.add("a", "ha", "1:1", "desk")
		w.add("b", "hb", "1:2", "desk")
		_, stop := w.lead(2)
		defer stop()
		spread := lasting(3) // keeps three hosts in the pool
		spread.MaxPerHost = 1
		w.submit("l", "/draw/", spread)
		after(time.Second)
		for i := range 12 {
			w.submit("j"+strconv.Itoa(i), "/once/", small(4))
			after(400 * time.Millisecond)
		}
		after(10 * time.Second)
		for i := range 12 {
			NewWithT(t).Expect(w.state("j" + strconv.Itoa(i))).To(Equal(work.Completed))
		}
	})
}

// Answers orders that are left without answer and carried out late, one in
// five: the target stays in use, and the run starts elsewhere only once it
// cannot begin there.
func TestLateOrdersAreSettled(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		w.add("b", "hb", "1:2", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		for i := range 10 {
			w.mu.Lock()
			a.late = time.Duration(i%2) * 3 * time.Second
			w.mu.Unlock()
			w.submit("j"+strconv.Itoa(i), "/draw/", small(2))
			after(700 * time.Millisecond)
		}
		w.mu.Lock()
		a.late = 0
		w.mu.Unlock()
		after(15 * time.Second)
		for i := range 10 {
			NewWithT(t).Expect(w.state("j" + strconv.Itoa(i))).To(Equal(work.Completed))
		}
	})
}

// Guards against a new leader that starts what its predecessor has started,
// and against leases that end at the change.
func TestNewLeaderTakesOverWhatRuns(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		w.add("b", "hb", "1:2", "desk")
		a.lasts(0)
		_, stop := w.lead(2)
		w.submit("j", "/draw/", lasting(2))
		after(2 * time.Second)
		stop()
		after(1500 * time.Millisecond) // an election
		_, stop = w.lead(3)
		defer stop()
		after(8 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, target := range w.targets {
			for _, e := range target.ended {
				NewWithT(t).Expect(e.Outcome).NotTo(Equal(work.OutcomeLeaseExpired))
			}
		}
	})
}

// Guards against a new leader that takes the work of a target that it cannot
// reach for lost while the lease of its predecessor lasts.
func TestNewLeaderWaitsForTheLeasesOfItsPredecessor(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.lasts(0)
		_, stop := w.lead(2)
		w.submit("j", "/draw/", lasting(1))
		after(2 * time.Second)
		w.mu.Lock()
		a.silent = true
		w.mu.Unlock()
		stop()
		b := w.add("b", "hb", "1:2", "desk")
		b.lasts(0)
		_, stop = w.lead(3)
		defer stop()
		after(10 * time.Second)
		NewWithT(t).Expect(b.runs).To(HaveLen(1))
	})
}

// Guards against a start that was held up and arrives once the target holds a
// new lease, while the run was given up and its task runs elsewhere.
func TestStartThatArrivesAfterTheEndOfItsLeaseIsFenced(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.duration = 5 * time.Second
		w.add("c", "hc", "2:1", "cuts") // so that b stays in its pool
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.mu.Lock()
		a.late = 9 * time.Second
		w.mu.Unlock()
		w.submit("j", "/draw/", small(1))
		after(100 * time.Millisecond)
		w.add("b", "hb", "1:2", "desk").lasts(6 * time.Second)
		after(6400 * time.Millisecond)
		w.mu.Lock()
		a.late = 0
		w.mu.Unlock()
		w.submit("k", "/draw/", small(7)) // renews the lease of a
		after(15 * time.Second)
		NewWithT(t).Expect(w.state("j")).To(Equal(work.Completed))
	})
}

// Guards against a target that is never used again after a cut.
func TestTargetIsUsedAgainOnceItAnswers(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", lasting(1))
		after(2 * time.Second)
		w.mu.Lock()
		a.silent = true
		w.mu.Unlock()
		after(8 * time.Second)
		w.mu.Lock()
		a.silent = false
		w.mu.Unlock()
		after(3 * time.Second)
		NewWithT(t).Expect(a.runs).To(HaveLen(1))
	})
}

// Guards against the work of an earlier life that an order on its way begins
// again in a later life under the same id.
func TestLaterLifeUnderTheSameIDIsFencedFirst(t *testing.T) {
	play(t, func(w *world) {
		a := w.add("a", "ha", "1:1", "desk")
		a.lasts(0)
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", lasting(2))
		after(2 * time.Second)
		again := w.add("a", "ha", "1:1", "desk")
		again.lasts(0)
		w.add("b", "hb", "1:2", "desk").lasts(0)
		after(10 * time.Second)
		n := 0
		for _, target := range w.targets {
			n += len(target.runs)
		}
		NewWithT(t).Expect(n).To(Equal(2))
	})
}

// Answers the demand of one queue in its turn, which asks for more than its
// pool holds while the other pool idles.
func TestHostsFollowTheDemand(t *testing.T) {
	play(t, func(w *world) {
		for i := range 4 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts")
		}
		w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		for i := range 10 {
			w.submit("j"+strconv.Itoa(i), "/draw/", small(4))
		}
		after(8 * time.Second)
		g := NewWithT(t)
		for i := range 10 {
			g.Expect(w.state("j" + strconv.Itoa(i))).To(Equal(work.Completed))
		}
		g.Expect(w.moves).To(ContainElement(HaveSuffix("to desk")))
	})
}

// Guards against a valid configuration that is refused for good because it is
// longer than one log entry may be.
func TestConfigurationLongerThanALogEntryIsAccepted(t *testing.T) {
	play(t, func(w *world) {
		l, stop := w.lead(2)
		defer stop()
		long := &work.Configuration{Version: 2, Document: bytes.Repeat([]byte("route "), replica.MaxProposalBytes/2)}
		for i := range 10_000 {
			n := strconv.Itoa(i)
			long.Queues = append(long.Queues, work.Queue{Name: "q" + n, Domain: "d", Prefix: "/" + n + "/", Pool: "desk", TimeoutMS: 3000})
		}
		result, err := l.Propose(context.Background(), &work.Command{Configure: long})
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Err).NotTo(HaveOccurred())
		g.Expect(w.machine.Configuration()).To(Equal(long))
	})
}

// Answers a data centre that is cut off as another queue's turn begins: what
// ran on the silent hosts needs no room in their pool until its leases end, so
// the idle hosts of that pool serve the turn.
func TestHostsOfAPoolWithSilentTargetsFollowTheDemand(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk")
		var cut []*target
		for i := range 3 {
			n := strconv.Itoa(i)
			c := w.add("c"+n, "hc"+n, "2:"+n, "cuts")
			c.lasts(time.Minute)
			c.lasts(time.Minute)
			c.state.DataCentre = "b"
			cut = append(cut, c)
		}
		_, stop := w.lead(2)
		defer stop()
		w.submit("c", "/cut/", small(12))
		after(time.Second)
		w.mu.Lock()
		for _, c := range cut {
			c.silent = true
		}
		w.mu.Unlock()
		after(2 * time.Second) // the hosts are known to be silent
		for i := range 4 {
			n := strconv.Itoa(i)
			w.add("d"+n, "hd"+n, "3:"+n, "cuts")
		}
		w.submit("j", "/draw/", small(20))
		after(1500 * time.Millisecond) // before the leases end
		w.mu.Lock()
		defer w.mu.Unlock()
		moved := 0
		for _, m := range w.moves {
			if strings.HasSuffix(m, "to desk") {
				moved++
			}
		}
		NewWithT(t).Expect(moved).To(BeNumerically(">=", 3), "moves: %v", w.moves)
	})
}

// Guards against a lasting task that never runs, since the hosts of its pool have
// CPU enough for it but run what would disturb it.
func TestLastingTaskThatNoHostTakesGetsAnotherHost(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:1", "desk").lasts(0)
		for i := range 3 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts").lasts(0)
		}
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		fill, serve := lasting(1), lasting(1)
		fill.FillIn, serve.TailLatencyTargetMS = true, 40
		w.submit("fill", "/draw/", fill)
		after(time.Second)
		w.submit("serve", "/draw/", serve)
		after(6 * time.Second)
		g := NewWithT(t)
		g.Expect(w.state("fill")).To(Equal(work.Running))
		g.Expect(w.state("serve")).To(Equal(work.Running))
	})
}

// Guards against a lasting task without a run, since a host that takes no new runs
// counts as one that its pool has.
func TestLastingTaskGetsAHostBesideOneThatDrains(t *testing.T) {
	play(t, func(w *world) {
		w.add("a", "ha", "1:0", "desk").lasts(0)
		w.add("b", "hb", "1:1", "desk").state.Draining = true
		for i := range 3 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts").lasts(0)
		}
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		step := lasting(2)
		step.MaxPerHost = 1
		w.submit("j", "/draw/", step)
		after(6 * time.Second)
		NewWithT(t).Expect(w.running()).To(Equal(2))
	})
}

// Guards against maintenance that ends running work, interrupts two tasks of
// a step at once, or never ends.
func TestWaveMaintainsHostsWithLastingTasks(t *testing.T) {
	play(t, func(w *world) {
		for i := range 3 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").lasts(0)
		}
		_, stop := w.lead(2)
		defer stop()
		w.submit("j", "/draw/", lasting(3))
		after(2 * time.Second)
		w.mu.Lock()
		w.step = 3
		w.mu.Unlock()
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h0", "h1", "h2"}, MaxDown: 1}})
		after(30 * time.Second)
		complete, _ := w.machine.WaveComplete(1)
		NewWithT(t).Expect(complete).To(BeTrue())
	})
}

// Answers a leader that is elected while many hosts are back from maintenance
// and a queue's turn has begun, on slow disks: the hosts are recorded in one
// commit, and moves do not wait for one commit a host.
func TestNewLeaderMovesHostsWhileManyReturnFromMaintenance(t *testing.T) {
	play(t, func(w *world) {
		wave := &work.Wave{ID: 1, MaxDown: 40}
		var begun []work.WaveStep
		for i := range 40 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts")
			wave.Hosts = append(wave.Hosts, "hc"+n)
			begun = append(begun, work.WaveStep{Wave: 1, Host: "hc" + n, Kind: work.MaintenanceBegun})
		}
		w.propose(&work.Command{Wave: wave})
		w.propose(&work.Command{WaveSteps: begun})
		after(5 * time.Second) // twice the time of the maintenance
		w.submit("j", "/draw/", small(20))
		w.mu.Lock()
		w.commit = 50 * time.Millisecond
		w.mu.Unlock()
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(w.moves).To(ContainElement(HaveSuffix("to desk")))
	})
}

// Guards against a host that no run can use: the answers to its move are lost until
// its target is there, which the repeated move takes for the one that the move ended.
func TestHostIsUsedWhoseMoveWasAnsweredLate(t *testing.T) {
	play(t, func(w *world) {
		w.lostMoves = 4
		w.add("a", "ha", "1:0", "desk").duration = 0
		for i := range 2 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts").duration = 0
		}
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		step := lasting(2)
		step.MaxPerHost = 1
		w.submit("j", "/draw/", step)
		w.submit("k", "/cut/", lasting(1)) // so that one host stays in the other pool
		after(15 * time.Second)
		running, logs := w.outcome()
		if running != 3 {
			t.Errorf("%d tasks run\n%s", running, logs)
		}
	})
}

// Guards against maintenance that ends work on a host of two waves: it is ordered
// for the second one as the host is back from the first, which would open the host
// to new runs.
func TestHostOfTwoWavesTakesNoRunsBeforeItsSecondMaintenance(t *testing.T) {
	play(t, func(w *world) {
		w.orderTakes = 100 * time.Millisecond
		var hosts []string
		for i := range 20 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk").duration = 300 * time.Millisecond
			hosts = append(hosts, "h"+n)
		}
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		for id := range int64(2) {
			w.propose(&work.Command{Wave: &work.Wave{ID: id, Hosts: hosts, MaxDown: 5, DurationMS: 1}})
		}
		for i := range 20 {
			w.submit("j"+strconv.Itoa(i), "/draw/", small(100))
			after(500 * time.Millisecond)
		}
		after(20 * time.Second)
		for id := range int64(2) {
			complete, _ := w.machine.WaveComplete(id)
			NewWithT(t).Expect(complete).To(BeTrue())
		}
	})
}

// Answers a leader that is frozen between its orders for a wave and the record
// of their outcome: its successor orders these hosts again, though as many
// count as down as may be.
func TestNewLeaderRepeatsMaintenanceWithoutOutcome(t *testing.T) {
	play(t, func(w *world) {
		for i := range 4 {
			n := strconv.Itoa(i)
			w.add("a"+n, "h"+n, "1:"+n, "desk")
		}
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h0", "h1", "h2", "h3"}, MaxDown: 2}})
		w.propose(&work.Command{WaveSteps: []work.WaveStep{
			{Wave: 1, Host: "h0", Kind: work.MaintenanceOrdered}, {Wave: 1, Host: "h1", Kind: work.MaintenanceOrdered},
		}})
		_, stop := w.lead(2)
		defer stop()
		after(15 * time.Second)
		complete, _ := w.machine.WaveComplete(1)
		NewWithT(t).Expect(complete).To(BeTrue())
	})
}

// Guards against hosts on standby that are never used again: they announce
// nothing, and the list that a new leader read showed them in maintenance.
func TestHostsOnStandbyAreUsedOnceTheirMaintenanceEnds(t *testing.T) {
	play(t, func(w *world) {
		w.off = map[string]bool{"h0": false, "h1": false}
		w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.mu.Lock()
		w.off = map[string]bool{"h0": true, "h1": true}
		w.mu.Unlock()
		w.submit("j", "/draw/", small(20))
		after(5 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(w.moves).To(ContainElements(HavePrefix("h0 to"), HavePrefix("h1 to")))
	})
}

// Answers a fleet of which most hosts are idle as a queue's turn begins, on a
// platform that takes twenty moves a second: moves to standby do not hold up
// those to the pool that lacks hosts.
func TestIdleHostsDoNotHoldUpTheMovesOfATurn(t *testing.T) {
	play(t, func(w *world) {
		w.rate = 20
		for i := range 300 {
			n := strconv.Itoa(i)
			w.add("c"+n, "hc"+n, "2:"+n, "cuts")
		}
		w.add("a", "ha", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(3 * time.Second) // the hosts idle for long enough
		w.submit("j", "/draw/", small(40))
		after(3 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		var toDesk []string
		for _, m := range w.moves {
			if strings.HasSuffix(m, "to desk") {
				toDesk = append(toDesk, m)
			}
		}
		NewWithT(t).Expect(len(toDesk)).To(BeNumerically(">=", 5), "moves: %v", toDesk)
	})
}

// Guards against a wave that never ends because one of its hosts left: the
// platform lists it, and takes no order for it, until it is gone.
func TestWaveEndsWhenAHostLeaves(t *testing.T) {
	play(t, func(w *world) {
		w.leaving = map[string]bool{"h1": true}
		w.add("a0", "h0", "1:0", "desk")
		w.add("a1", "h1", "1:1", "desk")
		_, stop := w.lead(2)
		defer stop()
		after(time.Second)
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: []string{"h0", "h1"}, MaxDown: 1}})
		after(6 * time.Second)
		w.mu.Lock()
		w.targets["1:1"].die()
		delete(w.targets, "1:1")
		w.mu.Unlock()
		after(10 * time.Second)
		complete, _ := w.machine.WaveComplete(1)
		NewWithT(t).Expect(complete).To(BeTrue())
	})
}

// Any faults in any order: targets that are silent, answer nothing, carry out
// orders late, return as another life or fail their runs, and leaders that
// change. Two runs of a task, a target over its capacity, or a move that ends
// work break a promise; every job ends once the faults do.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			play(t, func(w *world) { randomDay(t, w, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func randomDay(t *testing.T, w *world, r *rand.Rand) {
	for i := range 6 {
		n := strconv.Itoa(i)
		w.add("a"+n, "h"+n, "1:"+n, "desk")
	}
	term := uint64(2)
	_, stop := w.lead(term)
	jobs := 0
	for range 40 {
		w.submit("j"+strconv.Itoa(jobs), "/draw/", small(1+r.IntN(5)))
		jobs++
		address := "1:" + strconv.Itoa(r.IntN(6))
		w.mu.Lock()
		target := w.targets[address]
		lives := strconv.Itoa(jobs)
		switch r.IntN(9) {
		case 0:
			target.silent = true
		case 1:
			target.deaf = true
		case 2:
			target.late = time.Duration(2+r.IntN(10)) * time.Second
		case 3:
			target.fails = true
		case 4, 5, 6:
			target.heal()
		}
		w.mu.Unlock()
		switch r.IntN(12) {
		case 0:
			w.add(target.state.ID, target.state.Host, address, target.state.Pool)
		case 1:
			w.add("b"+lives, target.state.Host, address, target.state.Pool)
		case 2:
			stop()
			after(time.Duration(r.IntN(2000)) * time.Millisecond)
			term++
			_, stop = w.lead(term)
		}
		after(time.Duration(r.IntN(800)) * time.Millisecond)
	}
	w.healAll()
	after(40 * time.Second)
	stop()
	for i := range jobs {
		NewWithT(t).Expect(w.state("j"+strconv.Itoa(i)).Final()).To(BeTrue(), "job %d", i)
	}
}
