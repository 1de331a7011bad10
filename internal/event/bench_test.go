package event_test

import (
	"fmt"
	"testing"

	"agatehaven.dev/agatehaven/internal/event"
)

// BenchmarkMerge merges the events of seven processes, of which half are
// copies of the same group's events.
func BenchmarkMerge(b *testing.B) {
	const processes, perProcess = 7, 2048
	var lists [][]event.Event
	for p := range processes {
		var list []event.Event
		for i := range perProcess {
			group, index := "dc-a", uint64(i)
			if i%2 == 0 {
				group = fmt.Sprintf("host%d", p)
			}
			list = append(list, local(group, index, at(int64(i), uint32(p))))
		}
		lists = append(lists, list)
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(event.Merge(lists...)) == 0 {
			b.Fatal("no events")
		}
	}
}
