package model_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "model")
}

var _ = Describe("records", func() {
	It("answers every submitted record as in the golden session", func() {
		// Guards against a record that is refused or accepted by mistake, and
		// against a refusal that does not name the field and its allowed range.
		input, err := os.ReadFile("testdata/records.jsonl")
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		for line := range strings.Lines(string(input)) {
			var rec model.Record
			Expect(json.Unmarshal([]byte(line), &rec)).To(Succeed())
			err := model.ValidateRecord(rec)
			if err == nil {
				fmt.Fprintf(&out, "%s  accepted\n", line)
				continue
			}
			Expect(err).To(BeAssignableToTypeOf(&fault.Invalid{}))
			fmt.Fprintf(&out, "%s  %v\n", line, err)
		}
		if os.Getenv("UPDATE_GOLDEN") != "" {
			Expect(os.WriteFile("testdata/records.golden", []byte(out.String()), 0o644)).To(Succeed())
		}
		want, err := os.ReadFile("testdata/records.golden")
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(Equal(string(want)))
	})

	It("decodes both schemas with defaults and skips newer ones", func() {
		// Guards against a zero instead of the default of a missing field, and
		// against a newer record that is interpreted by an older schema.
		newer := model.Record{Schema: 3, Kind: model.KindPool, Name: "p3", Spec: json.RawMessage(`{"min_available":"many"}`)}
		c, err := model.ParseCatalogue(&model.Records{
			Revision: 7, Homes: map[string][]string{"p1": {"a", "b"}}, Floors: map[string]map[string]int{"p1": {"a": 1}},
			Items: []model.Record{
				{Schema: 1, Kind: model.KindJobKind, Name: "draw", Spec: json.RawMessage(`{"pool":"p1","priority":"urgent"}`)},
				{Schema: 2, Kind: model.KindJobKind, Name: "proof", Spec: json.RawMessage(`{"pool":"p1","idempotent":true}`)},
				{Schema: 1, Kind: model.KindPool, Name: "p1", Spec: json.RawMessage(`{"min_available":1,"later":true}`)},
				newer,
				{Schema: 2, Kind: model.KindQuota, Name: "t", Spec: json.RawMessage(`{"max_running":0}`)},
				{Schema: 1, Kind: model.KindWave, Name: "w", Spec: json.RawMessage(`{"pool":"p1"}`)},
			}})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(Equal(uint64(7)))
		Expect(c.JobKinds["draw"].MaxAttempts).To(Equal(1))
		Expect(c.JobKinds["proof"].MaxAttempts).To(Equal(model.DefaultMaxAttempts))
		Expect(c.JobKinds["proof"].Priority).To(Equal(model.Normal))
		Expect(c.Pools["p1"].Homes).To(Equal([]string{"a", "b"}))
		Expect(c.Floors["p1"]["a"]).To(Equal(1))
		Expect(*c.Quotas["t"]).To(Equal(model.Quota{Team: "t", MaxQueued: model.DefaultMaxQueued}))
		Expect(*c.Waves["w"]).To(Equal(model.Wave{Name: "w", Pool: "p1", State: model.WaveRunning, FailureThreshold: 2,
			ReturnLimitMS: model.DefaultReturnLimitMS, VerifyMS: model.DefaultVerifyMS}))
		Expect(c.Skipped).To(Equal([]model.Record{newer}))
	})
})
