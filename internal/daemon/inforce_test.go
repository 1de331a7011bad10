package daemon

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/delta"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/region"
	"agatehaven.dev/agatehaven/internal/replica"
)

// encodeAndDecode returns a copy of a value that went through its encoding.
func encodeAndDecode[T any](v *T) *T {
	GinkgoHelper()
	data, err := codec.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	out := new(T)
	Expect(codec.Unmarshal(data, out)).To(Succeed())
	return out
}

// replicatedGroups holds the state machines of the region group and of one data
// centre group, and applies commands to them as a log does.
type replicatedGroups struct {
	region     *region.StateMachine
	dataCentre *datacentre.StateMachine
	index      uint64
}

func newReplicatedGroups() *replicatedGroups {
	return &replicatedGroups{region: region.New([]string{"a", "b"}), dataCentre: datacentre.New("a", nil)}
}

func (m *replicatedGroups) entry(data []byte) replica.Entry {
	m.index++
	return replica.Entry{Index: m.index, Term: 1, Time: hlc.Time{WallMillis: int64(m.index)}, Data: data}
}

func (m *replicatedGroups) change(records ...model.Record) error {
	GinkgoHelper()
	data, err := codec.Marshal(region.Command{Apply: &peer.ApplyRecordsRequest{
		RequestID: fmt.Sprint(m.index), ExpectedRevision: m.region.Records().Revision, Records: records}})
	Expect(err).NotTo(HaveOccurred())
	return m.region.Apply(m.entry(data)).(region.Result).Err
}

func (m *replicatedGroups) ack(dc string, floors uint64) {
	GinkgoHelper()
	data, err := codec.Marshal(region.Command{Ack: &peer.AckAdoptionRequest{DataCentre: dc, FloorRevision: floors}})
	Expect(err).NotTo(HaveOccurred())
	Expect(m.region.Apply(m.entry(data)).(region.Result).Err).To(Succeed())
}

// pull returns the region group's answer to a pull of the data centre group, as
// the command that adopts it.
func (m *replicatedGroups) pull(full bool) *datacentre.Command {
	have := m.dataCentre.RecordsState()
	if full {
		have.Digest = delta.Digest{}
	}
	records, d := m.region.RecordsSince(have)
	if records == nil && d == nil {
		return nil
	}
	return &datacentre.Command{Adopt: records, AdoptDelta: d}
}

func (m *replicatedGroups) adopt(cmd *datacentre.Command) error {
	GinkgoHelper()
	data, err := codec.Marshal(cmd)
	Expect(err).NotTo(HaveOccurred())
	return m.dataCentre.Apply(m.entry(data)).(datacentre.Result).Err
}

// serve answers a pull of an entry host as the handler does.
func (m *replicatedGroups) serve(r *peer.PullRecordsRequest) *peer.PullRecordsResponse {
	out := &peer.PullRecordsResponse{}
	out.Records, out.Delta = m.dataCentre.RecordsSince(encodeAndDecode(r).State())
	return encodeAndDecode(out)
}

func applyPull(f *recordsInForce, r *peer.PullRecordsResponse) error {
	switch {
	case r.Delta != nil:
		return f.applyDelta(r.Delta)
	case r.Records != nil:
		return f.adopt(r.Records)
	}
	return nil
}

func quotaRecord(i, running int) model.Record {
	return model.Record{Schema: 1, Kind: model.KindQuota, Name: fmt.Sprintf("t%02d", i),
		Spec: fmt.Appendf(nil, `{ "max_running" : %d }`, running)}
}

func expectInForce(f *recordsInForce, want *model.Records, note ...any) {
	GinkgoHelper()
	got, catalogue := f.get()
	Expect(delta.StateOf(got)).To(Equal(delta.StateOf(want)), note...)
	Expect(f.state).To(Equal(delta.StateOf(want)), note...)
	Expect(got.Items).To(Equal(want.Items), note...)
	Expect(catalogue.Revision).To(Equal(want.Revision), note...)
}

