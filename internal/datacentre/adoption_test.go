package datacentre_test

import (
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

// recordsAt returns the records of a revision, in the order that the region group
// keeps. The value of quota t0 is the revision, the other quotas stay the same.
func recordsAt(revision uint64) *model.Records {
	r := &model.Records{
		Revision: revision, FloorRevision: 1,
		Floors: map[string]map[string]int{"work": {"dc-a": 0}}, Homes: map[string][]string{"work": {"dc-a"}},
		Items: []model.Record{{Schema: 2, Kind: model.KindPool, Name: "work", Spec: []byte(`{"min_available":0,"homes":["dc-a"]}`)}},
	}
	for i := range 4 {
		value := uint64(1)
		if i == 0 {
			value = revision
		}
		r.Items = append(r.Items, model.Record{Schema: 1, Kind: model.KindQuota, Name: fmt.Sprintf("t%d", i),
			Spec: fmt.Appendf(nil, `{"max_running":%d}`, value)})
	}
	return r
}

// historyOf returns a history with every change from the first revision to the
// last.
func historyOf(first, last uint64) *delta.History {
	GinkgoHelper()
	s := delta.NewHistory(recordsAt(first), nil)
	for revision := first + 1; revision <= last; revision++ {
		Expect(s.Replace(recordsAt(revision))).To(Succeed())
	}
	return s
}

// deltaBetween returns the delta from one revision to another.
func deltaBetween(from, to uint64) *delta.Delta {
	GinkgoHelper()
	_, d := historyOf(from, to).Since(delta.StateOf(recordsAt(from)))
	Expect(d).NotTo(BeNil())
	return d
}

func snapshotOf(m *datacentre.StateMachine) []byte {
	GinkgoHelper()
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	return data
}

func fixture(name string) []byte {
	GinkgoHelper()
	data, err := os.ReadFile("testdata/" + name)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("Adoption by delta", func() {
	It("gives the same state as the adoption of full sets", func() {
		// Guards against replicas and data centres that diverge because one adopted
		// the records by deltas and another as full sets.
		byDelta, whole := &testLog{stateMachine: datacentre.New("dc-a", nil)}, &testLog{stateMachine: datacentre.New("dc-a", nil)}
		for revision := uint64(1); revision <= 5; revision++ {
			Expect(whole.apply(datacentre.Command{Adopt: recordsAt(revision)}).Err).NotTo(HaveOccurred())
			if revision == 1 {
				Expect(byDelta.apply(datacentre.Command{Adopt: recordsAt(1)}).Err).NotTo(HaveOccurred())
				continue
			}
			Expect(byDelta.apply(datacentre.Command{AdoptDelta: deltaBetween(revision-1, revision)}).Err).NotTo(HaveOccurred())
		}
		Expect(snapshotOf(byDelta.stateMachine)).To(Equal(snapshotOf(whole.stateMachine)))
		byDelta.stateMachine.View(func(v datacentre.View) {
			Expect(v.Catalogue.Quotas["t0"].MaxRunning).To(Equal(5))
			Expect(v.Catalogue.Revision).To(Equal(uint64(5)))
		})
	})

	It("is refused when two leaders adopt at once", func() {
		// Guards against a second delta from the same revision, proposed by an
		// earlier leader before it lost its leadership, that is applied on top of
		// the first, reverts it or is applied in part.
		for _, second := range []*delta.Delta{deltaBetween(1, 2), deltaBetween(1, 3), deltaBetween(1, 4), deltaBetween(2, 4), deltaBetween(4, 5)} {
			l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
			Expect(l.apply(datacentre.Command{Adopt: recordsAt(1)}).Err).NotTo(HaveOccurred())
			Expect(l.apply(datacentre.Command{AdoptDelta: deltaBetween(1, 3)}).Err).NotTo(HaveOccurred())
			before, changed := snapshotOf(l.stateMachine), l.stateMachine.RecordsChanged()
			Expect(fault.CodeOf(l.apply(datacentre.Command{AdoptDelta: second}).Err)).To(Equal(fault.CodePrecondition))
			Expect(snapshotOf(l.stateMachine)).To(Equal(before))
			Expect(changed).NotTo(BeClosed())
			Expect(l.apply(datacentre.Command{Adopt: recordsAt(4)}).Err).NotTo(HaveOccurred())
			Expect(l.stateMachine.RecordsState()).To(Equal(delta.StateOf(recordsAt(4))))
		}
	})

	It("is refused when the delta's result is not the state that it names", func() {
		// Guards against a corrupt delta, and against one made from other records.
		l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
		Expect(l.apply(datacentre.Command{Adopt: recordsAt(1)}).Err).NotTo(HaveOccurred())
		before := snapshotOf(l.stateMachine)
		d := deltaBetween(1, 3)
		d.Changed[0].Spec = []byte(`{"max_running":4}`)
		Expect(fault.CodeOf(l.apply(datacentre.Command{AdoptDelta: d}).Err)).To(Equal(fault.CodeCorrupt))
		Expect(snapshotOf(l.stateMachine)).To(Equal(before))
	})

	It("keeps its history through a snapshot", func() {
		// Guards against a restart after which every entry host pulls the full set,
		// and against replicas whose history depends on their restarts.
		l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
		Expect(l.apply(datacentre.Command{Adopt: recordsAt(1)}).Err).NotTo(HaveOccurred())
		Expect(l.apply(datacentre.Command{AdoptDelta: deltaBetween(1, 2)}).Err).NotTo(HaveOccurred())
		restored := &testLog{stateMachine: datacentre.New("dc-a", nil), index: l.index}
		Expect(restored.stateMachine.Restore(snapshotOf(l.stateMachine))).To(Succeed())
		for _, m := range []*testLog{l, restored} {
			Expect(m.apply(datacentre.Command{AdoptDelta: deltaBetween(2, 4)}).Err).NotTo(HaveOccurred())
			whole, d := m.stateMachine.RecordsSince(delta.StateOf(recordsAt(1)))
			Expect(whole).To(BeNil())
			Expect(d.To).To(Equal(delta.StateOf(recordsAt(4))))
		}
		Expect(snapshotOf(restored.stateMachine)).To(Equal(snapshotOf(l.stateMachine)))
	})

	It("restores a snapshot and applies a log entry of a version without deltas", func() {
		// Guards against an upgrade that cannot read what the earlier version
		// stored. The files were written by that version.
		m := datacentre.New("dc-a", nil)
		Expect(m.Restore(fixture("snapshot-without-history.cbor"))).To(Succeed())
		Expect(m.Records()).To(Equal(records(2)))
		r, ok := m.Request("k")
		Expect(ok).To(BeTrue())
		Expect(r.State).To(Equal(model.RequestDispatched))
		before := m.RecordsState()
		result := m.Apply(replica.Entry{Index: 9, Term: 1, Data: fixture("adopt-whole-set.cbor")}).(datacentre.Result)
		Expect(result.Err).NotTo(HaveOccurred())
		Expect(m.Records()).To(Equal(records(3)))

		// The history starts with the restored state.
		whole, _ := m.RecordsSince(delta.StateOf(records(1)))
		Expect(whole).To(Equal(records(3)))
		_, d := m.RecordsSince(before)
		Expect(d).NotTo(BeNil())
		Expect(d.From).To(Equal(before))
	})

	It("keeps the encoding of full sets that the earlier version reads", func() {
		// Guards against a new field that changes the encoding of old commands, so
		// that the logs of both versions differ for equal commands.
		data, err := codec.Marshal(datacentre.Command{Adopt: records(3)})
		Expect(err).NotTo(HaveOccurred())
		Expect(data).To(Equal(fixture("adopt-whole-set.cbor")))
	})
})
