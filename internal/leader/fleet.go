package leader

import (
	"context"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/work"
)

const (
	// fleetPace is how often the fleet is compared with what is wanted.
	fleetPace = 100 * time.Millisecond
	// providerTimeout bounds one call to the provider.
	providerTimeout = time.Second
)

// fleet is the leader's view of the hosts. It is guarded by its mutex.
type fleet struct {
	hosts map[string]*host
	// listed is when the provider's list was read.
	listed time.Time
	// numbers counts the orders of this term.
	numbers uint64
}

// host is one host of the fleet.
type host struct {
	state HostState
	// reserved is why no new runs are started, empty if they are.
	reserved string
	// away is until when the host is moving or in maintenance.
	away time.Time
	// ordering is set while an order to the provider is under way.
	ordering bool
}

func newFleet() fleet { return fleet{hosts: map[string]*host{}} }

// reserved reports whether a host takes no new runs.
func (f *fleet) reserved(name string) bool {
	h := f.hosts[name]
	return h != nil && h.reserved != ""
}

// fleetLoop maintains hosts and moves them between pools.
func (l *Leader) fleetLoop() {
	for l.sleep(fleetPace) {
		if !l.Confirmed() || l.now().Sub(l.elected) < l.cfg.Timing.HolderPause {
			continue
		}
		if l.needsList() && !l.list() {
			continue
		}
		l.maintain()
		l.resize()
	}
}

// needsList reports whether the provider's list is not known yet. It is read
// once a term; later changes are ordered by this leader or announced.
func (l *Leader) needsList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.listed.IsZero() && l.cfg.Machine.Configuration() != nil
}

func (l *Leader) list() bool {
	ctx, cancel := context.WithTimeout(l.ctx, providerTimeout)
	defer cancel()
	hosts, err := l.cfg.Provider.Hosts(ctx)
	if err != nil {
		l.log.Warn().Err(err).Msg("list of hosts not read")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hosts {
		known := l.fleet.hosts[h.Host]
		if known == nil {
			known = &host{}
			l.fleet.hosts[h.Host] = known
		}
		known.state = h
	}
	l.fleet.listed = l.now()
	l.log.Info().Int("hosts", len(hosts)).Msg("list of hosts read")
	return true
}

// token returns the right to order for a host.
func (l *Leader) token() Token {
	l.fleet.numbers++
	return Token{Holder: l.cfg.Host, Number: l.term*fenceSessions + l.fleet.numbers}
}

// maintain drains and maintains the hosts of waves.
func (l *Leader) maintain() {
	type step struct {
		wave int64
		host string
	}
	var ready []step
	l.mu.Lock()
	now := l.now()
	l.cfg.Machine.Read(func(v *work.View) {
		byHost := map[string]*work.Target{}
		for _, t := range v.Targets {
			if !t.Ended {
				byHost[t.Host] = t
			}
		}
		for _, w := range v.Waves {
			open := w.MaxDown - w.Down()
			for _, name := range w.Hosts {
				h := l.fleet.hosts[name]
				if h == nil {
					h = &host{}
					l.fleet.hosts[name] = h
				}
				if _, begun := w.Begun[name]; begun || open <= 0 || h.ordering {
					continue
				}
				open--
				h.reserved = "maintenance"
				if t := byHost[name]; t == nil || t.Runs() == 0 {
					h.ordering = true
					ready = append(ready, step{w.ID, name})
				}
			}
		}
	})
	l.mu.Unlock()
	_ = now
	for _, r := range ready {
		l.wg.Go(func() { l.maintainHost(r.wave, r.host) })
	}
	l.returnHosts()
}

// maintainHost orders the maintenance of a host that runs nothing.
func (l *Leader) maintainHost(wave int64, name string) {
	defer func() {
		l.mu.Lock()
		l.fleet.hosts[name].ordering = false
		l.mu.Unlock()
	}()
	if !l.record(&work.Command{WaveStep: &work.WaveStep{Wave: wave, Host: name, Kind: work.MaintenanceOrdered}}, "maintenance") {
		return
	}
	l.mu.Lock()
	token := l.token()
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, providerTimeout)
	answer, err := l.cfg.Provider.Maintain(ctx, name, wave, token)
	cancel()
	if err != nil {
		l.log.Warn().Err(err).Str("host", name).Msg("maintenance order not answered")
		return
	}
	l.log.Info().Str("host", name).Int64("wave", wave).Str("answer", string(answer)).Msg("maintenance ordered")
	if answer != ProviderDone {
		l.record(&work.Command{WaveStep: &work.WaveStep{Wave: wave, Host: name, Kind: work.MaintenanceRefused}}, "refused maintenance")
		return
	}
	l.mu.Lock()
	h := l.fleet.hosts[name]
	h.away = l.now().Add(l.cfg.Timing.Maintenance)
	l.mu.Unlock()
	l.record(&work.Command{WaveStep: &work.WaveStep{Wave: wave, Host: name, Kind: work.MaintenanceBegun}}, "begun maintenance")
}

// returnHosts notes which hosts are back from maintenance: a target has
// registered since, or the time is over twice.
func (l *Leader) returnHosts() {
	type back struct {
		wave int64
		host string
	}
	var returned []back
	now := l.now()
	l.cfg.Machine.Read(func(v *work.View) {
		born := map[string]int64{}
		for _, t := range v.Targets {
			if !t.Ended {
				born[t.Host] = max(born[t.Host], t.Born)
			}
		}
		for _, w := range v.Waves {
			for name, at := range w.Begun {
				if w.Returned[name] {
					continue
				}
				if born[name] > at || now.UnixMilli()-at > 2*l.cfg.Timing.Maintenance.Milliseconds() {
					returned = append(returned, back{w.ID, name})
				}
			}
		}
	})
	for _, r := range returned {
		l.record(&work.Command{WaveStep: &work.WaveStep{Wave: r.wave, Host: r.host, Kind: work.MaintenanceReturned}}, "returned host")
		l.mu.Lock()
		l.fleet.hosts[r.host].reserved = ""
		l.mu.Unlock()
		l.log.Info().Str("host", r.host).Int64("wave", r.wave).Msg("host is back from maintenance")
	}
}

// resize moves hosts between pools.
func (l *Leader) resize() {}

// StartWave records a maintenance order. It returns *fault.Unavailable while
// the outcome is not known.
func (l *Leader) StartWave(ctx context.Context, w *work.Wave) error {
	result, err := l.Propose(ctx, &work.Command{Wave: w})
	if err != nil {
		return err
	}
	return result.Err
}

var _ error = (*fault.Unavailable)(nil)
