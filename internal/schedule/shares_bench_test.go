package schedule_test

import (
	"fmt"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/schedule"
	"agatehaven.dev/agatehaven/internal/work"
)

// Sizes of the region to come, for docs/CAPACITY.md.
const (
	benchCustomers = 480
	benchJobs      = 2000 // that wait in one full pool
	benchHosts     = 120
)

// BenchmarkPlan measures a plan of a full pool in which many jobs wait, with and without
// customers.
func BenchmarkPlan(b *testing.B) {
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	for _, customers := range []int{0, benchCustomers} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			r := fullPool(customers)
			for b.Loop() {
				schedule.Plan(r)
			}
		})
	}
}

// fullPool returns the request of a pool whose hosts are all taken.
func fullPool(customers int) *schedule.Request {
	var hosts []*schedule.Host
	for i := range benchHosts {
		id := strconv.Itoa(i)
		hosts = append(hosts, &schedule.Host{Target: &work.Target{ID: id, Host: id, Pool: "desk"}, Free: work.Demand{MilliCPU: 500}})
	}
	accounts := map[string]*schedule.Account{}
	for i := range customers {
		accounts[strconv.Itoa(i)] = &schedule.Account{Weight: 1}
	}
	r := &schedule.Request{
		NowMS: 1000, MaxStarts: 256, Accounts: accounts,
		Hosts:    func(string) []*schedule.Host { return hosts },
		Capacity: func(string) int64 { return benchHosts * 64_000 },
		Duration: func(*work.Job, int) int64 { return 1000 },
	}
	state := newPool()
	for range benchJobs {
		state.do(&work.Command{Submit: &work.Submission{
			ID: strconv.Itoa(len(r.Jobs)), Domain: "d", Path: "/q/", Spec: work.Spec{Steps: []work.Step{step(8, 6000)}},
		}})
		r.Jobs = append(r.Jobs, nil)
	}
	r.Jobs = r.Jobs[:0]
	state.stateMachine.Read(func(v *work.View) {
		for _, j := range v.Live {
			if customers > 0 {
				j.Customer = strconv.FormatUint(j.Sequence%uint64(customers), 10)
			}
			r.Jobs = append(r.Jobs, j)
		}
	})
	return r
}
