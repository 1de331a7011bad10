package datacentre_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/inventory"
	"agatehaven.dev/agatehaven/internal/ledger"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/replica"
)

func TestDatacentre(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "datacentre")
}

// testLog applies commands to a state machine with rising indexes and times.
type testLog struct {
	stateMachine *datacentre.StateMachine
	index        uint64
}

func (l *testLog) apply(cmd datacentre.Command) datacentre.Result {
	GinkgoHelper()
	data, err := codec.Marshal(cmd)
	Expect(err).NotTo(HaveOccurred())
	l.index++
	entry := replica.Entry{Index: l.index, Term: 1, Time: hlc.Time{WallMillis: int64(l.index) * 1000}, Data: data}
	return l.stateMachine.Apply(entry).(datacentre.Result)
}

func records(revision uint64) *model.Records {
	return &model.Records{
		Revision: revision, FloorRevision: revision,
		Items: []model.Record{
			{Schema: 2, Kind: model.KindPool, Name: "work", Spec: []byte(`{"min_available":0,"homes":["dc-a"]}`)},
			{Schema: 2, Kind: model.KindJobKind, Name: "order", Spec: []byte(`{"pool":"work","priority":"normal","max_attempts":1}`)},
		},
		Floors: map[string]map[string]int{"work": {"dc-a": 0}},
	}
}

func register(incarnation string) datacentre.Command {
	return datacentre.Command{Inventory: &inventory.Command{Register: &inventory.Register{Info: model.HostInfo{
		Name: "h1", DataCentre: "dc-a", Rack: "r1", Address: "127.0.0.1:1", Incarnation: incarnation,
		CPUMillis: 8000, MemoryMB: 8000, Slots: 8, Connections: 64, Pool: "work",
	}}}}
}

func newLogWithAttempt() *testLog {
	GinkgoHelper()
	l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
	Expect(l.apply(datacentre.Command{Adopt: records(2)}).Err).NotTo(HaveOccurred())
	Expect(l.apply(register("1")).Err).NotTo(HaveOccurred())
	Expect(l.apply(datacentre.Command{Ledger: &ledger.Command{Claim: &ledger.Claim{Key: "k", Kind: "order"}}}).Err).NotTo(HaveOccurred())
	result := l.apply(datacentre.Command{Ledger: &ledger.Command{Dispatch: &ledger.Dispatch{Items: []ledger.DispatchItem{
		{Key: "k", Attempt: 1, Host: "h1", Owner: "entry-a1", OwnerIncarnation: "p"},
	}}}})
	Expect(result.Dispatched).To(HaveLen(1))
	return l
}

