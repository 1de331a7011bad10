package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"agatehaven.dev/agatehaven/internal/poolsize"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// fleetInterval is how often maintenance and pool sizes are checked.
	fleetInterval = 100 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = time.Second
	// returnMargin is how long after its due time a moved host is awaited before the
	// platform's list of hosts is read again.
	returnMargin = 3 * time.Second
	// orderBackoff is the delay after an order that the platform did not accept. It
	// doubles up to maxOrderBackoff: the platform answers "busy" for a host that is
	// leaving the fleet until it is gone.
	orderBackoff    = 500 * time.Millisecond
	maxOrderBackoff = 4 * time.Second
	// standbyOrderLimit is the number of pending orders of any kind up to which hosts
	// move to standby. The platform accepts about as many orders in a second.
	standbyOrderLimit = 32
	// refusalsBeforeRelist is after how many refused orders for a host, and after each
	// further one, the list of hosts is read again. A host that leaves the fleet stays
	// listed until it is gone.
	refusalsBeforeRelist = 3
)

// fleetLoop maintains hosts and moves them between pools.
func (l *Leader) fleetLoop() {
	for l.sleepOrWake(fleetInterval, l.fleetWake) {
		if !l.Confirmed() {
			continue
		}
		if l.needsList() && !l.readHostList() {
			continue
		}
		l.syncHosts()
		l.maintain()
		l.resizePools()
	}
}

// needsList reports whether the platform's list of hosts has to be read: once a term,
// and whenever a host did not come back as expected.
func (l *Leader) needsList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.fleet.listedAt.IsZero() || l.fleet.stale) && l.cfg.StateMachine.Configuration() != nil
}

func (l *Leader) readHostList() bool {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	hosts, err := l.cfg.Platform.Hosts(ctx)
	var unreadable *UnreadableRows
	if err != nil && !errors.As(err, &unreadable) {
		l.log.Warn().Err(err).Msg("list of hosts not read")
		return false
	}
	if unreadable != nil {
		l.log.Warn().Err(unreadable).Msg("list of hosts not read in full")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for _, h := range l.fleet.hosts {
		// An unreadable row may be that of any host.
		h.unlisted = unreadable == nil
	}
	cfg := l.cfg.StateMachine.Configuration()
	for _, s := range hosts {
		h := l.fleet.host(s.Host)
		h.unlisted = false
		if h.orderPending || !now.After(h.away) {
			continue
		}
		h.state, h.away = s, time.Time{}
		if pool, ok := cfg.Pool(s.Pool); ok && pool.Standby && !s.Up {
			// Standby hosts announce nothing, so the list is read again when it should be back.
			h.away = now.Add(l.cfg.Timing.Maintenance)
		}
	}
	l.fleet.listedAt, l.fleet.stale = now, false
	l.log.Info().Int("hosts", len(hosts)).Msg("list of hosts read")
	return true
}

// syncHosts updates the hosts from the targets that have announced themselves.
func (l *Leader) syncHosts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			if t.Ended {
				continue
			}
			h := l.fleet.host(t.Host)
			if key != h.endedTarget && !h.orderPending {
				h.state.Pool, h.state.Up, h.state.TargetID = t.Pool, true, t.ID
				h.state.Resources, h.state.DataCentre, h.state.Labels = t.Resources, t.DataCentre, t.Labels
				h.away = time.Time{}
				if h.reserved == reservedMove {
					h.reserved = ""
				}
			}
			switch {
			case t.Runs() > 0:
				h.idleSince = time.Time{}
			case h.idleSince.IsZero():
				h.idleSince = now
			}
		}
		for _, h := range l.fleet.hosts {
			if h.away.IsZero() || now.Before(h.away) {
				continue
			}
			if pool, ok := v.Config.Pool(h.state.Pool); ok && pool.Standby {
				h.away, h.reserved = time.Time{}, "" // standby hosts are switched off and announce nothing
				l.fleet.stale = l.fleet.stale || !h.state.Up
			} else if now.Sub(h.away) > returnMargin {
				h.away = now
				l.fleet.stale = true
			}
		}
	})
}

