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

// at returns records of a revision with the given items, which are in order.
func at(revision uint64, items ...model.Record) *model.Records {
	return &model.Records{Revision: revision, FloorRevision: 1, Items: items,
		Floors: map[string]map[string]int{"p": {"a": 2}}, Homes: map[string][]string{"p": {"a"}}}
}

// five returns five quotas that make a delta smaller than the whole set. The
// values given replace those of the first quotas.
func five(values ...int) []model.Record {
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

// sent passes a value through its encoding, as the network and the log do.
func sent[T any](v *T) *T {
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

func holding(r *model.Records) receiver { return receiver{r, delta.StateOf(r)} }

// take pulls from a set once and returns whether it got a delta. A refused
// delta is followed by the whole set.
func (r *receiver) take(s *delta.History) bool {
	GinkgoHelper()
	whole, d := s.Since(*sent(&r.state))
	if d != nil {
		next, err := delta.Patch(r.records, r.state, sent(d))
		if err == nil {
			*r = receiver{next, d.To}
			return true
		}
		whole, d = s.Since(delta.State{Revision: r.state.Revision, FloorRevision: r.state.FloorRevision})
		Expect(d).To(BeNil())
	}
	if whole != nil {
		*r = holding(sent(whole))
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

var _ = Describe("Set", func() {
	It("gives the changed records alone", func() {
		// Guards against a change that still sends every record.
		s := delta.NewHistory(at(1, five()...), nil)
		r := holding(s.Records())
		replace(s, at(2, five(9)...))
		whole, d := s.Since(r.state)
		Expect(whole).To(BeNil())
		Expect(d.Changed).To(Equal([]model.Record{quota("t0", 9)}))
		Expect(d.Deleted).To(BeEmpty())
		Expect(d.Pools).To(BeEmpty())
		Expect(r.take(s)).To(BeTrue())
		r.expectSameAs(s)
	})

	It("gives a wave that was deleted and created again with the same content", func() {
		// Guards against a data centre that takes the new wave for the old one,
		// and against deltas of waves that are refused each time.
		wave := model.Record{Schema: 1, Kind: model.KindWave, Name: "w", Spec: []byte(`{}`)}
		first := at(1, append(five(), wave)...)
		first.WaveCreated = map[string]uint64{"w": 1}
		s := delta.NewHistory(first, nil)
		r := holding(first)
		second := at(3, append(five(), wave)...)
		second.WaveCreated = map[string]uint64{"w": 3}
		replace(s, second)
		Expect(r.take(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.WaveCreated).To(Equal(second.WaveCreated))
		replace(s, at(4, five()...))
		Expect(r.take(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.WaveCreated).To(BeEmpty())
	})

	It("gives floors that changed without a record", func() {
		// Guards against a lowered floor that never reaches a data centre.
		s := delta.NewHistory(at(1, five()...), nil)
		r := holding(s.Records())
		next := at(1, five()...)
		next.FloorRevision, next.Floors = 2, map[string]map[string]int{"p": {}, "q": {"b": 1}}
		next.Homes = map[string][]string{"q": {"b"}}
		replace(s, next)
		Expect(r.take(s)).To(BeTrue())
		r.expectSameAs(s)
		Expect(r.records.Floors).To(Equal(next.Floors))
		Expect(r.records.Homes).To(Equal(next.Homes))
	})

	It("gives a record that was deleted and created again between two pulls", func() {
		// Guards against a receiver that keeps the old document, or none, when
		// the steps are joined in the wrong order.
		s := delta.NewHistory(at(1, five()...), nil)
		r := holding(s.Records())
		replace(s, at(2, five()[1:]...))
		replace(s, at(3, five(7)...))
		replace(s, at(4, append(five(7), quota("t8", 1))...))
		replace(s, at(5, append(five(7)[:4], quota("t9", 1))...))
		Expect(r.take(s)).To(BeTrue())
		r.expectSameAs(s)
	})

	It("gives the whole set to a receiver behind its history", func() {
		// Guards against a delta that starts after the receiver's state, and
		// against a history that grows without bound.
		s := delta.NewHistory(at(1, five()...), nil)
		behind, oldest := holding(s.Records()), receiver{}
		for i := range delta.MaxChanges + 1 {
			if i == 1 {
				oldest = holding(s.Records())
			}
			replace(s, at(uint64(i+2), five(i)...))
		}
		Expect(s.Changes()).To(HaveLen(delta.MaxChanges))
		Expect(s.Since(behind.state)).To(BeIdenticalTo(s.Records()))
		Expect(behind.take(s)).To(BeFalse())
		behind.expectSameAs(s)
		Expect(oldest.take(s)).To(BeTrue())
		oldest.expectSameAs(s)
	})

	It("bounds the names that its history holds", func() {
		// Guards against changes of many records that fill the memory of every
		// replica and each of its snapshots.
		s := delta.NewHistory(at(1), nil)
		for revision := range uint64(20) {
			var items []model.Record
			for i := range 1024 {
				items = append(items, quota(fmt.Sprintf("t%04d", i), int(revision)))
			}
			replace(s, at(revision+2, items...))
			names := 0
			for _, step := range s.Changes() {
				names += len(step.Records) + len(step.Pools)
			}
			Expect(names).To(BeNumerically("<=", delta.MaxKeys))
		}
		Expect(s.Changes()).NotTo(BeEmpty())
	})

	It("gives nothing to a receiver that is ahead", func() {
		// Guards against a configuration that reverts when the region group
		// lost entries or a stale replica answers.
		s := delta.NewHistory(at(1, five()...), nil)
		replace(s, at(2, five(2)...))
		for _, have := range []delta.State{s.State(), delta.StateOf(at(3, five()...)), {Revision: 2, FloorRevision: 9}} {
			whole, d := s.Since(have)
			Expect(whole).To(BeNil())
			Expect(d).To(BeNil())
		}
	})

	It("gives the whole set to a receiver with other contents at a known revision", func() {
		// Guards against a delta on top of records that differ, which would keep
		// the difference for ever.
		s := delta.NewHistory(at(1, five()...), nil)
		r := holding(at(1, five(1, 5)...))
		replace(s, at(2, five(2)...))
		Expect(s.Since(r.state)).To(BeIdenticalTo(s.Records()))
		Expect(r.take(s)).To(BeFalse())
		r.expectSameAs(s)
	})

	It("gives the whole set to a caller without a digest", func() {
		// Guards against a delta for a process of an earlier version, which
		// would ignore it, or for one that refused a delta.
		s := delta.NewHistory(at(1, five()...), nil)
		replace(s, at(2, five(2)...))
		whole, d := s.Since(delta.State{Revision: 1, FloorRevision: 1})
		Expect(d).To(BeNil())
		Expect(whole).To(BeIdenticalTo(s.Records()))
	})

	It("gives the whole set when most records changed", func() {
		// Guards against a delta that is larger than what it saves.
		s := delta.NewHistory(at(1, five()...), nil)
		r := holding(s.Records())
		replace(s, at(2, five(2, 2, 2, 2, 2)...))
		Expect(r.take(s)).To(BeFalse())
		r.expectSameAs(s)
	})

	It("refuses records that are not newer", func() {
		// Guards against a revision in force that goes back.
		s := delta.NewHistory(at(2, five()...), nil)
		before := s.State()
		for _, revision := range []uint64{1, 2} {
			Expect(s.Replace(at(revision, five(3)...))).To(BeAssignableToTypeOf(&fault.RevisionConflict{}))
		}
		Expect(s.State()).To(Equal(before))
		Expect(s.Changes()).To(BeEmpty())
	})
})

var _ = Describe("StateOf", func() {
	It("gives the digest that earlier builds give", func() {
		// Guards against a changed encoding of the records: replicas of both
		// builds would then disagree on whether a delta applies.
		Expect(fmt.Sprintf("%x", delta.StateOf(at(1, five()...)).Digest)).To(Equal("dfc5aa0289333b568f1e70fe29e0730aca7a265e859b28a484cd5fb80b2d350b"))
	})

	It("does not tell an absent list or map from an empty one", func() {
		// Guards against a caller that gets whole sets for ever because its
		// empty parts were decoded as absent ones.
		empty := &model.Records{Items: []model.Record{}, Floors: map[string]map[string]int{}, Homes: map[string][]string{}}
		Expect(delta.StateOf(empty)).To(Equal(delta.StateOf(&model.Records{})))
	})
})

var _ = Describe("Patch", func() {
	// steps returns the records of three revisions and the deltas between them.
	steps := func() (one, two *model.Records, oneTwo, oneThree, twoThree *delta.Delta) {
		s := delta.NewHistory(at(1, five()...), nil)
		one = s.Records()
		replace(s, at(2, five(2)...))
		two = s.Records()
		_, oneTwo = s.Since(delta.StateOf(one))
		replace(s, at(3, five(2, 3)...))
		_, oneThree = s.Since(delta.StateOf(one))
		_, twoThree = s.Since(delta.StateOf(two))
		return one, two, oneTwo, oneThree, twoThree
	}

	It("refuses a delta that starts from another state", func() {
		// Guards against a delta that is applied across a gap, twice, or to a
		// receiver ahead of it. The delta from 1 to 3 would give the right
		// records at 2 too, but only by luck.
		one, two, oneTwo, oneThree, twoThree := steps()
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
		// Guards against a revision in force that goes back or is used twice.
		one, two, _, _, _ := steps()
		for _, to := range []*model.Records{one, two} {
			d := &delta.Delta{From: delta.StateOf(two), To: delta.StateOf(to), Changed: []model.Record{to.Items[0]}}
			_, err := delta.Patch(two, delta.StateOf(two), d)
			Expect(err).To(BeAssignableToTypeOf(&fault.Precondition{}))
		}
	})

	It("refuses a delta with any other content and changes nothing", func() {
		// Guards against records that are applied in part or not byte for byte.
		one, _, _, oneThree, _ := steps()
		before := delta.StateOf(one)
		for name, change := range map[string]func(d *delta.Delta){
			"a record less":   func(d *delta.Delta) { d.Changed = d.Changed[1:] },
			"a record more":   func(d *delta.Delta) { d.Changed = append(d.Changed, quota("t9", 1)) },
			"a changed byte":  func(d *delta.Delta) { d.Changed[0].Spec = append(d.Changed[0].Spec, ' ') },
			"a changed mark":  func(d *delta.Delta) { d.Changed[0].Deleted = true },
			"a deletion more": func(d *delta.Delta) { d.Deleted = append(d.Deleted, one.Items[4].Key()) },
			"another floor":   func(d *delta.Delta) { d.Pools = []delta.Pool{{Name: "p", Homes: []string{"a"}}} },
			"other homes":     func(d *delta.Delta) { d.Pools = []delta.Pool{{Name: "p", Floors: one.Floors["p"]}} },
			"a later floor revision": func(d *delta.Delta) {
				d.To.FloorRevision++
			},
		} {
			d := sent(oneThree)
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
