package wave_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/testsupport/fleet"
	"agatehaven.dev/agatehaven/internal/wave"
)

// scenario is one line of the table: 50 hosts under a floor of 45.
type scenario struct {
	name          string
	seeds         int
	spares        int
	patientWork   bool // a third of the hosts run patient work of 5 to 30 minutes
	longWork      bool // patient work takes 1 to 3 hours instead
	noCheckpoints bool // patient work cannot be checkpointed
	failures      bool // some reboots fail and some hosts are lost outside a step
	maxRatio      float64
}

// outcome is the result of one seed. Times are in seconds. minStepSeconds is the
// total time that the steps need by themselves, hostSecondsOut the total time
// that hosts spent in steps, and lowerBound the shortest possible duration of
// the wave.
type outcome struct {
	seconds, lowerBound, minStepSeconds, hostSecondsOut float64
	moves, movedTasks, pauses, done, failed             int
	violations, refused                                 int
	ended                                               bool
}

// experiment sums the time that each step needs by itself. Divided by the
// concurrency, it is the lower bound for the duration of the wave.
type experiment struct {
	*simulation
	rng        *rand.Rand
	drained    map[string]int64
	moved      map[string]bool
	minStepMS  int64
	movedTasks int
	pauses     int
	resumeAt   int64
	scenario   scenario
	nextLoss   int64 // when the next unplanned loss happens
}

const floorOf50 = 45

func newExperiment(sc scenario, settings wave.Settings, seed uint64) *experiment {
	e := &experiment{simulation: newSimulation(50, floorOf50, sc.spares, settings), rng: rand.New(rand.NewPCG(seed, 8)),
		drained: map[string]int64{}, moved: map[string]bool{}, scenario: sc}
	e.desired, e.noCheckpoints = 50, sc.noCheckpoints
	e.Reboot = func(*fleet.Host) (int64, bool, int64) {
		takes := 180_000 + e.rng.Int64N(120_000)
		e.minStepMS += takes + int64(e.wave.VerifyMS)
		if sc.failures {
			switch e.rng.IntN(50) {
			case 0:
				return 0, false, 0
			case 1:
				return takes, true, 10_000 + e.rng.Int64N(40_000)
			}
		}
		return takes, true, 0
	}
	for _, h := range e.Hosts {
		if sc.patientWork && e.rng.IntN(3) == 0 {
			left := 300_000 + e.rng.Int64N(1_500_000)
			if sc.longWork {
				left = 3_600_000 + e.rng.Int64N(7_200_000)
			}
			h.PatientUntil = e.Now + left
		}
	}
	e.nextLoss = e.Now + e.rng.Int64N(600_000)
	return e
}

// advanceSecond advances the fleet by one second, carries out the policy's
// actions and counts them.
func (e *experiment) advanceSecond() {
	e.Tick()
	views := e.Views()
	for _, a := range e.decideOn(views) {
		h := e.Host(a.Host)
		switch a.Kind {
		case wave.Drain:
			e.drained[a.Host] = e.Now
		case wave.Checkpoint:
			h.PatientUntil, e.moved[a.Host] = 0, true
			e.movedTasks++
		case wave.Maintain:
			if !e.moved[a.Host] {
				e.minStepMS += max(0, h.PatientUntil-e.drained[a.Host])
			}
		case wave.Pause:
			e.pauses++
			e.resumeAt = e.Now + 300_000
		}
		if cmd := a.Command(); cmd != nil {
			if res := e.ApplyCommand(cmd); res.Err != nil {
				e.errors = append(e.errors, res.Err)
			}
		}
	}
	for _, v := range views {
		if v.Host.MoveTo != "" && v.Idle && v.Host.State == model.HostDraining {
			e.ApplyCommand(&inventory.Command{CompleteDrain: &inventory.CompleteDrain{Host: v.Host.Info.Name}})
		}
	}
	e.returnVerified(views)
	if e.scenario.failures {
		e.injectFaults()
	}
}

// injectFaults makes hosts outside a step fail for a short time. Five minutes
// after a pause it repairs the lost hosts and resumes the wave, as an operator
// would.
func (e *experiment) injectFaults() {
	if e.Now >= e.nextLoss {
		e.nextLoss = e.Now + e.rng.Int64N(1_200_000)
		h := e.Hosts[e.rng.IntN(50)]
		if known, _ := e.State.Host(h.Name); known.State == model.HostReady {
			e.TakeDown(h, 30_000+e.rng.Int64N(150_000))
		}
	}
	if p := e.progress(); p.Paused && e.resumeAt != 0 && e.Now >= e.resumeAt {
		e.resumeAt = 0
		for _, h := range e.Hosts {
			if known, _ := e.State.Host(h.Name); !h.Up && known.State == model.HostLost {
				e.TakeDown(h, 1000)
			}
		}
		e.wave.Resume++
	}
}

