package load

import (
	"strconv"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// urgentStartLimit is the start latency that docs/design.md allows for
	// urgent work.
	urgentStartLimit = 1600 * time.Millisecond
	// otherStartLimit is the start latency that this tool counts as in time for
	// other work.
	otherStartLimit = 30 * time.Second
)

// DefaultMix returns the sample kinds with run times a few times shorter than
// declared, so that requests of each kind finish within a short run. At
// 50 requests/s it uses about a third of the slots of scripts/local-region.
func DefaultMix() []Mix {
	mix := []Mix{
		{Weight: 30, RunTime: 200 * time.Millisecond, InTime: urgentStartLimit},
		{Weight: 15, RunTime: 500 * time.Millisecond, InTime: otherStartLimit},
		{Weight: 15, RunTime: 300 * time.Millisecond, InTime: otherStartLimit, NonIdempotent: true},
		{Weight: 5, RunTime: 2 * time.Second, InTime: otherStartLimit},
		{Weight: 20, RunTime: 100 * time.Millisecond, InTime: urgentStartLimit, NonIdempotent: true},
		{Weight: 15, RunTime: 200 * time.Millisecond, InTime: otherStartLimit, NonIdempotent: true},
	}
	for i := range mix {
		mix[i].Kind = SampleKinds[i]
	}
	return mix
}

// ParseMix parses "kind[=weight[:run time]],...". Omitted weights and run times
// are those of the default mix; an empty text is the whole default mix.
func ParseMix(text string) ([]Mix, error) {
	all := DefaultMix()
	if text == "" {
		return all, nil
	}
	var out []Mix
	for _, part := range strings.Split(text, ",") {
		name, rest, _ := strings.Cut(part, "=")
		weight, run, _ := strings.Cut(rest, ":")
		found := false
		for _, m := range all {
			if m.Kind.Name != name {
				continue
			}
			found = true
			var err error
			if weight != "" {
				if m.Weight, err = strconv.ParseFloat(weight, 64); err != nil || m.Weight <= 0 {
					return nil, &fault.Invalid{Field: "weight of " + name, Reason: "is not a positive number"}
				}
			}
			if run != "" {
				if m.RunTime, err = time.ParseDuration(run); err != nil || m.RunTime < 0 {
					return nil, &fault.Invalid{Field: "run time of " + name, Reason: "is not a duration"}
				}
			}
			out = append(out, m)
		}
		if !found {
			return nil, &fault.Invalid{Field: "kind", Reason: strconv.Quote(name) + " is not one of examples/records.toml"}
		}
	}
	return out, nil
}
