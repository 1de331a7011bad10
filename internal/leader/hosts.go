package leader

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// fleet is the leader's view of the hosts. The leader's mutex guards it.
type fleet struct {
	hosts map[string]*host
	// listedAt is when the platform's list was read; stale is set if it has to be read
	// again.
	listedAt time.Time
	stale    bool
	// spare holds the movable hosts that no pool needs.
	spare map[string]bool
	// attainableCPU is the CPU that each pool can get, in thousandths of a core.
	attainableCPU map[string]int64
	// supplies holds when each pool has the CPU that it can get.
	supplies map[string][]schedule.Supply
	// demandMet holds the pools that have the hosts that their CPU demand asks for.
	demandMet map[string]bool
	// thoroughAt is when it was last looked at whether tasks need the hosts of a wave.
	thoroughAt time.Time
	// sizesLoggedAt is when the sizes of the pools were last logged.
	sizesLoggedAt time.Time
	// away holds the unreachable data centres, as of awayAt.
	away   map[string]bool
	awayAt time.Time
	// inMaintenance holds since when this leader has known that the maintenance of a host has
	// begun, until the host is back.
	inMaintenance map[waveStep]time.Time
	// tokensIssued counts the platform tokens of this term.
	tokensIssued uint64
}

// host is the leader's view of one host.
type host struct {
	state HostState
	// reserved is why the host gets no new runs; empty if it does.
	reserved string
	// movesTo is the pool to which a host moves that is reserved for a move.
	movesTo string
	// away is when a host that is moved or maintained is expected back; zero otherwise.
	away time.Time
	// endedTarget is the key of the target that the last order ended.
	endedTarget string
	// orderPending is set while an order to the platform is in progress.
	orderPending bool
	// idleSince is since when nothing has run on the host.
	idleSince time.Time
	// refusals counts the orders in a row that the platform did not accept. No order is
	// sent before retryAt.
	refusals int
	retryAt  time.Time
	// unlisted is set if the platform's last list lacks the host.
	unlisted bool
	// drainAgainAt is until when the host is not emptied for maintenance.
	drainAgainAt time.Time
	// stuckSince is since when the host, which is to be maintained, cannot be emptied; zero if
	// it can. stuckLoggedAt is when that was last logged.
	stuckSince, stuckLoggedAt time.Time
}

// noteRefusal records that the platform did not accept an order.
func (h *host) noteRefusal(now time.Time) {
	h.refusals++
	hostOrdersRefused.Inc()
	h.retryAt = now.Add(min(orderBackoff<<min(h.refusals-1, 8), maxOrderBackoff))
}

func newFleet() fleet {
	return fleet{hosts: map[string]*host{}, inMaintenance: map[waveStep]time.Time{}}
}

// isMoving reports whether a host moves between pools.
func (f *fleet) isMoving() bool {
	for _, h := range f.hosts {
		if h.reserved == reservedMove {
			return true
		}
	}
	return false
}

// isInMaintenance reports whether a host is in maintenance.
func (f *fleet) isInMaintenance(host string) bool {
	for step := range f.inMaintenance {
		if step.host == host {
			return true
		}
	}
	return false
}

// hostsInMaintenance returns the hosts in maintenance.
func (f *fleet) hostsInMaintenance() map[string]bool {
	hosts := map[string]bool{}
	for step := range f.inMaintenance {
		hosts[step.host] = true
	}
	return hosts
}

// reserved reports whether a host gets no new runs.
func (f *fleet) reserved(name string) bool {
	h := f.hosts[name]
	return h != nil && h.reserved != ""
}

// meetsAny reports whether a host, when empty, meets one of the needs. The policy is asked
// about the targets of a pool only, so other hosts meet no need that it has to permit. The
// mutex is held.
func (l *Leader) meetsAny(name string, needs []schedule.Need) bool {
	h := l.fleet.hosts[name]
	return h != nil && slices.ContainsFunc(needs, func(n schedule.Need) bool {
		permitted := n.Policy == (work.TaskRef{}) || l.permits.allowed(n.Policy, h.state.TargetID)
		return permitted && n.MetBy(schedule.HostType{Resources: h.state.Resources, Labels: h.state.Labels})
	})
}

// hostTypes returns the types of hosts, the most frequent first.
func (f *fleet) hostTypes() []schedule.HostType {
	type key struct {
		resources work.Demand
		labels    string
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
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(b.resources.MilliCPU, a.resources.MilliCPU),
			cmp.Compare(b.resources.MemoryMB, a.resources.MemoryMB), cmp.Compare(a.labels, b.labels))
	}) {
		out = append(out, schedule.HostType{Resources: k.resources, Labels: labels[k]})
	}
	return out
}

// host returns the entry of a host and creates it if needed.
func (f *fleet) host(name string) *host {
	h := f.hosts[name]
	if h == nil {
		h = &host{state: HostState{Host: name}}
		f.hosts[name] = h
	}
	return h
}
