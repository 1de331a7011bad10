package daemon

import (
	"context"
	"sync"
	"time"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/peer"
)

// peerProbeInterval is the period of the probes between entry hosts. They detect
// a silent connection before the next request needs it, so that the request is
// refused as not run instead of being sent with an unknown effect.
const peerProbeInterval = time.Second

// Kinds of the events that the monitors record.
const (
	eventPeerSilent event.Kind = "peer_silent"
	eventPeerBack   event.Kind = "peer_back"
	// The clock of this host deviates too far from the majority of the hosts'
	// clocks, or agrees with them again.
	eventClockSkewed event.Kind = "clock_skewed"
	eventClockBack   event.Kind = "clock_back"
	// A leader's log entries were refused because of their timestamp.
	eventTimestampRefused event.Kind = "entry_time_refused"
)

// monitorPeers probes every other entry host until ctx ends.
func (d *Daemon) monitorPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, h := range d.settings.Hosts {
		if h.Name != d.settings.Host {
			wg.Go(func() { d.monitorPeer(ctx, h.Name) })
		}
	}
	wg.Wait()
}

func (d *Daemon) monitorPeer(ctx context.Context, host string) {
	d.monitor(ctx, func() error { return d.probe(ctx, host) }, func(err error) {
		if err != nil {
			d.recordPeerEvent(eventPeerSilent, host, err.Error())
		} else {
			d.recordPeerEvent(eventPeerBack, host, "it answers probes again")
		}
	})
}

// monitorClock reports when the clock of this host deviates too far from the
// peers' clocks, which the probes measure, and when it agrees with them again.
func (d *Daemon) monitorClock(ctx context.Context) {
	d.monitor(ctx, d.hlc.Skew, func(err error) {
		if err != nil {
			d.recordClockEvent(eventClockSkewed, err.Error())
		} else {
			d.recordClockEvent(eventClockBack, "it agrees with the majority again")
		}
	})
}

// monitor repeats a check until ctx ends and reports each change between
// success and failure. Before the first check success is assumed.
func (d *Daemon) monitor(ctx context.Context, check func() error, report func(err error)) {
	failed := false
	for ctx.Err() == nil {
		err := check()
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != failed {
			report(err)
		}
		failed = err != nil
		select {
		case <-d.clock.After(peerProbeInterval):
		case <-ctx.Done():
		}
	}
}

func (d *Daemon) recordClockEvent(kind event.Kind, reason string) {
	recorder{d}.Record(event.Event{
		Kind: kind, Host: d.settings.Host, DataCentre: d.settings.DataCentre, Actor: d.settings.Host, Reason: reason,
	})
	d.log.Warn().Str("event", string(kind)).Str("reason", reason).Msg("clock skew of this host changed")
}

func (d *Daemon) probe(ctx context.Context, host string) error {
	h, err := d.dialer.Dial(host)
	if err != nil {
		return err
	}
	_, err = h.InForce(ctx, &peer.InForceRequest{})
	return err
}

func (d *Daemon) recordPeerEvent(kind event.Kind, host, reason string) {
	recorder{d}.Record(event.Event{
		Kind: kind, Host: host, DataCentre: d.settings.DataCentre, Actor: d.settings.Host, Reason: reason,
	})
	d.log.Info().Str("peer", host).Str("event", string(kind)).Str("reason", reason).Msg("peer reachability changed")
}
