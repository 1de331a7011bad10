package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/testsupport/jumpclock"
	"agatehaven.dev/agatehaven/internal/work"
)

// clockJump is by how much wall clocks jump.
const clockJump = 2400 * time.Millisecond

// addHosts adds targets on n hosts of a pool and returns the names of the hosts.
func (w *world) addHosts(n int) (hosts []string) {
	for i := range n {
		s := strconv.Itoa(i)
		w.add("a"+s, "h"+s, "1:"+s, "desk")
		hosts = append(hosts, "h"+s)
	}
	return hosts
}

// Guards against a wave that takes down more hosts than it may because the wall clock of
// the leader jumps, ahead or back, while hosts are in maintenance.
func TestClockJumpsDoNotFreeThePlaceOfAHostInMaintenance(t *testing.T) {
	for name, offsets := range map[string][]time.Duration{
		"ahead": {0, clockJump, 2 * clockJump, 3 * clockJump}, "back": {0, -clockJump, -2 * clockJump, -3 * clockJump},
		"ahead, and true again": {0, clockJump}, "back, and true again": {0, -clockJump}, "either way": {-clockJump, clockJump},
	} {
		for _, interval := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 1900 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " each ", interval), func(t *testing.T) {
				simulate(t, func(w *world) {
					hosts := w.addHosts(10)
					c := jumpclock.New(clock.System{})
					w.clock = c
					_, stop := w.lead(2)
					defer stop()
					after(time.Second)
					w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: hosts, MaxDown: 2, DurationMS: 12_000}})
					for i := range int(30 * time.Second / interval) {
						c.Jump(offsets[i%len(offsets)])
						after(interval)
					}
					complete, _ := w.stateMachine.WaveComplete(1)
					NewWithT(t).Expect(complete).To(BeTrue(), w.log())
					NewWithT(t).Expect(w.log()).To(ContainSubstring("wall clock jumped"))
				})
			})
		}
	}
}

// Guards against a wave that takes down more hosts than it may after a change of the
// leader: the clock of the new one is far ahead of that of the former one.
func TestNewLeaderWithAnotherClockWaitsForHostsInMaintenance(t *testing.T) {
	for _, offset := range []time.Duration{-clockJump, 2 * clockJump, time.Minute} {
		simulate(t, func(w *world) {
			hosts := w.addHosts(6)
			_, stop := w.lead(2)
			after(time.Second)
			w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: hosts, MaxDown: 1, DurationMS: 12_000}})
			for term := uint64(3); term < 12; term++ {
				after(1300 * time.Millisecond)
				stop()
				c := jumpclock.New(clock.System{})
				c.Jump(offset * time.Duration(term%2))
				w.clock = c
				_, stop = w.lead(term)
			}
			after(30 * time.Second)
			stop()
			complete, _ := w.stateMachine.WaveComplete(1)
			NewWithT(t).Expect(complete).To(BeTrue(), w.log())
		})
	}
}

// Guards against a host that counts as back because an announcement from before its
// maintenance arrives late.
func TestLateAnnouncementDoesNotEndTheMaintenance(t *testing.T) {
	simulate(t, func(w *world) {
		hosts := w.addHosts(4)
		l, stop := w.lead(2)
		defer stop()
		after(time.Second)
		var old []work.Target
		w.mu.Lock()
		for _, t := range w.targets {
			old = append(old, t.state)
		}
		w.mu.Unlock()
		w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: hosts, MaxDown: 1, DurationMS: 8_000}})
		for i := range 60 {
			for _, target := range old {
				_ = l.Announce(context.Background(), &work.Announcement{Target: target, Sequence: int64(1000 + i), ClockMS: int64(1000 + i)}) // some are refused
			}
			after(300 * time.Millisecond)
		}
		after(10 * time.Second)
		complete, _ := w.stateMachine.WaveComplete(1)
		NewWithT(t).Expect(complete).To(BeTrue(), w.log())
	})
}

// Guards against a wave that takes down more hosts than it may because a repeated order
// was refused: the host is down by the earlier one, whose answer was lost, or that one is
// still on its way.
func TestRefusalOfARepeatedMaintenanceOrderProvesNothing(t *testing.T) {
	for _, first := range []orderFate{{lost: true}, {late: 1500 * time.Millisecond}, {late: 6 * time.Second}} {
		simulate(t, func(w *world) {
			hosts := w.addHosts(4)
			_, stop := w.lead(2)
			defer stop()
			after(time.Second)
			w.maintenanceFate = func(number int) orderFate {
				switch number {
				case 1:
					return first
				case 2:
					return orderFate{busy: true}
				}
				return orderFate{}
			}
			w.enforcesNoTokens = true
			w.propose(&work.Command{Wave: &work.Wave{ID: 1, Hosts: hosts, MaxDown: 1, DurationMS: 8_000}})
			after(40 * time.Second)
			g := NewWithT(t)
			complete, _ := w.stateMachine.WaveComplete(1)
			g.Expect(complete).To(BeTrue(), w.log())
			g.Expect(strings.Count(w.log(), "maintenance of h")).To(Equal(4), w.log())
		})
	}
}

// Guards against waves that take down more hosts than they may, and against waves that
// never end, with clocks that jump during orders, changes of the leader, hosts that crash,
// and orders that are lost, late or refused.
func TestRandomWaves(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			simulate(t, func(w *world) { runRandomWaves(t, w, rand.New(rand.NewPCG(seed, 13))) })
		})
	}
}

func runRandomWaves(t *testing.T, w *world, r *rand.Rand) {
	const waves, terms = 3, 4
	hosts := w.addHosts(10)
	var clocks [terms]*jumpclock.Clock
	for i := range clocks {
		clocks[i] = jumpclock.New(clock.System{})
		clocks[i].Jump(time.Duration(r.IntN(3)-1) * clockJump)
	}
	w.clock = clocks[0]
	_, stop := w.lead(2)
	after(time.Second)
	for id := range int64(waves) {
		r.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		w.propose(&work.Command{Wave: &work.Wave{
			ID: id + 1, Hosts: append([]string{}, hosts[:4+r.IntN(4)]...), MaxDown: 1 + r.IntN(3), DurationMS: 10_000 + r.Int64N(10_000),
		}})
	}
	w.mu.Lock()
	w.maintenanceFate = func(int) orderFate {
		switch r.IntN(12) {
		case 0:
			return orderFate{late: time.Duration(1+r.IntN(11)) * time.Second}
		case 1:
			return orderFate{lost: true}
		case 2:
			return orderFate{busy: true}
		}
		return orderFate{}
	}
	w.mu.Unlock()
	term := 0
	for i := range 40 {
		w.mu.Lock()
		clocks[r.IntN(terms)].Jump(time.Duration(r.IntN(3)-1) * clockJump)
		crash, host := r.IntN(10) == 0, r.IntN(10)
		change, pause := term < terms-1 && r.IntN(10) == 0, time.Duration(r.IntN(900))*time.Millisecond
		w.mu.Unlock()
		if crash {
			w.crash("c"+strconv.Itoa(i), "h"+strconv.Itoa(host))
		}
		if change {
			stop()
			term++
			w.clock = clocks[term]
			_, stop = w.lead(uint64(2 + term))
		}
		after(pause)
	}
	w.mu.Lock()
	w.maintenanceFate = nil
	w.mu.Unlock()
	after(60 * time.Second)
	stop()
	for id := range int64(waves) {
		complete, _ := w.stateMachine.WaveComplete(id + 1)
		NewWithT(t).Expect(complete).To(BeTrue(), "wave %d: %s", id+1, w.log())
	}
}
