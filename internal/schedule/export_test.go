package schedule

import (
	"cmp"

	"agatehaven.dev/agatehaven/internal/work"
)

// SetHostOrder replaces the order in which hosts are chosen for a task.
func (r *Request) SetHostOrder(isBetter func(s *work.Step, a, b *Host) bool) { r.hostOrder = isBetter }

// SetJobCost lets jobs of equal urgency with the lowest cost come first, instead of those with
// the earliest latest start.
func (r *Request) SetJobCost(cost func(j *work.Job, remainingMS int64) float64) {
	r.jobOrder = func(a, b *urgency) int { return cmp.Compare(cost(a.job, a.remainingMS), cost(b.job, b.remainingMS)) }
}
