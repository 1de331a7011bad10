package peer_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/peer"
)

// scriptedDialer returns a handler per host and counts the calls.
type scriptedDialer struct {
	hosts map[string]*fakeHandler
	order []string
}

func (d *scriptedDialer) Dial(host string) (peer.Handler, error) {
	d.order = append(d.order, host)
	h, ok := d.hosts[host]
	if !ok {
		return nil, &fault.NotFound{Kind: "peer", Name: host}
	}
	return h, nil
}

var _ = Describe("LeaderClient", func() {
	var (
		d    *scriptedDialer
		c    *peer.LeaderClient
		call = func(h peer.Handler) error {
			_, err := h.GroupStatus(context.Background(), &peer.GroupStatusRequest{})
			return err
		}
	)
	BeforeEach(func() {
		d = &scriptedDialer{hosts: map[string]*fakeHandler{"a": {}, "b": {}, "c": {}}}
		c = peer.NewLeaderClient(peer.LeaderConfig{Dialer: d, Hosts: []string{"a", "b", "c"}, Clock: clock.System{}, Attempts: 6})
	})

	It("follows the hint, caches the leader and tries the other hosts when it is unavailable", func() {
		// Guards against calls that keep going to a former leader.
		d.hosts["a"].fail = &fault.NotLeader{Group: "g", Leader: "c"}
		Expect(c.Do(context.Background(), call)).To(Succeed())
		Expect(c.Do(context.Background(), call)).To(Succeed())
		Expect(d.order).To(Equal([]string{"a", "c", "c"}))
		d.hosts["c"].fail = &fault.Unavailable{What: "peer c", Reason: "down"}
		d.hosts["a"].fail = &fault.NotLeader{Group: "g", Leader: "b"}
		Expect(c.Do(context.Background(), call)).To(Succeed())
		Expect(d.order[3:]).To(Equal([]string{"c", "a", "b"}))
	})

	DescribeTable("repeats a call of unknown effect only if it is idempotent",
		// Guards against an operation that takes effect twice.
		func(unknown error) {
			d.hosts["a"].fail = unknown
			Expect(c.Do(context.Background(), call)).To(MatchError(unknown))
			Expect(d.order).To(Equal([]string{"a"}))
			Expect(c.DoIdempotent(context.Background(), call)).To(Succeed())
			Expect(d.order).To(Equal([]string{"a", "a", "b"}))
		},
		Entry(nil, &fault.SilentConnection{Address: "x"}),
		Entry(nil, &fault.ConnectionLost{Address: "x"}),
		Entry(nil, &fault.ProposalUnknown{Group: "g"}),
		Entry(nil, &fault.Remote{RemoteCode: fault.CodeTimeout}),
	)

	It("ends after its attempts and passes on the leader's own answer", func() {
		// Guards against an endless loop in a group without a leader.
		for _, h := range d.hosts {
			h.fail = &fault.NotLeader{Group: "g"}
		}
		Expect(c.Do(context.Background(), call)).To(BeAssignableToTypeOf(&fault.NotLeader{}))
		Expect(d.order).To(HaveLen(6))
		d.hosts["a"].fail = &fault.Precondition{What: "drain", Reason: "floor"}
		Expect(c.Do(context.Background(), call)).To(BeAssignableToTypeOf(&fault.Precondition{}))
		Expect(d.order).To(HaveLen(7))
	})
})
