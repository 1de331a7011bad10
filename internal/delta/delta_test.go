package delta_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

func TestDelta(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "delta")
}

func quota(name string, running int) model.Record {
	return model.Record{Schema: 1, Kind: model.KindQuota, Name: name, Spec: fmt.Appendf(nil, `{"max_running":%d}`, running)}
}

// recordsAt returns records at a revision. The items must be sorted by key.
func recordsAt(revision uint64, items ...model.Record) *model.Records {
	return &model.Records{Revision: revision, FloorRevision: 1, Items: items,
		Floors: map[string]map[string]int{"p": {"a": 2}}, Homes: map[string][]string{"p": {"a"}}}
}

// fiveQuotas returns five quotas, enough for a delta of one to be smaller than
// the full set. The given values replace the limit 1 of the first quotas.
func fiveQuotas(values ...int) []model.Record {
	var out []model.Record
	for i := range 5 {
		value := 1
		if i < len(values) {
			value = values[i]
		}
		out = append(out, quota(fmt.Sprintf("t%d", i), value))
	}
	return out
}

// roundTrip encodes and decodes a value, as the network and the log do.
func roundTrip[T any](v *T) *T {
	GinkgoHelper()
	data, err := codec.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	out := new(T)
	Expect(codec.Unmarshal(data, out)).To(Succeed())
	return out
}

// receiver holds records as a process that pulls them does.
type receiver struct {
	records *model.Records
	state   delta.State
}

func newReceiver(r *model.Records) receiver { return receiver{r, delta.StateOf(r)} }

// pull pulls from a history once and reports whether it applied a delta. If it
// refuses the delta, it pulls the full set.
func (r *receiver) pull(s *delta.History) bool {
	GinkgoHelper()
	full, d := s.Since(*roundTrip(&r.state))
	if d != nil {
		next, err := delta.Patch(r.records, r.state, roundTrip(d))
		if err == nil {
			*r = receiver{next, d.To}
			return true
		}
		full, d = s.Since(delta.State{Revision: r.state.Revision, FloorRevision: r.state.FloorRevision})
		Expect(d).To(BeNil())
	}
	if full != nil {
		*r = newReceiver(roundTrip(full))
	}
	return false
}

func (r *receiver) expectSameAs(s *delta.History, note ...any) {
	GinkgoHelper()
	Expect(r.state).To(Equal(s.State()), note...)
	Expect(delta.StateOf(r.records)).To(Equal(s.State()), note...)
	Expect(r.records.Items).To(Equal(s.Records().Items), note...)
	Expect(r.records.Revision).To(Equal(s.Records().Revision), note...)
}

func replace(s *delta.History, r *model.Records) {
	GinkgoHelper()
	Expect(s.Replace(r)).To(Succeed())
}

