package replica_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/replica"
)

// counter is a state machine that only counts entries.
type counter struct{ n int }

func (c *counter) Apply(replica.Entry) any   { c.n++; return nil }
func (c *counter) Snapshot() ([]byte, error) { return []byte{1}, nil }
func (c *counter) Restore([]byte) error      { return nil }

// startGroup starts three replicas with real files and the system clock, and
// returns the leader.
func startGroup(b *testing.B) *replica.Replica {
	b.Helper()
	c := &cluster{running: map[string]*replica.Replica{}, partitioned: map[string]bool{}}
	hosts := []string{"a", "b", "c"}
	for _, h := range hosts {
		r, err := replica.Start(context.Background(), replica.Config{
			Group: "east", Self: replica.Member{Host: h}, Bootstrap: members(hosts...), Dir: b.TempDir(),
			Transport: transport{c: c, from: h}, StateMachine: &counter{},
		})
		if err != nil {
			b.Fatal(err)
		}
		c.mu.Lock()
		c.running[h] = r
		c.mu.Unlock()
		b.Cleanup(func() {
			if err := r.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
		})
	}
	for {
		for _, h := range hosts {
			if s := c.running[h].Status(); s.Role == replica.RoleLeader && s.Committed > 0 {
				return c.running[h]
			}
		}
		<-clock.System{}.After(10 * time.Millisecond)
	}
}

// BenchmarkCommit measures the commit rate of a group of three on one disk.
// batch is the number of concurrent proposals.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{256, 4096} {
		for _, batch := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("bytes=%d/batch=%d", size, batch), func(b *testing.B) {
				leader := startGroup(b)
				data := make([]byte, size)
				b.ResetTimer()
				for b.Loop() {
					var group sync.WaitGroup
					for range batch {
						group.Go(func() {
							if _, err := leader.Propose(context.Background(), data); err != nil {
								b.Error(err)
							}
						})
					}
					group.Wait()
				}
				b.ReportMetric(float64(b.N*batch)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// BenchmarkIdle measures the CPU time of an idle group of three in one process,
// in percent of one core. Run it with -benchtime=1x.
func BenchmarkIdle(b *testing.B) {
	startGroup(b)
	const period = 10 * time.Second
	for b.Loop() {
		before := processorTime(b)
		<-clock.System{}.After(period)
		b.ReportMetric(100*(processorTime(b)-before).Seconds()/period.Seconds(), "%core")
	}
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
