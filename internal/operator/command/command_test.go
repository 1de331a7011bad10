package command_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/operator/command"
	"agatehaven.dev/agatehaven/internal/peer"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator/command")
}

// backend records the last command.
type backend struct {
	got any
	err error
}

func (b *backend) ApplyRecords(_ context.Context, r *peer.ApplyRecordsRequest) (*peer.ApplyRecordsResponse, error) {
	b.got = r
	return &peer.ApplyRecordsResponse{Revision: 7}, b.err
}

func (b *backend) HostCommand(_ context.Context, r *peer.HostCommandRequest) (*peer.HostCommandResponse, error) {
	b.got = r
	return &peer.HostCommandResponse{}, b.err
}

func (b *backend) ChangeReplicas(_ context.Context, r *peer.ChangeReplicasRequest) (*peer.ChangeReplicasResponse, error) {
	b.got = r
	return &peer.ChangeReplicasResponse{}, b.err
}

func (b *backend) CancelRequest(_ context.Context, r *peer.CancelRequestRequest) (*peer.RequestResponse, error) {
	b.got = r
	return &peer.RequestResponse{Request: model.Request{Key: r.Key, Payload: []byte("x"), Answer: []byte("x")}}, b.err
}

func call(b *backend, method, path, body string, change func(*http.Request)) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	command.Register(mux, b, 512)
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

const drainBody = `{"data_centre":"dc-a","operator":"kim","reason":"x"}`

var _ = Describe("commands", func() {
	It("passes host and action of the path", func() {
		// Guards against an order that reaches another host.
		b := &backend{}
		Expect(call(b, "POST", "/v1/hosts/exec-1/drain", drainBody, nil).Code).To(Equal(http.StatusOK))
		Expect(b.got).To(Equal(&peer.HostCommandRequest{DataCentre: "dc-a", Host: "exec-1", Action: peer.HostDrain, Operator: "kim", Reason: "x"}))
	})

	It("takes the operator's name from a verified certificate", func() {
		// Guards against an operator who acts under another operator's name.
		b := &backend{}
		call(b, "POST", "/v1/hosts/exec-1/drain", drainBody, func(r *http.Request) {
			certificate := &x509.Certificate{Subject: pkix.Name{CommonName: "alex"}}
			r.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{certificate}}}
		})
		Expect(b.got).To(HaveField("Operator", "alex"))
	})

	It("takes keys with a slash and hides the caller's content", func() {
		// Guards against a key that cannot be cancelled because of its slash, and
		// against a caller's answer that is shown to operators.
		b := &backend{}
		w := call(b, "DELETE", "/v1/requests/fee%2F7", `{"operator":"kim"}`, nil)
		Expect(b.got).To(Equal(&peer.CancelRequestRequest{Key: "fee/7", Actor: "kim"}))
		Expect(w.Body.String()).NotTo(Or(ContainSubstring("payload"), ContainSubstring("answer")))
	})

	It("returns the status and code of a refusal", func() {
		// Guards against a refusal that looks like an internal error.
		b := &backend{err: &fault.Precondition{What: "drain", Reason: "floor 2"}}
		w := call(b, "POST", "/v1/hosts/exec-1/drain", drainBody, nil)
		Expect(w.Code).To(Equal(http.StatusConflict))
		Expect(w.Body.String()).To(MatchJSON(`{"code":"precondition_failed","message":"drain refused: floor 2","effect":"none"}`))
	})

	DescribeTable("refuses malformed commands before they reach the backend", func(path, body string, status int, text string) {
		// Guards against an incomplete command in a replicated log.
		b := &backend{}
		w := call(b, "POST", path, body, nil)
		Expect(w.Code).To(Equal(status))
		Expect(w.Body.String()).To(ContainSubstring(text))
		Expect(b.got).To(BeNil())
	},
		Entry("no request id", "/v1/records", `{"operator":"kim","records":[]}`, 400, "request_id: is missing"),
		Entry("no records", "/v1/records", `{"request_id":"1","operator":"kim","records":[]}`, 400, "records: is empty"),
		Entry("no schema", "/v1/records", `{"request_id":"1","operator":"kim","records":[{"kind":"pool","name":"p"}]}`, 400, "schema of pool p"),
		Entry("no name", "/v1/records", `{"request_id":"1","operator":"kim","records":[{"kind":"pool","schema":1}]}`, 400, "record name"),
		Entry("a large body", "/v1/records", `{"request_id":"`+strings.Repeat("x", 600)+`"}`, 413, "limit of 512"),
		Entry("no reason", "/v1/hosts/a/drain", `{"data_centre":"dc-a","operator":"kim"}`, 400, "reason: is missing"),
		Entry("another host", "/v1/hosts/a/drain", `{"host":"b","data_centre":"dc-a","operator":"kim","reason":"x"}`, 400, "another host"),
		Entry("a move without a pool", "/v1/hosts/a/move", drainBody, 400, "to_pool: is missing"),
		Entry("an unknown change", "/v1/replicas", `{"action":"swap"}`, 400, "allowed: add, remove"),
		Entry("a member without id", "/v1/replicas", `{"action":"add","group":"g","member":{"host":"a"}}`, 400, "member id"),
	)

	It("refuses a body that is not declared as JSON", func() {
		// Guards against a web page that sends a form from an operator's browser.
		b := &backend{}
		w := call(b, "POST", "/v1/hosts/a/drain", drainBody, func(r *http.Request) { r.Header.Set("Content-Type", "text/plain") })
		Expect(w.Code).To(Equal(http.StatusBadRequest))
		Expect(b.got).To(BeNil())
	})
})
