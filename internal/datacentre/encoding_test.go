package datacentre_test

import (
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/datacentre"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/region"
)

// findFieldClashes collects the structs below t that use a CBOR field number twice.
func findFieldClashes(t reflect.Type, seen map[reflect.Type]bool, clashes *[]string) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		findFieldClashes(t.Elem(), seen, clashes)
		return
	case reflect.Map:
		findFieldClashes(t.Key(), seen, clashes)
		findFieldClashes(t.Elem(), seen, clashes)
		return
	case reflect.Struct:
	default:
		return
	}
	if seen[t] {
		return
	}
	seen[t] = true
	used := map[string]string{}
	for i := range t.NumField() {
		field := t.Field(i)
		number, rest, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		if strings.Contains(rest, "keyasint") {
			if other, ok := used[number]; ok {
				*clashes = append(*clashes, t.String()+": "+other+" and "+field.Name+" have number "+number)
			}
			used[number] = field.Name
		}
		findFieldClashes(field.Type, seen, clashes)
	}
}

var _ = Describe("Log entries, snapshots and messages", func() {
	It("use each field number once in a struct", func() {
		// Guards against two fields with the same number: the codec silently omits
		// both from the encoding.
		var clashes []string
		seen := map[reflect.Type]bool{}
		for _, root := range []any{
			datacentre.Command{}, region.Command{}, model.Records{}, model.Request{}, model.Host{}, model.WaveProgress{},
			model.Assignment{}, peer.RequestResponse{}, peer.DataCentreResponse{}, peer.AnnounceBatchRequest{},
			peer.PullAssignmentsRequest{}, peer.PullRecordsResponse{}, peer.EventsResponse{}, peer.GroupStatusResponse{},
		} {
			findFieldClashes(reflect.TypeOf(root), seen, &clashes)
		}
		Expect(clashes).To(BeEmpty())
		Expect(len(seen)).To(BeNumerically(">", 30))
	})
})
