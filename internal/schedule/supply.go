package schedule

import (
	"cmp"
	"slices"
)

// Supply is CPU that a pool has, or will get.
type Supply struct {
	// InMS is in how many ms the pool has it; 0 for what it has now.
	InMS int64
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
}

// TimeFor returns in how many ms hosts that come one after the other have done some work, in
// thousandths of a core times ms.
func TimeFor(work float64, supplies []Supply) float64 {
	order := slices.SortedFunc(slices.Values(supplies), func(a, b Supply) int { return cmp.Compare(a.InMS, b.InMS) })
	at, rate := 0.0, 0.0
	for _, s := range order {
		if from := float64(s.InMS); from > at {
			done := rate * (from - at)
			if done >= work {
				break
			}
			work, at = work-done, from
		}
		rate += UsableShare * float64(s.MilliCPU)
	}
	return at + work/max(1, rate)
}
