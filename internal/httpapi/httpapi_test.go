package httpapi_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
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

var _ = DescribeTable("EncodeError", func(err error, status int, code fault.Code, effect httpapi.Effect) {
	// Guards against statuses and effects with which a caller would retry a call
	// that it must not retry, or take an unknown effect for none.
	w := httptest.NewRecorder()
	wrapped := eris.Wrap(err, "outer")
	httpapi.EncodeError(context.Background(), wrapped, w)
	Expect(w.Code).To(Equal(status))
	Expect(httpapi.Status(err)).To(Equal(status))
	var failure httpapi.Failure
	Expect(json.Unmarshal(w.Body.Bytes(), &failure)).To(Succeed())
	Expect(failure).To(Equal(httpapi.Failure{Code: code, Message: wrapped.Error(), Effect: effect}))
	Expect(w.Body.String()).To(ContainSubstring(`"code":"` + string(code) + `"`))
	Expect(w.Header().Get("Content-Length")).To(Equal(strconv.Itoa(w.Body.Len())))
	Expect(w.Header().Get("Retry-After") != "").To(Equal(status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests))
},
	Entry("conflict", &fault.RevisionConflict{Expected: 1, Current: 2}, http.StatusConflict, fault.CodeRevisionConflict, httpapi.EffectNone),
	Entry("rule", &fault.Precondition{What: "drain", Reason: "floor"}, http.StatusConflict, fault.CodePrecondition, httpapi.EffectNone),
	Entry("full queue", &fault.LimitExceeded{What: "queue", Limit: 1}, http.StatusTooManyRequests, fault.CodeLimitExceeded, httpapi.EffectNone),
	Entry("no leader", &fault.NotLeader{Group: "region"}, http.StatusServiceUnavailable, fault.CodeNotLeader, httpapi.EffectNone),
	Entry("unknown outcome", &fault.ProposalUnknown{Group: "region"}, http.StatusGatewayTimeout, fault.CodeProposalUnknown, httpapi.EffectUnknown),
	Entry("deadline", context.DeadlineExceeded, http.StatusGatewayTimeout, fault.CodeTimeout, httpapi.EffectUnknown),
	Entry("cancelled", context.Canceled, http.StatusInternalServerError, fault.CodeInternal, httpapi.EffectUnknown),
	Entry("lost connection", &fault.ConnectionLost{Address: "a"}, http.StatusGatewayTimeout, fault.CodeConnectionLost, httpapi.EffectUnknown),
	Entry("remote", &fault.Remote{RemoteCode: fault.CodeNotFound, Text: "x"}, http.StatusNotFound, fault.CodeNotFound, httpapi.EffectNone),
	Entry("untyped", http.ErrBodyNotAllowed, http.StatusInternalServerError, fault.CodeInternal, httpapi.EffectUnknown),
)

var _ = DescribeTable("Decode", func(body, text string, status int) {
	// Guards against commands that are read only in part.
	var v struct {
		A int `json:"a"`
	}
	err := httpapi.Decode(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)), 32, &v)
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

var _ = It("DecodeTolerant ignores unknown fields only", func() {
	// Guards against targets whose announcements are refused because they are
	// newer than this program.
	var v struct {
		A int `json:"a"`
	}
	request := func(body string) *http.Request {
		return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	}
	Expect(httpapi.DecodeTolerant(request(`{"a":1,"b":2}`), 32, &v)).To(Succeed())
	Expect(v.A).To(Equal(1))
	err := httpapi.DecodeTolerant(request(`{"a":1}{"a":2}`), 32, &v)
	Expect(httpapi.Status(err)).To(Equal(http.StatusBadRequest))
})
