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

// recordsGenerator generates a random sequence of records, each newer than the
// one before.
type recordsGenerator struct {
	rng   *rand.Rand
	items map[model.RecordKey]model.Record
	last  *model.Records
}

func (g *recordsGenerator) next() *model.Records {
	next := *g.last
	if g.rng.IntN(4) == 0 {
		next.FloorRevision++
	} else {
		next.Revision++
		next.WaveCreated = maps.Clone(next.WaveCreated)
		for range 1 + g.rng.IntN(3) {
			rec := g.randomRecord()
			g.trackWaveCreated(&rec, next.WaveCreated, next.Revision)
			if rec.Deleted {
				delete(g.items, rec.Key())
			} else {
				g.items[rec.Key()] = rec
			}
		}
		if g.rng.IntN(3) == 0 {
			next.FloorRevision++
		}
	}
	if next.FloorRevision != g.last.FloorRevision {
		next.Floors, next.Homes = maps.Clone(next.Floors), maps.Clone(next.Homes)
		pool := fmt.Sprintf("p%d", g.rng.IntN(4))
		switch g.rng.IntN(4) {
		case 0:
			delete(next.Floors, pool)
			delete(next.Homes, pool)
		case 1:
			next.Floors[pool] = map[string]int{}
		default:
			next.Floors[pool] = map[string]int{"a": g.rng.IntN(9), "b": g.rng.IntN(9)}
			next.Homes[pool] = []string{"b", "a"}[:1+g.rng.IntN(2)]
		}
	}
	next.Items = slices.SortedFunc(maps.Values(g.items), model.CompareRecords)
	g.last = &next
	return &next
}

// trackWaveCreated decides at random whether rec is a deletion and updates the
// creation revisions of waves. It leaves some out, as records of earlier
// versions have none.
func (g *recordsGenerator) trackWaveCreated(rec *model.Record, created map[string]uint64, revision uint64) {
	rec.Deleted = g.rng.IntN(3) == 0
	if rec.Kind != model.KindWave {
		return
	}
	_, known := g.items[rec.Key()]
	switch {
	case rec.Deleted:
		delete(created, rec.Name)
	case !known && g.rng.IntN(4) > 0:
		created[rec.Name] = revision
	}
}

func (g *recordsGenerator) randomRecord() model.Record {
	kinds := []model.RecordKind{model.KindQuota, model.KindWave, "forecast"}
	return model.Record{
		Schema: 1 + g.rng.IntN(3), Kind: kinds[g.rng.IntN(len(kinds))], Name: fmt.Sprintf("r%d", g.rng.IntN(12)),
		Spec: fmt.Appendf(nil, "{\n \"b\" : %d.50, \"a\":\"\\u00e9\"}", g.rng.IntN(3)),
	}
}

var _ = Describe("Receivers", func() {
	It("always converge to exactly the records of their source", func() {
		// Guards against any order of changes, pulls, late and repeated deltas,
		// restores and lost histories after which a receiver holds other records
		// than its source, or older ones than before.
		deltas, fullSets, refused := 0, 0, 0
		for seed := range uint64(60) {
			rng := rand.New(rand.NewPCG(seed, 11))
			generator := &recordsGenerator{rng: rng, items: map[model.RecordKey]model.Record{}, last: &model.Records{
				Floors: map[string]map[string]int{}, Homes: map[string][]string{}, WaveCreated: map[string]uint64{}}}
			source := delta.NewHistory(generator.last, nil)
			relay := delta.NewHistory(&model.Records{}, nil)
			receivers := make([]receiver, 4)
			for i := range receivers {
				receivers[i] = newReceiver(&model.Records{})
			}
			var late []*delta.Delta
			for range 300 {
				replace(source, generator.next())
				i := rng.IntN(len(receivers))
				r := &receivers[i]
				before := r.state
				switch rng.IntN(8) {
				case 0, 1: // through a relay, as an entry host gets them
					hop := receiver{relay.Records(), relay.State()}
					hop.pull(source)
					if hop.state.Newer(relay.State()) {
						replace(relay, hop.records)
					}
					r.pull(relay)
					if relay.State() == r.state {
						r.expectSameAs(relay, "seed %d", seed)
					}
				case 2: // a restart from a snapshot
					wrapped := struct{ Steps []delta.Change }{source.Changes()}
					source = delta.NewHistory(roundTrip(source.Records()), roundTrip(&wrapped).Steps)
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
						late = append(late, roundTrip(d))
					}
				default:
					if r.pull(source) {
						deltas++
					} else {
						fullSets++
					}
					r.expectSameAs(source, "seed %d", seed)
				}
				Expect(before.Newer(r.state)).To(BeFalse(), "seed %d", seed)
			}
			for i := range receivers {
				receivers[i].pull(source)
				receivers[i].expectSameAs(source, "seed %d", seed)
			}
		}
		Expect(deltas).To(BeNumerically(">", 500))
		Expect(fullSets).To(BeNumerically(">", 50))
		Expect(refused).To(BeNumerically(">", 50))
	})
})
