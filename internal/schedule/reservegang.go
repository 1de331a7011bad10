package schedule

import (
	"cmp"
	"slices"

	"agatehaven.dev/agatehaven/internal/work"
)

// keepForGang keeps places for all members of a gang on the hosts that will be the first to
// have room for them at the same time. The places of the last plan stay if they come free in
// time.
func (r *Request) keepForGang(p *pool, b *blockedStep, held []Kept, moves int) {
	candidates := slices.DeleteFunc(slices.Clone(p.hosts), func(h *Host) bool { return !r.mayKeep(h, b) })
	if gangRoom(candidates, b, r.NowMS) >= len(b.tasks) {
		return // it waits for something else than room
	}
	if len(held) > 0 {
		promised := held[0].PromisedMS
		chosen := slices.DeleteFunc(slices.Clone(candidates), func(h *Host) bool {
			return !slices.ContainsFunc(held, func(k Kept) bool { return k.Target == h.Target.Key() })
		})
		if at, ok := r.gangFreeAt(chosen, b); ok && at <= promised+r.slip(b) {
			r.keepGangPlaces(p, chosen, b, spot{atMS: at, promisedMS: promised, moves: moves})
			return
		}
		r.PlaceCounts.GivenUp += len(held)
		moves++
	}
	if at, ok := r.gangFreeAt(candidates, b); ok {
		r.PlaceCounts.Kept += r.keepGangPlaces(p, candidates, b, spot{atMS: at, promisedMS: at, moves: moves})
	}
}

// gangRoom returns for how many members of a gang hosts are expected to have room at a time.
func gangRoom(hosts []*Host, b *blockedStep, atMS int64) (members int) {
	for _, h := range hosts {
		if members >= len(b.tasks) {
			break
		}
		members += h.roomLater(b, atMS)
	}
	return members
}

// roomLater returns for how many tasks of a blocked step a host is expected to have room at a
// time.
func (h *Host) roomLater(b *blockedStep, atMS int64) (n int) {
	trial, s := *h, b.step()
	trial.Free = h.freeAt(atMS)
	for n < len(b.tasks) && trial.Obstacle(b.job, b.tasks[n], s, n) == "" {
		trial.add(s, 1)
		n++
	}
	return n
}

// gangFreeAt returns when hosts are expected to have room for all members of a gang.
func (r *Request) gangFreeAt(hosts []*Host, b *blockedStep) (atMS int64, ok bool) {
	times := []int64{r.NowMS}
	for _, h := range hosts {
		for _, e := range h.ends {
			times = append(times, max(e.atMS, r.NowMS))
		}
	}
	slices.Sort(times)
	times = slices.Compact(times)
	i, _ := slices.BinarySearchFunc(times, len(b.tasks), func(at int64, members int) int {
		if gangRoom(hosts, b, at) < members {
			return -1
		}
		return 1
	})
	if i == len(times) {
		return 0, false
	}
	return times[i], true
}

// keepGangPlaces keeps places for all members of a gang on as few hosts as possible, and
// returns on how many. It keeps none if the pool may not keep as many.
func (r *Request) keepGangPlaces(p *pool, hosts []*Host, b *blockedStep, at spot) (kept int) {
	type candidate struct {
		host    *Host
		members int
	}
	var best []candidate
	for _, h := range hosts {
		if n := h.roomLater(b, at.atMS); n > 0 {
			best = append(best, candidate{h, n})
		}
	}
	slices.SortFunc(best, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.members, a.members), cmp.Compare(a.host.Target.ID, b.host.Target.ID))
	})
	left := len(b.tasks)
	for i := range best {
		best[i].members = min(best[i].members, left)
		if left -= best[i].members; left == 0 {
			best = best[:i+1]
			break
		}
	}
	if p.places > 0 && p.places+len(best) > r.MaxKept {
		return 0
	}
	for _, c := range best {
		at.tasks = c.members
		r.keep(p, c.host, b, at)
	}
	return len(best)
}

// freeAt returns what is expected to be free on a host at a time.
func (h *Host) freeAt(atMS int64) work.Demand {
	free := h.Free
	for _, e := range h.ends {
		if e.atMS <= atMS {
			free = free.Add(e.frees)
		}
	}
	return free
}
