package leader

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/poolsize"
	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// fleetPace is how often the fleet is compared with what is wanted.
	fleetPace = 100 * time.Millisecond
	// platformTimeout bounds one call to the platform.
	platformTimeout = time.Second
	// joinMargin is how long after its due time a host that moved is awaited
	// before the platform's list is read again.
	joinMargin = 3 * time.Second
	// busyPause follows an order that the platform did not take, and doubles up
	// to maxBusyPause: a host that is leaving is busy until it is gone.
	busyPause    = 500 * time.Millisecond
	maxBusyPause = 4 * time.Second
	// awayPace is how often data centres that are cut off are looked for, against
	// the seconds that silence takes to show.
	awayPace = 50 * time.Millisecond
	// maxIdleMoves bounds the orders under way beside which hosts move to standby:
	// about what the platform takes in a second.
	maxIdleMoves = 32
	// silentForAway is how many silent targets show that a data centre is cut
	// off: more than the loss of one host.
	silentForAway = 2
	// awayAfter is for how long no target of a data centre has answered that is cut
	// off: those with runs are asked every holdWait.
	awayAfter = 2 * holdWait
	// probeEvery is how often an idle target of a data centre is asked whether it
	// answers, where others are silent and none has answered for half of awayAfter.
	probeEvery = 500 * time.Millisecond
	// busyBeforeList is after how many refused orders the list is read again, and
	// after each further one: a host that leaves stays listed until it is gone.
	busyBeforeList = 3
)

// fleet is the leader's view of the hosts. It is guarded by its mutex.
type fleet struct {
	hosts map[string]*host
	// listed is when the platform's list was read; stale is set when it has to
	// be read again.
	listed time.Time
	stale  bool
	// spare holds the hosts that no pool needs.
	spare map[string]bool
	// potential is the CPU that each pool can have, in thousandths of a core.
	potential map[string]int64
	// logged is when the sizes of the pools were logged.
	logged time.Time
	// away holds the data centres that were cut off at awayAt.
	away   map[string]bool
	awayAt time.Time
	// numbers counts the orders of this term.
	numbers uint64
}

// host is one host of the fleet.
type host struct {
	state HostState
	// reserved is why no new runs are started, empty if they are.
	reserved string
	// away is when a host that moves or is maintained should be back.
	away time.Time
	// left is the key of the target that ended with the order.
	left string
	// ordering is set while an order to the platform is under way.
	ordering bool
	// idleSince is when nothing ran on it for the first time.
	idleSince time.Time
	// busy counts the orders that the platform did not take in a row; none is
	// sent before retryAt.
	busy    int
	retryAt time.Time
	// unlisted is set if the platform's last list lacks the host.
	unlisted bool
}

// refused notes that the platform did not take an order.
func (h *host) refused(now time.Time) {
	h.busy++
	hostsBusy.Inc()
	h.retryAt = now.Add(min(busyPause<<min(h.busy-1, 8), maxBusyPause))
}

func newFleet() fleet { return fleet{hosts: map[string]*host{}} }

// reserved reports whether a host takes no new runs.
func (f *fleet) reserved(name string) bool {
	h := f.hosts[name]
	return h != nil && h.reserved != ""
}

// suits reports whether a host, when it is empty, meets one of the needs.
func (f *fleet) suits(name string, needs []schedule.Need) bool {
	h := f.hosts[name]
	return h != nil && slices.ContainsFunc(needs, func(n schedule.Need) bool {
		return n.MetBy(schedule.HostType{Resources: h.state.Resources, Labels: h.state.Labels})
	})
}

// kinds returns the kinds of hosts, that of most of them first.
func (f *fleet) kinds() []schedule.HostType {
	type key struct {
		room   work.Demand
		labels string
	}
	count, labels := map[key]int{}, map[key][]string{}
	for _, h := range f.hosts {
		if h.state.Resources != (work.Demand{}) {
			k := key{h.state.Resources, strings.Join(h.state.Labels, ",")}
			count[k]++
			labels[k] = h.state.Labels
		}
	}
	var out []schedule.HostType
	for _, k := range slices.SortedFunc(maps.Keys(count), func(a, b key) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(b.room.MilliCPU, a.room.MilliCPU),
			cmp.Compare(b.room.MemoryMB, a.room.MemoryMB), cmp.Compare(a.labels, b.labels))
	}) {
		out = append(out, schedule.HostType{Resources: k.room, Labels: labels[k]})
	}
	return out
}

// host returns the entry of a host, which it makes if needed.
func (f *fleet) host(name string) *host {
	h := f.hosts[name]
	if h == nil {
		h = &host{state: HostState{Host: name}}
		f.hosts[name] = h
	}
	return h
}

