package inventory_test

import (
	"fmt"
	"testing"

	"agatehaven.dev/agatehaven/internal/model"
)

// benchHosts is the number of hosts that one of nine data centres is expected
// to have in two years.
const benchHosts = 622

func benchFleet(b *testing.B) *fleet {
	f := newFleet(1)
	for i := range benchHosts {
		if res, _ := f.do(register(fmt.Sprintf("h%03d", i), "i1", "render")); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
	return f
}

// BenchmarkApplyLostAndBack applies the loss and the return of a host.
func BenchmarkApplyLostAndBack(b *testing.B) {
	f := benchFleet(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		host := fmt.Sprintf("h%03d", i%benchHosts)
		if res, _ := f.do(markLost(host)); res.Err != nil {
			b.Fatal(res.Err)
		}
		if res, _ := f.do(register(host, "i1", "render")); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
}

// BenchmarkApplyDrain applies an operator's drain, which counts the available
// hosts against the floor, and its end.
func BenchmarkApplyDrain(b *testing.B) {
	f := benchFleet(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		host := fmt.Sprintf("h%03d", i%benchHosts)
		if res, _ := f.do(drain(host, "", "")); res.Err != nil {
			b.Fatal(res.Err)
		}
		if res, _ := f.do(resume(host)); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
}

// BenchmarkHosts copies all hosts, as queries do.
func BenchmarkHosts(b *testing.B) {
	f := benchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		if len(f.Hosts()) != benchHosts {
			b.Fatal("hosts are missing")
		}
	}
}

// BenchmarkEach visits all hosts without copies, as the leader's loops do.
func BenchmarkEach(b *testing.B) {
	f := benchFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		f.Each(func(h *model.Host) {
			if h.State == model.HostReady {
				n++
			}
		})
		if n != benchHosts {
			b.Fatal("hosts are missing")
		}
	}
}