// Reasons for which a host takes no new runs.
const (
	reservedMove        = "move"
	reservedMaintenance = "maintenance"
	reservedSurplus     = "pool has enough hosts"
)

// token returns a new platform token. The mutex is held.
func (l *Leader) token() Token {
	l.fleet.tokensIssued++
	return Token{Holder: l.cfg.Host, Number: l.term*fencesPerTerm + l.fleet.tokensIssued}
}

// resizePools moves hosts between pools.
func (l *Leader) resizePools() {
	l.planning.lock()
	moves := l.chooseMoves()
	l.planning.unlock()
	if len(moves) == 0 {
		return
	}
	orders := make([]work.HostOrder, len(moves))
	for i, m := range moves {
		orders[i] = work.HostOrder{Host: m.Host, Holder: l.cfg.Host}
	}
	if !l.proposeOrLog(&work.Command{Orders: orders}, "moves") {
		l.cancelMoves(moves)
		return
	}
	for _, m := range moves {
		l.wg.Go(func() { l.moveHost(m) })
	}
}

// cancelMoves releases the hosts of moves that were not ordered.
func (l *Leader) cancelMoves(moves []poolsize.Move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range moves {
		h := l.fleet.host(m.Host)
		h.reserved, h.orderPending = "", false
	}
}

// mayOrder reports whether this leader may send an order for a host.
func (l *Leader) mayOrder(host string) bool {
	return l.cfg.Orders.MayOrder(host, l.cfg.Host, l.cfg.Timing.HolderPause)
}

// chooseMoves decides on moves and reserves their hosts.
func (l *Leader) chooseMoves() []poolsize.Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	var moves []poolsize.Move
	l.cfg.StateMachine.Read(func(v *work.View) {
		if v.Config == nil {
			return
		}
		demand, hosts := l.demand(v), l.poolHosts(v)
		decision := poolsize.Plan(poolsize.Default(), demand, hosts)
		moves, l.fleet.spare = l.limitStandbyMoves(v, decision.Moves), decision.Spare
		l.fleet.attainableCPU, l.fleet.demandMet = decision.AttainableCPU, decision.DemandMet
		l.fleet.supplies = l.supplies(demand, hosts, &decision)
		l.cordonHosts(decision.Cordoned)
		l.logSizes(demand, hosts, &decision, len(moves))
	})
	for _, m := range moves {
		h := l.fleet.host(m.Host)
		h.reserved, h.orderPending, h.movesTo = reservedMove, true, m.To
	}
	return moves
}

// limitStandbyMoves drops the moves to standby with which more than standbyOrderLimit
// orders would be pending. The platform accepts some tens of orders a second, and moves
// to pools that lack hosts would otherwise queue behind those to standby. The mutex is
// held.
func (l *Leader) limitStandbyMoves(v *work.View, moves []poolsize.Move) []poolsize.Move {
	pending := 0
	for _, h := range l.fleet.hosts {
		if h.orderPending {
			pending++
		}
	}
	return slices.DeleteFunc(moves, func(m poolsize.Move) bool {
		if pool, ok := v.Config.Pool(m.To); !ok || !pool.Standby {
			return false
		}
		pending++
		return pending > standbyOrderLimit
	})
}

// poolHosts returns the hosts that are capacity of a pool now, or will be once they are
// back. The mutex is held.
func (l *Leader) poolHosts(v *work.View) []poolsize.Host {
	byHost := map[string]*work.Target{}
	for _, t := range v.Targets {
		if !t.Ended && l.fleet.host(t.Host).endedTarget != t.Key() {
			byHost[t.Host] = t
		}
	}
	away := l.awayDataCentres(v)
	var hosts []poolsize.Host
	for name, h := range l.fleet.hosts {
		t := byHost[name]
		pool, known := v.Config.Pool(h.state.Pool)
		switch {
		case !known:
		case t != nil && (!l.heard(t) || away[t.DataCentre]):
			// Silent hosts do not count as capacity.
		case t == nil && !pool.Standby && h.away.IsZero():
			// Lost hosts do not count either.
		default:
			hosts = append(hosts, l.poolHost(v, h, t, pool.Standby, away))
		}
	}
	return hosts
}