var _ = Describe("Records in force", func() {
	It("are updated by deltas after the first full set", func() {
		// Guards against a change that sends every record to each entry host.
		m, f := newReplicatedGroups(), newRecordsInForce()
		Expect(m.change(quotaRecord(0, 1), quotaRecord(1, 1), quotaRecord(2, 1))).To(Succeed())
		Expect(m.adopt(m.pull(false))).To(Succeed())
		pullRequest, first := f.pullRequest("a")
		Expect(first).To(BeTrue())
		Expect(pullRequest.Digest).To(BeNil())
		Expect(applyPull(f, m.serve(pullRequest))).To(Succeed())
		Expect(m.change(quotaRecord(1, 7))).To(Succeed())
		Expect(m.adopt(m.pull(false))).To(Succeed())
		pullRequest, first = f.pullRequest("a")
		Expect(first).To(BeFalse())
		response := m.serve(pullRequest)
		Expect(response.Records).To(BeNil())
		Expect(response.Delta.Changed).To(Equal([]model.Record{quotaRecord(1, 7)}))
		Expect(applyPull(f, response)).To(Succeed())
		expectInForce(f, m.region.Records())
		_, catalogue := f.get()
		Expect(catalogue.Quotas["t01"].MaxRunning).To(Equal(7))
	})

	It("are pulled in full after a refused delta and stay in force until then", func() {
		// Guards against a delta that is applied in part or asked for again.
		m, f := newReplicatedGroups(), newRecordsInForce()
		Expect(m.change(quotaRecord(0, 1), quotaRecord(1, 1), quotaRecord(2, 1))).To(Succeed())
		Expect(m.adopt(m.pull(false))).To(Succeed())
		pullRequest, _ := f.pullRequest("a")
		Expect(applyPull(f, m.serve(pullRequest))).To(Succeed())
		before, _ := f.get()
		Expect(m.change(quotaRecord(1, 7))).To(Succeed())
		Expect(m.adopt(m.pull(false))).To(Succeed())
		pullRequest, _ = f.pullRequest("a")
		response := m.serve(pullRequest)
		good := encodeAndDecode(response)
		response.Delta.Changed[0].Spec = []byte(`{"max_running":8}`)
		Expect(fault.CodeOf(applyPull(f, response))).To(Equal(fault.CodeCorrupt))
		expectInForce(f, before)
		pullRequest, _ = f.pullRequest("a")
		Expect(pullRequest.Digest).To(BeNil())
		Expect(pullRequest.Revision).To(Equal(uint64(1)))
		response = m.serve(pullRequest)
		Expect(response.Records).NotTo(BeNil())
		Expect(applyPull(f, response)).To(Succeed())
		expectInForce(f, m.region.Records())
		pullRequest, _ = f.pullRequest("a")
		Expect(pullRequest.Digest).NotTo(BeNil())

		// A repeated delta changes nothing either.
		Expect(fault.CodeOf(applyPull(f, good))).To(Equal(fault.CodePrecondition))
		expectInForce(f, m.region.Records())
	})

	It("refuse a delta before the first full set", func() {
		// Guards against a process that acts on records that it never read.
		f := newRecordsInForce()
		Expect(fault.CodeOf(f.applyDelta(&delta.Delta{To: delta.State{Revision: 1}}))).To(Equal(fault.CodePrecondition))
		records, _ := f.get()
		Expect(records).To(BeNil())
	})

	It("end with exactly the region group's records", func() {
		// Guards against orders of changes, acknowledgements, restarts, late
		// adoptions and pulls after which a data centre or an entry host acts on
		// other records than the region group's, or returns to older ones.
		deltas, fullSets, refused := 0, 0, 0
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 21))
			m := newReplicatedGroups()
			entryHosts := []*recordsInForce{newRecordsInForce(), newRecordsInForce()}
			var late []*datacentre.Command
			adopt := func() {
				full := false
				for cmd := m.pull(full); cmd != nil; cmd = m.pull(full) {
					if err := m.adopt(cmd); err != nil {
						Expect(full).To(BeFalse(), "seed %d: %v", seed, err)
						full = true
						continue
					}
					if cmd.AdoptDelta != nil {
						deltas++
					} else {
						fullSets++
					}
				}
				Expect(m.dataCentre.RecordsState()).To(Equal(delta.StateOf(m.region.Records())), "seed %d", seed)
			}
			for range 150 {
				revision, floors := m.dataCentre.Records().Revision, m.dataCentre.Records().FloorRevision
				f := entryHosts[rng.IntN(len(entryHosts))]
				switch rng.IntN(9) {
				case 0, 1, 2:
					rec := quotaRecord(rng.IntN(12), rng.IntN(5))
					rec.Deleted = rng.IntN(3) == 0
					_ = m.change(rec) // the deletion of an absent record is refused
				case 3:
					floor := rng.IntN(6)
					_ = m.change(model.Record{Schema: 2, Kind: model.KindPool, Name: fmt.Sprintf("p%d", rng.IntN(3)),
						Deleted: rng.IntN(4) == 0, Spec: fmt.Appendf(nil, `{"min_available":5,"floors":{"a":%d,"b":%d}}`, floor, 5-floor)})
				case 4:
					m.ack([]string{"a", "b"}[rng.IntN(2)], rng.Uint64N(m.region.Records().FloorRevision+1))
				case 5: // an adoption that commits late, as after a change of leader
					if cmd := m.pull(false); cmd != nil && rng.IntN(2) == 0 {
						late = append(late, cmd)
					} else if len(late) > 0 && m.adopt(late[rng.IntN(len(late))]) != nil {
						refused++
					}
				case 6: // a restart, at times from a snapshot without history
					data, err := m.region.Snapshot()
					Expect(err).NotTo(HaveOccurred())
					if rng.IntN(4) == 0 {
						var parts map[int]any
						Expect(codec.Unmarshal(data, &parts)).To(Succeed())
						delete(parts, 6)
						data, err = codec.Marshal(parts)
						Expect(err).NotTo(HaveOccurred())
					}
					m.region = region.New([]string{"a", "b"})
					Expect(m.region.Restore(data)).To(Succeed())
					data, err = m.dataCentre.Snapshot()
					Expect(err).NotTo(HaveOccurred())
					m.dataCentre = datacentre.New("a", nil)
					Expect(m.dataCentre.Restore(data)).To(Succeed())
				case 7:
					adopt()
				case 8:
					pullRequest, _ := f.pullRequest("a")
					Expect(applyPull(f, m.serve(pullRequest))).To(Succeed())
					if m.dataCentre.Records().Revision > 0 {
						expectInForce(f, m.dataCentre.Records(), "seed %d", seed)
					}
				}
				after := m.dataCentre.Records()
				Expect(after.Revision).To(BeNumerically(">=", revision), "seed %d", seed)
				Expect(after.FloorRevision).To(BeNumerically(">=", floors), "seed %d", seed)
			}
			Expect(m.change(quotaRecord(0, 9))).To(Succeed())
			adopt()
			for _, f := range entryHosts {
				pullRequest, _ := f.pullRequest("a")
				Expect(applyPull(f, m.serve(pullRequest))).To(Succeed())
				expectInForce(f, m.region.Records(), "seed %d", seed)
			}
		}
		Expect(deltas).To(BeNumerically(">", 200))
		Expect(fullSets).To(BeNumerically(">", 100))
		Expect(refused).To(BeNumerically(">", 100))
	})
})
