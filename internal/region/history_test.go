package region_test

import (
	"encoding/json"
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/region"
)

// newPopulatedLog returns a log at revision 1 with nine quotas and a pool whose
// floor is in data centre a. The quotas make a delta smaller than the full set.
func newPopulatedLog() *entryLog {
	GinkgoHelper()
	l := newEntryLog()
	items := []model.Record{record(2, model.KindPool, "p", `{"min_available":3,"floors":{"a":3}}`)}
	for i := range 9 {
		items = append(items, record(1, model.KindQuota, fmt.Sprintf("t%d", i), `{"max_running":1}`))
	}
	Expect(l.apply("r1", 0, items...).Err).To(Succeed())
	l.ack("a", 1)
	return l
}

var _ = Describe("History", func() {
	It("passes each change of the floors in its own delta", func() {
		// Guards against a delta that leaves out an intermediate value of the
		// floors, so that a data centre lowers its floor before the others have
		// raised theirs.
		l := newPopulatedLog()
		have := l.m.Records()
		Expect(l.apply("r2", 1, record(2, model.KindPool, "p", `{"min_available":3,"floors":{"b":3}}`)).Err).To(Succeed())
		_, raised := l.m.RecordsSince(delta.StateOf(have))
		Expect(raised.Pools).To(Equal([]delta.Pool{{Name: "p", Floors: map[string]int{"a": 3, "b": 3}, Homes: []string{"a", "b", "c"}}}))
		have, err := delta.Patch(have, delta.StateOf(have), raised)
		Expect(err).NotTo(HaveOccurred())
		l.ack("b", have.FloorRevision)
		_, lowered := l.m.RecordsSince(delta.StateOf(have))
		Expect(lowered.Changed).To(BeEmpty())
		Expect(lowered.From.Revision).To(Equal(lowered.To.Revision))
		have, err = delta.Patch(have, delta.StateOf(have), lowered)
		Expect(err).NotTo(HaveOccurred())
		Expect(have.Floors["p"]).To(Equal(map[string]int{"b": 3}))
		Expect(have).To(Equal(l.m.Records()))
	})

	It("returns a changed record byte for byte", func() {
		// Guards against a delta that rewrites a record of a schema that this
		// version does not know.
		l := newPopulatedLog()
		have := l.m.Records()
		rec := record(9, model.KindPool, "odd", "{\n \"b\" : 1.50, \"a\":\"\\u00e9\"}")
		Expect(l.apply("r2", 1, rec).Err).To(Succeed())
		_, d := l.m.RecordsSince(delta.StateOf(have))
		Expect(d.Changed).To(Equal([]model.Record{rec}))
	})

	It("returns a pool that was deleted and created again between two pulls", func() {
		// Guards against a receiver that keeps the earlier floors of the pool.
		l := newPopulatedLog()
		have := l.m.Records()
		Expect(l.apply("r2", 1, deleted(model.KindPool, "p")).Err).To(Succeed())
		_, d := l.m.RecordsSince(delta.StateOf(have))
		Expect(d.Deleted).To(Equal([]model.RecordKey{{Kind: model.KindPool, Name: "p"}}))
		Expect(d.Pools).To(Equal([]delta.Pool{{Name: "p"}}))
		Expect(l.apply("r3", 2, record(2, model.KindPool, "p", `{"min_available":1,"floors":{"c":1}}`)).Err).To(Succeed())
		_, d = l.m.RecordsSince(delta.StateOf(have))
		Expect(d.Deleted).To(BeEmpty())
		next, err := delta.Patch(have, delta.StateOf(have), d)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(Equal(l.m.Records()))
	})

	It("is the same on a replica that restarted from a snapshot", func() {
		// Guards against replicas of one group whose states diverge because one
		// of them restarted.
		l := newPopulatedLog()
		have := delta.StateOf(l.m.Records())
		Expect(l.apply("r2", 1, record(1, model.KindQuota, "t1", `{"max_running":7}`)).Err).To(Succeed())
		other := &entryLog{m: restoreFromSnapshot(l.m), index: l.index}
		for _, each := range []*entryLog{l, other} {
			Expect(each.apply("r3", 2, deleted(model.KindQuota, "t2")).Err).To(Succeed())
			full, d := each.m.RecordsSince(have)
			Expect(full).To(BeNil())
			Expect(d.Changed).To(HaveLen(1))
			Expect(d.Deleted).To(HaveLen(1))
		}
		first, err := l.m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		second, err := other.m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	It("starts empty after a snapshot of a version without deltas", func() {
		// Guards against an upgrade that cannot read the earlier state, or that
		// returns a delta for a revision that it does not know. The earlier
		// version wrote the file at revision 3.
		data, err := os.ReadFile("testdata/snapshot-without-history.cbor")
		Expect(err).NotTo(HaveOccurred())
		l := &entryLog{m: region.New([]string{"a", "b", "c"}), index: 100}
		Expect(l.m.Restore(data)).To(Succeed())
		have := l.m.Records()
		Expect(have.Revision).To(Equal(uint64(3)))
		Expect(have.Items).To(Equal([]model.Record{
			record(9, "forecast", "w", "{\n \"b\" : 1.50, \"a\":\"\\u00e9\"}"),
			record(2, model.KindPool, "render", `{"min_available":4,"floors":{"b":4}}`),
			record(1, model.KindQuota, "t2", `{"max_running":5}`),
		}))
		Expect(l.m.RecordsSince(delta.State{Revision: 2, FloorRevision: 2, Digest: delta.Digest{1}})).To(BeIdenticalTo(have))
		Expect(l.apply("r4", 3, record(1, model.KindQuota, "t2", `{"max_running":6}`)).Err).To(Succeed())
		_, d := l.m.RecordsSince(delta.StateOf(have))
		Expect(d).NotTo(BeNil())
		Expect(d.Changed).To(HaveLen(1))
	})

	It("does not grow beyond its bound", func() {
		// Guards against snapshots of the region group that grow without limit
		// with the number of changes.
		l := newPopulatedLog()
		for i := range delta.MaxChanges + 10 {
			spec, _ := json.Marshal(model.Quota{MaxRunning: i})
			Expect(l.apply(fmt.Sprintf("c%d", i), uint64(i+1), record(1, model.KindQuota, "t1", string(spec))).Err).To(Succeed())
		}
		var stored struct {
			Steps []delta.Change `cbor:"6,keyasint"`
		}
		data, err := l.m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(codec.Unmarshal(data, &stored)).To(Succeed())
		Expect(stored.Steps).To(HaveLen(delta.MaxChanges))
	})
})
