// Package placement decides which queued requests start on which hosts. It is
// a pure function from the state of a data centre to decisions with reasons;
// the ledger checks every decision again when it is applied.
package placement

import (
	"time"

	"agatehaven.dev/agatehaven/internal/model"
)

// Request is a queued request that may start now.
type Request struct {
	Key      string
	Pool     string
	Team     string
	Priority model.Priority
	// Waiting is the time since the claim.
	Waiting time.Duration
	// Slack is the time left until the deadline; 0 means no deadline.
	Slack time.Duration
	// RunTime is the estimated run time; 0 means unknown.
	RunTime                           time.Duration
	CPUMillis, MemoryMB, Accelerators int
	// Avoid names hosts of earlier attempts, used only if no other host fits.
	Avoid []string
}

// Host is a host with its capacity and what running attempts hold of it.
type Host struct {
	Name string
	Pool string
	Rack string
	// Available is set for a ready host that is not leaving.
	Available                         bool
	Slots                             int
	CPUMillis, MemoryMB, Accelerators int
	UsedSlots                         int
	UsedCPUMillis, UsedMemoryMB       int
	UsedAccelerators                  int
}

// Pool is what placement needs to know about a pool.
type Pool struct {
	// Spare marks a pool whose hosts repair other pools.
	Spare bool
	// ServesUrgent is set if one of its job kinds is urgent.
	ServesUrgent bool
	// Running counts the pool's running requests by priority.
	Running map[model.Priority]int
}

// Input is the state that a plan is made from.
type Input struct {
	// Queued holds the requests of each pool and priority in queue order.
	Queued []Request
	Hosts  []Host
	Pools  map[string]Pool
	// TeamRunning and TeamLimit count running requests; a team without a
	// limit is not bounded.
	TeamRunning map[string]int
	TeamLimit   map[string]int
}

// HostOrder selects the host among those that fit.
type HostOrder int

// Orders of hosts.
const (
	// OrderRack takes the least loaded rack, then its least loaded host, so
	// that the loss of a rack interrupts the fewest requests.
	OrderRack HostOrder = iota
	// OrderHost takes the least loaded host.
	OrderHost
	// OrderFirst takes the first host by name.
	OrderFirst
)

// Policy holds the settings of placement.
type Policy struct {
	// UrgentReserve is the fraction of a pool's slots kept for urgent work.
	// Running urgent requests use it up.
	UrgentReserve float64
	// AgedShare is the fraction of a pool's slots, at least one, that aged
	// normal and aged patient requests may each hold before urgent ones are
	// served. It keeps a steady urgent load from starving them.
	AgedShare float64
	// AgeAfter is the waiting time after which a request is aged. A request
	// whose slack is below agedSlackRuns run times is aged as well.
	AgeAfter time.Duration
	// HoldAfter is the waiting time after which a request larger than one
	// slot's part of a host keeps one host free of other non-urgent work until
	// it fits; 0 never holds a host.
	HoldAfter time.Duration
	// LendSpare and LendPools allow requests to run on idle hosts of spare
	// pools and of other pools without moving the hosts.
	LendSpare bool
	LendPools bool
	// LendReserve is the fraction of its slots that a lending pool keeps free.
	LendReserve float64
	// LendMaxRunTime bounds the estimated run time of lent work, so that a lender
	// gets its slots back soon.
	LendMaxRunTime time.Duration
	Order          HostOrder
}

// agedSlackRuns is the number of run times that must fit before the deadline:
// one for the run and two for an estimate that is too small.
const agedSlackRuns = 3

// DefaultPolicy returns the default settings. Lending follows the figures of
// internal/experiment. There the urgent reserve shortens the start of urgent
// work only without lending (p99 475 ms to 368 ms); it is kept for times when
// no other pool is idle.
func DefaultPolicy() Policy {
	return Policy{
		UrgentReserve:  0.1,
		AgedShare:      0.05,
		AgeAfter:       30 * time.Second,
		HoldAfter:      time.Minute,
		LendSpare:      true,
		LendPools:      true,
		LendReserve:    0.25,
		LendMaxRunTime: 10 * time.Second,
		Order:          OrderRack,
	}
}

// Decision places one request.
type Decision struct {
	Key  string
	Host string
	// LentBy is the pool of the host if it is not the request's own.
	LentBy string
	Reason string
}

// Parked is a request that fits no host of its pool even when idle.
type Parked struct{ Key, Reason string }

// WaitCount counts the requests that stay queued for one reason.
type WaitCount struct {
	Pool     string
	Priority model.Priority
	Reason   string
	Count    int
}

// Plan is the result of placement.
type Plan struct {
	Decisions []Decision
	Parked    []Parked
	// Waits are ordered by pool, priority and reason.
	Waits []WaitCount
}

// Fits reports whether the request fits at least one of the hosts when idle,
// whatever their state. It decides whether a parked request returns.
func Fits(r *Request, hosts []Host) bool {
	for i := range hosts {
		h := &hosts[i]
		if h.Pool == r.Pool && fitsIdle(r, h) {
			return true
		}
	}
	return false
}

func fitsIdle(r *Request, h *Host) bool {
	return h.Slots > 0 && r.CPUMillis <= h.CPUMillis && r.MemoryMB <= h.MemoryMB && r.Accelerators <= h.Accelerators
}

func fitsNow(r *Request, h *Host) bool {
	return h.UsedSlots < h.Slots &&
		h.UsedCPUMillis+r.CPUMillis <= h.CPUMillis &&
		h.UsedMemoryMB+r.MemoryMB <= h.MemoryMB &&
		h.UsedAccelerators+r.Accelerators <= h.Accelerators
}