var _ = Describe("Entries and snapshots of a newer version", func() {
	It("are refused as a whole", func() {
		// Guards against replicas that diverge because one ignores a field that
		// another one applies.
		stateMachine := datacentre.New("dc-a", nil)
		before, err := stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		for _, entry := range []any{map[int]int{99: 1}, map[int]map[int]int{2: {99: 1}}} {
			data, err := codec.Marshal(entry)
			Expect(err).NotTo(HaveOccurred())
			Expect(stateMachine.Apply(replica.Entry{Index: 1, Term: 1, Data: data})).To(BeAssignableToTypeOf(&fault.Unsupported{}))
		}
		data, err := codec.Marshal(map[int]int{99: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(fault.CodeOf(stateMachine.Restore(data))).To(Equal(fault.CodeUnsupported))
		after, err := stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
	})
})

var _ = Describe("StateMachine", func() {
	It("refuses records that are not newer", func() {
		// Guards against a configuration that reverts.
		l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
		Expect(l.apply(datacentre.Command{Adopt: records(5)}).Err).NotTo(HaveOccurred())
		for _, revision := range []uint64{4, 5} {
			Expect(fault.CodeOf(l.apply(datacentre.Command{Adopt: records(revision)}).Err)).To(Equal(fault.CodeRevisionConflict))
		}
		Expect(l.stateMachine.Records().Revision).To(Equal(uint64(5)))
	})

	It("restarts a wave whose record was created again between two adoptions", func() {
		// Guards against a new wave that takes over the progress of an earlier one
		// of the same name: the data centre may skip the revision without it.
		l := &testLog{stateMachine: datacentre.New("dc-a", nil)}
		adopt := func(revision, created uint64) {
			r := records(revision)
			r.Items = append(r.Items, model.Record{Schema: 2, Kind: model.KindWave, Name: "w", Spec: []byte(`{"pool":"work"}`)})
			r.WaveCreated = map[string]uint64{"w": created}
			Expect(l.apply(datacentre.Command{Adopt: r}).Err).NotTo(HaveOccurred())
		}
		finished := func() bool {
			done := false
			l.stateMachine.View(func(v datacentre.View) {
				p, _ := v.Hosts.Wave("w")
				done = !p.Finished.IsZero()
			})
			return done
		}
		adopt(2, 2)
		Expect(l.apply(datacentre.Command{Inventory: &inventory.Command{
			FinishWave: &inventory.FinishWave{Wave: "w", Created: 2}}}).Err).NotTo(HaveOccurred())
		adopt(3, 2)
		Expect(finished()).To(BeTrue())
		adopt(5, 5)
		Expect(finished()).To(BeFalse())
	})

	It("makes the attempts on a restarted host unknown in the same entry", func() {
		// Guards against an attempt that stays assigned although its task ended
		// with the earlier incarnation.
		l := newLogWithAttempt()
		Expect(l.apply(register("2")).Err).NotTo(HaveOccurred())
		r, ok := l.stateMachine.Request("k")
		Expect(ok).To(BeTrue())
		Expect(r.Outcome).To(Equal(model.OutcomeUnknown))
	})

	It("continues from a snapshot as from the log", func() {
		// Guards against state that is missing from the snapshot.
		l := newLogWithAttempt()
		data, err := l.stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := &testLog{stateMachine: datacentre.New("dc-a", nil), index: l.index}
		Expect(restored.stateMachine.Restore(data)).To(Succeed())
		report := datacentre.Command{Ledger: &ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{
			{Key: "k", Attempt: 1, State: model.AttemptSucceeded, Answer: []byte("done")},
		}}}}
		l.apply(report)
		restored.apply(report)
		first, err := l.stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		second, err := restored.stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	It("keeps the key of a finished request through reductions and snapshots", func() {
		// Guards against a second run after the retention of the answer, and
		// against a state machine that reduces requests to their keys before the
		// log sets a limit on keys.
		l := newLogWithAttempt()
		Expect(l.apply(datacentre.Command{Ledger: &ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{
			{Key: "k", Attempt: 1, State: model.AttemptSucceeded, Answer: []byte("done")},
		}}}}).Err).NotTo(HaveOccurred())
		expire := datacentre.Command{Ledger: &ledger.Command{Expire: &ledger.Expire{}}}
		l.index += 600
		l.apply(expire)
		r, _ := l.stateMachine.Request("k")
		Expect(r.DetailsExpired).To(BeFalse())
		limits := ledger.DefaultLimits()
		l.apply(datacentre.Command{Ledger: &ledger.Command{SetLimits: &limits}})
		l.apply(expire)
		data, err := l.stateMachine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := &testLog{stateMachine: datacentre.New("dc-a", nil), index: l.index}
		Expect(restored.stateMachine.Restore(data)).To(Succeed())
		for _, l := range []*testLog{l, restored} {
			r, _ := l.stateMachine.Request("k")
			Expect(r.DetailsExpired).To(BeTrue())
			resent := l.apply(datacentre.Command{Ledger: &ledger.Command{Claim: &ledger.Claim{Key: "k", Kind: "order"}}})
			Expect(resent.Request).To(Equal(r))
			reused := l.apply(datacentre.Command{Ledger: &ledger.Command{Claim: &ledger.Claim{Key: "k", Kind: "order", Payload: []byte("x")}}})
			Expect(fault.CodeOf(reused.Err)).To(Equal(fault.CodeKeyReused))
		}
	})

	It("wakes the waiters of a request when it changes", func() {
		// Guards against a caller that waits until its time-out although the answer
		// is there.
		l := newLogWithAttempt()
		changed, stop := l.stateMachine.WatchRequest("k")
		defer stop()
		Expect(changed).NotTo(BeClosed())
		l.apply(datacentre.Command{Ledger: &ledger.Command{Report: &ledger.Report{Reports: []model.AttemptReport{
			{Key: "k", Attempt: 1, State: model.AttemptFailed},
		}}}})
		Expect(changed).To(BeClosed())
	})
})
