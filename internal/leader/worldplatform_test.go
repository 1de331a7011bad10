package leader_test

import (
	"context"
	"strconv"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/work"
)

// Hosts implements leader.Platform.
func (w *world) Hosts(context.Context) ([]leader.HostState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []leader.HostState
	for _, t := range w.targets {
		if _, parked := w.parked[t.state.Host]; parked || t.state.Host == w.hidden {
			continue
		}
		out = append(out, leader.HostState{Host: t.state.Host, Pool: t.state.Pool, Up: true, Resources: t.state.Resources, TargetID: t.state.ID, Labels: t.state.Labels})
	}
	for host, up := range w.off {
		out = append(out, leader.HostState{Host: host, Pool: "off", Up: up, Resources: w.capacityOf(host), Labels: w.labels[host]})
	}
	return out, w.unreadableRows
}

// Move implements leader.Platform. It ends what runs on the host.
func (w *world) Move(ctx context.Context, host, pool string, _ leader.Token) (leader.PlatformAnswer, error) {
	answer, err := w.move(host, pool)
	w.mu.Lock()
	lost := w.lostMoves > 0
	w.lostMoves = max(0, w.lostMoves-1)
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	return answer, err
}

func (w *world) move(host, pool string) (leader.PlatformAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if up, off := w.off[host]; w.inMaintenance[host] || (off && !up) {
		return leader.PlatformBusy, nil
	}
	if time.Since(w.taking) > time.Second {
		w.taking, w.taken = time.Now(), 0
	}
	if w.taken++; w.rate > 0 && w.taken > w.rate {
		return leader.PlatformThrottled, nil
	}
	w.moves = append(w.moves, host+" to "+pool)
	if address := w.parked[host]; address != "" {
		id, duration := host+strconv.Itoa(len(w.moves)), w.targets[address].duration
		time.AfterFunc(1500*time.Millisecond, func() { w.add(id, host, address, pool).setDuration(duration) })
		w.goal[host] = pool
		delete(w.parked, host)
		delete(w.off, host)
		return leader.PlatformDone, nil
	}
	answer := leader.PlatformRefused // if there is no such host
	for address, t := range w.targets {
		if t.state.Host != host {
			continue
		}
		if t.state.Pool == pool || (t.dead && w.goal[host] == pool) {
			return leader.PlatformDone, nil // the host is moving there, or has arrived
		}
		answer, w.goal[host] = leader.PlatformDone, pool
		if len(t.runs) > 0 {
			w.violate("move of %s ended %d runs", host, len(t.runs))
		}
		t.die()
		if pool == "off" {
			w.off[host], w.parked[host] = true, address
			continue
		}
		time.AfterFunc(1500*time.Millisecond, func() { w.add(t.state.ID+"x", host, address, pool).setDuration(t.duration) })
	}
	return answer, nil
}

// worldMaintenance is how long a host is down for maintenance.
const worldMaintenance = 2 * time.Second

// waveRecord is what the platform knows of a wave: when the maintenance of its hosts began.
type waveRecord struct{ begun map[string]time.Time }

// orderFate is what happens to an order: it is carried out after a delay without an
// answer, its answer is lost, it is refused as busy, or none of these.
type orderFate struct {
	late       time.Duration
	lost, busy bool
}

// Maintain implements leader.Platform.
func (w *world) Maintain(ctx context.Context, host string, wave int64, token leader.Token) (leader.PlatformAnswer, error) {
	after(w.orderDelay)
	var fate orderFate
	w.mu.Lock()
	w.maintenanceOrders++
	if w.maintenanceFate != nil {
		fate = w.maintenanceFate(w.maintenanceOrders)
	}
	if fate.busy {
		w.mu.Unlock()
		return leader.PlatformBusy, nil
	}
	if fate.late > 0 {
		time.AfterFunc(fate.late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.maintain(host, wave, token.Number)
		})
		w.mu.Unlock()
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	answer := w.maintain(host, wave, token.Number)
	w.mu.Unlock()
	if fate.lost {
		<-ctx.Done()
		return "", &fault.ConnectionLost{Address: "platform", Reason: "no answer"}
	}
	return answer, nil
}

// maintain carries out a maintenance order and checks that the wave allows it. The world's
// mutex is held.
func (w *world) maintain(host string, wave int64, token uint64) leader.PlatformAnswer {
	if token < w.tokens[host] && !w.enforcesNoTokens {
		return leader.PlatformFenced
	}
	w.tokens[host] = token
	if w.waves[wave] == nil {
		w.waves[wave] = &waveRecord{begun: map[string]time.Time{}}
	}
	record := w.waves[wave]
	if !record.begun[host].IsZero() {
		return leader.PlatformDone
	}
	if w.leaving[host] || w.inMaintenance[host] {
		return leader.PlatformBusy
	}
	for address, t := range w.targets {
		if t.state.Host == host && t.dead && w.parked[host] == "" {
			return leader.PlatformBusy // it is down already
		}
		if t.state.Host == host {
			for ref := range t.runs {
				w.violate("maintenance of %s ended %v", host, ref)
			}
			t.die()
			w.inMaintenance[host] = true
			time.AfterFunc(worldMaintenance, func() { w.add(t.state.ID+"y", host, address, t.state.Pool).setDuration(t.duration) })
		}
	}
	w.checkDown(wave, record, host)
	record.begun[host] = time.Now()
	return leader.PlatformDone
}

// crash replaces the target on a host by another one, unless the host is down.
func (w *world) crash(id, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, t := range w.targets {
		if t.state.Host == host && !t.dead {
			w.boot(id, host, address, t.state.Pool)
			return
		}
	}
}

// checkDown checks that one more host of a wave may go down. The world's mutex is held.
func (w *world) checkDown(wave int64, record *waveRecord, host string) {
	down, most := 0, 0
	for _, at := range record.begun {
		if time.Since(at) < worldMaintenance {
			down++
		}
	}
	w.stateMachine.Read(func(v *work.View) { most = v.Waves[wave].MaxDown })
	w.note("maintenance of %s for wave %d beside %d others", host, wave, down)
	if down >= most {
		w.violate("%s is down for wave %d beside %d others, with at most %d", host, wave, down, most)
	}
}
