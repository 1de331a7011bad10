package load

import (
	"context"
	"fmt"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

const (
	// hostsPerRack is the number assumed in docs/design.md section 3.
	hostsPerRack      = 4
	readyPollInterval = 500 * time.Millisecond
	// readyLimit is enough for the registration of a thousand new hosts.
	readyLimit = 60 * time.Second
)

// FleetPlan configures a measurement with a growing number of hosts.
type FleetPlan struct {
	// Sizes are numbers of hosts in the data centre, ascending.
	Sizes       []int
	DataCentre  string
	Pools       []string
	TargetEntry []string // target listeners of the entry hosts
	Diagnostics []string
	Operator    Operator
	// Settle is the time between the last registration and the measurement,
	// Length that of the measurement.
	Settle, Length time.Duration
	Clock          clock.Clock
}

// FleetRow is the resource usage of one process with a number of hosts.
type FleetRow struct {
	Hosts int `json:"hosts"`
	Usage
}

// FleetReport is the result of a fleet measurement.
type FleetReport struct {
	Rows []FleetRow `json:"rows"`
}

func (r FleetReport) table(t *table) {
	t.row("hosts", "process", "role", "CPU % of a core", "MB", "KB/s sent", "KB/s received", "log KB/s", "proposals/s")
	for _, u := range r.Rows {
		t.row(u.Hosts, u.Host, u.Role, u.CPUPercent, u.MemoryMB, u.SentKB, u.ReceivedKB, u.LogKB, u.Proposals)
	}
}

// MeasureFleet adds targets up to each size in turn and measures the
// processes. Hosts that are ready at the start count towards the size.
func MeasureFleet(ctx context.Context, p *FleetPlan) (FleetReport, error) {
	var out FleetReport
	have, err := p.Operator.Ready(ctx, p.DataCentre)
	if err != nil {
		return out, err
	}
	first := have
	for _, size := range p.Sizes {
		if size > have {
			fleet, err := p.grow(first, size-have)
			if err != nil {
				return out, err
			}
			defer fleet.Close()
			first, have = first+size-have, size
		}
		if err := p.awaitReady(ctx, have); err != nil {
			return out, err
		}
		usage, err := measure(ctx, p.Clock, p.Diagnostics, p.Settle, p.Length)
		if err != nil {
			return out, err
		}
		if err := p.Operator.setRoles(ctx, p.DataCentre, usage); err != nil {
			return out, err
		}
		for _, u := range usage {
			out.Rows = append(out.Rows, FleetRow{Hosts: have, Usage: u})
		}
	}
	return out, nil
}

func (p *FleetPlan) grow(first, n int) (*standin.Fleet, error) {
	var racks []string
	for i := range n/hostsPerRack + 1 {
		racks = append(racks, fmt.Sprintf("%s-f%d", p.DataCentre, first/hostsPerRack+i))
	}
	return standin.Start(standin.Config{
		Targets: n, NameOffset: first, DataCentre: p.DataCentre, Racks: racks, Pools: p.Pools,
		EntryHosts: p.TargetEntry, SeparateConnections: true, Clock: p.Clock,
	})
}

func (p *FleetPlan) awaitReady(ctx context.Context, want int) error {
	until := p.Clock.Now().Add(readyLimit)
	for {
		have, err := p.Operator.Ready(ctx, p.DataCentre)
		if err == nil && have >= want {
			return nil
		}
		if p.Clock.Now().After(until) {
			return &fault.Timeout{What: fmt.Sprintf("registration of %d hosts (%d are ready)", want, have), After: readyLimit}
		}
		if !sleep(ctx, p.Clock, readyPollInterval) {
			return ctx.Err()
		}
	}
}

// measure waits for the settle time and returns the resource usage of the
// processes during the measurement.
func measure(ctx context.Context, c clock.Clock, diagnostics []string, settle, length time.Duration) ([]Usage, error) {
	if !sleep(ctx, c, settle) {
		return nil, ctx.Err()
	}
	before, err := Scrape(ctx, diagnostics)
	if err != nil {
		return nil, err
	}
	if !sleep(ctx, c, length) {
		return nil, ctx.Err()
	}
	after, err := Scrape(ctx, diagnostics)
	if err != nil {
		return nil, err
	}
	return UsageBetween(before, after), nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-c.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Failed is false: the measurement checks no guarantees.
func (FleetReport) Failed() bool { return false }
