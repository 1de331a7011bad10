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

// fakeRegion serves records as the region group does.
type fakeRegion struct {
	set *delta.History
	// pulls holds the received requests and responses the answers, in order.
	pulls     []peer.PullRecordsRequest
	responses []peer.PullRecordsResponse
	acked     []uint64
	// beforeReceive runs after a response is made and before it is received.
	beforeReceive func(*peer.PullRecordsResponse)
}

func (s *fakeRegion) PullRecords(_ context.Context, q *peer.PullRecordsRequest) (*peer.PullRecordsResponse, error) {
	out := &peer.PullRecordsResponse{}
	out.Records, out.Delta = s.set.Since(q.State())
	s.pulls, s.responses = append(s.pulls, *q), append(s.responses, *out)
	if s.beforeReceive != nil {
		s.beforeReceive(out)
	}
	return out, nil
}

func (s *fakeRegion) AckAdoption(_ context.Context, r *peer.AckAdoptionRequest) (*peer.AckAdoptionResponse, error) {
	s.acked = append(s.acked, r.Revision)
	return &peer.AckAdoptionResponse{}, nil
}

func (s *fakeRegion) last() peer.PullRecordsResponse { return s.responses[len(s.responses)-1] }

// commitRevision creates the next revision, in which one of the quotas differs.
func (s *fakeRegion) commitRevision() {
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

// adoptionHarness is a data centre group with two controllers that both act as
// leader; they share one log.
type adoptionHarness struct {
	region        *fakeRegion
	stateMachine  *datacentre.StateMachine
	first, second *control.Controller
}

func newAdoptionHarness() *adoptionHarness {
	source := clock.NewManual(time.UnixMilli(1_000_000))
	a := &adoptionHarness{stateMachine: datacentre.New("dc-a", nil), region: &fakeRegion{set: delta.NewHistory(&model.Records{}, nil)}}
	g := &group{stateMachine: a.stateMachine, clock: hlc.NewClock(source), role: replica.RoleLeader, term: 1}
	controller := func(host string) *control.Controller {
		return control.New(control.Config{
			DataCentre: "dc-a", Host: host, Group: g, StateMachine: a.stateMachine, Records: a.region, Resolver: &resolver{},
			Platform: &platform{}, Clock: source, Log: zerolog.Nop(), Timing: control.DefaultTiming(),
			Policy: control.DefaultPolicy(), Limits: ledger.DefaultLimits(),
		})
	}
	a.first, a.second = controller("entry-a1"), controller("entry-a2")
	a.region.commitRevision()
	a.first.Adopt(context.Background())
	return a
}

func (a *adoptionHarness) expectInSync() {
	GinkgoHelper()
	Expect(a.stateMachine.RecordsState()).To(Equal(a.region.set.State()))
	Expect(a.stateMachine.Records().Items).To(Equal(a.region.set.Records().Items))
}

var _ = Describe("Adoption", func() {
	It("takes the full set first and deltas from then on", func() {
		// Guards against sending every record to each data centre on each change.
		a := newAdoptionHarness()
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectInSync()
		for range 3 {
			a.region.commitRevision()
			a.first.Adopt(context.Background())
			Expect(a.region.last().Delta.Changed).To(HaveLen(1))
			a.expectInSync()
		}
		Expect(a.region.acked).To(Equal([]uint64{1, 2, 3, 4}))
	})

	It("pulls the full set after a refused delta", func() {
		// Guards against a data centre that adopts a bad delta, or proposes it
		// to its group again and again.
		a := newAdoptionHarness()
		a.region.commitRevision()
		a.region.beforeReceive = func(r *peer.PullRecordsResponse) {
			if r.Delta != nil {
				r.Delta.Changed = nil
			}
		}
		before := a.stateMachine.RecordsState()
		a.first.Adopt(context.Background())
		Expect(a.stateMachine.RecordsState()).To(Equal(before))
		a.first.Adopt(context.Background())
		Expect(a.region.pulls[len(a.region.pulls)-1].Digest).To(BeNil())
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectInSync()

		// The next change comes as a delta again.
		a.region.beforeReceive = nil
		a.region.commitRevision()
		a.first.Adopt(context.Background())
		Expect(a.region.last().Delta).NotTo(BeNil())
		a.expectInSync()
	})

	It("refuses the later of two leaders that adopt at once", func() {
		// Guards against a former leader whose delta, pulled before its successor
		// adopted newer records, is applied on top of them.
		a := newAdoptionHarness()
		a.region.commitRevision()
		a.region.beforeReceive = func(r *peer.PullRecordsResponse) {
			a.region.beforeReceive = nil
			a.region.commitRevision()
			a.second.Adopt(context.Background())
			a.expectInSync()
		}
		a.first.Adopt(context.Background())
		a.expectInSync()
		Expect(a.stateMachine.Records().Revision).To(Equal(uint64(3)))
		a.region.commitRevision()
		a.first.Adopt(context.Background())
		a.expectInSync()
	})

	It("does not go back when the region group is behind", func() {
		// Guards against a configuration that reverts after the region group
		// lost its latest records, also when it reaches the same revision again
		// with other records.
		a := newAdoptionHarness()
		a.region.commitRevision()
		a.first.Adopt(context.Background())
		ahead := a.stateMachine.RecordsState()
		a.region.set = delta.NewHistory(&model.Records{Revision: 1, FloorRevision: 1}, nil)
		a.first.Adopt(context.Background())
		Expect(a.stateMachine.RecordsState()).To(Equal(ahead))
		Expect(a.region.set.Replace(&model.Records{Revision: 2, FloorRevision: 1})).To(Succeed())
		a.first.Adopt(context.Background())
		Expect(a.stateMachine.RecordsState()).To(Equal(ahead))
		a.region.commitRevision()
		a.first.Adopt(context.Background())
		Expect(a.region.last().Records).NotTo(BeNil())
		a.expectInSync()
	})

	It("takes full sets from a region group of an earlier version", func() {
		// Guards against a data centre that stops adopting while the region
		// group's replicas are not upgraded yet.
		a := newAdoptionHarness()
		for range 2 {
			a.region.commitRevision()
			a.region.beforeReceive = func(r *peer.PullRecordsResponse) {
				r.Records, r.Delta = a.region.set.Records(), nil
			}
			a.first.Adopt(context.Background())
			a.expectInSync()
		}
	})
})
