package wave

import (
	"cmp"
	"fmt"
	"slices"

	"agatehaven.dev/agatehaven/internal/model"
)

// startSteps drains as many hosts as the floor and the wave's own limit allow
// and ends the wave when no host is left.
func (d *decision) startSteps() {
	candidates, awaited := d.remaining()
	total := len(candidates) + len(awaited)
	for len(candidates) > 0 && d.room() {
		i, rackOut := d.next(candidates)
		if i < 0 {
			d.add(Wait, "", "every further host would take the last available one of its rack while a step there is open")
			break
		}
		h := candidates[i]
		name := h.Host.Info.Name
		d.add(Drain, name, fmt.Sprintf("%d available hosts, floor %d, %d open steps, rack %s has %d of the pool's hosts out",
			d.readyHosts(), d.Floor, d.open, h.Host.Info.Rack, rackOut))
		d.out[name] = true
		d.open++
		candidates = slices.Delete(candidates, i, i+1)
	}
	switch {
	case total > 0:
		d.borrow(total)
		if len(candidates) == 0 && d.open == 0 {
			d.add(Wait, "", fmt.Sprintf("%d hosts are not ready yet, the first is %s", len(awaited), awaited[0]))
		}
	default:
		d.end("every host of the pool had its step or is out of service")
	}
}

// remaining returns the hosts that can start their step and the names of
// those that may become ready. A host that has been out of service for the
// wave's return limit is not waited for.
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

// room reports whether one more host may leave service.
func (d *decision) room() bool {
	return d.readyHosts()-1 >= d.Floor && (d.Wave.MaxConcurrent == 0 || d.open < d.Wave.MaxConcurrent)
}

// rack counts the hosts of the pool in one rack.
type rack struct {
	ready int // available
	out   int // out of service
	steps int // out of service for a step, or silent: likely to return
	left  int // candidates for a step
}

func (d *decision) racks(candidates []HostView) map[string]*rack {
	racks := make(map[string]*rack)
	for _, h := range d.Hosts {
		if h.Host.Pool != d.Wave.Pool {
			continue
		}
		r := racks[h.Host.Info.Rack]
		if r == nil {
			r = &rack{}
			racks[h.Host.Info.Rack] = r
		}
		switch {
		case !d.out[h.Host.Info.Name]:
			r.ready++
		case h.Host.Wave == d.Wave.Name || h.Host.State == model.HostReady:
			r.steps++
			r.out++
		default:
			r.out++
		}
	}
	for _, h := range candidates {
		racks[h.Host.Info.Rack].left++
	}
	return racks
}

// next returns the index of the best candidate and the hosts of its rack that
// are out, or -1 if each would take the last available host of a rack where a
// step is open: waiting for that step avoids it. Racks with the fewest hosts
// out come first. Among these, hosts with little patient work left come first:
// long work may end by itself before its host's turn, which costs neither a
// wait nor a move. Then come racks with the most hosts left, so that the last
// hosts of the wave are not all in one rack and can still be out together.
func (d *decision) next(candidates []HostView) (index, rackOut int) {
	racks := d.racks(candidates)
	compare := func(a, b HostView) int {
		ra, rb := racks[a.Host.Info.Rack], racks[b.Host.Info.Rack]
		return cmp.Or(cmp.Compare(ra.out, rb.out), cmp.Compare(a.PatientMS, b.PatientMS), cmp.Compare(rb.left, ra.left),
			cmp.Compare(a.Host.Info.Name, b.Host.Info.Name))
	}
	index = -1
	for i, h := range candidates {
		r := racks[h.Host.Info.Rack]
		if r.ready == 1 && r.steps > 0 {
			continue
		}
		if index < 0 || compare(h, candidates[index]) < 0 {
			index, rackOut = i, r.out
		}
	}
	return index, rackOut
}

// borrow moves a spare host into the pool if the weights favour it. Hosts on
// their way count as arrived, so that the next decision does not repeat it.
func (d *decision) borrow(remaining int) {
	concurrent := d.readyHosts() + d.open - d.Floor
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
	if !d.Settings.borrows(remaining, concurrent, stepMS) {
		return
	}
	if h, ok := d.spare(); ok {
		d.add(Borrow, h.Host.Info.Name, fmt.Sprintf("a further host raises the concurrency from %d for %d remaining hosts", concurrent, remaining))
		d.actions[len(d.actions)-1].Pool = d.Wave.Pool
		return
	}
	if concurrent <= 0 {
		d.add(Wait, "", "the floor allows no removal and no spare host is available")
	}
}

// spare returns an idle host of a spare pool above its floor, preferably in
// the rack with the fewest hosts of the wave's pool.
func (d *decision) spare() (HostView, bool) {
	ready, inRack := make(map[string]int), make(map[string]int)
	for _, h := range d.Hosts {
		if d.available(h) {
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
		if !isSpare || h.Host.Pool == d.Wave.Pool || !d.available(h) || !h.Idle || ready[h.Host.Pool]-1 < floor {
			continue
		}
		if !found || inRack[h.Host.Info.Rack] < inRack[best.Host.Info.Rack] {
			best, found = h, true
		}
	}
	return best, found
}
