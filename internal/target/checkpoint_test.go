package target_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/silent"
)

var _ = Describe("Checkpoint", func() {
	// serve answers every call with the given status and body, and returns the
	// path of the last call.
	serve := func(status int, body any) (string, *atomic.Value) {
		var path atomic.Value
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			path.Store(r.Method + " " + r.URL.Path)
			data, _ := json.Marshal(body)
			w.WriteHeader(status)
			_, _ = w.Write(data)
		}))
		DeferCleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), &path
	}
	client := func() target.Client { return target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}}) }
	stopped := func(checkpoint []byte) target.StatusMessage {
		return target.StatusMessage{Request: "k", Attempt: 1, State: target.TaskStopped, Incarnation: "t1", Checkpoint: checkpoint}
	}

	It("returns the reference byte for byte, also when the state is read again", func() {
		// Guards against a reference that is changed in transit or can only be
		// read once.
		reference := []byte{0xff, 0, '"', 0x80}
		address, path := serve(http.StatusOK, stopped(reference))
		st, err := client().Checkpoint(ctx, address, "k", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(path.Load()).To(Equal("POST /v1/tasks/k/1/checkpoint"))
		Expect(st.State).To(Equal(target.TaskStopped))
		Expect(st.Checkpoint).To(Equal(reference))
		st, err = client().Poll(ctx, address, "k", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Checkpoint).To(Equal(reference))
	})

	DescribeTable("drops an unusable reference, but reports that the task has stopped",
		// Guards against a target that fills the ledger, and against a task that
		// is polled for ever because its stopped state is refused.
		func(reference []byte, reason string) {
			address, _ := serve(http.StatusOK, stopped(reference))
			st, err := client().Checkpoint(ctx, address, "k", 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(st.State).To(Equal(target.TaskStopped))
			Expect(st.Checkpoint).To(BeNil())
			Expect(st.Reason).To(ContainSubstring(reason))
		},
		Entry("too large", bytes.Repeat([]byte("x"), model.MaxCheckpointBytes+1), "1025 bytes exceeds 1024"),
		Entry("missing", nil, "without the reference"),
	)

	It("distinguishes a refusal from other failures", func() {
		// Guards against a refusal that ends the task, and against an undefined
		// answer that counts as a refusal or a success.
		address, _ := serve(http.StatusConflict, target.ReasonMessage{Reason: "not now"})
		_, err := client().Checkpoint(ctx, address, "k", 1)
		Expect(err).To(Equal(&target.RefusedError{Address: address, Reason: "not now"}))
		for _, status := range []int{http.StatusAccepted, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusInternalServerError} {
			address, _ = serve(status, stopped([]byte("r")))
			_, err = client().Checkpoint(ctx, address, "k", 1)
			Expect(code(err)).To(Equal(target.CodeStatus), "status %d", status)
		}
		other := stopped([]byte("r"))
		other.Attempt = 2
		address, _ = serve(http.StatusOK, other)
		_, err = client().Checkpoint(ctx, address, "k", 1)
		Expect(code(err)).To(Equal(fault.CodeCorrupt), "another attempt")
	})

	It("ends at the time limit when the target is silent", func() {
		// Guards against an owner that waits for ever for a checkpoint.
		listener := silent.NewListener(listen())
		var calls atomic.Int64
		s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls.Add(1)
			listener.Silence()
		})}
		go func() { _ = s.Serve(listener) }()
		DeferCleanup(s.Close)
		manual := clock.NewManual(time.UnixMilli(0))
		c := target.NewHTTPClient(target.HTTPConfig{Clock: manual})
		done := make(chan error, 1)
		go func() {
			_, err := c.Checkpoint(ctx, listener.Addr().String(), "k", 1)
			done <- err
		}()
		Eventually(calls.Load).Should(Equal(int64(1)))
		Consistently(done, "20ms").ShouldNot(Receive())
		manual.Advance(target.DefaultStartTimeout)
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(code(err)).To(Equal(fault.CodeSilentConnection))
	})

	It("sends the checkpoint reference of a start, and no field without one", func() {
		// Guards against a lost reference, and against a new field in the starts
		// of targets that do not know it.
		var got atomic.Value
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var fields map[string]any
			Expect(json.NewDecoder(r.Body).Decode(&fields)).To(Succeed())
			got.Store(fields)
			w.WriteHeader(http.StatusAccepted)
		}))
		DeferCleanup(s.Close)
		address := strings.TrimPrefix(s.URL, "http://")
		Expect(client().Start(ctx, address, target.Task{Key: "k", Attempt: 2, Checkpoint: []byte("ref")})).To(Succeed())
		Expect(got.Load()).To(HaveKeyWithValue("checkpoint", "cmVm"))
		Expect(client().Start(ctx, address, target.Task{Key: "k", Attempt: 3})).To(Succeed())
		Expect(got.Load()).NotTo(HaveKey("checkpoint"))
	})
})
