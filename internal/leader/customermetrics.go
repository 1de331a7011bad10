package leader

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"agatehaven.dev/agatehaven/internal/work"
)

// maxCustomerSeries bounds the customers that have metrics of their own. The others are
// summed.
const maxCustomerSeries = 50

// exportCustomers adds the customers to the process's metrics until the returned function is
// called. They are counted when the metrics are read.
func (l *Leader) exportCustomers() (stop func()) {
	set := metrics.NewSet()
	set.RegisterMetricsWriter(func(w io.Writer) { writeCustomerMetrics(w, l.Customers()) })
	metrics.RegisterSet(set)
	return func() { metrics.UnregisterSet(set, true) }
}

// writeCustomerMetrics writes the metrics of the customers with the greatest weights. Which
// ones these are changes with the configuration only, so that no series comes and goes with
// the load.
func writeCustomerMetrics(w io.Writer, customers []CustomerStatus) {
	customers = slices.DeleteFunc(slices.Clone(customers), func(c CustomerStatus) bool { return c.Removed })
	slices.SortStableFunc(customers, func(a, b CustomerStatus) int { return cmp.Compare(b.Weight, a.Weight) })
	own := customers[:min(len(customers), maxCustomerSeries)]
	for i := range own {
		writeCustomer(w, `customer="`+escapeLabel(own[i].Name)+`"`, &own[i])
	}
	if len(customers) <= len(own) {
		return
	}
	var others CustomerStatus
	for i := range customers[len(own):] {
		c := &customers[len(own)+i]
		others.Keys += c.Keys
		others.Weight += c.Weight
		others.Running = others.Running.Add(c.Running)
		others.Waiting += c.Waiting
		others.Refused.add(&c.Refused)
	}
	writeCustomer(w, `others="true"`, &others)
}

// writeCustomer writes the metrics of one customer, which label names.
func writeCustomer(w io.Writer, label string, c *CustomerStatus) {
	write := func(name, label string, value any) {
		// An error means that the reader of the metrics is gone.
		_, _ = fmt.Fprintf(w, "agatehaven_customer_%s{%s} %v\n", name, label, value)
	}
	demand := func(name string, d work.Demand) {
		write(name+"_cpu_millis", label, d.MilliCPU)
		write(name+"_memory_mb", label, d.MemoryMB)
		write(name+"_gpus", label, d.GPUs)
	}
	write("keys", label, c.Keys)
	write("weight", label, c.Weight)
	demand("running", c.Running)
	if c.Limit != (work.Demand{}) {
		demand("limit", c.Limit)
	}
	write("waiting_jobs", label, c.Waiting)
	for _, r := range []struct {
		reason string
		count  uint64
	}{
		{"beyond_allowance", c.Refused.BeyondAllowance}, {"hopeless", c.Refused.Hopeless},
		{"never_fits", c.Refused.NeverFits}, {"region_full", c.Refused.RegionFull},
	} {
		write("jobs_refused_total", label+`,reason="`+r.reason+`"`, r.count)
	}
}

// escapeLabel returns a value for use in a label of a metric.
func escapeLabel(value string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(value, "\uFFFD"))
}
