package core

import (
	"strconv"
	"strings"

	"agatehaven.dev/agatehaven/internal/work"
)

// maxLoggedSteps bounds the steps of a job that its log line describes.
const maxLoggedSteps = 8

// describeSteps returns the demand of the first steps of a job for its log line. Each step
// reads TASKSxMILLICPU/MEMORY_MB@ESTIMATE_MS, followed by "+" if it follows other steps and
// by "*" if its tasks are long-lived.
func describeSteps(steps []work.Step) string {
	var b strings.Builder
	for i := range steps[:min(len(steps), maxLoggedSteps)] {
		s := &steps[i]
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s.Tasks))
		for _, part := range []struct {
			prefix byte
			value  int64
		}{{'x', s.Demand.MilliCPU}, {'/', s.Demand.MemoryMB}, {'@', s.EstimateMS}} {
			b.WriteByte(part.prefix)
			b.WriteString(strconv.FormatInt(part.value, 10))
		}
		if len(s.After) > 0 {
			b.WriteByte('+')
		}
		if s.LongLived {
			b.WriteByte('*')
		}
	}
	return b.String()
}