var _ = Describe("History", func() {
	It("returns the changed records alone", func() {
		// Guards against sending every record after each change.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		r := newReceiver(s.Records())
		replace(s, recordsAt(2, fiveQuotas(9)...))
		full, d := s.Since(r.state)
		Expect(full).To(BeNil())
		Expect(d.Changed).To(Equal([]model.Record{quota("t0", 9)}))
		Expect(d.Deleted).To(BeEmpty())
		Expect(d.Pools).To(BeEmpty())
		Expect(r.pull(s)).To(BeTrue())
		r.expectSameAs(s)
	})

	It("returns a wave that was deleted and created again with the same content", func() {
		// Guards against a data centre that takes the new wave for the old one,
		// and against deltas with waves that receivers always refuse.
		wave := model.Record{Schema: 1, Kind: model.KindWave, Name: "w", Spec: []byte(`{}`)}
		first := recordsAt(1, append(fiveQuotas(), wave)...)
		first.WaveCreated = map[string]uint64{"w": 1}
		s := delta.NewHistory(first, nil)
		r := newReceiver(first)
		second := recordsAt(3, append(fiveQuotas(), wave)...)
		second.WaveCreated = map[string]uint64{"w": 3}
		replace(s, second)
		Expect(r.pull(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.WaveCreated).To(Equal(second.WaveCreated))
		replace(s, recordsAt(4, fiveQuotas()...))
		Expect(r.pull(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.WaveCreated).To(BeEmpty())
	})

	It("returns floors that changed without a change of records", func() {
		// Guards against a lowered floor that never reaches a data centre.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		r := newReceiver(s.Records())
		next := recordsAt(1, fiveQuotas()...)
		next.FloorRevision, next.Floors = 2, map[string]map[string]int{"p": {}, "q": {"b": 1}}
		next.Homes = map[string][]string{"q": {"b"}}
		replace(s, next)
		Expect(r.pull(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.Floors).To(Equal(next.Floors))
		Expect(r.records.Homes).To(Equal(next.Homes))
	})

	It("returns a record that was deleted and created again between two pulls", func() {
		// Guards against a receiver that keeps the old record, or none, because
		// changes are merged in the wrong order.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		r := newReceiver(s.Records())
		replace(s, recordsAt(2, fiveQuotas()[1:]...))
		replace(s, recordsAt(3, fiveQuotas(7)...))
		replace(s, recordsAt(4, append(fiveQuotas(7), quota("t8", 1))...))
		replace(s, recordsAt(5, append(fiveQuotas(7)[:4], quota("t9", 1))...))
		Expect(r.pull(s)).To(BeTrue())
		r.expectSameAs(s)
	})

	It("returns the full set to a receiver that is behind the oldest change", func() {
		// Guards against a delta that starts after the receiver's state, and
		// against a history that grows without bound.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		behind, oldest := newReceiver(s.Records()), receiver{}
		for i := range delta.MaxChanges + 1 {
			if i == 1 {
				oldest = newReceiver(s.Records())
			}
			replace(s, recordsAt(uint64(i+2), fiveQuotas(i)...))
		}
		Expect(s.Changes()).To(HaveLen(delta.MaxChanges))
		Expect(s.Since(behind.state)).To(BeIdenticalTo(s.Records()))
		Expect(behind.pull(s)).To(BeFalse())
		behind.expectSameAs(s)
		Expect(oldest.pull(s)).To(BeTrue())
		oldest.expectSameAs(s)
	})

	It("bounds the number of keys that it holds", func() {
		// Guards against changes of many records that take up much memory and
		// space in snapshots on every replica.
		s := delta.NewHistory(recordsAt(1), nil)
		for revision := range uint64(20) {
			var items []model.Record
			for i := range 1024 {
				items = append(items, quota(fmt.Sprintf("t%04d", i), int(revision)))
			}
			replace(s, recordsAt(revision+2, items...))
			names := 0
			for _, change := range s.Changes() {
				names += len(change.Records) + len(change.Pools)
			}
			Expect(names).To(BeNumerically("<=", delta.MaxKeys))
		}
		Expect(s.Changes()).NotTo(BeEmpty())
	})

	It("returns nothing to a receiver that is ahead", func() {
		// Guards against a configuration that is reverted because the region group
		// lost entries or a stale replica answers.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		replace(s, recordsAt(2, fiveQuotas(2)...))
		for _, have := range []delta.State{s.State(), delta.StateOf(recordsAt(3, fiveQuotas()...)), {Revision: 2, FloorRevision: 9}} {
			full, d := s.Since(have)
			Expect(full).To(BeNil())
			Expect(d).To(BeNil())
		}
	})

	It("returns the full set to a receiver with other contents at a known revision", func() {
		// Guards against a delta on top of records that differ, which would
		// preserve the difference indefinitely.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		r := newReceiver(recordsAt(1, fiveQuotas(1, 5)...))
		replace(s, recordsAt(2, fiveQuotas(2)...))
		Expect(s.Since(r.state)).To(BeIdenticalTo(s.Records()))
		Expect(r.pull(s)).To(BeFalse())
		r.expectSameAs(s)
	})

	It("returns the full set to a caller without a digest", func() {
		// Guards against sending a delta to a process of an earlier version, which
		// would ignore it, or to one that has just refused a delta.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		replace(s, recordsAt(2, fiveQuotas(2)...))
		full, d := s.Since(delta.State{Revision: 1, FloorRevision: 1})
		Expect(d).To(BeNil())
		Expect(full).To(BeIdenticalTo(s.Records()))
	})

	It("returns the full set when all records changed", func() {
		// Guards against a delta that is larger than the full set.
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		r := newReceiver(s.Records())
		replace(s, recordsAt(2, fiveQuotas(2, 2, 2, 2, 2)...))
		Expect(r.pull(s)).To(BeFalse())
		r.expectSameAs(s)
	})

	It("refuses records that are not newer", func() {
		// Guards against a revision in force that decreases.
		s := delta.NewHistory(recordsAt(2, fiveQuotas()...), nil)
		before := s.State()
		for _, revision := range []uint64{1, 2} {
			Expect(s.Replace(recordsAt(revision, fiveQuotas(3)...))).To(BeAssignableToTypeOf(&fault.RevisionConflict{}))
		}
		Expect(s.State()).To(Equal(before))
		Expect(s.Changes()).To(BeEmpty())
	})
})

var _ = Describe("StateOf", func() {
	It("returns the same digest as earlier builds", func() {
		// Guards against a changed encoding of the records: replicas of both
		// builds would then disagree on whether a delta applies.
		Expect(fmt.Sprintf("%x", delta.StateOf(recordsAt(1, fiveQuotas()...)).Digest)).To(Equal("dfc5aa0289333b568f1e70fe29e0730aca7a265e859b28a484cd5fb80b2d350b"))
	})

	It("treats nil and empty lists or maps alike", func() {
		// Guards against a caller that always gets the full set because its empty
		// maps were decoded as nil.
		empty := &model.Records{Items: []model.Record{}, Floors: map[string]map[string]int{}, Homes: map[string][]string{}}
		Expect(delta.StateOf(empty)).To(Equal(delta.StateOf(&model.Records{})))
	})
})

var _ = Describe("Patch", func() {
	// threeRevisions returns the records of three revisions and the deltas between them.
	threeRevisions := func() (one, two *model.Records, oneTwo, oneThree, twoThree *delta.Delta) {
		s := delta.NewHistory(recordsAt(1, fiveQuotas()...), nil)
		one = s.Records()
		replace(s, recordsAt(2, fiveQuotas(2)...))
		two = s.Records()
		_, oneTwo = s.Since(delta.StateOf(one))
		replace(s, recordsAt(3, fiveQuotas(2, 3)...))
		_, oneThree = s.Since(delta.StateOf(one))
		_, twoThree = s.Since(delta.StateOf(two))
		return one, two, oneTwo, oneThree, twoThree
	}

	It("refuses a delta that starts from another state", func() {
		// Guards against a delta that is applied across a gap, twice, or to a
		// receiver ahead of its start. The delta from 1 to 3 would yield the right
		// records from 2 as well, but only by coincidence.
		one, two, oneTwo, oneThree, twoThree := threeRevisions()
		for _, c := range []struct {
			have *model.Records
			d    *delta.Delta
		}{{one, twoThree}, {two, oneTwo}, {two, oneThree}} {
			next, err := delta.Patch(c.have, delta.StateOf(c.have), c.d)
			Expect(err).To(BeAssignableToTypeOf(&fault.Precondition{}))
			Expect(next).To(BeNil())
		}
	})

	It("refuses a delta that leads to no newer state", func() {
		// Guards against a revision in force that decreases or is used twice.
		one, two, _, _, _ := threeRevisions()
		for _, to := range []*model.Records{one, two} {
			d := &delta.Delta{From: delta.StateOf(two), To: delta.StateOf(to), Changed: []model.Record{to.Items[0]}}
			_, err := delta.Patch(two, delta.StateOf(two), d)
			Expect(err).To(BeAssignableToTypeOf(&fault.Precondition{}))
		}
	})

	It("refuses a delta with any other content and changes nothing", func() {
		// Guards against records that are applied partly or not byte for byte.
		one, _, _, oneThree, _ := threeRevisions()
		before := delta.StateOf(one)
		for name, change := range map[string]func(d *delta.Delta){
			"a missing record":        func(d *delta.Delta) { d.Changed = d.Changed[1:] },
			"an extra record":         func(d *delta.Delta) { d.Changed = append(d.Changed, quota("t9", 1)) },
			"a changed byte":          func(d *delta.Delta) { d.Changed[0].Spec = append(d.Changed[0].Spec, ' ') },
			"a changed deletion flag": func(d *delta.Delta) { d.Changed[0].Deleted = true },
			"an extra deletion":       func(d *delta.Delta) { d.Deleted = append(d.Deleted, one.Items[4].Key()) },
			"another floor":           func(d *delta.Delta) { d.Pools = []delta.Pool{{Name: "p", Homes: []string{"a"}}} },
			"other homes":             func(d *delta.Delta) { d.Pools = []delta.Pool{{Name: "p", Floors: one.Floors["p"]}} },
			"a later floor revision": func(d *delta.Delta) {
				d.To.FloorRevision++
			},
		} {
			d := roundTrip(oneThree)
			change(d)
			next, err := delta.Patch(one, before, d)
			Expect(err).To(BeAssignableToTypeOf(&fault.Corrupt{}), name)
			Expect(next).To(BeNil(), name)
			Expect(delta.StateOf(one)).To(Equal(before), name)
		}
		next, err := delta.Patch(one, before, oneThree)
		Expect(err).NotTo(HaveOccurred())
		Expect(delta.StateOf(next)).To(Equal(oneThree.To))
		Expect(delta.StateOf(one)).To(Equal(before))
	})
})
