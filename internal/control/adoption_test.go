package control_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/control"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/replica"
)

// regionSet serves records as the region group does.
type regionSet struct {
	set *delta.History
	// asked are the pulls and answers the responses to them, in order.
	asked   []peer.PullRecordsRequest
	answers []peer.PullRecordsResponse
	acked   []uint64
	// between runs after a response is made and before it is received.
	between func(*peer.PullRecordsResponse)
}

func (s *regionSet) PullRecords(_ context.Context, q *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error) {
	out := &peer.PullRecordsResponse{}
	out.Records, out.Delta = s.set.Since(q.State())
	s.asked, s.answers = append(s.asked, *q), append(s.answers, *out)
	if s.between != nil {
		s.between(out)
	}
	return out, nil
}

func (s *regionSet) AckAdoption(_ context.Context, r *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error) {
	s.acked = append(s.acked, r.Revision)
	return &peer.AckAdoptionResponse{}, nil
}

func (s *regionSet) last() peer.PullRecordsResponse { return s.answers[len(s.answers)-1] }

// change makes the next revision, in which one of the quotas differs.
func (s *regionSet) change() {
	GinkgoHelper()
	current := s.set.Records()
	next := &model.Records{Revision: current.Revision + 1, FloorRevision: 1, Floors: current.Floors, Homes: current.Homes}
	for i := range 5 {
		running := 1
		if i == 0 {
			running = int(next.Revision)
		}
		next.Items = append(next.Items, record(model.KindQuota, fmt.Sprintf("t%d", i), model.Quota{MaxRunning: running}))
	}
	Expect(s.set.Replace(next)).To(Succeed())
}

// adopter is a data centre group with two replicas that may both believe to
// lead it; they share one log.
type adopter struct {
	region        *regionSet
	machine       *datacentre.StateMachine
	first, second *control.Controller
}

func newAdopter() *adopter {
	source := clock.NewManual(time.UnixMilli(1_000_000))
	a := &adopter{machine: datacentre.New("dc-a", nil), region: &regionSet{set: delta.NewHistory(&model.Records{}, nil)}}
	g := &group{machine: a.machine, clock: hlc.NewClock(source), role: replica.RoleLeader, term: 1}
	controller := func(host string) *control.Controller {
		return control.New(control.Config{
			DataCentre: "dc-a", Host: host, Group: g, StateMachine: a.machine, Records: a.region, Resolver: &resolver{},
			Platform: &platform{}, Clock: source, Log: zerolog.Nop(), Timing: control.DefaultTiming(),
			Policies: control.DefaultPolicies(), Limits: ledger.DefaultLimits(),
		})
	}
	a.first, a.second = controller("entry-a1"), controller("entry-a2")
	a.region.change()
	a.first.Adopt(context.Background())
	return a
}

func (a *adopter) expectSame() {
	GinkgoHelper()
	Expect(a.machine.RecordsState()).To(Equal(a.region.set.State()))
	Expect(a.machine.Records().Items).To(Equal(a.region.set.Records().Items))
}

var _ = Describe("Adoption", func() {
	It("takes the whole set first and deltas from then on", func() {
		// Guards against changes that carry every record to each data centre.
		a := newAdopter()
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectSame()
		for range 3 {
			a.region.change()
			a.first.Adopt(context.Background())
			Expect(a.region.last().Delta.Changed).To(HaveLen(1))
			a.expectSame()
		}
		Expect(a.region.acked).To(Equal([]uint64{1, 2, 3, 4}))
	})

	It("pulls the whole set after a refused delta", func() {
		// Guards against a data centre that offers the same bad delta to its
		// group for ever, or that adopts it.
		a := newAdopter()
		a.region.change()
		a.region.between = func(r *peer.PullRecordsResponse) {
			if r.Delta != nil {
				r.Delta.Changed = nil
			}
		}
		before := a.machine.RecordsState()
		a.first.Adopt(context.Background())
		Expect(a.machine.RecordsState()).To(Equal(before))
		a.first.Adopt(context.Background())
		Expect(a.region.asked[len(a.region.asked)-1].Digest).To(BeNil())
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectSame()

		// The next change comes as a delta again.
		a.region.between = nil
		a.region.change()
		a.first.Adopt(context.Background())
		Expect(a.region.last().Delta).NotTo(BeNil())
		a.expectSame()
	})

	It("refuses the later of two leaders that adopt at once", func() {
		// Guards against a former leader whose delta, pulled before its successor
		// adopted newer records, is applied on top of them.
		a := newAdopter()
		a.region.change()
		a.region.between = func(r *peer.PullRecordsResponse) {
			a.region.between = nil
			a.region.change()
			a.second.Adopt(context.Background())
			a.expectSame()
		}
		a.first.Adopt(context.Background())
		a.expectSame()
		Expect(a.machine.Records().Revision).To(Equal(uint64(3)))
		a.region.change()
		a.first.Adopt(context.Background())
		a.expectSame()
	})

	It("does not go back when the region group is behind", func() {
		// Guards against a configuration that reverts after the region group
		// lost its latest records, also when it reaches the same revision again
		// with other records.
		a := newAdopter()
		a.region.change()
		a.first.Adopt(context.Background())
		ahead := a.machine.RecordsState()
		a.region.set = delta.NewHistory(&model.Records{Revision: 1, FloorRevision: 1}, nil)
		a.first.Adopt(context.Background())
		Expect(a.machine.RecordsState()).To(Equal(ahead))
		Expect(a.region.set.Replace(&model.Records{Revision: 2, FloorRevision: 1})).To(Succeed())
		a.first.Adopt(context.Background())
		Expect(a.machine.RecordsState()).To(Equal(ahead))
		a.region.change()
		a.first.Adopt(context.Background())
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectSame()
	})

	It("takes whole sets from a region group of an earlier version", func() {
		// Guards against a data centre that stops adopting while the region
		// group's replicas are not upgraded yet.
		a := newAdopter()
		for range 2 {
			a.region.change()
			a.region.between = func(r *peer.PullRecordsResponse) {
				r.Records, r.Delta = a.region.set.Records(), nil
			}
			a.first.Adopt(context.Background())
			a.expectSame()
		}
	})
})
