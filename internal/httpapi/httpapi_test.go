package httpapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpapi")
}

var _ = DescribeTable("EncodeError", func(err error, status int, body string) {
	// Guards against clients that retry what they must not retry.
	w := httptest.NewRecorder()
	httpapi.EncodeError(context.Background(), eris.Wrap(err, "outer"), w)
	Expect(w.Code).To(Equal(status))
	Expect(httpapi.Status(err)).To(Equal(status))
	Expect(w.Body.String()).To(ContainSubstring(body))
	Expect(w.Header().Get("Retry-After") != "").To(Equal(status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests))
},
	Entry("conflict", &fault.RevisionConflict{Expected: 1, Current: 2}, http.StatusConflict, `"code":"revision_conflict"`),
	Entry("rule", &fault.Precondition{What: "drain", Reason: "floor"}, http.StatusConflict, `"code":"precondition_failed"`),
	Entry("full queue", &fault.LimitExceeded{What: "queue", Limit: 1}, http.StatusTooManyRequests, `"code":"limit_exceeded"`),
	Entry("no leader", &fault.NotLeader{Group: "region"}, http.StatusServiceUnavailable, `"code":"not_leader"`),
	Entry("unknown outcome", &fault.ProposalUnknown{Group: "region"}, http.StatusGatewayTimeout, `"code":"proposal_unknown"`),
	Entry("deadline", context.DeadlineExceeded, http.StatusGatewayTimeout, `"code":"timeout"`),
	Entry("remote", &fault.Remote{RemoteCode: fault.CodeNotFound, Text: "x"}, http.StatusNotFound, `"code":"not_found"`),
	Entry("untyped", http.ErrBodyNotAllowed, http.StatusInternalServerError, `"code":"internal"`),
)

var _ = DescribeTable("DecodeJSON", func(body, text string, status int) {
	// Guards against commands that are read only in part.
	var v struct {
		A int `json:"a"`
	}
	err := httpapi.DecodeJSON(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), 32, &v)
	if status == http.StatusOK {
		Expect(err).NotTo(HaveOccurred())
		Expect(v.A).To(Equal(1))
		return
	}
	Expect(err).To(MatchError(ContainSubstring(text)))
	Expect(httpapi.Status(err)).To(Equal(status))
},
	Entry("a document", `{"a":1}`+"\n", "", http.StatusOK),
	Entry("an unknown field", `{"a":1,"b":2}`, `unknown field "b"`, http.StatusBadRequest),
	Entry("a second document", `{"a":1}{"a":2}`, "data after", http.StatusBadRequest),
	Entry("an empty body", ``, "EOF", http.StatusBadRequest),
	Entry("a body over the limit", `{"a":`+strings.Repeat(" ", 40)+`1}`, "limit of 32", http.StatusRequestEntityTooLarge),
	Entry("padding over the limit", `{"a":1}`+strings.Repeat(" ", 40), "limit of 32", http.StatusRequestEntityTooLarge),
)
