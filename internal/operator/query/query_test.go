package query_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/event"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/hlc"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/query"
	"agatehaven.dev/agatehaven/internal/peer"
)

func TestQuery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator/query")
}

// backend is a region whose region group cannot be reached.
type backend struct {
	requestErr error
	events     []event.Event
	filter     event.Filter
}

var unavailable = &fault.Unavailable{What: "region group", Reason: "no quorum"}

func (b *backend) Records(context.Context) (*model.Records, error) { return nil, unavailable }

func (b *backend) RecordsInForce(context.Context) (*model.Records, error) {
	return &model.Records{
		Revision: 4, Floors: map[string]map[string]int{"proofs": {"dc-a": 2}},
		Items: []model.Record{
			{Schema: 2, Kind: model.KindPool, Name: "proofs", Spec: json.RawMessage(`{"homes":["dc-a"]}`)},
			{Schema: 99, Kind: model.KindPool, Name: "newer", Spec: json.RawMessage(`{"homes":7}`)},
		},
	}, nil
}

func (b *backend) DataCentres(_ context.Context, requests int) (*query.DataCentres, error) {
	dc := peer.DataCentreResponse{DataCentre: "dc-a"}
	for i := range min(requests, 3) {
		dc.Requests = append(dc.Requests, model.Request{Key: string(rune('a' + i)), Claimed: hlc.Time{WallMillis: int64(i)}, Payload: []byte("x"), Answer: []byte("x")})
	}
	return &query.DataCentres{DataCentres: []peer.DataCentreResponse{dc}, Unreachable: []string{"dc-b"}}, nil
}

func (b *backend) Request(context.Context, string) (*model.Request, error) {
	return &model.Request{Payload: []byte("x"), Answer: []byte("x")}, b.requestErr
}

func (b *backend) GroupStatuses(context.Context) (*query.GroupStatuses, error) {
	return &query.GroupStatuses{Unreachable: []string{"entry-b1"}}, nil
}

func (b *backend) InForce(context.Context) (*query.InForce, error) {
	return &query.InForce{Processes: []peer.InForceResponse{{Host: "entry-a1", Revision: 4}}, Unreachable: []string{"entry-b1", "entry-b2"}}, nil
}

func (b *backend) Events(_ context.Context, f event.Filter) (*query.Events, error) {
	b.filter = f
	return &query.Events{Events: b.events}, nil
}

func get(b *backend, path string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	query.Register(mux, b)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

var _ = Describe("queries", func() {
	It("answer while the region group cannot be reached", func() {
		// Guards against queries that all fail during a partition.
		w := get(&backend{}, "/v1/status")
		Expect(w.Code).To(Equal(http.StatusOK))
		var s query.Status
		Expect(json.Unmarshal(w.Body.Bytes(), &s)).To(Succeed())
		Expect(s.RecordsError).To(ContainSubstring("no quorum"))
		Expect(s.Unreachable).To(Equal([]string{"entry-b1", "entry-b2"}))
		Expect(get(&backend{}, "/v1/pools").Code).To(Equal(http.StatusOK))
		Expect(get(&backend{}, "/v1/waves").Body.String()).To(MatchJSON(`{"revision":4,"waves":[],"unreachable":["dc-b"]}`))
		Expect(get(&backend{}, "/v1/records").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("lists a pool that has lost all hosts, and ignores newer schemas", func() {
		// Guards against a pool that is not listed because it has no hosts left.
		var p query.Pools
		Expect(json.Unmarshal(get(&backend{}, "/v1/pools").Body.Bytes(), &p)).To(Succeed())
		Expect(p.Pools).To(ConsistOf(And(HaveField("Pool", "proofs"), HaveField("Floor", 2), HaveField("Available", 0))))
	})

	It("returns requests newest first, within the limit, without the callers' content", func() {
		// Guards against payloads and answers that are shown to operators.
		w := get(&backend{}, "/v1/requests?limit=2")
		var r query.Requests
		Expect(json.Unmarshal(w.Body.Bytes(), &r)).To(Succeed())
		Expect(r.Requests).To(HaveExactElements(HaveField("Key", "b"), HaveField("Key", "a")))
		for _, body := range []string{w.Body.String(), get(&backend{}, "/v1/requests/a").Body.String()} {
			Expect(body).NotTo(Or(ContainSubstring(`"payload"`), ContainSubstring(`"answer"`)))
		}
	})

	It("explains a request from events if its ledger is not reached", func() {
		// Guards against a decision that cannot be explained in a partition.
		b := &backend{requestErr: &fault.Remote{RemoteCode: fault.CodeNotFound, Text: "gone"}}
		Expect(get(b, "/v1/explain?kind=request&name=r").Code).To(Equal(http.StatusNotFound))
		b.events = []event.Event{{Kind: "request_claimed", Request: "r"}}
		w := get(b, "/v1/explain?kind=request&name=r")
		Expect(w.Code).To(Equal(http.StatusOK))
		Expect(w.Body.String()).To(ContainSubstring("request claimed (request r)"))
		b.requestErr = &fault.Corrupt{What: "x"}
		Expect(get(b, "/v1/explain?kind=request&name=r").Code).To(Equal(http.StatusInternalServerError))
	})

	It("reads event filters with both forms of time", func() {
		// Guards against an operator who follows the events and misses some or
		// gets some twice.
		b := &backend{}
		Expect(get(b, "/v1/events?host=h&wave=w&after=1500.7&until=1970-01-01T00:00:02Z&limit=5").Code).To(Equal(http.StatusOK))
		Expect(b.filter).To(Equal(event.Filter{
			Host: "h", Wave: "w", After: hlc.Time{WallMillis: 1500, Logical: 7}, Until: hlc.Time{WallMillis: 2000}, Limit: 5,
		}))
	})

	DescribeTable("refuse invalid parameters", func(path, text string) {
		// Guards against a misspelt filter that returns everything.
		w := get(&backend{}, path)
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(w.Body.String()).To(ContainSubstring(text))
	},
		Entry(nil, "/v1/hosts?pol=x", "pol: unknown parameter"),
		Entry(nil, "/v1/pools?pool=x", "pool: unknown parameter"),
		Entry(nil, "/v1/events?limit=10001", "1 to 10000"),
		Entry(nil, "/v1/events?after=noon", "is not a time"),
		Entry(nil, "/v1/explain?kind=host", "name: is missing"),
		Entry(nil, "/v1/explain?kind=planet&name=x", "host, wave, request"),
	)
})