func (e *experiment) run(limit int) outcome {
	i := 0
	for ; i < limit && e.progress().Finished.IsZero(); i++ {
		e.advanceSecond()
	}
	p := e.progress()
	o := outcome{seconds: float64(i), moves: e.Moves, movedTasks: e.movedTasks, pauses: e.pauses, done: len(p.Done), failed: len(p.Failed),
		violations: len(e.Violations), refused: len(e.errors), ended: !p.Finished.IsZero()}
	for _, h := range e.Hosts {
		o.hostSecondsOut += float64(h.OutOfServiceMS) / 1000
	}
	o.minStepSeconds = float64(e.minStepMS) / 1000
	o.lowerBound = o.minStepSeconds / float64(50-floorOf50+e.Moves)
	return o
}

// weightPreset is a set of weights under which scenarios are run.
type weightPreset struct {
	name     string
	settings wave.Settings
}

func TestExperiment(t *testing.T) {
	runScenarios(t, 10_000, []weightPreset{{"moves first", wave.FavourFewMoves()}, {"roll-out first", wave.FavourFastRollout()}}, []scenario{
		{name: "no faults, no spares", seeds: 100, maxRatio: 1.10},
		{name: "no faults, 8 spares", seeds: 100, spares: 8},
		{name: "patient work, no spares", seeds: 20, patientWork: true},
		{name: "patient work, 8 spares", seeds: 20, spares: 8, patientWork: true},
		{name: "failures, 8 spares", seeds: 100, spares: 8, failures: true},
	})
}

// TestCheckpointExperiment compares waves with and without checkpoints under
// weights that favour moving patient work.
func TestCheckpointExperiment(t *testing.T) {
	scenarios := []scenario{
		{name: "5 to 30 min, checkpoints", seeds: 10, patientWork: true},
		{name: "5 to 30 min, none", seeds: 10, patientWork: true, noCheckpoints: true},
	}
	if testing.Verbose() { // hours of simulated time
		scenarios = append(scenarios,
			scenario{name: "1 to 3 h, checkpoints", seeds: 10, patientWork: true, longWork: true},
			scenario{name: "1 to 3 h, none", seeds: 10, patientWork: true, longWork: true, noCheckpoints: true})
	}
	runScenarios(t, 20_000, []weightPreset{{"roll-out first", wave.FavourFastRollout()}}, scenarios)
}

func runScenarios(t *testing.T, limit int, choices []weightPreset, scenarios []scenario) {
	g := NewWithT(t)
	var table strings.Builder
	fmt.Fprintf(&table, "\n50 hosts, floor %d, racks of 4, reboot 180 to 300 s, verification 10 s; times in seconds, means unless marked max\n", floorOf50)
	fmt.Fprintf(&table, "%-24s %-14s %5s %8s %8s %8s %6s %6s %6s %6s %6s %6s %6s %9s %10s\n", "scenario", "weights", "seeds", "roll-out", "max",
		"bound", "ratio", "max", "moves", "tasks", "pauses", "done", "failed", "host-s out", "violations")
	for _, sc := range scenarios {
		for _, w := range choices {
			seeds := sc.seeds
			if !testing.Verbose() {
				seeds = 2 // the whole table takes minutes
			}
			all := make([]outcome, seeds)
			var group sync.WaitGroup
			slots := make(chan struct{}, 4)
			for seed := range all {
				group.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					all[seed] = newExperiment(sc, w.settings, uint64(seed)).run(limit)
				})
			}
			group.Wait()
			report(&table, sc.name, w.name, all)
			for seed, o := range all {
				g.Expect(o.violations).To(BeZero(), "%s, %s, seed %d", sc.name, w.name, seed)
				g.Expect(o.ended).To(BeTrue(), "%s, %s, seed %d", sc.name, w.name, seed)
				if sc.maxRatio > 0 {
					g.Expect(o.seconds/o.lowerBound).To(BeNumerically("<=", sc.maxRatio), "%s, %s, seed %d", sc.name, w.name, seed)
				}
			}
		}
	}
	t.Log(table.String())
}

func report(table *strings.Builder, name, weights string, all []outcome) {
	var sum outcome
	var worst, worstRatio, ratio float64
	for _, o := range all {
		sum.seconds += o.seconds
		sum.lowerBound += o.lowerBound
		sum.hostSecondsOut += o.hostSecondsOut
		sum.moves += o.moves
		sum.movedTasks += o.movedTasks
		sum.pauses += o.pauses
		sum.done += o.done
		sum.failed += o.failed
		sum.violations += o.violations
		ratio += o.seconds / o.lowerBound
		worst, worstRatio = max(worst, o.seconds), max(worstRatio, o.seconds/o.lowerBound)
	}
	n := float64(len(all))
	fmt.Fprintf(table, "%-24s %-14s %5d %8.0f %8.0f %8.0f %6.3f %6.3f %6.1f %6.1f %6.2f %6.1f %6.2f %10.0f %10d\n", name, weights, len(all), sum.seconds/n, worst,
		sum.lowerBound/n, ratio/n, worstRatio, float64(sum.moves)/n, float64(sum.movedTasks)/n, float64(sum.pauses)/n, float64(sum.done)/n,
		float64(sum.failed)/n, sum.hostSecondsOut/n, sum.violations)
}
