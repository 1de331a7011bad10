package event_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
)

var update = flag.Bool("update", false, "write golden files")

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RunSpecs(t, "event")
}

func at(ms int64, logical uint32) hlc.Time { return hlc.Time{WallMillis: ms, Logical: logical} }

func local(host string, index uint64, t hlc.Time) event.Event {
	return event.Event{ID: event.ID{Group: host, Index: index}, Time: t}
}

func indices(events []event.Event) []uint64 {
	var out []uint64
	for i := range events {
		out = append(out, events[i].ID.Index)
	}
	return out
}

var _ = Describe("Store", func() {
	It("overwrites the oldest events and counts them", func() {
		// Guards against a process whose memory grows with its events, and
		// against lost events that are not counted.
		s := event.NewStore(3)
		for i := range uint64(5) {
			s.Add(local("a", i, at(int64(i), 0)))
		}
		Expect(indices(s.Query(event.Filter{}))).To(Equal([]uint64{2, 3, 4}))
		Expect(s.Len()).To(Equal(3))
		Expect(s.Dropped()).To(BeEquivalentTo(2))
	})

	It("selects by every field and by time", func() {
		// Guards against a timeline with other objects' events.
		s := event.NewStore(event.DefaultStoreCapacity)
		for i, e := range []event.Event{{Host: "h"}, {Pool: "p"}, {Request: "r"}, {Wave: "w"}, {Host: "h", Pool: "p"}} {
			e.ID, e.Time = event.ID{Group: "a", Index: uint64(i)}, at(int64(i+1), 0)
			s.Add(e)
		}
		Expect(indices(s.Query(event.Filter{Host: "h"}))).To(Equal([]uint64{0, 4}))
		Expect(indices(s.Query(event.Filter{Host: "h", Pool: "p"}))).To(Equal([]uint64{4}))
		Expect(indices(s.Query(event.Filter{Request: "r"}))).To(Equal([]uint64{2}))
		Expect(indices(s.Query(event.Filter{Wave: "w"}))).To(Equal([]uint64{3}))
		Expect(indices(s.Query(event.Filter{After: at(2, 0), Until: at(4, 0)}))).To(Equal([]uint64{2, 3}))
		Expect(indices(s.Query(event.Filter{Limit: 2}))).To(Equal([]uint64{3, 4}), "the newest without After")
		Expect(indices(s.Query(event.Filter{After: at(1, 0), Limit: 2}))).To(Equal([]uint64{1, 2}), "the oldest with After")
	})
})

var _ = Describe("Merge", func() {
	It("orders by hybrid logical clock, then by ID, without copies", func() {
		// Guards against an effect shown before its cause, and against one
		// event per replica.
		a := []event.Event{local("g", 1, at(10, 0)), local("g", 2, at(10, 2)), local("a", 9, at(30, 0))}
		b := []event.Event{local("g", 2, at(10, 2)), local("g", 1, at(10, 0)), local("b", 7, at(10, 1)), local("b", 8, at(30, 0))}
		merged := event.Merge(a, b)
		Expect(indices(merged)).To(Equal([]uint64{1, 7, 2, 9, 8}))
	})

	It("gives the same list whatever the order of processes", func() {
		// Guards against different orders of the same events on two processes.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			gen := rapid.Custom(func(t *rapid.T) event.Event {
				index := rapid.Uint64Range(0, 20).Draw(t, "index")
				return local(rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), index, at(int64(index%3), uint32(index%2)))
			})
			a, b := rapid.SliceOf(gen).Draw(t, "a"), rapid.SliceOf(gen).Draw(t, "b")
			if x, y := event.Merge(a, b), event.Merge(b, a); len(x)+len(y) > 0 && !equalEvents(x, y) {
				t.Fatalf("%v differs from %v", x, y)
			}
		})
	})
})

func equalEvents(a, b []event.Event) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

var _ = Describe("Explain", func() {
	const start = 1_904_000_000_000
	events := []event.Event{
		{Time: at(start+1500, 0), Kind: "host_drained", Host: "exec-1", Pool: "proofs", Wave: "spring", Actor: "control on entry-a1",
			Reason: "available hosts 3 are above the floor 2."},
		{Time: at(start+2500, 0), Kind: "attempt_dispatched", Request: "r-1", Attempt: 2, Host: "exec-1", DataCentre: "dc-a"},
	}
	attempts := []model.Attempt{{Number: 1, Host: "exec-1", Owner: "entry-a1", State: model.AttemptUnknown, At: at(start, 0), Reason: "no response"}}
	request := model.Request{Key: "r-1", Team: "markets", Kind: "draw", Pool: "draw", Claimed: at(start, 0), Finished: at(start+9000, 0)}
	with := func(state model.RequestState, outcome model.Outcome, reason string) *model.Request {
		r := request
		r.State, r.Outcome, r.Reason, r.Attempts = state, outcome, reason, attempts
		return &r
	}
	wave := &event.WaveState{
		Spec: model.Wave{Pool: "proofs", State: model.WaveRunning}, Hosts: map[string]int{"dc-a": 3, "dc-b": 3},
		Progress: []model.WaveProgress{
			{DataCentre: "dc-b", Done: []string{"x"}, Failed: []string{"y"}, Paused: true, Reason: "1 host failed to return"},
			{DataCentre: "dc-a", Done: []string{"a", "b"}, Current: []string{"c"}},
		},
	}
	host := &model.Host{
		Info: model.HostInfo{Name: "exec-1", DataCentre: "dc-a"}, Pool: "proofs", State: model.HostMaintenance,
		Reason: "reboot ordered", Since: at(start, 0), Wave: "spring", OrderID: "o-1", MoveTo: "spare",
	}

	It("says what was decided, when, by whom and why", func() {
		// Guards against an explanation without the reason or the proof.
		var lines []string
		lines = append(lines, event.ExplainHost("exec-1", host, events)...)
		lines = append(lines, event.ExplainHost("exec-9", nil, nil)...)
		lines = append(lines, event.ExplainWave("spring", wave, events[:1])...)
		lines = append(lines, event.ExplainWave("autumn", nil, nil)...)
		lines = append(lines, event.ExplainRequest("r-1", with(model.RequestFinished, model.OutcomeUnknown, "the target was lost"), events[1:])...)
		lines = append(lines, event.ExplainRequest("r-1", with(model.RequestFinished, model.OutcomeNotRun, "deadline passed"), nil)...)
		lines = append(lines, event.ExplainRequest("r-1", with(model.RequestParked, "", "needs 9 accelerators"), nil)...)
		lines = append(lines, event.ExplainRequest("r-9", nil, nil)...)
		lines = append(lines, event.ExplainRequest("r-8", &model.Request{
			Key: "r-8", Claimed: at(1000, 0), Finished: at(4000, 0), State: model.RequestFinished, Outcome: model.OutcomeDone,
			Reason: "details have expired", DetailsExpired: true, Attempts: []model.Attempt{{Number: 3, State: model.AttemptFailed}},
		}, nil)...)
		text := strings.Join(lines, "\n") + "\n"
		if *update {
			Expect(os.WriteFile("testdata/explain.golden", []byte(text), 0o600)).To(Succeed())
		}
		expected, err := os.ReadFile("testdata/explain.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(string(expected)))
	})
})
