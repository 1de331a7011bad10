package work

import (
	"slices"
	"strconv"

	"agatehaven.dev/agatehaven/internal/fault"
)

func (s *state) addWave(w *Wave) *Result {
	if s.Waves[w.ID] != nil {
		return &Result{}
	}
	if len(w.Hosts) > MaxHosts {
		return &Result{Err: &fault.Invalid{Field: "hosts of a wave", Reason: "too many", Allowed: "up to " + strconv.Itoa(MaxHosts)}}
	}
	w.StartedMS = s.NowMS
	w.initMaps()
	s.Waves[w.ID] = w
	return &Result{}
}

func (s *state) waveStep(r *WaveStep) error {
	w := s.Waves[r.Wave]
	if w == nil || !slices.Contains(w.Hosts, r.Host) {
		return &fault.NotFound{Kind: "host of a wave", Name: r.Host}
	}
	switch r.Kind {
	case MaintenanceOrdered:
		if _, again := w.Ordered[r.Host]; !again && w.Down() >= w.MaxDown {
			return &fault.Precondition{What: "maintenance of " + r.Host, Reason: "the wave has enough hosts down"}
		}
		w.Ordered[r.Host] = s.NowMS
	case MaintenanceRefused:
		if _, begun := w.Begun[r.Host]; !begun {
			delete(w.Ordered, r.Host)
		}
	case MaintenanceBegun:
		w.Begun[r.Host] = s.NowMS
	case MaintenanceReturned:
		w.Returned[r.Host] = true
	case MaintenanceGone:
		w.Hosts = slices.DeleteFunc(w.Hosts, func(h string) bool { return h == r.Host })
		delete(w.Ordered, r.Host)
	}
	return nil
}
