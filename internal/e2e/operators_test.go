package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/httpapi"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
)

// applyTimeout bounds one call that changes records. It leaves time for an
// election.
const applyTimeout = 20 * time.Second

// quotaChange returns a change of one quota record.
func quotaChange(id string, revision uint64, name string, running int) peer.ApplyRecordsRequest {
	return peer.ApplyRecordsRequest{
		RequestID: id, ExpectedRevision: revision, Operator: "test",
		Records: []model.Record{{
			Schema: 1, Kind: model.KindQuota, Name: name,
			Spec: fmt.Appendf(nil, `{"max_running":%d,"max_queued":100}`, running),
		}},
	}
}

// applyResult is the outcome of a change of records.
type applyResult struct {
	revision uint64
	code     fault.Code
	err      error // no answer
}

// applyRecords sends a change of records to one entry host.
func (h *host) applyRecords(change peer.ApplyRecordsRequest) applyResult {
	data, err := json.Marshal(&change)
	if err != nil {
		return applyResult{err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.operator+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return applyResult{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return applyResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return applyResult{err: err}
	}
	if response.StatusCode != http.StatusOK {
		var refusal httpapi.Failure
		err := json.Unmarshal(answer, &refusal)
		return applyResult{code: refusal.Code, err: err}
	}
	var done peer.ApplyRecordsResponse
	err = json.Unmarshal(answer, &done)
	return applyResult{revision: done.Revision, err: err}
}

// sendRecordsUnread sends a change of records and returns the connection
// without reading the answer, to simulate an answer that is lost.
func (h *host) sendRecordsUnread(change peer.ApplyRecordsRequest) net.Conn {
	GinkgoHelper()
	data, err := json.Marshal(&change)
	Expect(err).NotTo(HaveOccurred())
	conn, err := net.Dial("tcp", h.operator)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /v1/records HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		h.operator, len(data), data)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// records returns the records as one entry host reads them from the region
// group.
func (r *region) records(h *host) *model.Records {
	GinkgoHelper()
	var out *model.Records
	Eventually(func() error {
		var err error
		out, err = getJSON[model.Records](h, "/v1/records")
		if err == nil && out.Revision == 0 {
			return &fault.Unavailable{What: "records", Reason: "not read"}
		}
		return err
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Succeed())
	return out
}

// applyAtCurrentRevision commits a change on top of the current revision,
// resending it until it succeeds, and returns the revision that it created.
func (r *region) applyAtCurrentRevision(h *host, id, name string, running int) uint64 {
	GinkgoHelper()
	var out applyResult
	revision := r.records(h).Revision
	Eventually(func() error {
		out = h.applyRecords(quotaChange(id, revision, name, running))
		if out.err == nil && out.code != "" {
			return &fault.Remote{RemoteCode: out.code}
		}
		return out.err
	}).WithTimeout(settleTimeout).WithPolling(pollInterval).Should(Succeed())
	return out.revision
}

// expectInForce checks that a revision is in force in every process within
// the guaranteed 15 s.
func (r *region) expectInForce(revision uint64) {
	GinkgoHelper()
	Eventually(func() []string {
		var behind []string
		for _, h := range r.hosts {
			if got := r.revisionOf(h.name); got < revision {
				behind = append(behind, fmt.Sprintf("%s: %d", h.name, got))
			}
		}
		return behind
	}).WithTimeout(15*time.Second).WithPolling(pollInterval).Should(BeEmpty(), "revision %d is not in force", revision)
}
