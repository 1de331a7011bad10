package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"agatehaven.dev/agatehaven/internal/clock"
	"agatehaven.dev/agatehaven/internal/fault"
	"agatehaven.dev/agatehaven/internal/peer"
	"agatehaven.dev/agatehaven/internal/ring"
)

const (
	// announceGather is how long announcements are gathered for one call to
	// the leader. It is a twentieth of their interval and small beside the
	// 2 s within which a leaving target gets no new work.
	announceGather = 50 * time.Millisecond
	// maxAnnouncements bounds the announcements that wait for a call: those of
	// the two-year number of hosts through one entry host.
	maxAnnouncements = 8192
	// maxAnnounceBytes keeps a call below the limit of a peer message. The
	// size of an announcement is estimated from its lists, since keys have at
	// most 256 bytes.
	maxAnnounceBytes   = 1 << 20
	announceBytes      = 1 << 10
	announceEntryBytes = 512
	// announceParallel bounds the announcements of one call that the leader
	// commits at the same time, when many hosts are new.
	announceParallel = 64
)

// announcer forwards announcements to the leader of one data centre, several
// in one call, since a call costs far more than taking a heartbeat.
type announcer struct {
	dataCentre string
	leader     peer.IdempotentDoer
	clock      clock.Clock
	waiting    *ring.Ring[*announcement]
}

// announcement waits for the leader's answer.
type announcement struct {
	request peer.AnnounceRequest
	done    chan peer.AnnounceResult
}

func newAnnouncer(dataCentre string, leader *peer.LeaderClient, c clock.Clock) *announcer {
	return &announcer{
		dataCentre: dataCentre, leader: leader, clock: c,
		waiting: ring.New[*announcement]("announcements", maxAnnouncements),
	}
}

// announce forwards one announcement and returns the lease granted.
func (a *announcer) announce(ctx context.Context, r peer.AnnounceRequest) (time.Duration, error) {
	n := &announcement{request: r, done: make(chan peer.AnnounceResult, 1)}
	if err := a.waiting.TryPut(n); err != nil {
		return 0, err
	}
	select {
	case result := <-n.done:
		if result.Code != "" {
			return 0, &fault.Remote{RemoteCode: result.Code, Text: result.Text}
		}
		return time.Duration(result.LeaseMS) * time.Millisecond, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run sends what has been gathered until ctx ends. A slow call, such as the
// registration of many hosts, does not hold back later ones.
func (a *announcer) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		var batch []*announcement
		select {
		case n := <-a.waiting.Items():
			batch = append(batch, n)
		case <-ctx.Done():
			return
		}
		select {
		case <-a.clock.After(announceGather):
		case <-ctx.Done():
			return
		}
		for size := batch[0].size(); size < maxAnnounceBytes; {
			more := a.waiting.Drain(1)
			if len(more) == 0 {
				break
			}
			batch = append(batch, more[0])
			size += more[0].size()
		}
		wg.Go(func() { a.send(ctx, batch) })
	}
}

func (n *announcement) size() int {
	return announceBytes + announceEntryBytes*(len(n.request.Running)+len(n.request.Usage))
}

func (a *announcer) send(ctx context.Context, batch []*announcement) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	request := &peer.AnnounceBatchRequest{DataCentre: a.dataCentre}
	for _, n := range batch {
		request.Items = append(request.Items, n.request)
	}
	response, err := peer.CallIdempotent(ctx, a.leader, peer.Handler.Announce, request)
	for i, n := range batch {
		switch {
		case err != nil:
			n.done <- peer.AnnounceResult{Code: fault.CodeOf(err), Text: err.Error()}
		case i >= len(response.Results):
			n.done <- peer.AnnounceResult{Code: fault.CodeCorrupt, Text: "the leader's answer has no result for this host"}
		default:
			n.done <- response.Results[i]
		}
	}
}

// takeAnnouncements passes a batch to take and returns the results in order.
// It returns *fault.NotLeader for the whole batch, so that it goes to the
// leader.
func takeAnnouncements(ctx context.Context, items []peer.AnnounceRequest,
	take func(context.Context, *peer.AnnounceRequest) (*peer.AnnounceResponse, error),
) (*peer.AnnounceBatchResponse, error) {
	out := &peer.AnnounceBatchResponse{Results: make([]peer.AnnounceResult, len(items))}
	var group errgroup.Group
	group.SetLimit(announceParallel)
	for i := range items {
		group.Go(func() error {
			response, err := take(ctx, &items[i])
			switch {
			case fault.CodeOf(err) == fault.CodeNotLeader && err != nil:
				return err
			case err != nil:
				out.Results[i] = peer.AnnounceResult{Code: fault.CodeOf(err), Text: err.Error()}
			default:
				out.Results[i].LeaseMS = response.LeaseMS
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return out, nil
}
