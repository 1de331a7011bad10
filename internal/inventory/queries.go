package inventory

import (
	"cmp"
	"maps"
	"slices"

	"agatehaven.dev/agatehaven/internal/model"
)

// Host returns a copy of a host.
func (s *State) Host(name string) (model.Host, bool) {
	h, ok := s.hosts[name]
	if !ok {
		return model.Host{}, false
	}
	return *h, true
}

// Hosts returns copies of all hosts by name.
func (s *State) Hosts() []model.Host {
	return s.filterHosts(func(*model.Host) bool { return true })
}

// Len returns the number of hosts.
func (s *State) Len() int { return len(s.hosts) }

// Each calls fn with every host in unspecified order. The hosts are not
// copied, so fn must not change or keep them.
func (s *State) Each(fn func(*model.Host)) {
	for _, h := range s.hosts {
		fn(h)
	}
}

// InPool returns copies of the hosts of a pool by name, whatever their state.
func (s *State) InPool(pool string) []model.Host {
	return s.filterHosts(func(h *model.Host) bool { return h.Pool == pool })
}

// filterHosts returns copies of the matching hosts by name. It sorts pointers,
// since hosts are large to swap.
func (s *State) filterHosts(match func(*model.Host) bool) []model.Host {
	found := make([]*model.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if match(h) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b *model.Host) int { return cmp.Compare(a.Info.Name, b.Info.Name) })
	out := make([]model.Host, len(found))
	for i, h := range found {
		out[i] = *h
	}
	return out
}

// Available returns the number of ready hosts of a pool.
func (s *State) Available(pool string) int {
	n := 0
	for _, h := range s.hosts {
		if h.Pool == pool && h.State == model.HostReady {
			n++
		}
	}
	return n
}

// Wave returns a copy of the progress of a wave, and false if the wave has no
// progress yet.
func (s *State) Wave(name string) (model.WaveProgress, bool) {
	p, ok := s.waves[name]
	if !ok {
		return model.WaveProgress{}, false
	}
	return copyProgress(p), true
}

// Waves returns copies of the progress of all waves by name.
func (s *State) Waves() []model.WaveProgress {
	out := make([]model.WaveProgress, 0, len(s.waves))
	for _, name := range slices.Sorted(maps.Keys(s.waves)) {
		out = append(out, copyProgress(s.waves[name]))
	}
	return out
}

func copyProgress(p *model.WaveProgress) model.WaveProgress {
	out := *p
	out.Done, out.Failed = slices.Clone(p.Done), slices.Clone(p.Failed)
	out.Current, out.Lost = slices.Clone(p.Current), slices.Clone(p.Lost)
	out.Skipped, out.Carried = slices.Clone(p.Skipped), slices.Clone(p.Carried)
	out.Steps = maps.Clone(p.Steps)
	return out
}
