package standin_test

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/target"
	"agatehaven.dev/agatehaven/internal/testsupport/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// shortRun is the payload of a task that ends within some milliseconds.
var shortRun = []byte(`{"run_ms":5}`)

var _ = Describe("Fleet", func() {
	var (
		fleet  *standin.Fleet
		client target.Client
		ctx    = context.Background()
	)
	start := func(cfg standin.Config) {
		var err error
		fleet, err = standin.Start(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		client = target.NewHTTPClient(target.HTTPConfig{Clock: clock.System{}})
	}

	It("runs a task and returns an answer that names its request", func() {
		// Guards against a stand-in whose answers do not identify their request,
		// so that an answer delivered for the wrong request would go unnoticed.
		start(standin.Config{Targets: 1, DataCentre: "dc1"})
		address := fleet.Targets()[0].Info().Address
		Expect(client.Start(ctx, address, target.Task{Key: "a/b", Attempt: 1, Kind: "proof", Payload: shortRun})).To(Succeed())
		var st target.TaskStatus
		Eventually(func() (target.TaskState, error) {
			var err error
			st, err = client.Poll(ctx, address, "a/b", 1, time.Second)
			return st.State, err
		}).Should(Equal(target.TaskSucceeded))
		var a standin.Answer
		Expect(json.Unmarshal(st.Answer, &a)).To(Succeed())
		Expect(a.Request).To(Equal("a/b"))
		Expect(a.Run).To(Equal(1))
		Expect(fleet.RunCount("a/b")).To(Equal(1))
	})

	It("refuses starts above its slots", func() {
		// Guards against a stand-in that hides violations of the slot limit.
		start(standin.Config{Targets: 1, Slots: 1, RunTime: time.Hour})
		address := fleet.Targets()[0].Info().Address
		Expect(client.Start(ctx, address, target.Task{Key: "a", Attempt: 1})).To(Succeed())
		Expect(client.Start(ctx, address, target.Task{Key: "b", Attempt: 1})).To(BeAssignableToTypeOf(&target.RefusedError{}))
		Expect(fleet.RunCount("b")).To(BeZero())
	})

	It("reboots once per order, discards its tasks and keeps the run log", func() {
		// Guards against a repeated order that reboots a host again, and against
		// a run log that is lost with the reboot.
		start(standin.Config{Targets: 1, DataCentre: "dc1", RunTime: time.Hour, RebootTime: time.Millisecond})
		before := fleet.Targets()[0].Info()
		Expect(client.Start(ctx, before.Address, target.Task{Key: "a", Attempt: 1})).To(Succeed())
		platform := target.NewHTTPPlatform(target.PlatformConfig{Address: fleet.ControlAddress(), Clock: clock.System{}})
		Expect(platform.Reboot(ctx, before.Name, "o1")).To(Succeed())
		Eventually(func() string { return fleet.Targets()[0].Info().Incarnation }).ShouldNot(Equal(before.Incarnation))
		second := fleet.Targets()[0].Info()
		Expect(platform.Reboot(ctx, before.Name, "o1")).To(Succeed())
		Eventually(func() (target.TaskState, error) {
			st, err := client.Poll(ctx, before.Address, "a", 1, 0)
			return st.State, err
		}).Should(Equal(target.TaskAbsent))
		Expect(fleet.Targets()[0].Info().Incarnation).To(Equal(second.Incarnation))
		Expect(fleet.RunCount("a")).To(Equal(1))
	})

	It("announces to the next entry host when one fails", func() {
		// Guards against a host that is lost when the entry host to which it
		// announces itself fails.
		got := make(chan target.Announcement, 100)
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var a target.Announcement
			if json.NewDecoder(r.Body).Decode(&a) == nil {
				got <- a
			}
			_, _ = w.Write([]byte(`{"lease_ms":5000}`))
		}))
		DeferCleanup(entry.Close)
		start(standin.Config{
			Targets: 1, DataCentre: "dc1", AnnounceInterval: 5 * time.Millisecond,
			EntryHosts: []string{"127.0.0.1:1", strings.TrimPrefix(entry.URL, "http://")},
		})
		fleet.Targets()[0].Drain(true)
		Eventually(func() bool { return (<-got).Leaving }).Should(BeTrue())
	})

	It("numbers targets after others and gives each its own connection", func() {
		// Guards against load measurements in which an entry host serves only a
		// few connections, whereas a real fleet opens one per host.
		var mu sync.Mutex
		connections := map[string]string{} // by host
		entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var a target.Announcement
			if json.NewDecoder(r.Body).Decode(&a) == nil {
				mu.Lock()
				connections[a.Name] = r.RemoteAddr
				mu.Unlock()
			}
			_, _ = w.Write([]byte(`{"lease_ms":5000}`))
		}))
		DeferCleanup(entry.Close)
		start(standin.Config{
			Targets: 3, NameOffset: 18, DataCentre: "dc1", AnnounceInterval: 5 * time.Millisecond, SeparateConnections: true,
			EntryHosts: []string{strings.TrimPrefix(entry.URL, "http://")},
		})
		Eventually(func() map[string]string {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(connections)
		}).Should(And(HaveKey("dc1-t19"), HaveKey("dc1-t20"), HaveKey("dc1-t21")))
		mu.Lock()
		defer mu.Unlock()
		distinct := map[string]bool{}
		for _, c := range connections {
			distinct[c] = true
		}
		Expect(distinct).To(HaveLen(3))
	})
})
