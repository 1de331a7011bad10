package delta_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/model"
)

// author makes random successors of records.
type author struct {
	rng   *rand.Rand
	items map[model.RecordKey]model.Record
	last  *model.Records
}

func (a *author) next() *model.Records {
	next := *a.last
	if a.rng.IntN(4) == 0 {
		next.FloorRevision++
	} else {
		next.Revision++
		next.WaveCreated = maps.Clone(next.WaveCreated)
		for range 1 + a.rng.IntN(3) {
			rec := a.record()
			a.note(&rec, next.WaveCreated, next.Revision)
			if rec.Deleted {
				delete(a.items, rec.Key())
			} else {
				a.items[rec.Key()] = rec
			}
		}
		if a.rng.IntN(3) == 0 {
			next.FloorRevision++
		}
	}
	if next.FloorRevision != a.last.FloorRevision {
		next.Floors, next.Homes = maps.Clone(next.Floors), maps.Clone(next.Homes)
		pool := fmt.Sprintf("p%d", a.rng.IntN(4))
		switch a.rng.IntN(4) {
		case 0:
			delete(next.Floors, pool)
			delete(next.Homes, pool)
		case 1:
			next.Floors[pool] = map[string]int{}
		default:
			next.Floors[pool] = map[string]int{"a": a.rng.IntN(9), "b": a.rng.IntN(9)}
			next.Homes[pool] = []string{"b", "a"}[:1+a.rng.IntN(2)]
		}
	}
	next.Items = slices.SortedFunc(maps.Values(a.items), model.CompareRecords)
	a.last = &next
	return &next
}

// note keeps the creations of waves. Records of earlier versions have none.
func (a *author) note(rec *model.Record, created map[string]uint64, revision uint64) {
	rec.Deleted = a.rng.IntN(3) == 0
	if rec.Kind != model.KindWave {
		return
	}
	_, known := a.items[rec.Key()]
	switch {
	case rec.Deleted:
		delete(created, rec.Name)
	case !known && a.rng.IntN(4) > 0:
		created[rec.Name] = revision
	}
}

func (a *author) record() model.Record {
	kinds := []model.RecordKind{model.KindQuota, model.KindWave, "forecast"}
	return model.Record{
		Schema: 1 + a.rng.IntN(3), Kind: kinds[a.rng.IntN(len(kinds))], Name: fmt.Sprintf("r%d", a.rng.IntN(12)),
		Spec: fmt.Appendf(nil, "{\n \"b\" : %d.50, \"a\":\"\\u00e9\"}", a.rng.IntN(3)),
	}
}

var _ = Describe("Receivers", func() {
	It("always end with exactly the set of their source", func() {
		// Guards against any order of changes, pulls, late and repeated deltas,
		// restores and lost histories after which a receiver holds other records
		// than its source, or older ones than before.
		deltas, wholes, refused := 0, 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 11))
			a := &author{rng: rng, items: map[model.RecordKey]model.Record{}, last: &model.Records{
				Floors: map[string]map[string]int{}, Homes: map[string][]string{}, WaveCreated: map[string]uint64{}}}
			source := delta.NewHistory(a.last, nil)
			relay := delta.NewHistory(&model.Records{}, nil)
			receivers := make([]receiver, 4)
			for i := range receivers {
				receivers[i] = holding(&model.Records{})
			}
			var late []*delta.Delta
			for range 300 {
				replace(source, a.next())
				i := rng.IntN(len(receivers))
				r := &receivers[i]
				before := r.state
				switch rng.IntN(8) {
				case 0, 1: // through a relay, as an entry host gets them
					hop := receiver{relay.Records(), relay.State()}
					hop.take(source)
					if hop.state.Newer(relay.State()) {
						replace(relay, hop.records)
					}
					r.take(relay)
					if relay.State() == r.state {
						r.expectSameAs(relay, "seed %d", seed)
					}
				case 2: // a restart from a snapshot
					steps := struct{ Steps []delta.Change }{source.Changes()}
					source = delta.NewHistory(sent(source.Records()), sent(&steps).Steps)
				case 3: // a restart from a snapshot without history
					if rng.IntN(10) == 0 {
						source = delta.NewHistory(source.Records(), nil)
					}
				case 4: // a delta that arrives late or again
					if len(late) == 0 {
						break
					}
					d := late[rng.IntN(len(late))]
					if next, err := delta.Patch(r.records, r.state, d); err == nil {
						*r = receiver{next, d.To}
						Expect(delta.StateOf(next)).To(Equal(d.To))
					} else {
						refused++
						Expect(delta.StateOf(r.records)).To(Equal(r.state))
					}
				case 5: // a delta that is pulled and not applied yet
					if _, d := source.Since(r.state); d != nil {
						late = append(late, sent(d))
					}
				default:
					if r.take(source) {
						deltas++
					} else {
						wholes++
					}
					r.expectSameAs(source, "seed %d", seed)
				}
				Expect(before.Newer(r.state)).To(BeFalse(), "seed %d", seed)
			}
			for i := range receivers {
				receivers[i].take(source)
				receivers[i].expectSameAs(source, "seed %d", seed)
			}
		}
		Expect(deltas).To(BeNumerically(">", 500))
		Expect(wholes).To(BeNumerically(">", 50))
		Expect(refused).To(BeNumerically(">", 50))
	})
})
