package load

import (
	"strconv"
	"strings"
	"time"

	"agatehaven.dev/agatehaven/internal/fault"
)

const (
	// urgentStart is the limit of docs/design.md for the start of urgent work.
	urgentStart = 1600 * time.Millisecond
	// otherStart is the limit that this tool sets for other work.
	otherStart = 30 * time.Second
)

// DefaultMix returns the sample kinds with run times a few times shorter than
// declared, so that short runs see each kind finish. At 50 requests/s it uses
// about a third of the slots of scripts/local-region.
func DefaultMix() []Mix {
	mix := []Mix{
		{Weight: 30, Run: 200 * time.Millisecond, InTime: urgentStart},
		{Weight: 15, Run: 500 * time.Millisecond, InTime: otherStart},
		{Weight: 15, Run: 300 * time.Millisecond, InTime: otherStart, Once: true},
		{Weight: 5, Run: 2 * time.Second, InTime: otherStart},
		{Weight: 20, Run: 100 * time.Millisecond, InTime: urgentStart, Once: true},
		{Weight: 15, Run: 200 * time.Millisecond, InTime: otherStart, Once: true},
	}
	for i := range mix {
		mix[i].Kind = SampleKinds[i]
	}
	return mix
}

// ParseMix reads "kind[=weight[:run time]],..." and takes what is left out
// from the default mix.
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
				if m.Run, err = time.ParseDuration(run); err != nil || m.Run < 0 {
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