// fleetLoop maintains hosts and moves them between pools.
func (l *Leader) fleetLoop() {
	for l.sleep(fleetPace) {
		if !l.Confirmed() {
			continue
		}
		if l.needsList() && !l.list() {
			continue
		}
		l.observeHosts()
		l.maintain()
		l.resize()
	}
}

// needsList reports whether the platform's list has to be read: once a term,
// and when a host did not come back as expected.
func (l *Leader) needsList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (l.fleet.listed.IsZero() || l.fleet.stale) && l.cfg.StateMachine.Configuration() != nil
}

func (l *Leader) list() bool {
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
		// A row that cannot be read may be about any host.
		h.unlisted = unreadable == nil
	}
	cfg := l.cfg.StateMachine.Configuration()
	for _, s := range hosts {
		h := l.fleet.host(s.Host)
		h.unlisted = false
		if h.ordering || !now.After(h.away) {
			continue
		}
		h.state, h.away = s, time.Time{}
		if pool, ok := cfg.Pool(s.Pool); ok && pool.Standby && !s.Up {
			// It announces nothing once it is back, so the list is read again.
			h.away = now.Add(l.cfg.Timing.Maintenance)
		}
	}
	l.fleet.listed, l.fleet.stale = now, false
	l.log.Info().Int("hosts", len(hosts)).Msg("list of hosts read")
	return true
}

// observeHosts takes over what announcements tell of the hosts.
func (l *Leader) observeHosts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cfg.StateMachine.Read(func(v *work.View) {
		for key, t := range v.Targets {
			if t.Ended {
				continue
			}
			h := l.fleet.host(t.Host)
			if key != h.left && !h.ordering {
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
				h.away, h.reserved = time.Time{}, "" // switched off hosts do not announce themselves
				l.fleet.stale = l.fleet.stale || !h.state.Up
			} else if now.Sub(h.away) > joinMargin {
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
	reservedClosing     = "pool has enough hosts"
)

// token returns the right to order for a host. The mutex is held.
func (l *Leader) token() Token {
	l.fleet.numbers++
	return Token{Holder: l.cfg.Host, Number: l.term*fenceSessions + l.fleet.numbers}
}

// resize moves hosts between pools.
func (l *Leader) resize() {
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
	if !l.record(&work.Command{Orders: orders}, "moves") {
		l.release(moves)
		return
	}
	for _, m := range moves {
		l.wg.Go(func() { l.moveHost(m) })
	}
}

// release gives up moves that were not ordered.
func (l *Leader) release(moves []poolsize.Move) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range moves {
		h := l.fleet.host(m.Host)
		h.reserved, h.ordering = "", false
	}
}

// free reports whether this leader may order for a host.
func (l *Leader) free(host string) bool {
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
		demand, hosts := l.demand(v), l.sizeable(v)
		decision := poolsize.Plan(poolsize.Default(), demand, hosts)
		moves, l.fleet.spare = l.boundIdle(v, decision.Moves), decision.Spare
		l.fleet.potential = decision.AttainableCPU
		l.closeHosts(decision.Cordoned)
		l.logSizes(demand, hosts, len(moves))
	})
	for _, m := range moves {
		h := l.fleet.host(m.Host)
		h.reserved, h.ordering = reservedMove, true
	}
	return moves
}

// boundIdle leaves out moves to standby beyond those that may be under way. The
// platform takes some tens of orders a second, for which moves to pools that
// lack hosts would otherwise wait. The mutex is held.
func (l *Leader) boundIdle(v *work.View, moves []poolsize.Move) []poolsize.Move {
	under := 0
	for _, h := range l.fleet.hosts {
		if h.ordering {
			under++
		}
	}
	return slices.DeleteFunc(moves, func(m poolsize.Move) bool {
		if pool, ok := v.Config.Pool(m.To); !ok || !pool.Standby {
			return false
		}
		under++
		return under > maxIdleMoves
	})
}

// sizeable returns the hosts that are capacity of a pool, now or once they are
// back. The mutex is held.
func (l *Leader) sizeable(v *work.View) []poolsize.Host {
	byHost := map[string]*work.Target{}
	for _, t := range v.Targets {
		if !t.Ended && l.fleet.host(t.Host).left != t.Key() {
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
			// Silent hosts are no capacity.
		case t == nil && !pool.Standby && h.away.IsZero():
			// Nor are lost ones.
		default:
			hosts = append(hosts, l.sizeableHost(v, h, t, pool.Standby, away))
		}
	}
	return hosts
}