// poolHost describes a host to package poolsize. t is nil if the host is switched off
// or down.
func (l *Leader) poolHost(v *work.View, h *host, t *work.Target, standby bool, away map[string]bool) poolsize.Host {
	now := l.now()
	p := poolsize.Host{
		Name: h.state.Host, Pool: h.state.Pool, CPU: h.state.Resources.MilliCPU, Reserved: h.reserved == reservedMaintenance,
	}
	orderable := !h.orderPending && (h.reserved == "" || h.reserved == reservedSurplus) && h.away.IsZero() && h.state.Up &&
		now.After(h.retryAt) && !away[h.state.DataCentre] && l.mayOrder(h.state.Host)
	if t == nil {
		p.Movable = orderable && standby
		return p
	}
	takesNone := t.Draining || v.PredecessorMayRun(t)
	p.Movable, p.Reserved = orderable && t.Runs() == 0 && !takesNone, p.Reserved || takesNone
	p.Load, p.LongLived = t.Resources.Sub(v.Free(t)).MilliCPU, len(longLivedRuns(v, t)) > 0
	if st := l.statuses[t.Key()]; st != nil && (st.suspected > 0 || (t.Runs() == 0 && now.Before(latest(st.avoidUntil, st.asideUntil)))) {
		// A host that fails what it starts, or refuses or leaves starts unanswered,
		// neither counts as capacity here nor helps another pool.
		p.Reserved, p.Movable = true, false
	}
	if !h.idleSince.IsZero() {
		p.IdleMS = now.Sub(h.idleSince).Milliseconds()
	}
	return p
}

// cordonHosts keeps new runs away from the hosts that their pool does not need.
func (l *Leader) cordonHosts(cordoned map[string]bool) {
	for name, h := range l.fleet.hosts {
		switch {
		case cordoned[name] && h.reserved == "":
			h.reserved = reservedSurplus
		case !cordoned[name] && h.reserved == reservedSurplus:
			h.reserved = ""
		}
	}
}

// moveHost repeats a move order until the platform has accepted or refused it.
func (l *Leader) moveHost(m poolsize.Move) {
	outcome := PlatformRefused
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		h := l.fleet.host(m.Host)
		h.orderPending = false
		if outcome == PlatformDone {
			h.refusals = 0
			return
		}
		h.reserved = ""
		h.noteRefusal(l.now())
	}()
	for try := 0; l.ctx.Err() == nil; try++ {
		if try > 0 && !l.sleep(retryDelay*time.Duration(min(try, 10))) {
			return
		}
		if !l.Confirmed() {
			continue
		}
		l.mu.Lock()
		token := l.token()
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		answer, err := l.cfg.Platform.Move(ctx, m.Host, m.To, token)
		cancel()
		if err != nil {
			l.log.Warn().Err(err).Str("host", m.Host).Msg("move not answered")
			continue
		}
		l.log.Info().Str("host", m.Host).Str("from", m.From).Str("to", m.To).Str("reason", m.Reason).
			Str("outcome", string(answer)).Msg("host moved")
		if answer == PlatformThrottled {
			continue
		}
		if outcome = answer; answer == PlatformDone {
			hostMoves.Inc()
			l.noteHostDown(m.Host, m.To, l.cfg.Timing.Move)
		}
		return
	}
}

// noteHostDown records that an order ended the target of a host. After a move it spares
// a target that is already in the new pool: the answer to the move was late, and that
// target registered after the move.
func (l *Leader) noteHostDown(name, pool string, away time.Duration) {
	key := ""
	l.cfg.StateMachine.Read(func(v *work.View) {
		for k, t := range v.Targets {
			if t.Host == name && !t.Ended && t.Pool != pool {
				key = k
			}
		}
	})
	l.mu.Lock()
	h := l.fleet.host(name)
	h.endedTarget, h.away, h.idleSince = key, l.now().Add(away), time.Time{}
	h.state.Up = true // once it is back
	if pool != "" {
		h.state.Pool = pool
	}
	l.mu.Unlock()
	if key != "" {
		l.proposeOrLog(&work.Command{CloseRuns: key, TargetEnded: true}, "end of a target by an order")
	}
}
