package wave

import (
	"cmp"
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/model"
)

// startSteps starts as many steps as the floor and the wave's limit allow, and
// ends the wave when no host is left.
func (d *decision) startSteps() {
	candidates, awaited := d.remaining()
	total := len(candidates) + len(awaited)
	for len(candidates) > 0 && d.canStartStep() {
		i, rackOut := d.bestCandidate(candidates)
		if i < 0 {
			d.addAction(Wait, "", "every further host would take the last available one of its rack while a step there is open")
			break
		}
		h := candidates[i]
		name := h.Host.Info.Name
		d.addAction(Drain, name, fmt.Sprintf("%d available hosts, floor %d, %d open steps, rack %s has %d of the pool's hosts out",
			d.availableHosts(), d.Floor, d.openSteps, h.Host.Info.Rack, rackOut))
		d.unavailable[name] = true
		d.openSteps++
		candidates = slices.Delete(candidates, i, i+1)
	}
	switch {
	case total > 0:
		d.borrow(total)
		if len(candidates) == 0 && d.openSteps == 0 {
			d.addAction(Wait, "", fmt.Sprintf("%d hosts are not ready yet, the first is %s", len(awaited), awaited[0]))
		}
	default:
		d.finishWave("every host of the pool had its step or is out of service")
	}
}

// remaining returns the hosts that can start their step now and the names of
// those that may become ready. The wave does not wait for a host that has been
// out of service for longer than its return limit.
func (d *decision) remaining() (candidates []HostView, awaited []string) {
	for _, h := range d.Hosts {
		name := h.Host.Info.Name
		switch {
		case h.Host.Pool != d.Wave.Pool || h.Host.Wave == d.Wave.Name ||
			slices.Contains(d.Progress.Done, name) || slices.Contains(d.Progress.Failed, name) ||
			slices.Contains(d.Progress.Skipped, name):
		case h.Host.State == model.HostReady && h.Fresh(d.Now, d.Settings.LeaseMS):
			candidates = append(candidates, h)
		case h.Host.State == model.HostReady || d.Now.WallMillis-h.Host.Since.WallMillis <= int64(d.Wave.ReturnLimitMS):
			awaited = append(awaited, name)
		}
	}
	return candidates, awaited
}

// canStartStep reports whether one more host may be taken out of service.
func (d *decision) canStartStep() bool {
	return d.availableHosts()-1 >= d.Floor && (d.Wave.MaxConcurrent == 0 || d.openSteps < d.Wave.MaxConcurrent)
}

// rackCounts holds numbers of the pool's hosts in one rack.
type rackCounts struct {
	available  int
	out        int // not available, including returning
	returning  int // in a step, or ready but silent: expected to return
	candidates int // can start a step now
}

// countRacks counts the hosts of the wave's pool by rack.
func (d *decision) countRacks(candidates []HostView) map[string]*rackCounts {
	racks := make(map[string]*rackCounts)
	for _, h := range d.Hosts {
		if h.Host.Pool != d.Wave.Pool {
			continue
		}
		r := racks[h.Host.Info.Rack]
		if r == nil {
			r = &rackCounts{}
			racks[h.Host.Info.Rack] = r
		}
		switch {
		case !d.unavailable[h.Host.Info.Name]:
			r.available++
		case h.Host.Wave == d.Wave.Name || h.Host.State == model.HostReady:
			r.returning++
			r.out++
		default:
			r.out++
		}
	}
	for _, h := range candidates {
		racks[h.Host.Info.Rack].candidates++
	}
	return racks
}

// bestCandidate returns the index of the best candidate and the number of hosts
// out in its rack. The index is -1 if every candidate is the last available host
// of a rack in which another host is expected back: the wave waits for that one
// first. Candidates are ordered by:
//
//   - the fewest hosts out in the rack;
//   - the least patient work left, since longer work may end by itself before
//     its host is chosen, which costs neither a wait nor a move;
//   - the most candidates in the rack, so that the last hosts of the wave are
//     spread over racks and can be out at the same time.
func (d *decision) bestCandidate(candidates []HostView) (index, rackOut int) {
	racks := d.countRacks(candidates)
	compare := func(a, b HostView) int {
		ra, rb := racks[a.Host.Info.Rack], racks[b.Host.Info.Rack]
		return cmp.Or(cmp.Compare(ra.out, rb.out), cmp.Compare(a.PatientMS, b.PatientMS), cmp.Compare(rb.candidates, ra.candidates),
			cmp.Compare(a.Host.Info.Name, b.Host.Info.Name))
	}
	index = -1
	for i, h := range candidates {
		r := racks[h.Host.Info.Rack]
		if r.available == 1 && r.returning > 0 {
			continue
		}
		if index < 0 || compare(h, candidates[index]) < 0 {
			index, rackOut = i, r.out
		}
	}
	return index, rackOut
}

// borrow moves a spare host into the pool if that is worthwhile by the weights.
// Hosts that are still moving into the pool count as arrived, so that the next
// decision does not borrow again.
func (d *decision) borrow(remaining int) {
	concurrent := d.availableHosts() + d.openSteps - d.Floor
	for _, h := range d.Hosts {
		if h.Host.MoveTo == d.Wave.Pool {
			concurrent++
		}
	}
	limit := d.Wave.MaxConcurrent
	if d.Desired == 0 || limit > 0 && concurrent >= limit {
		return
	}
	stepMS := d.StepMS
	if stepMS == 0 {
		stepMS = d.Settings.StepMS
	}
	if !d.Settings.shouldBorrow(remaining, concurrent, stepMS) {
		return
	}
	if h, ok := d.pickSpare(); ok {
		d.addAction(Borrow, h.Host.Info.Name, fmt.Sprintf("a further host raises the concurrency from %d for %d remaining hosts", concurrent, remaining))
		d.actions[len(d.actions)-1].Pool = d.Wave.Pool
		return
	}
	if concurrent <= 0 {
		d.addAction(Wait, "", "the floor allows no removal and no spare host is available")
	}
}

// pickSpare returns an idle host of a spare pool that is above its floor,
// preferably from the rack with the fewest hosts of the wave's pool.
func (d *decision) pickSpare() (HostView, bool) {
	ready, inRack := make(map[string]int), make(map[string]int)
	for _, h := range d.Hosts {
		if d.isAvailable(h) {
			ready[h.Host.Pool]++
		}
		if h.Host.Pool == d.Wave.Pool {
			inRack[h.Host.Info.Rack]++
		}
	}
	var best HostView
	found := false
	for _, h := range d.Hosts {
		floor, isSpare := d.SpareFloors[h.Host.Pool]
		if !isSpare || h.Host.Pool == d.Wave.Pool || !d.isAvailable(h) || !h.Idle || ready[h.Host.Pool]-1 < floor {
			continue
		}
		if !found || inRack[h.Host.Info.Rack] < inRack[best.Host.Info.Rack] {
			best, found = h, true
		}
	}
	return best, found
}
