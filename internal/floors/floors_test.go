package floors_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/floors"
)

func TestFloors(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "floors")
}

const pool = "render"

// regionModel models data centres that adopt offered revisions late or skip
// some, and whose acknowledgements are delayed, reordered or lost.
type regionModel struct {
	table   *floors.Table
	offered []map[string]int // by floor revision
	adopted map[string]uint64
	unacked map[string][]uint64
	acked   map[string]uint64 // highest acknowledgement that arrived
}

func (r *regionModel) recordOffer() {
	for uint64(len(r.offered)) <= r.table.Revision {
		r.offered = append(r.offered, r.table.Floors()[pool])
	}
}

// lowestEnforcedSum returns the lowest sum of floors that the data centres may
// be enforcing: each may use any revision from its last acknowledged one on.
func (r *regionModel) lowestEnforcedSum(dcs []string) int {
	sum := 0
	for _, dc := range dcs {
		low := r.offered[r.acked[dc]][dc]
		for _, f := range r.offered[r.acked[dc]:] {
			low = min(low, f[dc])
		}
		sum += low
	}
	return sum
}

var _ = Describe("Table", func() {
	dcs := []string{"a", "b", "c"}

	It("keeps the enforced sum while floors move between data centres", func() {
		// Guards against a floor that is lowered in one data centre before another
		// has adopted its increase. The enforced sum would be below min_available
		// until that adoption.
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 1))
			r := &regionModel{table: floors.New(), adopted: map[string]uint64{}, unacked: map[string][]uint64{}, acked: map[string]uint64{}}
			r.recordOffer()
			low, current := 0, 0
			for step := range 200 {
				dc := dcs[rng.IntN(len(dcs))]
				switch rng.IntN(6) {
				case 0:
					requested := map[string]int{}
					for _, d := range dcs[:1+rng.IntN(3)] {
						requested[d] = rng.IntN(9)
					}
					current = 0
					for _, n := range requested {
						current += n
					}
					low = min(low, current)
					r.table.SetRequested(map[string]map[string]int{pool: requested})
				case 1, 2, 3:
					if behind := r.table.Revision - r.adopted[dc]; behind > 0 {
						r.adopted[dc] += 1 + rng.Uint64N(behind)
						r.unacked[dc] = append(r.unacked[dc], r.adopted[dc])
					}
				default:
					if acks := r.unacked[dc]; len(acks) > 0 { // any pending one, so earlier ones may arrive after it
						i := rng.IntN(len(acks))
						r.table.Ack(dc, acks[i])
						r.acked[dc] = max(r.acked[dc], acks[i])
						r.unacked[dc] = slices.Delete(acks, i, i+1)
					}
				}
				r.recordOffer()
				if step%20 == 7 { // a change of leader restores a snapshot
					data, err := codec.Marshal(r.table)
					Expect(err).NotTo(HaveOccurred())
					restored := floors.New()
					Expect(codec.Unmarshal(data, restored)).To(Succeed())
					r.table = restored
				}
				if r.lowestEnforcedSum(dcs) >= current { // the change has completed
					low = current
				}
				Expect(r.lowestEnforcedSum(dcs)).To(BeNumerically(">=", low), "seed %d step %d", seed, step)
			}
			for range 4 { // with all revisions acknowledged, the offered floors equal the requested ones
				for _, d := range dcs {
					r.table.Ack(d, r.table.Revision)
				}
			}
			Expect(r.table.Settled(pool)).To(BeTrue(), "seed %d", seed)
		}
	})

	It("ignores the acknowledgement of an older revision", func() {
		// Guards against a delayed acknowledgement that is taken as the adoption
		// of an increase.
		t := floors.New()
		t.SetRequested(map[string]map[string]int{pool: {"a": 6, "b": 4}})
		t.Ack("a", 1)
		t.Ack("b", 1)
		t.SetRequested(map[string]map[string]int{pool: {"a": 4, "b": 6}})
		Expect(t.Floors()[pool]).To(Equal(map[string]int{"a": 6, "b": 6}))
		t.Ack("b", 1)
		t.Ack("b", 99) // never offered
		Expect(t.Floors()[pool]["a"]).To(Equal(6))
		t.Ack("b", 2)
		Expect(t.Floors()[pool]).To(Equal(map[string]int{"a": 4, "b": 6}))
	})
})