// sizeableHost describes a host, whose target is nil if it is switched off or
// away.
func (l *Leader) sizeableHost(v *work.View, h *host, t *work.Target, standby bool, away map[string]bool) poolsize.Host {
	now := l.now()
	p := poolsize.Host{
		Name: h.state.Host, Pool: h.state.Pool, CPU: h.state.Resources.MilliCPU, Reserved: h.reserved == reservedMaintenance,
	}
	orderable := !h.ordering && (h.reserved == "" || h.reserved == reservedClosing) && h.away.IsZero() && h.state.Up &&
		now.After(h.retryAt) && !away[h.state.DataCentre] && l.free(h.state.Host)
	if t == nil {
		p.Movable = orderable && standby
		return p
	}
	takesNone := t.Draining || v.PredecessorMayRun(t)
	p.Movable, p.Reserved = orderable && t.Runs() == 0 && !takesNone, p.Reserved || takesNone
	p.Load, p.LongLived = t.Resources.Sub(v.Free(t)).MilliCPU, len(lastingRuns(v, t)) > 0
	if c := l.contacts[t.Key()]; c != nil && (c.suspected > 0 || (t.Runs() == 0 && now.Before(c.avoidUntil))) {
		// A host that fails what it starts, or does not start it, is no capacity, and
		// no help elsewhere.
		p.Reserved, p.Movable = true, false
	}
	if !h.idleSince.IsZero() {
		p.IdleMS = now.Sub(h.idleSince).Milliseconds()
	}
	return p
}

// heard reports whether a target gave a sign of life lately. The mutex is held.
func (l *Leader) heard(t *work.Target) bool {
	key := t.Key()
	c := l.contacts[key]
	if c == nil || l.now().Sub(c.heard) > announceMissed*l.cfg.Timing.Announce {
		return false
	}
	s := l.sessions[key]
	return s == nil || !s.silent
}

// awayDataCentres returns the data centres that seem to be cut off, as they
// were found at most awayPace before. The mutex is held.
func (l *Leader) awayDataCentres(v *work.View) map[string]bool {
	if now := l.now(); l.fleet.away == nil || now.Sub(l.fleet.awayAt) >= awayPace {
		before := l.fleet.away
		l.fleet.away, l.fleet.awayAt = l.findAway(v), now
		for name, away := range l.fleet.away {
			if away && !before[name] {
				l.log.Warn().Str("data_centre", name).Msg("data centre seems to be cut off")
			}
		}
		for name, away := range before {
			if away && !l.fleet.away[name] {
				l.log.Info().Str("data_centre", name).Msg("data centre answers again")
			}
		}
	}
	return l.fleet.away
}

// findAway finds the data centres of which several targets are silent and none
// has answered lately. Where only idle targets are left, one is asked now and
// then: their announcements come through a cut of one direction. The mutex is
// held.
func (l *Leader) findAway(v *work.View) map[string]bool {
	now := l.now()
	silent, answered, idle := map[string]int{}, map[string]time.Time{}, map[string]*work.Target{}
	for key, t := range v.Targets {
		if t.Ended {
			continue
		}
		c := l.contacts[key]
		if c != nil {
			answered[t.DataCentre] = latest(answered[t.DataCentre], c.answered)
		}
		switch {
		case c != nil && now.Sub(c.answered) < awayAfter:
		case !l.heard(t):
			silent[t.DataCentre]++
		case idle[t.DataCentre] == nil || c.probed.Before(l.contacts[idle[t.DataCentre].Key()].probed):
			idle[t.DataCentre] = t
		}
	}
	away := map[string]bool{}
	for name, n := range silent {
		quiet := now.Sub(answered[name])
		away[name] = n >= silentForAway && quiet >= awayAfter
		if t := idle[name]; n >= silentForAway && quiet >= awayAfter/2 && t != nil && now.Sub(l.contacts[t.Key()].probed) >= probeEvery {
			l.probe(t)
		}
	}
	return away
}

// probe asks an idle target for its runs, to learn whether it answers. The mutex
// is held.
func (l *Leader) probe(t *work.Target) {
	key := t.Key()
	l.contacts[key].probed = l.now()
	s := l.sessions[key]
	if s == nil {
		s = l.openSession(key, Address{t.Address, t.ID}, l.succeededLately(t))
	}
	s.probing = true
	s.wake.poke()
}

// closeHosts keeps new runs away from the hosts that their pool does not need.
func (l *Leader) closeHosts(closing map[string]bool) {
	for name, h := range l.fleet.hosts {
		switch {
		case closing[name] && h.reserved == "":
			h.reserved = reservedClosing
		case !closing[name] && h.reserved == reservedClosing:
			h.reserved = ""
		}
	}
}

