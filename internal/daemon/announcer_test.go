package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/model"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/ring"
)

// fakeLeader handles batches as the leader's handler does.
type fakeLeader struct {
	peer.Handler
	mu      sync.Mutex
	batches []int
	fail    error
	refuse  string
}

func (f *fakeLeader) DoIdempotent(_ context.Context, call func(peer.Handler) error) error {
	return call(f)
}

func (f *fakeLeader) Announce(ctx context.Context, r *peer.AnnounceBatchRequest) (*peer.AnnounceBatchResponse, error) {
	f.mu.Lock()
	f.batches = append(f.batches, len(r.Items))
	fail := f.fail
	f.mu.Unlock()
	if fail != nil {
		return nil, fail
	}
	return handleAnnouncements(ctx, r.Items, func(_ context.Context, a *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
		if a.Info.Name == f.refuse {
			return nil, &fault.Invalid{Field: "slots", Reason: "negative"}
		}
		return &peer.AnnounceResponse{LeaseMS: int64(len(a.Info.Name))}, nil
	})
}

func (f *fakeLeader) sizes() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int{}, f.batches...)
}

var _ = Describe("announcer", func() {
	var (
		manual *clock.Manual
		leader *fakeLeader
		a      *announcer
	)
	type answer struct {
		lease time.Duration
		err   error
	}
	BeforeEach(func() {
		manual, leader = clock.NewManual(time.UnixMilli(0)), &fakeLeader{}
		a = &announcer{dataCentre: "dc-a", leader: leader, clock: manual, queue: ring.New[*announcement]("announcements", 100)}
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); a.run(ctx) }()
		DeferCleanup(func() { cancel(); <-stopped })
	})
	// announce sends announcements that all wait before the first call.
	announce := func(names ...string) []answer {
		answers := make([]answer, len(names))
		var wg sync.WaitGroup
		for i, name := range names {
			wg.Go(func() {
				lease, err := a.announce(context.Background(), peer.AnnounceRequest{Info: model.HostInfo{Name: name}})
				answers[i] = answer{lease, err}
			})
		}
		Eventually(func() int { return a.queue.Len() + manual.Waiters() }).Should(Equal(len(names)))
		manual.Advance(announceBatchDelay)
		wg.Wait()
		return answers
	}

	It("sends announcements in one call and gives each target its own answer", func() {
		// Guards against a call for each heartbeat, and against a mix-up of the
		// answers of one call.
		leader.refuse = "h3"
		answers := announce("h", "h2", "h3", "host")
		Expect(leader.sizes()).To(Equal([]int{4}))
		Expect(answers[0].lease).To(Equal(time.Millisecond))
		Expect(answers[1].lease).To(Equal(2 * time.Millisecond))
		Expect(fault.CodeOf(answers[2].err)).To(Equal(fault.CodeInvalid))
		Expect(answers[3].lease).To(Equal(4 * time.Millisecond))
	})

	It("reports a failed call to every target", func() {
		// Guards against a target that assumes a lease although its announcement
		// was lost.
		leader.fail = &fault.Unavailable{What: "leader"}
		for _, got := range announce("h1", "h2") {
			Expect(fault.CodeOf(got.err)).To(Equal(fault.CodeUnavailable))
		}
	})

	It("refuses the whole batch on a replica that does not lead", func() {
		// Guards against a former leader that refuses each announcement, so that
		// the batch is not sent to the new leader.
		items := make([]peer.AnnounceRequest, 3)
		_, err := handleAnnouncements(context.Background(), items, func(context.Context, *peer.AnnounceRequest) (*peer.AnnounceResponse, error) {
			return nil, &fault.NotLeader{Group: "dc-a", Leader: "a2"}
		})
		Expect(err).To(Equal(&fault.NotLeader{Group: "dc-a", Leader: "a2"}))
	})

	It("bounds a call by the size of its announcements", func() {
		// Guards against a call above the limit of a peer message, which would
		// fail for every target in it.
		n := &announcement{request: peer.AnnounceRequest{Running: make([]peer.AttemptRef, 8), Usage: make([]model.Usage, 8)}}
		for i := range n.request.Running {
			n.request.Running[i].Key = fmt.Sprintf("%0256d", i)
			n.request.Usage[i].Request = n.request.Running[i].Key
		}
		Expect(n.size()).To(BeNumerically(">", 16*300))
		Expect(maxAnnounceCallBytes + n.size()).To(BeNumerically("<", peer.MaxMessageBytes))
	})
})
