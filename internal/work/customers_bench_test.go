package work_test

import (
	"fmt"
	"strconv"
	"testing"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/customer"
	"agatehaven.dev/agatehaven/internal/replica"
	"agatehaven.dev/agatehaven/internal/work"
)

// BenchmarkConfigure applies a configuration with the customers of the region to come, each
// with ten keys, and reports the size of its log entry.
func BenchmarkConfigure(b *testing.B) {
	for _, customers := range []int{0, 480} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			c := &work.Configuration{Pools: []work.Pool{{Name: "desk"}}}
			for i := range customers {
				owner := work.Customer{Name: "customer-" + strconv.Itoa(i), Weight: 1}
				for k := range 10 {
					owner.Keys = append(owner.Keys, customer.Digest(fmt.Sprintf("key-%d-%d", i, k)))
				}
				c.Customers = append(c.Customers, owner)
			}
			m := work.New()
			for b.Loop() {
				c.Version++
				data, err := codec.Marshal(&work.Command{Configure: c})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "B/entry")
				m.Apply(replica.Entry{Index: c.Version, Term: 1, Data: data})
			}
		})
	}
}
