package region_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/codec"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/region"
	"agatehaven.dev/agatehaven/internal/replica"
)

func TestRegion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "region")
}

// entryLog applies entries to a state machine, as a replica does.
type entryLog struct {
	m     *region.StateMachine
	index uint64
}

func newEntryLog() *entryLog { return &entryLog{m: region.New([]string{"a", "b", "c"})} }

func (l *entryLog) entry(cmd region.Command) region.Result {
	data, err := codec.Marshal(cmd)
	Expect(err).NotTo(HaveOccurred())
	l.index++
	return l.m.Apply(replica.Entry{Index: l.index, Time: hlc.Time{WallMillis: int64(l.index) * 1000}, Data: data}).(region.Result)
}

func (l *entryLog) apply(id string, expected uint64, records ...model.Record) region.Result {
	return l.entry(region.Command{Apply: &peer.ApplyRecordsRequest{
		RequestID: id, ExpectedRevision: expected, Records: records, Operator: "op"}})
}

func (l *entryLog) ack(dc string, revision uint64) region.Result {
	return l.entry(region.Command{Ack: &peer.AckAdoptionRequest{DataCentre: dc, FloorRevision: revision}})
}

func record(schema int, kind model.RecordKind, name, spec string) model.Record {
	return model.Record{Schema: schema, Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

func deleted(kind model.RecordKind, name string) model.Record {
	return model.Record{Schema: 1, Kind: kind, Name: name, Deleted: true}
}

func expectGolden(name, got string) {
	path := "testdata/" + name + ".golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}

var _ = Describe("StateMachine", func() {
	It("gives the answers, floors and events of the golden file", func() {
		// Guards against an unintended change of any command's answer, floors or
		// events.
		l := newEntryLog()
		var out strings.Builder
		report := func(what string, r region.Result) {
			rec := l.m.Records()
			floors, _ := json.Marshal(rec.Floors)
			fmt.Fprintf(&out, "%s\n  revision=%d error=%v\n  items=%d floor_revision=%d floors=%s\n",
				what, r.Revision, r.Err, len(rec.Items), rec.FloorRevision, floors)
		}
		pool2 := record(2, model.KindPool, "render", `{"min_available":10,"floors":{"a":2,"b":2,"c":6}}`)
		report("create a pool", l.apply("r1", 0, record(1, model.KindPool, "render", `{"min_available":10}`)))
		for _, dc := range []string{"a", "b", "c"} {
			report("data centre "+dc+" adopts", l.ack(dc, 1))
		}
		report("resend", l.apply("r1", 0, record(1, model.KindPool, "render", `{"min_available":10}`)))
		report("concurrent operator", l.apply("r2", 0, pool2))
		report("its resend", l.apply("r2", 0, pool2))
		report("same id, other records", l.apply("r2", 1, deleted(model.KindPool, "render")))
		report("move the floor to c", l.apply("r3", 1, pool2))
		report("data centre a adopts", l.ack("a", 2))
		report("data centre c adopts", l.ack("c", 2))
		report("unknown data centre", l.ack("x", 2))
		report("never offered", l.ack("a", 99))
		report("kind without pool, atomic", l.apply("r4", 2, record(1, model.KindQuota, "team", `{}`),
			record(1, model.KindJobKind, "proof", `{"pool":"none"}`)))
		report("kind", l.apply("r5", 2, record(1, model.KindJobKind, "proof", `{"pool":"render"}`)))
		report("delete a pool in use", l.apply("r6", 3, deleted(model.KindPool, "render")))
		report("change homes", l.apply("r7", 3, record(2, model.KindPool, "render", `{"min_available":1,"homes":["a"]}`)))
		report("newer schema", l.apply("r8", 3, record(3, "forecast", "w", `{"x":[1,{"y":null}]}`)))
		report("newer schema of the pool", l.apply("r9", 4, record(3, model.KindPool, "render", `{"shape":"odd"}`)))
		report("delete both", l.apply("r10", 5, deleted(model.KindPool, "render"), deleted(model.KindJobKind, "proof")))
		report("create it again with other homes", l.apply("r11", 6,
			record(2, model.KindPool, "render", `{"min_available":1,"homes":["a"]}`)))
		for _, e := range l.m.Events(hlc.Time{}, 100) {
			fmt.Fprintf(&out, "event %d/%d %s pool=%s %s\n", e.ID.Index, e.ID.Seq, e.Kind, e.Pool, e.Reason)
		}
		expectGolden("session", out.String())
	})

	It("lets one of several requests for a revision succeed and gives repeated requests the first answer", func() {
		// Guards against a lost update, and against a retry after a lost answer
		// that is applied twice or gets another answer than the first one.
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 2))
			l := newEntryLog()
			type sent struct {
				id       string
				expected uint64
				rec      model.Record
				first    region.Result
			}
			var all []sent
			won := map[uint64]int{}
			for range 60 {
				seen := l.m.Records().Revision
				for op := range 2 + rng.IntN(3) {
					s := sent{id: fmt.Sprintf("%d-%d", seen, len(all)), expected: seen,
						rec: record(1, model.KindQuota, fmt.Sprintf("t%d", op), fmt.Sprintf(`{"max_running":%d}`, rng.IntN(50)))}
					s.first = l.apply(s.id, s.expected, s.rec)
					if s.first.Err == nil {
						won[seen]++
					}
					all = append(all, s)
				}
				again := all[rng.IntN(len(all))]
				before := l.m.Records()
				Expect(l.apply(again.id, again.expected, again.rec)).To(Equal(again.first), "seed %d", seed)
				Expect(l.m.Records()).To(BeIdenticalTo(before))
				if rng.IntN(5) == 0 {
					l.m = restoreFromSnapshot(l.m)
				}
			}
			for revision, n := range won {
				Expect(n).To(Equal(1), "seed %d revision %d", seed, revision)
			}
			Expect(won).To(HaveLen(60))
		}
	})

	It("distinguishes a wave's record that is created again from one that is changed or sent again", func() {
		// Guards against a wave that takes over the progress of an earlier one of
		// the same name when a data centre never sees the deletion in between.
		l := newEntryLog()
		wave := record(1, model.KindWave, "w", `{"pool":"p"}`)
		Expect(l.apply("r1", 0, record(1, model.KindPool, "p", `{"min_available":1}`), wave).Err).NotTo(HaveOccurred())
		Expect(l.m.Records().WaveCreated).To(Equal(map[string]uint64{"w": 1}))
		Expect(l.apply("r2", 1, record(1, model.KindWave, "w", `{"pool":"p","resume":1}`)).Err).NotTo(HaveOccurred())
		Expect(l.apply("r2", 1, record(1, model.KindWave, "w", `{"pool":"p","resume":1}`)).Err).NotTo(HaveOccurred())
		Expect(l.apply("r3", 2, wave).Err).NotTo(HaveOccurred())
		Expect(l.m.Records().WaveCreated).To(Equal(map[string]uint64{"w": 1}))
		Expect(l.apply("r4", 3, deleted(model.KindWave, "w")).Err).NotTo(HaveOccurred())
		Expect(l.m.Records().WaveCreated).To(BeEmpty())
		Expect(l.apply("r5", 4, wave).Err).NotTo(HaveOccurred())
		data, err := l.m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := newEntryLog()
		Expect(restored.m.Restore(data)).To(Succeed())
		Expect(restored.apply("r6", 5, wave).Err).NotTo(HaveOccurred())
		Expect(restored.m.Records().WaveCreated).To(Equal(map[string]uint64{"w": 5}))
	})

	It("refuses a repeated request whose answer has expired", func() {
		// Guards against a very late repetition that takes effect a second time.
		l := newEntryLog()
		Expect(l.apply("r1", 0, record(1, model.KindQuota, "t", `{}`)).Err).To(Succeed())
		l.index += region.AnswerRetentionEntries
		Expect(l.apply("r1", 0, record(1, model.KindQuota, "t", `{}`)).Err).To(BeAssignableToTypeOf(&fault.RevisionConflict{}))
		Expect(l.m.Records().Revision).To(Equal(uint64(1)))
	})

	It("keeps newer records byte for byte through a snapshot", func() {
		// Guards against a process that drops or rewrites records of a schema that
		// it does not know.
		l := newEntryLog()
		rec := record(9, model.KindPool, "p", "{\n \"b\" : 1.50, \"a\":\"\\u00e9\"}")
		Expect(l.apply("r1", 0, rec).Err).To(Succeed())
		m := restoreFromSnapshot(l.m)
		Expect(m.Records()).To(Equal(l.m.Records()))
		Expect(m.Records().Items).To(Equal([]model.Record{rec}))
		c, err := model.ParseCatalogue(m.Records())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Skipped).To(Equal([]model.Record{rec}))
		Expect(c.Pools).To(BeEmpty())
	})

	It("notifies waiting readers when an acknowledgement alone changes the floors", func() {
		// Guards against a data centre that waits for records and never receives
		// its lowered floor.
		l := newEntryLog()
		l.apply("r1", 0, record(2, model.KindPool, "p", `{"min_available":3,"floors":{"a":3}}`))
		l.ack("a", 1)
		l.apply("r2", 1, record(2, model.KindPool, "p", `{"min_available":3,"floors":{"b":3}}`))
		before, changed := l.m.Records(), l.m.Changed()
		l.ack("b", 2)
		Expect(changed).To(BeClosed())
		Expect(l.m.Records().Newer(before)).To(BeTrue())
	})
})

func restoreFromSnapshot(m *region.StateMachine) *region.StateMachine {
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	fresh := region.New([]string{"a", "b", "c"})
	Expect(fresh.Restore(data)).To(Succeed())
	again, err := fresh.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(Equal(data))
	return fresh
}