// logSizes logs what the pools need and have, at most once a second.
func (l *Leader) logSizes(demand []poolsize.Pool, hosts []poolsize.Host, moves int) {
	if l.now().Sub(l.fleet.logged) < time.Second {
		return
	}
	l.fleet.logged = l.now()
	count, movable := map[string]int{}, map[string]int{}
	for _, h := range hosts {
		count[h.Pool]++
		if h.Movable {
			movable[h.Pool]++
		}
	}
	for _, p := range demand {
		l.log.Info().Str("pool", p.Name).Int("hosts", count[p.Name]).Int("movable", movable[p.Name]).
			Int64("running_mcpu", p.Running).Int64("waiting_mcpu", p.Waiting).
			Int64("missed_running_mcpu", p.LateRunning).Int64("missed_waiting_mcpu", p.LateWaiting).Float64("arriving_mcpu", p.ArrivalRate).Float64("rising_mcpu", p.ArrivalRise).
			Int("spread", p.MinHosts).Int("lacking", p.MissingHosts).Int("moves", moves).Msg("pool size")
	}
}

// demand measures what the pools need. The mutex is held.
func (l *Leader) demand(v *work.View) []poolsize.Pool {
	pools := make([]poolsize.Pool, len(v.Config.Pools))
	index := map[string]*poolDemand{}
	for i, p := range v.Config.Pools {
		pools[i] = poolsize.Pool{Name: p.Name, Standby: p.Standby}
		index[p.Name] = &poolDemand{Pool: &pools[i]}
	}
	now := l.now().UnixMilli()
	away := l.awayDataCentres(v)
	l.arrivals.add(v, now, l.learned.expect)
	for _, j := range v.Live {
		if d := index[j.Pool]; d != nil && !j.State.Final() {
			d.missed = schedule.DeadlineStatusOf(j, now, l.learned.expect) > schedule.InTime
			for i := range j.Tasks {
				d.add(l, v, j, &j.Tasks[i], away)
			}
		}
	}
	for name, d := range index {
		d.ArrivalRate, d.ArrivalRise = l.arrivals.rate(name)
		d.DurationS = d.durations.value()
		if lacks, ok := l.lacking[name]; ok && l.now().Sub(lacks.since) >= lackingPause {
			d.MissingHosts, d.MissingLongLived = lacks.hosts, lacks.lasting
			d.Suits = func(host string) bool { return l.fleet.suits(host, lacks.needs) }
		}
	}
	return pools
}

// poolDemand adds up the demand of a pool.
type poolDemand struct {
	*poolsize.Pool
	durations mean
	// missed is set while the tasks of a job are added that misses its objective.
	missed bool
}

// add adds a task. The leader's mutex is held.
func (d *poolDemand) add(l *Leader, v *work.View, j *work.Job, t *work.Task, away map[string]bool) {
	step := &j.Spec.Steps[t.Step]
	cpu := step.Reserved().MilliCPU
	switch {
	case t.Active():
		// What runs on silent hosts needs no room on the others until its leases
		// end.
		if on := v.Targets[t.Target]; on != nil && l.heard(on) && !away[on.DataCentre] {
			d.Running += cpu
			d.LateRunning += d.ifMissed(cpu)
		}
	case !t.Done && j.Ready(t):
		d.Waiting += cpu
		d.LateWaiting += d.ifMissed(cpu)
	}
	if !step.LongLived && !t.Done {
		d.durations.add(float64(l.learned.expect(j, t.Step))/1000, float64(cpu))
	}
	if step.LongLived && step.MaxPerHost > 0 {
		d.MinHosts = max(d.MinHosts, (step.Tasks+step.MaxPerHost-1)/step.MaxPerHost)
	}
}

// ifMissed returns the part of a demand that belongs to a job which misses its
// objective.
func (d *poolDemand) ifMissed(cpu int64) int64 {
	if d.missed {
		return cpu
	}
	return 0
}

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m *mean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
}

// value returns the mean, 0 if nothing was added.
func (m *mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// moveHost orders a move until the platform has settled it.
func (l *Leader) moveHost(m poolsize.Move) {
	settled := PlatformRefused
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		h := l.fleet.host(m.Host)
		h.ordering = false
		if settled == PlatformDone {
			h.busy = 0
			return
		}
		h.reserved = ""
		h.refused(l.now())
	}()
	for try := 0; l.ctx.Err() == nil; try++ {
		if try > 0 && !l.sleep(retryPause*time.Duration(min(try, 10))) {
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
		if settled = answer; answer == PlatformDone {
			hostMoves.Inc()
			l.leaveHost(m.Host, m.To, l.cfg.Timing.Move)
		}
		return
	}
}

// leaveHost notes that an order ended the target of a host. A target in the pool of
// a move came after it: the answer to the move was late.
func (l *Leader) leaveHost(name, pool string, away time.Duration) {
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
	h.left, h.away, h.idleSince = key, l.now().Add(away), time.Time{}
	h.state.Up = true // once it is back
	if pool != "" {
		h.state.Pool = pool
	}
	l.mu.Unlock()
	if key != "" {
		l.record(&work.Command{CloseRuns: key, TargetEnded: true}, "end of a target by an order")
	}
}
