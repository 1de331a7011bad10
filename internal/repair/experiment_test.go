package repair_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/repair"
)

// outcome is the result of one seed. Times are in seconds.
type outcome struct {
	secondsToRestore   float64 // until the pool has its desired hosts for good, -1 if never
	moves              int
	missingHostSeconds float64 // missing hosts, summed over all seconds
	violations         int
	refused            int
	minSpares          int
}

// repairCase is one line of the table. The pool has 24 hosts in racks of four;
// there are 8 spare hosts with a floor of 2.
type repairCase struct {
	name    string
	seconds int
	// flapping is set if hosts keep failing. The pool is then never restored for
	// good, so the table gives no time.
	flapping bool
	losses   func(s *simulation, rng *rand.Rand, second int)
}

func cases() []repairCase {
	lose := func(n int) func(*simulation, *rand.Rand, int) {
		return func(s *simulation, _ *rand.Rand, second int) {
			for i := range n {
				if second == 0 {
					s.TakeDown(s.Hosts[i], 0)
				}
			}
		}
	}
	// flap lets each of the first n hosts fail for 30 to 120 s and run for 60 to
	// 240 s, again and again.
	flap := func(n int) func(*simulation, *rand.Rand, int) {
		until := map[*simulation][]int64{}
		return func(s *simulation, rng *rand.Rand, _ int) {
			if until[s] == nil {
				until[s] = make([]int64, n)
			}
			for i := range n {
				if h := s.Hosts[i]; h.Up && s.Now >= until[s][i] {
					down := 30_000 + rng.Int64N(90_000)
					s.TakeDown(h, down)
					until[s][i] = s.Now + down + 60_000 + rng.Int64N(180_000)
				}
			}
		}
	}
	return []repairCase{
		{"one host lost", 600, false, lose(1)},
		{"one rack lost", 600, false, lose(4)},
		{"rack lost, second host after 75 s", 600, false, func(s *simulation, rng *rand.Rand, second int) {
			lose(4)(s, rng, second)
			if second == 75 {
				s.TakeDown(s.Hosts[4], 0)
			}
		}},
		{"two racks lost, 6 spares movable", 600, false, lose(8)},
		{"one flapping host, 1 h", 3600, true, flap(1)},
		{"four flapping hosts, 1 h", 3600, true, flap(4)},
	}
}

func runCase(c repairCase, settings repair.Settings, seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 9))
	s := newSimulation(24, 8, settings)
	s.run(rng.IntN(5)) // varies the phase of the lease checks
	r := outcome{secondsToRestore: -1, minSpares: 8}
	short := false
	for second := range c.seconds {
		c.losses(s, rng, second)
		s.step()
		missing := max(0, s.desired-s.State.Available(pool))
		r.missingHostSeconds += float64(missing)
		short = short || missing > 0
		if missing > 0 {
			r.secondsToRestore = -1
		} else if short && r.secondsToRestore < 0 {
			r.secondsToRestore = float64(second)
		}
		r.minSpares = min(r.minSpares, s.State.Available(spare))
	}
	r.moves, r.violations, r.refused = s.Moves, len(s.Violations), len(s.errors)
	return r
}

func TestExperiment(t *testing.T) {
	g := NewWithT(t)
	seeds := 2
	if testing.Verbose() {
		seeds = 100
	}
	var table strings.Builder
	fmt.Fprintf(&table, "\n24 hosts in racks of 4, 8 spare hosts with floor 2, %d seeds; times in seconds\n", seeds)
	fmt.Fprintf(&table, "%-34s %-11s %9s %8s %7s %9s %9s %10s %8s %10s\n", "scenario", "hysteresis", "restored", "max", "never",
		"moves", "max moves", "host-s low", "spares", "violations")
	without := repair.DefaultSettings()
	without.ShortForMS, without.ExcessForMS = 0, 0
	moves := map[string]float64{}
	for _, c := range cases() {
		for _, w := range []struct {
			name     string
			settings repair.Settings
		}{{"with", repair.DefaultSettings()}, {"without", without}} {
			var sum outcome
			var worst float64
			never, maxMoves, low := 0, 0, 8
			for seed := range uint64(seeds) {
				r := runCase(c, w.settings, seed)
				g.Expect(r.violations).To(BeZero(), "%s, %s, seed %d", c.name, w.name, seed)
				if r.secondsToRestore < 0 {
					never++
				} else {
					sum.secondsToRestore += r.secondsToRestore
				}
				worst, maxMoves, low = max(worst, r.secondsToRestore), max(maxMoves, r.moves), min(low, r.minSpares)
				sum.moves += r.moves
				sum.violations += r.violations
				sum.missingHostSeconds += r.missingHostSeconds
			}
			n := float64(seeds)
			moves[c.name+w.name] = float64(sum.moves) / n
			times := fmt.Sprintf("%9.1f %8.0f %7d", sum.secondsToRestore/max(1, n-float64(never)), worst, never)
			if c.flapping || never == seeds {
				times = fmt.Sprintf("%9s %8s %7s", "-", "-", "-")
			}
			fmt.Fprintf(&table, "%-34s %-11s %s %9.2f %9d %10.0f %8d %10d\n", c.name, w.name, times,
				float64(sum.moves)/n, maxMoves, sum.missingHostSeconds/n, low, sum.violations)
		}
	}
	t.Log(table.String())
	for _, name := range []string{"one flapping host, 1 h", "four flapping hosts, 1 h"} {
		g.Expect(moves[name+"with"]).To(BeNumerically("<", moves[name+"without"]/3), name)
	}
}
