package ctl

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"

	"agatehaven.dev/agatehaven/internal/leader"
	"agatehaven.dev/agatehaven/internal/link"
	"agatehaven.dev/agatehaven/internal/work"
)

func customersCommand(a *app) *subcommand {
	return &subcommand{
		app: a, name: "customers", synopsis: "show customers with their limits, runs and refusals",
		help: `
Shows each customer of the configuration: how many keys it has, its weight, its
limit, what its runs ask for, how many of its jobs have not begun, and how many
submissions the leader has refused since its election, with the reasons.
` + linkHelp,
		run: func(ctx context.Context, _ []string) error {
			var customers []leader.CustomerStatus
			err := a.callLeader(ctx, func(ctx context.Context, host *link.Client) (*link.Answer, error) {
				answer, err := host.Customers(ctx, &link.Empty{})
				if err != nil {
					return nil, err
				}
				customers = answer.Customers
				return &answer.Answer, nil
			})
			if err != nil {
				return err
			}
			if customers == nil {
				customers = []leader.CustomerStatus{}
			}
			return a.print(customers, func(t *tableWriter) { customerTable(t, customers) })
		},
	}
}

func customerTable(t *tableWriter, customers []leader.CustomerStatus) {
	t.row("CUSTOMER", "KEYS", "WEIGHT", "LIMIT", "RUNNING", "WAITING", "REFUSED", "WHY")
	for i := range customers {
		c := &customers[i]
		name := c.Name
		if c.Removed {
			name += " (removed)"
		}
		limit := "none"
		if c.Limit != (work.Demand{}) {
			limit = formatLimit(c.Limit)
		}
		t.row(name, c.Keys, formatWeight(c.Weight), limit, formatDemand(c.Running), c.Waiting, c.Refused.Sum(), refusalSummary(&c.Refused))
	}
}

// formatDemand formats a demand as cores, memory and GPUs.
func formatDemand(d work.Demand) string {
	text := formatCPU(d.MilliCPU) + " CPU, " + strconv.FormatInt(d.MemoryMB, 10) + " MB"
	if d.GPUs != 0 {
		text += ", " + strconv.FormatInt(d.GPUs, 10) + " GPU"
	}
	return text
}

// formatLimit formats the resources that have a limit.
func formatLimit(d work.Demand) string {
	var parts []string
	if d.MilliCPU != 0 {
		parts = append(parts, formatCPU(d.MilliCPU)+" CPU")
	}
	if d.MemoryMB != 0 {
		parts = append(parts, strconv.FormatInt(d.MemoryMB, 10)+" MB")
	}
	if d.GPUs != 0 {
		parts = append(parts, strconv.FormatInt(d.GPUs, 10)+" GPU")
	}
	return strings.Join(parts, ", ")
}

// formatWeight formats a weight, or a sum of weights without its rounding errors.
func formatWeight(w float64) string {
	const digits = 1e6
	return strconv.FormatFloat(math.Round(w*digits)/digits, 'f', -1, 64)
}

// formatCPU formats thousandths of a core as cores.
func formatCPU(millis int64) string {
	return strconv.FormatFloat(float64(millis)/1000, 'f', -1, 64)
}

// refusalSummary names the reasons of refusals with their numbers.
func refusalSummary(r *leader.Refusals) string {
	var parts []string
	for _, reason := range []struct {
		text  string
		count uint64
	}{
		{"beyond allowance", r.BeyondAllowance}, {"hopeless", r.Hopeless}, {"never fits", r.NeverFits}, {"region full", r.RegionFull},
	} {
		if reason.count > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d", reason.text, reason.count))
		}
	}
	return strings.Join(parts, ", ")
}
