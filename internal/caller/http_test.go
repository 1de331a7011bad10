package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/caller"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/model"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}

// fakeService answers with request or err and records what it was asked.
type fakeService struct {
	request   model.Request
	err       error
	notReady  error
	submitted []caller.Submission
	awaited   time.Duration
	cancelled string
}

func (s *fakeService) NewTicket(context.Context) (string, error) { return "t.dc1.1", s.err }

func (s *fakeService) Submit(_ context.Context, sub caller.Submission) (model.Request, error) {
	s.submitted = append(s.submitted, sub)
	return s.request, s.err
}

func (s *fakeService) Await(_ context.Context, _ string, wait time.Duration) (model.Request, error) {
	s.awaited = wait
	return s.request, s.err
}

func (s *fakeService) Cancel(_ context.Context, key string) (model.Request, error) {
	s.cancelled = key
	return s.request, s.err
}

func (s *fakeService) Ready() error { return s.notReady }

var _ = Describe("Callers' API", func() {
	const body = `{"kind":"draw","team":"x","payload":"cGF5","deadline_ms":1000,"wait_ms":20}`
	var (
		svc    *fakeService
		server *httptest.Server
	)
	BeforeEach(func() {
		svc = &fakeService{request: model.Request{
			Key: "k/1", State: model.RequestFinished, Outcome: model.OutcomeDone, Succeeded: true,
			Answer: []byte(strings.Repeat("a", 200_000)), Attempts: []model.Attempt{{Number: 1}, {Number: 2}},
		}}
		server = httptest.NewServer(caller.NewHandler(svc, caller.Options{MaxPayloadBytes: 1024}))
		DeferCleanup(server.Close)
	})
	send := func(method, path, key, body string) (*http.Response, []byte) {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, data
	}

	It("submits, awaits and cancels, and sends complete answers with their length", func() {
		// Guards against a truncated answer that the caller cannot detect.
		resp, data := send(http.MethodPost, "/v1/requests", "k/1", body)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.ContentLength).To(Equal(int64(len(data))))
		var r caller.Response
		Expect(json.Unmarshal(data, &r)).To(Succeed())
		Expect(r.Answer).To(Equal(svc.request.Answer))
		Expect(r.Attempt).To(Equal(2))
		Expect(svc.submitted).To(Equal([]caller.Submission{{
			Key: "k/1", Kind: "draw", Team: "x", Payload: []byte("pay"), Deadline: time.Second, Wait: 20 * time.Millisecond,
		}}))
		svc.request.State = model.RequestQueued
		resp, _ = send(http.MethodGet, "/v1/requests/k%2F1?wait_ms=7", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusAccepted))
		Expect(svc.awaited).To(Equal(7 * time.Millisecond))
		resp, _ = send(http.MethodDelete, "/v1/requests/k%2F1", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusAccepted))
		Expect(svc.cancelled).To(Equal("k/1"))
		resp, data = send(http.MethodPost, "/v1/tickets", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(string(data)).To(Equal(`{"key":"t.dc1.1"}`))
	})

	It("passes on nothing that belongs to another key", func() {
		// Guards against a caller that gets the answer of another request.
		svc.request.Key = "other"
		resp, data := send(http.MethodGet, "/v1/requests/k%2F1", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusInternalServerError))
		Expect(string(data)).NotTo(ContainSubstring("answer\""))
	})

	DescribeTable("maps errors to status codes and reports the effect of the call",
		// Guards against an unknown effect that is reported to a caller as none.
		func(err error, status int, effect httpapi.Effect) {
			svc.err = err
			resp, data := send(http.MethodPost, "/v1/requests", "k/1", body)
			Expect(resp.StatusCode).To(Equal(status))
			var f httpapi.Failure
			Expect(json.Unmarshal(data, &f)).To(Succeed())
			Expect(f).To(Equal(httpapi.Failure{Code: fault.CodeOf(err), Message: err.Error(), Effect: effect}))
		},
		Entry(nil, &fault.KeyReused{Key: "k"}, 409, httpapi.EffectNone),
		Entry(nil, &fault.NotFound{Kind: "job kind", Name: "x"}, 404, httpapi.EffectNone),
		Entry(nil, &fault.LimitExceeded{What: "queue", Limit: 1}, 429, httpapi.EffectNone),
		Entry(nil, &fault.Unavailable{What: "group"}, 503, httpapi.EffectNone),
		Entry(nil, &fault.NotLeader{Group: "g"}, 503, httpapi.EffectNone),
		Entry(nil, &fault.ProposalUnknown{Group: "g"}, 504, httpapi.EffectUnknown),
		Entry(nil, &fault.SilentConnection{Address: "a"}, 504, httpapi.EffectUnknown),
		Entry(nil, &fault.ConnectionLost{Address: "a"}, 504, httpapi.EffectUnknown),
		Entry(nil, &fault.Remote{RemoteCode: fault.CodeInternal, Text: "x"}, 500, httpapi.EffectUnknown),
	)

	It("refuses new requests while it is not ready, but still answers about earlier ones", func() {
		// Guards against work accepted by a stopping process.
		svc.notReady = &fault.ShuttingDown{}
		for _, path := range []string{"/v1/requests", "/v1/tickets"} {
			resp, _ := send(http.MethodPost, path, "k/1", body)
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(svc.submitted).To(BeEmpty())
		resp, _ := send(http.MethodGet, "/v1/requests/k%2F1", "", "")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	DescribeTable("refuses malformed requests before they reach the service",
		// Guards against bodies that exhaust memory and against misspelt fields
		// that are silently ignored.
		func(key, body string, status int) {
			resp, _ := send(http.MethodPost, "/v1/requests", key, body)
			Expect(resp.StatusCode).To(Equal(status))
			Expect(svc.submitted).To(BeEmpty())
		},
		Entry("no key", "", body, 400),
		Entry("key with a space", "a b", body, 400),
		Entry("long key", strings.Repeat("k", 257), body, 400),
		Entry("no JSON", "k", "{", 400),
		Entry("two documents", "k", body+body, 400),
		Entry("unknown field", "k", `{"kind":"a","team":"b","deadline":5,"deadline_ms":5}`, 400),
		Entry("no kind", "k", `{"team":"b","deadline_ms":5}`, 400),
		Entry("no deadline", "k", `{"kind":"a","team":"b"}`, 400),
		Entry("long wait", "k", `{"kind":"a","team":"b","deadline_ms":5,"wait_ms":99999999}`, 400),
		Entry("large payload", "k", fmt.Sprintf(`{"kind":"a","team":"b","deadline_ms":5,"payload":%q}`, strings.Repeat("QUFB", 400)), 400),
		Entry("large body", "k", fmt.Sprintf(`{"kind":"a","team":"b","deadline_ms":5,"payload":%q}`, strings.Repeat("QUFB", 4000)), 413),
	)
})
