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

// log feeds a machine with entries, as a replica does.
type log struct {
	m     *region.StateMachine
	index uint64
}

func newLog() *log { return &log{m: region.New([]string{"a", "b", "c"})} }

func (l *log) entry(cmd region.Command) region.Result {
	data, err := codec.Marshal(cmd)
	Expect(err).NotTo(HaveOccurred())
	l.index++
	return l.m.Apply(replica.Entry{Index: l.index, Time: hlc.Time{WallMillis: int64(l.index) * 1000}, Data: data}).(region.Result)
}

func (l *log) apply(id string, expected uint64, records ...model.Record) region.Result {
	return l.entry(region.Command{Apply: &peer.ApplyRecordsRequest{
		RequestID: id, ExpectedRevision: expected, Records: records, Operator: "op"}})
}

func (l *log) ack(dc string, revision uint64) region.Result {
	return l.entry(region.Command{Ack: &peer.AckAdoptionRequest{DataCentre: dc, FloorRevision: revision}})
}

func record(schema int, kind model.RecordKind, name, spec string) model.Record {
	return model.Record{Schema: schema, Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

func deleted(kind model.RecordKind, name string) model.Record {
	return model.Record{Schema: 1, Kind: kind, Name: name, Deleted: true}
}

func golden(name, got string) {
	path := "testdata/" + name + ".golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
}

var _ = Describe("Machine", func() {
	It("follows the golden session", func() {
		// Guards against a changed answer, floor or event of any region command.
		l := newLog()
		var out strings.Builder
		say := func(what string, r region.Result) {
			rec := l.m.Records()
			floors, _ := json.Marshal(rec.Floors)
			fmt.Fprintf(&out, "%s\n  revision=%d error=%v\n  items=%d floor_revision=%d floors=%s\n",
				what, r.Revision, r.Err, len(rec.Items), rec.FloorRevision, floors)
		}
		pool2 := record(2, model.KindPool, "render", `{"min_available":10,"floors":{"a":2,"b":2,"c":6}}`)
		say("create a pool", l.apply("r1", 0, record(1, model.KindPool, "render", `{"min_available":10}`)))
		for _, dc := range []string{"a", "b", "c"} {
			say("data centre "+dc+" adopts", l.ack(dc, 1))
		}
		say("resend", l.apply("r1", 0, record(1, model.KindPool, "render", `{"min_available":10}`)))
		say("concurrent operator", l.apply("r2", 0, pool2))
		say("its resend", l.apply("r2", 0, pool2))
		say("same id, other records", l.apply("r2", 1, deleted(model.KindPool, "render")))
		say("move the floor to c", l.apply("r3", 1, pool2))
		say("data centre a adopts", l.ack("a", 2))
		say("data centre c adopts", l.ack("c", 2))
		say("unknown data centre", l.ack("x", 2))
		say("never offered", l.ack("a", 99))
		say("kind without pool, atomic", l.apply("r4", 2, record(1, model.KindQuota, "team", `{}`),
			record(1, model.KindJobKind, "proof", `{"pool":"none"}`)))
		say("kind", l.apply("r5", 2, record(1, model.KindJobKind, "proof", `{"pool":"render"}`)))
		say("delete a pool in use", l.apply("r6", 3, deleted(model.KindPool, "render")))
		say("change homes", l.apply("r7", 3, record(2, model.KindPool, "render", `{"min_available":1,"homes":["a"]}`)))
		say("newer schema", l.apply("r8", 3, record(3, "forecast", "w", `{"x":[1,{"y":null}]}`)))
		say("newer schema of the pool", l.apply("r9", 4, record(3, model.KindPool, "render", `{"shape":"odd"}`)))
		say("delete both", l.apply("r10", 5, deleted(model.KindPool, "render"), deleted(model.KindJobKind, "proof")))
		say("create it again with other homes", l.apply("r11", 6,
			record(2, model.KindPool, "render", `{"min_available":1,"homes":["a"]}`)))
		for _, e := range l.m.Events(hlc.Time{}, 100) {
			fmt.Fprintf(&out, "event %d/%d %s pool=%s %s\n", e.ID.Index, e.ID.Seq, e.Kind, e.Pool, e.Reason)
		}
		golden("session", out.String())
	})

	It("lets one of several operators with equal revisions succeed and answers resends alike", func() {
		// Guards against a lost update, and against a retry after a lost answer
		// that is applied twice or gets another answer than the first.
		for seed := range uint64(100) {
			rng := rand.New(rand.NewPCG(seed, 2))
			l := newLog()
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
					l.m = restored(l.m)
				}
			}
			for revision, n := range won {
				Expect(n).To(Equal(1), "seed %d revision %d", seed, revision)
			}
			Expect(won).To(HaveLen(60))
		}
	})

	It("tells a wave's record that is created again from one that is changed or resent", func() {
		// Guards against a wave that keeps the progress of an earlier one of the
		// same name, also where a data centre never sees the deletion.
		l := newLog()
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
		restored := newLog()
		Expect(restored.m.Restore(data)).To(Succeed())
		Expect(restored.apply("r6", 5, wave).Err).NotTo(HaveOccurred())
		Expect(restored.m.Records().WaveCreated).To(Equal(map[string]uint64{"w": 5}))
	})

	It("refuses a resend whose answer has expired", func() {
		// Guards against a very late resend that takes effect a second time.
		l := newLog()
		Expect(l.apply("r1", 0, record(1, model.KindQuota, "t", `{}`)).Err).To(Succeed())
		l.index += region.AnswerRetentionEntries
		Expect(l.apply("r1", 0, record(1, model.KindQuota, "t", `{}`)).Err).To(BeAssignableToTypeOf(&fault.RevisionConflict{}))
		Expect(l.m.Records().Revision).To(Equal(uint64(1)))
	})

	It("keeps newer records byte for byte through a snapshot", func() {
		// Guards against a process that drops or rewrites what it does not know.
		l := newLog()
		rec := record(9, model.KindPool, "p", "{\n \"b\" : 1.50, \"a\":\"\\u00e9\"}")
		Expect(l.apply("r1", 0, rec).Err).To(Succeed())
		m := restored(l.m)
		Expect(m.Records()).To(Equal(l.m.Records()))
		Expect(m.Records().Items).To(Equal([]model.Record{rec}))
		c, err := model.ParseCatalogue(m.Records())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Skipped).To(Equal([]model.Record{rec}))
		Expect(c.Pools).To(BeEmpty())
	})

	It("signals waiting readers when an acknowledgement alone changes the floors", func() {
		// Guards against a data centre that waits for records and never learns of
		// its lowered floor.
		l := newLog()
		l.apply("r1", 0, record(2, model.KindPool, "p", `{"min_available":3,"floors":{"a":3}}`))
		l.ack("a", 1)
		l.apply("r2", 1, record(2, model.KindPool, "p", `{"min_available":3,"floors":{"b":3}}`))
		before, changed := l.m.Records(), l.m.Changed()
		l.ack("b", 2)
		Expect(changed).To(BeClosed())
		Expect(l.m.Records().Newer(before)).To(BeTrue())
	})
})

func restored(m *region.StateMachine) *region.StateMachine {
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	fresh := region.New([]string{"a", "b", "c"})
	Expect(fresh.Restore(data)).To(Succeed())
	again, err := fresh.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(Equal(data))
	return fresh
}
